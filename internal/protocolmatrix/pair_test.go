// Package protocolmatrix tests the same failures over every pair of a client protocol and a server protocol. With
// every pair, a request must have the same outcome and the same number of executions at the servers.
package protocolmatrix

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"cobaltward/certificates"
	"cobaltward/internal/pki"
	"cobaltward/internal/testkit"
	"cobaltward/middleware"
	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/client"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"
	"cobaltward/transport/mixed"
	"cobaltward/transport/secure"

	"go.uber.org/goleak"

	msgpackfront "cobaltward/internal/frontend/msgpack"
	msgpacktransport "cobaltward/transport/msgpack"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// protocolPair is the protocol between clients and a node, and the protocol or protocols between the node and
// servers.
type protocolPair struct {
	name       string
	frontend   string                    // "http" or "msgpack"
	protocolOf func(router.Endpoint) int // returns the protocol of a server: 0 for HTTP, 1 for MessagePack-RPC
	tls        bool                      // true if the node connects to servers with TLS
}

func overHTTP(router.Endpoint) int    { return 0 }
func overMsgpack(router.Endpoint) int { return 1 }

// overOneOfEach returns HTTP for servers of cells with an even number, and MessagePack-RPC for the others.
func overOneOfEach(server router.Endpoint) int {
	cell, _ := server.Cell.Number()
	return int(cell % 2)
}

var protocolPairs = []protocolPair{
	{"http to http", "http", overHTTP, false},
	{"http to msgpack", "http", overMsgpack, false},
	{"msgpack to http", "msgpack", overHTTP, false},
	{"msgpack to msgpack", "msgpack", overMsgpack, false},
	{"msgpack to one of each", "msgpack", overOneOfEach, false},
	{"http to http over TLS", "http", overHTTP, true},
	{"msgpack to msgpack over TLS", "msgpack", overMsgpack, true},
}

// callFunc sends a request to a node and returns the outcome. The outcome is "served" with the body, "cancelled" if
// ctx was cancelled, a code of MessagePack-RPC, or the text of an error. The codes are "failed", "conflict",
// "malformed", and "refused" for a rejection.
type callFunc func(ctx context.Context, call msgpackrpc.Call) string

// runningNode is a node that runs until the test ends.
type runningNode struct {
	call     callFunc
	router   *router.Router
	attempts *attemptLog
}

// maxLag returns the maximum delay so far that the host caused in the router's engine.
func (n runningNode) maxLag() time.Duration { return n.router.Stats().Lag.Max }

// start runs a node in front of the servers until the test ends. If cut is not nil, each client connection is cut
// after cut() bytes.
func (p protocolPair) start(t testing.TB, cut func() int, apps ...*appServer) runningNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return p.serve(t, cutListener{ln, cut}, apps)
}

// serve runs a node in front of the servers until the test ends. The node accepts clients from ln.
func (p protocolPair) serve(t testing.TB, ln net.Listener, apps []*appServer) runningNode {
	t.Helper()
	engine, attempts := p.newRouter(t, apps)
	if p.frontend == "http" {
		serveHTTPFrontend(t, engine, ln)
		return runningNode{httpCaller(t, ln.Addr().String()), engine, attempts}
	}
	return runningNode{serveMsgpackFrontend(t, engine, ln), engine, attempts}
}

// newRouter returns a router that serves requests, and the log of its attempts.
func (p protocolPair) newRouter(t testing.TB, apps []*appServer) (*router.Router, *attemptLog) {
	t.Helper()
	var endpoints []router.Endpoint
	for i, app := range apps {
		endpoint := router.Endpoint{ID: fmt.Sprint("s", i), Zone: "a", Cell: policy.NewCell(int64(i)), Weight: 1}
		endpoint.Addr = []string{app.http, app.msgpack}[p.protocolOf(endpoint)]
		endpoints = append(endpoints, endpoint)
	}
	var clientTLS *secure.ClientTLS
	if p.tls {
		clientTLS = enableTLS(t, apps)
	}
	transport := newAttemptLog(mixed.New(p.protocolOf, http1.New(http1.Config{TLS: clientTLS}),
		msgpacktransport.New(msgpacktransport.Config{TLS: clientTLS})))
	engine, err := router.New(router.Config{Settings: settings(), Endpoints: endpoints}, router.WithTransport(transport))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = engine.Close() })
	testkit.Await(t, "the router to serve", func() bool { return engine.Phase() == router.Serving })
	return engine, transport
}

// settings returns settings with a retry budget so large that it never affects an outcome.
func settings() policy.Settings {
	class := func(name string, idempotency policy.Idempotency) policy.Class {
		return policy.Class{
			Name: name, LatencyObjective: 4 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 1,
			Idempotency: idempotency, DedupScope: policy.DedupAll, DedupWindow: dedupWindow,
		}
	}
	return policy.Settings{
		Nodes: 1, Zone: "a",
		Classes: []policy.Class{
			class("read", policy.Idempotent), class("pay", policy.NonIdempotent), class("undo", policy.IdempotencyKeyed),
		},
		Capabilities: policy.Capabilities{Cancel: true, MaxAttempts: 3, RetryAfter: true},
		Rules: policy.Rules{
			DrainGrace:  500 * time.Millisecond,
			RetryBudget: &policy.RetryBudget{MinRetries: 1e6, Window: time.Second},
		},
	}
}

// enableTLS makes the servers use TLS, and returns a client TLS configuration that trusts the servers.
func enableTLS(t testing.TB, apps []*appServer) *secure.ClientTLS {
	t.Helper()
	ca := pki.NewAuthority("the servers'")
	file := filepath.Join(t.TempDir(), "ca.pem")
	if err := os.WriteFile(file, ca.PEM(), 0o600); err != nil {
		t.Fatal(err)
	}
	trust, err := certificates.Open(certificates.Sources{Trust: file}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	certificate := ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS()
	for _, app := range apps {
		app.tlsConfig.Store(&tls.Config{Certificates: []tls.Certificate{certificate}})
	}
	clientTLS, err := secure.New(secure.Config{Rules: []secure.Rule{{Trust: trust}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(clientTLS.Close)
	return clientTLS
}

func serveHTTPFrontend(t testing.TB, engine *router.Router, ln net.Listener) {
	t.Helper()
	server := &http.Server{Handler: middleware.New(engine, middleware.WithMatcher(middleware.Any))}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(ln)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
}

func serveMsgpackFrontend(t testing.TB, engine *router.Router, ln net.Listener) callFunc {
	t.Helper()
	frontend := msgpackfront.New(engine, msgpackfront.Config{})
	served := make(chan error, 1)
	go func() { served <- frontend.Serve(ln) }()
	conn := client.New("tcp", ln.Addr().String())
	t.Cleanup(func() {
		conn.Close()
		frontend.Close()
		if err := <-served; !errors.Is(err, msgpackfront.ErrClosed) {
			t.Error(err)
		}
	})
	return func(ctx context.Context, call msgpackrpc.Call) string {
		reply, err := conn.Call(ctx, call)
		switch {
		case ctx.Err() != nil:
			return "cancelled"
		case err != nil:
			return err.Error()
		case reply.Code == "":
			return "served " + string(reply.Body)
		case reply.Code == msgpackrpc.Expired: // the request may have run, as after any failure
			return "failed"
		case reply.Code == msgpackrpc.Overloaded:
			return "refused"
		}
		return string(reply.Code)
	}
}

func httpCaller(t testing.TB, addr string) callFunc {
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(httpClient.CloseIdleConnections)
	return func(ctx context.Context, call msgpackrpc.Call) string {
		req, err := newHTTPRequest(ctx, addr, call)
		if err != nil {
			return err.Error()
		}
		resp, err := httpClient.Do(req)
		if err != nil {
			if ctx.Err() != nil {
				return "cancelled"
			}
			return err.Error()
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err.Error()
		}
		switch resp.StatusCode {
		case http.StatusOK:
			return "served " + string(body)
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			return "refused"
		case http.StatusBadGateway, http.StatusGatewayTimeout:
			return "failed"
		case http.StatusConflict:
			return "conflict"
		}
		return "malformed"
	}
}

// newHTTPRequest converts a call to an HTTP request. It sets GetBody to nil, so that the net/http client does not
// retry the request.
func newHTTPRequest(ctx context.Context, addr string, call msgpackrpc.Call) (*http.Request, error) {
	method := "POST"
	if call.Class == "read" {
		method = "GET"
	}
	if call.Method != "" {
		method = call.Method
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/api", bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	for name, value := range map[string]string{
		"X-Request-Id": call.ID, "X-Class": call.Class, "X-Tenant": call.Tenant, "Idempotency-Key": call.IdempotencyKey,
		"X-Deadline-Ms": strconv.FormatInt(call.Timeout.Milliseconds(), 10),
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return req, nil
}
