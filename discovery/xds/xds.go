// Package xds provides endpoint sources for Envoy's xDS v3: Source subscribes to clusters, endpoints and secrets at a
// control plane over the Aggregated Discovery Service, and FileSource reads them from DiscoveryResponse files.
//
// The protocol itself is in package ads, the validation of resources in package resource, and the choice of priority
// levels in package priority; none of them does I/O. docs/xds.md is the page for operators.
package xds
