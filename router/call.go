package router

import (
	"context"
	"sync/atomic"
	"time"

	"cobaltward/policy"
)

// call is one request on its way from Do to the loop and back. Once it is submitted only the loop uses it, but for
// reply and abandoned.
type call struct {
	req         Request
	class       policy.Class    // under which Do accepted it
	submittedAt policy.Time     // when Do was called
	receivedAt  policy.Time     // when its last byte was read
	timeout     time.Duration   // how long the client waits, from receivedAt on
	reply       chan Answer     // buffered for the one answer: the loop never waits for the caller
	onAnswer    func(Answer)    // replaces reply; it must not call the loop
	ctx         context.Context // the caller's; nil in a Stepped engine
	abandoned   atomic.Bool     // the caller no longer waits for reply
	bodyPending bool            // the last byte has not come: the timeout counts from then

	// bodyReceivedAt is the policy.Time of an upload's last byte; 0 until then. The reader of the body sets it.
	bodyReceivedAt atomic.Int64
}

// completeEarlyBody starts the timeout of a call whose last byte has come before the call was admitted: the event that
// says so may be handled before the one that submits the call.
func (c *call) completeEarlyBody() {
	at := policy.Time(c.bodyReceivedAt.Load())
	if c.bodyPending && at != 0 {
		c.bodyPending = false
		c.receivedAt = at
	}
}

// clientGone reports whether the caller has left. The event that says so may still be queued.
func (c *call) clientGone() bool {
	return c.abandoned.Load() || c.ctx != nil && c.ctx.Err() != nil
}

// discardAnswer takes an answer whose caller no longer waits, if there is one: its stream holds a
// connection.
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
		_ = answer.Stream.Close() // no caller is left to report an error to
	}
}
