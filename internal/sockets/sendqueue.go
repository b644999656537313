package node

import (
	"context"
	"net"
	"sync"
	"time"

	"cobaltward/internal/sockets"
)

// sendCheckInterval is the interval between checks of whether the kernel has sent an answer.
const sendCheckInterval = 20 * time.Millisecond

// sendCompletion calls a function once the kernel has sent the last answer on a connection. The connection may be idle
// meanwhile, and is evicted and closed as if the answer was sent. A closed connection counts as sent. sendCompletion
// is safe for concurrent use.
type sendCompletion struct {
	mu    sync.Mutex
	done  func()      // nil: no answer is being sent
	check *time.Timer // runs while done is not nil
}

// whenSent is the function for middleware.WithSendCompletion. For other connections it calls done at once.
func whenSent(ctx context.Context, done func()) {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if !ok {
		done()
		return
	}
	c.sending.begin(c.TCPConn, done)
}

// begin makes s call done once all bytes written to conn are sent. A client that has sent another request has received
// the earlier answer, so s calls the earlier done at once.
func (s *sendCompletion) begin(conn *net.TCPConn, done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked()
	if sockets.Unsent(conn) == 0 {
		done()
		return
	}
	s.done = done
	s.check = time.AfterFunc(sendCheckInterval, func() { s.recheck(conn) })
}

// recheck ends the sending of an answer if all bytes are sent. Otherwise it schedules another check.
func (s *sendCompletion) recheck(conn *net.TCPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.done == nil: // ended by the next answer
	case sockets.Unsent(conn) > 0:
		s.check.Reset(sendCheckInterval)
	default:
		s.endLocked()
	}
}

// endLocked calls done, if there is one. s.mu is held.
func (s *sendCompletion) endLocked() {
	if s.done == nil {
		return
	}
	s.check.Stop()
	s.done()
	s.done = nil
}
