package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/outcome"

	"go.uber.org/goleak"
)

// long is more than any step of a test takes; nothing waits for it unless the test fails.
const long = testkit.Long

func testSettings() policy.Settings {
	return policy.Settings{
		Nodes: 1, Capabilities: policy.Capabilities{ConnIdleTimeout: time.Minute},
		Rules: policy.Rules{DrainGrace: 500 * time.Millisecond},
	}
}

func testTransport(t *testing.T, addrs ...string) *Transport {
	t.Helper()
	u := New(Config{MaxConns: 100, ConnectTimeout: 2 * time.Second})
	u.Configure(testSettings())
	u.Update(router.EndpointUpdate{Kind: policy.ListRestored, Endpoints: members(addrs...)})
	t.Cleanup(u.Close)
	return u
}

func members(addrs ...string) (all []router.Endpoint) {
	for i, a := range addrs {
		all = append(all, router.Endpoint{ID: fmt.Sprint("s", i), Addr: a, Zone: "a", Kind: "k", Cell: 1, Weight: 1})
	}
	return all
}

func testRequest(method, id, body string) *router.Request {
	r := &router.Request{
		ID: id, Class: "read", Tenant: "t", Method: method, Target: "/api?q=a%20b",
		Authority: "origin.svc", Body: []byte(body),
	}
	if method == http.MethodPost {
		r.IdempotencyKey = "k-" + id
	}
	return r
}

func ended(t *testing.T, u *Transport, r *router.Request) router.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), long)
	defer cancel()
	return u.Attempt(ctx, "s0", r)
}

func (u *Transport) counts(id string) (open, idle int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.servers.Get(id); p != nil {
		idle = len(p.State.idle)
	}
	return u.openConns, idle
}

// Only "full" with X-Not-Run, and what never got its last byte written, has not run for certain.
func TestOutcomeOfEachAnswer(t *testing.T) {
	big := strings.Repeat("x", maxBodyBytes+1)
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		answer string
		want   policy.Code
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", policy.OK},
		{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", policy.OK},
		{"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 503 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", policy.Overloaded},
		{"HTTP/1.1 504 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", policy.Overloaded},
		{"HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 500 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 302 F\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 204 N\r\n\r\n", policy.ServerError},
		{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(big), big), policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", policy.Reset},     // ends early
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + good, policy.OK}, // a second copy behind
		{strings.Repeat("HTTP/1.1 100 C\r\n\r\n", maxInterimResponses) + good, policy.OK},
		{strings.Repeat("HTTP/1.1 100 C\r\n\r\n", maxInterimResponses+1) + good, policy.ServerError},
		{"HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\n" + good, policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok, and more", policy.ServerError}, // the length is too small
		{"HTTP/1.1 200 OK\r\n\r\nok", policy.OK},                                         // until the close
		{"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok", policy.ServerError},
		{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeadBytes), policy.ServerError},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", policy.OK},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n", policy.ServerError},
		{"\x00\x01\xff noise\r\n\r\n", policy.ServerError},
		{"nonsense\r\n\r\n", policy.ServerError},
		{"", policy.Reset},
	} {
		var sent atomic.Int32
		addr := testkit.RawServer(t, func(c2 net.Conn, r *bufio.Reader) {
			if testkit.Swallow(r) {
				sent.Add(1)
				_, _ = io.WriteString(c2, c.answer)
			}
		})
		r := ended(t, testTransport(t, addr), testRequest(http.MethodGet, "r1", ""))
		if r.Code != c.want || sent.Load() != 1 {
			t.Errorf("%.60q: code %v after %d requests, want %v after 1", c.answer, r.Code, sent.Load(), c.want)
		}
		if c.want == policy.OK && string(r.Answer.Body) != "ok" {
			t.Errorf("%.60q: body %q", c.answer, r.Answer.Body)
		}
	}
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	// A port that is bound and not listened on: one that is closed again may be another test's by then.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	u := testTransport(t, addr)
	if r := ended(t, u, testRequest(http.MethodGet, "r1", "")); r.Code != policy.ConnectFailed {
		t.Errorf("code %v", r.Code)
	}
	if open, _ := u.counts("s0"); open != 0 {
		t.Errorf("%d connections are still counted", open)
	}
}

// http.Transport would send either of these again by itself.
func TestBrokenReusedConnectionIsNotSentAgain(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var requests, conns atomic.Int32
		addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			conns.Add(1)
			for testkit.Swallow(r) {
				if requests.Add(1) > 1 {
					return // breaks the connection under the second
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		})
		u := testTransport(t, addr)
		if r := ended(t, u, testRequest(method, "r1", "")); r.Code != policy.OK {
			t.Fatalf("%s: first code %v", method, r.Code)
		}
		time.Sleep(2 * reuseDelay)
		if r := ended(t, u, testRequest(method, "r2", "")); r.Code != policy.Reset {
			t.Errorf("%s: code %v, want a reset", method, r.Code)
		}
		if conns.Load() != 1 || requests.Load() != 2 {
			t.Errorf("%s: %d connections, %d requests; want 1 and 2", method, conns.Load(), requests.Load())
		}
	}
}

// A request of which the server takes a part only can't have run.
func TestUnwrittenLastByteNeverRan(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	u := testTransport(t, ln.Addr().String())
	tcp, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	// Nothing can be written on it any more, though it looks quiet.
	if err := tcp.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	p := u.servers.Get("s0")
	p.State.idle, u.openConns = []*conn{{tcp: tcp.(*net.TCPConn), server: p, lastUsed: time.Now().Add(-time.Second)}}, 1
	if r := ended(t, u, testRequest(http.MethodPost, "r1", "body")); r.Code != policy.ConnectFailed {
		t.Errorf("code %v, want could not connect", r.Code)
	}
	if open, _ := u.counts("s0"); open != 0 {
		t.Errorf("%d connections are still counted", open)
	}
}

func TestTimeOutAndCancelCloseTheConnection(t *testing.T) {
	for want, end := range map[policy.Code]func() (context.Context, context.CancelFunc, func()){
		policy.TimedOut: func() (context.Context, context.CancelFunc, func()) {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			return ctx, cancel, func() {}
		},
		policy.Cancelled: func() (context.Context, context.CancelFunc, func()) {
			ctx, cancel := context.WithCancel(t.Context())
			return ctx, cancel, cancel
		},
	} {
		got, closed := make(chan struct{}), make(chan struct{})
		addr := testkit.RawServer(t, func(_ net.Conn, r *bufio.Reader) {
			testkit.Swallow(r)
			close(got)
			_, _ = r.ReadByte() // returns when the node closes
			close(closed)
		})
		u := testTransport(t, addr)
		ctx, cancel, act := end()
		defer cancel()
		done := make(chan router.Result, 1)
		go func() { done <- u.Attempt(ctx, "s0", testRequest(http.MethodGet, "r1", "")) }()
		testkit.Receive(t, "the request", got)
		act()
		if r := testkit.Receive(t, "the outcome", done); r.Code != want {
			t.Errorf("code %v, want %v", r.Code, want)
		}
		testkit.Receive(t, "the close", closed)
		if open, idle := u.counts("s0"); open != 0 || idle != 0 {
			t.Errorf("%d open, %d idle", open, idle)
		}
	}
}

// What the server gets is the client's request, with nothing of the machine's own about it.
func TestRequestGoesOnUnchanged(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:9")
	got := make(chan *http.Request, 1)
	var body atomic.Value
	addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		body.Store(string(b))
		got <- r
	})
	r := ended(t, testTransport(t, addr), testRequest(http.MethodPost, "r1", "hello"))
	if r.Code != policy.OK {
		t.Fatalf("code %v", r.Code)
	}
	req := <-got
	if req.Method != "POST" || req.RequestURI != "/api?q=a%20b" || req.Host != "origin.svc" || body.Load() != "hello" {
		t.Errorf("got %s %s of %s with %q", req.Method, req.RequestURI, req.Host, body.Load())
	}
	if req.Header.Get("X-Request-Id") != "r1" || req.Header.Get("Idempotency-Key") != "k-r1" ||
		req.Header.Get("X-Deadline-Ms") == "" || req.Header.Get("Accept-Encoding") != "" || req.UserAgent() != "" {
		t.Errorf("header %v", req.Header)
	}
}

func TestConnectionsAreReusedUntilIdle(t *testing.T) {
	var conns atomic.Int32
	addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for testkit.Swallow(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		}
	})
	u := testTransport(t, addr)
	for i := range 3 {
		ended(t, u, testRequest(http.MethodGet, fmt.Sprint("r", i), ""))
		time.Sleep(2 * reuseDelay)
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for three requests in turn", n)
	}
	u.closeExpired(time.Now().Add(u.idleTimeout - time.Second))
	if _, idle := u.counts("s0"); idle != 1 {
		t.Errorf("%d idle connections before their time is up, want 1", idle)
	}
	u.closeExpired(time.Now().Add(u.idleTimeout + time.Second))
	if open, idle := u.counts("s0"); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle after the sweep", open, idle)
	}
	if u.idleTimeout > 30*time.Second {
		t.Errorf("idle connections are kept for %v, too near the settings' 60 s", u.idleTimeout)
	}
}

// A connection that the server closed while it was idle is not written to.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		if testkit.Swallow(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	u := testTransport(t, addr)
	ended(t, u, testRequest(http.MethodGet, "r1", ""))
	testkit.Await(t, "the close to be noticed", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		idle := u.servers.Get("s0").State.idle
		return len(idle) == 0 || !sockets.Quiet(u.servers.Get("s0").State.idle[0].tcp)
	})
	if r := ended(t, u, testRequest(http.MethodGet, "r2", "")); r.Code != policy.OK {
		t.Errorf("code %v", r.Code)
	}
}

func TestDescriptorsBindConnections(t *testing.T) {
	hold := make(chan struct{})
	slow := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) { <-hold })
	fast := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	u := testTransport(t, fast, slow)
	u.maxConns = 1
	if r := ended(t, u, testRequest(http.MethodGet, "r1", "")); r.Code != policy.OK {
		t.Fatalf("code %v", r.Code)
	}
	// The idle connection to the first server makes room for one to the second.
	done := make(chan router.Result, 1)
	go func() { done <- u.Attempt(t.Context(), "s1", testRequest(http.MethodGet, "r2", "")) }()
	testkit.Await(t, "the eviction", func() bool { open, idle := u.counts("s0"); return open == 1 && idle == 0 })
	if r := ended(t, u, testRequest(http.MethodGet, "r3", "")); r.Code != policy.Superseded {
		t.Errorf("code %v beyond the limit, want none that blames the server", r.Code)
	}
	close(hold)
	if r := testkit.Receive(t, "the slow answer", done); r.Code != policy.OK {
		t.Errorf("code %v", r.Code)
	}
}

// What was open to a server's former process, or address, is given up.
func TestListChangesDropIdleConnections(t *testing.T) {
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	base := members(addr)[0]
	restarted, removed := base, base
	restarted.Started = time.UnixMilli(5)
	removed.Availability = policy.Removed
	for name, c := range map[string]struct {
		n    router.EndpointUpdate
		want int
	}{
		"same":      {router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{base}}, 1},
		"restarted": {router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{restarted}}, 0},
		"removed":   {router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{removed}}, 0},
		"no news":   {router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: nil}, 1},
		"missing":   {router.EndpointUpdate{Kind: policy.ListReplace, Endpoints: nil}, 0},
	} {
		u := testTransport(t, addr)
		ended(t, u, testRequest(http.MethodGet, "r1", ""))
		u.Update(c.n)
		if open, _ := u.counts("s0"); open != c.want {
			t.Errorf("%s: %d open, want %d", name, open, c.want)
		}
	}
}

func TestReadsLoadReports(t *testing.T) {
	names := []string{"util", "queue"}
	if got := outcome.ParseLoadReport("inflight=7, queue=2,util=0.61", names); got[0] != 0.61 || got[1] != 2 {
		t.Errorf("got %v", got)
	}
	for _, text := range []string{
		"", "util=x,,=", "util=0.5", "util=NaN,queue=1", "util=Inf,queue=1",
		"util=0.5,queue=-1", "util=0.5,queue=1e300", "util=0.5,util=0.6,queue=1", "util=0.5,queue=1,x=?",
	} {
		if got := outcome.ParseLoadReport(text, names); got != nil {
			t.Errorf("%q: got %v, want none", text, got)
		}
	}
}

// What comes behind an answer, at once or later, is nobody's: the connection is not used again.
func TestWhatNobodyAskedForCondemnsTheConnection(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
	for _, behind := range []string{answer + "x", "noise"} {
		release, conns := make(chan struct{}), atomic.Int32{}
		addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			n := conns.Add(1)
			for testkit.Swallow(r) {
				_, _ = fmt.Fprint(c, answer, n)
				if n == 1 {
					<-release
					_, _ = io.WriteString(c, behind)
				}
			}
		})
		u := testTransport(t, addr)
		if r := ended(t, u, testRequest(http.MethodGet, "r1", "")); string(r.Answer.Body) != "1" {
			t.Fatalf("first answer %q, code %v", r.Answer.Body, r.Code)
		}
		close(release)
		testkit.Await(t, "what nobody asked for", func() bool {
			u.mu.Lock()
			defer u.mu.Unlock()
			return !sockets.Quiet(u.servers.Get("s0").State.idle[0].tcp)
		})
		time.Sleep(2 * reuseDelay)
		if r := ended(t, u, testRequest(http.MethodGet, "r2", "")); string(r.Answer.Body) != "2" {
			t.Errorf("%q behind: answer %q, code %v", behind, r.Answer.Body, r.Code)
		}
		if open, idle := u.counts("s0"); open != 1 || idle != 1 {
			t.Errorf("%q behind: %d open, %d idle", behind, open, idle)
		}
	}
}

// An answer that keeps coming ends the attempt and its connection, not when the server ends it.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", "HTTP/1.1 200 OK\r\nX: ", "",
	} {
		closed := make(chan struct{})
		addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			defer close(closed)
			testkit.Swallow(r)
			_, err := io.WriteString(c, head)
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("x", 1000))
			}
		})
		u := testTransport(t, addr)
		if r := ended(t, u, testRequest(http.MethodGet, "r1", "")); r.Code != policy.ServerError {
			t.Errorf("%q: code %v", head, r.Code)
		}
		testkit.Receive(t, "the end of the connection", closed)
	}
}

// A new server may be at the address of one that has gone before the list says so.
func TestAddressBelongsToTheNewestServer(t *testing.T) {
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	u := testTransport(t, addr)
	next := members(addr)[0]
	next.ID, next.Started = "s1", time.UnixMilli(5)
	u.Update(router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{next}})
	late := members(addr)[0]
	late.Availability = policy.Draining
	u.Update(router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: []router.Endpoint{late}}) // of the old one, and late
	if r := ended(t, u, testRequest(http.MethodGet, "r1", "")); r.Code != policy.ConnectFailed {
		t.Errorf("to the old server: code %v", r.Code)
	}
	if r := u.Attempt(t.Context(), "s1", testRequest(http.MethodGet, "r2", "")); r.Code != policy.OK {
		t.Errorf("to the new server: code %v", r.Code)
	}
}

// lateContext is one whose time has passed though its timer has not come to run, as where the host
// keeps the process from running.
type lateContext struct{ context.Context }

func (lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// Nothing is written once the request's time has passed or its server has drained for half of the
// grace, also where the attempt was decided on before.
func TestLateAttemptsAreNotWritten(t *testing.T) {
	var reached atomic.Int32
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	u := testTransport(t, addr)
	if r := ended(t, u, testRequest(http.MethodGet, "r1", "")); r.Code != policy.OK {
		t.Fatalf("code %v", r.Code)
	}
	time.Sleep(2 * reuseDelay) // so that a connection is there, and no dial notices the time
	if r := u.Attempt(lateContext{t.Context()}, "s0", testRequest(http.MethodPost, "late", "")); r.Code != policy.ConnectFailed {
		t.Errorf("after its time: code %v, want one that proves it never ran", r.Code)
	}
	drains := members(addr)
	drains[0].Availability = policy.Draining
	u.Update(router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: drains})
	if r := ended(t, u, testRequest(http.MethodPost, "r2", "")); r.Code != policy.OK {
		t.Errorf("within the grace: code %v", r.Code)
	}
	u.mu.Lock()
	u.servers.Get("s0").DrainStartedAt = time.Now().Add(-u.drainGrace)
	u.mu.Unlock()
	u.Update(router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: drains}) // the same news again gives no new grace
	if r := ended(t, u, testRequest(http.MethodPost, "r3", "")); r.Code != policy.ConnectFailed {
		t.Errorf("after the grace: code %v, want one that proves it never ran", r.Code)
	}
	if n := reached.Load(); n != 2 {
		t.Errorf("%d requests reached the server, want 2", n)
	}
	u.Update(router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: members(addr)}) // it runs again
	if r := ended(t, u, testRequest(http.MethodPost, "r4", "")); r.Code != policy.OK {
		t.Errorf("once it runs again: code %v", r.Code)
	}
}

// What fronts of other protocols may carry must not become a header or a request of its own.
func TestFieldsCantBreakTheFraming(t *testing.T) {
	var reached atomic.Int32
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	u := testTransport(t, addr)
	for name, spoil := range map[string]func(*router.Request){
		"target with a blank":  func(r *router.Request) { r.Target = "/a HTTP/1.1\r\nX: y\r\n\r\n" },
		"target without slash": func(r *router.Request) { r.Target = "api" },
		"key with a line":      func(r *router.Request) { r.IdempotencyKey = "k\r\nX-Request-Id: other" },
		"type with a line":     func(r *router.Request) { r.ContentType = "a\nb" },
		"host with a line":     func(r *router.Request) { r.Authority = "a\r\nb" },
		"method with a blank":  func(r *router.Request) { r.Method = "GET /x" },
		"id with a line":       func(r *router.Request) { r.ID = "a\r\nb" },
	} {
		r := testRequest(http.MethodPost, "r1", "body")
		spoil(r)
		if got := ended(t, u, r); got.Code != policy.Superseded {
			t.Errorf("%s: code %v, want one that blames no server", name, got.Code)
		}
	}
	if n := reached.Load(); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
	if r := ended(t, u, testRequest(http.MethodPost, "r1", "body")); r.Code != policy.OK {
		t.Errorf("a good one afterwards: code %v", r.Code)
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestShortageOfTheNodeIsNoServersFault has connecting fail for want of what the node itself needs: the attempt never
// ran, and the server is not to blame.
func TestShortageOfTheNodeIsNoServersFault(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			u := testTransport(t, "127.0.0.1:9")
			u.dialer.Control = func(string, string, syscall.RawConn) error { return errno }
			if r := ended(t, u, testRequest(http.MethodGet, "r1", "")); r.Code != policy.Superseded {
				t.Errorf("code %v, want that of an attempt that was not made", r.Code)
			}
			if open, _ := u.counts("s0"); open != 0 {
				t.Errorf("%d connections are still counted", open)
			}
		})
	}
}
