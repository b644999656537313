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
	writeSignal stream.Signal
	writeDone   stream.Signal // notified when answers were written
	writerDone  chan struct{}
	running     sync.WaitGroup    // calls that were passed to the engine
	sendQueue   sockets.SendQueue // answers that the kernel has not sent yet

	pace         *pacing.Conn
	yielder      cpuyield.Yielder   // between messages that have arrived together; used only by the reading goroutine
	arrivalTimes sockets.Arrival    // arrival times of the latest bytes; used only by the reading goroutine
	bytesRead    uint64             // number of bytes read from nc; used only by the reading goroutine
	in           *msgpackrpc.Reader // used only by the reading goroutine

	overflow bool // whether the connection was accepted beyond MaxConns; guarded by server.mu

	mu                sync.Mutex
	open              map[uint32]*openCall // open calls, by msgid
	handlingCall      bool                 // whether a call was read and is neither open nor answered yet
	queue             []*openCall          // open calls that wait to be passed to the engine, oldest first
	queueClosed       bool                 // whether no further call is passed to the engine
	callSlotsInUse    int                  // number of calls passed to the engine whose answers are unwritten
	readBehind        bool                 // whether bytes may have been unread for longer than maxReadLag
	queuedAnswers     []answer             // answers to write
	unwrittenAnswers  int                  // number of answers that are queued or being written
	unwrittenLocal    atomic.Int32         // number of unwritten answers to calls that were not passed to the engine
	idleSince         time.Time            // end of the last open call, or time of the accept
	incoming          incomingMessage      // message that has been read in part
	openedAt          time.Time            // time at which the connection got its slot
	established       bool                 // whether the end of the TLS handshake was noticed; true without TLS
	callSeen          bool                 // whether a call has been received
	answerWritten     bool                 // true from the first written answer on
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
		writeSignal: stream.NewSignal(),
		writeDone:   stream.NewSignal(),
		writerDone:  make(chan struct{}),
		open:        make(map[uint32]*openCall),
		pace:        server.config.Pacing.NewConn(),
		idleSince:   time.Now(),
		openedAt:    time.Now(),
	}
	client.reader = nc // a TLS connection needs no DeadlineReader to return bytes received before the deadline
	client.sendQueue.Conn = tcpConn(nc)
	if tcp, ok := nc.(*net.TCPConn); ok {
		client.reader = sockets.NewDeadlineReader(tcp)
	}
	client.established = !client.isHandshaking()
	client.arrivalTimes.Reset(earliest)
	return client
}

func (c *conn) closeSocket() { _ = c.nc.Close() }

// isIdle reports whether the connection has no open call and no unwritten answer. c.mu is held.
func (c *conn) isIdle() bool { return !c.handlingCall && len(c.open)+c.unwrittenAnswers == 0 }

// openCalls returns the number of open calls that are not queued.
func (c *conn) openCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) - len(c.queue)
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
// stalled in the middle of a message. A connection may not be evicted during firstCallGrace, while its first call may
// be arriving.
func (c *conn) evictableSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed {
		return time.Time{}, true
	}
	if c.isHandshaking() {
		return c.openedAt, c.isHandshakeLate()
	}
	if !c.established {
		c.established, c.idleSince = true, time.Now()
	}
	if !c.callSeen && time.Since(c.idleSince) < firstCallGrace {
		return time.Time{}, false
	}
	stalled := c.overflow && time.Since(c.lastReadAt) >= firstCallGrace
	withinMessage := !c.incoming.begunAt.IsZero()
	return c.idleSince, c.isIdle() && (!withinMessage || stalled)
}

// isHandshakeLate reports whether the client is late with its TLS handshake.
func (c *conn) isHandshakeLate() bool {
	handshake, ok := c.nc.(interface {
		IsClientLate(acceptedAt time.Time) bool
	})
	return !ok || handshake.IsClientLate(c.openedAt)
}

// admitted records that the connection is served from now on.
func (c *conn) admitted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openedAt = time.Now()
	c.idleSince = c.openedAt
}

// serve handles the connection until it is closed.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	go c.write()
	err := c.read(ctx)
	var violation *msgpackrpc.ProtocolError
	switch {
	case errors.As(err, &violation):
		c.server.count(&c.server.stats.ProtocolErrors)
		c.answerOpenCalls(msgpackrpc.AppendError(nil, violation.Problem))
	case errors.Is(err, os.ErrDeadlineExceeded) && !c.hasEnded():
		c.countIncompleteMessage(err)
		c.answerOpenCalls(nil)
	default: // the client has disconnected: open calls are cancelled
		c.closeQueue()
		c.countIncompleteMessage(err)
		c.closeSocket()
		c.finish(nil)
	}
	c.closeQueue()
	c.closeSocket()
	cancel()
	<-c.writerDone
	c.running.Wait()
	c.countLostAnswers()
	c.releaseQueued()
	c.server.release(c)
}

// answerOpenCalls sends the client notification, which may be empty, and the answers of its open calls after message
// handling has ended. It returns when the client has disconnected, or lingerTimeout after the last answer.
func (c *conn) answerOpenCalls(notification []byte) {
	c.in = nil // releases the buffer
	c.endReading()
	c.finish(notification)
	buf := make([]byte, 4<<10)
	for {
		_, err := c.reader.Read(buf)
		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || c.hasEnded()) {
			return
		}
		c.clearReadDeadline()
		c.yielder.YieldIfDue()
	}
}

// clearReadDeadline removes the read deadline, unless the write side is closed.
func (c *conn) clearReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeClosed {
		_ = c.reader.SetReadDeadline(time.Time{})
	}
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
