// Package ads is the client's side of Envoy's Aggregated Discovery Service as a state machine: responses of the control
// plane go in, requests come out, and the clusters in force can be read at any time. It does no I/O, has no clock and
// decodes no bytes.
//
// It follows "xDS REST and gRPC protocol" of Envoy's documentation, in the state-of-the-world and the incremental
// variant.
package ads

import (
	"time"

	"cobaltward/discovery/xds/resource"
)

// Type is a type of resources.
type Type uint8

// The types that a router subscribes to, in the order in which a control plane should send them.
const (
	Clusters  Type = iota
	Endpoints      // the names follow from the clusters
	Secrets        // certificates and authorities, by names from the configuration
	// NumTypes is the number of types.
	NumTypes
)

// Variant is a variant of the protocol.
type Variant uint8

// The variants of the protocol.
const (
	SotW  Variant = iota // state of the world
	Delta                // incremental
)

// Resource is one resource of a response, decoded.
type Resource struct {
	Name    string
	Version string        // incremental only
	TTL     time.Duration // 0: it does not expire
	// Value is a *resource.Cluster, a *resource.Assignment or a *keys.Set. It is nil for a heartbeat, which only renews
	// the TTL, and for a resource that is rejected.
	Value any
	Err   error // why the resource is rejected; nil: it is valid
}

// Response is a response of the control plane, decoded.
type Response struct {
	Type      Type
	Version   string // state of the world only
	Nonce     string
	Resources []Resource
	Removed   []string // incremental only: names
	Err       error    // why the whole response is rejected; nil: its resources are judged one by one
}

// Request is a request to send to the control plane.
type Request struct {
	Type          Type
	IncludeNode   bool     // it is the first of its stream and identifies the node
	Version       string   // state of the world only: the version that was accepted last
	Nonce         string   // of the response that it answers; empty: it answers none
	ErrorDetail   string   // the reason of a NACK; empty: an ACK, or no answer
	ResourceNames []string // state of the world only: all names subscribed to
	// Subscribe, Unsubscribe and InitialVersions are of the incremental variant only.
	Subscribe, Unsubscribe []string
	InitialVersions        map[string]string // versions held from earlier streams, by name
}

// AppliedCluster is a cluster in force.
type AppliedCluster struct {
	Cluster        *resource.Cluster
	Assignment     *resource.Assignment // nil: none has come yet
	Warming        bool                 // the assignment that the cluster names has not come; the former one serves
	PendingRemoval bool                 // the newest list lacks it; it serves until that list is complete
}

// Status is the state of the subscription to a type.
type Status struct {
	Version       string // state of the world only: the version that was accepted last
	Nonce         string // of the last response on the stream
	UpdatedAt     time.Time
	NACKReason    string            // why the last response was answered with a NACK; empty: with an ACK
	Rejected      map[string]string // reasons, by name, of resources whose newest version was rejected
	ResourceNames []string          // subscribed to; nil for clusters: all of them
	Versions      map[string]string // of accepted resources, by name
}
