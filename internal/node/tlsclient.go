package node

import (
	"errors"
	"net"
	"net/http"
	"time"

	"cobaltward/internal/frontend/secure"
)

// tlsClientConn is a TLS connection of a client. It does not embed the TCP connection, whose promoted methods would
// bypass TLS.
type tlsClientConn struct {
	conn *clientConn
	tls  *secure.Conn
}

// Read reads decrypted bytes through clientConn.Read, which tracks the connection's requests.
func (c *tlsClientConn) Read(p []byte) (int, error) { return c.conn.Read(p) }

// Write encrypts p and writes it. After the timeout of a head, Write discards p, as clientConn.Write does.
func (c *tlsClientConn) Write(p []byte) (int, error) {
	if c.conn.headTimedOut.Load() {
		return len(p), nil
	}
	return c.tls.Write(p)
}

// Close closes the connection, which may linger as described at clientConn.Close.
func (c *tlsClientConn) Close() error { return c.conn.Close() }

// CloseWrite closes the node's side of the connection.
func (c *tlsClientConn) CloseWrite() error { return c.tls.CloseWrite() }

// LocalAddr returns the node's address.
func (c *tlsClientConn) LocalAddr() net.Addr { return c.tls.LocalAddr() }

// RemoteAddr returns the client's address.
func (c *tlsClientConn) RemoteAddr() net.Addr { return c.tls.RemoteAddr() }

// SetDeadline sets the read and the write deadline.
func (c *tlsClientConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline sets the deadline of reads. If the connection's readDeadline expires sooner, that deadline applies.
func (c *tlsClientConn) SetReadDeadline(t time.Time) error { return c.conn.SetReadDeadline(t) }

// SetWriteDeadline sets the write deadline.
func (c *tlsClientConn) SetWriteDeadline(t time.Time) error { return c.tls.SetWriteDeadline(t) }

func (c *tlsClientConn) onStateChange(state http.ConnState) { c.conn.onStateChange(state) }
