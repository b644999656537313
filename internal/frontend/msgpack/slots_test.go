package msgpack

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// stuckConn is a connection whose reads return only after the release, also if it is closed. Its goroutines end late,
// as on a busy machine.
type stuckConn struct {
	net.Conn
	release chan struct{}
}

func (c stuckConn) Read([]byte) (int, error) {
	<-c.release
	return 0, io.EOF
}

// TestAdmit_BoundsEndingConnections guards against memory for connections that the server has closed and whose
// goroutines have not returned: clients that reconnect quickly could make them many.
func TestAdmit_BoundsEndingConnections(t *testing.T) {
	const maxConns, clients = 2, 100
	synctest.Test(t, func(t *testing.T) {
		server := New(&stubEngine{}, Config{MaxConns: maxConns})
		release := make(chan struct{})
		var admitted atomic.Int32
		go func() {
			for range clients {
				_, far := net.Pipe()
				server.admit(stuckConn{far, release}, time.Now())
				admitted.Add(1)
			}
		}()
		synctest.Wait()
		if n := admitted.Load(); n > maxConns+maxEndingConns {
			t.Errorf("%d connections were admitted and none has ended, want at most %d", n, maxConns+maxEndingConns)
		}
		close(release)
		synctest.Wait()
		if n := admitted.Load(); n != clients {
			t.Errorf("%d connections were admitted, want %d", n, clients)
		}
		server.Close()
	})
}
