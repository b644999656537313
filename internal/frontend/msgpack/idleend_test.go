package msgpack

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
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
	ending   sync.Once

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
	addr  string
	roots *x509.CertPool // nil: without TLS
}

func startHookedServer(
	t *testing.T, withTLS bool, stub *stubEngine, config Config, prepare func(*hookedConn),
) *hookedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &hookedServer{Server: New(writeEngine{stub}, config), addr: ln.Addr().String()}
	listener := &hookedListener{Listener: ln, prepare: prepare}
	if withTLS {
		listener.terminator, server.roots = newTerminator(t)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		if err := testkit.Receive(t, "the return of Serve", served); !errors.Is(err, ErrClosed) {
			t.Error(err)
		}
	})
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

// TestIdleEnd_ConcurrentCall checks that a call is answered or counted as lost if it is sent while its connection
// reaches the idle timeout. If the call arrives before the server decides to close the connection, the call is
// answered. If the call arrives later, the client sees an orderly end, never a reset, and the loss is counted.
func TestIdleEnd_ConcurrentCall(t *testing.T) {
	for _, test := range []struct {
		name     string
		hook     func(c *hookedConn) *func()
		isClosed bool
		answered bool
	}{
		{"before a delayed read", func(c *hookedConn) *func() { return &c.beforeIdleRead }, false, true},
		{"after the read's deadline", func(c *hookedConn) *func() { return &c.afterTimeout }, false, true},
		{"between the last check and the close", func(c *hookedConn) *func() { return &c.beforeEnd }, false, false},
		{"after the close", func(c *hookedConn) *func() { return &c.afterEnd }, true, false},
	} {
		for _, withTLS := range []bool{false, true} {
			for _, bodySize := range []int{0, 60 << 10} {
				t.Run(fmt.Sprintf("%s/TLS %v/%d bytes", test.name, withTLS, bodySize), func(t *testing.T) {
					clients, sent := make(chan rawClient, 1), make(chan struct{})
					config := Config{IdleTimeout: 50 * time.Millisecond}
					server := startHookedServer(t, withTLS, &stubEngine{}, config, func(c *hookedConn) {
						*test.hook(c) = func() {
							sendCall(t, <-clients, bodySize)
							close(sent)
							if !test.isClosed {
								c.awaitUnread(t)
								c.awaitDeadline(t)
							}
						}
					})
					client := server.dial(t)
					clients <- client
					testkit.Receive(t, "the call", sent)
					server.checkIdleEnd(t, client, test.answered)
				})
			}
		}
	}
}

// checkIdleEnd checks a client's second call. If answered is set, the call must be answered. If not, the connection
// must end without a reset, and the call must be counted as lost.
func (s *hookedServer) checkIdleEnd(t *testing.T, client rawClient, answered bool) {
	t.Helper()
	want, wantCount := "EOF", uint64(1)
	if answered {
		want, wantCount = "2 r2", 0
	}
	if got := client.next(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	_ = client.Close()
	testkit.Await(t, "the end of the connection", func() bool { return s.Stats().Conns == 0 })
	if stats := s.Stats(); stats.IdleEnds != wantCount || stats.Incomplete+stats.Timeouts > 0 {
		t.Errorf("%+v, want %d calls lost after the idle timeout", stats, wantCount)
	}
}

// TestIdleEnd_MessageTimeoutOfLastCall checks the timeout of a call whose first byte arrives just as the idle timeout
// expires. The connection must end if the call is not complete within MessageTimeout of that byte. The test sends the
// rest of the call byte by byte.
func TestIdleEnd_MessageTimeoutOfLastCall(t *testing.T) {
	clients, sent := make(chan rawClient, 1), make(chan struct{})
	config := Config{IdleTimeout: 50 * time.Millisecond, MessageTimeout: 300 * time.Millisecond}
	var began time.Time
	server := startHookedServer(t, false, &stubEngine{}, config, func(c *hookedConn) {
		c.afterTimeout = func() {
			began = time.Now()
			_, _ = (<-clients).Write([]byte{0x94})
			c.awaitUnread(t)
			close(sent)
		}
	})
	client := server.dial(t)
	clients <- client
	testkit.Receive(t, "the first byte", sent)
	if _, err := client.Write([]byte{0x00, 0x01, 0xdb, 0x00, 0x00, 0xff, 0xff}); err != nil { // a string of 65,535 bytes
		t.Error(err)
	}
	clientDone := make(chan struct{})
	go func() {
		defer close(clientDone)
		for {
			if _, err := client.Write([]byte{'a'}); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	if got := client.next(); strings.HasPrefix(got, "2 ") || time.Since(began) < config.MessageTimeout {
		t.Errorf("got %q after %v, want the end of the connection after %v", got, time.Since(began), config.MessageTimeout)
	}
	testkit.Receive(t, "the end of the client", clientDone)
	testkit.Await(t, "the end of the connection", func() bool { return server.Stats().Conns == 0 })
	if stats := server.Stats(); stats.Timeouts != 1 || stats.IdleEnds > 0 {
		t.Errorf("%+v, want a timeout", stats)
	}
}

// TestIdleEnd_ReadsCallOnUnixSocket checks that a call on a Unix socket is read if it arrives before the idle timeout
// and the read starts after the timeout.
func TestIdleEnd_ReadsCallOnUnixSocket(t *testing.T) {
	address := filepath.Join(t.TempDir(), "socket")
	ln, err := net.Listen("unix", address)
	if err != nil {
		t.Fatal(err)
	}
	server := New(&stubEngine{}, Config{IdleTimeout: 20 * time.Millisecond})
	conn, err := net.Dial("unix", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	client := rawClient{conn, msgpackrpc.NewReader(conn)}
	c := newConn(server, accepted, time.Now())
	c.setReadDeadline(false)
	time.Sleep(2 * server.config.IdleTimeout)
	sendCall(t, client, 0)
	buf := make([]byte, 100)
	if n, err := c.Read(buf); n == 0 || err != nil {
		t.Errorf("read %d bytes, %v, want the call", n, err)
	}
	c.closeSocket()
}

// TestIdleEnd_LimitsDescriptors checks that there are never more than MaxConns+overflowConns open connections.
// Clients do not close connections that reached the idle timeout. These connections hold no slots.
func TestIdleEnd_LimitsDescriptors(t *testing.T) {
	const maxConns = 1
	config := Config{MaxConns: maxConns, IdleTimeout: 20 * time.Millisecond}
	server := startHookedServer(t, false, &stubEngine{}, config, func(*hookedConn) {})
	var clients []rawClient
	for range 3 * (maxConns + overflowConns) {
		clients = append(clients, server.dial(t))
		if got := server.Stats().Conns; got > maxConns+overflowConns {
			t.Fatalf("%d connections, over the limit", got)
		}
		testkit.Await(t, "the idle timeout", func() bool {
			server.mu.Lock()
			defer server.mu.Unlock()
			return len(server.conns) == 0
		})
	}
	clients[0].expect(t, "EOF")
	for _, client := range clients {
		_ = client.Close()
	}
	testkit.Await(t, "the end of the connection", func() bool { return server.Stats().Conns == 0 })
	if stats := server.Stats(); stats.IdleEnds+stats.Evicted > 0 {
		t.Errorf("%+v, want no evictions and no lost calls", stats)
	}
}

// TestIdleEnd_CountsUnreadCallAtClose checks that an unread call is counted as lost when the server closes its
// lingering connection. The server closes a lingering connection to make room for another connection.
func TestIdleEnd_CountsUnreadCallAtClose(t *testing.T) {
	clients, closed := make(chan rawClient, 1), make(chan struct{})
	var server *hookedServer
	prepare := func(c *hookedConn) {
		c.afterEnd = func() {
			sendCall(t, <-clients, 0)
			c.awaitUnread(t)
		}
		c.beforeLingerRead = func() {
			server.mu.Lock()
			defer server.mu.Unlock()
			server.lingering[0].closeLingering()
			close(closed)
		}
	}
	server = startHookedServer(t, false, &stubEngine{}, Config{IdleTimeout: 50 * time.Millisecond}, prepare)
	client := server.dial(t)
	clients <- client
	testkit.Receive(t, "the close", closed)
	testkit.Await(t, "the end of the connection", func() bool { return server.Stats().Conns == 0 })
	if stats := server.Stats(); stats.IdleEnds != 1 {
		t.Errorf("%+v, want one call lost after the idle timeout", stats)
	}
}

// TestDrainLinger_DiscardsCalls checks that a call is not run and is counted as lost if it arrives after a drain has
// closed the write side.
func TestDrainLinger_DiscardsCalls(t *testing.T) {
	for _, bodySize := range []int{0, 60 << 10} {
		clients, sent := make(chan rawClient, 1), make(chan struct{})
		server := startHookedServer(t, false, &stubEngine{}, Config{}, func(c *hookedConn) {
			c.afterEnd = func() {
				sendCall(t, <-clients, bodySize)
				close(sent)
			}
		})
		client := server.dial(t)
		clients <- client
		server.StopAccepting()
		testkit.Receive(t, "the call", sent)
		client.expect(t, "drain", "EOF")
		_ = client.Close()
		testkit.Await(t, "the end of the connection", func() bool { return server.Stats().Conns == 0 })
		if stats := server.Stats(); stats.DrainEnds != 1 || stats.Calls != 1 {
			t.Errorf("%+v, want one received call, and one lost to the drain", stats)
		}
	}
}
