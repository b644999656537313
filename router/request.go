package router

import (
	"io"
	"time"

	"cobaltward/policy"
)

// MaxNameLength is the maximum length of a request ID and of a tenant name, in bytes. The router keeps both in
// memory.
const MaxNameLength = 128

// Request is a request of a client. The router and its transports only read the request. They read it until every
// attempt has ended, which may be after Do has returned. Body must therefore not be changed after the call.
type Request struct {
	ID     string // unique; 1 to MaxNameLength bytes of printable ASCII without spaces
	Class  string // name of a class in the settings
	Tenant string // at most MaxNameLength bytes
	Key    string // object of the request; empty: none

	// IdempotencyKey is the key by which servers detect duplicates. Classes with policy.IdempotencyKeyed require it.
	IdempotencyKey string

	// Reservation keeps ID in use until the caller releases it, which must be after the last byte of the answer. If it
	// is nil, ID is in use until Do returns, or until Answer.Stream is closed.
	Reservation *IDReservation

	// ClassSnapshot is the class by which the caller has interpreted the request. nil means the class in force when Do
	// is called. The request is rejected if the class in force at admission has another idempotency, because the
	// request could be retried under other rules than the client expects.
	ClassSnapshot *policy.Class

	Timeout    time.Duration // time that the client waits, counted from ReceivedAt; default: class deadline
	ReceivedAt time.Time     // time when the last byte of the request was read; default: time of the call of Do
	CostHint   time.Duration // estimated cost in core time; 0: unknown
	IsRetry    bool          // whether the client has sent the request before

	// The fields below are what a server receives. A transport for a protocol other than HTTP translates them.
	Method      string // HTTP method; default: the result of Method for the class
	Target      string // path and query
	Authority   string // host that the client addressed
	ContentType string
	Body        []byte
	// Upload replaces Body for a long body. The caller of Do keeps Upload open until Do has returned.
	Upload Upload

	// MayHaveLeft reports whether the client may have disconnected without the caller of Do noticing, because the end of
	// its connection is behind unread bytes. The router then makes no late attempt and no retry. nil: it can't have.
	// MayHaveLeft must not block.
	MayHaveLeft func() bool

	// AcceptsStream is true if the caller handles Answer.Stream. If it is false, an answer of more than 64 KiB counts
	// as a failed attempt.
	AcceptsStream bool
}

// Upload is a request body that may still be arriving. Its methods must be safe for concurrent use.
type Upload interface {
	// Length returns the length of the body in bytes, or -1 if it is unknown.
	Length() int64
	// Open returns a reader that starts at the first byte, or ErrBodyConsumed if the body can no longer be read from
	// its start. The reader waits for bytes that the client has not sent yet. It fails if the client aborts the
	// upload.
	Open() (io.Reader, error)
	// Consumed reports whether the body can no longer be read from its start.
	Consumed() bool
	// OnComplete registers f. f is called once, when the last byte arrives. If the last byte has arrived already,
	// OnComplete returns true and does not call f.
	OnComplete(f func(at time.Time)) bool
}

// BackloggedUpload is an optional interface of an Upload. Without it, the time of a request counts from the last byte
// that was read of its body, even if the client has written that byte long before.
type BackloggedUpload interface {
	// MayBeWrittenSince returns the time since which the client may have written the last byte of the body, although it
	// has not been read. ok is false if the client cannot have written it.
	MayBeWrittenSince() (at time.Time, ok bool)
}

// Method returns the default HTTP method of requests of class.
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
	case len(r.Tenant) > MaxNameLength: // the balancer keeps the name in memory
		return &InvalidError{"Tenant", "too long"}
	case r.Timeout < 0:
		return &InvalidError{"Timeout", "negative"}
	}
	return nil
}

// validateKey checks that the request has an idempotency key if class requires a key. Servers detect duplicates by
// the key. Without a key, a retry could take effect twice.
func (r *Request) validateKey(class *policy.Class) error {
	if class.Idempotency == policy.IdempotencyKeyed && r.IdempotencyKey == "" {
		return &InvalidError{"IdempotencyKey", "missing"}
	}
	return nil
}

// ValidID reports whether id is a valid request ID. The check protects the table of requests, and the header in which
// the router forwards the ID.
func ValidID(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= MaxNameLength
}
