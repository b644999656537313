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

// TestHandler_LeavesOtherRequestsToApplication: a request that is no booking request reaches the application unchanged,
// with its body; a booking request does not reach it.
func TestHandler_LeavesOtherRequestsToApplication(t *testing.T) {
	var served, left atomic.Int32
	frontend := middleware.New(newRouter(t, newEchoServer(t, &served)))
	url := serve(t, frontend.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		left.Add(1)
		_, _ = io.Copy(w, r.Body)
	})))
	expectServed(t, request(t, url+"/page", "PUT", "", "", "its body", "X-Class", ""), "its body")
	expectServed(t, request(t, url+"/page", "GET", "read", "r1", ""), "served r1")
	if left.Load() != 1 || served.Load() != 1 {
		t.Errorf("%d to the application, %d to the server", left.Load(), served.Load())
	}
}

// TestHandler_PassesPanicsOn: a panic of the application is not recovered, and the next requests are served.
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
			t.Errorf("the page that panics: %d", status)
		}
		if status, _ := send(t, request(t, url+"/api", "GET", "read", fmt.Sprint("r", i), "")); status != 200 {
			t.Errorf("a booking request: %d", status)
		}
	}
	if panics.Load() != 5 || served.Load() != 5 {
		t.Errorf("%d panics, %d served", panics.Load(), served.Load())
	}
}

// TestHandler_Chi: the handler works as chi middleware without an adapter.
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

// TestServeHTTP_ResponseWriterFails: a ResponseWriter that fails ends its request once, and the next request is served.
func TestServeHTTP_ResponseWriterFails(t *testing.T) {
	var served atomic.Int32
	engine := newRouter(t, newEchoServer(t, &served))
	frontend := middleware.New(engine, middleware.WithWriteTimeout(time.Second))
	broken := &brokenWriter{header: make(http.Header)}
	frontend.ServeHTTP(broken, request(t, "http://app/api", "POST", "pay", "r1", "sum"))
	if broken.status != 200 || broken.writes != 1 {
		t.Errorf("status %d after %d writes", broken.status, broken.writes)
	}
	rec := httptest.NewRecorder()
	frontend.ServeHTTP(rec, request(t, "http://app/api", "POST", "pay", "r2", "sum"))
	if rec.Code != 200 || rec.Body.String() != "served r2" || served.Load() != 2 {
		t.Errorf("the next: %d %q, %d served", rec.Code, rec.Body, served.Load())
	}
	if s := engine.Stats(); s.Retained != 0 || s.Answers[router.Served] != 2 {
		t.Errorf("%+v", s)
	}
}

// brokenWriter is a ResponseWriter that fails to write the body.
type brokenWriter struct {
	header         http.Header
	status, writes int
}

func (w *brokenWriter) Header() http.Header { return w.header }
func (w *brokenWriter) WriteHeader(s int)   { w.status = s }
func (w *brokenWriter) Write([]byte) (int, error) {
	w.writes++
	return 0, errors.New("broken pipe")
}

// TestServeHTTP_RouterClosed: with a closed router requests are rejected.
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
			t.Errorf("%s: %d", path, rec.Code)
		}
	}
}

// lateEngine is the engine of a host that runs late: each answer comes after a pause.
type lateEngine struct {
	*router.Router
	pause time.Duration
}

// Do implements middleware.Engine.
func (e lateEngine) Do(ctx context.Context, req router.Request) (router.Answer, error) {
	answer, err := e.Router.Do(ctx, req)
	time.Sleep(e.pause)
	return answer, err
}

// TestTimeoutHandler_NeverRejectsAcceptedRequest: http.TimeoutHandler answers 503 at its timeout, which would tell
// the client of a request that may have run that a retry is harmless. However late the host runs, no request that must
// not run twice reaches a server behind it, while an idempotent one does.
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
					frontend := middleware.New(lateEngine{engine, pause})
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
						t.Errorf("%d %q after %d attempts, want 503 before any", status, text, attempts)
					}
				})
			}
		}
	}
}

// TestWithTimeout_AnswersForwardedRequest: the timeout of the middleware itself answers a request that may have run
// with a failure that promises nothing, also where the host runs late.
func TestWithTimeout_AnswersForwardedRequest(t *testing.T) {
	const timeout = 400 * time.Millisecond
	for _, pause := range []time.Duration{0, 2 * timeout} {
		t.Run(fmt.Sprint("late by ", pause), func(t *testing.T) {
			t.Parallel()
			addr, received := newHungServer(t)
			frontend := middleware.New(lateEngine{newRouter(t, addr), pause}, middleware.WithTimeout(timeout))
			url := serve(t, frontend.Handler(http.NotFoundHandler()))
			status, body := send(t, request(t, url+"/api", "POST", "pay", "r1", "sum"))
			testkit.Receive(t, "the request", received)
			if status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
				t.Errorf("a request that may have run: %d %q, want a failure that promises nothing", status, body)
			}
		})
	}
}

// TestHostDeadline_ForwardsWithoutTimeoutHandler: a deadline of the host's context alone rejects nothing, since no
// handler answers in place of the middleware.
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
		t.Errorf("%d %q, want a failure that promises nothing", status, body)
	}
}

// TestRoundTrip_ClientDeadline: a caller whose own deadline passes gets an error, never a rejection.
func TestRoundTrip_ClientDeadline(t *testing.T) {
	addr, received := newHungServer(t)
	engine := newRouter(t, addr)
	const timeout = 400 * time.Millisecond
	for _, pause := range []time.Duration{0, 2 * timeout} {
		client := http.Client{Transport: middleware.New(lateEngine{engine, pause}).RoundTripper(), Timeout: timeout}
		resp, err := client.Do(request(t, "http://app/api", "POST", "pay", fmt.Sprint("r-", pause), "sum"))
		testkit.Receive(t, "the request", received)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			t.Errorf("late by %v: a request that may have run: %d", pause, resp.StatusCode)
		}
	}
}

// TestHTTP2_BodyWithoutLengthAndReset: by HTTP/2 a body needs no length, and a stream that its client resets counts
// as a disconnect.
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
	body := testkit.Receive(t, "the body", bodies)
	if resp.StatusCode != 200 || resp.ProtoMajor != 2 || body != "of no length" {
		t.Errorf("%d over %s, body %q", resp.StatusCode, resp.Proto, body)
	}
	ctx, disconnect := context.WithCancel(t.Context())
	slow := request(t, app.URL, "POST", "pay", "slow", "x").WithContext(ctx)
	go func() {
		if resp, err := client.Do(slow); err == nil {
			_ = resp.Body.Close()
		}
	}()
	testkit.Receive(t, "the slow request", bodies)
	disconnect()
	testkit.Receive(t, "its end at the server", aborted)
	testkit.Await(t, "the disconnect to count", func() bool { return engine.Stats().ClientsGone == 1 })
}

// TestHostRetry_GetsConflict: a host's own retry middleware can't have a request run twice. Its second attempt under
// the same ID gets the conflict that the daemon gives.
func TestHostRetry_GetsConflict(t *testing.T) {
	var served atomic.Int32
	addr := testkit.RawServer(t, func(_ net.Conn, r *bufio.Reader) {
		if testkit.ReadFullRequest(r) {
			served.Add(1) // and the connection breaks: the request may have run
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
		t.Errorf("codes %v, ran %d times", codes, served.Load())
	}
}

// TestExtractors_CustomFields: fields are read where the extractors say, and a field that is given twice is rejected.
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
			t.Errorf("%s: %d %q", name, status, body)
		}
	}
	req := request(t, url+"/book?workspace=w", "POST", "", "", "x", "Booking", "b3")
	req.Header.Add("Booking", "b4")
	if status, body := send(t, req); status != 400 || !strings.Contains(body, "Booking: given twice") {
		t.Errorf("two ids: %d %q", status, body)
	}
}

// TestDisconnectCheck_BeforeEngine: a request whose client has disconnected before it is handed on reaches no server.
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
		t.Errorf("%d attempts", n)
	}
}
