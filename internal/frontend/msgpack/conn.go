package msgpack

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/stream"
)

const (
	// lingerTimeout is how long a connection is read after its write side was closed: closing it with unread bytes would
	// reset it, and the client could lose the last answers.
	lingerTimeout = time.Second
	// lateCallTimeout is how long calls that cross the drain notification are still answered.
	lateCallTimeout = 200 * time.Millisecond
	// drainFirstCallGrace is how long after its beginning a connection without any call is left open by a drain: the
	// first call may be on its way.
	drainFirstCallGrace = 2500 * time.Millisecond
	// drainRecheckInterval is the time between looks whether a connection can be ended by a drain.
	drainRecheckInterval = 100 * time.Millisecond
)

// conn is one client's connection. One goroutine reads, one writes, and each open call has one that waits for its
// answer.
type conn struct {
	server      *Server
	nc          net.Conn
	reader      deadlineReader // reads nc
	callSlots   chan struct{}  // holds one element for each open call and each unwritten answer
	writeSignal stream.Signal
	writerDone  chan struct{}
	calls       sync.WaitGroup

	arrival sockets.Arrival // used by the reader only

	overflow bool // guarded by server.mu: accepted without a slot

	mu               sync.Mutex
	open             map[uint32]context.CancelFunc // by msgid
	queue            []answer                      // bounded by callSlots
	unwritten        int                           // answers, queued or being written
	idleSince        time.Time                     // when the connection last had an open call
	messageStartedAt time.Time                     // of an incomplete message; zero: there is none
	openedAt         time.Time                     // the connection was accepted
	callSeen         bool                          // a call has been received
	answerWritten    bool                          // an answer has been written
	lastReadAt       time.Time
	notifications    []byte // not yet written
	draining         bool
	drainNotifiedAt  time.Time
	closing          bool // nothing more is read; the writer closes the write side once no call is open
	writeClosed      bool // nothing more is answered; what still arrives is discarded
	evicted          bool // the reader ends the connection as soon as it is idle
	endCause         endCause
	lingerUntil      time.Time // the end of reading, once the write side is closed
	closedOverUnread bool      // bytes had arrived as the server closed the connection
	answersLost      bool      // a write of answers has failed
	lossCounted      bool      // a call that met the end of the connection is counted
}

// deadlineReader reads a connection.
type deadlineReader interface {
	Read(p []byte) (int, error)
	SetReadDeadline(t time.Time) error
}

type answer struct {
	msgid uint32
	reply msgpackrpc.Reply
}

func newConn(server *Server, nc net.Conn, earliest time.Time) *conn {
	client := &conn{
		server:      server,
		nc:          nc,
		callSlots:   make(chan struct{}, server.config.MaxCalls),
		writeSignal: stream.NewSignal(),
		writerDone:  make(chan struct{}),
		open:        make(map[uint32]context.CancelFunc),
		idleSince:   time.Now(),
		openedAt:    time.Now(),
	}
	client.reader = nc // with TLS it serves itself what has been received by a deadline
	if tcp, ok := nc.(*net.TCPConn); ok {
		client.reader = sockets.NewDeadlineReader(tcp)
	}
	client.arrival.Reset(earliest)
	return client
}

func (c *conn) closeSocket() { _ = c.nc.Close() }

// idle reports whether no call is open and no answer unwritten. c.mu is held.
func (c *conn) idle() bool { return len(c.open)+c.unwritten == 0 }

func (c *conn) openCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// isBusy reports whether a call is open or an answer unwritten.
func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.idle()
}

// firstCallPending reports whether the first call is not answered, and may be on its way.
func (c *conn) firstCallPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.answerWritten && (!c.idle() || c.awaitsFirstCall())
}

// awaitsFirstCall reports whether no call has come yet, and the first may be on its way. c.mu is held.
func (c *conn) awaitsFirstCall() bool {
	return !c.callSeen && !c.closing && !c.writeClosed && time.Since(c.openedAt) < drainFirstCallGrace
}

// evictableSince returns the time since which the connection has been idle, zero if it has ended; false if it may not
// be evicted. An overflow connection may be evicted within a message that has stalled, but not while its first call may
// be arriving.
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
	withinMessage := !c.messageStartedAt.IsZero()
	return c.idleSince, c.idle() && (!withinMessage || stalled)
}

// serve runs the connection until it has ended.
func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	go c.write()
	err := c.read(ctx)
	var violation *msgpackrpc.ProtocolError
	if errors.As(err, &violation) { // open calls are still answered
		c.server.count(&c.server.stats.ProtocolErrors)
		c.finish(msgpackrpc.AppendError(nil, violation.Problem))
		<-c.writerDone
	} else { // the client has disconnected, which cancels its calls
		c.countUnanswered(err)
		c.closeSocket()
		c.finish(nil)
	}
	cancel()
	c.calls.Wait()
	<-c.writerDone
	c.countLostAnswers()
	c.closeSocket()
	c.server.release(c)
}

// countUnanswered counts the connection if its reading ended, by err, within a message.
func (c *conn) countUnanswered(err error) {
	c.mu.Lock()
	ended := c.writeClosed
	withinMessage := !c.messageStartedAt.IsZero() || c.closedOverUnread || ended && c.hasUnread()
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

// countLostAnswers counts the connection if the server closed it before its last answers were written.
func (c *conn) countLostAnswers() {
	c.mu.Lock()
	lost := c.writeClosed && (c.answersLost || len(c.queue) > 0)
	c.mu.Unlock()
	if lost {
		c.countLostCall()
	}
}

// finish has the writer send a last notification, which may be empty, and end once no call is open.
func (c *conn) finish(notification []byte) {
	c.mu.Lock()
	c.notifications = append(c.notifications, notification...)
	c.closing = true
	c.mu.Unlock()
	c.writeSignal.Notify()
}

// drain notifies the client that no new calls are accepted.
func (c *conn) drain() {
	c.mu.Lock()
	if !c.draining {
		c.notifications = msgpackrpc.AppendDrain(c.notifications)
		c.draining, c.drainNotifiedAt = true, time.Now()
		time.AfterFunc(lateCallTimeout, c.recheckDrain)
	}
	c.mu.Unlock()
	c.writeSignal.Notify()
}

// recheckDrain has the writer look whether the connection is finished, again later while its first call may come.
func (c *conn) recheckDrain() {
	c.mu.Lock()
	awaiting := c.awaitsFirstCall()
	c.mu.Unlock()
	if awaiting {
		time.AfterFunc(drainRecheckInterval, c.recheckDrain)
	}
	c.writeSignal.Notify()
}
