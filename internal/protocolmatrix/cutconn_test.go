package protocolmatrix

import (
	"io"
	"net"
	"sync/atomic"
)

// cutConn is a connection that is closed after a number of bytes. Both read and written bytes count.
type cutConn struct {
	net.Conn
	remaining atomic.Int64
}

// newCutConn returns conn, wrapped in a cutConn that is closed after cut() bytes. If cut is nil, it returns conn
// itself.
func newCutConn(conn net.Conn, cut func() int) net.Conn {
	if cut == nil {
		return conn
	}
	c := &cutConn{Conn: conn}
	c.remaining.Store(int64(cut()))
	return c
}

// consume subtracts n from the remaining bytes. It returns how many of the n bytes are before the cut, and whether n
// exceeds the remaining bytes.
func (c *cutConn) consume(n int) (before int, reached bool) {
	if left := c.remaining.Add(int64(-n)); left < 0 {
		return max(0, n+int(left)), true
	}
	return n, false
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n, reached := c.consume(n); reached {
		_ = c.Close()
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	n, reached := c.consume(len(p))
	if !reached {
		return c.Conn.Write(p)
	}
	_, _ = c.Conn.Write(p[:n])
	_ = c.Close()
	return n, io.ErrClosedPipe
}

// cutListener is a listener that wraps accepted connections with newCutConn.
type cutListener struct {
	net.Listener
	cut func() int
}

func (l cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCutConn(conn, l.cut), nil
}
