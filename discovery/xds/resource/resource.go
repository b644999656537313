// Package resource holds the clusters, endpoints and secrets of a control plane as the router uses them, and validates
// them. docs/xds.md has the mapping, field by field. Errors name the field of Envoy's message that is rejected.
package resource

import "fmt"

// The type URLs of the resources that the router subscribes to.
const (
	ClusterURL    = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	AssignmentURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	SecretURL     = "type.googleapis.com/envoy.extensions.transport_sockets.tls.v3.Secret"
)

const maxNameLength = 512 // bytes, of clusters and assignments

// checkName rejects names that are empty or too long. field is where the name stands.
func checkName(field, name string) error {
	if name == "" {
		return fmt.Errorf("%s: missing", field)
	}
	if len(name) > maxNameLength {
		return fmt.Errorf("%s: over %d bytes", field, maxNameLength)
	}
	return nil
}

// fieldError says which field of a message is rejected.
type fieldError struct {
	field string // path from the message, as "endpoint.address"
	err   error
}

// Error implements error.
func (e *fieldError) Error() string { return e.field + ": " + e.err.Error() }

// Unwrap returns the reason.
func (e *fieldError) Unwrap() error { return e.err }

// rejectField is a fieldError with a formatted reason.
func rejectField(field, format string, args ...any) error {
	return &fieldError{field, fmt.Errorf(format, args...)}
}
