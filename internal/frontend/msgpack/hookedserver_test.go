package msgpack

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/certificates"
	"cobaltward/internal/frontend/secure"
	"cobaltward/internal/pki"
	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
	"cobaltward/policy"
)

// hookedConn is the server's side of a connection, with hooks. Each hook is a function that is called at most once,
// on the goroutine that reads, writes or closes the connection.
type hookedConn struct {
	net.Conn // a *net.TCPConn or *secure.Conn
	tcp      *net.TCPConn
	reader   deadlineReader
	reads    atomic.Int32
	writes   atomic.Int32
	deadline atomic.Pointer[time.Time]

	bytesRead int // used only by the reading goroutine
	ending    sync.Once

	beforeIdleRead func() // called before the read that follows the first call
	afterIdleRead  func() // called when the read that follows the first call has returned
	afterTimeout   func() // called after a read has failed at its deadline
	beforeEnd      func() // called before the write side or the connection is closed
	afterEnd       func() // called after the write side or the connection was closed

	beforeSecondWrite func() // called before the second answer is written
	beforeLingerRead  func() // called before the first read after the write side was closed
	ended             atomic.Bool
}

func (c *hookedConn) TCP() *net.TCPConn { return c.tcp }

// WithinRecord reports whether a TLS record has been read in part.
func (c *hookedConn) WithinRecord() bool {
	conn, ok := c.Conn.(*secure.Conn)
	return ok && conn.WithinRecord()
}

// HasBufferedRecord reports whether a complete TLS record was received that Read has not returned.
func (c *hookedConn) HasBufferedRecord() bool {
	conn, ok := c.Conn.(*secure.Conn)
	return ok && conn.HasBufferedRecord()
}

// MayHaveMore reports whether the client may have sent more TLS records than Read has returned.
func (c *hookedConn) MayHaveMore() bool {
	conn, ok := c.Conn.(*secure.Conn)
	return ok && conn.MayHaveMore()
}

// BytesRead returns the number of encrypted bytes read with TLS.
func (c *hookedConn) BytesRead() uint64 {
	if conn, ok := c.Conn.(*secure.Conn); ok {
		return conn.BytesRead()
	}
	return uint64(c.bytesRead)
}

// SetReadDeadline implements net.Conn. It ignores deadlines before the first read. On a busy machine, the idle
// timeout could expire before the first call.
func (c *hookedConn) SetReadDeadline(t time.Time) error {
	if c.reads.Load() == 0 {
		return nil
	}
	c.deadline.Store(&t)
	return c.reader.SetReadDeadline(t)
}

// awaitDeadline waits until the read deadline has expired.
func (c *hookedConn) awaitDeadline(t testing.TB) {
	testkit.Await(t, "the deadline", func() bool {
		deadline := c.deadline.Load()
		return deadline != nil && !deadline.IsZero() && time.Now().After(*deadline)
	})
}

func (c *hookedConn) Read(p []byte) (int, error) {
	isIdleRead := c.reads.Add(1) == 2
	if isIdleRead {
		runHook(&c.beforeIdleRead)
	}
	if c.ended.Load() {
		runHook(&c.beforeLingerRead)
	}
	n, err := c.reader.Read(p)
	c.bytesRead += n
	if isIdleRead {
		runHook(&c.afterIdleRead)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		runHook(&c.afterTimeout)
	}
	return n, err
}

func (c *hookedConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) == 2 {
		runHook(&c.beforeSecondWrite)
	}
	return c.Conn.Write(p)
}

func (c *hookedConn) CloseWrite() error {
	return c.end(c.Conn.(interface{ CloseWrite() error }).CloseWrite)
}

func (c *hookedConn) Close() error { return c.end(c.Conn.Close) }

func (c *hookedConn) end(end func() error) (err error) {
	c.ending.Do(func() {
		runHook(&c.beforeEnd)
		err = end()
		c.ended.Store(true)
		runHook(&c.afterEnd)
		end = func() error { return err }
	})
	return end()
}

func runHook(hook *func()) {
	if call := *hook; call != nil {
		*hook = nil
		call()
	}
}

// hookedListener accepts connections and wraps them in hookedConn.
type hookedListener struct {
	net.Listener
	terminator *secure.Terminator  // nil: without TLS
	prepare    func(c *hookedConn) // sets the hooks of each accepted connection
}

func (l *hookedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp := accepted.(*net.TCPConn)
	conn := &hookedConn{Conn: tcp, tcp: tcp, reader: sockets.NewDeadlineReader(tcp)}
	if l.terminator != nil {
		wrapped := l.terminator.Wrap(tcp, nil)
		conn.Conn, conn.reader = wrapped, wrapped
	}
	l.prepare(conn)
	return conn, nil
}

// hookedServer is a server whose connections have hooks, with or without TLS.
type hookedServer struct {
	*Server
	network string
	addr    string
	roots   *x509.CertPool // nil: without TLS
}

func startHookedServer(
	t *testing.T, withTLS bool, stub *stubEngine, config Config, prepare func(*hookedConn),
) *hookedServer {
	t.Helper()
	return startHookedEngine(t, withTLS, writeEngine{stub}, config, prepare)
}

// startHookedEngine is startHookedServer for any engine.
func startHookedEngine(
	t *testing.T, withTLS bool, engine Engine, config Config, prepare func(*hookedConn),
) *hookedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &hookedServer{Server: New(engine, config), addr: ln.Addr().String(), network: "tcp"}
	listener := &hookedListener{Listener: ln, prepare: prepare}
	if withTLS {
		listener.terminator, server.roots = newTerminator(t)
	}
	serveUntilEnd(t, server.Server, listener)
	return server
}

// writeEngine is a stubEngine that also has a class "write", whose calls may have bodies.
type writeEngine struct{ *stubEngine }

func (e writeEngine) Class(name string) (policy.Class, bool) {
	if name == "write" {
		return policy.Class{Name: name, Idempotency: policy.NonIdempotent}, true
	}
	return e.stubEngine.Class(name)
}

// newTerminator returns a TLS terminator, and the root certificates with which clients verify it.
func newTerminator(t *testing.T) (*secure.Terminator, *x509.CertPool) {
	t.Helper()
	authority := pki.NewAuthority("ours")
	leaf := authority.Issue(pki.Leaf{Names: []string{"node.example"}})
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "node"), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"cert.pem": pki.PEM(leaf.Cert), "key.pem": leaf.KeyPEM()} {
		if err := os.WriteFile(filepath.Join(dir, "node", name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	store, err := certificates.Open(certificates.Sources{Dir: dir}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	terminator, err := secure.New(secure.Config{Certificates: store})
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(authority.Cert)
	return terminator, roots
}

// dial connects a client, and waits for the answer to its first call.
func (s *hookedServer) dial(t *testing.T) rawClient {
	t.Helper()
	client := s.clientOf(dial(t, s.addr).Conn)
	client.call(t, 1)
	client.expect(t, "1 r1")
	return client
}

// clientOf returns a client on a connection to the server. If the server uses TLS, so does the client.
func (s *hookedServer) clientOf(conn net.Conn) rawClient {
	if s.roots != nil {
		conn = tls.Client(conn, &tls.Config{RootCAs: s.roots, ServerName: "node.example"})
	}
	return rawClient{conn, msgpackrpc.NewReader(conn)}
}

// sendCall sends a call. It reports errors without ending the test, because hooks call it on other goroutines.
func sendCall(t testing.TB, client rawClient, bodySize int) {
	frame := msgpackrpc.AppendCall(nil, 2, &msgpackrpc.Call{
		ID: "r2", Class: "write", Timeout: time.Minute, Body: make([]byte, bodySize),
	})
	if _, err := client.Write(frame); err != nil {
		t.Error(err)
	}
}

// awaitUnread waits until the socket has received bytes that have not been read.
func (c *hookedConn) awaitUnread(t testing.TB) {
	testkit.Await(t, "the call", func() bool { return sockets.Unread(c.tcp) > 0 })
}
