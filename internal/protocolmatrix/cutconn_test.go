package protocolmatrix

import (
	"io"
	"net"
	"sync/atomic"
)

// cutConn is a connection that breaks after a number of bytes, read and written together.
type cutConn struct {
	net.Conn
	left atomic.Int64
}

// newCutConn wraps a connection to break after as many bytes as cut returns, unless cut is nil.
func newCutConn(conn net.Conn, cut func() int) net.Conn {
	if cut == nil {
		return conn
	}
	c := &cutConn{Conn: conn}
	c.left.Store(int64(cut()))
	return c
}

// consume takes n bytes, and returns how many of them are before the cut and whether it is reached.
func (c *cutConn) consume(n int) (before int, reached bool) {
	if left := c.left.Add(int64(-n)); left < 0 {
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

// cutListener cuts the connections that it accepts, unless cut is nil.
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
