package http1

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stepTimeout is the timeout of each attempt. Only a failing test waits that long.
const stepTimeout = testkit.MaxWait

func testSettings() policy.Settings {
	return policy.Settings{
		Nodes: 1, Capabilities: policy.Capabilities{ConnIdleTimeout: time.Minute},
		Rules: policy.Rules{DrainGrace: 500 * time.Millisecond},
	}
}

func testTransport(t *testing.T, addrs ...string) *Transport {
	t.Helper()
	transport := New(Config{MaxConns: 100, ConnectTimeout: 2 * time.Second})
	transport.Configure(testSettings())
	transport.Update(router.EndpointUpdate{Kind: policy.ListRestored, Endpoints: testEndpoints(addrs...)})
	t.Cleanup(transport.Close)
	return transport
}

func testEndpoints(addrs ...string) (all []router.Endpoint) {
	for i, a := range addrs {
		all = append(all, router.Endpoint{
			ID: fmt.Sprint("s", i), Addr: a, Zone: "a", Kind: "k", Cell: policy.NewCell(1), Weight: 1,
		})
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

func attempt(t *testing.T, transport *Transport, r *router.Request) router.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
	defer cancel()
	return transport.Attempt(ctx, "s0", r)
}

// counts returns the number of all open connections of the transport, and the number of idle connections to s0.
func (t *Transport) counts() (open, idle int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if srv := t.servers.Get("s0"); srv != nil {
		idle = len(srv.State.idle)
	}
	return t.openConns, idle
}
