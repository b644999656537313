package node

import (
	"context"
	"time"

	"cobaltward/handshakes"
)

// slotRecheckInterval is the time between checks for a slot while connections become old enough to be evicted.
const slotRecheckInterval = 5 * time.Millisecond

// awaitSlotLocked waits until there is a slot for an accepted connection. Where each open connection has a request,
// one will end, but the requests of connections in the accept queue get old: after queueTimeout, connections are
// accepted as overflow and their requests are rejected at once.
func (l *clientListener) awaitSlotLocked(conn *clientConn) {
	for l.open > l.maxConns && !l.closed {
		timeout := l.queueTimeout() - time.Since(l.queuedSinceLocked(conn))
		if l.evictIdleLocked(timeout <= 0) {
			break
		}
		switch {
		case timeout > 0 && l.idle.Len() > 0:
			timeout = slotRecheckInterval // the idle ones may be evicted after firstRequestGrace
		case timeout > 0:
		case l.evictStalledLocked():
			continue
		case l.open <= l.maxConns+overflowConns:
			conn.overflow = true
			return
		}
		l.waitForSlotLocked(max(timeout, overflowStallTimeout))
	}
	conn.overflow = !l.closed && l.open > l.maxConns // the evicted connection may have been an overflow one itself
}

// waitForSlotLocked waits for slotFreed, and no longer than timeout.
func (l *clientListener) waitForSlotLocked(timeout time.Duration) {
	timer := time.AfterFunc(timeout, func() {
		l.mu.Lock() // held until Wait has begun, which would miss a broadcast ahead of it
		defer l.mu.Unlock()
		l.slotFreed.Broadcast()
	})
	defer timer.Stop()
	l.slotFreed.Wait()
}

// awaitHandshakeSlotLocked waits until another TLS handshake may begin.
func (l *clientListener) awaitHandshakeSlotLocked() {
	for !l.closed {
		admit, crowded := l.admitHandshakeLocked()
		if admit || crowded && l.evictHandshakeLocked() {
			return
		}
		l.waitForSlotLocked(slotRecheckInterval)
	}
}

// admitHandshakeLocked reports whether another TLS handshake may begin; if not, crowded says that too many wait for
// their clients.
func (l *clientListener) admitHandshakeLocked() (admit, crowded bool) {
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

// mustReject reports whether a request that is about to be handed on must be rejected: its connection is an overflow
// one and still without a slot, or was evicted just now, so that its client has been sent a rejection. A connection
// whose request is handed on is not evicted before its answer.
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
	if !rejected { // else the connection stays evictable while the rest of its body comes
		delete(l.partialRequests, c)
	}
	return rejected
}
