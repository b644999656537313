package router

import (
	"slices"
	"time"

	"cobaltward/drops"
	"cobaltward/policy"
)

// Stats is what a router counts, from its start on unless said otherwise.
type Stats struct {
	Phase                   Phase
	Answers                 [len(outcomeNames)]uint64 // final answers, by Outcome
	ClientsGone             uint64                    // requests whose caller left before the answer
	OpenByClass             map[string]int            // requests without their answer now, by class
	Oldest                  time.Duration             // since the oldest request without its answer was handed in
	OldestRemaining         time.Duration             // that it is still waited for
	Queued                  int                       // requests without their answer that have no attempt out
	Retrying                int                       // requests without their answer that have had more than one attempt
	ServerConns             int                       // to servers, where the transport tells
	Attempts                uint64                    // made
	AttemptsWritten         uint64                    // of them, written whole to servers, where the transport tells
	Retries                 uint64                    // of them, beyond a request's first
	Dropped                 uint64                    // requests refused since a part is to be dropped; of Answers[Refused]
	Shed                    uint64                    // requests refused by the level of service; of Answers[Refused]
	Skipped                 uint64                    // that the module wanted and the rules did not allow
	AttemptsInFlight        int                       // attempts that are out now
	Retained                int                       // requests in memory, those with attempts still out among them
	Timers                  int
	Reloads                 uint64
	EndpointsByAvailability map[policy.Availability]int // listed now
	EndpointsByPool         map[string]int              // servers listed now, by pool
	Drops                   drops.Parts                 // of the requests of classes bound to a pool, in force now
	EndpointList            EndpointListStats
	Lag                     Lag
}

// EndpointListStats tells of the list of servers.
type EndpointListStats struct {
	Updates    uint64
	Failures   uint64    // of a list that must be asked for
	LastUpdate time.Time // last
}

// Lag is how late the router came to requests and timers, since the host kept it from running.
type Lag struct{ Last, Mean, Max time.Duration }

// Answered is the number of final answers.
func (s Stats) Answered() (n uint64) {
	for _, a := range s.Answers {
		n += a
	}
	return n
}

func (l *loop) snapshot() Stats {
	s := l.stats
	s.Answers, s.AttemptsWritten = l.counters.answers(), l.attemptsWritten()
	s.OpenByClass = make(map[string]int)
	now := l.clock.now()
	for _, r := range l.requests {
		if r.finished {
			continue
		}
		s.OpenByClass[r.req.Class]++
		if age := now - r.submittedAt; age >= s.Oldest {
			s.Oldest, s.OldestRemaining = age, max(0, r.receivedAt+r.timeout-now)
		}
		if !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.inFlight }) {
			s.Queued++
		}
		if len(r.attempts) > 1 {
			s.Retrying++
		}
	}
	if t, ok := l.transport.(interface{ Conns() int }); ok {
		s.ServerConns = t.Conns()
	}
	s.Drops = l.drops // nobody changes it
	s.AttemptsInFlight, s.Retained, s.Timers = l.attemptsInFlight, len(l.requests), len(l.timers)
	s.EndpointsByAvailability, s.EndpointsByPool = make(map[policy.Availability]int), make(map[string]int)
	for _, m := range l.endpoints {
		s.EndpointsByAvailability[m.availability]++
		for _, p := range m.pools {
			s.EndpointsByPool[p]++
		}
	}
	return s
}
