package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/internal/adminapi"
	"cobaltward/internal/testkit"
)

const nodeToken = "a token of the node" // bearer token of the admin API

// fakeAdminAPI is the admin API of a fake node whose drain goes through a list of states.
type fakeAdminAPI struct {
	mu       sync.Mutex
	states   []string // drain state of each status request; the last one repeats
	disabled []string
	calls    []string // requests that change the node, with their bodies
	reject   bool     // whether to reject requests that change the node
}

func (a *fakeAdminAPI) status(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.states[0]
	if len(a.states) > 1 {
		a.states = a.states[1:]
	}
	drain := map[string]any{"state": state, "open_at_deadline": 3}
	adminapi.WriteJSON(w, http.StatusOK, map[string]any{"drain": drain, "servers_drained_by_hand": a.disabled})
}

func (a *fakeAdminAPI) change(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		adminapi.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	a.calls = append(a.calls, fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body))
	if a.reject {
		adminapi.WriteError(w, http.StatusConflict, "not now")
		return
	}
	adminapi.WriteJSON(w, http.StatusOK, map[string]any{})
}

// serve serves the API until the test ends, and returns a client of the API.
func (a *fakeAdminAPI) serve(t *testing.T) *NodeClient {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", a.status)
	mux.HandleFunc("GET /v1/servers", func(w http.ResponseWriter, _ *http.Request) {
		adminapi.WriteJSON(w, http.StatusOK, map[string][]string{"z1": {"s1", "s2"}})
	})
	for _, path := range []string{"/v1/drain", "/v1/servers/{server}/drain"} {
		mux.HandleFunc("POST "+path, a.change)
		mux.HandleFunc("DELETE "+path, a.change)
	}
	client := NewNodeClient(testkit.HTTPServer(t, adminapi.RequireToken(mux, nodeToken).ServeHTTP), nodeToken)
	t.Cleanup(client.client.HTTP.CloseIdleConnections)
	return client
}

// checkCalls checks the calls that changed the node. The text of each call must begin with the wanted text at the
// same index.
func (a *fakeAdminAPI) checkCalls(t *testing.T, want ...string) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.EqualFunc(a.calls, want, strings.HasPrefix) {
		t.Errorf("the calls are %q, want %q", a.calls, want)
	}
}

func TestNodeClient_Drain(t *testing.T) {
	for _, test := range []struct {
		name   string
		states []string
		reject bool
		calls  []string
		want   string // text that the error must contain; empty: no error
	}{
		{"drains", []string{"serving", "closing", "drained"}, false, []string{"POST /v1/drain"}, ""},
		{"is closing already", []string{"closing", "drained"}, false, nil, ""},
		{"passes its deadline", []string{"serving", "forced"}, false, []string{"POST /v1/drain"}, "with 3 requests open"},
		{"is rejected", []string{"serving"}, true, []string{"POST /v1/drain"}, "not now"},
	} {
		t.Run(test.name, func(t *testing.T) {
			api := &fakeAdminAPI{states: test.states, reject: test.reject}
			err := api.serve(t).Drain(t.Context(), time.Second, "patch")
			if test.want == "" && err != nil || test.want != "" && !strings.Contains(fmt.Sprint(err), test.want) {
				t.Errorf("got error %v, want one that contains %q", err, test.want)
			}
			api.checkCalls(t, test.calls...)
		})
	}
}

func TestNodeClient_DrainSendsReason(t *testing.T) {
	api := &fakeAdminAPI{states: []string{"serving", "drained"}}
	if err := api.serve(t).Drain(t.Context(), 90*time.Second, "round-1: kernel"); err != nil {
		t.Fatal(err)
	}
	var body map[string]any
	if err := json.Unmarshal([]byte(strings.TrimPrefix(api.calls[0], "POST /v1/drain ")), &body); err != nil {
		t.Fatal(err)
	}
	if body["deadline"] != "1m30s" || body["who"] != "fleet" || body["reason"] != "round-1: kernel" {
		t.Errorf("the body of the drain request is %v", body)
	}
}

func TestNodeClient_DrainEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*pollInterval)
	defer cancel()
	api := &fakeAdminAPI{states: []string{"closing"}}
	if err := api.serve(t).Drain(ctx, time.Second, "patch"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want %v", err, context.DeadlineExceeded)
	}
}

func TestNodeClient_ResumeWaitsUntilServing(t *testing.T) {
	api := &fakeAdminAPI{states: []string{"drained", "serving"}}
	client := api.serve(t)
	if err := client.Resume(t.Context(), "fleet"); err != nil {
		t.Fatal(err)
	}
	api.checkCalls(t, "DELETE /v1/drain")
	if !client.Serving(t.Context()) {
		t.Error("the node does not serve after Resume returned")
	}
}

func TestNodeClient_DisablesAndEnablesServers(t *testing.T) {
	api := &fakeAdminAPI{states: []string{"serving"}}
	client := api.serve(t)
	if err := client.DisableServer(t.Context(), "s/1"); err != nil {
		t.Error(err)
	}
	if err := client.EnableServer(t.Context(), "s/1"); err != nil {
		t.Error(err)
	}
	api.checkCalls(t, "POST /v1/servers/s/1/drain", "DELETE /v1/servers/s/1/drain")
	servers, err := client.ServersByZone(t.Context())
	if err != nil || !slices.Equal(servers["z1"], []string{"s1", "s2"}) {
		t.Errorf("the servers by zone are %v, error %v", servers, err)
	}
}

// TestNodeClient_EnableServerRejected checks that EnableServer returns nil after a rejected request if the server is
// already enabled. It must return an error if the server is still disabled.
func TestNodeClient_EnableServerRejected(t *testing.T) {
	for _, test := range []struct {
		name     string
		disabled []string
		want     error
	}{
		{"enabled already", nil, nil},
		{"still disabled", []string{"s1"}, ErrRejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			api := &fakeAdminAPI{states: []string{"serving"}, disabled: test.disabled, reject: true}
			if err := api.serve(t).EnableServer(t.Context(), "s1"); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

func TestNodeClient_NotServingWithoutAnswer(t *testing.T) {
	client := NewNodeClient("127.0.0.1:1", nodeToken)
	if client.Serving(t.Context()) {
		t.Error("a node that does not respond is reported as serving")
	}
}
