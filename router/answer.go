package router

import (
	"fmt"
	"io"
	"time"
)

// Outcome is the final result of a request.
type Outcome uint8

// The outcomes. Served, Rejected and Overloaded are definite; Conflict concerns only the request ID; after Failed and
// Expired the request may have run.
const (
	Served     Outcome = iota // a server's complete answer
	Rejected                  // by the balancer, by load shedding or by a drain; a retry is harmless
	Overloaded                // by the router, which is at its capacity or drained; a retry is harmless
	Failed                    // the request may have run
	Expired                   // the deadline has passed, and the request may have run
	Conflict                  // the request ID is in use, or was used recently
)

var outcomeNames = [...]string{"served", "refused", "overloaded", "failed", "expired", "conflict"}

// String returns the outcome's name in logs and reports.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome %d", uint8(o))
}

// Answer is the one final answer to a request.
type Answer struct {
	Outcome     Outcome
	Body        []byte        // body of a Served answer; owned by the caller
	ContentType string        // content type of a Served answer
	RetryAfter  time.Duration // when to retry after Rejected or Overloaded; 0 if the client is not told
	Stream      Stream        // replaces Body in a Served answer that is forwarded as it arrives
}

// Stream is a long answer. The caller reads it until io.EOF or until another error, which means that the answer is
// incomplete, and must close it in either case. Close may be called during Read. The request counts as served if
// io.EOF was read, and as failed if the stream was closed before that.
type Stream interface {
	io.ReadCloser
	// Length returns the length of the whole answer in bytes, or -1 if the server does not report it.
	Length() int64
}
