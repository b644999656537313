package middleware_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/middleware"
	"cobaltward/middleware/ginmw"
	"cobaltward/router"

	"github.com/gin-gonic/gin"
	"github.com/go-chi/chi/v5"
)

// TestHandler_LeavesOtherRequestsToApplication checks that the application gets all requests except booking requests.
// The requests arrive unchanged, with their bodies.
func TestHandler_LeavesOtherRequestsToApplication(t *testing.T) {
	var served, passedOn atomic.Int32
	frontend := middleware.New(newRouter(t, newEchoServer(t, &served)))
	url := serve(t, frontend.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		passedOn.Add(1)
		_, _ = io.Copy(w, r.Body)
	})))
	expectServed(t, request(t, url+"/page", "PUT", "", "", "its body", "X-Class", ""), "its body")
	expectServed(t, request(t, url+"/page", "GET", "read", "r1", ""), "served r1")
	if passedOn.Load() != 1 || served.Load() != 1 {
		t.Errorf("%d requests reached the application and %d the server, want 1 each", passedOn.Load(), served.Load())
	}
}

// TestHandler_PassesPanicsOn checks that the handler does not recover a panic of the application, and serves later
// requests.
func TestHandler_PassesPanicsOn(t *testing.T) {
	var served, panics atomic.Int32
	engine := newRouter(t, newEchoServer(t, &served))
	frontend := middleware.New(engine, middleware.WithMatcher(middleware.Path("/api")))
	app := frontend.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("of the application") }))
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				panics.Add(1)
				w.WriteHeader(http.StatusInternalServerError)
			}
		}()
		app.ServeHTTP(w, r)
	}))
	for i := range 5 {
		if status, _ := send(t, request(t, url+"/page", "GET", "read", "x", "")); status != 500 {
			t.Errorf("page that panics: status %d, want 500", status)
		}
		if status, _ := send(t, request(t, url+"/api", "GET", "read", fmt.Sprint("r", i), "")); status != 200 {
			t.Errorf("booking request: status %d, want 200", status)
		}
	}
	if panics.Load() != 5 || served.Load() != 5 {
		t.Errorf("%d panics, %d requests served, want 5 each", panics.Load(), served.Load())
	}
}

// TestHandler_Chi checks that the handler works as chi middleware without an adapter.
func TestHandler_Chi(t *testing.T) {
	var served atomic.Int32
	engine := newRouter(t, newEchoServer(t, &served))
	frontend := middleware.New(engine, middleware.WithMatcher(middleware.Path("/api")))
	mux := chi.NewRouter()
	mux.Use(frontend.Handler)
	mux.Get("/page/{name}", func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, "page ", chi.URLParam(r, "name"))
	})
	url := serve(t, mux)
	expectServed(t, request(t, url+"/page/one", "GET", "", "", ""), "page one")
	expectServed(t, request(t, url+"/api/x", "GET", "read", "r1", ""), "served r1")
}

// TestServeHTTP_ResponseWriterFails checks that the answer is written only once if the ResponseWriter fails, and that
// the next request is served.
func TestServeHTTP_ResponseWriterFails(t *testing.T) {
	var served atomic.Int32
	engine := newRouter(t, newEchoServer(t, &served))
	frontend := middleware.New(engine, middleware.WithWriteTimeout(time.Second))
	broken := &failingWriter{header: make(http.Header)}
	frontend.ServeHTTP(broken, request(t, "http://app/api", "POST", "pay", "r1", "sum"))
	if broken.status != 200 || broken.writes != 1 {
		t.Errorf("status %d after %d writes, want 200 after 1", broken.status, broken.writes)
	}
	rec := httptest.NewRecorder()
	frontend.ServeHTTP(rec, request(t, "http://app/api", "POST", "pay", "r2", "sum"))
	if rec.Code != 200 || rec.Body.String() != "served r2" || served.Load() != 2 {
		t.Errorf("next request: status %d %q, %d requests served in all", rec.Code, rec.Body, served.Load())
	}
	if s := engine.Stats(); s.Retained != 0 || s.Answers[router.Served] != 2 {
		t.Errorf("want no retained request and 2 served, got %+v", s)
	}
}

// failingWriter is a ResponseWriter whose writes of the body fail.
type failingWriter struct {
	header         http.Header
	status, writes int
}

func (w *failingWriter) Header() http.Header { return w.header }
func (w *failingWriter) WriteHeader(s int)   { w.status = s }
func (w *failingWriter) Write([]byte) (int, error) {
	w.writes++
	return 0, errors.New("broken pipe")
}

// TestServeHTTP_RouterClosed checks that requests and readiness checks get status 503 after the router is closed.
func TestServeHTTP_RouterClosed(t *testing.T) {
	var served atomic.Int32
	engine := newRouter(t, newEchoServer(t, &served))
	frontend := middleware.New(engine, middleware.WithReadyPath("/ready"))
	if err := engine.Close(); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]int{"/api": 503, "/ready": 503} {
		rec := httptest.NewRecorder()
		req := request(t, "http://app"+path, "GET", "read", "r1", "")
		req.Body, req.ContentLength = http.NoBody, 0
		if frontend.ServeHTTP(rec, req); rec.Code != want {
			t.Errorf("%s: status %d", path, rec.Code)
		}
	}
}

// pausingEngine delays each answer, like a host that schedules the handler late.
type pausingEngine struct {
	*router.Router
	pause time.Duration
}

// Do implements middleware.Engine.
func (e pausingEngine) Do(ctx context.Context, req router.Request) (router.Answer, error) {
	answer, err := e.Router.Do(ctx, req)
	time.Sleep(e.pause)
	return answer, err
}

// TestTimeoutHandler_NeverRejectsAcceptedRequest checks that only idempotent requests are forwarded behind an
// http.TimeoutHandler, however late the host is. The timeout handler answers 503 at its timeout, although the request
// may have run. That status would tell the client that a retry is safe.
func TestTimeoutHandler_NeverRejectsAcceptedRequest(t *testing.T) {
	const timeout = 400 * time.Millisecond
	hosts := map[string]func(*middleware.Frontend) http.Handler{
		"net/http": func(f *middleware.Frontend) http.Handler { return f.Handler(http.NotFoundHandler()) },
		"gin": func(f *middleware.Frontend) http.Handler {
			gin.SetMode(gin.ReleaseMode)
			engine := gin.New()
			engine.Use(ginmw.New(f))
			return engine
		},
	}
	for host, handler := range hosts {
		for _, pause := range []time.Duration{0, 2 * timeout} {
			for class, forwarded := range map[string]bool{"read": true, "pay": false, "undo": false} {
				t.Run(fmt.Sprintf("%s/%s/late by %v", host, class, pause), func(t *testing.T) {
					t.Parallel()
					addr, received := newHungServer(t)
					engine := newRouter(t, addr)
					frontend := middleware.New(pausingEngine{engine, pause})
					url := serve(t, http.TimeoutHandler(handler(frontend), timeout, "too late"))
					method, body := "POST", "sum"
					if class == "read" {
						method, body = "GET", ""
					}
					status, text := send(t, request(t, url+"/api", method, class, "r1", body, "Idempotency-Key", "k1"))
					if forwarded {
						testkit.Receive(t, "the request", received)
						return
					}
					if attempts := engine.Stats().Attempts; attempts != 0 || status != http.StatusServiceUnavailable {
						t.Errorf("status %d %q after %d attempts, want 503 without an attempt", status, text, attempts)
					}
				})
			}
		}
	}
}

// TestWithTimeout_AnswersForwardedRequest checks that a forwarded request gets status 502 or 504 after the timeout of
// WithTimeout, even from a late host. The request may have run, so the status must not say that a retry is safe.
func TestWithTimeout_AnswersForwardedRequest(t *testing.T) {
	const timeout = 400 * time.Millisecond
	for _, pause := range []time.Duration{0, 2 * timeout} {
		t.Run(fmt.Sprint("late by ", pause), func(t *testing.T) {
			t.Parallel()
			addr, received := newHungServer(t)
			frontend := middleware.New(pausingEngine{newRouter(t, addr), pause}, middleware.WithTimeout(timeout))
			url := serve(t, frontend.Handler(http.NotFoundHandler()))
			status, body := send(t, request(t, url+"/api", "POST", "pay", "r1", "sum"))
			testkit.Receive(t, "the request", received)
			if status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
				t.Errorf("request that may have run: status %d %q, want 502 or 504", status, body)
			}
		})
	}
}

// TestHostDeadline_ForwardsWithoutTimeoutHandler checks that a request whose context has a deadline is forwarded if
// the host has no timeout handler.
func TestHostDeadline_ForwardsWithoutTimeoutHandler(t *testing.T) {
	addr, received := newHungServer(t)
	handler := middleware.New(newRouter(t, addr)).Handler(http.NotFoundHandler())
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), 400*time.Millisecond)
		defer cancel()
		handler.ServeHTTP(w, r.WithContext(ctx))
	}))
	status, body := send(t, request(t, url+"/api", "POST", "pay", "r1", "sum"))
	testkit.Receive(t, "the request", received)
	if status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
		t.Errorf("request that may have run: status %d %q, want 502 or 504", status, body)
	}
}

// TestRoundTrip_ClientDeadline checks that a caller gets an error when its own timeout passes. The caller must not
// get a rejection, because the request may have run.
func TestRoundTrip_ClientDeadline(t *testing.T) {
	addr, received := newHungServer(t)
	engine := newRouter(t, addr)
	const timeout = 400 * time.Millisecond
	for _, pause := range []time.Duration{0, 2 * timeout} {
		client := http.Client{Transport: middleware.New(pausingEngine{engine, pause}).RoundTripper(), Timeout: timeout}
		resp, err := client.Do(request(t, "http://app/api", "POST", "pay", fmt.Sprint("r-", pause), "sum"))
		testkit.Receive(t, "the request", received)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			t.Errorf("answer %v late: request that may have run was rejected with %d", pause, resp.StatusCode)
		}
	}
}

// TestHTTP2_BodyWithoutLengthAndReset checks that a body over HTTP/2 needs no length. It also checks that a stream
// reset by the client counts as a disconnect.
func TestHTTP2_BodyWithoutLengthAndReset(t *testing.T) {
	bodies, aborted := make(chan string, 10), make(chan struct{}, 10)
	engine := newRouter(t, testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- string(body)
		if r.Header.Get("X-Request-Id") == "slow" {
			<-r.Context().Done()
			aborted <- struct{}{}
		}
		_, _ = fmt.Fprint(w, "yes")
	}))
	app := httptest.NewUnstartedServer(middleware.New(engine).Handler(http.NotFoundHandler()))
	app.EnableHTTP2 = true
	app.StartTLS()
	t.Cleanup(app.Close)
	client := app.Client()
	req := request(t, app.URL, "POST", "pay", "r1", "")
	req.Body = io.NopCloser(io.MultiReader(strings.NewReader("of no "), strings.NewReader("length")))
	req.ContentLength = -1
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	body := testkit.Receive(t, "the body at the server", bodies)
	if resp.StatusCode != 200 || resp.ProtoMajor != 2 || body != "of no length" {
		t.Errorf("status %d over %s, server received body %q", resp.StatusCode, resp.Proto, body)
	}
	ctx, disconnect := context.WithCancel(t.Context())
	slow := request(t, app.URL, "POST", "pay", "slow", "x").WithContext(ctx)
	go func() {
		if resp, err := client.Do(slow); err == nil {
			_ = resp.Body.Close()
		}
	}()
	testkit.Receive(t, "the slow request at the server", bodies)
	disconnect()
	testkit.Receive(t, "the cancellation at the server", aborted)
	testkit.Await(t, "the disconnect to be counted", func() bool { return engine.Stats().ClientsGone == 1 })
}

// TestHostRetry_GetsConflict checks that retry middleware of the host cannot make a request run twice. The second
// attempt with the same ID gets status 409, like an attempt at the daemon.
func TestHostRetry_GetsConflict(t *testing.T) {
	var served atomic.Int32
	addr := testkit.RawServer(t, func(_ net.Conn, r *bufio.Reader) {
		if testkit.ReadFullRequest(r) {
			served.Add(1) // the connection is closed without an answer: the request may have run
		}
	})
	frontend := middleware.New(newRouter(t, addr, addr))
	var codes []int
	for range 3 {
		rec := httptest.NewRecorder()
		frontend.ServeHTTP(rec, request(t, "http://app/api", "POST", "pay", "r1", "sum"))
		codes = append(codes, rec.Code)
	}
	if codes[0] != 502 || codes[1] != 409 || codes[2] != 409 || served.Load() != 1 {
		t.Errorf("statuses %v after %d executions, want [502 409 409] after 1", codes, served.Load())
	}
}

// TestExtractors_CustomFields checks that the configured extractors read the fields, and that a field given twice is
// rejected.
func TestExtractors_CustomFields(t *testing.T) {
	var served atomic.Int32
	frontend := middleware.New(newRouter(t, newEchoServer(t, &served)),
		middleware.WithMatcher(middleware.Path("/book")),
		middleware.WithExtractors(middleware.Extractors{
			Class: middleware.Fixed("pay"), ID: middleware.Header("Booking"),
			Tenant: func(r *http.Request) (string, error) {
				if v := r.URL.Query().Get("workspace"); v != "" {
					return v, nil
				}
				return "", errors.New("workspace: missing")
			}, Deadline: middleware.Fixed("8000"),
		}))
	url := serve(t, frontend.Handler(http.NotFoundHandler()))
	for name, test := range map[string]struct {
		url     string
		headers []string
		want    int
	}{
		"good":         {"/book?workspace=w", []string{"Booking", "b1"}, 200},
		"no workspace": {"/book", []string{"Booking", "b2"}, 400},
		"no id":        {"/book?workspace=w", nil, 400},
	} {
		headers := append([]string{"X-Request-Id", "", "X-Class", ""}, test.headers...)
		if status, body := send(t, request(t, url+test.url, "POST", "", "", "x", headers...)); status != test.want {
			t.Errorf("%s: status %d %q", name, status, body)
		}
	}
	req := request(t, url+"/book?workspace=w", "POST", "", "", "x", "Booking", "b3")
	req.Header.Add("Booking", "b4")
	if status, body := send(t, req); status != 400 || !strings.Contains(body, "Booking: given twice") {
		t.Errorf("two IDs: status %d %q, want 400", status, body)
	}
}

// TestDisconnectCheck_BeforeEngine checks that a request is not forwarded if its client has already disconnected.
func TestDisconnectCheck_BeforeEngine(t *testing.T) {
	var served atomic.Int32
	var disconnected atomic.Bool
	check := middleware.WithDisconnectCheck(func(context.Context) bool { return disconnected.Load() })
	engine := newRouter(t, newEchoServer(t, &served))
	url := serve(t, middleware.New(engine, middleware.WithMatcher(middleware.Any), check))
	for i, want := range []int{http.StatusOK, http.StatusGatewayTimeout} {
		disconnected.Store(i == 1)
		if status, _ := send(t, request(t, url, "GET", "read", fmt.Sprint("r", i), "")); status != want {
			t.Errorf("request %d: status %d, want %d", i, status, want)
		}
	}
	if n := served.Load(); n != 1 {
		t.Errorf("%d requests reached the server, want 1", n)
	}
}
