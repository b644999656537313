package router

import (
	"time"

	"cobaltward/dropoverload"
	"cobaltward/policy"
)

// Stats holds the statistics of a router, counted from its start unless a field says otherwise.
type Stats struct {
	Phase   Phase
	Answers [len(outcomeNames)]uint64 // number of final answers, by Outcome

	ClientsGone     uint64         // requests whose caller left before the answer
	OpenByClass     map[string]int // requests now without an answer, by class
	Oldest          time.Duration  // age of the oldest request without an answer
	OldestRemaining time.Duration  // time that the client of the oldest request still waits
	Queued          int            // open requests without an attempt in flight
	Retrying        int            // open requests with more than one attempt
	Retained        int            // requests in memory, including answered ones with attempts in flight

	ServerConns      int    // open connections to servers; 0 if the transport does not count them
	Attempts         uint64 // attempts started
	AttemptsInFlight int    // attempts in flight now
	AttemptsWritten  uint64 // attempts written completely to servers; 0 if the transport does not count them
	Retries          uint64 // attempts beyond the first attempt of a request
	Skipped          uint64 // attempts requested by the balancer but no longer allowed

	// UploadsExpired is the number of requests whose client may have waited for its timeout while servers were reading
	// the body.
	UploadsExpired uint64

	Dropped uint64 // requests rejected by the drop fractions of the endpoint source; included in Answers[Rejected]
	Shed    uint64 // requests rejected by the level of service; included in Answers[Rejected]

	EndpointsByAvailability map[policy.Availability]int // endpoints now listed
	EndpointsByPool         map[string]int              // endpoints now listed, by pool
	EndpointList            EndpointListStats
	Drops                   dropoverload.Fractions // drop fractions now in force; must not be changed

	IDs     IDStats
	Timers  int // timers pending now
	Reloads uint64
	Lag     Lag
}

// EndpointListStats holds the statistics of the endpoint list.
type EndpointListStats struct {
	Updates    uint64    `json:"Changes"`
	Failures   uint64    `json:"Failures"` // failed updates: the source could not be reached
	LastUpdate time.Time `json:"Changed"`
}

// Lag is the delay with which the event loop handled requests and timers. It grows when the host runs the loop late.
type Lag struct{ Last, Mean, Max time.Duration }

// Answered returns the total number of final answers.
func (s Stats) Answered() (total uint64) {
	for _, n := range s.Answers {
		total += n
	}
	return total
}

// Stats returns the current statistics. It waits for the event loop, even if the host does not run the loop for a
// long time. After Close it returns the final statistics.
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

// snapshot returns the counts of the loop, with the statistics that are derived from its state.
func (l *loop) snapshot() Stats {
	stats := l.stats
	stats.Answers = l.counters.answers()
	stats.AttemptsWritten = attemptsWritten(l.transport)
	stats.AttemptsInFlight = l.attemptsInFlight
	stats.ServerConns = serverConnections(l.transport)
	stats.Retained = len(l.requests)
	stats.IDs = l.ids.snapshot()
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
