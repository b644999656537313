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

func TestPool_ReusesConnsUntilIdleTimeout(t *testing.T) {
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
		t.Errorf("%d connections for three sequential requests, want 1", n)
	}
	transport.closeExpired(time.Now().Add(transport.idleTimeout - time.Second))
	if _, idle := transport.counts(); idle != 1 {
		t.Errorf("%d idle connections before the idle timeout, want 1", idle)
	}
	transport.closeExpired(time.Now().Add(transport.idleTimeout + time.Second))
	if open, idle := transport.counts(); open != 0 || idle != 0 {
		t.Errorf("%d open and %d idle connections after the idle timeout, want none", open, idle)
	}
	if transport.idleTimeout > 30*time.Second {
		t.Errorf("idle timeout is %v, want at most half of the 60 s in the settings", transport.idleTimeout)
	}
}

// TestPool_ReplacesConnClosedByServer checks that nothing is written to an idle connection that the server has
// closed.
func TestPool_ReplacesConnClosedByServer(t *testing.T) {
	addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		if testkit.ReadFullRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	transport := testTransport(t, addr)
	attempt(t, transport, testRequest(http.MethodGet, "r1", ""))
	testkit.Await(t, "the close of the idle connection to be detected", func() bool {
		transport.mu.Lock()
		defer transport.mu.Unlock()
		idle := transport.servers.Get("s0").State.idle
		return len(idle) == 0 || !sockets.IsIdle(transport.servers.Get("s0").State.idle[0].tcp)
	})
	if r := attempt(t, transport, testRequest(http.MethodGet, "r2", "")); r.Code != policy.OK {
		t.Errorf("code %v, want OK", r.Code)
	}
}

func TestPool_MaxConns(t *testing.T) {
	hold := make(chan struct{})
	slow := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) { <-hold })
	fast := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	transport := testTransport(t, fast, slow)
	transport.maxConns = 1
	if r := attempt(t, transport, testRequest(http.MethodGet, "r1", "")); r.Code != policy.OK {
		t.Fatalf("first request: code %v, want OK", r.Code)
	}
	// At the limit, the idle connection to the first server is closed to admit a connection to the second server.
	done := make(chan router.Result, 1)
	go func() { done <- transport.Attempt(t.Context(), "s1", testRequest(http.MethodGet, "r2", "")) }()
	testkit.Await(t, "the eviction", func() bool { open, idle := transport.counts(); return open == 1 && idle == 0 })
	if r := attempt(t, transport, testRequest(http.MethodGet, "r3", "")); r.Code != policy.Superseded {
		t.Errorf("code %v beyond the connection limit, want Superseded", r.Code)
	}
	close(hold)
	if r := testkit.Receive(t, "the response of the slow server", done); r.Code != policy.OK {
		t.Errorf("request to the slow server: code %v, want OK", r.Code)
	}
}

// TestUpdate_ClosesIdleConns checks that a change of the endpoint list closes the idle connections to a removed or
// restarted server. Other idle connections must stay open.
func TestUpdate_ClosesIdleConns(t *testing.T) {
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	base := testEndpoints(addr)[0]
	restarted, removed := base, base
	restarted.Started = time.UnixMilli(5)
	removed.Availability = policy.Removed
	for name, test := range map[string]struct {
		update router.EndpointUpdate
		want   int
	}{
		"same":      {router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{base}}, 1},
		"restarted": {router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{restarted}}, 0},
		"removed":   {router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{removed}}, 0},
		"empty":     {router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: nil}, 1},
		"missing":   {router.EndpointUpdate{Kind: policy.ListReplace, Endpoints: nil}, 0},
	} {
		transport := testTransport(t, addr)
		attempt(t, transport, testRequest(http.MethodGet, "r1", ""))
		transport.Update(test.update)
		if open, _ := transport.counts(); open != test.want {
			t.Errorf("%s: %d open connections, want %d", name, open, test.want)
		}
	}
}

// TestPool_UnsolicitedBytesCloseConn checks that a connection is not reused if the server sends bytes after a
// response while the connection is idle.
func TestPool_UnsolicitedBytesCloseConn(t *testing.T) {
	const responseHead = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
	for _, trailing := range []string{responseHead + "x", "noise"} {
		release, conns := make(chan struct{}), atomic.Int32{}
		addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			n := conns.Add(1)
			for testkit.ReadFullRequest(r) {
				_, _ = fmt.Fprint(c, responseHead, n)
				if n == 1 {
					<-release
					_, _ = io.WriteString(c, trailing)
				}
			}
		})
		transport := testTransport(t, addr)
		if r := attempt(t, transport, testRequest(http.MethodGet, "r1", "")); string(r.Answer.Body) != "1" {
			t.Fatalf("first request: body %q, code %v", r.Answer.Body, r.Code)
		}
		close(release)
		testkit.Await(t, "the unsolicited bytes", func() bool {
			transport.mu.Lock()
			defer transport.mu.Unlock()
			return !sockets.IsIdle(transport.servers.Get("s0").State.idle[0].tcp)
		})
		time.Sleep(2 * reuseDelay)
		if r := attempt(t, transport, testRequest(http.MethodGet, "r2", "")); string(r.Answer.Body) != "2" {
			t.Errorf("after unsolicited %q: body %q, code %v", trailing, r.Answer.Body, r.Code)
		}
		if open, idle := transport.counts(); open != 1 || idle != 1 {
			t.Errorf("after unsolicited %q: %d open and %d idle connections, want one of each", trailing, open, idle)
		}
	}
}

// TestUpdate_AddressReusedByNewServer checks that requests at an address go to the server that started last. The
// endpoint list may still contain an older server with the same address.
func TestUpdate_AddressReusedByNewServer(t *testing.T) {
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	transport := testTransport(t, addr)
	newServer := testEndpoints(addr)[0]
	newServer.ID, newServer.Started = "s1", time.UnixMilli(5)
	transport.Update(router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{newServer}})
	staleEntry := testEndpoints(addr)[0]
	staleEntry.Availability = policy.Draining
	transport.Update(
		router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{staleEntry}},
	) // outdated entry of the old server
	if r := attempt(t, transport, testRequest(http.MethodGet, "r1", "")); r.Code != policy.ConnectFailed {
		t.Errorf("attempt at the old server: code %v, want ConnectFailed", r.Code)
	}
	if r := transport.Attempt(t.Context(), "s1", testRequest(http.MethodGet, "r2", "")); r.Code != policy.OK {
		t.Errorf("attempt at the new server: code %v, want OK", r.Code)
	}
}

// TestAttempt_LocalResourceExhaustion checks that the outcome of an attempt is Superseded if its connection fails for
// lack of a local resource. The server is not at fault, and cannot have run the request.
func TestAttempt_LocalResourceExhaustion(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			transport := testTransport(t, "127.0.0.1:9")
			transport.dialer.Control = func(string, string, syscall.RawConn) error { return errno }
			if r := attempt(t, transport, testRequest(http.MethodGet, "r1", "")); r.Code != policy.Superseded {
				t.Errorf("code %v, want Superseded", r.Code)
			}
			if open, _ := transport.counts(); open != 0 {
				t.Errorf("%d connections are still counted as open", open)
			}
		})
	}
}

// TestPool_AbandonedAttemptKeepsIdleTime checks that attempts that write nothing do not extend the idle time of a
// connection. If they did, the pool would reuse a connection just as the server closes it.
func TestPool_AbandonedAttemptKeepsIdleTime(t *testing.T) {
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
			t.Fatalf("abandoned attempt: code %v, want Superseded", got.Code)
		}
	}
	time.Sleep(2 * reuseDelay)
	if r := attempt(t, transport, testRequest(http.MethodPost, "r2", "")); r.Code != policy.OK {
		t.Errorf("code %v, want OK", r.Code)
	}
	if conns.Load() == 1 {
		t.Error("a connection was reused although it was idle for longer than the server's idle timeout")
	}
}

// abandonedContext is the context of an attempt whose request already has its answer.
type abandonedContext struct{ context.Context }

func (abandonedContext) Abandoned() bool { return true }

// TestRelease_KeepsLastUsedOrder checks that the idle connections of a server stay sorted by their last use,
// regardless of the order of release.
func TestRelease_KeepsLastUsedOrder(t *testing.T) {
	transport := testTransport(t, "127.0.0.1:9")
	srv := transport.servers.Get("s0")
	began := time.Now()
	for _, i := range []int{2, 0, 3, 1, 2} {
		transport.release(&conn{server: srv, lastUsed: began.Add(time.Duration(i))}, "s0", true)
	}
	if !slices.IsSortedFunc(srv.State.idle, func(a, b *conn) int { return a.lastUsed.Compare(b.lastUsed) }) {
		t.Error("idle connections are not sorted by their last use")
	}
	srv.State.idle = nil // the connections of this test have no sockets to close
}
