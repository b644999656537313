package fleetcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"net/http"

	"github.com/spf13/cobra"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
	"cobaltward/fleet/consensus"
)

// The statuses that scripts go by, beside 0 and 1. They are those of wayhold ctl where it has them.
const (
	exitUnavailable = 4 // no member of the council answers
	exitTimeout     = 5 // what was waited for did not come in time
	exitRejected    = 7 // the fleet says no, as things stand
)

type exitError struct {
	error
	status int
}

// Main runs the program, and returns its exit status.
func Main(r TestHooks) int {
	err := command(r).Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "wayhold fleet:", err)
	if e := (exitError{}); errors.As(err, &e) {
		return e.status
	}
	return 1
}

// operatorCommands is what the operators' commands share.
type operatorCommands struct {
	configPath  string
	asJSON      bool
	requestedBy string
	reason      string
	wait        time.Duration
	out         io.Writer
}

const callTimeout = 8 * time.Second

func command(r TestHooks) *cobra.Command {
	t := &operatorCommands{}
	root := &cobra.Command{
		Use:   "fleet",
		Short: "What belongs to the fleet and not to a node: its council, owners, rounds and holds",
		Long: `What belongs to the fleet and not to a node. Who is asked is in the table [fleet] of the file that --config or
WAYHOLD_CONFIG names. The exit status is 0 if all is well, 4 if no member of the council answers, 5 if what was waited
for did not come in time, 7 if the fleet says no as things stand, and 1 otherwise.`,
		SilenceUsage: true, SilenceErrors: true,
		PersistentPreRun: func(c *cobra.Command, _ []string) { t.out = c.OutOrStdout() },
	}
	f := root.PersistentFlags()
	f.StringVar(&t.configPath, "config", os.Getenv("WAYHOLD_CONFIG"), "a process's own file, with the table [fleet]; WAYHOLD_CONFIG names it too")
	f.BoolVar(&t.asJSON, "json", false, "as the council tells it")
	f.StringVar(&t.requestedBy, "who", os.Getenv("USER"), "who asks")
	f.StringVar(&t.reason, "reason", "", "for those who find what was asked for")
	serve := func(use, short string, do func(*settings, TestHooks) error) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			s, err := load(t.configPath, os.Stderr)
			if err != nil {
				return err
			}
			return do(s, r)
		}}
	}
	root.AddCommand(
		serve("council", "Be a member of the council, until SIGTERM", runReplica),
		serve("agent", "Be the follower beside a node, until SIGTERM", runAgent),
		serve("init", "Make this process's disk that of the first member of a new council", t.bootstrap),
		serve("recover", "Begin anew on what this member has, once most others are lost for good; wants --reason", t.forceNewCluster),
		t.clientCommand("status", "Print how the council, the owners, the jobs and the followers stand", cobra.NoArgs, t.status),
		t.clientCommand("owners", "Print who owns which work", cobra.NoArgs, t.leases),
		t.clientCommand("step-down WORK", "Ask the owner of a work to give it back", cobra.ExactArgs(1), t.leaseCommand(fleet.KindRequestStepDown)),
		t.clientCommand("push WORK", "Push the owner of a work out: its lease is not renewed any more", cobra.ExactArgs(1), t.leaseCommand(fleet.KindRevokeLease)),
		t.waitCommand(), t.rollingUpdateCommand(), t.disableCommand(), t.memberCommand(),
		t.clientCommand("forget NODE", "Expect a node back no more", cobra.ExactArgs(1), func(c *agent.Client, args []string) error {
			return t.propose(c, fleet.Entry{Kind: fleet.KindRemoveNode, Node: &fleet.Node{Name: args[0]}})
		}),
		t.clientCommand("lift HOLD", "End a hold", cobra.ExactArgs(1), func(c *agent.Client, args []string) error {
			return t.propose(c, fleet.Entry{Kind: fleet.KindEnableServers, DisableOrder: &fleet.DisableOrder{ID: args[0]}})
		}),
	)
	return root
}

// clientCommand is a command that asks the council.
func (t *operatorCommands) clientCommand(use, short string, args cobra.PositionalArgs, do func(*agent.Client, []string) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: args, RunE: func(_ *cobra.Command, args []string) error {
		s, err := load(t.configPath, os.Stderr)
		if err != nil {
			return err
		}
		if len(s.Council) == 0 {
			return errors.New("fleet.council: missing: whom to ask?")
		}
		c := agent.NewClient(s.Council, s.Via, s.token, s.clientTLS())
		defer c.HTTP.CloseIdleConnections()
		return do(c, args)
	}}
}

// propose puts an entry into the log, whichever member takes it.
func (t *operatorCommands) propose(c *agent.Client, e fleet.Entry) error {
	r, err := t.commit(c, e)
	if err != nil {
		return err
	}
	return t.printResult(r)
}

func (t *operatorCommands) printResult(r fleet.Result) error {
	if t.asJSON {
		return json.NewEncoder(t.out).Encode(map[string]any{"position": r.Position, "token": r.FencingToken})
	}
	_, err := fmt.Fprintf(t.out, "agreed on at position %d\n", r.Position)
	return err
}

func (t *operatorCommands) commit(c *agent.Client, e fleet.Entry) (r fleet.Result, err error) {
	e.RequestedBy, e.Reason = t.requestedBy, t.reason
	for range c.Replicas {
		ctx, stop := context.WithTimeout(context.Background(), callTimeout)
		r, err = c.Propose(ctx, e)
		stop()
		switch {
		case err == nil && r.Err != nil:
			return r, exitError{r.Err, exitRejected}
		case err == nil:
			return r, nil
		case errors.Is(err, agent.ErrRejected):
			return r, err
		}
	}
	return r, exitError{fmt.Errorf("no member of the council could say what became of it: %w; look at status before you ask again", err), exitUnavailable}
}

// newestState is what the members that answer say, and the state that is the farthest.
func (t *operatorCommands) newestState(c *agent.Client) (map[string]consensus.Status, *fleet.State, error) {
	ctx, stop := context.WithTimeout(context.Background(), callTimeout/2)
	defer stop()
	all := c.Statuses(ctx)
	var s *fleet.State
	for _, addr := range slices.Sorted(maps.Keys(all)) {
		if st := all[addr].State; st != nil && (s == nil || st.NewerThan(s)) {
			s = st
		}
	}
	if s == nil {
		return nil, nil, exitError{fmt.Errorf("no member of the council answers; %d were asked", len(c.Replicas)), exitUnavailable}
	}
	return all, s, nil
}

// newestReports are what followers have said last, to whichever member.
func newestReports(all map[string]consensus.Status) map[string]consensus.AgentReport {
	newest := make(map[string]consensus.AgentReport)
	for _, st := range all {
		for _, r := range st.Reports {
			if r.SeenAt.After(newest[r.Name].SeenAt) {
				newest[r.Name] = r
			}
		}
	}
	return newest
}

func (t *operatorCommands) status(c *agent.Client, _ []string) error {
	all, s, err := t.newestState(c)
	if err != nil {
		return err
	}
	if t.asJSON {
		return json.NewEncoder(t.out).Encode(map[string]any{"members": all, "state": s})
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	led := false
	for _, addr := range c.Replicas {
		st, ok := all[addr]
		switch {
		case !ok:
			fmt.Fprintf(w, "member\t%s\tdoes not answer\n", addr)
			continue
		case !st.IsMember && len(st.State.Members) == 0:
			fmt.Fprintf(w, "member\t%s\t%s (%s) has an empty disk, and is not of the council: member add\n", addr, st.Name, st.ID)
		case !st.IsMember:
			fmt.Fprintf(w, "member\t%s\t%s (%s) is not of the council any more\n", addr, st.Name, st.ID)
		case st.LeaderID == "":
			fmt.Fprintf(w, "member\t%s\t%s has had no leader for %v: too few members answer one another; it stands still at position %d\n", addr, st.Name, st.LeaderlessFor.Round(time.Second), st.Position)
		case st.LeaderID == st.ID:
			led = true
			fmt.Fprintf(w, "member\t%s\t%s leads, term %d, position %d\n", addr, st.Name, st.Term, st.Position)
		default:
			fmt.Fprintf(w, "member\t%s\t%s follows %s, position %d\n", addr, st.Name, st.LeaderName, st.Position)
		}
	}
	fmt.Fprintf(w, "state\tposition %d, epoch %d, level %d\t%d nodes, %d holds\n", s.Position, s.Epoch, s.FormatVersion, len(s.Nodes), len(s.DisableOrders))
	t.printLeases(w, s)
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		fmt.Fprintf(w, "job\t%s\t%s\n", id, jobLine(s.Jobs[id]))
	}
	said := newestReports(all)
	for _, name := range slices.Sorted(maps.Keys(s.Nodes)) {
		n := s.Nodes[name]
		r, ok := said[name]
		line := "has said nothing to the members that answer"
		if ok {
			line = fmt.Sprintf("is at position %d, said %v ago, holds %s", r.Position, time.Since(r.SeenAt).Round(time.Second), listOrNothing(r.ActiveDisableOrders))
		}
		fmt.Fprintf(w, "node\t%s\tzone %s, %s; %s\n", name, n.Zone, n.Address, line)
	}
	for _, id := range slices.Sorted(maps.Keys(s.DisableOrders)) {
		h := s.DisableOrders[id]
		fmt.Fprintf(w, "hold\t%s\t%s until %s by %s: %s\n", id, strings.Join(append(slices.Clone(h.Servers), h.Zones...), " "), h.Until.Local().Format(time.TimeOnly), h.RequestedBy, h.Reason)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if !led {
		return exitError{errors.New("the council has no leader among those that answer: nothing new is agreed on"), exitUnavailable}
	}
	return nil
}

func listOrNothing(ids []string) string {
	if len(ids) == 0 {
		return "nothing"
	}
	return strings.Join(ids, " ")
}

func (t *operatorCommands) printLeases(w io.Writer, s *fleet.State) {
	for _, work := range slices.Sorted(maps.Keys(s.Leases)) {
		o := s.Leases[work]
		line := fmt.Sprintf("%s, token %d, lease %v, %d renewals since position %d", o.Holder, o.FencingToken, o.Duration, o.Renewals, o.GrantedAt)
		if o.StepDownRequestedBy != "" {
			line += "; asked to step down by " + o.StepDownRequestedBy
		}
		if o.RevokedBy != "" {
			line += "; pushed out by " + o.RevokedBy
		}
		fmt.Fprintf(w, "owner\t%s\t%s\n", work, line)
	}
}

func (t *operatorCommands) leases(c *agent.Client, _ []string) error {
	_, s, err := t.newestState(c)
	if err != nil {
		return err
	}
	if t.asJSON {
		return json.NewEncoder(t.out).Encode(s.Leases)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	t.printLeases(w, s)
	return w.Flush()
}

func jobLine(j *fleet.Job) string {
	through, away := 0, slices.Sorted(maps.Keys(j.UnavailableNodes()))
	for _, n := range j.Spec.Nodes {
		if j.Steps[fleet.StepKey{Node: n, Action: fleet.ActionResume}].Outcome == fleet.OutcomeOK {
			through++
		}
	}
	state := string(j.Command)
	if j.CloseReason != "" {
		state = string(j.CloseReason)
	}
	line := fmt.Sprintf("%s %s: %d of %d nodes through, %d steps failed", j.Spec.Kind, state, through, len(j.Spec.Nodes), j.Failures)
	if len(away) > 0 {
		line += ", away: " + strings.Join(away, " ")
	}
	if j.Detail != "" {
		line += "; " + j.Detail
	}
	return line
}

func (t *operatorCommands) leaseCommand(k fleet.Kind) func(*agent.Client, []string) error {
	return func(c *agent.Client, args []string) error {
		if k == fleet.KindRevokeLease && t.reason == "" {
			return errors.New("push: want a --reason: the next one on duty will ask")
		}
		return t.propose(c, fleet.Entry{Kind: k, Resource: args[0]})
	}
}

// pollUntil asks again and again until ok, or the time is over.
func (t *operatorCommands) pollUntil(c *agent.Client, what string, ok func(map[string]consensus.Status, *fleet.State) (bool, string)) error {
	last := ""
	for end := time.Now().Add(t.wait); ; time.Sleep(200 * time.Millisecond) {
		all, s, err := t.newestState(c)
		if err == nil {
			over, line := ok(all, s)
			if line != last {
				fmt.Fprintln(t.out, line)
				last = line
			}
			if over {
				return nil
			}
		}
		if time.Now().After(end) {
			return exitError{fmt.Errorf("%s did not come within %v", what, t.wait), exitTimeout}
		}
	}
}

func (t *operatorCommands) waitCommand() *cobra.Command {
	c := t.clientCommand("wait [POSITION]", "Wait until all nodes are at a position of the log; else at that of now", cobra.MaximumNArgs(1), func(c *agent.Client, args []string) error {
		var at fleet.Position
		if len(args) > 0 {
			n, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return fmt.Errorf("wait: want a position, got %q", args[0])
			}
			at = fleet.Position(n)
		}
		return t.pollUntil(c, "all nodes at the position", func(all map[string]consensus.Status, s *fleet.State) (bool, string) {
			if at == 0 {
				at = s.Position
			}
			var behind []string
			said := newestReports(all)
			for _, name := range slices.Sorted(maps.Keys(s.Nodes)) {
				if said[name].Position < at {
					behind = append(behind, name)
				}
			}
			return len(behind) == 0, fmt.Sprintf("position %d: %d of %d nodes; behind: %s", at, len(s.Nodes)-len(behind), len(s.Nodes), listOrNothing(behind))
		})
	})
	c.Flags().DurationVar(&t.wait, "for", time.Minute, "how long")
	return c
}

func (t *operatorCommands) rollingUpdateCommand() *cobra.Command {
	c := &cobra.Command{Use: "round", Short: "Take nodes out one after another, hand each to the operator's command, take it back"}
	spec := fleet.JobSpec{Kind: fleet.JobRollingUpdate}
	var id string
	var wait bool
	start := t.clientCommand("start [NODE ...]", "Begin a round over nodes; none: all", cobra.ArbitraryArgs, func(c *agent.Client, args []string) error {
		_, s, err := t.newestState(c)
		if err != nil {
			return err
		}
		if spec.Nodes = args; len(args) == 0 {
			spec.Nodes = slices.Sorted(maps.Keys(s.Nodes))
		}
		for i, n := range spec.Nodes {
			if _, ok := s.Nodes[n]; !ok {
				return fmt.Errorf("round: there is no node %q; there are %s", n, strings.Join(slices.Sorted(maps.Keys(s.Nodes)), " "))
			}
			if slices.Contains(spec.Nodes[:i], n) {
				return fmt.Errorf("round: %s is named twice", n)
			}
		}
		if id == "" {
			id = "round-" + strconv.FormatInt(time.Now().Unix(), 10)
		}
		if err := t.propose(c, fleet.Entry{Kind: fleet.KindStartJob, JobID: id, Spec: &spec}); err != nil {
			return err
		}
		fmt.Fprintf(t.out, "%s: %d nodes\n", id, len(spec.Nodes))
		if !wait {
			return nil
		}
		return t.pollUntil(c, "the round's end", func(_ map[string]consensus.Status, s *fleet.State) (bool, string) {
			j := s.Jobs[id]
			if j == nil {
				return false, id + " is not there yet"
			}
			return j.CloseReason != "", jobLine(j)
		})
	})
	f := start.Flags()
	f.IntVar(&spec.MaxUnavailable, "at-once", 1, "so many nodes out at most")
	f.Float64Var(&spec.MinCapacity, "need", 0, "capacity that has to serve at any time")
	f.BoolVar(&spec.ByZone, "by-zone", false, "one zone after another")
	f.IntVar(&spec.MaxFailures, "failures", 1, "after so many failed steps the round stops by itself; 0: never")
	f.DurationVar(&spec.DrainTimeout, "drain", 30*time.Second, "deadline of each drain")
	f.StringVar(&id, "id", "", "a name for the round")
	f.BoolVar(&wait, "wait", false, "show progress until it is over")
	f.DurationVar(&t.wait, "for", time.Hour, "how long to wait")
	c.AddCommand(start)
	for use, short := range map[fleet.JobCommand]string{fleet.CommandPause: "Begin nothing new", fleet.CommandRun: "Go on", fleet.CommandAbort: "Finish the nodes that are out, and end", fleet.CommandRollBack: "Take the patch back, the last node first"} {
		c.AddCommand(t.clientCommand(string(use)+" ROUND", short, cobra.ExactArgs(1), func(c *agent.Client, args []string) error {
			return t.propose(c, fleet.Entry{Kind: fleet.KindControlJob, JobID: args[0], Command: use})
		}))
	}
	return c
}

func (t *operatorCommands) disableCommand() *cobra.Command {
	var id string
	var length time.Duration
	var inZones []string
	c := t.clientCommand("hold [SERVER ...]", "Hold servers, or zones' servers, out at all nodes for a time", cobra.ArbitraryArgs, func(c *agent.Client, args []string) error {
		if len(args)+len(inZones) == 0 {
			return errors.New("hold: want a SERVER, or a --zone")
		}
		if t.reason == "" {
			return errors.New("hold: want a --reason: the next one on duty will ask")
		}
		if id == "" {
			id = "hold-" + strconv.FormatInt(time.Now().UnixMilli(), 10)
		}
		if err := t.propose(c, fleet.Entry{Kind: fleet.KindDisableServers, DisableOrder: &fleet.DisableOrder{ID: id, Servers: args, Zones: inZones, Until: time.Now().Add(length)}}); err != nil {
			return err
		}
		fmt.Fprintln(t.out, id)
		if t.wait == 0 {
			return nil
		}
		return t.pollUntil(c, "the hold at all nodes", func(all map[string]consensus.Status, s *fleet.State) (bool, string) {
			var without []string
			said := newestReports(all)
			for _, name := range slices.Sorted(maps.Keys(s.Nodes)) {
				if !slices.Contains(said[name].ActiveDisableOrders, id) {
					without = append(without, name)
				}
			}
			return len(without) == 0, fmt.Sprintf("%s: in force at %d of %d nodes; not at: %s", id, len(s.Nodes)-len(without), len(s.Nodes), listOrNothing(without))
		})
	})
	f := c.Flags()
	f.StringVar(&id, "id", "", "a name for the hold")
	f.StringSliceVar(&inZones, "zone", nil, "all servers of a zone, as each node's list has them")
	f.DurationVar(&length, "for", 10*time.Minute, "how long the servers are held out")
	f.DurationVar(&t.wait, "wait", 0, "how long to wait until it holds everywhere")
	return c
}

func (t *operatorCommands) memberCommand() *cobra.Command {
	c := &cobra.Command{Use: "member", Short: "Change the council, one member at a time"}
	change := func(c *agent.Client, o consensus.MembershipRequest) error {
		var p consensus.ProposeResponse
		var err error
		for _, addr := range c.Replicas {
			ctx, stop := context.WithTimeout(context.Background(), callTimeout)
			err = c.Call(ctx, http.MethodPost, addr, "/member", o, &p)
			stop()
			switch {
			case err == nil:
				return t.printResult(fleet.Result{Position: p.Position})
			case errors.Is(err, agent.ErrRejected):
				return exitError{err, exitRejected}
			}
		}
		return exitError{err, exitUnavailable}
	}
	c.AddCommand(
		t.clientCommand("add NAME ADDRESS", "Add the member that runs at an address; it votes once it has caught up", cobra.ExactArgs(2), func(c *agent.Client, args []string) error {
			ctx, stop := context.WithTimeout(context.Background(), callTimeout)
			defer stop()
			var st consensus.Status
			if err := c.Call(ctx, http.MethodGet, args[1], "/status", nil, &st); err != nil {
				return exitError{fmt.Errorf("the new member has to run first: %w", err), exitUnavailable}
			}
			if st.Name != args[0] {
				return fmt.Errorf("member add: at %s is %q, not %q", args[1], st.Name, args[0])
			}
			return change(c, consensus.MembershipRequest{Name: args[0], Address: args[1], ID: st.ID})
		}),
		t.clientCommand("remove NAME", "Remove a member, by its name or its id", cobra.ExactArgs(1), func(c *agent.Client, args []string) error {
			return change(c, consensus.MembershipRequest{Name: args[0], Remove: true})
		}))
	return c
}

// bootstrap makes the disk of the first member.
func (t *operatorCommands) bootstrap(s *settings, _ TestHooks) error {
	return consensus.RewriteStorage(filepath.Join(s.Dir, "council"), func(saved consensus.PersistentState) (consensus.PersistentState, error) {
		if saved.Snapshot != nil || saved.HardState != nil || len(saved.Entries) > 0 {
			return saved, fmt.Errorf("%s: this disk has been of a council already", s.Dir)
		}
		return consensus.Bootstrap(fleet.Member{ID: saved.ID, Name: s.Name, Address: s.Address}), nil
	})
}

// forceNewCluster is the way out once most members have lost their disks: what only they knew is lost, and is not asked for.
func (t *operatorCommands) forceNewCluster(s *settings, _ TestHooks) error {
	if t.reason == "" {
		return errors.New("recover: want a --reason: what only the lost members knew is lost by this")
	}
	err := consensus.RewriteStorage(filepath.Join(s.Dir, "council"), func(saved consensus.PersistentState) (consensus.PersistentState, error) {
		if saved.Snapshot == nil {
			return saved, fmt.Errorf("%s: this disk has never been of a council", s.Dir)
		}
		return consensus.ForceNewCluster(saved, fleet.Member{ID: saved.ID, Name: s.Name, Address: s.Address})
	})
	if err == nil {
		s.log.Warn("fleet: the council begins anew on what this member has", "name", s.Name, "who", t.requestedBy, "reason", t.reason)
	}
	return err
}
