package node

import (
	linked "container/list"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"cobaltward/internal/frontend/secure"
	"cobaltward/internal/sockets"
)

// clientListener is the listener for clients. It bounds their connections, and where they get too many it
// makes room by closing those that have been without a request for longest: clients who connect and
// say nothing, or keep what they don't use, must not keep others out.
type clientListener struct {
	net.Listener
	maxConns  int // connections that are served
	overflowConns int // further ones, whose requests are rejected at once
	// queueTimeout is how long clients may wait in the system's queue.
	queueTimeout   func() time.Duration
	retryAfter func() time.Duration // when those are to try again who are turned away; 0: not told
	tlsLayer      *secure.Layer        // puts TLS on connections; nil: they come in plain

	mu    sync.Mutex
	slotFreed  sync.Cond
	open  int
	idle linked.List // of the *clientConn without a request, the longest so in front
	// partialRequests are those of whose request a part has come, and which was not handed on yet.
	partialRequests map[*clientConn]bool
	closed  bool
	// queueEmptyAt is when the system's queue was last known to be empty: who is accepted later came no earlier.
	queueEmptyAt time.Time
	queueDrained      chan struct{} // closed when nobody is left in the system's queue, once it is the last call
	shuttingDown       bool          // the intake has ended: connections without a request are parted from as they come to be so
	recheckScheduled        bool          // some were too young for that, and are looked at again

	requestsDuringClose uint64 // requests that met the close of their connection: their clients send them again
	closedIdle  uint64 // connections that were closed without a request, for a drain
}

const (
	silentHandshakeAge  = 250 * time.Millisecond // after which who has said nothing makes room for others
	stalledRequestAge = time.Second            // and who has begun its handshake, and says no more
	slotRecheckInterval  = 5 * time.Millisecond   // whether another may be let in
)

const (
	// Beside sparePart connections one more may be let in for rejecting what there is no room for, in these bounds: they
	// come out of the node's own descriptors.
	overflowDivisor  = 12
	minOverflowConns = 6
	maxOverflowConns  = 6
	// rejectionWriteTimeout bounds the writing of a rejection to who makes room, which nothing should hold up.
	rejectionWriteTimeout = 100 * time.Millisecond
	// overflowStallTimeout is how long a client on such a connection may stop in the midst of a request.
	overflowStallTimeout = 2 * time.Millisecond
)

// acceptQueueDrainTimeout is how long the system's queue is looked at for those who came before the listener closes.
const acceptQueueDrainTimeout = 20 * time.Millisecond

// firstRequestGrace is how long a connection without a request yet is left alone by a drain, and by those who need room: its first
// request is on its way, and its client has no reason to expect a close.
const firstRequestGrace = 100 * time.Millisecond

// closeHandshakeTimeout is how long a client may take to close its side of a connection that was parted from.
const closeHandshakeTimeout = time.Second

func newClientListener(l net.Listener, most int) *clientListener {
	c := &clientListener{Listener: l, queueDrained: make(chan struct{}), queueEmptyAt: time.Now(), partialRequests: make(map[*clientConn]bool)}
	c.queueTimeout = func() time.Duration { return 0 }
	c.retryAfter = func() time.Duration { return 0 }
	c.setMaxConns(most)
	c.slotFreed.L = &c.mu
	return c
}

func (l *clientListener) Accept() (net.Conn, error) {
	began := time.Now()
	tcp, err := l.Listener.Accept()
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) && l.isClosed() { // after the last call
			close(l.queueDrained) // net/http asks for no other
			return nil, net.ErrClosed
		}
		return nil, err
	}
	c := &clientConn{TCPConn: tcp.(*net.TCPConn), listener: l, acceptedAt: time.Now()}
	c.stream = c.TCPConn
	conn := net.Conn(c)
	if l.tlsLayer != nil {
		c.tls = l.tlsLayer.Wrap(c.TCPConn, l.handshakeDone)
		c.stream, conn = c.tls, &tlsClientConn{c, c.tls}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if sockets.HadToWait(began, c.acceptedAt) {
		l.queueEmptyAt = c.acceptedAt
	}
	c.arrival.Reset(l.queueEmptyAt)
	if l.open++; l.tlsLayer != nil {
		l.admitHandshakeLocked()
	}
	l.awaitSlotLocked(c)
	c.idleElement = l.idle.PushBack(c)
	c.idle.Store(true)
	return conn, nil
}

// drainAcceptQueue takes in whom the system has let in by now: a close would reset them, and what they have sent is taken. They
// come in beyond the bound, which holds for those who stay.
func (l *clientListener) drainAcceptQueue() {
	in, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return
	}
	l.mu.Lock()
	first := !l.closed
	l.closed = true
	l.slotFreed.Broadcast()
	l.mu.Unlock()
	if !first {
		return
	}
	if in.SetDeadline(time.Now().Add(acceptQueueDrainTimeout)) == nil {
		select {
		case <-l.queueDrained:
		case <-time.After(2 * acceptQueueDrainTimeout): // nobody may be accepting
		}
	}
	_ = l.Listener.Close() // nobody is left to tell
}

func (l *clientListener) Close() error {
	l.mu.Lock()
	first := !l.closed
	l.closed = true
	l.slotFreed.Broadcast()
	l.mu.Unlock()
	if !first { // net/http closes it once more
		return nil
	}
	return l.Listener.Close()
}

// setMaxConns changes the connections that may be open, beside the spare ones.
func (l *clientListener) setMaxConns(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = max(1, n)
	l.overflowConns = min(maxOverflowConns, max(minOverflowConns, n/overflowDivisor))
	l.slotFreed.Broadcast()
}

func (l *clientListener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// closeIdle closes our side of the connections that have no request, with care: one to which a request has come
// already serves it, and what crosses the close is counted. The client's own close ends them.
func (l *clientListener) closeIdle() {
	l.mu.Lock()
	l.shuttingDown = true
	l.closeIdleAndUnlock()
}

// recheckIdle parts from those that were too young, unless the drain was taken back meanwhile.
func (l *clientListener) recheckIdle() {
	l.mu.Lock()
	l.recheckScheduled = false
	if !l.shuttingDown {
		l.mu.Unlock()
		return
	}
	l.closeIdleAndUnlock()
}

// closeIdleAndUnlock needs the mutex, and lets it go before it closes anything.
func (l *clientListener) closeIdleAndUnlock() {
	quiet := l.markIdleLocked()
	l.mu.Unlock()
	for _, c := range quiet {
		c.closeWriteSide()
	}
}

// keepIdle has connections without a request kept again.
func (l *clientListener) keepIdle() {
	l.mu.Lock()
	l.shuttingDown = false
	l.mu.Unlock()
}

// markIdleLocked marks the connections that can be parted from.
func (l *clientListener) markIdleLocked() (quiet []*clientConn) {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		switch {
		case c.halfClosed || !sockets.Quiet(c.TCPConn):
		case c.awaitsFirstRequest():
			if !l.recheckScheduled {
				l.recheckScheduled = true
				time.AfterFunc(firstRequestGrace, l.recheckIdle)
			}
		default:
			quiet = append(quiet, c)
			c.halfClosed = true
		}
	}
	l.closedIdle += uint64(len(quiet))
	return quiet
}

// connCounts is the connections, and those of them with a request.
func (l *clientListener) connCounts() (open, busy int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.open - l.idle.Len()
}
