package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	slowServer, badServer = 2, 0 // by number: both in the node's own data centre
	badFrom, badTo        = 0.25, 0.6
	badShare              = 0.8                    // of its requests fail meanwhile
	work                  = 40 * time.Millisecond  // mean, exponential
	slowWork              = 250 * time.Millisecond // of the slow one
	slots                 = 8                      // requests in work at a server
	queue                 = 32                     // waiting; beyond that it turns away
	keyWindow             = 4 * time.Second        // in which all servers drop a cancellation's repeat
)

// server is a stand-in app server.
type server struct {
	world    *world
	n        int
	id, zone string
	slots    chan struct{}
	waiting  chan struct{}
}

func newServer(n int, w *world) *server {
	zones := []string{"bystrica", "presov", "nitra"}
	return &server{world: w, n: n, id: fmt.Sprintf("server-%d", n), zone: zones[n/3],
		slots: make(chan struct{}, slots), waiting: make(chan struct{}, slots+queue)}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, key := r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key")
	s.world.ledger.attempt(id)
	select {
	case s.waiting <- struct{}{}:
		defer func() { <-s.waiting }()
	default:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	s.world.ledger.run(id, key, r.Method == http.MethodPost && key == "")
	since := time.Since(s.world.began).Seconds() / s.world.c.For.Seconds()
	if s.n == badServer && since >= badFrom && since < badTo && rand.Float64() < badShare {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	mean := work
	if s.n == slowServer {
		mean = slowWork
	}
	select {
	case <-time.After(time.Duration(rand.ExpFloat64() * float64(mean))):
	case <-r.Context().Done():
	}
	fmt.Fprintf(w, "done by %s in %s", s.id, s.zone)
}

// serve runs h on loopback.
func serve(h http.Handler) (addr string, end func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h}
	ended := make(chan struct{})
	go func() { _ = s.Serve(ln); close(ended) }() // it ends with Close, and has nothing else to tell
	return ln.Addr().String(), func() { _ = s.Close(); <-ended }, nil
}

// ledger books every execution, as members' credit would.
type ledger struct {
	mu      sync.Mutex
	tries   map[string]int
	booked  map[string]int // executions of what must never run twice, by id
	keys    map[string]time.Time
	dropped int
}

func newLedger() *ledger {
	return &ledger{tries: make(map[string]int), booked: make(map[string]int), keys: make(map[string]time.Time)}
}

func (l *ledger) attempt(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries[id]++
}

func (l *ledger) attempts(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tries[id]
}

func (l *ledger) run(id, key string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if once {
		l.booked[id]++
	}
	if key == "" {
		return
	}
	if at, ok := l.keys[key]; ok && time.Since(at) < keyWindow {
		l.dropped++
		return
	}
	l.keys[key] = time.Now()
}

// bookings tells how many ran, and which ran twice.
func (l *ledger) bookings() (n int, twice []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, ran := range l.booked {
		if ran > 1 {
			twice = append(twice, id)
		}
	}
	return len(l.booked), twice
}

func (l *ledger) droppedRepeats() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}
