package middleware_test

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(int) {
		http.DefaultClient.CloseIdleConnections()
	}))
}

// settings returns settings with a class of each kind. The class read is idempotent, pay is not idempotent, and undo
// has idempotency keys.
func settings() policy.Settings {
	class := func(name string, idempotency policy.Idempotency) policy.Class {
		return policy.Class{
			Name: name, LatencyObjective: 4 * time.Second, Deadline: 9 * time.Second, Idempotency: idempotency,
		}
	}
	undo := class("undo", policy.IdempotencyKeyed)
	undo.DedupScope, undo.DedupWindow = policy.DedupAll, 4*time.Second
	return policy.Settings{
		Nodes: 1, Zone: "a",
		Classes:      []policy.Class{class("read", policy.Idempotent), class("pay", policy.NonIdempotent), undo},
		Capabilities: policy.Capabilities{Cancel: true, MaxAttempts: 3, RetryAfter: true},
		Rules:        policy.Rules{DrainGrace: 500 * time.Millisecond},
	}
}

func newTransport() router.Transport {
	return http1.New(http1.Config{ConnectTimeout: 2 * time.Second})
}

// endpoints returns an endpoint for each address.
func endpoints(addrs []string) []router.Endpoint {
	var all []router.Endpoint
	for i, addr := range addrs {
		all = append(all, router.Endpoint{ID: fmt.Sprint("s", i), Addr: addr, Zone: "a", Weight: 1})
	}
	return all
}

// newRouter returns a router for the servers at addrs. The router is closed when the test ends.
func newRouter(t testing.TB, addrs ...string) *router.Router {
	t.Helper()
	config := router.Config{Settings: settings(), Endpoints: endpoints(addrs)}
	engine, err := router.New(config, router.WithTransport(newTransport()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = engine.Close() })
	return engine
}

// request returns a request with the headers that clients send. headers holds pairs of names and values. An empty
// value removes the header.
func request(t testing.TB, url, method, class, id, body string, headers ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Class": class, "X-Tenant": "t", "X-Deadline-Ms": "8000",
	} {
		req.Header.Set(name, value)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		if req.Header.Del(headers[i]); headers[i+1] != "" {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	return req
}

// serve runs an HTTP server with handler until the test ends, and returns the server's URL.
func serve(t testing.TB, handler http.Handler, configure ...func(*httptest.Server)) string {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	for _, apply := range configure {
		apply(server)
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

// send sends req over a new connection, and returns the status and body of the answer.
func send(t testing.TB, req *http.Request) (status int, body string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(content)
}

// expectServed sends req over a new connection, and requires status 200 and wantBody.
func expectServed(t testing.TB, req *http.Request, wantBody string) {
	t.Helper()
	if status, body := send(t, req); status != 200 || body != wantBody {
		t.Errorf("%s %s: status %d %q, want 200 %q", req.Method, req.URL.Path, status, body, wantBody)
	}
}

// newEchoServer starts an app server that answers with the request ID and counts requests in served. It returns the
// server's address.
func newEchoServer(t testing.TB, served *atomic.Int32) string {
	return testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		served.Add(1)
		_, _ = fmt.Fprint(w, "served ", r.Header.Get("X-Request-Id"))
	})
}

// newHungServer starts an app server that never answers. The channel received gets the ID of each request.
func newHungServer(t testing.TB) (addr string, received chan string) {
	received = make(chan string, 100)
	return testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		received <- r.Header.Get("X-Request-Id")
		<-r.Context().Done()
	}), received
}
