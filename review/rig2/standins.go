package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// longAgo is a start time of servers, in milliseconds since 1970: in October 2025.
const longAgo = 1_760_000_000_000

// newID returns an id of a request that no other request has.
func newID(prefix string) string { return prefix + "-" + rand.Text() }

// member and list are discovery's form of a server and of a list of servers.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type list struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

func up(id, addr string) member {
	return member{ID: id, HostPort: addr, Locality: "z1", Flavor: "m", Phase: "up", Size: 1}
}

func (m member) in(phase string) member {
	m.Phase = phase
	return m
}

// registry is the platform's discovery, which answers with what it has been told.
type registry struct {
	addr string
	w    *world

	mu       sync.Mutex
	revision int64
	servers  map[string]member
	order    []string
	changes  []change
	changed  chan struct{}
}

// change is an entry that has changed, with the revision of the change.
type change struct {
	revision int64
	entry    member
}

// newRegistry starts discovery with the given servers at revision 1.
func (w *world) newRegistry(members ...member) *registry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("%v", err)
	}
	r := &registry{
		addr: listener.Addr().String(), w: w, revision: 1, servers: make(map[string]member), changed: make(chan struct{}),
	}
	for _, m := range members {
		r.servers[m.ID] = m
		r.order = append(r.order, m.ID)
	}
	go func() { _ = http.Serve(listener, r) }()
	return r
}

// change puts entries in force, all at one revision.
func (r *registry) change(entries ...member) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	for _, entry := range entries {
		r.changes = append(r.changes, change{r.revision, entry})
		if _, listed := r.servers[entry.ID]; !listed {
			r.order = append(r.order, entry.ID)
		}
		r.servers[entry.ID] = entry
		r.w.note("discovery, revision %d: %s at %s is %s", r.revision, entry.ID, entry.HostPort, entry.Phase)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return time.Now()
}

// ServeHTTP answers a call for the list, or holds a watch until there is something newer.
func (r *registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	index, err := strconv.ParseInt(query.Get("index"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait"))
	r.mu.Lock()
	if err != nil {
		whole := list{Revision: r.revision, Complete: true, Members: []member{}}
		for _, id := range r.order {
			if m := r.servers[id]; m.Phase != "removed" {
				whole.Members = append(whole.Members, m)
			}
		}
		r.mu.Unlock()
		_ = json.NewEncoder(w).Encode(whole)
		return
	}
	if r.revision <= index {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-req.Context().Done():
			return
		}
		r.mu.Lock()
	}
	answer := list{Revision: r.revision, Members: []member{}}
	for _, c := range r.changes {
		if c.revision > index {
			answer.Members = append(answer.Members, c.entry)
		}
	}
	r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(answer)
}

// appServer is an app server that answers every request with its id after some time.
type appServer struct {
	name, addr string

	mu      sync.Mutex
	arrived []time.Time
}

// newAppServer starts an app server on the loopback address host.
func (w *world) newAppServer(name, host string, work time.Duration) *appServer {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		w.fail("%v", err)
	}
	s := &appServer{name: name, addr: listener.Addr().String()}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
			s.mu.Lock()
			s.arrived = append(s.arrived, time.Now())
			s.mu.Unlock()
			_, _ = io.Copy(io.Discard, req.Body)
			time.Sleep(work)
			_, _ = fmt.Fprintf(out, "%s by %s", req.Header.Get("X-Request-Id"), name)
		}))
	}()
	w.note("server %s at %s", name, s.addr)
	return s
}

// after returns how many requests came after t, and the time of the last one.
func (s *appServer) after(t time.Time) (count int, last time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.arrived {
		if at.After(t) {
			count, last = count+1, at
		}
	}
	return count, last
}

// between returns how many requests came from the time from to the time to.
func (s *appServer) between(from, to time.Time) int {
	a, _ := s.after(from)
	b, _ := s.after(to)
	return a - b
}

// traffic is a number of clients, each of which sends one request after another.
type traffic struct {
	stop chan struct{}
	all  sync.WaitGroup

	mu       sync.Mutex
	answers  map[string]int // by status, or "no answer"
	sent     int
	lastGood time.Time
}

// startTraffic starts clients that send a search each, wait for its answer and pause.
func (w *world) startTraffic(addr string, clients int, pause time.Duration) *traffic {
	t := &traffic{stop: make(chan struct{}), answers: make(map[string]int)}
	for client := range clients {
		t.all.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			for number := 0; ; number++ {
				select {
				case <-t.stop:
					return
				case <-time.After(pause):
				}
				t.send(transport, addr, newID(fmt.Sprintf("c%d-%d", client, number)))
			}
		})
	}
	return t
}

func (t *traffic) send(transport *http.Transport, addr, id string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/api", nil)
	if err != nil {
		return
	}
	req.Header = http.Header{
		"X-Request-Id": {id}, "X-Class": {"search"}, "X-Tenant": {"desk"}, "X-Deadline-Ms": {"2000"},
	}
	client := http.Client{Transport: transport, Timeout: 3 * time.Second}
	outcome := "no answer"
	resp, err := client.Do(req)
	if err == nil {
		if _, err = io.Copy(io.Discard, resp.Body); err == nil {
			outcome = strconv.Itoa(resp.StatusCode)
		}
		_ = resp.Body.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.answers[outcome]++
	if outcome == "200" {
		t.lastGood = time.Now()
	}
}

// served returns how many requests were served so far.
func (t *traffic) served() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers["200"]
}

// end stops the clients, and adds what was answered to the record.
func (t *traffic) end(w *world) {
	close(t.stop)
	t.all.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	w.note("clients sent %d requests, answered: %v", t.sent, t.answers)
}
