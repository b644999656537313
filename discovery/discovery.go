// Package discovery contains the code that the endpoint sources in its subpackages share. Each subpackage implements
// router.EndpointSource. registry polls wayhold's own registry over HTTP, file watches a file, and xds subscribes to
// an Envoy control plane. merge combines several sources. disabled lets operators take servers out of service at a
// single node.
package discovery

import (
	"slices"

	"cobaltward/router"
)

// Equal reports whether a and b are equal in every field. Publishing b after a would then change nothing. Start times
// are compared as instants, regardless of their time zones.
func Equal(a, b router.Endpoint) bool {
	return a.ID == b.ID &&
		a.Addr == b.Addr &&
		a.Zone == b.Zone &&
		a.ZoneUncertain == b.ZoneUncertain &&
		a.Kind == b.Kind &&
		a.Cell == b.Cell &&
		a.Weight == b.Weight &&
		a.Availability == b.Availability &&
		a.Started.Equal(b.Started) &&
		a.StartUnknown == b.StartUnknown &&
		slices.Equal(a.Pools, b.Pools)
}
