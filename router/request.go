package router

import (
	"io"
	"time"

	"cobaltward/policy"
)

// MaxNameLength is the maximum length of a request ID and of a tenant name, in bytes. The router keeps both in
// memory.
const MaxNameLength = 128

// Request is a client's request. The router and its transports only read it. They may do so until every attempt has
// ended, which can be after Do has returned: Body must not be changed after the call.
type Request struct {
	ID     string // unique per request; 1 to MaxNameLength bytes of printable ASCII without blanks
	Class  string // name of one of the settings' classes
	Tenant string // at most MaxNameLength bytes
	Key    string // identifies the subject of the request; empty if there is none

	// IdempotencyKey is the key by which servers detect duplicates. Classes with policy.IdempotencyKeyed require it.
	IdempotencyKey string

	// ClassSnapshot is the class by which the caller has interpreted the request; nil means the class in force when Do
	// is called. If the class in force at admission has another idempotency, the request is rejected: a request must
	// not be retried under other rules than those it was sent under.
	ClassSnapshot *policy.Class

	Timeout    time.Duration // how long the client waits, counted from ReceivedAt; 0: the deadline of its class
	ReceivedAt time.Time     // when the last byte of the request was read; zero: when Do is called
	CostHint   time.Duration // estimate of its cost in core time; 0: unknown
	IsRetry    bool          // the client has sent the request before

	// The fields below are what a server receives. A transport for a protocol other than HTTP translates them.
	Method      string // "": the result of the function Method for its class
	Target      string // path and query
	Authority   string // the host that the client addressed
	ContentType string
	Body        []byte
	// Upload replaces Body for a long body. Its owner keeps it open until Do has returned.
	Upload Upload

	// AcceptsStream says that the caller handles Answer.Stream. Without it, an answer of more than 64 KiB counts as a
	// failed attempt.
	AcceptsStream bool
}

// Upload is a request body that may still be arriving. Its methods must be safe for concurrent use.
type Upload interface {
	// Length returns the length of the body in bytes, or -1 if it is unknown.
	Length() int64
	// Open returns a reader that starts at the first byte, or ErrBodyConsumed if the first byte was discarded. The
	// reader waits for bytes that the client has not sent yet, and fails if the client aborts the upload.
	Open() (io.Reader, error)
	// Consumed reports whether the first byte was discarded.
	Consumed() bool
	// OnComplete registers f, which is called once, when the last byte arrives. If it has arrived already, OnComplete
	// returns true and does not call f.
	OnComplete(f func(at time.Time)) bool
}

// Method is the default HTTP method of requests of a class.
func Method(class policy.Class) string {
	if class.Idempotency == policy.Idempotent {
		return "GET"
	}
	return "POST"
}

// validate checks the fields whose validity does not depend on the settings.
func (r *Request) validate() error {
	switch {
	case !ValidID(r.ID):
		return &InvalidError{"ID", "missing or malformed"}
	case len(r.Tenant) > MaxNameLength: // the balancer keeps it in memory
		return &InvalidError{"Tenant", "too long"}
	case r.Timeout < 0:
		return &InvalidError{"Timeout", "negative"}
	}
	return nil
}

// validateKey checks that a request has an idempotency key if its class requires one. Servers detect duplicates by
// it: without a key, a retry could take effect twice.
func (r *Request) validateKey(class *policy.Class) error {
	if class.Idempotency == policy.IdempotencyKeyed && r.IdempotencyKey == "" {
		return &InvalidError{"IdempotencyKey", "missing"}
	}
	return nil
}

// ValidID reports whether id is a valid request ID. The check protects the table of requests, and the header in which
// an ID is forwarded.
func ValidID(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= MaxNameLength
}
