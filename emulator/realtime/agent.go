package realtime

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

// Agent is discovery as one node has it.
type Agent interface {
	Addr() string            // for the platform's configuration
	Operator() string        // for the operator's own file
	Set(e Entry)             // it learns of a server
	Silence(on bool)         // it says nothing, or speaks again
	Known() ([]Entry, int64) // what a node that starts is given, and its revision
	Stop()
}

// NewAgent starts an agent with a list. told is to be called, at the latest as it is written, with all that
// the node is told.
type NewAgent func(dir string, first []Entry, told func(id string, open bool)) (Agent, error)

// agent is discovery as one node has it: what it has been sent, in the protocol's own form. It is silent
// while discovery is down.
type agent struct {
	addr   string
	server *http.Server
	ended  sync.WaitGroup
	told   func(id string, open bool) // of what is written to the node

	mu       sync.Mutex
	revision int64
	entries  map[string]Entry
	changed  map[string]int64 // revision of each Entry's last change, removals among them
	news     chan struct{}    // closed at each change
	silent   bool
}

func startAgent(_ string, first []Entry, told func(id string, open bool)) (Agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{addr: ln.Addr().String(), told: told, revision: 1, entries: make(map[string]Entry), changed: make(map[string]int64), news: make(chan struct{})}
	for _, e := range first {
		a.entries[e.ID] = e
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.answer), ReadHeaderTimeout: time.Minute}
	a.ended.Go(func() { _ = a.server.Serve(ln) }) // ends with Stop
	return a, nil
}

func (a *agent) Addr() string     { return a.addr }
func (a *agent) Operator() string { return "" }

func (a *agent) Stop() {
	a.server.Close()
	a.ended.Wait()
}

// Set has the agent learn of a server.
func (a *agent) Set(e Entry) {
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

func (a *agent) Silence(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
	a.wake()
}

// list is what the node would be told now, in the order of the ids.
func (a *agent) list(after int64) (all []Entry, revision int64) {
	for id, e := range a.entries {
		if whole := after < 0; whole && e.Phase != "removed" || !whole && a.changed[id] > after {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(x, y Entry) int { return strings.Compare(x.ID, y.ID) })
	return all, a.revision
}

// Known is the list for a node that starts.
func (a *agent) Known() ([]Entry, int64) {
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
				members = []Entry{}
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
