package fleetcli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
)

// The exit statuses that scripts go by, beside 0 and 1. They are those of wayhold ctl where it has them.
const (
	exitUnavailable = 4 // no replica answers
	exitTimeout     = 5 // what was waited for did not come in time
	exitRejected    = 7 // the fleet rejects what was asked for
)

// exitError is an error with the exit status of the program.
type exitError struct {
	error
	status int
}

// Unwrap returns the error without its status.
func (e exitError) Unwrap() error { return e.error }

// Main runs the program, and returns its exit status.
func Main(hooks TestHooks) int {
	err := rootCommand(hooks).Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "wayhold fleet:", err)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	return 1
}

// operatorCommands is what the operators' commands share: their common flags, and where they print.
type operatorCommands struct {
	configPath  string
	asJSON      bool
	requestedBy string
	reason      string
	out         io.Writer
}

const rootDescription = `What belongs to the fleet and not to a node. Who is asked is in the table [fleet] of the file
that --config or WAYHOLD_CONFIG names. The exit status is 0 if all is well, 4 if no member of the council answers, 5 if
what was waited for did not come in time, 7 if the fleet says no as things stand, and 1 otherwise.`

func rootCommand(hooks TestHooks) *cobra.Command {
	commands := &operatorCommands{}
	root := &cobra.Command{
		Use:              "fleet",
		Short:            "What belongs to the fleet and not to a node: its council, owners, rounds and holds",
		Long:             rootDescription,
		SilenceUsage:     true,
		SilenceErrors:    true,
		PersistentPreRun: func(command *cobra.Command, _ []string) { commands.out = command.OutOrStdout() },
	}
	flags := root.PersistentFlags()
	flags.StringVar(&commands.configPath, "config", os.Getenv("WAYHOLD_CONFIG"),
		"a process's own file, with the table [fleet]; WAYHOLD_CONFIG names it too")
	flags.BoolVar(&commands.asJSON, "json", false, "as the council tells it")
	flags.StringVar(&commands.requestedBy, "who", os.Getenv("USER"), "who asks")
	flags.StringVar(&commands.reason, "reason", "", "for those who find what was asked for")
	root.AddCommand(commands.processCommands(hooks)...)
	root.AddCommand(commands.leaseCommands()...)
	root.AddCommand(
		commands.statusCommand(), commands.waitCommand(), commands.rollingUpdateCommand(), commands.disableCommand(),
		commands.enableCommand(), commands.membershipCommand(), commands.removeNodeCommand(),
	)
	return root
}

// withAliases gives a command other names. The first one, that of Use, is what documentation and scripts name.
func withAliases(command *cobra.Command, aliases ...string) *cobra.Command {
	command.Aliases = aliases
	return command
}

// processCommands are the commands that run a process, or write the storage of one.
func (c *operatorCommands) processCommands(hooks TestHooks) []*cobra.Command {
	process := func(use, short string, run func(*settings, TestHooks) error) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			loaded, err := load(c.configPath, os.Stderr)
			if err != nil {
				return err
			}
			return run(loaded, hooks)
		}}
	}
	return []*cobra.Command{
		withAliases(process("council", "Be a member of the council, until SIGTERM", runReplica), "replica"),
		process("agent", "Be the follower beside a node, until SIGTERM", runAgent),
		withAliases(process("init", "Make this process's disk that of the first member of a new council", c.bootstrap),
			"bootstrap"),
		withAliases(process("recover",
			"Begin anew on what this member has, once most others are lost for good; wants --reason", c.forceNewCluster),
			"force-new-cluster"),
	}
}

// leaseCommands are the commands about leases.
func (c *operatorCommands) leaseCommands() []*cobra.Command {
	return []*cobra.Command{
		withAliases(c.clientCommand("owners", "Print who owns which work", cobra.NoArgs, c.leases), "leases"),
		c.clientCommand("step-down WORK", "Ask the owner of a work to give it back", cobra.ExactArgs(1), c.requestStepDown),
		withAliases(c.clientCommand("push WORK",
			"Push the owner of a work out: its lease is not renewed any more", cobra.ExactArgs(1), c.revokeLease), "revoke"),
	}
}

// clientCommand is a command that calls the replicas.
func (c *operatorCommands) clientCommand(
	use, short string, args cobra.PositionalArgs, run func(*agent.Client, []string) error,
) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: args, RunE: func(_ *cobra.Command, args []string) error {
		loaded, err := load(c.configPath, os.Stderr)
		if err != nil {
			return err
		}
		if len(loaded.Council) == 0 {
			return errors.New("fleet.council: missing: whom to ask?")
		}
		client := agent.NewClient(loaded.Council, loaded.Via, loaded.token, loaded.clientTLS())
		defer client.HTTP.CloseIdleConnections()
		return run(client, args)
	}}
}

// removeNodeCommand removes a node from the state.
func (c *operatorCommands) removeNodeCommand() *cobra.Command {
	run := func(client *agent.Client, args []string) error {
		return c.propose(client, fleet.Entry{Kind: fleet.KindRemoveNode, Node: &fleet.Node{Name: args[0]}})
	}
	return withAliases(c.clientCommand("forget NODE", "Expect a node back no more", cobra.ExactArgs(1), run),
		"remove-node")
}

func (c *operatorCommands) requestStepDown(client *agent.Client, args []string) error {
	return c.propose(client, fleet.Entry{Kind: fleet.KindRequestStepDown, Resource: args[0]})
}

func (c *operatorCommands) revokeLease(client *agent.Client, args []string) error {
	if c.reason == "" {
		return errors.New("push: want a --reason: the next one on duty will ask")
	}
	return c.propose(client, fleet.Entry{Kind: fleet.KindRevokeLease, Resource: args[0]})
}
