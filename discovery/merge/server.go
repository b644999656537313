package merge

import (
	"slices"
	"time"

	"cobaltward/discovery"
	"cobaltward/policy"
	"cobaltward/router"
)

// mergedServer contains the reports of all sources about the server at one address.
type mergedServer struct {
	reports      []sourceReport  // one per source
	published    router.Endpoint // endpoint as last published
	isPublished  bool            // whether the router has received the endpoint in published
	contradicted bool            // whether the sources contradict each other about the zone or the cell, by the last merge
}

// sourceReport is the data that one source reports about a server. After the source has removed the server, the
// report keeps the endpoint with Availability Removed.
type sourceReport struct {
	known           bool // whether the source has listed the server at least once
	endpoint        router.Endpoint
	changedAt       time.Time // when the source first reported the endpoint as it is now, since it last listed it anew
	confirmedAt     time.Time // when the source last reported or removed the endpoint
	startReceivedAt time.Time // when the source first reported the start time of the endpoint
}

// isListed reports whether the source lists the server.
func (r *sourceReport) isListed() bool { return r.known && r.endpoint.Availability != policy.Removed }

// set stores an endpoint that the source has reported at the given time.
func (r *sourceReport) set(endpoint *router.Endpoint, at time.Time) {
	isSameStart := r.known && r.endpoint.Started.Equal(endpoint.Started)
	if !isSameStart {
		r.startReceivedAt = at
	}
	if !isSameStart || !discovery.Equal(r.endpoint, *endpoint) {
		r.changedAt = at
	}
	r.known, r.endpoint, r.confirmedAt = true, *endpoint, at
}

// remove records that the source removed the server at the given time.
func (r *sourceReport) remove(at time.Time) {
	r.endpoint.Availability, r.confirmedAt = policy.Removed, at
}

// startsAfter reports whether r names a later start than other does.
func (r *sourceReport) startsAfter(other *sourceReport) bool {
	if r.endpoint.Started.Equal(other.endpoint.Started) {
		return other.endpoint.StartUnknown && !r.endpoint.StartUnknown
	}
	return r.endpoint.Started.After(other.endpoint.Started)
}

// drains reports whether the source has drained or removed the process that newest describes. A drain that is reported
// again counts from the last report.
func (r *sourceReport) drains(newest *sourceReport) bool {
	return r.known && r.endpoint.Availability != policy.Running && !r.isAboutEarlierProcess(newest, r.confirmedAt)
}

// describes reports whether the attributes in r may be those of the process that newest describes. An unchanged report
// counts from its first time: a source that repeats its list need not have noticed a new process.
func (r *sourceReport) describes(newest *sourceReport) bool {
	return r.known && !r.isAboutEarlierProcess(newest, r.changedAt)
}

// isAboutEarlierProcess reports whether the data that r received at the given time certainly describes an earlier
// process than newest does. Data without a start time may describe the newest process, unless that process started
// after the data was received. The order of receipt is compared as well, because a start time comes from another clock.
func (r *sourceReport) isAboutEarlierProcess(newest *sourceReport, receivedAt time.Time) bool {
	started := newest.endpoint.Started
	if discovery.IsEarlierProcess(r.endpoint.Started, started) {
		return true
	}
	return started.After(receivedAt) && newest.startReceivedAt.After(receivedAt)
}

// merge combines the reports of all sources into one endpoint. listed is false if no source lists the server anymore.
// The id and the weight come from the first source that lists the server.
func (m *mergedServer) merge() (merged router.Endpoint, listed bool) {
	newest := m.newest()
	if newest == nil {
		return router.Endpoint{}, false
	}
	draining, hasEarlier := false, false
	var attributes discovery.Attributes
	var pools []string
	for i := range m.reports {
		report := &m.reports[i]
		if report.isListed() {
			if !listed {
				merged, listed = report.endpoint, true
			}
			pools = unitePools(pools, report.endpoint.Pools)
		}
		if report == newest || report.describes(newest) {
			attributes.Add(&report.endpoint)
		} else {
			hasEarlier = true
		}
		draining = draining || report.drains(newest)
	}
	if hasEarlier {
		m.addEarlierProcesses(&attributes)
	}
	attributes.SetOn(&merged)
	m.contradicted = attributes.Contradicted()
	merged.Pools = pools
	merged.Started = newest.endpoint.Started
	merged.StartUnknown = newest.endpoint.StartUnknown
	merged.Availability = policy.Running
	if draining {
		merged.Availability = policy.Draining
	}
	return merged, true
}

// addEarlierProcesses adds the reports of the sources that list the server to attributes, as reports about an earlier
// process. Those about the current process have been added before and change nothing.
func (m *mergedServer) addEarlierProcesses(attributes *discovery.Attributes) {
	for i := range m.reports {
		if m.reports[i].isListed() {
			attributes.AddEarlierProcess(&m.reports[i].endpoint)
		}
	}
}

// unitePools returns the sorted union of a and b, without duplicates. It does not change a or b, but may return one of
// them.
func unitePools(a, b []string) []string {
	switch {
	case len(b) == 0 || slices.Equal(a, b):
		return a
	case len(a) == 0 && len(b) == 1:
		return b
	}
	united := slices.Concat(a, b)
	slices.Sort(united)
	return slices.Compact(united)
}

// newest returns the report with the latest start time among the sources that list the server, or nil if no source
// lists it. A start long ago counts as later than an unknown start.
func (m *mergedServer) newest() *sourceReport {
	var newest *sourceReport
	for i := range m.reports {
		report := &m.reports[i]
		if report.isListed() && (newest == nil || report.startsAfter(newest)) {
			newest = report
		}
	}
	return newest
}
