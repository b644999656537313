package discovery

import (
	"cobaltward/policy"
	"cobaltward/router"
)

// Attributes combines the zones, kinds and cells that several reports tell about the process at one address. A report
// may leave out any of them. The first report that tells an attribute determines it. The zero value is ready to use.
type Attributes struct {
	zone, kind string
	cell       policy.Cell
}

// Add adds a report about the process.
func (a *Attributes) Add(endpoint *router.Endpoint) {
	if a.zone == "" {
		a.zone = endpoint.Zone
	}
	if a.kind == "" {
		a.kind = endpoint.Kind
	}
	if !a.cell.Known() {
		a.cell = endpoint.Cell
	}
}

// AddEarlierProcess adds a report about an earlier process at the address. Only its kind is used, if no report added so
// far tells one. The process at the address may belong to another zone or cell.
func (a *Attributes) AddEarlierProcess(endpoint *router.Endpoint) {
	if a.kind == "" {
		a.kind = endpoint.Kind
	}
}

// SetOn sets the combined attributes on endpoint.
func (a *Attributes) SetOn(endpoint *router.Endpoint) {
	endpoint.Zone, endpoint.Kind, endpoint.Cell = a.zone, a.kind, a.cell
}
