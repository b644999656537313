package merge

import (
	"slices"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// mergedServer is what the sources say of the server at one address.
type mergedServer struct {
	reports     []sourceReport  // by source
	published   router.Endpoint // as the router knows it
	isPublished bool
}

// sourceReport is what one source says of a server. Once a source has removed it, its endpoint is kept with
// Availability Removed.
type sourceReport struct {
	known    bool // the source has listed the server at some time
	endpoint router.Endpoint
}

// merge is what the sources together say of the server; false where none of them lists it any more.
func (m *mergedServer) merge() (merged router.Endpoint, listed bool) {
	latest := m.latestStart()
	draining := false
	var pools []string
	for _, report := range m.reports {
		if !report.known || report.endpoint.Started.Before(latest) { // it speaks of an earlier process
			continue
		}
		if report.endpoint.Availability != policy.Running {
			draining = true
		}
		if report.endpoint.Availability == policy.Removed {
			continue
		}
		if !listed {
			merged, listed = report.endpoint, true
		}
		pools = append(pools, report.endpoint.Pools...)
	}
	if !listed {
		return router.Endpoint{}, false
	}
	slices.Sort(pools)
	merged.Pools = slices.Compact(pools)
	merged.Started = latest
	merged.Availability = policy.Running
	if draining {
		merged.Availability = policy.Draining
	}
	return merged, true
}

// latestStart is when the newest process at the address started, of those that are listed.
func (m *mergedServer) latestStart() (latest time.Time) {
	for _, report := range m.reports {
		if report.known && report.endpoint.Availability != policy.Removed && report.endpoint.Started.After(latest) {
			latest = report.endpoint.Started
		}
	}
	return latest
}
