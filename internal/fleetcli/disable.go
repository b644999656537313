package fleetcli

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
	"cobaltward/fleet/consensus"
)

// defaultDisableDuration is the time for which servers are disabled without --for.
const defaultDisableDuration = 10 * time.Minute

// disableFlags holds the flags of the command that disables servers.
type disableFlags struct {
	id       string
	zones    []string
	duration time.Duration
	timeout  time.Duration // maximum wait until the disable order is in force at all nodes; 0: do not wait
}

func (c *operatorCommands) disableCommand() *cobra.Command {
	options := &disableFlags{}
	run := func(client *agent.Client, args []string) error { return c.disableServers(client, args, options) }
	command := c.clientCommand("hold [SERVER ...]", "Disable servers, or the servers of zones, at all nodes for a time",
		cobra.ArbitraryArgs, run)
	flags := command.Flags()
	flags.StringVar(&options.id, "id", "", "ID of the disable order; by default a new one")
	flags.StringSliceVar(&options.zones, "zone", nil, "all servers of a zone, as each node's endpoint list has them")
	flags.DurationVar(&options.duration, "for", defaultDisableDuration, "how long the servers are disabled")
	flags.DurationVar(&options.timeout, "wait", 0, "how long to wait until the order is in force at all nodes")
	return withAliases(command, "disable")
}

func (c *operatorCommands) disableServers(client *agent.Client, servers []string, options *disableFlags) error {
	if len(servers)+len(options.zones) == 0 {
		return errors.New("hold: want a SERVER, or a --zone")
	}
	if c.reason == "" {
		return errors.New("hold: --reason is missing: it is shown to operators who find the servers disabled")
	}
	id := options.id
	if id == "" {
		id = newID("hold")
	}
	order := &fleet.DisableOrder{
		ID:      id,
		Servers: servers,
		Zones:   options.zones,
		Until:   time.Now().Add(options.duration),
	}
	if err := c.propose(client, fleet.Entry{Kind: fleet.KindDisableServers, DisableOrder: order}); err != nil {
		return err
	}
	if err := c.println(id); err != nil || options.timeout == 0 {
		return err
	}
	met := func(statuses map[string]consensus.Status, state *fleet.State) (bool, string) {
		inForce := func(report consensus.AgentReport) bool { return slices.Contains(report.ActiveDisableOrders, id) }
		missing := nodesNotSatisfying(statuses, state, inForce)
		return len(missing) == 0, fmt.Sprintf("%s: in force at %d of %d nodes; not at: %s",
			id, len(state.Nodes)-len(missing), len(state.Nodes), listOrNothing(missing))
	}
	return c.pollUntil(client, "the disable order at all nodes", options.timeout, met)
}

func (c *operatorCommands) enableCommand() *cobra.Command {
	run := func(client *agent.Client, args []string) error {
		order := &fleet.DisableOrder{ID: args[0]}
		return c.propose(client, fleet.Entry{Kind: fleet.KindEnableServers, DisableOrder: order})
	}
	return withAliases(c.clientCommand("lift HOLD", "End a disable order", cobra.ExactArgs(1), run), "enable")
}
