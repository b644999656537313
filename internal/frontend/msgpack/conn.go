package msgpack

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/internal/cpuyield"
	"cobaltward/internal/frontend/pacing"
	"cobaltward/internal/sockets"
	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/stream"
	"cobaltward/router"
)

// lingerTimeout limits how long the server reads from a connection after closing its write side. Closing a connection
// with unread bytes resets it, and the client could lose the last answers.
const lingerTimeout = time.Second

// conn is a client's connection. One goroutine reads and another one writes. Each open call has a goroutine that
// waits for the engine's answer.
type conn struct {
	server      *Server
	nc          net.Conn
	reader      deadlineReader // reads from nc
	callSlots   chan struct{}  // semaphore with one element for each open call and each unwritten answer
	writeSignal stream.Signal
	writerDone  chan struct{}
	calls       sync.WaitGroup
	sendQueue   sockets.SendQueue // answers that the kernel has not sent yet

	pace         *pacing.Conn
	yielder      cpuyield.Yielder // between messages that have arrived together; used only by the reading goroutine
	arrivalTimes sockets.Arrival  // arrival times of the latest bytes; used only by the reading goroutine
	bytesRead    uint64           // number of bytes read from nc; used only by the reading goroutine

	readingPaused atomic.Bool // whether the reader waits for a call slot or is paced, so that nothing is read

	overflow bool // whether the connection was accepted beyond MaxConns; guarded by server.mu

	mu                sync.Mutex
	cancelFuncs       map[uint32]context.CancelFunc // cancel functions of the open calls, by msgid
	queuedAnswers     []answer                      // answers to write; callSlots limits their number
	unwrittenAnswers  int                           // number of answers that are queued or being written
	idleSince         time.Time                     // end of the last open call, or time of the accept
	incoming          incomingMessage               // message that has been read in part
	openedAt          time.Time                     // time of the accept
	callSeen          bool                          // whether a call has been received
	answerWritten     bool                          // true from the first written answer on
	lastReadAt        time.Time
	notifications     []byte // encoded notifications that are not written yet
	draining          bool
	drainNotifiedAt   time.Time
	drainRecheck      *time.Timer // wakes the writer to check whether the drain is complete; nil: not draining
	closing           bool        // whether message handling has ended; the writer closes the write side at the end
	writeClosed       bool        // whether the write side is closed; bytes that arrive are then discarded
	evicted           bool        // whether the reader must close the write side once the connection is idle
	endCause          endCause
	lingerUntil       time.Time // time at which reading ends after the write side was closed
	closedWithUnread  bool      // whether the server closed the connection while bytes were unread
	answerWriteFailed bool      // whether writing an answer has failed
	lostCallCounted   bool      // whether the connection has been counted for a lost call
}

// deadlineReader is the reading half of net.Conn.
type deadlineReader interface {
	Read(p []byte) (int, error)
	SetReadDeadline(t time.Time) error
}

// answer is the answer to a call.
type answer struct {
	msgid       uint32
	reply       msgpackrpc.Reply
	size        int                   // encoded size in bytes; set when the answer is encoded
	reservation *router.IDReservation // released once the answer is sent or dropped; may be nil
	admitted    bool                  // whether admitCall has admitted the call
	bodySize    int                   // length of the body of an admitted call
}

func newConn(server *Server, nc net.Conn, earliest time.Time) *conn {
	client := &conn{
		server:      server,
		nc:          nc,
		callSlots:   make(chan struct{}, server.config.MaxCalls),
		writeSignal: stream.NewSignal(),
		writerDone:  make(chan struct{}),
		cancelFuncs: make(map[uint32]context.CancelFunc),
		pace:        server.config.Pacing.NewConn(),
		idleSince:   time.Now(),
		openedAt:    time.Now(),
	}
	client.reader = nc // a TLS connection needs no DeadlineReader to return bytes received before the deadline
	client.sendQueue.Conn = tcpConn(nc)
	if tcp, ok := nc.(*net.TCPConn); ok {
		client.reader = sockets.NewDeadlineReader(tcp)
	}
	client.arrivalTimes.Reset(earliest)
	return client
}

func (c *conn) closeSocket() { _ = c.nc.Close() }

// isIdle reports whether the connection has no open call and no unwritten answer. c.mu is held.
func (c *conn) isIdle() bool { return len(c.cancelFuncs)+c.unwrittenAnswers == 0 }

func (c *conn) openCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cancelFuncs)
}

// isBusy reports whether the connection has an open call or an unwritten answer.
func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isIdle()
}

// firstCallPending reports whether no answer has been written and the first call is open or may be in transit.
func (c *conn) firstCallPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.answerWritten && (!c.isIdle() || c.awaitsFirstCall())
}

// evictableSince returns the time since which the connection has been idle, and whether the connection may be
// evicted. The time is zero if the write side is closed. An overflow connection may also be evicted if its client has
// stalled in the middle of a message. An overflow connection may not be evicted during firstCallGrace, while its
// first call may be arriving.
func (c *conn) evictableSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed {
		return time.Time{}, true
	}
	if c.overflow && !c.callSeen && time.Since(c.idleSince) < firstCallGrace {
		return time.Time{}, false
	}
	stalled := c.overflow && time.Since(c.lastReadAt) >= firstCallGrace
	withinMessage := !c.incoming.begunAt.IsZero()
	return c.idleSince, c.isIdle() && (!withinMessage || stalled)
}

// serve handles the connection until it is closed.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	go c.write()
	err := c.read(ctx)
	var violation *msgpackrpc.ProtocolError
	if errors.As(err, &violation) { // open calls are still answered
		c.server.count(&c.server.stats.ProtocolErrors)
		c.finish(msgpackrpc.AppendError(nil, violation.Problem))
		<-c.writerDone
	} else { // the client has disconnected or timed out: open calls are cancelled
		c.countIncompleteMessage(err)
		c.closeSocket()
		c.finish(nil)
	}
	cancel()
	c.calls.Wait()
	<-c.writerDone
	c.countLostAnswers()
	c.releaseQueued()
	c.closeSocket()
	c.server.release(c)
}

// countIncompleteMessage counts the connection in the server's statistics if reading ended in the middle of a
// message. err is the error that ended reading.
func (c *conn) countIncompleteMessage(err error) {
	c.mu.Lock()
	ended := c.writeClosed
	withinMessage := !c.incoming.begunAt.IsZero() || c.closedWithUnread || ended && c.hasUnread() ||
		!c.incoming.timeoutStart.IsZero() && !errors.Is(err, io.EOF)
	c.mu.Unlock()
	switch {
	case !withinMessage:
	case ended:
		c.countLostCall()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.server.count(&c.server.stats.Timeouts)
	default:
		c.server.count(&c.server.stats.Incomplete)
	}
}

// countLostAnswers counts the connection if its write side was closed before all answers were written.
func (c *conn) countLostAnswers() {
	c.mu.Lock()
	lost := c.writeClosed && (c.answerWriteFailed || len(c.queuedAnswers) > 0)
	c.mu.Unlock()
	if lost {
		c.countLostCall()
	}
}

// releaseQueued releases the IDs of the calls whose answers were not written. The writer must have ended.
func (c *conn) releaseQueued() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseAnswers(c.queuedAnswers)
}

// finish makes the writer send notification, which may be empty, and close the write side once no call is open.
func (c *conn) finish(notification []byte) {
	c.mu.Lock()
	c.notifications = append(c.notifications, notification...)
	c.closing = true
	c.mu.Unlock()
	c.writeSignal.Notify()
}
