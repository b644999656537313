package secure

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync"
	"time"

	"cobaltward/handshakes"
	"cobaltward/router"
)

// Conn is a TLS connection to a server that passed verification. One goroutine may read while another writes.
type Conn struct {
	tls      *tls.Conn
	raw      *handshakes.Conn
	client   *ClientTLS
	endpoint router.Endpoint
	rule     *Rule
	server   *server
	state    tls.ConnectionState

	mu          sync.Mutex
	validity    validity // period in which the server's certificate chain is valid
	trustDigest string   // digest of the authorities that verified the chain
	ownDigest   string   // digest of the certificate that this node presented
}

var _ net.Conn = (*Conn)(nil)

func (c *Conn) Read(p []byte) (int, error)  { return c.tls.Read(p) }
func (c *Conn) Write(p []byte) (int, error) { return c.tls.Write(p) }

// LocalAddr returns the address of this node.
func (c *Conn) LocalAddr() net.Addr { return c.raw.TCP.LocalAddr() }

// RemoteAddr returns the address of the server.
func (c *Conn) RemoteAddr() net.Addr { return c.raw.TCP.RemoteAddr() }

// SetDeadline sets the deadlines of the TCP connection.
func (c *Conn) SetDeadline(t time.Time) error { return c.raw.SetDeadline(t) }

// SetReadDeadline sets the read deadline of the TCP connection.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.raw.SetReadDeadline(t) }

// SetWriteDeadline sets the write deadline of the TCP connection.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.raw.TCP.SetWriteDeadline(t) }

// TCP returns the underlying TCP connection.
func (c *Conn) TCP() *net.TCPConn { return c.raw.TCP }

// Resumed reports whether the handshake resumed a session.
func (c *Conn) Resumed() bool { return c.state.DidResume }

// Negotiated returns the TLS version, the application protocol, and the certificate chain that the server presented.
func (c *Conn) Negotiated() (version, protocol string, chain []*x509.Certificate) {
	return tls.VersionName(c.state.Version), c.state.NegotiatedProtocol, c.state.PeerCertificates
}

// Close closes the connection without blocking. The close_notify alert is dropped if it cannot be written at once.
func (c *Conn) Close() error {
	c.raw.DropBlockingWrites()
	return c.tls.Close()
}

// IsIdle reports whether the connection is open and has no unread data from the server. It handles messages of TLS
// itself, such as new session tickets. No other goroutine may be reading.
func (c *Conn) IsIdle() bool {
	var data [1]byte
	return c.raw.ReadAvailable(func() error {
		_, err := c.tls.Read(data[:])
		return err
	})
}

// IsTrusted reports whether a request may be written: the certificate of the server must be valid and trusted at the
// wall-clock time now. After a change of the certificate of this node, IsTrusted returns false once the connection
// should be replaced.
func (c *Conn) IsTrusted(now time.Time) bool {
	trustDigest, ownDigest := c.rule.digests()
	c.mu.Lock()
	valid, isSameTrust := c.validity.contains(now), trustDigest == c.trustDigest
	c.mu.Unlock()
	if !valid {
		return false
	}
	if !isSameTrust {
		verified, err := c.client.verify(c.rule, &c.endpoint, c.state.PeerCertificates)
		if err != nil {
			return false
		}
		c.mu.Lock()
		c.trustDigest, c.validity = trustDigest, verified
		c.mu.Unlock()
	}
	return ownDigest == c.ownDigest || !c.client.shouldReplace(c, ownDigest, now)
}

// shouldReplace reports whether conn should be replaced now, because this node presented a former certificate on it.
// ownDigest is the digest of the current certificate.
func (l *ClientTLS) shouldReplace(conn *Conn, ownDigest string, now time.Time) bool {
	if conn.rule.ClientCertificate == nil {
		return false
	}
	srv := conn.server
	l.mu.Lock()
	defer l.mu.Unlock()
	if srv.ownDigest != ownDigest {
		srv.ownDigest, srv.ownDigestChangedAt = ownDigest, now
	}
	return handshakes.ShouldReplace(conn.endpoint.ID, now.Sub(srv.ownDigestChangedAt))
}
