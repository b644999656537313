// Command wayhold is one request-routing node on real sockets, and the tools for who operates it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "wayhold:", err)
		os.Exit(1)
	}
}

// command is the whole command line. Without a subcommand it serves, as the platform's line has it.
func command() *cobra.Command {
	var own string
	root := &cobra.Command{
		Use:   "wayhold",
		Short: "Route booking requests to app servers",
		Long: `wayhold passes clients' requests on to app servers, and answers each exactly once.
Without a subcommand it serves, as "wayhold serve" does.`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return serve(own, c.ErrOrStderr()) },
	}
	root.PersistentFlags().StringVar(&own, "config", os.Getenv("WAYHOLD_CONFIG"),
		"the operator's own file, as deploy/wayhold.toml; WAYHOLD_CONFIG names it too")
	root.AddCommand(
		&cobra.Command{
			Use:   "serve",
			Short: "Serve clients until SIGTERM",
			Long: `Serve clients until SIGTERM, by the platform's configuration: the JSON file that
ROUTER_CONFIG names, with ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY ahead of it where set.
SIGHUP reads it again: discovery's address and the settings take effect at once, the rest at the next
start. SIGTERM ends the node in order.`,
			Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return serve(own, c.ErrOrStderr()) },
		},
		checkCommand(&own), demoCommand(),
		&cobra.Command{
			Use:   "version",
			Short: "Print the version",
			Args:  cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				_, err := fmt.Fprintln(c.OutOrStdout(), version())
				return err
			},
		})
	return root
}

// interrupted is a context that SIGTERM and SIGINT end.
func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
