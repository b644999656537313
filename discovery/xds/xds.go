// Package xds provides endpoint sources for Envoy's xDS v3. Source subscribes to clusters, endpoints and secrets at a
// control plane over the Aggregated Discovery Service (ADS). FileSource reads clusters and endpoints from
// DiscoveryResponse files.
//
// Package ads implements the protocol, package resource validates resources, and package priority selects priority
// levels. These three packages do no I/O. docs/xds.md describes the sources for operators.
package xds
