package conformance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cobaltward/discovery/registry"
	"cobaltward/internal/node"
	"cobaltward/internal/testkit"
	"cobaltward/middleware"
	"cobaltward/middleware/ginmw"
	"cobaltward/router"
	"cobaltward/transport/http1"

	"github.com/gin-gonic/gin"
)

const (
	maxWait   = testkit.MaxWait
	readyPath = "/health/ready"

	// Limits and timeouts of the builds.
	maxBody        = 64 << 10
	maxID          = 128
	headerTimeout  = 2500 * time.Millisecond
	minDescriptors = 64
	maxClients     = 16 // maximum number of client connections with minDescriptors
	maxHeader      = 16 << 10
)

// build is one of the tested ways to serve clients.
type build struct {
	name string
	// serve serves clients on ln until ctx is cancelled, and then shuts down gracefully.
	serve func(ctx context.Context, c node.Config, ln net.Listener) error
	// exceptions maps the name of each case that does not apply to the build to the reason. docs/library.md lists the
	// exceptions.
	exceptions map[string]string
	// anyFraming is set if the build forwards bodies of more than maxBody bytes and every framing of HTTP/1.1, such
	// as chunked bodies.
	anyFraming bool
}

var builds = []build{
	{name: "daemon", anyFraming: true, serve: func(ctx context.Context, c node.Config, ln net.Listener) error {
		return node.Run(ctx, c, ln, nil, slog.New(slog.DiscardHandler))
	}},
	{name: "daemon with TLS", anyFraming: true, serve: serveWithTLS},
	{name: "middleware", exceptions: hostOwnsListener, serve: serveMiddleware},
	{name: "gin", exceptions: hostOwnsListener, serve: serveGin},
}

func serveMiddleware(ctx context.Context, c node.Config, ln net.Listener) error {
	return serveApplication(ctx, c, ln,
		func(f *middleware.Frontend, app http.Handler) http.Handler { return f.Handler(app) })
}

func serveGin(ctx context.Context, c node.Config, ln net.Listener) error {
	return serveApplication(ctx, c, ln, func(f *middleware.Frontend, app http.Handler) http.Handler {
		gin.SetMode(gin.ReleaseMode)
		engine := gin.New()
		engine.Use(ginmw.New(f))
		engine.NoRoute(gin.WrapH(app))
		return engine
	})
}

var hostOwnsListener = map[string]string{
	"IdleConnectionsAreEvicted": "the application owns the listener, so the middleware cannot limit its connections",
}

// serveApplication runs an application that embeds the middleware with wrap. The application has its own net/http
// server and pages, and shuts down the router before it closes the server.
func serveApplication(
	ctx context.Context, c node.Config, ln net.Listener,
	wrap func(*middleware.Frontend, http.Handler) http.Handler,
) error {
	server := &http.Server{
		ReadHeaderTimeout: headerTimeout, IdleTimeout: 15 * time.Second, MaxHeaderBytes: maxHeader,
		DisableGeneralOptionsHandler: true, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelWarn),
	}
	engine, err := newEngine(c, server)
	if err != nil {
		return err
	}
	defer func() { _ = engine.Close() }()
	app := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "the application's own page")
	})
	matcher := middleware.WithMatcher(middleware.Path("/api"))
	server.Handler = wrap(middleware.New(engine, matcher, middleware.WithReadyPath(readyPath)), app)
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := engine.Drain(drainCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	_ = server.Close()
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newEngine(c node.Config, server *http.Server) (*router.Router, error) {
	source := registry.Config{
		Addr: c.Discovery, Revision: c.InitialList.Revision, Subscribe: c.Settings.Subscribe,
	}
	config := router.Config{
		Settings: c.Settings, MaxInFlight: c.MaxInFlight, Seed: c.Seed, Endpoints: c.InitialList.Endpoints,
	}
	return router.New(config,
		router.WithTransport(http1.New(http1.Config{MaxConns: 100, ConnectTimeout: c.ConnectTimeout})),
		router.WithEndpointSource(registry.New(source)),
		router.WithListener(server))
}

const testSettings = `{"position":0,"groupSize":1,"zone":"a",
	"services":[{"name":"read","aim":4000,"deadline":9000,"repeat":"free"},
		{"name":"pay","aim":4000,"deadline":9000,"repeat":"single_shot"},
		{"name":"undo","aim":4000,"deadline":9000,"repeat":"guarded","group":"all","window":4000}],
	"tenants":[{"name":"t","quotaRps":1000},{"name":"tiny","quotaRps":0.001}],
	"limits":{"cancelling":true,"connIdle":60000,"connectTimeout":2000,"maxAttempts":3,"maxOpen":100,
		"retryAfter":true,"secondCopies":true},
	"guarantees":{"drainGrace":500,"cold":1,"coldShare":0.5,"fallMultiple":3,"overloadFor":1000}}`

// testConfig loads a node configuration from a file, as the daemon does. known is the initial endpoint list.
func testConfig(t testing.TB, known string) node.Config {
	t.Helper()
	raw := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1f",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`, known, testSettings)
	if !json.Valid([]byte(raw)) {
		t.Fatal("the configuration is not JSON")
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := node.LoadConfig(func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// knownList returns a complete endpoint list of servers at the addresses, with the IDs s0, s1 and so on.
func knownList(addrs ...string) string {
	var entries []string
	for i, a := range addrs {
		entries = append(entries, fmt.Sprintf(
			`{"id":"s%d","host_port":%q,"locality":"a","flavor":"k","cell":1,"phase":"up","size":1,"up_since_ms":0}`, i, a))
	}
	return fmt.Sprintf(`{"revision":7,"complete":true,"members":[%s]}`, strings.Join(entries, ","))
}

// start runs the build until the test ends, and returns its address. stop shuts the build down, as SIGTERM shuts down
// a node, and waits until the build has exited.
func (b build) start(t testing.TB, c node.Config) (addr string, stop func() error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	exited := make(chan error, 1)
	go func() { exited <- b.serve(ctx, c, ln) }()
	stopped := false
	stop = func() error {
		if stopped {
			return nil
		}
		stopped = true
		cancel()
		select {
		case err := <-exited:
			return err
		case <-time.After(maxWait):
			return fmt.Errorf("stop %s: still running after %v", b.name, maxWait)
		}
	}
	t.Cleanup(func() {
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
	addr = ln.Addr().String()
	testkit.Await(t, "readiness", func() bool { return isReady(addr) })
	return addr, stop
}

// isReady sends a readiness check, as a load balancer does, and reports whether the node is ready.
func isReady(addr string) bool {
	resp, err := oneShotClient().Get("http://" + addr + readyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// oneShotClient returns a client that opens a new connection for each request. A client with idle connections could
// retry a request by itself after an error on a connection that another test left open.
func oneShotClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// clientRequest returns a request as clients send it. headers are pairs of a name and a value. An empty value removes
// the header.
func clientRequest(t testing.TB, addr, method, class, id, body string, headers ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+"/api/x?q=a%20b", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "origin.svc"
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Tenant": "t", "X-Deadline-Ms": "8000"} {
		req.Header.Set(k, v)
	}
	if class == "undo" {
		req.Header.Set("Idempotency-Key", "key-"+id)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		if req.Header.Del(headers[i]); headers[i+1] != "" {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	return req
}

// response is a response whose body has been read completely.
type response struct {
	status int
	header http.Header
	body   string
}

// do sends a request on a new connection and returns the response. The test ends if there is no response.
func do(t testing.TB, req *http.Request) response {
	t.Helper()
	resp, err := oneShotClient().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{resp.StatusCode, resp.Header, string(body)}
}
