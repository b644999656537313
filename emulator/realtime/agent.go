package realtime

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Endpoint is an endpoint list entry in the JSON format of the platform's discovery protocol.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"host_port"`
	Zone      string  `json:"locality"`
	Kind      string  `json:"flavor"`
	Cell      int64   `json:"cell"`
	Phase     string  `json:"phase"`
	Weight    float64 `json:"size"`
	StartedAt int64   `json:"up_since_ms"` // Unix time in milliseconds; 0: unknown
}

// Values of Endpoint.Phase.
const (
	PhaseUp       = "up"
	PhaseDraining = "draining"
	PhaseRemoved  = "removed"
)

// Agent is the discovery service of one node. Its methods are safe for concurrent use.
type Agent interface {
	Addr() string                  // address of the discovery service, for the platform's configuration
	NodeConfig() string            // TOML to add to the node's own configuration
	Update(e Endpoint)             // adds or changes a server
	SetSilent(silent bool)         // stops or resumes updates to the node
	Snapshot() ([]Endpoint, int64) // current endpoints for a node that starts, and the revision of the list
	Stop()
}

// NewAgent starts an agent with a list of endpoints and a directory for the agent's files. The agent calls notified
// for each endpoint that it sends to the node. The call comes before or during the write.
type NewAgent func(dir string, endpoints []Endpoint, notified func(id string, available bool)) (Agent, error)

// maxWatchWait is the maximum time for which the agent holds a request for changes.
const maxWatchWait = time.Minute

// agent implements Agent with the platform's discovery protocol.
type agent struct {
	addr     string
	server   *http.Server
	tasks    sync.WaitGroup
	notified func(id string, available bool)

	mu        sync.Mutex
	revision  int64
	endpoints map[string]Endpoint
	changedAt map[string]int64 // revision of each endpoint's last change, including a removal
	changes   chan struct{}    // closed and replaced at each change
	silent    bool
}

func startAgent(_ string, endpoints []Endpoint, notified func(id string, available bool)) (Agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{
		addr: ln.Addr().String(), notified: notified, revision: 1,
		endpoints: make(map[string]Endpoint), changedAt: make(map[string]int64), changes: make(chan struct{}),
	}
	for _, endpoint := range endpoints {
		a.endpoints[endpoint.ID] = endpoint
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.handle), ReadHeaderTimeout: time.Minute}
	a.tasks.Go(func() { _ = a.server.Serve(ln) }) // returns an error after Stop, as intended
	return a, nil
}

func (a *agent) Addr() string       { return a.addr }
func (a *agent) NodeConfig() string { return "" }

func (a *agent) Stop() {
	_ = a.server.Close()
	a.tasks.Wait()
}

func (a *agent) Update(e Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision++
	a.endpoints[e.ID] = e
	a.changedAt[e.ID] = a.revision
	a.wakeWatches()
}

// wakeWatches makes waiting requests check the state again. The caller holds a.mu.
func (a *agent) wakeWatches() {
	close(a.changes)
	a.changes = make(chan struct{})
}

func (a *agent) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	a.wakeWatches()
}

// list returns endpoints sorted by ID, and the current revision. If after is negative, list returns all endpoints
// that are not removed; otherwise the endpoints changed after that revision. The caller holds a.mu.
func (a *agent) list(after int64) (all []Endpoint, revision int64) {
	for id, endpoint := range a.endpoints {
		complete := after < 0
		if complete && endpoint.Phase != PhaseRemoved || !complete && a.changedAt[id] > after {
			all = append(all, endpoint)
		}
	}
	slices.SortFunc(all, func(x, y Endpoint) int { return strings.Compare(x.ID, y.ID) })
	return all, a.revision
}

func (a *agent) Snapshot() ([]Endpoint, int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list(-1)
}

// handle answers a request for the complete list at once. It answers a request for changes after a change or at the
// end of the request's wait time.
func (a *agent) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	after, wait, err := parseWatch(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := false
	for {
		a.mu.Lock()
		endpoints, revision := a.list(after)
		silent, changes := a.silent, a.changes
		a.mu.Unlock()
		if !silent && (after < 0 || len(endpoints) > 0 || expired) {
			a.write(w, endpoints, revision, after < 0)
			return
		}
		select {
		case <-changes:
		case <-timer.C: // fires once; a silent agent then answers when the silence ends
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// parseWatch returns the revision after which a request asks for changes, or -1 if the request asks for the complete
// list. wait is the maximum time to wait for changes.
func parseWatch(r *http.Request) (after int64, wait time.Duration, err error) {
	text := r.URL.Query().Get("index")
	if text == "" {
		return -1, 0, nil
	}
	after, err = strconv.ParseInt(text, 10, 64)
	ms, err2 := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 32)
	return after, min(maxWatchWait, time.Duration(ms)*time.Millisecond), errors.Join(err, err2)
}

// write sends endpoints to the node.
func (a *agent) write(w http.ResponseWriter, endpoints []Endpoint, revision int64, complete bool) {
	if endpoints == nil {
		endpoints = []Endpoint{}
	}
	raw, err := json.Marshal(object{"revision": revision, "complete": complete, "members": endpoints})
	if err != nil {
		panic(err) // can't happen: numbers and strings can always be encoded
	}
	for _, endpoint := range endpoints {
		a.notified(endpoint.ID, endpoint.Phase == PhaseUp)
	}
	_, _ = w.Write(raw) // fails if the node was killed; after its restart the node requests the list again
}
