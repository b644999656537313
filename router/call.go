package router

import (
	"context"
	"sync/atomic"
	"time"

	"cobaltward/policy"
)

// call is one request that Do passes to the loop, and whose answer the loop passes back. After its submission, only
// the loop uses the call, except for reply, abandoned and bodyReceivedAt.
type call struct {
	req         Request
	class       policy.Class    // class under which Do accepted the request
	reservation *IDReservation  // keeps the ID of req in use
	submittedAt policy.Time     // time of the call of Do
	receivedAt  policy.Time     // time when the last byte of the request was read
	timeout     time.Duration   // time that the client waits, counted from receivedAt
	reply       chan Answer     // buffered for the one answer: the loop never waits for the caller
	onAnswer    func(Answer)    // replaces reply if not nil; must not call the loop
	ctx         context.Context // context of the caller; nil in a Stepped engine
	abandoned   atomic.Bool     // whether the caller no longer waits for reply
	bodyPending bool            // whether the last byte has not arrived yet; its arrival starts the timeout

	// bodyReceivedAt is the policy.Time at which the last byte of an upload arrived; 0: not arrived yet. The reader
	// of the body sets it.
	bodyReceivedAt atomic.Int64
}

// completeEarlyBody starts the timeout of a call whose last byte arrived before admission. The loop may handle the
// bodyReceived event of a call before its requestSubmitted event.
func (c *call) completeEarlyBody() {
	at := policy.Time(c.bodyReceivedAt.Load())
	if c.bodyPending && at != 0 {
		c.bodyPending = false
		c.receivedAt = at
	}
}

// clientGone reports whether the caller no longer waits. The clientLeft event of the call may still be queued.
func (c *call) clientGone() bool {
	return c.abandoned.Load() || c.ctx != nil && c.ctx.Err() != nil
}

// discardAnswer takes the answer from reply, if there is one, after the caller has left. It closes the stream of the
// answer, because the stream holds a connection.
func (c *call) discardAnswer() {
	select {
	case answer := <-c.reply:
		closeStream(answer)
	default:
	}
}

// closeStream closes the stream of answer, if it has one. It is called for answers that are not delivered.
func closeStream(answer Answer) {
	if answer.Stream != nil {
		_ = answer.Stream.Close() // there is no caller to report an error to
	}
}
