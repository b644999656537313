package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/policy"
)

func testUpstream(t *testing.T, addrs ...string) *upstream {
	t.Helper()
	c := testConfig(t, knownList(addrs...))
	u := newUpstream(c, 100)
	u.update(news{policy.ListRestored, c.Known.Members})
	t.Cleanup(u.close)
	return u
}

func ended(t *testing.T, u *upstream, x *exchange) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), long)
	defer cancel()
	return u.attempt(ctx, "s0", x)
}

func (u *upstream) counts(id string) (open, idle int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pools[id]; p != nil {
		idle = len(p.idle)
	}
	return u.open, idle
}

// Only "full" with X-Not-Run, and what never got its last byte written, has not run for certain.
func TestOutcomeOfEachAnswer(t *testing.T) {
	big := strings.Repeat("x", maxBody+1)
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		answer string
		want   policy.Code
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", policy.OK},
		{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", policy.OK},
		{"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 503 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", policy.Full},
		{"HTTP/1.1 504 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", policy.Full},
		{"HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 500 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 302 F\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 204 N\r\n\r\n", policy.ServerError},
		{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(big), big), policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", policy.Reset},     // ends early
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + good, policy.OK}, // a second copy behind
		{strings.Repeat("HTTP/1.1 100 C\r\n\r\n", maxInterim) + good, policy.OK},
		{strings.Repeat("HTTP/1.1 100 C\r\n\r\n", maxInterim+1) + good, policy.ServerError},
		{"HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\n" + good, policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok, and more", policy.ServerError}, // the length is too small
		{"HTTP/1.1 200 OK\r\n\r\nok", policy.ServerError},                                // no length: is it whole?
		{"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok", policy.ServerError},
		{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeader), policy.ServerError},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", policy.OK},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n", policy.ServerError},
		{"\x00\x01\xff noise\r\n\r\n", policy.ServerError},
		{"nonsense\r\n\r\n", policy.ServerError},
		{"", policy.Reset},
	} {
		var sent atomic.Int32
		addr := rawServer(t, func(c2 net.Conn, r *bufio.Reader) {
			if swallow(r) {
				sent.Add(1)
				_, _ = io.WriteString(c2, c.answer)
			}
		})
		r := ended(t, testUpstream(t, addr), testExchange(http.MethodGet, "r1", ""))
		if r.code != c.want || sent.Load() != 1 {
			t.Errorf("%.60q: code %v after %d requests, want %v after 1", c.answer, r.code, sent.Load(), c.want)
		}
		if c.want == policy.OK && string(r.answer.body) != "ok" {
			t.Errorf("%.60q: body %q", c.answer, r.answer.body)
		}
	}
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	u := testUpstream(t, addr)
	if r := ended(t, u, testExchange(http.MethodGet, "r1", "")); r.code != policy.ConnectFailed {
		t.Errorf("code %v", r.code)
	}
	if open, _ := u.counts("s0"); open != 0 {
		t.Errorf("%d connections are still counted", open)
	}
}

// http.Transport would send either of these again by itself.
func TestBrokenReusedConnectionIsNotSentAgain(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var requests, conns atomic.Int32
		addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
			conns.Add(1)
			for swallow(r) {
				if requests.Add(1) > 1 {
					return // breaks the connection under the second
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		})
		u := testUpstream(t, addr)
		if r := ended(t, u, testExchange(method, "r1", "")); r.code != policy.OK {
			t.Fatalf("%s: first code %v", method, r.code)
		}
		time.Sleep(2 * restFor)
		if r := ended(t, u, testExchange(method, "r2", "")); r.code != policy.Reset {
			t.Errorf("%s: code %v, want a reset", method, r.code)
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
	u := testUpstream(t, ln.Addr().String())
	tcp, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	// Nothing can be written on it any more, though it looks quiet.
	if err := tcp.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	p := u.pools["s0"]
	p.idle, u.open = []*conn{{TCPConn: tcp.(*net.TCPConn), pool: p, used: time.Now().Add(-time.Second)}}, 1
	if r := ended(t, u, testExchange(http.MethodPost, "r1", "body")); r.code != policy.ConnectFailed {
		t.Errorf("code %v, want could not connect", r.code)
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
		addr := rawServer(t, func(_ net.Conn, r *bufio.Reader) {
			swallow(r)
			close(got)
			_, _ = r.ReadByte() // returns when the node closes
			close(closed)
		})
		u := testUpstream(t, addr)
		ctx, cancel, act := end()
		defer cancel()
		done := make(chan result, 1)
		go func() { done <- u.attempt(ctx, "s0", testExchange(http.MethodGet, "r1", "")) }()
		receive(t, "the request", got)
		act()
		if r := receive(t, "the outcome", done); r.code != want {
			t.Errorf("code %v, want %v", r.code, want)
		}
		receive(t, "the close", closed)
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
	addr := httpServer(t, func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		body.Store(string(b))
		got <- r
	})
	r := ended(t, testUpstream(t, addr), testExchange(http.MethodPost, "r1", "hello"))
	if r.code != policy.OK {
		t.Fatalf("code %v", r.code)
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
	addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for swallow(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		}
	})
	u := testUpstream(t, addr)
	for i := range 3 {
		ended(t, u, testExchange(http.MethodGet, fmt.Sprint("r", i), ""))
		time.Sleep(2 * restFor)
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for three requests in turn", n)
	}
	u.sweep(time.Now().Add(u.idleFor - time.Second))
	if _, idle := u.counts("s0"); idle != 1 {
		t.Errorf("%d idle connections before their time is up, want 1", idle)
	}
	u.sweep(time.Now().Add(u.idleFor + time.Second))
	if open, idle := u.counts("s0"); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle after the sweep", open, idle)
	}
	if u.idleFor > 30*time.Second {
		t.Errorf("idle connections are kept for %v, too near the settings' 60 s", u.idleFor)
	}
}

// A connection that the server closed while it was idle is not written to.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		if swallow(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	u := testUpstream(t, addr)
	ended(t, u, testExchange(http.MethodGet, "r1", ""))
	await(t, "the close to be noticed", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		idle := u.pools["s0"].idle
		return len(idle) == 0 || !quiet(u.pools["s0"].idle[0].TCPConn)
	})
	if r := ended(t, u, testExchange(http.MethodGet, "r2", "")); r.code != policy.OK {
		t.Errorf("code %v", r.code)
	}
}

func TestDescriptorsBindConnections(t *testing.T) {
	hold := make(chan struct{})
	slow := httpServer(t, func(http.ResponseWriter, *http.Request) { <-hold })
	fast := httpServer(t, func(http.ResponseWriter, *http.Request) {})
	u := testUpstream(t, fast, slow)
	u.most = 1
	if r := ended(t, u, testExchange(http.MethodGet, "r1", "")); r.code != policy.OK {
		t.Fatalf("code %v", r.code)
	}
	// The idle connection to the first server makes room for one to the second.
	done := make(chan result, 1)
	go func() { done <- u.attempt(t.Context(), "s1", testExchange(http.MethodGet, "r2", "")) }()
	await(t, "the eviction", func() bool { open, idle := u.counts("s0"); return open == 1 && idle == 0 })
	if r := ended(t, u, testExchange(http.MethodGet, "r3", "")); r.code != policy.Moot {
		t.Errorf("code %v beyond the limit, want none that blames the server", r.code)
	}
	close(hold)
	if r := receive(t, "the slow answer", done); r.code != policy.OK {
		t.Errorf("code %v", r.code)
	}
}

// What was open to a server's former process, or address, is given up.
func TestListChangesDropIdleConnections(t *testing.T) {
	addr := httpServer(t, func(http.ResponseWriter, *http.Request) {})
	base := members(t, addr)[0]
	restarted, removed := base, base
	restarted.UpSince = 5
	removed.Availability = policy.Removed
	for name, c := range map[string]struct {
		n    news
		want int
	}{
		"same":      {news{policy.ListUpdate, []member{base}}, 1},
		"restarted": {news{policy.ListUpdate, []member{restarted}}, 0},
		"removed":   {news{policy.ListUpdate, []member{removed}}, 0},
		"no news":   {news{policy.ListUpdate, nil}, 1},
		"missing":   {news{policy.ListReplace, nil}, 0},
	} {
		u := testUpstream(t, addr)
		ended(t, u, testExchange(http.MethodGet, "r1", ""))
		u.update(c.n)
		if open, _ := u.counts("s0"); open != c.want {
			t.Errorf("%s: %d open, want %d", name, open, c.want)
		}
	}
}

func TestReadsLoadReports(t *testing.T) {
	names := []string{"util", "queue"}
	if got := loadReport("inflight=7, queue=2,util=0.61", names); got[0] != 0.61 || got[1] != 2 {
		t.Errorf("got %v", got)
	}
	for _, text := range []string{"", "util=x,,=", "util=0.5", "util=NaN,queue=1", "util=Inf,queue=1",
		"util=0.5,queue=-1", "util=0.5,queue=1e300", "util=0.5,util=0.6,queue=1", "util=0.5,queue=1,x=?"} {
		if got := loadReport(text, names); got != nil {
			t.Errorf("%q: got %v, want none", text, got)
		}
	}
}

// What comes behind an answer, at once or later, is nobody's: the connection is not used again.
func TestWhatNobodyAskedForCondemnsTheConnection(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
	for _, behind := range []string{answer + "x", "noise"} {
		release, conns := make(chan struct{}), atomic.Int32{}
		addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
			n := conns.Add(1)
			for swallow(r) {
				_, _ = fmt.Fprint(c, answer, n)
				if n == 1 {
					<-release
					_, _ = io.WriteString(c, behind)
				}
			}
		})
		u := testUpstream(t, addr)
		if r := ended(t, u, testExchange(http.MethodGet, "r1", "")); string(r.answer.body) != "1" {
			t.Fatalf("first answer %q, code %v", r.answer.body, r.code)
		}
		close(release)
		await(t, "what nobody asked for", func() bool {
			u.mu.Lock()
			defer u.mu.Unlock()
			return !quiet(u.pools["s0"].idle[0].TCPConn)
		})
		time.Sleep(2 * restFor)
		if r := ended(t, u, testExchange(http.MethodGet, "r2", "")); string(r.answer.body) != "2" {
			t.Errorf("%q behind: answer %q, code %v", behind, r.answer.body, r.code)
		}
		if open, idle := u.counts("s0"); open != 1 || idle != 1 {
			t.Errorf("%q behind: %d open, %d idle", behind, open, idle)
		}
	}
}

// An answer that keeps coming ends the attempt and its connection, not when the server ends it.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", "HTTP/1.1 200 OK\r\nX: ", ""} {
		closed := make(chan struct{})
		addr := rawServer(t, func(c net.Conn, r *bufio.Reader) {
			defer close(closed)
			swallow(r)
			_, err := io.WriteString(c, head)
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("x", 1000))
			}
		})
		u := testUpstream(t, addr)
		if r := ended(t, u, testExchange(http.MethodGet, "r1", "")); r.code != policy.ServerError {
			t.Errorf("%q: code %v", head, r.code)
		}
		receive(t, "the end of the connection", closed)
	}
}

// A new server may be at the address of one that has gone before the list says so.
func TestAddressBelongsToTheNewestServer(t *testing.T) {
	addr := httpServer(t, func(http.ResponseWriter, *http.Request) {})
	u := testUpstream(t, addr)
	next := members(t, addr)[0]
	next.Server, next.UpSince = "s1", 5
	u.update(news{policy.ListUpdate, []member{next}})
	late := members(t, addr)[0]
	late.Availability = policy.Draining
	u.update(news{policy.ListUpdate, []member{late}}) // of the old one, and late
	if r := ended(t, u, testExchange(http.MethodGet, "r1", "")); r.code != policy.ConnectFailed {
		t.Errorf("to the old server: code %v", r.code)
	}
	if r := u.attempt(t.Context(), "s1", testExchange(http.MethodGet, "r2", "")); r.code != policy.OK {
		t.Errorf("to the new server: code %v", r.code)
	}
}
