package router

import (
	"io"
	"time"

	"cobaltward/policy"
)

// MaxNameLength bounds a request ID and a tenant name, in bytes: the router remembers them.
const MaxNameLength = 128

// Request is a client's request. The router and its transports only read it, and may do so until every
// attempt is over, which can be after Do has returned: Body must not be changed after the call.
type Request struct {
	ID     string // new with every request; 1 to MaxNameLength bytes of printable ASCII without blanks
	Class  string // one of the settings' classes
	Tenant string // MaxNameLength bytes at most
	Key    string // what the request is about, where requests have such a key

	// IdempotencyKey is the key by which servers drop duplicates. Classes of policy.IdempotencyKeyed
	// require one.
	IdempotencyKey string

	// ClassSnapshot is the class by which the caller has interpreted the request; nil: the one in force
	// when Do is called. Where the class in force has another idempotency by the time of admission, the
	// request is rejected: a request sent as one kind must not be retried as another.
	ClassSnapshot *policy.Class

	Timeout    time.Duration // how long the client waits, from ReceivedAt on; 0: the deadline of its class
	ReceivedAt time.Time     // when its last byte was read; zero: when Do is called
	CostHint   time.Duration // estimate of its cost in core time; 0: none
	IsRetry    bool          // the client has sent it before

	// What a server receives. A transport of another protocol translates these.
	Method      string // "": that of the function Method for its class
	Target      string // path and query
	Authority   string // the host that the client named
	ContentType string
	Body        []byte
	// Upload replaces Body where the body is long. Its owner keeps it open until Do has returned.
	Upload Upload

	// AcceptsStream says that the caller handles Answer.Stream. Without it, an answer beyond 64 KiB counts
	// as a failed attempt.
	AcceptsStream bool
}

// Upload is a request body that may still be arriving. Its methods must be safe for concurrent use.
type Upload interface {
	// Length is the length of the body in bytes; -1 where it is unknown.
	Length() int64
	// Open returns a reader from the first byte on, or ErrBodyConsumed once the first byte was discarded. The
	// reader waits for the client where it has to, and fails where the client breaks off.
	Open() (io.Reader, error)
	// Consumed reports whether the first byte was discarded.
	Consumed() bool
	// OnComplete has f called once, when the last byte has come. Where it has come already, OnComplete
	// returns true and f is not called.
	OnComplete(f func(at time.Time)) bool
}

// Method is the default HTTP method of requests of a class.
func Method(class policy.Class) string {
	if class.Idempotency == policy.Idempotent {
		return "GET"
	}
	return "POST"
}

// validate checks what doesn't depend on the settings.
func (r *Request) validate() error {
	switch {
	case !ValidID(r.ID):
		return &InvalidError{"ID", "missing or malformed"}
	case len(r.Tenant) > MaxNameLength: // the balancer remembers it
		return &InvalidError{"Tenant", "too long"}
	case r.Timeout < 0:
		return &InvalidError{"Timeout", "negative"}
	}
	return nil
}

// validateKey checks the idempotency key. Servers drop duplicates by it: without one, a retry could take
// effect twice.
func (r *Request) validateKey(class *policy.Class) error {
	if class.Idempotency == policy.IdempotencyKeyed && r.IdempotencyKey == "" {
		return &InvalidError{"IdempotencyKey", "missing"}
	}
	return nil
}

// ValidID reports whether id can name a request. It protects the table of requests, and the header in
// which an ID is forwarded.
func ValidID(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= MaxNameLength
}
