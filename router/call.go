package router

import (
	"context"
	"sync/atomic"
	"time"

	"cobaltward/policy"
)

// call is one request on its way from Do to the loop and back. Once it is submitted, only the loop uses it, except
// for reply and abandoned.
type call struct {
	req         Request
	class       policy.Class    // the class under which Do accepted it
	submittedAt policy.Time     // when Do was called
	receivedAt  policy.Time     // when the last byte of the request was read
	timeout     time.Duration   // how long the client waits, counted from receivedAt
	reply       chan Answer     // buffered for the one answer, so that the loop never waits for the caller
	onAnswer    func(Answer)    // replaces reply if it is not nil; it must not call the loop
	ctx         context.Context // the caller's context; nil in a Stepped engine
	abandoned   atomic.Bool     // the caller no longer waits for reply
	bodyPending bool            // the last byte has not arrived; the timeout starts when it does

	// bodyReceivedAt is the policy.Time at which the last byte of an upload arrived; 0 until then. The reader of the
	// body sets it.
	bodyReceivedAt atomic.Int64
}

// completeEarlyBody starts the timeout of a call whose last byte arrived before the call was admitted: the loop may
// handle the bodyReceived event before the requestSubmitted event of the same call.
func (c *call) completeEarlyBody() {
	at := policy.Time(c.bodyReceivedAt.Load())
	if c.bodyPending && at != 0 {
		c.bodyPending = false
		c.receivedAt = at
	}
}

// clientGone reports whether the caller has stopped waiting. The clientLeft event of the call may still be queued.
func (c *call) clientGone() bool {
	return c.abandoned.Load() || c.ctx != nil && c.ctx.Err() != nil
}

// discardAnswer takes an answer for which the caller no longer waits, if there is one, and closes its stream, which
// holds a connection.
func (c *call) discardAnswer() {
	select {
	case answer := <-c.reply:
		closeStream(answer)
	default:
	}
}

// closeStream closes the stream of an answer that is not delivered, if it has one.
func closeStream(answer Answer) {
	if answer.Stream != nil {
		_ = answer.Stream.Close() // there is no caller to report an error to
	}
}
