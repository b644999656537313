package node

import (
	"context"
	"time"

	"cobaltward/handshakes"
)

// slotRecheckInterval is the interval between checks for connections that have become old enough to be evicted.
const slotRecheckInterval = 5 * time.Millisecond

// awaitSlotLocked waits until there is a slot for the accepted connection conn. It evicts another connection if
// possible. If all open connections have requests, the wait may last until a request ends. The connections in the
// accept queue wait as well. After queueTimeout, conn therefore becomes an overflow connection, whose requests are
// rejected at once.
func (l *clientListener) awaitSlotLocked(conn *clientConn) {
	for l.open > l.maxConns && !l.closed {
		timeout := l.queueTimeout() - time.Since(l.queuedSinceLocked(conn))
		if l.evictIdleLocked(timeout <= 0) {
			break
		}
		switch {
		case timeout > 0 && l.idle.Len() > 0:
			timeout = slotRecheckInterval // idle connections may be evicted after firstRequestGrace
		case timeout > 0:
		case l.evictStalledLocked():
			continue
		case l.open <= l.maxConns+overflowConns:
			conn.overflow = true
			return
		}
		l.waitForSlotLocked(max(timeout, overflowStallTimeout))
	}
	conn.overflow = !l.closed && l.open > l.maxConns // the evicted connection may have had no slot
}

// waitForSlotLocked waits for slotFreed, but at most for timeout.
func (l *clientListener) waitForSlotLocked(timeout time.Duration) {
	timer := time.AfterFunc(timeout, func() {
		l.mu.Lock() // blocks until Wait has begun; Wait would miss an earlier broadcast
		defer l.mu.Unlock()
		l.slotFreed.Broadcast()
	})
	defer timer.Stop()
	l.slotFreed.Wait()
}

// awaitHandshakeSlotLocked waits until another TLS handshake may begin. It evicts a stalled handshake if too many
// handshakes wait for their clients.
func (l *clientListener) awaitHandshakeSlotLocked() {
	for !l.closed {
		admit, tooManyWaiting := l.admitHandshakeLocked()
		if admit || tooManyWaiting && l.evictHandshakeLocked() {
			return
		}
		l.waitForSlotLocked(slotRecheckInterval)
	}
}

// admitHandshakeLocked reports whether another TLS handshake may begin. If not, tooManyWaiting reports whether too
// many handshakes wait for their clients.
func (l *clientListener) admitHandshakeLocked() (admit, tooManyWaiting bool) {
	active, waiting := 0, 0
	for e := l.idle.Front(); e != nil; e = e.Next() {
		switch c := e.Value.(*clientConn); {
		case !c.tls.Handshaking():
		case c.tls.HandshakeOnCPU(), c.tls.NothingReceived() && time.Since(c.acceptedAt) <= handshakes.SilentAfter:
			active++
		default: // waits for its client, which may be slow or hostile
			waiting++
		}
	}
	return handshakes.AdmitClient(active, waiting, l.maxConns)
}

// mustReject reports whether a request must be rejected instead of passed to the router. It returns true for an
// overflow connection that still has no slot, and for a connection that was just evicted. If it returns false, the
// connection is not evicted before the answer.
func mustReject(ctx context.Context) bool {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if !ok {
		return false
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.overflow = c.overflow && l.open > l.maxConns
	rejected := c.overflow || c.closed
	if !rejected { // a rejected connection stays evictable while the rest of its body arrives
		delete(l.partialRequests, c)
	}
	return rejected
}
