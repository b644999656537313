// Package resource defines a control plane's clusters, endpoints and secrets in the form that the router uses, and
// validates Envoy's messages for them. docs/xds.md describes the mapping of each field. Errors name the rejected
// field of Envoy's message.
package resource

import "fmt"

// The type URLs of the resources that the router subscribes to.
const (
	ClusterURL    = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	AssignmentURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	SecretURL     = "type.googleapis.com/envoy.extensions.transport_sockets.tls.v3.Secret"
)

const maxNameLength = 512 // maximum length of the names of clusters and assignments, in bytes

// checkName rejects names that are empty or too long. field is the path of the name in the message, for errors.
func checkName(field, name string) error {
	if name == "" {
		return fmt.Errorf("%s: missing", field)
	}
	if len(name) > maxNameLength {
		return fmt.Errorf("%s: over %d bytes", field, maxNameLength)
	}
	return nil
}

// fieldError is the rejection of one field of a message.
type fieldError struct {
	field string // path of the field in the message, e.g. "endpoint.address"
	err   error
}

// Error implements error.
func (e *fieldError) Error() string { return e.field + ": " + e.err.Error() }

// Unwrap returns the reason of the rejection.
func (e *fieldError) Unwrap() error { return e.err }

// rejectField returns a fieldError with a formatted reason.
func rejectField(field, format string, args ...any) error {
	return &fieldError{field, fmt.Errorf(format, args...)}
}
