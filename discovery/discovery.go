// Package discovery holds what the endpoint sources in the packages below it share. Each of them is a
// router.EndpointSource: registry polls wayhold's own registry over HTTP, file watches a file, xds follows an Envoy
// control plane; merge makes one source of several, and disabled lets operators take servers out at one node.
package discovery

import (
	"slices"

	"cobaltward/router"
)

// Equal tells whether two endpoints are alike in every field, so that publishing the second after the first would
// change nothing. Start times are compared as instants, whatever their time zones.
func Equal(a, b router.Endpoint) bool {
	return a.ID == b.ID &&
		a.Addr == b.Addr &&
		a.Zone == b.Zone &&
		a.Kind == b.Kind &&
		a.Cell == b.Cell &&
		a.Weight == b.Weight &&
		a.Availability == b.Availability &&
		a.Started.Equal(b.Started) &&
		slices.Equal(a.Pools, b.Pools)
}
