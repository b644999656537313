package msgpack

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
)

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
