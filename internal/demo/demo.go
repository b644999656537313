// Package demo shows a node at work on loopback: emulated app servers in three zones, one of them slow
// and one failing for a while, a stand-in for discovery, and some seconds of mixed traffic.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"cobaltward/discovery/registry"
	"cobaltward/emulator/servermodel"
	"cobaltward/internal/node"
	"cobaltward/policy"
	"cobaltward/router"
)

// Config is what a demonstration is told. The zero value is the one of the command line.
type Config struct {
	For  time.Duration // of traffic; 0: 6 s
	Rate float64       // requests a second; 0: 300
	Seed uint64
}

const (
	longestWait = 4 * time.Second // of any class
	tick        = 200 * time.Millisecond
	most        = 2048 // requests in the clients' hands at once; beyond that the traffic falls behind
)

// Settings are the brief's: three classes, five workspaces, three data centres.
func Settings() policy.Settings {
	const ms = time.Millisecond
	return policy.Settings{
		Nodes: 1, Zone: "bystrica",
		Classes: []policy.Class{
			{Name: "hladanie", LatencyObjective: 600 * ms, Deadline: 3000 * ms, Idempotency: policy.Idempotent, PriorityWeight: 1, LateWeightFraction: 0.25},
			{Name: "rezervacia", LatencyObjective: 500 * ms, Deadline: 1500 * ms, Idempotency: policy.NonIdempotent, PriorityWeight: 1, LateWeightFraction: 0.25},
			{
				Name: "zrusenie", LatencyObjective: 1000 * ms, Deadline: longestWait, Idempotency: policy.IdempotencyKeyed, DedupScope: policy.DedupAll,
				DedupWindow: 4000 * ms, PriorityWeight: 1, LateWeightFraction: 0.25,
			},
		},
		Tenants: []policy.Tenant{
			{Name: "dielna-bystrica", Quota: 100, Share: 0.43},
			{Name: "kancel-presov", Quota: 33, Share: 0.14},
			{Name: "stol-nitra", Quota: 33, Share: 0.14},
			{Name: "podkrovie-zvolen", Quota: 33, Share: 0.14},
			{Name: "mlyn-poprad", Quota: 33, Share: 0.14},
		},
		Capabilities: policy.Capabilities{Cancel: true, Hedge: true, RetryAfter: true, MaxAttempts: 5, MaxRetryAfter: time.Second, ConnIdleTimeout: 15 * time.Second},
		Rules: policy.Rules{
			DrainGrace: 500 * ms, SlowStartShare: 0.34, SlowStartWindow: 8400 * ms, OverloadFactor: 3, OverloadDuration: time.Second,
			AnswerGrace: 50 * ms,
		},
	}
}

// tally is what came of the requests of one class.
type tally struct {
	served, refused, failed, lost int
	retried                       int // had more than one attempt
	latencies                     []time.Duration
}

// world is all that the demonstration runs.
type world struct {
	c       Config
	began   time.Time
	servers []*server
	addr    string // of the node

	mu      sync.Mutex
	classes map[string]*tally
	tries   map[string]int  // attempts by id
	booked  map[string]bool // ids of bookings
	ran     map[string]int  // executions by id, once the servers have ended
	dropped int             // repeats of a key
	open    int
	sent    int
}

func newWorld(c Config) *world {
	return &world{c: c, classes: make(map[string]*tally), tries: make(map[string]int), booked: make(map[string]bool), ran: make(map[string]int)}
}

// attempt books that a request has reached a server.
func (w *world) attempt(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tries[id]++
}

// Run plays a demonstration and writes its progress and its result to out; on a terminal, progress
// stays on one line. An error says which of the rules did not hold, or what could not be started.
func Run(ctx context.Context, c Config, out io.Writer, terminal bool) error {
	if c.For <= 0 {
		c.For = 6 * time.Second
	}
	if c.Rate <= 0 {
		c.Rate = 300
	}
	w := newWorld(c)
	for _, class := range Settings().Classes {
		w.classes[class.Name] = &tally{}
	}
	stop, err := w.start()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "A node on %s, %d app servers in 3 data centres: %s is slow, %s fails most requests from second %.1f to %.1f.\n",
		w.addr, len(w.servers), w.servers[slowServer].id, w.servers[badServer].id, badFrom*c.For.Seconds(), badTo*c.For.Seconds())
	w.traffic(ctx, out, terminal)
	if err := stop(); err != nil {
		return err
	}
	return w.report(out)
}

// start starts the servers, discovery and the node, and returns what ends them in order.
func (w *world) start() (stop func() error, err error) {
	var closers []func()
	closeAll := func() {
		for _, c := range slices.Backward(closers) {
			c()
		}
	}
	defer func() {
		if err != nil {
			closeAll()
		}
	}()
	w.began = time.Now()
	group := servermodel.NewGroup(keyWindow)
	var members []router.Endpoint
	for i := range 9 {
		s, err := startServer(i, w, group)
		if err != nil {
			return nil, err
		}
		closers = append(closers, func() { s.stop(w) })
		w.servers = append(w.servers, s)
		members = append(members, router.Endpoint{ID: s.id, Addr: s.face.Addr, Zone: s.zone, Kind: "demo", Weight: 1})
	}
	discovery, end, err := serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		select { // the list never changes
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
			_, _ = io.WriteString(rw, `{"revision":1,"complete":false,"members":[]}`)
		}
	}))
	if err != nil {
		return nil, err
	}
	closers = append(closers, end)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- node.Run(ctx, node.Config{
			Name: "demo", Discovery: discovery, Seed: w.c.Seed, MaxDescriptors: 1024,
			InitialList: registry.List{Revision: 1, Full: true, Endpoints: members}, Settings: Settings(),
			ConnectTimeout: 250 * time.Millisecond,
		}, listener, nil, slog.New(slog.DiscardHandler))
	}()
	if err := w.awaitReady(); err != nil {
		cancel()
		<-ended
		return nil, err
	}
	return func() error {
		cancel()
		err := <-ended
		closeAll()
		return err
	}, nil
}

func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for range 500 {
		resp, err := client.Get("http://" + w.addr + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("demo: the node never became ready")
}

// traffic sends requests at the rate, whatever becomes of them, and waits for the last answer.
func (w *world) traffic(ctx context.Context, out io.Writer, terminal bool) {
	rng := rand.New(rand.NewPCG(w.c.Seed, 1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var all sync.WaitGroup
	room := make(chan struct{}, most)
	progress := time.NewTicker(tick)
	defer progress.Stop()
	w.began = time.Now()
	next := w.began
	for n := 0; ctx.Err() == nil && next.Sub(w.began) < w.c.For; n++ {
		for wait := time.Until(next); wait > 0; wait = time.Until(next) {
			pause := time.NewTimer(wait)
			select {
			case <-progress.C:
				w.progress(out, terminal)
			case <-pause.C:
			case <-ctx.Done():
			}
			pause.Stop()
			if ctx.Err() != nil {
				break
			}
		}
		r := draw(rng, n)
		room <- struct{}{}
		all.Go(func() { w.send(client, r); <-room })
		next = next.Add(time.Duration(rng.ExpFloat64() / w.c.Rate * float64(time.Second)))
	}
	all.Wait()
	w.progress(out, terminal)
	if terminal {
		fmt.Fprintln(out)
	}
}

// request is one of a client's.
type request struct {
	id, class, tenant, key string
	wait                   time.Duration
}

// draw draws a request: half search, three in ten book, two in ten cancel; the first workspace sends
// more than its share.
func draw(rng *rand.Rand, n int) request {
	r := request{id: fmt.Sprintf("demo-%d-%x", n, rng.Uint32()), class: "hladanie", tenant: "dielna-bystrica", wait: 3 * time.Second}
	switch p := rng.Float64(); {
	case p < 0.3:
		r.class, r.wait = "rezervacia", 1500*time.Millisecond
	case p < 0.5:
		r.class, r.wait, r.key = "zrusenie", longestWait, fmt.Sprintf("key-%d", n)
	}
	if p := rng.Float64(); p > 0.6 {
		r.tenant = []string{"kancel-presov", "stol-nitra", "podkrovie-zvolen", "mlyn-poprad"}[rng.IntN(4)]
	}
	return r
}

// send sends a request as the protocol has it, and books the answer.
func (w *world) send(client *http.Client, r request) {
	w.mu.Lock()
	w.open++
	w.sent++
	if r.class == "rezervacia" {
		w.booked[r.id] = true
	}
	w.mu.Unlock()
	method := http.MethodPost
	if r.class == "hladanie" {
		method = http.MethodGet
	}
	// A node that keeps the rules answers before; what outlives this is lost.
	ctx, cancel := context.WithTimeout(context.Background(), r.wait+time.Second)
	defer cancel()
	began, status := time.Now(), 0
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.addr+"/api", nil)
	if err == nil {
		req.Header.Set("X-Request-Id", r.id)
		req.Header.Set("X-Class", r.class)
		req.Header.Set("X-Tenant", r.tenant)
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(r.wait.Milliseconds()))
		if r.key != "" {
			req.Header.Set("Idempotency-Key", r.key)
		}
		var resp *http.Response
		if resp, err = client.Do(req); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
		}
	}
	took := time.Since(began)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open--
	t := w.classes[r.class]
	switch {
	case err != nil:
		t.lost++
	case status == http.StatusOK:
		t.served++
		t.latencies = append(t.latencies, took)
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		t.refused++
	default:
		t.failed++
	}
	if w.tries[r.id] > 1 {
		t.retried++
	}
}

func (w *world) progress(out io.Writer, terminal bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	served, refused, failed := 0, 0, 0
	for _, t := range w.classes {
		served, refused, failed = served+t.served, refused+t.refused, failed+t.failed
	}
	since := time.Since(w.began)
	line := fmt.Sprintf("%4.1f s  sent %d  in flight %d  served %d  refused %d  failed %d", since.Seconds(), w.sent, w.open, served, refused, failed)
	if terminal {
		fmt.Fprintf(out, "\r\x1b[K%s", line)
	} else if since.Truncate(time.Second) > (since - tick).Truncate(time.Second) { // a line a second
		fmt.Fprintln(out, line)
	}
}

// report writes the table and the proof, and returns what did not hold.
func (w *world) report(out io.Writer) error {
	fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\tserved\trefused\tfailed\tretried\tp50\tp99\t")
	lost := 0
	for _, class := range Settings().Classes {
		t := w.classes[class.Name]
		slices.Sort(t.latencies)
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", class.Name, t.served, t.refused, t.failed, t.retried,
			quantile(t.latencies, 0.5), quantile(t.latencies, 0.99))
		lost += t.lost
	}
	if err := table.Flush(); err != nil {
		return err
	}
	bookings, twice := 0, []string(nil)
	for id, ran := range w.ran {
		if !w.booked[id] {
			continue
		}
		if bookings++; ran > 1 {
			twice = append(twice, id)
		}
	}
	fmt.Fprintf(out, "\n%d bookings reached a server, and %d of them ran twice.\n", bookings, len(twice))
	if w.dropped > 0 {
		fmt.Fprintf(out, "Servers dropped %d repeats of a cancellation by its key.\n", w.dropped)
	}
	if len(twice) > 0 || lost > 0 {
		return fmt.Errorf("demo: %d requests without an answer, bookings that ran twice: %v", lost, twice)
	}
	fmt.Fprintln(out, "Every request had one answer.")
	return nil
}

// quantile is that of sorted times; a dash where there are none.
func quantile(sorted []time.Duration, q float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", sorted[int(q*float64(len(sorted)-1))].Milliseconds())
}

// Terminal tells whether f is a terminal.
func Terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
