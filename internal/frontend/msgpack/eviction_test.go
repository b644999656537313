package msgpack

import (
	"fmt"
	"sync/atomic"
	"testing"

	"cobaltward/internal/testkit"
)

// awaitIdle waits until the server has exactly conns connections and all of them are idle.
func (s *hookedServer) awaitIdle(t *testing.T, conns int) {
	t.Helper()
	testkit.Await(t, "the idle connections", func() bool {
		open, busy := s.Connections()
		return open == conns && busy == 0
	})
}

// prepareFirst returns a function that calls prepare for the first connection and does nothing for later connections.
func prepareFirst(prepare func(c *hookedConn)) func(c *hookedConn) {
	var accepted atomic.Int32
	return func(c *hookedConn) {
		if accepted.Add(1) == 1 {
			prepare(c)
		}
	}
}

// TestEvict_PrefersConnectionWithoutCall checks that a connection with an unread call is not evicted if another
// connection is idle. The test sends a call on the connection that has been idle for longest, and delays the read of
// this call.
func TestEvict_PrefersConnectionWithoutCall(t *testing.T) {
	for _, withTLS := range []bool{false, true} {
		for _, bodySize := range []int{0, 60 << 10} {
			t.Run(fmt.Sprintf("TLS %v/%d bytes", withTLS, bodySize), func(t *testing.T) {
				clients, sent, release := make(chan rawClient, 1), make(chan struct{}), make(chan struct{})
				prepare := prepareFirst(func(c *hookedConn) {
					c.beforeIdleRead = func() {
						sendCall(t, <-clients, bodySize)
						c.awaitUnread(t)
						close(sent)
						<-release
					}
				})
				server := startHookedServer(t, withTLS, &stubEngine{}, Config{MaxConns: 2}, prepare)
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
					t.Errorf("%+v, want one eviction that lost no call", stats)
				}
			})
		}
	}
}

// TestEvict_ConcurrentCall checks that a call is rejected or counted as lost if it is sent while its connection is
// evicted. If the call arrives before the connection is closed, the call is rejected as overloaded. If the call
// arrives later, the client sees an orderly end, never a reset, and the loss is counted. In both cases the slot is
// free at once.
func TestEvict_ConcurrentCall(t *testing.T) {
	for _, test := range []evictionCase{
		{name: "before a delayed read", hook: func(c *hookedConn) *func() { return &c.beforeIdleRead }, readerHeld: true},
		{
			name: "read, not handled", hook: func(c *hookedConn) *func() { return &c.afterIdleRead },
			readerHeld: true, callSent: true,
		},
		{name: "between the last check and the close", hook: func(c *hookedConn) *func() { return &c.beforeEnd }},
		{name: "after the close", hook: func(c *hookedConn) *func() { return &c.afterEnd }, afterClose: true},
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

// evictionCase is a moment in the eviction of a connection at which a call is sent.
type evictionCase struct {
	name       string
	hook       func(c *hookedConn) *func()
	readerHeld bool // whether the hook blocks the reader until the eviction has begun; the call is then answered
	callSent   bool // whether the call is sent before the hook runs
	afterClose bool // whether the hook runs after the close
}

func (e evictionCase) run(t *testing.T, withTLS bool, bodySize int) {
	clients, arrived, release := make(chan rawClient, 1), make(chan struct{}), make(chan struct{})
	server := startHookedServer(t, withTLS, &stubEngine{}, Config{MaxConns: 1}, prepareFirst(func(c *hookedConn) {
		*e.hook(c) = func() {
			client := <-clients
			if !e.callSent {
				sendCall(t, client, bodySize)
			}
			if !e.callSent && !e.afterClose {
				c.awaitUnread(t)
			}
			close(arrived)
			if e.readerHeld {
				<-release
			}
		}
	}))
	evicted := server.dial(t)
	server.awaitIdle(t, 1)
	if e.callSent {
		sendCall(t, evicted, bodySize)
	}
	clients <- evicted
	if e.readerHeld {
		testkit.Receive(t, "the call", arrived)
	}
	server.dial(t) // answered while the reader of the evicted connection is blocked
	close(release)
	testkit.Receive(t, "the call", arrived)
	server.checkEviction(t, evicted, e.readerHeld)
}

// checkEviction checks a client's second call. If answered is set, the call must be rejected as overloaded. If not,
// the call must be counted as lost. checkEviction also checks that the connection then ends without a reset.
func (s *hookedServer) checkEviction(t *testing.T, client rawClient, answered bool) {
	t.Helper()
	wantCount := uint64(1)
	if answered {
		wantCount = 0
		client.expect(t, "2 overloaded")
	}
	if got := client.next(); got != "EOF" {
		t.Errorf("got %q, want the end of the connection", got)
	}
	_ = client.Close()
	testkit.Await(t, "the end of the connection", func() bool { return s.Stats().Conns == 1 })
	if stats := s.Stats(); stats.Evicted != 1 || stats.EvictionEnds != wantCount || stats.Incomplete > 0 {
		t.Errorf("%+v, want one eviction that lost %d calls", stats, wantCount)
	}
}

// TestEvict_ClosedBeforeAnswer checks that a call is counted as lost if its evicted connection closes before the
// answer is written. The call arrives during the eviction. The server closes the connection to make room for another
// connection.
func TestEvict_ClosedBeforeAnswer(t *testing.T) {
	clients, arrived, release := make(chan rawClient, 1), make(chan struct{}), make(chan struct{})
	var server *hookedServer
	prepare := prepareFirst(func(c *hookedConn) {
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
	server = startHookedServer(t, false, &stubEngine{}, Config{MaxConns: 1}, prepare)
	evicted := server.dial(t)
	server.awaitIdle(t, 1)
	clients <- evicted
	testkit.Receive(t, "the call", arrived)
	server.dial(t)
	close(release)
	testkit.Await(t, "the end of the connection", func() bool { return server.Stats().Conns == 1 })
	if stats := server.Stats(); stats.EvictionEnds != 1 {
		t.Errorf("%+v, want one call lost to the eviction", stats)
	}
}

// TestEvict_LimitsDescriptors checks that there are never more than MaxConns+overflowConns open connections, even if
// clients do not close evicted connections.
func TestEvict_LimitsDescriptors(t *testing.T) {
	const maxConns, clientCount = 1, 3 * (1 + overflowConns)
	server := startHookedServer(t, false, &stubEngine{}, Config{MaxConns: maxConns}, func(*hookedConn) {})
	var clients []rawClient
	for range clientCount {
		clients = append(clients, server.dial(t))
		if got := server.Stats().Conns; got > maxConns+overflowConns {
			t.Fatalf("%d connections, over the limit", got)
		}
	}
	if stats := server.Stats(); stats.Evicted != clientCount-1 || stats.EvictionEnds > 0 {
		t.Errorf("%+v, want %d evictions that lost no call", stats, clientCount-1)
	}
	for _, client := range clients[:clientCount-1] {
		client.expect(t, "EOF")
	}
}

// TestEvict_OverflowConnectionWithStalledMessage checks that a client that has stalled in the middle of its first
// message sees an orderly end when its overflow connection is evicted. EvictionEnds counts the connection.
func TestEvict_OverflowConnectionWithStalledMessage(t *testing.T) {
	held := make(chan struct{})
	server := startHookedServer(t, false, &stubEngine{do: answerAfter(held)}, Config{MaxConns: 1}, func(*hookedConn) {})
	busy := dial(t, server.addr)
	busy.call(t, 1)
	testkit.Await(t, "the call", func() bool { return server.Stats().Open == 1 })
	stalled := dial(t, server.addr)
	if _, err := stalled.Write([]byte{0x94}); err != nil {
		t.Fatal(err)
	}
	testkit.Await(t, "the stalled message", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		for conn := range server.conns {
			conn.mu.Lock()
			withinMessage := !conn.incoming.begunAt.IsZero()
			conn.mu.Unlock()
			if withinMessage && server.longestIdle(false) == conn { // conn is evictable because its message has stalled
				return true
			}
		}
		return false
	})
	last := dial(t, server.addr)
	last.call(t, 2)
	last.expect(t, "2 overloaded")
	if got := stalled.next(); got != "EOF" {
		t.Errorf("got %q, want the end of the connection", got)
	}
	_ = stalled.Close()
	testkit.Await(t, "the end of the connection", func() bool { return server.Stats().Conns == 2 })
	if stats := server.Stats(); stats.EvictionEnds != 1 || stats.Evicted != 1 || stats.Incomplete+stats.Timeouts > 0 {
		t.Errorf("%+v, want one eviction, in the middle of a message", stats)
	}
	close(held)
}
