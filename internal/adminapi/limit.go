package adminapi

import (
	"net"
	"sync"
)

// limitedListener limits the number of open connections to cap(slots). Further connections wait in the kernel's
// accept queue.
type limitedListener struct {
	net.Listener
	slots chan struct{} // one element for each open connection
	done  chan struct{} // closed when the server is closed
}

func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
