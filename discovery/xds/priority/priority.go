// Package priority decides which endpoints of a cluster are open to new work: a lower priority only
// where those above it are without enough healthy servers. It does no I/O and keeps no state, so the
// same endpoints always come to the same decision.
//
// It follows Envoy's priority levels (availability is the healthy part times the overprovisioning
// factor), but opens whole levels in place of splitting traffic by percentages: how work is spread over
// open servers is the module's to decide.
package priority

import "cobaltward/discovery/xds/resource"

// fullAvailability allows for rounding: 5 of 7 healthy at a factor of 1.4 are all that is asked for.
const fullAvailability = 1 - 1e-9

// Eligible tells of each endpoint whether new work may go to it.
//
// Levels are opened in order until their availability adds up to the whole. Degraded endpoints of open
// levels are used only where the healthy ones of all levels do not come to that. Where nothing at all is
// healthy or degraded, nothing is open: the control plane has said that none should be used.
func Eligible(a *resource.Assignment) []bool {
	type level struct{ all, healthy int }
	var levels []level
	for _, e := range a.Endpoints {
		for int(e.Priority) >= len(levels) {
			levels = append(levels, level{})
		}
		l := &levels[e.Priority]
		l.all++
		if isHealthy(e.Health) {
			l.healthy++
		}
	}
	factor := a.Overprovisioning
	if factor <= 0 {
		factor = 1
	}
	opened, sum := 0, 0.0
	for ; opened < len(levels) && sum < fullAvailability; opened++ {
		if l := levels[opened]; l.all > 0 {
			sum += min(1, factor*float64(l.healthy)/float64(l.all))
		}
	}
	open := make([]bool, len(a.Endpoints))
	for i, e := range a.Endpoints {
		open[i] = int(e.Priority) < opened && (isHealthy(e.Health) || e.Health == resource.Degraded && sum < fullAvailability)
	}
	return open
}

// isHealthy tells whether an endpoint counts as healthy: so does one that nobody has checked.
func isHealthy(h resource.Health) bool { return h == resource.Healthy || h == resource.Unknown }
