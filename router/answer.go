package router

import (
	"fmt"
	"io"
	"time"
)

// Outcome is what became of a request.
type Outcome uint8

// The outcomes. Served, Rejected and Overloaded are certain; Conflict concerns the request ID; after
// the others the request may have run.
const (
	Served     Outcome = iota // a server's complete answer
	Rejected                  // by the balancer, by load shedding or by a drain: a retry is harmless
	Overloaded                // by the router, which is at its capacity or drained: a retry is harmless
	Failed                    // it may have run
	Expired                   // it may have run, and its deadline has passed
	Conflict                  // its ID is in use, or was recently
)

var outcomeNames = [...]string{"served", "refused", "overloaded", "failed", "expired", "conflict"}

// String is the outcome's name in logs and reports.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome %d", uint8(o))
}

// Answer is the one final answer to a request.
type Answer struct {
	Outcome     Outcome
	Body        []byte        // of Served; owned by the caller
	ContentType string        // of Served
	RetryAfter  time.Duration // of Rejected and Overloaded: when to retry; 0 where that is not told
	Stream      Stream        // of Served, replaces Body: an answer that is forwarded as it arrives
}

// Stream is a long answer. The caller reads it until io.EOF, or until another error says that it has broken
// off, and closes it in any case. Close may be called during Read. The request counts as served once io.EOF
// was read, and as failed where it was closed before.
type Stream interface {
	io.ReadCloser
	// Length is the length of the whole answer in bytes; -1 where the server doesn't say.
	Length() int64
}
