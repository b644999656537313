package node

import (
	linked "container/list"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"cobaltward/internal/frontend/secure"
	"cobaltward/internal/pausedetector"
	"cobaltward/internal/sockets"
)

// overflowConns is the number of connections above maxConns whose requests are rejected at once. Their file descriptors
// are taken from those that the node reserves for itself.
const overflowConns = 6

// clientListener accepts the connections of clients and limits their number. Above the limit it evicts the connection
// that has been without a request for longest, so that clients that connect and send nothing, or keep idle connections,
// do not keep others out. Its methods are safe for concurrent use; the fields above mu are set before the first Accept.
type clientListener struct {
	net.Listener
	// queueTimeout returns how long connections may wait in the accept queue.
	queueTimeout func() time.Duration
	// retryAfter returns the value of the Retry-After header of rejections; 0: the header is left out.
	retryAfter func() time.Duration
	tlsLayer   *secure.Terminator // nil: connections are plain TCP

	log         *slog.Logger
	idleTimeout time.Duration // how long a connection may be without a request
	headTimeout time.Duration // from the first byte of a request's head to the last
	pauses      pauseCounter  // counts pauses of this process

	mu        sync.Mutex
	maxConns  int         // number of connections with a slot, which are served
	slotFreed sync.Cond   // signalled when an accepted connection may get a slot
	open      int         // number of connections, including those in excess of maxConns
	idle      linked.List // of *clientConn: the connections without a request, longest idle first
	// partialRequests holds the connections that have sent bytes of a request that is not handed on yet.
	partialRequests  map[*clientConn]bool
	closed           bool
	queue            sockets.AcceptQueue
	queueDrained     chan struct{} // closed when drainAcceptQueue has emptied the accept queue
	shuttingDown     bool          // connections are closed as they become idle
	lingering        lingeringConns
	recheckScheduled bool // a timer will call recheckIdle
	// firstPending is the number of open connections whose first request is not answered yet. Connections that were
	// accepted during a shutdown, or are half closed, are not counted.
	firstPending int

	requestsDuringClose uint64 // requests that arrived while a drain closed their connection; clients retry them
	closedIdle          uint64 // idle connections that were closed by a drain
	unanswered          unansweredCounts
}

// newClientListener returns a listener that accepts from inner and serves at most maxConns connections. Until
// queueTimeout and retryAfter are set, connections do not wait for a slot and rejections have no Retry-After.
func newClientListener(inner net.Listener, maxConns int) *clientListener {
	listener := &clientListener{
		Listener: inner, queue: sockets.NewAcceptQueue(), queueDrained: make(chan struct{}),
		partialRequests: make(map[*clientConn]bool, maxConns+overflowConns),
		idleTimeout:     clientIdleTimeout, headTimeout: headerTimeout, log: slog.New(slog.DiscardHandler),
		pauses: new(pausedetector.Detector),
	}
	listener.queueTimeout = func() time.Duration { return 0 }
	listener.retryAfter = func() time.Duration { return 0 }
	listener.setMaxConns(maxConns)
	listener.slotFreed.L = &listener.mu
	return listener
}

// Accept returns the next connection once it has a slot, or as an overflow connection.
func (l *clientListener) Accept() (net.Conn, error) {
	tcp, err := l.acceptQueued()
	if err != nil {
		return nil, err
	}
	conn := l.newConn(tcp.(*net.TCPConn))
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.arrival.reset(l.queue.EmptyAt())
	l.open++
	l.trimLingeringLocked(overflowConns + maxEvictedConns)
	conn.setFirstPendingLocked(!l.shuttingDown)
	if l.tlsLayer != nil {
		l.awaitHandshakeSlotLocked()
	}
	l.awaitSlotLocked(conn)
	conn.markIdleLocked()
	conn.deadline.apply()
	if conn.tls != nil {
		return &tlsClientConn{conn, conn.tls}, nil
	}
	return conn, nil
}

// acceptQueued returns the next connection in the accept queue. During drainAcceptQueue it fails once the queue is
// empty.
func (l *clientListener) acceptQueued() (net.Conn, error) {
	for {
		tcp, err := l.queue.Accept(l.Listener)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !l.isClosed() {
			return tcp, err
		}
		if queued, _ := sockets.HasQueuedConn(l.Listener); !queued {
			close(l.queueDrained) // net/http does not call Accept again
			return nil, net.ErrClosed
		}
		if err := l.extendAcceptDeadline(); err != nil {
			return nil, err
		}
	}
}

// newConn returns the clientConn of a TCP connection that was just accepted.
func (l *clientListener) newConn(tcp *net.TCPConn) *clientConn {
	now := time.Now()
	c := &clientConn{TCPConn: tcp, listener: l, acceptedAt: now, openedAt: now}
	if l.tlsLayer != nil {
		c.tls = l.tlsLayer.Wrap(tcp, c.handshakeDone)
		c.tls.OnReceive(c.recordTLSBytes)
		c.stream = c.tls
	} else {
		c.stream = plainStream{tcp, sockets.NewDeadlineReader(tcp)}
	}
	c.deadline.set, c.deadline.pauses = c.stream.SetReadDeadline, l.pauses
	return c
}

// Close closes the listener; further calls do nothing. Accepted connections stay open.
func (l *clientListener) Close() error {
	if !l.markClosed() { // net/http closes its listener a second time
		return nil
	}
	return l.Listener.Close()
}

// markClosed makes Accept stop waiting for a slot, and reports whether the listener was open.
func (l *clientListener) markClosed() (wasOpen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasOpen = !l.closed
	l.closed = true
	l.slotFreed.Broadcast()
	return wasOpen
}

func (l *clientListener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// setMaxConns changes the number of connections that are served; less than 1 counts as 1.
func (l *clientListener) setMaxConns(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = max(1, n)
	l.slotFreed.Broadcast()
}

// connCounts returns the number of open connections, and of those with a request.
func (l *clientListener) connCounts() (open, busy int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.open - l.idle.Len()
}

// pendingFirstRequests returns firstPending.
func (l *clientListener) pendingFirstRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstPending
}

// idleCloseCounts returns the number of idle connections that a drain has closed, and of requests that arrived during
// such a close.
func (l *clientListener) idleCloseCounts() (closedIdle, requestsDuringClose uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closedIdle, l.requestsDuringClose
}
