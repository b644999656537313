package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"cobaltward/handshakes"
)

// ensureHandshake performs the handshake if it has not been performed yet. It returns the handshake's error.
func (c *Conn) ensureHandshake() error {
	if c.done.Load() {
		return c.err
	}
	c.handshakeMu.Lock()
	defer c.handshakeMu.Unlock()
	if c.done.Load() {
		return c.err
	}
	c.terminator.inProgress.Add(1)
	err := c.handshake()
	c.terminator.inProgress.Add(-1)
	if c.onHandshakeDone != nil {
		defer c.onHandshakeDone()
	}
	if err != nil {
		c.err = err
		c.done.Store(true)
	}
	return err
}

// handshake performs the handshake and counts its outcome. It returns io.EOF for every failure, because no request
// can be read or answered.
func (c *Conn) handshake() error {
	term := c.terminator
	began := time.Now()
	deadline := began.Add(term.config.Timeout)
	transport := handshakes.NewConn(c.tcp, term.config.CPU, false, deadline, nil)
	_ = transport.SetDeadline(deadline) // fails only if the connection is closed
	transport.AbortIfPeerCloses, transport.TrackRecords = true, true
	c.transport.Store(transport)
	conn := tls.Server(transport, term.tlsConfig)
	err := conn.HandshakeContext(context.Background())
	computeTime, elapsed := transport.EndHandshake(), time.Since(began)
	if err != nil {
		term.countFailure(c.failureReason(err))
		return io.EOF
	}
	transport.OnReceive = c.onReceive
	state := conn.ConnectionState()
	term.countSuccess(state.DidResume, elapsed, computeTime)
	c.peerNames = certificateNames(state.PeerCertificates)
	c.tls = conn
	c.endHandshake(elapsed)
	return nil
}

// endHandshake replaces the handshake's deadlines with the caller's read deadline, and sets done. elapsed is the
// duration of the handshake.
func (c *Conn) endHandshake(elapsed time.Duration) {
	_ = c.tcp.SetWriteDeadline(time.Time{})
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.readDeadline.IsZero() { // the time limit for a request's head starts after the handshake
		c.readDeadline = c.readDeadline.Add(elapsed)
	}
	_ = c.transport.Load().SetReadDeadline(c.readDeadline)
	c.done.Store(true)
}

// failureReason returns the key under which Stats.Failures counts the failed handshake. It sends an error response to
// a client that sent plain HTTP.
func (c *Conn) failureReason(err error) string {
	var header tls.RecordHeaderError
	var netErr net.Error
	switch {
	case errors.As(err, &header) && header.Conn != nil && isHTTP(header.RecordHeader):
		c.rejectPlainHTTP()
		return "plain HTTP"
	case errors.As(err, &header):
		return "no TLS"
	case errors.Is(err, errUntrustedClient):
		c.terminator.config.Log.Info("tls: client certificate rejected", "client", c.tcp.RemoteAddr(), "err", err)
		return "client's certificate"
	case errors.Is(err, handshakes.ErrHandshakeTooLarge):
		return "sent too much"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "not in time"
	case errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrUnexpectedEOF):
		return "left"
	case handshakes.RemoteAlert(err) != "":
		return "the client refused"
	}
	return "no agreement"
}

// rejectPlainHTTP answers a plain HTTP request with status 400, unless the write would block.
func (c *Conn) rejectPlainHTTP() {
	const body = "this port takes TLS alone\n"
	response := fmt.Sprintf("HTTP/1.1 400 Bad Request\r\n"+
		"Connection: close\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	transport := c.transport.Load()
	transport.DropBlockingWrites()
	_, _ = transport.Write([]byte(response))
}

// isHTTP reports whether head, the first bytes of a connection, starts an HTTP request.
func isHTTP(head [5]byte) bool {
	switch string(head[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO", "DELET", "PATCH":
		return true
	}
	return false
}

// certificateNames returns the URIs, DNS names and common name of the first certificate in chain.
func certificateNames(chain []*x509.Certificate) (names []string) {
	if len(chain) == 0 {
		return nil
	}
	leaf := chain[0]
	for _, uri := range leaf.URIs {
		names = append(names, uri.String())
	}
	names = append(names, leaf.DNSNames...)
	if leaf.Subject.CommonName != "" {
		names = append(names, leaf.Subject.CommonName)
	}
	return names
}
