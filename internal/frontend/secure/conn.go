package secure

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/handshakes"
	"cobaltward/internal/sockets"
)

// Conn is the server's side of a client's TLS connection. One goroutine may read while another goroutine writes. All
// other methods are safe for concurrent use.
type Conn struct {
	terminator      *Terminator
	tcp             *net.TCPConn
	onHandshakeDone func()                          // called once when the handshake is done; may be nil
	onReceive       func()                          // called after reads that returned bytes; may be nil
	transport       atomic.Pointer[handshakes.Conn] // wraps tcp and carries tls; nil before the handshake

	handshakeMu sync.Mutex  // held during the handshake
	done        atomic.Bool // whether the handshake has ended; tls, err and peerNames then no longer change
	tls         *tls.Conn
	err         error // error of a failed handshake; nil otherwise
	peerNames   []string

	deadlineMu   sync.Mutex
	readDeadline time.Time // set by SetReadDeadline; the handshake adds its duration when it ends
}

var _ net.Conn = (*Conn)(nil)

// OnReceive registers f to be called after each read that returns bytes after the handshake. f is called even if the
// bytes cannot be decrypted yet. OnReceive must be called before the first Read.
func (c *Conn) OnReceive(f func()) { c.onReceive = f }

// Handshaking reports whether the handshake has yet to end. It returns true even before the handshake begins.
func (c *Conn) Handshaking() bool { return !c.done.Load() }

// HandshakeOnCPU reports whether the handshake is waiting for the CPU, using the CPU, or has just used the CPU. Bytes
// that are unread wait for the CPU, too. If it returns false, an unfinished handshake is waiting for the client.
func (c *Conn) HandshakeOnCPU() bool {
	if !c.Handshaking() {
		return false
	}
	transport := c.transport.Load()
	return transport != nil && transport.IsComputing() || sockets.Unread(c.tcp) > 0
}

// IsClientLate reports whether the handshake is waiting for the client, and has waited for so long that the connection
// may be evicted. acceptedAt is the time at which the connection was accepted.
func (c *Conn) IsClientLate(acceptedAt time.Time) bool {
	if !c.Handshaking() || c.HandshakeOnCPU() {
		return false
	}
	var waited time.Duration
	if transport := c.transport.Load(); transport != nil {
		waited = transport.PeerWait()
	}
	return handshakes.IsClientLate(c.NothingReceived(), time.Since(acceptedAt), waited)
}

// NothingReceived reports whether the handshake is not done and no byte has been received from the client.
func (c *Conn) NothingReceived() bool {
	transport := c.transport.Load()
	return c.Handshaking() && (transport == nil || !transport.HasReceived())
}

// WithinRecord reports whether a TLS record has been read in part.
func (c *Conn) WithinRecord() bool {
	transport := c.transport.Load()
	return transport != nil && transport.WithinRecord()
}

// BytesRead returns the number of encrypted bytes read since the handshake. Only the reading goroutine may call it.
func (c *Conn) BytesRead() uint64 {
	transport := c.transport.Load()
	if transport == nil {
		return 0
	}
	return transport.BytesRead()
}

// PeerNames returns the names in the client's certificate: URIs, DNS names, then the common name. It returns nil if
// the client presented no certificate or the handshake is not done.
func (c *Conn) PeerNames() []string {
	if c.Handshaking() {
		return nil
	}
	return c.peerNames
}

// isEstablished reports whether the handshake has succeeded.
func (c *Conn) isEstablished() bool { return c.done.Load() && c.err == nil }

// Read implements net.Conn. The first Read or Write performs the handshake. If the handshake failed, Read returns
// io.EOF.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.ensureHandshake(); err != nil {
		return 0, err
	}
	n, err := c.tls.Read(p)
	switch {
	case err != nil:
		c.transport.Load().AllRecordsReturned()
	case n < len(p): // a read returns bytes of one record
		c.transport.Load().RecordReturned()
	}
	return n, err
}

// HasBufferedRecord reports whether a complete TLS record was received that Read has not returned.
func (c *Conn) HasBufferedRecord() bool {
	transport := c.transport.Load()
	return transport != nil && transport.HasBufferedRecord()
}

// MayHaveMore reports whether the client may have sent more than Read has returned, apart from an incomplete record.
// The reading goroutine calls it after Read.
func (c *Conn) MayHaveMore() bool {
	transport := c.transport.Load()
	return transport != nil && transport.MayHaveMore()
}

// Write implements net.Conn. If the handshake failed, Write returns net.ErrClosed.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.ensureHandshake(); err != nil {
		return 0, net.ErrClosed
	}
	return c.tls.Write(p)
}

// Close closes the connection without blocking. If the send buffer is full, the close_notify alert is dropped.
func (c *Conn) Close() error {
	if c.isEstablished() {
		c.transport.Load().DropBlockingWrites()
		return c.tls.Close()
	}
	return c.tcp.Close()
}

// CloseWrite closes the write side without blocking. If the send buffer is full, the close_notify alert is dropped.
func (c *Conn) CloseWrite() error {
	if c.isEstablished() {
		c.transport.Load().DropBlockingWrites()
		if err := c.tls.CloseWrite(); err != nil {
			return err
		}
	}
	return c.tcp.CloseWrite()
}

// TCP returns the connection under TLS. The caller must not read from the returned connection or write to it.
func (c *Conn) TCP() *net.TCPConn { return c.tcp }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.tcp.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.tcp.RemoteAddr() }

// SetDeadline implements net.Conn by calling SetReadDeadline and SetWriteDeadline.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn. The handshake has its own deadline. If t is set before the handshake is done,
// it applies afterwards and is extended by the duration of the handshake.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.readDeadline = t
	if c.Handshaking() {
		return nil
	}
	if transport := c.transport.Load(); transport != nil {
		return transport.SetReadDeadline(t)
	}
	return c.tcp.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. It has no effect before the end of the handshake, because the handshake has
// its own deadline.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.Handshaking() {
		return nil
	}
	return c.tcp.SetWriteDeadline(t)
}

type connKey struct{}

// WithConn returns a copy of ctx that holds c. It is for use in http.Server.ConnContext.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// PeerNames returns the result of Conn.PeerNames for the connection that WithConn added to ctx, or nil without one.
func PeerNames(ctx context.Context) []string {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c.PeerNames()
	}
	return nil
}
