package router

import (
	"slices"
	"strings"
)

// Metrics are counts that are read without waiting, however busy the router is. A request whose caller has left
// before its answer is counted nowhere.
type Metrics struct {
	Classes              []ClassMetrics // of every class that the settings have or had, by name
	InFlight             int            // requests accepted and not ended
	Endpoints            int            // servers in the endpoint list
	UnavailableEndpoints int            // of them, those that the balancer avoids
	AttemptsWritten      uint64         // written completely to servers; 0 where the transport doesn't count them
}

// ClassMetrics are the numbers of final answers of one class, since the start.
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
	return metrics
}

// InFlight is the number of requests accepted and not ended. It does not block.
func (r *Router) InFlight() int { return int(r.loop.counters.inFlight.Load()) }

// CountFailed counts a request of a class as failed that a front has answered itself, since it was malformed: the
// router never saw it.
func (r *Router) CountFailed(class string) { r.loop.counters.count(class, Failed) }

func (c *counters) metrics() Metrics {
	metrics := Metrics{
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

// publishEndpointCounts keeps the counts of the endpoints up to date, after each event.
func (l *loop) publishEndpointCounts() {
	unavailable := 0
	if balancer, ok := l.balancer.(availabilityCounter); ok {
		unavailable = balancer.UnavailableEndpoints()
	}
	l.counters.setEndpoints(len(l.endpoints), unavailable)
}
