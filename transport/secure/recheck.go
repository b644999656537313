package secure

import (
	"context"
	"net"
	"time"

	"cobaltward/router"
)

// recheckInterval is the interval at which recheckUntrusted looks for due rechecks.
const recheckInterval = 50 * time.Millisecond

// recheckUntrusted starts the due rechecks of untrusted servers at every recheckInterval, until Close.
func (l *ClientTLS) recheckUntrusted() {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.startDueRechecks()
		case <-l.stop:
			return
		}
	}
}

func (l *ClientTLS) startDueRechecks() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.untrusted.StartDue(l.now()) {
		srv := l.servers[id]
		if srv == nil {
			l.untrusted.Forget(id)
			continue
		}
		endpoint := srv.endpoint
		l.tasks.Go(func() { l.recheck(endpoint) })
	}
}

// recheck runs a handshake with the untrusted server that endpoint describes. No request waits for the handshake.
func (l *ClientTLS) recheck(endpoint router.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), l.config.ConnectTimeout+l.config.HandshakeTimeout)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	l.tasks.Go(func() { // cancels the recheck in Close, which must not wait for the timeout
		select {
		case <-l.stop:
			cancel()
		case <-ended:
		}
	})
	conn, err := l.Handshake(ctx, ctx, &endpoint, false, func() (*net.TCPConn, error) {
		dialer := net.Dialer{Timeout: l.config.ConnectTimeout, KeepAlive: -1}
		return DialTCP(ctx, &dialer, endpoint.Addr)
	})
	if err == nil {
		_ = conn.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.untrusted.RecordInconclusive(l.now(), endpoint.ID) // no effect if Handshake recorded a success or a failure
}
