package msgpack

import (
	"fmt"
	"sync/atomic"
	"testing"

	"cobaltward/internal/testkit"
)

// awaitIdle waits until all connections are idle, of which there are as many as given.
func (s *seamServer) awaitIdle(t *testing.T, conns int) {
	t.Helper()
	testkit.Await(t, "the idle connections", func() bool {
		open, busy := s.Connections()
		return open == conns && busy == 0
	})
}

// prepareFirst returns a function that prepares the first connection, and no other.
func prepareFirst(prepare func(c *seamConn)) func(c *seamConn) {
	var accepted atomic.Int32
	return func(c *seamConn) {
		if accepted.Add(1) == 1 {
			prepare(c)
		}
	}
}

// TestEvict_ConnectionWithoutCall has a call arrive on the connection that has been idle for longest, whose reader is
// late: another one is evicted.
func TestEvict_ConnectionWithoutCall(t *testing.T) {
	for _, withTLS := range []bool{false, true} {
		for _, bodySize := range []int{0, 60 << 10} {
			t.Run(fmt.Sprintf("TLS %v/%d bytes", withTLS, bodySize), func(t *testing.T) {
				clients, sent, release := make(chan rawClient, 1), make(chan struct{}), make(chan struct{})
				prepare := prepareFirst(func(c *seamConn) {
					c.beforeIdleRead = func() {
						sendCall(t, <-clients, bodySize)
						c.awaitUnread(t)
						close(sent)
						<-release
					}
				})
				server := startSeamServer(t, withTLS, &stubEngine{}, Config{MaxConns: 2}, prepare)
				calling := server.dial(t)
				server.awaitIdle(t, 1)
				idle := server.dial(t)
				server.awaitIdle(t, 2)
				clients <- calling
				testkit.Receive(t, "the call", sent)
				server.dial(t)
				idle.expect(t, "EOF")
				close(release)
				calling.expect(t, "2 r2")
				if stats := server.Stats(); stats.Evicted != 1 || stats.EvictionEnds != 0 {
					t.Errorf("%+v, want one eviction that no call met", stats)
				}
			})
		}
	}
}

// TestEvict_CallsThatCrossIt has a call meet the eviction of its connection. One that has arrived before is rejected as
// overloaded; one that arrives later meets an orderly end, never a reset, and is counted. The slot is free meanwhile.
func TestEvict_CallsThatCrossIt(t *testing.T) {
	for _, test := range []evictionCase{
		{name: "ahead of a late reader", seam: func(c *seamConn) *func() { return &c.beforeIdleRead }, held: true},
		{name: "read and not handled", seam: func(c *seamConn) *func() { return &c.afterIdleRead }, held: true, sent: true},
		{name: "between the last look and the close", seam: func(c *seamConn) *func() { return &c.beforeEnd }},
		{name: "after the close", seam: func(c *seamConn) *func() { return &c.afterEnd }, closed: true},
	} {
		for _, withTLS := range []bool{false, true} {
			for _, bodySize := range []int{0, 60 << 10} {
				t.Run(fmt.Sprintf("%s/TLS %v/%d bytes", test.name, withTLS, bodySize), func(t *testing.T) {
					test.run(t, withTLS, bodySize)
				})
			}
		}
	}
}

// evictionCase is a moment at which a call meets the eviction of its connection.
type evictionCase struct {
	name   string
	seam   func(c *seamConn) *func()
	held   bool // the reader is held in the seam until the connection has been evicted; the call is answered then
	sent   bool // the call is sent ahead of the seam
	closed bool // the seam is after the close
}

func (e evictionCase) run(t *testing.T, withTLS bool, bodySize int) {
	clients, arrived, release := make(chan rawClient, 1), make(chan struct{}), make(chan struct{})
	server := startSeamServer(t, withTLS, &stubEngine{}, Config{MaxConns: 1}, prepareFirst(func(c *seamConn) {
		*e.seam(c) = func() {
			client := <-clients
			if !e.sent {
				sendCall(t, client, bodySize)
			}
			if !e.sent && !e.closed {
				c.awaitUnread(t)
			}
			close(arrived)
			if e.held {
				<-release
			}
		}
	}))
	evicted := server.dial(t)
	server.awaitIdle(t, 1)
	if e.sent {
		sendCall(t, evicted, bodySize)
	}
	clients <- evicted
	if e.held {
		testkit.Receive(t, "the call", arrived)
	}
	server.dial(t) // is answered while the evicted connection is held
	close(release)
	testkit.Receive(t, "the call", arrived)
	server.checkEviction(t, evicted, e.held)
}

// checkEviction checks that a client's second call is answered as overloaded, or counted, and that the connection then
// ends without a reset.
func (s *seamServer) checkEviction(t *testing.T, client rawClient, answered bool) {
	t.Helper()
	wantCount := uint64(1)
	if answered {
		wantCount = 0
		client.expect(t, "2 overloaded")
	}
	if got := client.next(); got != "EOF" {
		t.Errorf("got %q, want the end", got)
	}
	_ = client.Close()
	testkit.Await(t, "the end", func() bool { return s.Stats().Conns == 1 })
	if stats := s.Stats(); stats.Evicted != 1 || stats.EvictionEnds != wantCount || stats.Incomplete > 0 {
		t.Errorf("%+v, want an eviction and %d calls that met it", stats, wantCount)
	}
}

// TestEvict_ClosedBeforeAnswer closes an evicted connection, in favour of another one, before the answer to a call that
// crossed the eviction is written: the loss is counted.
func TestEvict_ClosedBeforeAnswer(t *testing.T) {
	clients, arrived, release := make(chan rawClient, 1), make(chan struct{}), make(chan struct{})
	var server *seamServer
	prepare := prepareFirst(func(c *seamConn) {
		c.beforeIdleRead = func() {
			sendCall(t, <-clients, 0)
			c.awaitUnread(t)
			close(arrived)
			<-release
		}
		c.beforeSecondWrite = func() {
			server.mu.Lock()
			defer server.mu.Unlock()
			server.lingering[0].closeLingering()
		}
	})
	server = startSeamServer(t, false, &stubEngine{}, Config{MaxConns: 1}, prepare)
	evicted := server.dial(t)
	server.awaitIdle(t, 1)
	clients <- evicted
	testkit.Receive(t, "the call", arrived)
	server.dial(t)
	close(release)
	testkit.Await(t, "the end", func() bool { return server.Stats().Conns == 1 })
	if stats := server.Stats(); stats.EvictionEnds != 1 {
		t.Errorf("%+v, want a call that met the eviction", stats)
	}
}

// TestEvict_Descriptors evicts connections whose clients do not close them: they never hold more descriptors than busy
// connections do.
func TestEvict_Descriptors(t *testing.T) {
	const maxConns, clientCount = 1, 3 * (1 + overflowConns)
	server := startSeamServer(t, false, &stubEngine{}, Config{MaxConns: maxConns}, func(*seamConn) {})
	var clients []rawClient
	for range clientCount {
		clients = append(clients, server.dial(t))
		if got := server.Stats().Conns; got > maxConns+overflowConns {
			t.Fatalf("%d connections", got)
		}
	}
	if stats := server.Stats(); stats.Evicted != clientCount-1 || stats.EvictionEnds > 0 {
		t.Errorf("%+v, want %d evictions that no call met", stats, clientCount-1)
	}
	for _, client := range clients[:clientCount-1] {
		client.expect(t, "EOF")
	}
}

// TestEvict_StalledMessage evicts an overflow connection whose client has paused within its first message: its end is
// orderly, and counted by its cause.
func TestEvict_StalledMessage(t *testing.T) {
	held := make(chan struct{})
	server := startSeamServer(t, false, &stubEngine{do: engineHeldUntil(held)}, Config{MaxConns: 1}, func(*seamConn) {})
	busy := dial(t, server.addr)
	busy.call(t, 1)
	testkit.Await(t, "the call", func() bool { return server.Stats().Open == 1 })
	stalled := dial(t, server.addr)
	if _, err := stalled.Write([]byte{0x94}); err != nil {
		t.Fatal(err)
	}
	testkit.Await(t, "the pause within the message", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		for conn := range server.conns {
			conn.mu.Lock()
			withinMessage := !conn.messageStartedAt.IsZero()
			conn.mu.Unlock()
			if withinMessage && server.longestIdle(false) == conn { // in this order: evictable for its pause
				return true
			}
		}
		return false
	})
	last := dial(t, server.addr)
	last.call(t, 2)
	last.expect(t, "2 overloaded")
	if got := stalled.next(); got != "EOF" {
		t.Errorf("got %q, want the end", got)
	}
	_ = stalled.Close()
	testkit.Await(t, "the end", func() bool { return server.Stats().Conns == 2 })
	if stats := server.Stats(); stats.EvictionEnds != 1 || stats.Evicted != 1 || stats.Incomplete+stats.Timeouts > 0 {
		t.Errorf("%+v, want one eviction, within a message", stats)
	}
	close(held)
}
