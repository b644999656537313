package router

import (
	"slices"
	"strings"
)

// Metrics holds counts that Router.Metrics reads without waiting for the event loop. A request whose caller left
// before the answer is not counted.
type Metrics struct {
	Classes              []ClassMetrics // all classes that the settings have or had, sorted by name
	Accepted             uint64         // requests accepted since the start
	InFlight             int            // requests accepted and not yet finished
	IDs                  IDStats        // request IDs in use and remembered
	Endpoints            int            // servers in the endpoint list
	UnavailableEndpoints int            // servers in the endpoint list that the balancer avoids
	AttemptsWritten      uint64         // attempts written completely to servers; 0 if the transport does not count them
}

// ClassMetrics holds the numbers of final answers of one class since the start.
type ClassMetrics struct {
	Class   string
	Served  uint64
	Busy    uint64 // rejected or overloaded
	Failure uint64 // failed, expired or in conflict
}

// Metrics returns the current counts. It does not block.
func (r *Router) Metrics() Metrics {
	metrics := r.loop.counters.metrics()
	metrics.AttemptsWritten = attemptsWritten(r.loop.transport)
	metrics.IDs = r.loop.ids.snapshot()
	return metrics
}

// InFlight returns the number of requests accepted and not yet finished. It does not block.
func (r *Router) InFlight() int { return int(r.loop.counters.inFlight.Load()) }

// CountFailed counts a malformed request of class as failed. Frontends call it for requests that they answer without
// the router.
func (r *Router) CountFailed(class string) { r.loop.counters.count(class, Failed) }

func (c *counters) metrics() Metrics {
	metrics := Metrics{
		Accepted:             c.accepted.Load(),
		InFlight:             int(c.inFlight.Load()),
		Endpoints:            int(c.endpoints.Load()),
		UnavailableEndpoints: int(c.unavailableEndpoints.Load()),
	}
	for name, class := range *c.classes.Load() {
		if name != "" {
			metrics.Classes = append(metrics.Classes, class.metrics(name))
		}
	}
	slices.SortFunc(metrics.Classes, func(a, b ClassMetrics) int { return strings.Compare(a.Class, b.Class) })
	return metrics
}

func (c *classCounters) metrics(name string) ClassMetrics {
	count := func(o Outcome) uint64 { return c.answers[o].Load() }
	return ClassMetrics{
		Class:   name,
		Served:  count(Served),
		Busy:    count(Rejected) + count(Overloaded),
		Failure: count(Failed) + count(Expired) + count(Conflict),
	}
}

// publishEndpointCounts updates the counts of endpoints. The loop calls it after each event.
func (l *loop) publishEndpointCounts() {
	unavailable := 0
	if balancer, ok := l.balancer.(availabilityCounter); ok {
		unavailable = balancer.UnavailableEndpoints()
	}
	l.counters.setEndpoints(len(l.endpoints), unavailable)
}
