package node

import (
	"time"

	"cobaltward/drain"
	"cobaltward/router"
)

// statusMaxAge is the maximum age of the cached status. With the cache, many polling clients cost no more than one
// client.
const statusMaxAge = 100 * time.Millisecond

// statusVersion is the format version in Status.Version.
const statusVersion = 1

// Status is the status of a node, as the admin API sends it.
type Status struct {
	Version          int                      `json:"version"`
	Name             string                   `json:"name"`
	At               time.Time                `json:"at"`
	Phase            string                   `json:"phase"`
	Drain            drain.Status             `json:"drain"`
	Requests         RequestCounts            `json:"requests"`
	Connections      ConnectionCounts         `json:"connections"`
	Servers          map[string]int           `json:"servers"` // number of servers by availability
	DisabledServers  []string                 `json:"servers_drained_by_hand"`
	UntrustedServers []string                 `json:"servers_untrusted,omitempty"` // IDs of servers with unproven identity
	EndpointList     router.EndpointListStats `json:"list"`
	Answers          map[string]uint64        `json:"answers"` // number of answers by outcome
	Attempts         uint64                   `json:"attempts"`
}

// RequestCounts counts the requests without an answer.
type RequestCounts struct {
	Open              int            `json:"open"`
	ByClass           map[string]int `json:"by_class"`
	OldestMs          int64          `json:"oldest_ms"`      // age of the oldest request
	OldestRemainingMs int64          `json:"oldest_left_ms"` // time until the deadline of the oldest request
	Queued            int            `json:"held"`           // requests waiting for a server
	Retrying          int            `json:"retrying"`
	AttemptsInFlight  int            `json:"attempts_out"`
}

// ConnectionCounts counts the node's connections.
type ConnectionCounts struct {
	Clients          int    `json:"clients"`
	Busy             int    `json:"clients_with_a_request"`
	Servers          int    `json:"servers"`
	ClosedForDrain   uint64 `json:"parted"`  // idle client connections closed by a drain
	RetriedByClients uint64 `json:"crossed"` // requests on connections that a drain was closing; clients retry them
}

// currentStatus returns the node's status, which is at most statusMaxAge old. The drain in the status is always
// current.
func (a *adminAPI) currentStatus() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.statusAt) < statusMaxAge {
		status := a.lastStatus
		status.Drain = a.engine.DrainStatus()
		return status
	}
	a.lastStatus = a.readStatus()
	a.statusAt = time.Now()
	return a.lastStatus
}

func (a *adminAPI) readStatus() Status {
	stats := a.engine.Stats()
	return Status{
		Version:          statusVersion,
		Name:             a.name,
		At:               time.Now(),
		Phase:            stats.Phase.String(),
		Drain:            a.engine.DrainStatus(),
		Requests:         requestCounts(stats),
		Connections:      a.connectionCounts(stats),
		Servers:          serverCounts(stats),
		DisabledServers:  a.disabled.Disabled(),
		UntrustedServers: a.disabled.Untrusted(),
		EndpointList:     stats.EndpointList,
		Answers:          answerCounts(stats),
		Attempts:         stats.Attempts,
	}
}

func requestCounts(stats router.Stats) RequestCounts {
	counts := RequestCounts{
		ByClass:           stats.OpenByClass,
		OldestMs:          stats.Oldest.Milliseconds(),
		OldestRemainingMs: stats.OldestRemaining.Milliseconds(),
		Queued:            stats.Queued,
		Retrying:          stats.Retrying,
		AttemptsInFlight:  stats.AttemptsInFlight,
	}
	for _, open := range stats.OpenByClass {
		counts.Open += open
	}
	return counts
}

func (a *adminAPI) connectionCounts(stats router.Stats) ConnectionCounts {
	counts := ConnectionCounts{Servers: stats.ServerConns}
	counts.Clients, counts.Busy = a.engine.ClientConnections()
	counts.ClosedForDrain, counts.RetriedByClients = a.httpServer.idleCloseCounts()
	return counts
}

// availabilityNames are the names of the values of policy.Availability in a status.
var availabilityNames = [...]string{"running", "draining", "removed"}

func serverCounts(stats router.Stats) map[string]int {
	counts := make(map[string]int)
	for availability, servers := range stats.EndpointsByAvailability {
		counts[availabilityNames[availability]] = servers
	}
	return counts
}

func answerCounts(stats router.Stats) map[string]uint64 {
	counts := make(map[string]uint64)
	for outcome, answers := range stats.Answers {
		counts[router.Outcome(outcome).String()] = answers
	}
	return counts
}
