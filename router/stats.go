package router

import (
	"time"

	"cobaltward/dropoverload"
	"cobaltward/policy"
)

// Stats are a router's statistics, counted from its start on unless said otherwise.
type Stats struct {
	Phase   Phase
	Answers [len(outcomeNames)]uint64 // final answers, by Outcome

	ClientsGone     uint64         // requests whose caller left before the answer
	OpenByClass     map[string]int // requests without an answer now
	Oldest          time.Duration  // age of the oldest of them
	OldestRemaining time.Duration  // for how long it is still waited for
	Queued          int            // open requests that have no attempt in flight
	Retrying        int            // open requests that have had more than one attempt
	Retained        int            // requests in memory, among them answered ones with attempts in flight

	ServerConns      int    // open connections to servers; 0 where the transport doesn't count them
	Attempts         uint64 // started
	AttemptsInFlight int    // now
	AttemptsWritten  uint64 // written completely to servers; 0 where the transport doesn't count them
	Retries          uint64 // attempts beyond a request's first
	Skipped          uint64 // attempts that the balancer wanted and the rules did not allow

	Dropped uint64 // requests rejected by the endpoint source's drop fractions; of Answers[Rejected]
	Shed    uint64 // requests rejected by the level of service; of Answers[Rejected]

	EndpointsByAvailability map[policy.Availability]int // listed now
	EndpointsByPool         map[string]int              // listed now
	EndpointList            EndpointListStats
	Drops                   dropoverload.Fractions // drop fractions in force now; only read

	Timers  int // pending now
	Reloads uint64
	Lag     Lag
}

// EndpointListStats are the statistics of the endpoint list.
type EndpointListStats struct {
	Updates    uint64    `json:"Changes"`
	Failures   uint64    `json:"Failures"` // times that the source could not be reached
	LastUpdate time.Time `json:"Changed"`
}

// Lag is how late the event loop came to requests and timers, since the host kept it from running.
type Lag struct{ Last, Mean, Max time.Duration }

// Answered is the number of final answers.
func (s Stats) Answered() (total uint64) {
	for _, n := range s.Answers {
		total += n
	}
	return total
}

// Stats returns the statistics. It waits for the event loop, however long the host keeps that from running;
// after Close it returns the last ones.
func (r *Router) Stats() Stats {
	var stats Stats
	err := r.runInLoop(func(l *loop) error {
		stats = l.snapshot()
		return nil
	})
	if err != nil { // the loop has ended
		stats = r.loop.stats
	}
	stats.Phase = r.Phase()
	return stats
}

// snapshot completes the statistics that the loop counts by those that are read off its state.
func (l *loop) snapshot() Stats {
	stats := l.stats
	stats.Answers = l.counters.answers()
	stats.AttemptsWritten = attemptsWritten(l.transport)
	stats.AttemptsInFlight = l.attemptsInFlight
	stats.ServerConns = serverConnections(l.transport)
	stats.Retained = len(l.requests)
	stats.Timers = len(l.timers)
	stats.Drops = l.drops
	l.countRequests(&stats)
	l.countEndpoints(&stats)
	return stats
}

// countRequests counts the open requests.
func (l *loop) countRequests(stats *Stats) {
	stats.OpenByClass = make(map[string]int)
	now := l.clock.now()
	for _, r := range l.requests {
		if r.finished {
			continue
		}
		stats.OpenByClass[r.req.Class]++
		if age := now - r.submittedAt; age >= stats.Oldest {
			stats.Oldest = age
			stats.OldestRemaining = max(0, r.receivedAt+r.timeout-now)
		}
		if !r.hasAttemptInFlight() {
			stats.Queued++
		}
		if len(r.attempts) > 1 {
			stats.Retrying++
		}
	}
}

// countEndpoints counts the listed endpoints.
func (l *loop) countEndpoints(stats *Stats) {
	stats.EndpointsByAvailability = make(map[policy.Availability]int)
	stats.EndpointsByPool = make(map[string]int)
	for _, endpoint := range l.endpoints {
		stats.EndpointsByAvailability[endpoint.availability]++
		for _, pool := range endpoint.pools {
			stats.EndpointsByPool[pool]++
		}
	}
}
