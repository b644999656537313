package router

import (
	"fmt"
	"io"
	"time"
)

// Outcome is the final result of a request.
type Outcome uint8

// The outcomes. After Failed and Expired the request may have run. An idempotent or fully deduplicated request may have
// run before Rejected, but its retry is harmless. Conflict says nothing about the earlier request with the same ID.
const (
	Served     Outcome = iota // answered by a server
	Rejected                  // rejected by the balancer, by load shedding or by a drain; a retry is harmless
	Overloaded                // the router is at its capacity or drained; a retry is harmless
	Failed                    // the request may have run
	Expired                   // the deadline has passed, and the request may have run
	Conflict                  // the request ID is in use, or was used recently
)

var outcomeNames = [...]string{"served", "refused", "overloaded", "failed", "expired", "conflict"}

// String returns the name of the outcome in logs and reports.
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
	RetryAfter  time.Duration // wait before a retry, after Rejected or Overloaded; 0: not specified
	Stream      Stream        // replaces Body in a Served answer that is forwarded as it arrives; otherwise nil
}

// Stream is a long answer. The caller reads it until io.EOF or another error, and must then close it. An error other
// than io.EOF means that the answer is incomplete. Close may be called during Read. The request counts as served if
// the caller has read io.EOF, and as failed if the caller closes the stream before that.
type Stream interface {
	io.ReadCloser
	// Length returns the length of the whole answer in bytes, or -1 if the server does not report a length.
	Length() int64
}
