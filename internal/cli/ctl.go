package cli

import (
	"net/http"
	"net/url"
	"os"
	"time"

	"cobaltward/internal/node"

	"github.com/spf13/cobra"
)

const defaultDrainDeadline = 30 * time.Second

// ctlCommand returns the parent of the commands that inspect and control a running node through its admin API.
func ctlCommand(configPath *string) *cobra.Command {
	client := &adminClient{configPath: configPath}
	command := &cobra.Command{
		Use:   "ctl",
		Short: "Inspect and control a running node: status, drain, undrain, watch, server, level",
		Long: `Inspect and control a running node through the admin API that the table [door] of its own file opens. The exit
status is 0 on success (drain --wait: drained), 4 if no node answers, 5 if the deadline passed with open requests, 6 if
the drain was cancelled, 7 if the node rejects the request in its present state, and 1 otherwise.`,
	}
	client.addFlags(command)
	command.AddCommand(
		client.statusCommand(),
		client.drainCommand(),
		client.undrainCommand(),
		&cobra.Command{
			Use: "watch", Short: "Show what the node does, until interrupted", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return client.watch(c.OutOrStdout(), false) },
		},
		client.serverCommand(),
		client.levelCommand(),
	)
	return command
}

func (a *adminClient) statusCommand() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use: "status", Short: "Print the node's state", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var status node.Status
			answer, err := a.call(http.MethodGet, "/status", nil, &status)
			if err != nil {
				return err
			}
			if asJSON {
				_, err := c.OutOrStdout().Write(answer)
				return err
			}
			return printStatus(c.OutOrStdout(), status)
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print the answer of the admin API")
	return command
}

func (a *adminClient) drainCommand() *cobra.Command {
	var request node.DrainRequest
	var deadline time.Duration
	var wait bool
	command := &cobra.Command{
		Use: "drain", Short: "Drain the node", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			request.Timeout = deadline.String()
			var status node.Status
			if _, err := a.call(http.MethodPost, "/drain", request, &status); err != nil {
				return err
			}
			if wait {
				return a.watch(c.OutOrStdout(), true)
			}
			return printStatus(c.OutOrStdout(), status)
		},
	}
	flags := command.Flags()
	flags.DurationVar(&deadline, "deadline", defaultDrainDeadline,
		"after which open requests are answered, and no more are accepted")
	flags.StringVar(&request.Reason, "reason", "", "shown in the node's status")
	flags.StringVar(&request.RequestedBy, "who", os.Getenv("USER"), "operator, shown in the node's status")
	flags.BoolVar(&request.Force, "force", false, "shorten the deadline of a drain in progress")
	flags.BoolVar(&wait, "wait", false, "show progress until the drain has ended or is cancelled")
	return command
}

func (a *adminClient) undrainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "undrain", Short: "Cancel a drain: the node serves again at once", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			request := node.DrainRequest{RequestedBy: os.Getenv("USER")}
			var status node.Status
			if _, err := a.call(http.MethodDelete, "/drain", request, &status); err != nil {
				return err
			}
			return printStatus(c.OutOrStdout(), status)
		},
	}
}

func (a *adminClient) serverCommand() *cobra.Command {
	command := &cobra.Command{Use: "server", Short: "Disable an app server for this node alone"}
	for _, action := range []struct{ use, method, short string }{
		{"drain", http.MethodPost, "Send a server no new requests, whatever the endpoint list says, until undrain"},
		{"undrain", http.MethodDelete, "Follow the endpoint list again"},
	} {
		command.AddCommand(&cobra.Command{
			Use: action.use + " ID", Short: action.short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				answer, err := a.call(action.method, "/servers/"+url.PathEscape(args[0])+"/drain", nil, nil)
				if err != nil {
					return err
				}
				_, err = c.OutOrStdout().Write(answer)
				return err
			},
		})
	}
	return command
}
