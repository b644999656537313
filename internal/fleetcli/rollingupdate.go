package fleetcli

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
	"cobaltward/fleet/consensus"
)

// Defaults of a rolling update.
const (
	defaultMaxUnavailable = 1
	defaultMaxFailures    = 1
	defaultDrainTimeout   = 30 * time.Second
	defaultUpdateTimeout  = time.Hour
)

// rollingUpdateFlags holds the flags of the command that starts a rolling update.
type rollingUpdateFlags struct {
	spec fleet.JobSpec
	id   string // ID of the job; empty: a new ID
	wait bool   // whether to wait for the end of the job
	// timeout is the maximum time to wait for the end of the job if wait is set.
	timeout time.Duration
}

func (c *operatorCommands) rollingUpdateCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "round",
		Aliases: []string{"rolling-update"},
		Short:   "Update nodes one after another: drain each, run the operator's command, resume it",
	}
	command.AddCommand(
		c.startCommand(),
		c.controlCommand(fleet.CommandPause, "Start nothing new"),
		withAliases(c.controlCommand(fleet.CommandRun, "Go on"), "resume"),
		c.controlCommand(fleet.CommandAbort, "Finish the drained nodes, and end"),
		withAliases(c.controlCommand(fleet.CommandRollBack, "Roll back: revert the patch, the last node first"), "roll-back"),
	)
	return command
}

func (c *operatorCommands) controlCommand(jobCommand fleet.JobCommand, short string) *cobra.Command {
	run := func(client *agent.Client, args []string) error {
		return c.propose(client, fleet.Entry{Kind: fleet.KindControlJob, JobID: args[0], Command: jobCommand})
	}
	return c.clientCommand(string(jobCommand)+" ROUND", short, cobra.ExactArgs(1), run)
}

func (c *operatorCommands) startCommand() *cobra.Command {
	options := &rollingUpdateFlags{spec: fleet.JobSpec{Kind: fleet.JobRollingUpdate}}
	run := func(client *agent.Client, args []string) error { return c.startRollingUpdate(client, args, options) }
	command := c.clientCommand("start [NODE ...]", "Start a rolling update of nodes; none named: of all",
		cobra.ArbitraryArgs, run)
	flags := command.Flags()
	flags.IntVar(&options.spec.MaxUnavailable, "at-once", defaultMaxUnavailable, "nodes that may be unavailable at a time")
	flags.Float64Var(&options.spec.MinCapacity, "need", 0, "capacity that must be serving at any time")
	flags.BoolVar(&options.spec.ByZone, "by-zone", false, "one zone after another")
	flags.IntVar(&options.spec.MaxFailures, "failures", defaultMaxFailures,
		"failed steps after which the update stops by itself; 0: never")
	flags.DurationVar(&options.spec.DrainTimeout, "drain", defaultDrainTimeout, "timeout of each drain")
	flags.StringVar(&options.id, "id", "", "ID of the job; by default a new one")
	flags.BoolVar(&options.wait, "wait", false, "show progress until the job is closed")
	flags.DurationVar(&options.timeout, "for", defaultUpdateTimeout, "how long --wait waits")
	return command
}

func (c *operatorCommands) startRollingUpdate(client *agent.Client, nodes []string, options *rollingUpdateFlags) error {
	_, state, err := newestState(client)
	if err != nil {
		return err
	}
	spec, id := options.spec, options.id
	if spec.Nodes, err = selectNodes(state, nodes); err != nil {
		return err
	}
	if id == "" {
		id = newID("round")
	}
	if err := c.propose(client, fleet.Entry{Kind: fleet.KindStartJob, JobID: id, Spec: &spec}); err != nil {
		return err
	}
	err = c.println(fmt.Sprintf("%s: %d nodes", id, len(spec.Nodes)))
	if err != nil || !options.wait {
		return err
	}
	closed := func(_ map[string]consensus.Status, state *fleet.State) (bool, string) {
		job := state.Jobs[id]
		if job == nil {
			return false, id + " is not known yet"
		}
		return !job.Open(), jobLine(job)
	}
	return c.pollUntil(client, "the end of the rolling update", options.timeout, closed)
}

// selectNodes returns names if each name is a known node and occurs only once. Without names it returns all known
// nodes.
func selectNodes(state *fleet.State, names []string) ([]string, error) {
	known := slices.Sorted(maps.Keys(state.Nodes))
	if len(names) == 0 {
		return known, nil
	}
	for i, name := range names {
		if !slices.Contains(known, name) {
			return nil, fmt.Errorf("round: unknown node %q; known are %s", name, strings.Join(known, " "))
		}
		if slices.Contains(names[:i], name) {
			return nil, fmt.Errorf("round: %s is named twice", name)
		}
	}
	return names, nil
}
