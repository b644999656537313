// Package priority decides which endpoints of a cluster are eligible for new work. Endpoints of a lower priority
// level are eligible only if the levels above have too few healthy endpoints. The package does no I/O and keeps no
// state. Equal assignments get equal decisions.
//
// The package follows Envoy's priority levels. The availability of a level is its fraction of healthy endpoints times
// the overprovisioning factor. Unlike Envoy, the package makes whole levels eligible instead of splitting traffic by
// percentages. The load balancer distributes work over the eligible endpoints.
package priority

import "cobaltward/discovery/xds/resource"

// fullAvailability is slightly below 1 to allow for rounding. For example, 5 of 7 healthy endpoints with a factor of
// 1.4 are full availability.
const fullAvailability = 1 - 1e-9

// level counts the endpoints, and the healthy endpoints, of one priority level.
type level struct{ all, healthy int }

// availability returns the fraction of all traffic that the level can take.
func (l level) availability(overprovisioning float64) float64 {
	if l.all == 0 {
		return 0
	}
	return min(1, overprovisioning*float64(l.healthy)/float64(l.all))
}

// Eligible returns whether each endpoint of an assignment may get new work, by the index of the endpoint.
//
// Levels are used in order until their availabilities add up to full availability. Degraded endpoints of these levels
// are eligible only if the availabilities of all levels add up to less than full availability. If no endpoint of
// these levels is healthy or degraded, no endpoint is eligible. In that case the control plane has reported that no
// endpoint should be used.
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

// countLevels counts the endpoints, and the healthy endpoints, of each level.
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

// isHealthy reports whether an endpoint with the given health counts as healthy. Unknown health counts as healthy.
func isHealthy(health resource.Health) bool {
	return health == resource.Healthy || health == resource.Unknown
}
