package middleware_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"cobaltward/middleware"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"
)

// newExample returns a router with a single server.
func newExample(server *httptest.Server) (*router.Router, error) {
	class := policy.Class{
		Name: "hladanie", LatencyObjective: 600 * time.Millisecond, Deadline: 3 * time.Second,
		Idempotency: policy.Idempotent,
	}
	return router.New(router.Config{
		Settings: policy.Settings{
			Nodes: 1, Classes: []policy.Class{class}, Capabilities: policy.Capabilities{MaxAttempts: 3},
		},
		Endpoints: []router.Endpoint{{ID: "one", Addr: server.Listener.Addr().String(), Weight: 1}},
	}, router.WithTransport(http1.New(http1.Config{})))
}

// The Frontend answers booking requests, and the application serves its other pages itself.
func ExampleFrontend_Handler() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "two rooms are free")
	}))
	defer server.Close()
	engine, err := newExample(server)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = engine.Close() }()
	frontend := middleware.New(engine,
		middleware.WithMatcher(middleware.Path("/api")), middleware.WithReadyPath("/health/ready"))
	pages := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "welcome") })
	app := httptest.NewServer(frontend.Handler(pages))
	defer app.Close()

	get := func(path string) {
		req, _ := http.NewRequest(http.MethodGet, app.URL+path, nil)
		req.Header.Set("X-Request-Id", "r1")
		req.Header.Set("X-Class", "hladanie")
		req.Header.Set("X-Deadline-Ms", "2000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			fmt.Println(err)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		fmt.Println(path, resp.StatusCode, string(body))
	}
	get("/")
	get("/api/rooms?town=nitra")
	// Output:
	// / 200 welcome
	// /api/rooms?town=nitra 200 two rooms are free
}

// The application's own requests go through the engine. They get a request ID and a deadline.
func ExampleFrontend_RoundTripper() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "%s for %s", r.URL.Path, strings.ToUpper(r.Host))
	}))
	defer server.Close()
	engine, err := newExample(server)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = engine.Close() }()
	client := &http.Client{Transport: middleware.New(engine).RoundTripper()}
	req, _ := http.NewRequest(http.MethodGet, "http://rooms.svc/api/rooms", nil)
	req.Header.Set("X-Class", "hladanie")
	resp, err := client.Do(req)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	fmt.Println(resp.StatusCode, string(body))
	// Output:
	// 200 /api/rooms for ROOMS.SVC
}
