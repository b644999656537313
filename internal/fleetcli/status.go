package fleetcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
	"cobaltward/fleet/consensus"
)

// columnPadding is the number of spaces between two columns of a table.
const columnPadding = 2

// table prints rows of cells in aligned columns.
type table struct {
	writer *tabwriter.Writer
	err    error // first write error
}

func newTable(out io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)}
}

// row adds a row to the table. After an error it does nothing.
func (t *table) row(cells ...string) {
	if t.err == nil {
		_, t.err = fmt.Fprintln(t.writer, strings.Join(cells, "\t"))
	}
}

// flush prints the rows. It returns the errors of earlier rows and of the write.
func (t *table) flush() error { return errors.Join(t.err, t.writer.Flush()) }

func (c *operatorCommands) statusCommand() *cobra.Command {
	return c.clientCommand("status", "Print the state of the replicas, leases, jobs and agents", cobra.NoArgs,
		c.status)
}

func (c *operatorCommands) status(client *agent.Client, _ []string) error {
	statuses, state, err := newestState(client)
	if err != nil {
		return err
	}
	if c.asJSON {
		return json.NewEncoder(c.out).Encode(struct {
			Members map[string]consensus.Status `json:"members"`
			State   *fleet.State                `json:"state"`
		}{statuses, state})
	}
	rows := newTable(c.out)
	hasLeader := false
	for _, address := range client.Replicas {
		status, answered := statuses[address]
		hasLeader = hasLeader || answered && isLeader(status)
		rows.row("member", address, replicaLine(status, answered))
	}
	printState(rows, state)
	printNodes(rows, state, newestReports(statuses))
	printDisableOrders(rows, state)
	if err := rows.flush(); err != nil {
		return err
	}
	if !hasLeader {
		err := errors.New("no leader among the replicas that answer: nothing is committed")
		return exitError{err, exitUnavailable}
	}
	return nil
}

func isLeader(status consensus.Status) bool {
	return status.IsMember && status.LeaderID != "" && status.LeaderID == status.ID
}

// replicaLine describes a replica in one line. answered reports whether the replica has responded with status.
func replicaLine(status consensus.Status, answered bool) string {
	switch {
	case !answered:
		return "does not answer"
	case !status.IsMember && len(status.State.Members) == 0:
		return fmt.Sprintf("%s (%s) has empty storage and is no member: member add", status.Name, status.ID)
	case !status.IsMember:
		return fmt.Sprintf("%s (%s) is no longer a member", status.Name, status.ID)
	case status.LeaderID == "":
		return fmt.Sprintf("%s has had no leader for %v: too few members reach one another; stopped at position %d",
			status.Name, status.LeaderlessFor.Round(time.Second), status.Position)
	case isLeader(status):
		return fmt.Sprintf("%s leads, term %d, position %d", status.Name, status.Term, status.Position)
	}
	return fmt.Sprintf("%s follows %s, position %d", status.Name, status.LeaderName, status.Position)
}

func printState(rows *table, state *fleet.State) {
	rows.row("state",
		fmt.Sprintf("position %d, epoch %d, level %d", state.Position, state.Epoch, state.FormatVersion),
		fmt.Sprintf("%d nodes, %d disable orders", len(state.Nodes), len(state.DisableOrders)))
	printLeases(rows, state)
	for _, id := range slices.Sorted(maps.Keys(state.Jobs)) {
		rows.row("job", id, jobLine(state.Jobs[id]))
	}
}

func printNodes(rows *table, state *fleet.State, reports map[string]consensus.AgentReport) {
	for _, name := range slices.Sorted(maps.Keys(state.Nodes)) {
		node := state.Nodes[name]
		line := "has not reported to the members that answer"
		if report, ok := reports[name]; ok {
			line = fmt.Sprintf("at position %d, reported %v ago, active disable orders: %s", report.Position,
				time.Since(report.SeenAt).Round(time.Second), listOrNothing(report.ActiveDisableOrders))
		}
		rows.row("node", name, fmt.Sprintf("zone %s, %s; %s", node.Zone, node.Address, line))
	}
}

func printDisableOrders(rows *table, state *fleet.State) {
	for _, id := range slices.Sorted(maps.Keys(state.DisableOrders)) {
		order := state.DisableOrders[id]
		what := strings.Join(slices.Concat(order.Servers, order.Zones), " ")
		until := order.Until.Local().Format(time.TimeOnly)
		rows.row("hold", id, fmt.Sprintf("%s until %s by %s: %s", what, until, order.RequestedBy, order.Reason))
	}
}

func listOrNothing(names []string) string {
	if len(names) == 0 {
		return "nothing"
	}
	return strings.Join(names, " ")
}

func printLeases(rows *table, state *fleet.State) {
	for _, resource := range slices.Sorted(maps.Keys(state.Leases)) {
		lease := state.Leases[resource]
		line := fmt.Sprintf("%s, token %d, lease %v, %d renewals since position %d",
			lease.Holder, lease.FencingToken, lease.Duration, lease.Renewals, lease.GrantedAt)
		if lease.StepDownRequestedBy != "" {
			line += "; asked to step down by " + lease.StepDownRequestedBy
		}
		if lease.RevokedBy != "" {
			line += "; revoked by " + lease.RevokedBy
		}
		rows.row("owner", resource, line)
	}
}

func (c *operatorCommands) leases(client *agent.Client, _ []string) error {
	_, state, err := newestState(client)
	if err != nil {
		return err
	}
	if c.asJSON {
		return json.NewEncoder(c.out).Encode(state.Leases)
	}
	rows := newTable(c.out)
	printLeases(rows, state)
	return rows.flush()
}

// jobLine describes the progress of a job in one line.
func jobLine(job *fleet.Job) string {
	done := 0
	for _, node := range job.Spec.Nodes {
		if job.Steps[fleet.StepKey{Node: node, Action: fleet.ActionResume}].Outcome == fleet.OutcomeOK {
			done++
		}
	}
	condition := string(job.Command)
	if !job.Open() {
		condition = string(job.CloseReason)
	}
	line := fmt.Sprintf("%s %s: %d of %d nodes done, %d steps failed",
		job.Spec.Kind, condition, done, len(job.Spec.Nodes), job.Failures)
	if unavailable := slices.Sorted(maps.Keys(job.UnavailableNodes())); len(unavailable) > 0 {
		line += ", unavailable: " + strings.Join(unavailable, " ")
	}
	if job.Detail != "" {
		line += "; " + job.Detail
	}
	return line
}
