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

// Exit statuses other than 0 and 1. They have the same meanings as in wayhold ctl.
const (
	exitUnavailable = 4 // no replica responds
	exitTimeout     = 5 // the awaited state was not reached before the timeout
	exitRejected    = 7 // the fleet rejects the change
)

// exitError is an error with the exit status of the program.
type exitError struct {
	error
	status int
}

// Unwrap returns the error without its exit status, for errors.Is and errors.As.
func (e exitError) Unwrap() error { return e.error }

// Main runs the program with the arguments of the process, and returns the exit status.
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

// operatorCommands holds the flags that all commands share, and the writer for the commands' output.
type operatorCommands struct {
	configPath  string
	asJSON      bool
	requestedBy string
	reason      string
	out         io.Writer
}

const rootDescription = `Operations on the fleet as a whole, not on one node. The replicas to call are in the table
[fleet] of the file that --config or WAYHOLD_CONFIG names. The exit status is 0 on success, 4 if no replica answers,
5 if the state that a command waits for was not reached in time, 7 if the fleet rejects the change, and 1 otherwise.`

func rootCommand(hooks TestHooks) *cobra.Command {
	commands := &operatorCommands{}
	root := &cobra.Command{
		Use:              "fleet",
		Short:            "Operate the fleet: its consensus group, leases, rolling updates and disabled servers",
		Long:             rootDescription,
		SilenceUsage:     true,
		SilenceErrors:    true,
		PersistentPreRun: func(command *cobra.Command, _ []string) { commands.out = command.OutOrStdout() },
	}
	flags := root.PersistentFlags()
	flags.StringVar(&commands.configPath, "config", os.Getenv("WAYHOLD_CONFIG"),
		"a process's own file, with the table [fleet]; WAYHOLD_CONFIG names it too")
	flags.BoolVar(&commands.asJSON, "json", false, "print JSON")
	flags.StringVar(&commands.requestedBy, "who", os.Getenv("USER"), "operator, stored with the change")
	flags.StringVar(&commands.reason, "reason", "", "stored with the change")
	root.AddCommand(commands.processCommands(hooks)...)
	root.AddCommand(commands.leaseCommands()...)
	root.AddCommand(
		commands.statusCommand(), commands.waitCommand(), commands.rollingUpdateCommand(), commands.disableCommand(),
		commands.enableCommand(), commands.membershipCommand(), commands.removeNodeCommand(),
	)
	return root
}

// withAliases adds aliases to a command. Documentation and scripts use the primary name in Use.
func withAliases(command *cobra.Command, aliases ...string) *cobra.Command {
	command.Aliases = aliases
	return command
}

// processCommands returns the commands that run a replica or an agent, or write the storage of a replica.
func (c *operatorCommands) processCommands(hooks TestHooks) []*cobra.Command {
	process := func(use, short string, run func(*settings, TestHooks) error) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			cfg, err := load(c.configPath, os.Stderr)
			if err != nil {
				return err
			}
			return run(cfg, hooks)
		}}
	}
	replicaCommand := process("council", "Run a replica of the consensus group until SIGTERM", runReplica)
	agentCommand := process("agent", "Run the agent beside a node until SIGTERM", runAgent)
	bootstrapCommand := process("init",
		"Initialize this process's storage as that of the first member of a new cluster", c.bootstrap)
	forceCommand := process("recover",
		"Force a new cluster on this member's storage, once most others are lost for good; wants --reason",
		c.forceNewCluster)
	return []*cobra.Command{
		withAliases(replicaCommand, "replica"),
		agentCommand,
		withAliases(bootstrapCommand, "bootstrap"),
		withAliases(forceCommand, "force-new-cluster"),
	}
}

// leaseCommands returns the commands that list, release or revoke leases.
func (c *operatorCommands) leaseCommands() []*cobra.Command {
	list := c.clientCommand("owners", "Print the leases and their holders", cobra.NoArgs, c.leases)
	stepDown := c.clientCommand("step-down WORK", "Ask the holder of a lease to release it",
		cobra.ExactArgs(1), c.requestStepDown)
	revoke := c.clientCommand("push WORK", "Revoke a lease: it can't be renewed any more",
		cobra.ExactArgs(1), c.revokeLease)
	return []*cobra.Command{withAliases(list, "leases"), stepDown, withAliases(revoke, "revoke")}
}

// clientCommand returns a command that calls the replicas. run gets a client of the replicas, and the arguments.
func (c *operatorCommands) clientCommand(
	use, short string, args cobra.PositionalArgs, run func(*agent.Client, []string) error,
) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: args, RunE: func(_ *cobra.Command, args []string) error {
		cfg, err := load(c.configPath, os.Stderr)
		if err != nil {
			return err
		}
		if len(cfg.Replicas) == 0 {
			return errors.New("fleet.council: missing: no replica to call")
		}
		client := agent.NewClient(cfg.Replicas, cfg.AddressOverrides, cfg.token, cfg.clientTLS())
		defer client.HTTP.CloseIdleConnections()
		return run(client, args)
	}}
}

// removeNodeCommand returns the command that removes a node from the state.
func (c *operatorCommands) removeNodeCommand() *cobra.Command {
	run := func(client *agent.Client, args []string) error {
		return c.propose(client, fleet.Entry{Kind: fleet.KindRemoveNode, Node: &fleet.Node{Name: args[0]}})
	}
	return withAliases(c.clientCommand("forget NODE", "Remove a node that will not come back", cobra.ExactArgs(1), run),
		"remove-node")
}

func (c *operatorCommands) requestStepDown(client *agent.Client, args []string) error {
	return c.propose(client, fleet.Entry{Kind: fleet.KindRequestStepDown, Resource: args[0]})
}

func (c *operatorCommands) revokeLease(client *agent.Client, args []string) error {
	if c.reason == "" {
		return errors.New("push: --reason is missing: it is shown to operators who find the lease revoked")
	}
	return c.propose(client, fleet.Entry{Kind: fleet.KindRevokeLease, Resource: args[0]})
}
