// Package priority decides which endpoints of a cluster are eligible for new work: those of a lower priority level only
// where the levels above have not enough healthy ones. It does no I/O and keeps no state: equal assignments get equal
// decisions.
//
// It follows Envoy's priority levels (the availability of a level is its healthy part times the overprovisioning
// factor), but makes whole levels eligible in place of splitting traffic by percentages: the load balancer spreads work
// over the eligible endpoints.
package priority

import "cobaltward/discovery/xds/resource"

// fullAvailability allows for rounding: 5 of 7 healthy at a factor of 1.4 are full availability.
const fullAvailability = 1 - 1e-9

// level counts the endpoints of one priority level.
type level struct{ all, healthy int }

// availability is the part of all traffic that the level can take.
func (l level) availability(overprovisioning float64) float64 {
	if l.all == 0 {
		return 0
	}
	return min(1, overprovisioning*float64(l.healthy)/float64(l.all))
}

// Eligible reports of each endpoint of an assignment, by its index, whether new work may go to it.
//
// Levels are used in order until their availability adds up to full availability. Degraded endpoints of these levels
// are eligible only where the healthy ones of all levels do not add up to that. Where nothing is healthy or degraded,
// nothing is eligible: the control plane has said that none should be used.
func Eligible(assignment *resource.Assignment) []bool {
	overprovisioning := assignment.Overprovisioning
	if overprovisioning <= 0 {
		overprovisioning = 1
	}
	levels := countLevels(assignment.Endpoints)
	used, total := 0, 0.0
	for ; used < len(levels) && total < fullAvailability; used++ {
		total += levels[used].availability(overprovisioning)
	}
	eligible := make([]bool, len(assignment.Endpoints))
	for i := range assignment.Endpoints {
		endpoint := &assignment.Endpoints[i]
		degraded := endpoint.Health == resource.Degraded && total < fullAvailability
		eligible[i] = int(endpoint.Priority) < used && (isHealthy(endpoint.Health) || degraded)
	}
	return eligible
}

// countLevels counts the endpoints of each level.
func countLevels(endpoints []resource.Endpoint) []level {
	var levels []level
	for i := range endpoints {
		for int(endpoints[i].Priority) >= len(levels) {
			levels = append(levels, level{})
		}
		l := &levels[endpoints[i].Priority]
		l.all++
		if isHealthy(endpoints[i].Health) {
			l.healthy++
		}
	}
	return levels
}

// isHealthy reports whether an endpoint counts as healthy; one never checked does.
func isHealthy(health resource.Health) bool {
	return health == resource.Healthy || health == resource.Unknown
}
