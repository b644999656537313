package discovery

import (
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// startTolerance is the maximum difference between the start times in two reports about one process. Sources round the
// time, or record another moment of the start.
const startTolerance = time.Second

// IsEarlierProcess reports whether a process that started at the given time certainly started before the process that
// started at latest. If the start time is unknown, it may be the same process.
func IsEarlierProcess(started, latest time.Time) bool {
	return !started.IsZero() && latest.Sub(started) > startTolerance
}

// Attributes combines the zones, kinds and cells that several reports name for the process at one address. A report may
// leave out any of them. The first report that names a zone or a kind determines it. The zero value is ready to use.
type Attributes struct {
	zone, kind    string
	zoneUncertain bool
	cell          policy.Cell
	contradicted  bool // whether two reports about the process name different zones
}

// Contradicted reports whether the reports about the process name different zones or different cells.
func (a *Attributes) Contradicted() bool { return a.contradicted || a.cell == policy.ConflictingCell }

// Add adds a report about the process. If reports contradict each other, the zone is uncertain and the cell is
// conflicting: no report is known to be right about the servers that discard duplicates of the process's requests.
func (a *Attributes) Add(endpoint *router.Endpoint) {
	switch {
	case a.zone == "":
		a.zone, a.zoneUncertain = endpoint.Zone, endpoint.ZoneUncertain
	case endpoint.Zone != "":
		a.contradicted = a.contradicted || endpoint.Zone != a.zone
		a.zoneUncertain = a.zoneUncertain || a.contradicted || endpoint.ZoneUncertain
	}
	if a.kind == "" {
		a.kind = endpoint.Kind
	}
	a.cell = a.cell.Merge(endpoint.Cell)
}

// AddEarlierProcess adds a report about an earlier process at the address. Call it after Add was called for all reports
// about the current process. Only a zone and a kind that none of these names are used, and the zone is uncertain.
func (a *Attributes) AddEarlierProcess(endpoint *router.Endpoint) {
	if a.zone == "" {
		a.zone, a.zoneUncertain = endpoint.Zone, endpoint.Zone != ""
	}
	if a.kind == "" {
		a.kind = endpoint.Kind
	}
}

// SetOn sets the combined attributes on endpoint.
func (a *Attributes) SetOn(endpoint *router.Endpoint) {
	endpoint.Zone, endpoint.ZoneUncertain = a.zone, a.zoneUncertain
	endpoint.Kind, endpoint.Cell = a.kind, a.cell
}
