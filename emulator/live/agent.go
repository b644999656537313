package live

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// agent is discovery as one node has it: what it has been sent, in the protocol's own form. It is silent
// while discovery is down.
type agent struct {
	addr   string
	server *http.Server
	ended  sync.WaitGroup
	told   func(id string, open bool) // of what is written to the node

	mu       sync.Mutex
	revision int64
	entries  map[string]entry
	changed  map[string]int64 // revision of each entry's last change, removals among them
	news     chan struct{}    // closed at each change
	silent   bool
}

func startAgent(first []entry, told func(id string, open bool)) (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{addr: ln.Addr().String(), told: told, revision: 1, entries: make(map[string]entry), changed: make(map[string]int64), news: make(chan struct{})}
	for _, e := range first {
		a.entries[e.ID] = e
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.answer), ReadHeaderTimeout: time.Minute}
	a.ended.Go(func() { _ = a.server.Serve(ln) }) // ends with stop
	return a, nil
}

func (a *agent) stop() {
	a.server.Close()
	a.ended.Wait()
}

// set has the agent learn of a server.
func (a *agent) set(e entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision++
	a.entries[e.ID] = e
	a.changed[e.ID] = a.revision
	a.wake()
}

func (a *agent) wake() {
	close(a.news)
	a.news = make(chan struct{})
}

func (a *agent) silence(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
	a.wake()
}

// list is what the node would be told now, in the order of the ids.
func (a *agent) list(after int64) (all []entry, revision int64) {
	for id, e := range a.entries {
		if whole := after < 0; whole && e.Phase != "removed" || !whole && a.changed[id] > after {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(x, y entry) int { return strings.Compare(x.ID, y.ID) })
	return all, a.revision
}

// known is the list for a node that starts.
func (a *agent) known() ([]entry, int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list(-1)
}

func (a *agent) answer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	after, wait := int64(-1), time.Duration(0)
	if text := r.URL.Query().Get("index"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		ms, err2 := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 32)
		if err != nil || err2 != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		after, wait = n, min(time.Minute, time.Duration(ms)*time.Millisecond)
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	over := false
	for {
		a.mu.Lock()
		members, revision := a.list(after)
		silent, news := a.silent, a.news
		a.mu.Unlock()
		if !silent && (after < 0 || len(members) > 0 || over) {
			if members == nil {
				members = []entry{}
			}
			raw, err := json.Marshal(obj{"revision": revision, "complete": after < 0, "members": members})
			if err != nil {
				panic(err) // of figures and names
			}
			for _, m := range members {
				a.told(m.ID, m.Phase == "up")
			}
			_, _ = w.Write(raw) // a node that has died asks again
			return
		}
		select {
		case <-news:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
		if over && silent {
			select { // silence has no end of its own
			case <-news:
			case <-r.Context().Done():
				return
			}
		}
	}
}
