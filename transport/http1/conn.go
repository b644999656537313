package http1

import (
	"net"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/transport/secure"
)

// conn is a connection to a server, in plaintext or with TLS. It does not embed net.TCPConn, because some methods of
// net.TCPConn would bypass TLS.
type conn struct {
	tcp      *net.TCPConn
	tls      *secure.Conn // nil: plaintext
	server   *server
	lastUsed time.Time // end of the last response, or opening of an unused connection
}

func (c *conn) Read(p []byte) (int, error) {
	if c.tls != nil {
		return c.tls.Read(p)
	}
	return c.tcp.Read(p)
}

func (c *conn) Write(p []byte) (int, error) {
	if c.tls != nil {
		return c.tls.Write(p)
	}
	return c.tcp.Write(p)
}

func (c *conn) Close() error {
	if c.tls != nil {
		return c.tls.Close()
	}
	return c.tcp.Close()
}

func (c *conn) SetReadDeadline(t time.Time) error  { return c.tcp.SetReadDeadline(t) }
func (c *conn) SetWriteDeadline(t time.Time) error { return c.tcp.SetWriteDeadline(t) }

// isIdle reports whether the connection is open and has no unread data. No other goroutine may be reading from the
// connection.
func (c *conn) isIdle() bool {
	if c.tls != nil {
		return c.tls.IsIdle()
	}
	return sockets.IsIdle(c.tcp)
}

// isTrusted reports whether the certificate of the server is valid and trusted now. A plaintext connection is always
// trusted.
func (c *conn) isTrusted(now time.Time) bool { return c.tls == nil || c.tls.IsTrusted(now) }

// canReuse reports whether the reuse delay after the last response has passed. A duplicate of the last response would
// have arrived within the reuse delay.
func (c *conn) canReuse(now time.Time) bool {
	delay := reuseDelay
	if c.tls != nil {
		delay = tlsReuseDelay
	}
	return now.Sub(c.lastUsed) >= delay
}
