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
	tls    *tls.Conn
	wire   *handshakes.Conn
	layer  *Layer
	member router.Endpoint
	rule   *Rule
	peer   *peer
	state  tls.ConnectionState

	mu         sync.Mutex
	valid      span
	trust, own string
}

var _ net.Conn = (*Conn)(nil)

func (c *Conn) Read(p []byte) (int, error)         { return c.tls.Read(p) }
func (c *Conn) Write(p []byte) (int, error)        { return c.tls.Write(p) }
func (c *Conn) LocalAddr() net.Addr                { return c.wire.TCP.LocalAddr() }
func (c *Conn) RemoteAddr() net.Addr               { return c.wire.TCP.RemoteAddr() }
func (c *Conn) SetDeadline(t time.Time) error      { return c.wire.TCP.SetDeadline(t) }
func (c *Conn) SetReadDeadline(t time.Time) error  { return c.wire.TCP.SetReadDeadline(t) }
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.wire.TCP.SetWriteDeadline(t) }

// TCP is the connection under it.
func (c *Conn) TCP() *net.TCPConn { return c.wire.TCP }

// Resumed tells whether a session was taken up again.
func (c *Conn) Resumed() bool { return c.state.DidResume }

// Agreed is what the handshake came to: the version, the protocol, and the chain that the server showed.
func (c *Conn) Agreed() (version, protocol string, chain []*x509.Certificate) {
	return tls.VersionName(c.state.Version), c.state.NegotiatedProtocol, c.state.PeerCertificates
}

// Close closes the connection. Its farewell is written where there is room for it: it waits for nobody.
func (c *Conn) Close() error {
	c.wire.DropBlockingWrites()
	return c.tls.Close()
}

// Quiet tells whether the connection is open and nothing has come that is still to be read. What belongs to TLS alone,
// as new tickets, is taken in. Nobody else may be reading.
func (c *Conn) Quiet() bool {
	var b [1]byte
	return c.wire.ReadAvailable(func() error {
		_, err := c.tls.Read(b[:])
		return err
	})
}

// Usable tells whether a request may go over the connection: what the server showed must hold now, and be trusted now.
func (c *Conn) Usable(now time.Time) bool {
	trust, own := c.rule.stamp()
	c.mu.Lock()
	valid, same := c.valid, trust == c.trust
	c.mu.Unlock()
	if !valid.holds(now) {
		return false
	}
	if !same {
		valid, err := c.layer.verify(c.rule, &c.member, c.state.PeerCertificates)
		if err != nil {
			return false
		}
		c.mu.Lock()
		c.trust, c.valid = trust, valid
		c.mu.Unlock()
	}
	return own == c.own || !c.layer.renew(c, own, now)
}

// renew tells whether a connection that showed a former certificate of ours is to be given up by now.
func (l *Layer) renew(c *Conn, own string, now time.Time) bool {
	if c.rule.Own == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.peer.own != own {
		c.peer.own, c.peer.anew = own, now
	}
	return handshakes.ShouldReplace(c.member.ID, now.Sub(c.peer.anew))
}

// tickets is the session that is kept for a server. One is enough: each connection brings a new one.
type tickets struct {
	mu         sync.Mutex
	session    *tls.ClientSessionState
	trust, own string
}

// view is the session as one handshake has it: it has to have come to be under what holds now.
type view struct {
	t          *tickets
	trust, own string
}

// Get returns the session that may be taken up again.
func (v *view) Get(string) (*tls.ClientSessionState, bool) {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	if v.t.session != nil && (v.t.trust != v.trust || v.t.own != v.own) {
		v.t.session = nil
	}
	return v.t.session, v.t.session != nil
}

// Put keeps a session; nil drops the one that is kept.
func (v *view) Put(_ string, s *tls.ClientSessionState) {
	v.t.mu.Lock()
	defer v.t.mu.Unlock()
	v.t.session, v.t.trust, v.t.own = s, v.trust, v.own
}
