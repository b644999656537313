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

	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
)

// TestAttempt_OutcomeByResponse checks that each valid or malformed response leads to the right outcome. Only a
// status of 503 or 504 with X-Not-Run proves that the request did not run.
func TestAttempt_OutcomeByResponse(t *testing.T) {
	tooLongBody := strings.Repeat("x", maxBodyBytes+1)
	const goodResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, test := range []struct {
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
		{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(tooLongBody), tooLongBody), policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", policy.Reset},             // the connection ends early
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + goodResponse, policy.OK}, // followed by a duplicate
		{strings.Repeat("HTTP/1.1 100 C\r\n\r\n", maxInterimResponses) + goodResponse, policy.OK},
		{strings.Repeat("HTTP/1.1 100 C\r\n\r\n", maxInterimResponses+1) + goodResponse, policy.ServerError},
		{"HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\n" + goodResponse, policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok, and more", policy.ServerError}, // Content-Length is too small
		{"HTTP/1.1 200 OK\r\n\r\nok", policy.OK},                                         // the body ends with the connection
		{"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok", policy.ServerError},
		{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeadBytes), policy.ServerError},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", policy.OK},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n", policy.ServerError},
		{"\x00\x01\xff noise\r\n\r\n", policy.ServerError},
		{"nonsense\r\n\r\n", policy.ServerError},
		{"", policy.Reset},
	} {
		var received atomic.Int32
		addr := testkit.RawServer(t, func(c2 net.Conn, r *bufio.Reader) {
			if testkit.ReadFullRequest(r) {
				received.Add(1)
				_, _ = io.WriteString(c2, test.answer)
			}
		})
		r := attempt(t, testTransport(t, addr), testRequest(http.MethodGet, "r1", ""))
		if r.Code != test.want || received.Load() != 1 {
			t.Errorf("%.60q: code %v after %d requests, want %v after 1", test.answer, r.Code, received.Load(), test.want)
		}
		if test.want == policy.OK && string(r.Answer.Body) != "ok" {
			t.Errorf("%.60q: body %q", test.answer, r.Answer.Body)
		}
	}
}

func TestAttempt_ConnectionRefused(t *testing.T) {
	// The port is bound but has no listener. A port that was closed again could already belong to another test.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	transport := testTransport(t, addr)
	if r := attempt(t, transport, testRequest(http.MethodGet, "r1", "")); r.Code != policy.ConnectFailed {
		t.Errorf("code %v, want ConnectFailed", r.Code)
	}
	if open, _ := transport.counts(); open != 0 {
		t.Errorf("%d connections are still counted as open", open)
	}
}

// TestAttempt_BrokenReusedConnIsNotRetried checks that a request is not sent again after its reused connection broke.
// http.Transport would retry the request by itself.
func TestAttempt_BrokenReusedConnIsNotRetried(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var requests, conns atomic.Int32
		addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			conns.Add(1)
			for testkit.ReadFullRequest(r) {
				if requests.Add(1) > 1 {
					return // closes the connection instead of responding to the second request
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		})
		transport := testTransport(t, addr)
		if r := attempt(t, transport, testRequest(method, "r1", "")); r.Code != policy.OK {
			t.Fatalf("%s: first request: code %v, want OK", method, r.Code)
		}
		time.Sleep(2 * reuseDelay)
		if r := attempt(t, transport, testRequest(method, "r2", "")); r.Code != policy.Reset {
			t.Errorf("%s: second request: code %v, want Reset", method, r.Code)
		}
		if conns.Load() != 1 || requests.Load() != 2 {
			t.Errorf("%s: %d connections, %d requests; want 1 and 2", method, conns.Load(), requests.Load())
		}
	}
}

// TestAttempt_IncompleteWrite checks that the outcome of a failed write says that the request did not run.
func TestAttempt_IncompleteWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	transport := testTransport(t, ln.Addr().String())
	tcp, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	// From now on, writes on the connection fail, although the connection looks idle.
	if err := tcp.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	p := transport.servers.Get("s0")
	p.State.idle, transport.openConns = []*conn{
		{tcp: tcp.(*net.TCPConn), server: p, lastUsed: time.Now().Add(-time.Second)},
	}, 1
	if r := attempt(t, transport, testRequest(http.MethodPost, "r1", "body")); r.Code != policy.ConnectFailed {
		t.Errorf("code %v, want ConnectFailed", r.Code)
	}
	if open, _ := transport.counts(); open != 0 {
		t.Errorf("%d connections are still counted as open", open)
	}
}

func TestAttempt_TimeoutAndCancelCloseConn(t *testing.T) {
	for want, newContext := range map[policy.Code]func() (context.Context, context.CancelFunc, func()){
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
			testkit.ReadFullRequest(r)
			close(got)
			_, _ = r.ReadByte() // returns when the transport closes the connection
			close(closed)
		})
		transport := testTransport(t, addr)
		ctx, cancel, endAttempt := newContext()
		defer cancel()
		done := make(chan router.Result, 1)
		go func() { done <- transport.Attempt(ctx, "s0", testRequest(http.MethodGet, "r1", "")) }()
		testkit.Receive(t, "the request", got)
		endAttempt()
		if r := testkit.Receive(t, "the outcome", done); r.Code != want {
			t.Errorf("code %v, want %v", r.Code, want)
		}
		testkit.Receive(t, "the close of the connection", closed)
		if open, idle := transport.counts(); open != 0 || idle != 0 {
			t.Errorf("%d open and %d idle connections, want none", open, idle)
		}
	}
}

// TestAttempt_ForwardsRequestUnchanged checks that the server receives the client's request without added headers.
// Proxy settings in the environment must be ignored.
func TestAttempt_ForwardsRequestUnchanged(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:9")
	got := make(chan *http.Request, 1)
	var body atomic.Value
	addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		body.Store(string(b))
		got <- r
	})
	r := attempt(t, testTransport(t, addr), testRequest(http.MethodPost, "r1", "hello"))
	if r.Code != policy.OK {
		t.Fatalf("code %v, want OK", r.Code)
	}
	req := <-got
	if req.Method != "POST" || req.RequestURI != "/api?q=a%20b" || req.Host != "origin.svc" || body.Load() != "hello" {
		t.Errorf("got %s %s for host %s with body %q", req.Method, req.RequestURI, req.Host, body.Load())
	}
	if req.Header.Get("X-Request-Id") != "r1" || req.Header.Get("Idempotency-Key") != "k-r1" ||
		req.Header.Get("X-Deadline-Ms") == "" || req.Header.Get("Accept-Encoding") != "" || req.UserAgent() != "" {
		t.Errorf("header %v", req.Header)
	}
}

// TestAttempt_EndlessResponse checks that an endless response ends the attempt and its connection.
func TestAttempt_EndlessResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", "HTTP/1.1 200 OK\r\nX: ", "",
	} {
		closed := make(chan struct{})
		addr := testkit.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			defer close(closed)
			testkit.ReadFullRequest(r)
			_, err := io.WriteString(c, head)
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("x", 1000))
			}
		})
		transport := testTransport(t, addr)
		if r := attempt(t, transport, testRequest(http.MethodGet, "r1", "")); r.Code != policy.ServerError {
			t.Errorf("%q: code %v, want ServerError", head, r.Code)
		}
		testkit.Receive(t, "the end of the connection", closed)
	}
}

// expiredContext is a context whose deadline has passed before its timer fires, as on a stalled host.
type expiredContext struct{ context.Context }

func (expiredContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// TestAttempt_LateRequestIsNotWritten checks that nothing is written once the deadline has passed, or once the server
// has been draining for half of the grace. The router may have decided to make the attempt before that time.
func TestAttempt_LateRequestIsNotWritten(t *testing.T) {
	var reached atomic.Int32
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	transport := testTransport(t, addr)
	if r := attempt(t, transport, testRequest(http.MethodGet, "r1", "")); r.Code != policy.OK {
		t.Fatalf("first request: code %v, want OK", r.Code)
	}
	time.Sleep(2 * reuseDelay) // the connection is reusable: no dial can fail because of the deadline
	if r := transport.Attempt(
		expiredContext{t.Context()},
		"s0",
		testRequest(http.MethodPost, "late", ""),
	); r.Code != policy.Superseded {
		t.Errorf("after the deadline: code %v, want Superseded", r.Code)
	}
	draining := testEndpoints(addr)
	draining[0].Availability = policy.Draining
	transport.Update(router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: draining})
	if r := attempt(t, transport, testRequest(http.MethodPost, "r2", "")); r.Code != policy.OK {
		t.Errorf("within half of the grace: code %v, want OK", r.Code)
	}
	transport.mu.Lock()
	transport.servers.Get("s0").DrainStartedAt = time.Now().Add(-transport.drainWriteTime)
	transport.mu.Unlock()
	transport.Update(
		router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: draining},
	) // a repeated entry must not restart the grace
	if r := attempt(t, transport, testRequest(http.MethodPost, "r3", "")); r.Code != policy.ConnectFailed {
		t.Errorf("after half of the grace: code %v, want ConnectFailed", r.Code)
	}
	if n := reached.Load(); n != 2 {
		t.Errorf("%d requests reached the server, want 2", n)
	}
	transport.Update(router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: testEndpoints(addr)}) // running again
	if r := attempt(t, transport, testRequest(http.MethodPost, "r4", "")); r.Code != policy.OK {
		t.Errorf("after the server is running again: code %v, want OK", r.Code)
	}
}

// TestAttempt_InvalidFieldsAreNotWritten checks that no field of a request can inject a header or a second request,
// whatever bytes a frontend passes.
func TestAttempt_InvalidFieldsAreNotWritten(t *testing.T) {
	var reached atomic.Int32
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	transport := testTransport(t, addr)
	for name, corrupt := range map[string]func(*router.Request){
		"target with a space":  func(r *router.Request) { r.Target = "/a HTTP/1.1\r\nX: y\r\n\r\n" },
		"target without slash": func(r *router.Request) { r.Target = "api" },
		"key with a line":      func(r *router.Request) { r.IdempotencyKey = "k\r\nX-Request-Id: other" },
		"type with a line":     func(r *router.Request) { r.ContentType = "a\nb" },
		"host with a line":     func(r *router.Request) { r.Authority = "a\r\nb" },
		"method with a space":  func(r *router.Request) { r.Method = "GET /x" },
		"id with a line":       func(r *router.Request) { r.ID = "a\r\nb" },
	} {
		r := testRequest(http.MethodPost, "r1", "body")
		corrupt(r)
		if got := attempt(t, transport, r); got.Code != policy.Superseded {
			t.Errorf("%s: code %v, want Superseded", name, got.Code)
		}
	}
	if n := reached.Load(); n != 0 {
		t.Errorf("%d requests reached the server, want none", n)
	}
	if r := attempt(t, transport, testRequest(http.MethodPost, "r1", "body")); r.Code != policy.OK {
		t.Errorf("valid request afterwards: code %v, want OK", r.Code)
	}
}
