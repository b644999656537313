package secure

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"cobaltward/handshakes"
	"cobaltward/internal/sockets"
	"cobaltward/router"
)

// Handshake opens a TLS connection to endpoint over the TCP connection that dial opens. A queued handshake ends with
// queueCtx. A running handshake ends with ctx. urgent is true if a request waits for the connection. An
// *UntrustedError means that the server failed verification.
func (l *ClientTLS) Handshake(
	queueCtx, ctx context.Context, endpoint *router.Endpoint, urgent bool, dial func() (*net.TCPConn, error),
) (*Conn, error) {
	slot := &handshakes.Reservation{
		Server:      endpoint.ID,
		WarmingUp:   l.isWarmingUp(endpoint),
		Speculative: !urgent,
	}
	if err := l.acquireSlot(queueCtx, slot); err != nil {
		return nil, err
	}
	defer l.releaseSlot(slot)
	tcp, err := dial()
	if err != nil {
		return nil, err
	}
	rule := l.ruleFor(endpoint)
	srv := l.serverFor(endpoint, rule)
	conn := &Conn{client: l, endpoint: *endpoint, rule: rule, server: srv}
	if err := conn.handshake(ctx, tcp, urgent); err != nil {
		_ = tcp.Close()
		return nil, l.recordFailure(endpoint, srv, err)
	}
	l.recordSuccess(conn)
	return conn, nil
}

// acquireSlot waits until the handshake of slot may start.
func (l *ClientTLS) acquireSlot(ctx context.Context, slot *handshakes.Reservation) error {
	l.mu.Lock()
	switch l.limiter.Acquire(slot) {
	case handshakes.Proceed:
		l.mu.Unlock()
		return nil
	case handshakes.Reject:
		l.counters.rejected++
		l.mu.Unlock()
		return ErrTooManyHandshakes
	}
	admitted := make(chan struct{})
	l.admitted[slot] = admitted
	l.counters.queued++
	l.mu.Unlock()
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
		l.releaseSlot(slot)
		return ctx.Err()
	}
}

// releaseSlot ends the reservation slot, and admits the queued handshakes that may now start.
func (l *ClientTLS) releaseSlot(slot *handshakes.Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.admitted, slot)
	for _, next := range l.limiter.Release(slot) {
		close(l.admitted[next])
		delete(l.admitted, next)
	}
}

// handshake runs the TLS handshake over tcp. It ends with ctx or after HandshakeTimeout, whichever is first.
func (c *Conn) handshake(ctx context.Context, tcp *net.TCPConn, urgent bool) error {
	startedAt := time.Now()
	deadline := startedAt.Add(c.client.config.HandshakeTimeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	c.raw = handshakes.NewConn(tcp, c.client.config.CPU, urgent, deadline, ctx.Done())
	_ = c.raw.SetDeadline(deadline)
	c.trustDigest, c.ownDigest = c.rule.digests()
	if err := c.raw.BeginCompute(); err != nil {
		return err
	}
	c.tls = tls.Client(c.raw, c.tlsConfig())
	err := c.tls.HandshakeContext(ctx)
	computeTime := c.raw.EndHandshake()
	if err != nil {
		return err
	}
	_ = c.raw.SetDeadline(time.Time{})
	c.state = c.tls.ConnectionState()
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.client.counters.countHandshake(c.state.DidResume, time.Since(startedAt), computeTime)
	return nil
}

func (c *Conn) tlsConfig() *tls.Config {
	config := &tls.Config{
		ServerName: c.rule.serverName(&c.endpoint),
		NextProtos: c.rule.ALPN,
		MinVersion: tls.VersionTLS13,
		// The verification of crypto/tls is disabled, because it covers neither pins nor URIs. VerifyConnection
		// verifies the chain by the rule instead, also for resumed sessions.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) (err error) {
			c.validity, err = c.client.verify(c.rule, &c.endpoint, state.PeerCertificates)
			return err
		},
		ClientSessionCache: &sessionCache{
			sessions:    &c.server.sessions,
			trustDigest: c.trustDigest,
			ownDigest:   c.ownDigest,
		},
	}
	if c.rule.AllowTLS12 {
		config.MinVersion = tls.VersionTLS12
	}
	if c.rule.ClientCertificate != nil {
		certificate := new(tls.Certificate) // empty: no certificate is sent, because the store has none yet
		if pair := c.rule.ClientCertificate.Set().PairFor(""); pair != nil {
			certificate = &pair.Cert
		}
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return certificate, nil
		}
	}
	return config
}

// recordSuccess records that the server of conn passed verification. An untrusted server becomes trusted again.
func (l *ClientTLS) recordSuccess(conn *Conn) {
	id, srv := conn.endpoint.ID, conn.server
	l.mu.Lock()
	// A process that is no longer listed says nothing about the process that replaced it.
	recovered := l.servers[id] == srv && l.untrusted.RecordSuccess(id)
	srv.certificateSerial = conn.state.PeerCertificates[0].SerialNumber.Text(16)
	srv.certificateExpiry = conn.validity.notAfter
	l.mu.Unlock()
	if recovered {
		l.config.Log.Info("tls: server is trusted again", "server", id)
		l.notifyTrust(id)
	}
}

// recordFailure counts a handshake with endpoint that failed with err. A server that failed verification becomes
// untrusted. recordFailure returns err as classified by classifyError.
func (l *ClientTLS) recordFailure(endpoint *router.Endpoint, srv *server, err error) error {
	err = classifyError(err)
	var untrusted *UntrustedError
	becameUntrusted := false
	l.mu.Lock()
	if errors.As(err, &untrusted) {
		l.counters.countFailure(untrusted.Reason)
		if l.servers[endpoint.ID] == srv { // otherwise the server was removed or replaced by another process
			becameUntrusted = l.untrusted.RecordFailure(l.now(), endpoint.ID, untrusted.Reason)
		}
	} else {
		l.counters.countFailure(connectionFailureReason(err))
	}
	l.mu.Unlock()
	if becameUntrusted {
		l.config.Log.Warn("tls: server failed verification, sending it no requests",
			"server", endpoint.ID, "why", untrusted)
		l.notifyTrust(endpoint.ID)
	}
	return err
}

// DialTCP opens a TCP connection to addr. The dial function of Handshake uses it. A pause of this process does not
// cause a timeout: DialTCP succeeds if the connection was established before the timeout.
func DialTCP(ctx context.Context, dialer *net.Dialer, addr string) (*net.TCPConn, error) {
	return sockets.DialTCP(ctx, dialer, addr)
}
