package node

import (
	"errors"
	"net"
	"net/http"
	"time"

	"cobaltward/internal/frontend/secure"
)

// secureClient is a connection of a client by TLS. It has no methods of TCP's than those that it names: others would
// go past TLS.
type secureClient struct {
	conn   *clientConn
	secure *secure.Conn
}

func (c *secureClient) Read(p []byte) (int, error) { return c.conn.Read(p) }

func (c *secureClient) Write(p []byte) (int, error) { return c.secure.Write(p) }

func (c *secureClient) Close() error { return c.secure.Close() }

func (c *secureClient) CloseWrite() error { return c.secure.CloseWrite() }

func (c *secureClient) LocalAddr() net.Addr { return c.secure.LocalAddr() }

func (c *secureClient) RemoteAddr() net.Addr { return c.secure.RemoteAddr() }

func (c *secureClient) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

func (c *secureClient) SetReadDeadline(t time.Time) error { return c.conn.SetReadDeadline(t) }

func (c *secureClient) SetWriteDeadline(t time.Time) error { return c.secure.SetWriteDeadline(t) }

func (c *secureClient) change(state http.ConnState) { c.conn.change(state) }
