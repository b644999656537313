package node

import (
	linked "container/list"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"cobaltward/internal/frontend/pacing"
	"cobaltward/internal/frontend/secure"
	"cobaltward/internal/pausedetector"
	"cobaltward/internal/sockets"
)

// overflowConns is the maximum number of overflow connections, whose requests are rejected at once. Their file
// descriptors are part of reservedDescriptors.
const overflowConns = 6

// clientListener accepts the connections of clients and limits their number. Above the limit it evicts the connection
// that has been without a request longest. Clients that connect and send nothing, or keep idle connections, therefore
// do not keep other clients out. Its methods are safe for concurrent use. The fields above mu are set before the
// first Accept.
type clientListener struct {
	net.Listener
	// queueTimeout returns the maximum time for which connections may wait in the accept queue.
	queueTimeout func() time.Duration
	// retryAfter returns the value of the Retry-After header of rejections; 0 omits the header.
	retryAfter func() time.Duration
	tlsLayer   *secure.Terminator // nil: connections are plain TCP

	log         *slog.Logger
	pacing      *pacing.Limiter
	idleTimeout time.Duration // maximum time without a request
	headTimeout time.Duration // timeout from the first byte of a request's head to the last
	pauses      pauseCounter  // pauses of this process

	mu        sync.Mutex
	maxConns  int         // maximum number of connections that are served
	slotFreed sync.Cond   // signaled when an accepted connection may get a slot
	open      int         // number of connections, including those in excess of maxConns
	idle      linked.List // connections without a request (*clientConn), longest idle first
	// partialRequests holds the connections with a request that has begun to arrive and was not passed to the router
	// yet.
	partialRequests  map[*clientConn]bool
	closed           bool
	queue            sockets.AcceptQueue
	queueDrained     chan struct{} // closed when drainAcceptQueue has emptied the accept queue
	shuttingDown     bool          // whether connections are closed as they become idle
	lingering        lingeringConns
	recheckScheduled bool // whether a timer will call recheckIdle
	// firstPending is the number of open connections without an answer to their first request. It excludes half-closed
	// connections and connections accepted during a shutdown.
	firstPending int

	requestsDuringClose uint64 // requests on connections that a drain was closing; clients retry them
	closedIdle          uint64 // idle connections closed by a drain
	unanswered          unansweredCounts
}

// newClientListener returns a listener that accepts from inner and serves at most maxConns connections. Until
// queueTimeout is set, connections do not wait for a slot. Until retryAfter is set, rejections have no Retry-After
// header.
func newClientListener(inner net.Listener, maxConns int) *clientListener {
	listener := &clientListener{
		Listener: inner, queue: sockets.NewAcceptQueue(), queueDrained: make(chan struct{}),
		partialRequests: make(map[*clientConn]bool, maxConns+overflowConns),
		idleTimeout:     clientIdleTimeout, headTimeout: headerTimeout, log: slog.New(slog.DiscardHandler),
		pauses: new(pausedetector.Detector), pacing: new(pacing.Limiter),
	}
	listener.queueTimeout = func() time.Duration { return 0 }
	listener.retryAfter = func() time.Duration { return 0 }
	listener.setMaxConns(maxConns)
	listener.slotFreed.L = &listener.mu
	return listener
}

// Accept returns the next connection, which has a slot or is an overflow connection. It may wait for a slot.
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

// acceptQueued returns the next connection in the accept queue. During drainAcceptQueue it returns net.ErrClosed once
// the queue is empty.
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

// newConn returns the clientConn of tcp, which was just accepted.
func (l *clientListener) newConn(tcp *net.TCPConn) *clientConn {
	now := time.Now()
	c := &clientConn{TCPConn: tcp, listener: l, acceptedAt: now, openedAt: now, pace: l.pacing.NewConn()}
	c.sendQueue.Conn = tcp
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

// markClosed makes Accept stop waiting for a slot. wasOpen reports whether the listener was open.
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

// setMaxConns sets the maximum number of connections that are served; values below 1 count as 1.
func (l *clientListener) setMaxConns(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = max(1, n)
	l.slotFreed.Broadcast()
}

// connCounts returns the number of open connections and how many of them have a request.
func (l *clientListener) connCounts() (open, busy int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.open - l.idle.Len()
}

// pendingFirstRequests returns firstPending under the mutex.
func (l *clientListener) pendingFirstRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstPending
}

// idleCloseCounts returns the number of idle connections that drains have closed, and the number of requests that
// arrived on connections that a drain was closing.
func (l *clientListener) idleCloseCounts() (closedIdle, requestsDuringClose uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closedIdle, l.requestsDuringClose
}
