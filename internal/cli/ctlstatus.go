package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"cobaltward/drain"
	"cobaltward/internal/node"
)

// progressLine returns the node's state, open requests and connections as one line.
func progressLine(status node.Status) string {
	requests := status.Requests
	line := fmt.Sprintf("%s  %d in flight", status.Drain.State, requests.Open)
	var classes []string
	for name, count := range requests.ByClass {
		classes = append(classes, fmt.Sprintf("%s %d", name, count))
	}
	if len(classes) > 0 {
		slices.Sort(classes)
		line += " (" + strings.Join(classes, ", ") + ")"
	}
	if requests.Open > 0 {
		line += fmt.Sprintf(", oldest %.1f s with %.1f s left, %d held, %d retrying",
			float64(requests.OldestMs)/1e3, float64(requests.OldestRemainingMs)/1e3, requests.Queued, requests.Retrying)
	}
	line += fmt.Sprintf("; connections: %d of clients, %d to servers",
		status.Connections.Clients, status.Connections.Servers)
	if !status.Drain.Deadline.IsZero() && !status.Drain.State.Done() {
		remaining := max(0, status.Drain.Deadline.Sub(status.At).Seconds())
		line += fmt.Sprintf("; %.0f s until the deadline", remaining)
	}
	return line
}

// printStatus prints the node's state as a table.
func printStatus(out io.Writer, status node.Status) error {
	table := newTable(out)
	table.printf("node\t%s\n", status.Name)
	table.printf("state\t%s\n", status.Drain.State)
	if order := status.Drain; order.State != drain.Serving {
		table.printf("drain\tordered at %s by %q, until %s: %s\n", order.StartedAt.Local().Format(time.TimeOnly),
			order.RequestedBy, order.Deadline.Local().Format(time.TimeOnly), order.Reason)
	}
	table.printf("now\t%s\n", progressLine(status))
	table.printf("servers\t%d running, %d draining; list changed %d times, failed %d times\n",
		status.Servers["running"], status.Servers["draining"],
		status.EndpointList.Updates, status.EndpointList.Failures)
	if len(status.DisabledServers) > 0 {
		table.printf("drained by hand\t%s\n", strings.Join(status.DisabledServers, " "))
	}
	if len(status.UntrustedServers) > 0 {
		table.printf("can't prove who they are\t%s (wayhold certs show)\n", strings.Join(status.UntrustedServers, " "))
	}
	var answers []string
	for name, count := range status.Answers {
		if count > 0 {
			answers = append(answers, fmt.Sprintf("%d %s", count, name))
		}
	}
	slices.Sort(answers)
	table.printf("answers\t%s\n", strings.Join(answers, ", "))
	table.printf("closed for drains\t%d connections, crossed by %d requests\n",
		status.Connections.ClosedForDrain, status.Connections.RetriedByClients)
	return table.flush()
}
