package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
)

func TestConnectionsAreReusedUntilIdle(t *testing.T) {
	var conns atomic.Int32
	addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for testkit.ReadFullRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		}
	})
	transport := testTransport(t, addr)
	for i := range 3 {
		attempt(t, transport, testRequest(http.MethodGet, fmt.Sprint("r", i), ""))
		time.Sleep(2 * reuseDelay)
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for three requests in turn", n)
	}
	transport.closeExpired(time.Now().Add(transport.idleTimeout - time.Second))
	if _, idle := transport.counts(); idle != 1 {
		t.Errorf("%d idle connections before their time is up, want 1", idle)
	}
	transport.closeExpired(time.Now().Add(transport.idleTimeout + time.Second))
	if open, idle := transport.counts(); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle after the sweep", open, idle)
	}
	if transport.idleTimeout > 30*time.Second {
		t.Errorf("idle connections are kept for %v, too near the settings' 60 s", transport.idleTimeout)
	}
}

// TestClosedIdleConnectionIsReplaced checks that a connection which the server closed while idle is not written to.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		if testkit.ReadFullRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	transport := testTransport(t, addr)
	attempt(t, transport, testRequest(http.MethodGet, "r1", ""))
	testkit.Await(t, "the close to be noticed", func() bool {
		transport.mu.Lock()
		defer transport.mu.Unlock()
		idle := transport.servers.Get("s0").State.idle
		return len(idle) == 0 || !sockets.IsIdle(transport.servers.Get("s0").State.idle[0].tcp)
	})
	if r := attempt(t, transport, testRequest(http.MethodGet, "r2", "")); r.Code != policy.OK {
		t.Errorf("code %v", r.Code)
	}
}

func TestMaxConnsLimitsConnections(t *testing.T) {
	hold := make(chan struct{})
	slow := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) { <-hold })
	fast := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	transport := testTransport(t, fast, slow)
	transport.maxConns = 1
	if r := attempt(t, transport, testRequest(http.MethodGet, "r1", "")); r.Code != policy.OK {
		t.Fatalf("code %v", r.Code)
	}
	// The idle connection to the first server is closed in favour of one to the second.
	done := make(chan router.Result, 1)
	go func() { done <- transport.Attempt(t.Context(), "s1", testRequest(http.MethodGet, "r2", "")) }()
	testkit.Await(t, "the eviction", func() bool { open, idle := transport.counts(); return open == 1 && idle == 0 })
	if r := attempt(t, transport, testRequest(http.MethodGet, "r3", "")); r.Code != policy.Superseded {
		t.Errorf("code %v beyond the limit, want none that blames the server", r.Code)
	}
	close(hold)
	if r := testkit.Receive(t, "the slow answer", done); r.Code != policy.OK {
		t.Errorf("code %v", r.Code)
	}
}

// TestListChangesDropIdleConnections checks that connections to a former process of a server are closed.
func TestListChangesDropIdleConnections(t *testing.T) {
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	base := members(addr)[0]
	restarted, removed := base, base
	restarted.Started = time.UnixMilli(5)
	removed.Availability = policy.Removed
	for name, test := range map[string]struct {
		n    router.EndpointUpdate
		want int
	}{
		"same":      {router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{base}}, 1},
		"restarted": {router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{restarted}}, 0},
		"removed":   {router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{removed}}, 0},
		"no news":   {router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: nil}, 1},
		"missing":   {router.EndpointUpdate{Kind: policy.ListReplace, Endpoints: nil}, 0},
	} {
		transport := testTransport(t, addr)
		attempt(t, transport, testRequest(http.MethodGet, "r1", ""))
		transport.Update(test.n)
		if open, _ := transport.counts(); open != test.want {
			t.Errorf("%s: %d open, want %d", name, open, test.want)
		}
	}
}

// TestUnsolicitedBytesCloseConnection checks that a connection is not reused if bytes follow a response, at once or
// later.
func TestUnsolicitedBytesCloseConnection(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
	for _, behind := range []string{answer + "x", "noise"} {
		release, conns := make(chan struct{}), atomic.Int32{}
		addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			n := conns.Add(1)
			for testkit.ReadFullRequest(r) {
				_, _ = fmt.Fprint(c, answer, n)
				if n == 1 {
					<-release
					_, _ = io.WriteString(c, behind)
				}
			}
		})
		transport := testTransport(t, addr)
		if r := attempt(t, transport, testRequest(http.MethodGet, "r1", "")); string(r.Answer.Body) != "1" {
			t.Fatalf("first answer %q, code %v", r.Answer.Body, r.Code)
		}
		close(release)
		testkit.Await(t, "what nobody asked for", func() bool {
			transport.mu.Lock()
			defer transport.mu.Unlock()
			return !sockets.IsIdle(transport.servers.Get("s0").State.idle[0].tcp)
		})
		time.Sleep(2 * reuseDelay)
		if r := attempt(t, transport, testRequest(http.MethodGet, "r2", "")); string(r.Answer.Body) != "2" {
			t.Errorf("%q behind: answer %q, code %v", behind, r.Answer.Body, r.Code)
		}
		if open, idle := transport.counts(); open != 1 || idle != 1 {
			t.Errorf("%q behind: %d open, %d idle", behind, open, idle)
		}
	}
}

// TestAddressBelongsToNewestServer checks that a new server may have the address of a removed one before the list says
// that it was removed.
func TestAddressBelongsToNewestServer(t *testing.T) {
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	transport := testTransport(t, addr)
	next := members(addr)[0]
	next.ID, next.Started = "s1", time.UnixMilli(5)
	transport.Update(router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{next}})
	late := members(addr)[0]
	late.Availability = policy.Draining
	transport.Update(
		router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{late}},
	) // of the old one, and late
	if r := attempt(t, transport, testRequest(http.MethodGet, "r1", "")); r.Code != policy.ConnectFailed {
		t.Errorf("to the old server: code %v", r.Code)
	}
	if r := transport.Attempt(t.Context(), "s1", testRequest(http.MethodGet, "r2", "")); r.Code != policy.OK {
		t.Errorf("to the new server: code %v", r.Code)
	}
}

// TestLocalShortageBlamesNoServer checks the outcome where connecting fails for lack of a local resource: the attempt
// never ran, and the server is not at fault.
func TestLocalShortageBlamesNoServer(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			transport := testTransport(t, "127.0.0.1:9")
			transport.dialer.Control = func(string, string, syscall.RawConn) error { return errno }
			if r := attempt(t, transport, testRequest(http.MethodGet, "r1", "")); r.Code != policy.Superseded {
				t.Errorf("code %v, want that of an attempt that was not made", r.Code)
			}
			if open, _ := transport.counts(); open != 0 {
				t.Errorf("%d connections are still counted", open)
			}
		})
	}
}

// TestAbandonedAttemptKeepsIdleTime has attempts end again and again before they write anything: the server counts the
// connection as idle all the while, and so does the pool.
func TestAbandonedAttemptKeepsIdleTime(t *testing.T) {
	const serverIdleTimeout = 600 * time.Millisecond
	var conns atomic.Int32
	addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for testkit.ReadFullRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	transport := testTransport(t, addr)
	settings := testSettings()
	settings.Capabilities.ConnIdleTimeout = serverIdleTimeout
	transport.Configure(settings)
	attempt(t, transport, testRequest(http.MethodGet, "r1", ""))
	for usedAt := time.Now(); time.Since(usedAt) < serverIdleTimeout; {
		time.Sleep(serverIdleTimeout / 10)
		got := transport.Attempt(abandonedContext{t.Context()}, "s0", testRequest(http.MethodPost, "abandoned", ""))
		if got.Code != policy.Superseded {
			t.Fatalf("abandoned: code %v", got.Code)
		}
	}
	time.Sleep(2 * reuseDelay)
	if r := attempt(t, transport, testRequest(http.MethodPost, "r2", "")); r.Code != policy.OK {
		t.Errorf("code %v", r.Code)
	}
	if conns.Load() == 1 {
		t.Error("a request was written on a connection that was idle for longer than the server keeps one")
	}
}

// abandonedContext is the context of an attempt whose request has its answer.
type abandonedContext struct{ context.Context }

func (abandonedContext) Abandoned() bool { return true }

// TestReleaseKeepsOrder checks that the connections of a server stay in the order of their last use, whatever the order
// in which they are released.
func TestReleaseKeepsOrder(t *testing.T) {
	transport := testTransport(t, "127.0.0.1:9")
	srv := transport.servers.Get("s0")
	began := time.Now()
	for _, i := range []int{2, 0, 3, 1, 2} {
		transport.release(&conn{server: srv, lastUsed: began.Add(time.Duration(i))}, "s0", true)
	}
	if !slices.IsSortedFunc(srv.State.idle, func(a, b *conn) int { return a.lastUsed.Compare(b.lastUsed) }) {
		t.Error("not in order")
	}
	srv.State.idle = nil // they have no sockets
}
