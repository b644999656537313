package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/cli"
	"cobaltward/internal/testkit"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "the seed of the first run")
	seeds     = flag.Int("soak.seeds", 6, "how many runs")
	together  = flag.Int("soak.together", 3, "how many runs at a time")
)

// nodeEnv says that this process is the node of a run.
const nodeEnv = "WAYHOLD_SOAK_NODE"

// Times of the operators' pages.
const (
	killAfterDeadline = 700 * time.Millisecond // and the longest deadline after SIGTERM, SIGKILL may come
	comingAfterTerm   = 200 * time.Millisecond // for so long new connections come at least
)

func TestMain(m *testing.M) {
	if os.Getenv(nodeEnv) != "" {
		os.Args = []string{"wayhold", "serve"}
		os.Exit(cli.Main(cli.Extensions{}))
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestSoak plays a run for each seed.
func TestSoak(t *testing.T) {
	limit := make(chan struct{}, *together)
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			limit <- struct{}{}
			defer func() { <-limit }()
			newRun(t, seed).play()
		})
	}
}

// run is one run.
type run struct {
	t        *testing.T
	rng      *rand.Rand
	history  *history
	servers  []*server
	registry *registry
	longest  time.Duration // deadline of a class
	addr     string
	process  *exec.Cmd
	binary   string // of the node; "": this test's own
	exited   chan struct{}
	arriving atomic.Bool
	ended    atomic.Bool
	log      string
}

func newRun(t *testing.T, seed uint64) *run {
	r := &run{t: t, rng: rand.New(rand.NewPCG(seed, seed)), history: newHistory(), exited: make(chan struct{})}
	r.longest = time.Duration(150+r.rng.IntN(1350)) * time.Millisecond
	for i := range 3 + r.rng.IntN(4) {
		r.servers = append(r.servers, startServer(t, fmt.Sprint("s", i), r.history, []float64{0, 0.05, 0.3}[r.rng.IntN(3)]))
	}
	r.registry = startRegistry(t, r.servers)
	return r
}

// play starts the node, has clients use it, tells it to end, kills it at the earliest moment, and judges.
func (r *run) play() {
	r.start()
	var clients sync.WaitGroup
	r.arriving.Store(true)
	crowded, leave := r.rng.IntN(3) == 0, func() {}
	if crowded {
		leave = crowd(r.addr, 40+r.rng.IntN(80))
	}
	leaving := []float64{0, 0.05, 0.2}
	pauses := []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond}
	for i := range 6 + r.rng.IntN(24) {
		c := &client{
			name: fmt.Sprint("c", i), addr: r.addr, rng: rand.New(rand.NewPCG(r.rng.Uint64(), 1)), history: r.history,
			longest: r.longest, arriving: &r.arriving, ended: &r.ended, crowded: crowded,
			leaves: leaving[r.rng.IntN(len(leaving))], pause: pauses[r.rng.IntN(len(pauses))],
		}
		clients.Go(c.run)
	}
	r.disturb(time.Duration(200+r.rng.IntN(800)) * time.Millisecond)
	r.terminate()
	clients.Wait()
	leave()
	r.judge()
}

// disturb has servers hang and come back, the list change and the configuration be read again, for a while.
func (r *run) disturb(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(20+r.rng.IntN(80)) * time.Millisecond)
		switch r.rng.IntN(4) {
		case 0:
			s := r.servers[r.rng.IntN(len(r.servers))]
			s.hangs.Store(!s.hangs.Load())
		case 1:
			r.signal(syscall.SIGHUP)
		case 2:
			r.registry.set(r.servers[:1+r.rng.IntN(len(r.servers))])
		}
	}
}

// terminate sends SIGTERM, other signals in series, and SIGKILL when the pages allow it first.
func (r *run) terminate() {
	if r.rng.IntN(2) == 0 {
		for _, s := range r.servers {
			s.hangs.Store(r.rng.IntN(2) == 0)
		}
	}
	told := time.Now()
	r.signal(syscall.SIGTERM)
	time.AfterFunc(comingAfterTerm, func() { r.arriving.Store(false) })
	kill := told.Add(r.longest + killAfterDeadline)
	for range r.rng.IntN(5) {
		time.Sleep(time.Duration(r.rng.Int64N(int64(r.longest / 4))))
		r.signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[r.rng.IntN(2)])
	}
	select {
	case <-r.exited:
		r.history.count("ended by itself")
	case <-time.After(time.Until(kill)):
		r.history.count("killed")
		r.signal(syscall.SIGKILL)
		<-r.exited
	}
	r.ended.Store(true)
	r.arriving.Store(false)
}

// signal sends a signal; a process that has ended is sent none.
func (r *run) signal(s syscall.Signal) {
	select {
	case <-r.exited:
	default:
		_ = r.process.Process.Signal(s) // it may have ended just now
	}
}

// judge says what has broken a rule.
func (r *run) judge() {
	h := r.history
	h.mu.Lock()
	defer h.mu.Unlock()
	r.t.Logf("longest deadline %v: %v", r.longest, h.counts)
	if len(h.breaks) == 0 {
		return
	}
	for _, what := range h.breaks[:min(len(h.breaks), 10)] {
		r.t.Error(what)
	}
	log, _ := os.ReadFile(r.log)
	r.t.Logf("%d breaks; the node's log:\n%s", len(h.breaks), log)
}

// start starts the node, and waits until it is ready.
func (r *run) start() {
	sockets := 64 + r.rng.IntN(4)*64
	r.startWith(fmt.Sprintf(configFormat, r.registry.addr, sockets, r.registry.list(), r.longest.Milliseconds()))
}

// startWith starts the node with a configuration.
func (r *run) startWith(text string) {
	dir := r.t.TempDir()
	config := filepath.Join(dir, "config.json")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	r.log = filepath.Join(dir, "log")
	log, err := os.Create(r.log)
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = log.Close() }() // the node has its own
	r.process = exec.Command(os.Args[0])
	if r.binary != "" {
		r.process = exec.Command(r.binary, "serve")
	}
	r.process.Env = append(os.Environ(), nodeEnv+"=1", "ROUTER_CONFIG="+config, "TMPDIR="+dir)
	r.process.Stderr = log
	if err := r.process.Start(); err != nil {
		r.t.Fatal(err)
	}
	go func() {
		_ = r.process.Wait() // its status is no rule's
		close(r.exited)
	}()
	r.t.Cleanup(func() {
		r.signal(syscall.SIGKILL)
		<-r.exited
	})
	testkit.Await(r.t, "the node to listen", func() bool {
		raw, _ := os.ReadFile(r.log)
		_, rest, found := strings.Cut(string(raw), "msg=listening")
		if !found {
			return false
		}
		_, rest, _ = strings.Cut(rest, "address=")
		r.addr, _, found = strings.Cut(rest, " ")
		return found
	})
	testkit.Await(r.t, "the node to be ready", func() bool {
		conn, err := net.Dial("tcp", r.addr)
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }() // it was only asked
		write(conn, "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		head := make([]byte, len("HTTP/1.1 200"))
		n, _ := conn.Read(head)
		return string(head[:n]) == "HTTP/1.1 200"
	})
}

// configFormat is the node's configuration: discovery, descriptors, the last list, and the longest deadline.
const configFormat = `{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
 "limits":{"cores":1,"memory_mb":64,"sockets":%d},"known":%s,
 "settings":{"position":0,"groupSize":1,"zone":"a","localities":["a"],"kinds":["k"],
  "services":[
   {"name":"hladanie","deadline":%[4]d,"aim":%[4]d,"repeat":"free","value":1},
   {"name":"rezervacia","deadline":%[4]d,"aim":%[4]d,"repeat":"single_shot","value":1},
   {"name":"zrusenie","deadline":%[4]d,"aim":%[4]d,"repeat":"guarded","group":"all","window":4000,"value":1}],
  "tenants":[{"name":"t","quotaRps":100000,"fraction":1}],
  "limits":{"cancelling":true,"connIdle":5000,"connectTimeout":250,"maxAttempts":4,"maxOpen":20000,"maxRetryAfter":2000,
   "retryAfter":true,"secondCopies":true,"streamsPerConn":1},
  "guarantees":{"cold":8400,"coldShare":0.34,"drainGrace":500,"fallMultiple":3,"graceToAnswer":20,"overloadFor":1000}}}`
