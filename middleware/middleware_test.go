package middleware_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/middleware"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"

	"github.com/go-chi/chi/v5"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		http.DefaultClient.CloseIdleConnections()
	}))
}

func settings() policy.Settings {
	return policy.Settings{
		Nodes: 1, Zone: "a",
		Classes: []policy.Class{
			{Name: "read", LatencyObjective: 4 * time.Second, Deadline: 9 * time.Second, Idempotency: policy.Idempotent},
			{Name: "pay", LatencyObjective: 4 * time.Second, Deadline: 9 * time.Second, Idempotency: policy.NonIdempotent},
			{Name: "undo", LatencyObjective: 4 * time.Second, Deadline: 9 * time.Second, Idempotency: policy.IdempotencyKeyed, DedupScope: policy.DedupAll, DedupWindow: 4 * time.Second},
		},
		Capabilities: policy.Capabilities{Cancel: true, MaxAttempts: 3, RetryAfter: true},
		Rules:        policy.Rules{DrainGrace: 500 * time.Millisecond},
	}
}

// newRouter routes to the servers at the addresses, and closes with the test.
func newRouter(t testing.TB, addrs ...string) *router.Router {
	t.Helper()
	c := router.Config{Settings: settings()}
	for i, a := range addrs {
		c.Endpoints = append(c.Endpoints, router.Endpoint{ID: fmt.Sprint("s", i), Addr: a, Zone: "a", Weight: 1})
	}
	r, err := router.New(c, router.WithTransport(http1.New(http1.Config{ConnectTimeout: 2 * time.Second})))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r
}

// request is one as clients send it; headers are pairs, and an empty value takes one out.
func request(t testing.TB, url, method, class, id, body string, headers ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Tenant": "t", "X-Deadline-Ms": "8000"} {
		req.Header.Set(k, v)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		if req.Header.Del(headers[i]); headers[i+1] != "" {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	return req
}

// serve runs an application, and returns its URL.
func serve(t testing.TB, h http.Handler, change ...func(*httptest.Server)) string {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	for _, c := range change {
		c(s)
	}
	s.Start()
	t.Cleanup(s.Close)
	return s.URL
}

func get(t testing.TB, c *http.Client, req *http.Request) (int, string) {
	t.Helper()
	resp, err := c.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func fresh() *http.Client { return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}} }

// echo is an app server that answers with the id it was sent, and counts.
func echo(t testing.TB, reached *atomic.Int32) string {
	return testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		reached.Add(1)
		fmt.Fprint(w, "served ", r.Header.Get("X-Request-Id"))
	})
}

// hang is an app server that answers nobody, and tells of each request it has got.
func hang(t testing.TB) (addr string, got chan string) {
	got = make(chan string, 100)
	return testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		got <- r.Header.Get("X-Request-Id")
		<-r.Context().Done()
	}), got
}

// What is not a booking request reaches the application as it came, body and all; what is does not.
func TestLeavesTheRestToTheApplication(t *testing.T) {
	var reached, own atomic.Int32
	f := middleware.New(newRouter(t, echo(t, &reached)))
	url := serve(t, f.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		own.Add(1)
		_, _ = io.Copy(w, r.Body)
	})))
	if status, body := get(t, fresh(), request(t, url+"/page", "PUT", "", "", "its body", "X-Class", "")); status != 200 || body != "its body" {
		t.Errorf("the application's page: %d %q", status, body)
	}
	if status, body := get(t, fresh(), request(t, url+"/page", "GET", "read", "r1", "")); status != 200 || body != "served r1" {
		t.Errorf("the booking request: %d %q", status, body)
	}
	if own.Load() != 1 || reached.Load() != 1 {
		t.Errorf("%d to the application, %d to the server", own.Load(), reached.Load())
	}
}

// A panic in the application is the application's: the middleware neither swallows it nor suffers.
func TestPanicsAreTheApplications(t *testing.T) {
	var reached, panics atomic.Int32
	f := middleware.New(newRouter(t, echo(t, &reached)), middleware.WithMatcher(middleware.Path("/api")))
	app := f.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("the application's own") }))
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
		if status, _ := get(t, fresh(), request(t, url+"/page", "GET", "read", "x", "")); status != 500 {
			t.Errorf("the page that panics: %d", status)
		}
		if status, _ := get(t, fresh(), request(t, url+"/api", "GET", "read", fmt.Sprint("r", i), "")); status != 200 {
			t.Errorf("a booking request: %d", status)
		}
	}
	if panics.Load() != 5 || reached.Load() != 5 {
		t.Errorf("%d panics, %d served", panics.Load(), reached.Load())
	}
}

// A ResponseWriter that fails half-way ends the request once, and the next one is served.
func TestResponseWriterThatFails(t *testing.T) {
	var reached atomic.Int32
	r := newRouter(t, echo(t, &reached))
	f := middleware.New(r, middleware.WithWriteTimeout(time.Second))
	w := &brokenWriter{header: make(http.Header)}
	f.ServeHTTP(w, request(t, "http://app/api", "POST", "pay", "r1", "sum"))
	if w.status != 200 || w.writes != 1 {
		t.Errorf("status %d after %d writes", w.status, w.writes)
	}
	rec := httptest.NewRecorder()
	f.ServeHTTP(rec, request(t, "http://app/api", "POST", "pay", "r2", "sum"))
	if rec.Code != 200 || rec.Body.String() != "served r2" || reached.Load() != 2 {
		t.Errorf("the next: %d %q, %d reached", rec.Code, rec.Body, reached.Load())
	}
	if s := r.Stats(); s.Retained != 0 || s.Answers[router.Served] != 2 {
		t.Errorf("%+v", s)
	}
}

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

// http.TimeoutHandler answers 503 once its time is up, which would tell the client of a booking that
// may have run that trying again is harmless. The middleware is done before: it knows the deadline.
func TestTimeoutHandlerNeverTellsARefusal(t *testing.T) {
	addr, got := hang(t)
	f := middleware.New(newRouter(t, addr))
	url := serve(t, http.TimeoutHandler(f.Handler(http.NotFoundHandler()), 400*time.Millisecond, "too late"))
	status, body := get(t, fresh(), request(t, url+"/api", "POST", "pay", "r1", "sum"))
	if testkit.Receive(t, "the request", got); status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
		t.Errorf("a booking that may have run: %d %q, want a failure that promises nothing", status, body)
	}
}

// A body that a handler ahead has read, in whole or in part, is not taken for a shorter one.
func TestBodyThatWasReadAlready(t *testing.T) {
	var reached atomic.Int32
	f := middleware.New(newRouter(t, echo(t, &reached)))
	for _, part := range []int64{3, 100} {
		url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, part)
			f.ServeHTTP(w, r)
		}))
		if status, _ := get(t, fresh(), request(t, url, "POST", "pay", "r1", "the sum")); status != 400 {
			t.Errorf("after %d bytes: %d", part, status)
		}
	}
	// One that keeps what it has read hands on the whole.
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kept, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(kept))
		f.ServeHTTP(w, r)
	}))
	if status, body := get(t, fresh(), request(t, url, "POST", "pay", "r1", "the sum")); status != 200 || reached.Load() != 1 {
		t.Errorf("handed on: %d %q", status, body)
	}
}

// Over HTTP/2 a body needs no length, and a stream that its client resets is a departure.
func TestHTTP2TowardsTheApplication(t *testing.T) {
	got, left := make(chan string, 10), make(chan struct{}, 10)
	addr := testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- string(body)
		if r.Header.Get("X-Request-Id") == "slow" {
			<-r.Context().Done()
			left <- struct{}{}
		}
		fmt.Fprint(w, "yes")
	})
	r := newRouter(t, addr)
	f := middleware.New(r)
	app := httptest.NewUnstartedServer(f.Handler(http.NotFoundHandler()))
	app.EnableHTTP2 = true
	app.StartTLS()
	t.Cleanup(app.Close)
	client := app.Client()
	req := request(t, app.URL, "POST", "pay", "r1", "")
	req.Body, req.ContentLength = io.NopCloser(io.MultiReader(strings.NewReader("of no "), strings.NewReader("length"))), -1
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if body := testkit.Receive(t, "the body", got); resp.StatusCode != 200 || resp.ProtoMajor != 2 || body != "of no length" {
		t.Errorf("%d over %s, body %q", resp.StatusCode, resp.Proto, body)
	}
	ctx, leave := context.WithCancel(t.Context())
	slow := request(t, app.URL, "POST", "pay", "slow", "x").WithContext(ctx)
	go func() {
		if resp, err := client.Do(slow); err == nil {
			resp.Body.Close()
		}
	}()
	testkit.Receive(t, "the slow request", got)
	leave()
	testkit.Receive(t, "its end at the server", left)
	testkit.Await(t, "the departure", func() bool { return r.Stats().ClientsGone == 1 })
}

// A host's own retry middleware can't run a booking twice: the second try under the same id gets the
// conflict that the daemon gives.
func TestRetryMiddlewareOfTheHostGetsAConflict(t *testing.T) {
	var reached atomic.Int32
	addr := testkit.RawServer(t, func(_ net.Conn, r *bufio.Reader) {
		if testkit.Swallow(r) {
			reached.Add(1) // and breaks the connection: it may have run
		}
	})
	f := middleware.New(newRouter(t, addr, addr))
	var codes []int
	for range 3 { // as a retry middleware plays the request again until it is served
		rec := httptest.NewRecorder()
		f.ServeHTTP(rec, request(t, "http://app/api", "POST", "pay", "r1", "sum"))
		codes = append(codes, rec.Code)
	}
	if codes[0] != 502 || codes[1] != 409 || codes[2] != 409 || reached.Load() != 1 {
		t.Errorf("codes %v, ran %d times", codes, reached.Load())
	}
}

// Once the router is closed, the middleware refuses: nothing was taken.
func TestClosedRouterRefuses(t *testing.T) {
	var reached atomic.Int32
	r := newRouter(t, echo(t, &reached))
	f := middleware.New(r, middleware.WithReadyPath("/ready"))
	r.Close()
	for path, want := range map[string]int{"/api": 503, "/ready": 503} {
		rec := httptest.NewRecorder()
		req := request(t, "http://app"+path, "GET", "read", "r1", "")
		req.Body, req.ContentLength = http.NoBody, 0
		if f.ServeHTTP(rec, req); rec.Code != want {
			t.Errorf("%s: %d", path, rec.Code)
		}
	}
}

// The time that a body may take, of the host's server as well, does not cut off a client that waits
// for its answer.
func TestReadTimeoutOfTheHostBindsTheBodyOnly(t *testing.T) {
	addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(600 * time.Millisecond)
	})
	f := middleware.New(newRouter(t, addr), middleware.WithBodyTimeout(0))
	url := serve(t, f, func(s *httptest.Server) { s.Config.ReadTimeout = 300 * time.Millisecond })
	if status, _ := get(t, fresh(), request(t, url, "POST", "pay", "r1", "sum")); status != 200 {
		t.Errorf("%d", status)
	}
}

// chi needs no middleware of its own, also in a group of routes.
func TestChi(t *testing.T) {
	var reached atomic.Int32
	f := middleware.New(newRouter(t, echo(t, &reached)), middleware.WithMatcher(middleware.Path("/api")))
	mux := chi.NewRouter()
	mux.Use(f.Handler)
	mux.Get("/page/{name}", func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "page ", chi.URLParam(r, "name")) })
	url := serve(t, mux)
	if status, body := get(t, fresh(), request(t, url+"/page/one", "GET", "", "", "")); status != 200 || body != "page one" {
		t.Errorf("the application's page: %d %q", status, body)
	}
	if status, body := get(t, fresh(), request(t, url+"/api/x", "GET", "read", "r1", "")); status != 200 || body != "served r1" {
		t.Errorf("the booking request: %d %q", status, body)
	}
}

// Fields come from where the extractors say, and a field that is given twice is refused.
func TestExtractors(t *testing.T) {
	var reached atomic.Int32
	f := middleware.New(newRouter(t, echo(t, &reached)), middleware.WithMatcher(middleware.Path("/book")),
		middleware.WithExtractors(middleware.Extractors{
			Class: middleware.Fixed("pay"), ID: middleware.Header("Booking"),
			Tenant: func(r *http.Request) (string, error) {
				if v := r.URL.Query().Get("workspace"); v != "" {
					return v, nil
				}
				return "", errors.New("workspace: missing")
			}, Deadline: middleware.Fixed("8000"),
		}))
	url := serve(t, f.Handler(http.NotFoundHandler()))
	for name, c := range map[string]struct {
		url     string
		headers []string
		want    int
	}{
		"good":         {"/book?workspace=w", []string{"Booking", "b1"}, 200},
		"no workspace": {"/book", []string{"Booking", "b2"}, 400},
		"no id":        {"/book?workspace=w", nil, 400},
	} {
		req := request(t, url+c.url, "POST", "", "", "x", append([]string{"X-Request-Id", "", "X-Class", ""}, c.headers...)...)
		if status, body := get(t, fresh(), req); status != c.want {
			t.Errorf("%s: %d %q", name, status, body)
		}
	}
	req := request(t, url+"/book?workspace=w", "POST", "", "", "x", "Booking", "b3")
	req.Header.Add("Booking", "b4")
	if status, body := get(t, fresh(), req); status != 400 || !strings.Contains(body, "Booking: given twice") {
		t.Errorf("two ids: %d %q", status, body)
	}
}

// The application's own client routes through the engine, and gets what a client of the middleware
// gets.
func TestRoundTripper(t *testing.T) {
	var reached atomic.Int32
	r := newRouter(t, echo(t, &reached))
	client := &http.Client{Transport: middleware.New(r).RoundTripper()}
	call := func(method, class, body string, headers ...string) (int, string, error) {
		req := request(t, "http://origin.svc/api", method, class, "", body, headers...)
		resp, err := client.Do(req)
		if err != nil {
			return 0, "", err
		}
		defer resp.Body.Close()
		got, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(got), err
	}
	if status, body, err := call("POST", "pay", "sum", "X-Request-Id", "mine"); status != 200 || body != "served mine" || err != nil {
		t.Errorf("%d %q %v", status, body, err)
	}
	if status, _, err := call("POST", "pay", "sum", "X-Request-Id", "mine"); status != 409 || err != nil {
		t.Errorf("the same id again: %d %v", status, err)
	}
	if status, body, err := call("GET", "read", "", "X-Deadline-Ms", ""); status != 200 || len(body) < len("served ")+32 || err != nil {
		t.Errorf("without an id or a deadline: %d %q %v", status, body, err)
	}
	for want, c := range map[string][3]string{
		"X-Class: unknown":         {"GET", "other", ""},
		"this class takes POST":    {"GET", "pay", ""},
		"a GET has no body":        {"GET", "read", "x"},
		"Idempotency-Key: missing": {"POST", "undo", "x"},
		"over 64 KiB":              {"POST", "pay", strings.Repeat("x", 64<<10+1)},
	} {
		if _, _, err := call(c[0], c[1], c[2]); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
	if reached.Load() != 2 {
		t.Errorf("%d reached the server", reached.Load())
	}
	r.Close()
	if _, _, err := call("GET", "read", ""); !errors.Is(err, router.ErrClosed) {
		t.Errorf("after Close: %v", err)
	}
}

// A context that ends takes the call with it, and the attempt is called off.
func TestRoundTripperHeedsItsContext(t *testing.T) {
	addr, got := hang(t)
	r := newRouter(t, addr)
	client := &http.Client{Transport: middleware.New(r).RoundTripper()}
	ctx, leave := context.WithCancel(t.Context())
	var ended sync.WaitGroup
	ended.Go(func() {
		resp, err := client.Do(request(t, "http://origin.svc/api", "POST", "pay", "r1", "sum").WithContext(ctx))
		if err == nil {
			resp.Body.Close()
		}
		if !errors.Is(err, context.Canceled) {
			t.Errorf("got %v", err)
		}
	})
	testkit.Receive(t, "the request", got)
	leave()
	ended.Wait()
	testkit.Await(t, "the end of the attempt", func() bool { s := r.Stats(); return s.AttemptsInFlight == 0 && s.Retained == 0 })
}

// A host whose threads are all taken, with garbage to collect: each request has one answer, no booking
// runs twice, and the lag is shown.
func TestHostWithoutThreadsToSpare(t *testing.T) {
	var mu sync.Mutex
	ran := make(map[string]int)
	addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		ran[r.Header.Get("X-Request-Id")]++
		mu.Unlock()
	})
	r := newRouter(t, addr, addr, addr)
	f := middleware.New(r)
	url := serve(t, f)
	var spinning, clients sync.WaitGroup
	var kept atomic.Pointer[[]byte]
	end := time.Now().Add(1200 * time.Millisecond)
	for range 2 * runtime.GOMAXPROCS(0) {
		spinning.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				b := make([]byte, 32<<10)
				for i := range b {
					b[i] = byte(n * i)
				}
				kept.Store(&b)
			}
		})
	}
	var codes [600]atomic.Int32
	for i := range 8 {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprint("r", i, "-", n)
				status, _ := get(t, fresh(), request(t, url, "POST", "pay", id, "sum", "X-Deadline-Ms", "150"))
				codes[status].Add(1)
				mu.Lock()
				if ran[id] > 1 || status == 200 && ran[id] != 1 || (status == 429 || status == 503) && ran[id] != 0 {
					t.Errorf("%s: %d, and it ran %d times", id, status, ran[id])
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	spinning.Wait()
	if s := r.Stats(); s.Lag.Max <= 0 || s.Retained != 0 || len(s.OpenByClass) != 0 {
		t.Errorf("%+v", s)
	}
	if codes[200].Load() == 0 {
		t.Error("not one was served")
	}
}

// Reloads over real sockets, with servers that come and go: no descriptor and no goroutine is left, and
// the newest list holds. RELOADS in the environment asks for more than CI's count.
func TestReloadsLeaveNothing(t *testing.T) {
	n := 30
	if more, err := strconv.Atoi(os.Getenv("RELOADS")); err == nil && more > 0 {
		n = more
	}
	descriptors := func() int {
		all, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Skip("descriptors can't be counted here")
		}
		return len(all)
	}
	var reached atomic.Int32
	var addrs []string
	for range 4 {
		addrs = append(addrs, echo(t, &reached))
	}
	config := func(i int) router.Config {
		c := router.Config{Settings: settings()}
		c.Settings.Classes[i%3].Deadline += time.Duration(i) * time.Millisecond
		for j, a := range addrs[:2+i%3] {
			c.Endpoints = append(c.Endpoints, router.Endpoint{ID: fmt.Sprint("s", j), Addr: a, Zone: "a", Weight: 1})
		}
		return c
	}
	before := descriptors()
	r, err := router.New(config(0), router.WithTransport(http1.New(http1.Config{ConnectTimeout: 2 * time.Second})))
	if err != nil {
		t.Fatal(err)
	}
	f := middleware.New(r)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for c := range 4 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				rec := httptest.NewRecorder()
				f.ServeHTTP(rec, request(t, "http://app/api", "POST", "pay", fmt.Sprint(c, "-", i), "sum"))
				if rec.Code != 200 && rec.Code != 503 {
					t.Errorf("%d", rec.Code)
				}
			}
		})
	}
	for i := 1; i <= n; i++ {
		if err := r.Reload(config(i)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	if s := r.Stats(); s.Reloads != uint64(n) || s.EndpointsByAvailability[policy.Running] != 2+n%3 || s.Retained != 0 {
		t.Errorf("%+v", s)
	}
	r.Close()
	testkit.Await(t, "the descriptors", func() bool { return descriptors() <= before })
}

// A client that asks for the close itself, and is still sending when it is refused, reads the answer and
// an orderly end, not a reset.
func TestRefusedWhileSendingIsNotReset(t *testing.T) {
	var reached atomic.Int32
	url := serve(t, middleware.New(newRouter(t, echo(t, &reached))))
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const size = 64<<10 + 1
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Request-Id: r1\r\nX-Class: pay\r\nX-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", size)
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("%v, %v", resp, err)
	}
	time.Sleep(50 * time.Millisecond) // a server that closes at once has done so by now
	for sent := 0; sent < size; sent += 1 << 10 {
		if _, err := c.Write(make([]byte, min(1<<10, size-sent))); err != nil {
			t.Fatalf("after %d bytes: %v", sent, err)
		}
	}
	if _, err := io.Copy(io.Discard, in); err != nil {
		t.Errorf("the end: %v", err)
	}
	if reached.Load() != 0 {
		t.Error("it reached the server")
	}
}

// A request whose client has left before it was handed on reaches no server.
func TestDepartureBeforeTheEngine(t *testing.T) {
	var reached atomic.Int32
	r := newRouter(t, echo(t, &reached))
	left := atomic.Bool{}
	url := serve(t, middleware.New(r, middleware.WithMatcher(middleware.Any), middleware.WithDisconnectCheck(func(context.Context) bool { return left.Load() })))
	for i, want := range []int{http.StatusOK, http.StatusGatewayTimeout} {
		left.Store(i == 1)
		if status, _ := get(t, fresh(), request(t, url, "GET", "read", fmt.Sprint("r", i), "")); status != want {
			t.Errorf("request %d: status %d, want %d", i, status, want)
		}
	}
	if n := reached.Load(); n != 1 {
		t.Errorf("%d attempts", n)
	}
}
