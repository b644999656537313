package msgpack

import (
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
)

// fronts are the kinds of listeners that a server may have.
var fronts = []string{"TCP", "TLS", "Unix"}

// maxLateness is the time after its deadline from which a request without an answer is lost.
const maxLateness = 500 * time.Millisecond

// startFront starts a server with a listener of the given kind.
func startFront(t *testing.T, front string, engine Engine, config Config) *hookedServer {
	t.Helper()
	network, addr := "tcp", "127.0.0.1:0"
	if front == "Unix" {
		network, addr = "unix", filepath.Join(t.TempDir(), "rpc.sock")
	}
	ln, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &hookedServer{Server: New(engine, config), addr: ln.Addr().String(), network: network}
	if front == "TLS" {
		terminator, roots := newTerminator(t)
		ln, server.roots = terminator.Listener(ln), roots
	}
	serveUntilEnd(t, server.Server, ln)
	return server
}

// connect connects a client. It sends nothing.
func (s *hookedServer) connect(t *testing.T) rawClient {
	t.Helper()
	conn, err := net.Dial(s.network, s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testkit.MaxWait))
	return s.clientOf(conn)
}

// onlyConn returns the server's side of its only connection.
func (s *hookedServer) onlyConn() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		return conn
	}
	return nil
}

// appendCall appends a call whose client waits for the given time.
func appendCall(b []byte, id uint32, class string, timeout time.Duration) []byte {
	return msgpackrpc.AppendCall(b, id, &msgpackrpc.Call{ID: fmt.Sprint("r", id), Class: class, Timeout: timeout})
}

// send writes frames.
func (r rawClient) send(t *testing.T, frames []byte) {
	t.Helper()
	if _, err := r.Write(frames); err != nil {
		t.Fatal(err)
	}
}
