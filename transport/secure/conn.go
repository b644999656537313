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

// Conn is a connection to a server that has proved who it is. One goroutine at a time reads it, and one writes.
type Conn struct {
	tls      *tls.Conn
	raw      *handshakes.Conn
	client   *ClientTLS
	endpoint router.Endpoint
	rule     *Rule
	server   *server
	state    tls.ConnectionState

	mu                          sync.Mutex
	validity                    validity
	trustDigest, ownCertificate string
}

var _ net.Conn = (*Conn)(nil)

func (c *Conn) Read(p []byte) (int, error)         { return c.tls.Read(p) }
func (c *Conn) Write(p []byte) (int, error)        { return c.tls.Write(p) }
func (c *Conn) LocalAddr() net.Addr                { return c.raw.TCP.LocalAddr() }
func (c *Conn) RemoteAddr() net.Addr               { return c.raw.TCP.RemoteAddr() }
func (c *Conn) SetDeadline(t time.Time) error      { return c.raw.TCP.SetDeadline(t) }
func (c *Conn) SetReadDeadline(t time.Time) error  { return c.raw.TCP.SetReadDeadline(t) }
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.raw.TCP.SetWriteDeadline(t) }

// TCP is the connection under it.
func (c *Conn) TCP() *net.TCPConn { return c.raw.TCP }

// Resumed tells whether a session was taken up again.
func (c *Conn) Resumed() bool { return c.state.DidResume }

// Negotiated is what the handshake came to: the version, the protocol, and the chain that the server showed.
func (c *Conn) Negotiated() (version, protocol string, chain []*x509.Certificate) {
	return tls.VersionName(c.state.Version), c.state.NegotiatedProtocol, c.state.PeerCertificates
}

// Close closes the connection. Its farewell is written where there is room for it: it waits for nobody.
func (c *Conn) Close() error {
	c.raw.DropBlockingWrites()
	return c.tls.Close()
}

// IsIdle tells whether the connection is open and nothing has come that is still to be read. What belongs to TLS alone,
// as new tickets, is taken in. Nobody else may be reading.
func (c *Conn) IsIdle() bool {
	var b [1]byte
	return c.raw.ReadAvailable(func() error {
		_, err := c.tls.Read(b[:])
		return err
	})
}

// IsTrusted tells whether a request may go over the connection: what the server showed must hold now, and be trusted now.
func (c *Conn) IsTrusted(now time.Time) bool {
	trust, own := c.rule.digests()
	c.mu.Lock()
	valid, same := c.validity, trust == c.trustDigest
	c.mu.Unlock()
	if !valid.contains(now) {
		return false
	}
	if !same {
		valid, err := c.client.verify(c.rule, &c.endpoint, c.state.PeerCertificates)
		if err != nil {
			return false
		}
		c.mu.Lock()
		c.trustDigest, c.validity = trust, valid
		c.mu.Unlock()
	}
	return own == c.ownCertificate || !c.client.shouldReplace(c, own, now)
}

// shouldReplace tells whether a connection that showed a former certificate of ours is to be given up by now.
func (l *ClientTLS) shouldReplace(c *Conn, own string, now time.Time) bool {
	if c.rule.ClientCertificate == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.server.ownCertificate != own {
		c.server.ownCertificate, c.server.ownCertificateChangedAt = own, now
	}
	return handshakes.ShouldReplace(c.endpoint.ID, now.Sub(c.server.ownCertificateChangedAt))
}

// sessionTickets is the session that is kept for a server. One is enough: each connection brings a new one.
type sessionTickets struct {
	mu                          sync.Mutex
	session                     *tls.ClientSessionState
	trustDigest, ownCertificate string
}

// sessionCache is the session as one handshake has it: it has to have come to be under what holds now.
type sessionCache struct {
	tickets                     *sessionTickets
	trustDigest, ownCertificate string
}

// Get returns the session that may be taken up again.
func (v *sessionCache) Get(string) (*tls.ClientSessionState, bool) {
	v.tickets.mu.Lock()
	defer v.tickets.mu.Unlock()
	if v.tickets.session != nil && (v.tickets.trustDigest != v.trustDigest || v.tickets.ownCertificate != v.ownCertificate) {
		v.tickets.session = nil
	}
	return v.tickets.session, v.tickets.session != nil
}

// Put keeps a session; nil drops the one that is kept.
func (v *sessionCache) Put(_ string, s *tls.ClientSessionState) {
	v.tickets.mu.Lock()
	defer v.tickets.mu.Unlock()
	v.tickets.session, v.tickets.trustDigest, v.tickets.ownCertificate = s, v.trustDigest, v.ownCertificate
}
