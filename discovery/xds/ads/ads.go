// Package ads implements the client side of Envoy's Aggregated Discovery Service (ADS) as a state machine. The
// machine takes the responses of the control plane, returns the requests to send, and provides the clusters in
// effect. The package does no I/O, reads no clock and decodes no bytes.
//
// The package follows "xDS REST and gRPC protocol" in Envoy's documentation, in both the state-of-the-world and the
// incremental variant.
package ads

import (
	"time"

	"cobaltward/discovery/xds/resource"
)

// Type distinguishes the resources that this package handles: clusters, endpoints and secrets.
type Type uint8

// The types that a router subscribes to, in the order in which a control plane should send their resources.
const (
	Clusters  Type = iota
	Endpoints      // assignments, by service name of the cluster
	Secrets        // certificates and authorities, by name in the configuration
	// NumTypes is the number of types.
	NumTypes
)

// Variant selects the state-of-the-world or the incremental variant of the protocol.
type Variant uint8

// The variants of the protocol.
const (
	SotW  Variant = iota // state of the world
	Delta                // incremental
)

// Resource is one decoded resource of a response.
type Resource struct {
	Name    string
	Version string        // incremental variant only
	TTL     time.Duration // 0: the resource does not expire
	// Value is a *resource.Cluster, a *resource.Assignment or a *certificates.Set. It is nil for a rejected resource,
	// and for a heartbeat, which only renews the TTL.
	Value any
	Err   error // why the resource is rejected; nil: the resource is valid
}

// Response is a decoded response of the control plane.
type Response struct {
	Type      Type
	Version   string // state-of-the-world variant only
	Nonce     string
	Resources []Resource
	Removed   []string // names of removed resources; incremental variant only
	Err       error    // why the whole response is rejected; nil: each resource is accepted or rejected separately
}

// Request is a request to send to the control plane.
type Request struct {
	Type          Type
	IncludeNode   bool     // whether the request identifies the node, as the first request on a stream does
	Version       string   // last accepted version; state-of-the-world variant only
	Nonce         string   // nonce of the answered response; empty: the request answers no response
	ErrorDetail   string   // reason of a NACK; empty: the request is an ACK or answers no response
	ResourceNames []string // all names subscribed to; state-of-the-world variant only
	// Subscribe, Unsubscribe and InitialVersions are used in the incremental variant only.
	Subscribe, Unsubscribe []string
	InitialVersions        map[string]string // versions received on earlier streams, by name
}

// AppliedCluster is a cluster in effect.
type AppliedCluster struct {
	Cluster        *resource.Cluster
	Assignment     *resource.Assignment // nil: no assignment has been received yet
	Warming        bool                 // whether the current assignment is missing; the former assignment stays in effect
	PendingRemoval bool                 // whether the cluster is missing from the newest, incomplete list
}

// Status describes the subscription to one type of resource.
type Status struct {
	Version       string            // last accepted version; state-of-the-world variant only
	Nonce         string            // nonce of the last response on the stream
	UpdatedAt     time.Time         // time of the last readable response
	NACKReason    string            // reason of the NACK for the last response; empty: the answer was an ACK
	Rejected      map[string]string // rejection reasons of resources with an invalid newest version, by name
	ResourceNames []string          // names subscribed to; nil for clusters, because all clusters are subscribed to
	Versions      map[string]string // versions of the accepted resources, by name
}
