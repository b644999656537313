package node

import (
	"errors"
	"net"
	"net/http"
	"time"

	"cobaltward/internal/frontend/secure"
)

// tlsClientConn is a connection of a client by TLS. It has no methods of TCP's than those that it names: others would
// go past TLS.
type tlsClientConn struct {
	conn   *clientConn
	tls *secure.Conn
}

func (c *tlsClientConn) Read(p []byte) (int, error) { return c.conn.Read(p) }

func (c *tlsClientConn) Write(p []byte) (int, error) { return c.tls.Write(p) }

func (c *tlsClientConn) Close() error { return c.tls.Close() }

func (c *tlsClientConn) CloseWrite() error { return c.tls.CloseWrite() }

func (c *tlsClientConn) LocalAddr() net.Addr { return c.tls.LocalAddr() }

func (c *tlsClientConn) RemoteAddr() net.Addr { return c.tls.RemoteAddr() }

func (c *tlsClientConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

func (c *tlsClientConn) SetReadDeadline(t time.Time) error { return c.conn.SetReadDeadline(t) }

func (c *tlsClientConn) SetWriteDeadline(t time.Time) error { return c.tls.SetWriteDeadline(t) }

func (c *tlsClientConn) onStateChange(state http.ConnState) { c.conn.onStateChange(state) }
