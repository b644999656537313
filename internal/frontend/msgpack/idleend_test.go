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

// seamConn is a server's side of a connection with seams: the functions are called at most once, on the goroutine that
// reads or ends the connection.
type seamConn struct {
	net.Conn // a *net.TCPConn or *secure.Conn
	tcp      *net.TCPConn
	reader   deadlineReader
	reads    atomic.Int32
	writes   atomic.Int32
	deadline atomic.Pointer[time.Time]
	ending   sync.Once

	beforeIdleRead func() // ahead of the read that follows the first call
	afterIdleRead  func() // that read has returned, and what it has read is not handled
	afterTimeout   func() // the read has failed at its deadline
	beforeEnd      func() // ahead of the close, of the write side or of all
	afterEnd       func()

	beforeSecondWrite func() // ahead of the write of the second answer
	beforeLingerRead  func() // ahead of the first read after the end of the write side
	ended             atomic.Bool
}

func (c *seamConn) TCP() *net.TCPConn { return c.tcp }

// SetReadDeadline implements net.Conn. The idle time begins with the first call, which may be slow to come on a busy
// machine.
func (c *seamConn) SetReadDeadline(t time.Time) error {
	if c.reads.Load() == 0 {
		return nil
	}
	c.deadline.Store(&t)
	return c.reader.SetReadDeadline(t)
}

// awaitDeadline waits until the read deadline has passed.
func (c *seamConn) awaitDeadline(t testing.TB) {
	testkit.Await(t, "the deadline", func() bool {
		deadline := c.deadline.Load()
		return deadline != nil && !deadline.IsZero() && time.Now().After(*deadline)
	})
}

func (c *seamConn) Read(p []byte) (int, error) {
	isIdleRead := c.reads.Add(1) == 2
	if isIdleRead {
		callSeam(&c.beforeIdleRead)
	}
	if c.ended.Load() {
		callSeam(&c.beforeLingerRead)
	}
	n, err := c.reader.Read(p)
	if isIdleRead {
		callSeam(&c.afterIdleRead)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		callSeam(&c.afterTimeout)
	}
	return n, err
}

func (c *seamConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) == 2 {
		callSeam(&c.beforeSecondWrite)
	}
	return c.Conn.Write(p)
}

func (c *seamConn) CloseWrite() error {
	return c.end(c.Conn.(interface{ CloseWrite() error }).CloseWrite)
}

func (c *seamConn) Close() error { return c.end(c.Conn.Close) }

func (c *seamConn) end(end func() error) (err error) {
	c.ending.Do(func() {
		callSeam(&c.beforeEnd)
		err = end()
		c.ended.Store(true)
		callSeam(&c.afterEnd)
		end = func() error { return err }
	})
	return end()
}

func callSeam(seam *func()) {
	if call := *seam; call != nil {
		*seam = nil
		call()
	}
}

// seamListener returns connections with seams.
type seamListener struct {
	net.Listener
	terminator *secure.Terminator // nil: without TLS
	prepare    func(c *seamConn)  // called for each connection
}

func (l *seamListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp := accepted.(*net.TCPConn)
	conn := &seamConn{Conn: tcp, tcp: tcp, reader: sockets.NewDeadlineReader(tcp)}
	if l.terminator != nil {
		wrapped := l.terminator.Wrap(tcp, nil)
		conn.Conn, conn.reader = wrapped, wrapped
	}
	l.prepare(conn)
	return conn, nil
}

// seamServer is a server whose connections have seams, with or without TLS.
type seamServer struct {
	*Server
	addr  string
	roots *x509.CertPool // nil: without TLS
}

func startSeamServer(t *testing.T, withTLS bool, stub *stubEngine, config Config, prepare func(*seamConn)) *seamServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &seamServer{Server: New(writeEngine{stub}, config), addr: ln.Addr().String()}
	listener := &seamListener{Listener: ln, prepare: prepare}
	if withTLS {
		listener.terminator, server.roots = newTerminator(t)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		if err := testkit.Receive(t, "the end", served); !errors.Is(err, ErrClosed) {
			t.Error(err)
		}
	})
	return server
}

// writeEngine also has a class whose calls may have bodies.
type writeEngine struct{ *stubEngine }

func (e writeEngine) Class(name string) (policy.Class, bool) {
	if name == "write" {
		return policy.Class{Name: name, Idempotency: policy.NonIdempotent}, true
	}
	return e.stubEngine.Class(name)
}

// newTerminator returns a terminator of TLS, and what its clients trust.
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

// dial connects a client, and has its first call answered.
func (s *seamServer) dial(t *testing.T) rawClient {
	t.Helper()
	client := dial(t, s.addr)
	if s.roots != nil {
		conn := tls.Client(client.Conn, &tls.Config{RootCAs: s.roots, ServerName: "node.example"})
		client = rawClient{conn, msgpackrpc.NewReader(conn)}
	}
	client.call(t, 1)
	client.expect(t, "1 r1")
	return client
}

// sendCall sends a call from the goroutine of a seam.
func sendCall(t testing.TB, client rawClient, bodySize int) {
	frame := msgpackrpc.AppendCall(nil, 2, &msgpackrpc.Call{
		ID: "r2", Class: "write", Timeout: time.Minute, Body: make([]byte, bodySize),
	})
	if _, err := client.Write(frame); err != nil {
		t.Error(err)
	}
}

// awaitUnread waits until a part of a call has arrived.
func (c *seamConn) awaitUnread(t testing.TB) {
	testkit.Await(t, "the call", func() bool { return sockets.Unread(c.tcp) > 0 })
}

// TestIdleEnd_CallsThatCrossIt has a call meet the end of its connection's idle time. One that has arrived before the
// end is decided is answered; one that arrives later meets an orderly end, never a reset, and is counted.
func TestIdleEnd_CallsThatCrossIt(t *testing.T) {
	for _, test := range []struct {
		name     string
		seam     func(c *seamConn) *func()
		isClosed bool
		answered bool
	}{
		{"ahead of a late reader", func(c *seamConn) *func() { return &c.beforeIdleRead }, false, true},
		{"after the read's deadline", func(c *seamConn) *func() { return &c.afterTimeout }, false, true},
		{"between the last look and the close", func(c *seamConn) *func() { return &c.beforeEnd }, false, false},
		{"after the close", func(c *seamConn) *func() { return &c.afterEnd }, true, false},
	} {
		for _, withTLS := range []bool{false, true} {
			for _, bodySize := range []int{0, 60 << 10} {
				t.Run(fmt.Sprintf("%s/TLS %v/%d bytes", test.name, withTLS, bodySize), func(t *testing.T) {
					clients, sent := make(chan rawClient, 1), make(chan struct{})
					config := Config{IdleTimeout: 50 * time.Millisecond}
					server := startSeamServer(t, withTLS, &stubEngine{}, config, func(c *seamConn) {
						*test.seam(c) = func() {
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

// checkIdleEnd checks that a client's second call is answered, or else that the connection ends without a reset and the
// call is counted.
func (s *seamServer) checkIdleEnd(t *testing.T, client rawClient, answered bool) {
	t.Helper()
	want, wantCount := "EOF", uint64(1)
	if answered {
		want, wantCount = "2 r2", 0
	}
	if got := client.next(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	_ = client.Close()
	testkit.Await(t, "the end", func() bool { return s.Stats().Conns == 0 })
	if stats := s.Stats(); stats.IdleEnds != wantCount || stats.Incomplete+stats.Timeouts > 0 {
		t.Errorf("%+v, want %d calls that met the end", stats, wantCount)
	}
}

// TestIdleEnd_MessageTimeout has the first bytes of a call arrive at the end of the idle time, and the client then send
// byte by byte: the call has MessageTimeout from its first byte, and no more.
func TestIdleEnd_MessageTimeout(t *testing.T) {
	clients, sent := make(chan rawClient, 1), make(chan struct{})
	config := Config{IdleTimeout: 50 * time.Millisecond, MessageTimeout: 300 * time.Millisecond}
	var began time.Time
	server := startSeamServer(t, false, &stubEngine{}, config, func(c *seamConn) {
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
	if _, err := client.Write([]byte{0x00, 0x01, 0xdb, 0x00, 0x00, 0xff, 0xff}); err != nil { // a text of 65,535 bytes
		t.Error(err)
	}
	dribbled := make(chan struct{})
	go func() {
		defer close(dribbled)
		for {
			if _, err := client.Write([]byte{'a'}); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	if got := client.next(); strings.HasPrefix(got, "2 ") || time.Since(began) < config.MessageTimeout {
		t.Errorf("got %q after %v, want the end after %v", got, time.Since(began), config.MessageTimeout)
	}
	testkit.Receive(t, "the end of the client", dribbled)
	testkit.Await(t, "the end", func() bool { return server.Stats().Conns == 0 })
	if stats := server.Stats(); stats.Timeouts != 1 || stats.IdleEnds > 0 {
		t.Errorf("%+v, want a timeout", stats)
	}
}

// TestIdleEnd_UnixSocket has a call arrive on a Unix socket before its reader, which is late, looks.
func TestIdleEnd_UnixSocket(t *testing.T) {
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

// TestIdleEnd_Descriptors ends connections whose clients do not close them. They hold no slots, and never more
// descriptors than busy connections do.
func TestIdleEnd_Descriptors(t *testing.T) {
	const maxConns = 1
	config := Config{MaxConns: maxConns, IdleTimeout: 20 * time.Millisecond}
	server := startSeamServer(t, false, &stubEngine{}, config, func(*seamConn) {})
	var clients []rawClient
	for range 3 * (maxConns + overflowConns) {
		clients = append(clients, server.dial(t))
		if got := server.Stats().Conns; got > maxConns+overflowConns {
			t.Fatalf("%d connections", got)
		}
		testkit.Await(t, "the end of the idle time", func() bool {
			server.mu.Lock()
			defer server.mu.Unlock()
			return len(server.conns) == 0
		})
	}
	clients[0].expect(t, "EOF")
	for _, client := range clients {
		_ = client.Close()
	}
	testkit.Await(t, "the end", func() bool { return server.Stats().Conns == 0 })
	if stats := server.Stats(); stats.IdleEnds+stats.Evicted > 0 {
		t.Errorf("%+v, want no calls that met an end", stats)
	}
}

// TestIdleEnd_ClosedOverUnreadCall closes a connection that lingers, in favour of another one, while a call that has
// arrived is unread: the loss is counted.
func TestIdleEnd_ClosedOverUnreadCall(t *testing.T) {
	clients, closed := make(chan rawClient, 1), make(chan struct{})
	var server *seamServer
	prepare := func(c *seamConn) {
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
	server = startSeamServer(t, false, &stubEngine{}, Config{IdleTimeout: 50 * time.Millisecond}, prepare)
	client := server.dial(t)
	clients <- client
	testkit.Receive(t, "the close", closed)
	testkit.Await(t, "the end", func() bool { return server.Stats().Conns == 0 })
	if stats := server.Stats(); stats.IdleEnds != 1 {
		t.Errorf("%+v, want a call that met the end", stats)
	}
}

// TestDrainLinger_DiscardsCalls has a call come after a drain has closed the write side: it is not run, and counted.
func TestDrainLinger_DiscardsCalls(t *testing.T) {
	for _, bodySize := range []int{0, 60 << 10} {
		clients, sent := make(chan rawClient, 1), make(chan struct{})
		server := startSeamServer(t, false, &stubEngine{}, Config{}, func(c *seamConn) {
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
		testkit.Await(t, "the end", func() bool { return server.Stats().Conns == 0 })
		if stats := server.Stats(); stats.DrainEnds != 1 || stats.Calls != 1 {
			t.Errorf("%+v, want one call, and one that met the end", stats)
		}
	}
}
