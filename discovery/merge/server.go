package merge

import (
	"slices"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// mergedServer contains the reports of all sources about the server at one address.
type mergedServer struct {
	reports     []sourceReport  // one per source
	published   router.Endpoint // endpoint as last published
	isPublished bool            // whether the router has received the endpoint in published
}

// sourceReport is the data that one source reports about a server. After the source has removed the server, the
// report keeps the endpoint with Availability Removed.
type sourceReport struct {
	known    bool // whether the source has listed the server at least once
	endpoint router.Endpoint
}

// merge combines the reports of all sources into one endpoint. listed is false if no source lists the server anymore.
func (m *mergedServer) merge() (merged router.Endpoint, listed bool) {
	latest := m.latestStart()
	draining := false
	var pools []string
	for _, report := range m.reports {
		if !report.known || report.endpoint.Started.Before(latest) { // the report describes an earlier process
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

// latestStart returns the start time of the newest process that any source lists at the address.
func (m *mergedServer) latestStart() (latest time.Time) {
	for _, report := range m.reports {
		if report.known && report.endpoint.Availability != policy.Removed && report.endpoint.Started.After(latest) {
			latest = report.endpoint.Started
		}
	}
	return latest
}
