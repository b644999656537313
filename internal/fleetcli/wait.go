package fleetcli

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
	"cobaltward/fleet/consensus"
)

// defaultWaitTimeout is the maximum time that the wait command waits without --for.
const defaultWaitTimeout = time.Minute

func (c *operatorCommands) waitCommand() *cobra.Command {
	var timeout time.Duration
	run := func(client *agent.Client, args []string) error { return c.waitForPosition(client, args, timeout) }
	command := c.clientCommand("wait [POSITION]",
		"Wait until the agents of all nodes know a position of the log; none named: the newest one",
		cobra.MaximumNArgs(1), run)
	command.Flags().DurationVar(&timeout, "for", defaultWaitTimeout, "how long to wait")
	return command
}

// waitForPosition waits until all agents have the state of a log position. The position is the first of args. If args
// is empty, it is the newest position at the start of the command.
func (c *operatorCommands) waitForPosition(client *agent.Client, args []string, timeout time.Duration) error {
	var position fleet.Position
	if len(args) > 0 {
		number, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return fmt.Errorf("wait: want a position, got %q", args[0])
		}
		position = fleet.Position(number)
	}
	met := func(statuses map[string]consensus.Status, state *fleet.State) (bool, string) {
		if position == 0 {
			position = state.Position
		}
		caughtUp := func(report consensus.AgentReport) bool { return report.Position >= position }
		behind := nodesNotSatisfying(statuses, state, caughtUp)
		return len(behind) == 0, fmt.Sprintf("position %d: %d of %d nodes; behind: %s",
			position, len(state.Nodes)-len(behind), len(state.Nodes), listOrNothing(behind))
	}
	return c.pollUntil(client, "all nodes at the position", timeout, met)
}

// nodesNotSatisfying returns, ordered by name, the nodes whose agent's newest report does not satisfy the condition
// satisfies. For a node without a report, the condition gets an empty report.
func nodesNotSatisfying(
	statuses map[string]consensus.Status, state *fleet.State, satisfies func(consensus.AgentReport) bool,
) []string {
	var nodes []string
	reports := newestReports(statuses)
	for _, name := range slices.Sorted(maps.Keys(state.Nodes)) {
		if !satisfies(reports[name]) {
			nodes = append(nodes, name)
		}
	}
	return nodes
}
