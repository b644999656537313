package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/cli"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "the seed of the first run")
	seeds     = flag.Int("soak.seeds", 6, "how many runs")
	parallel  = flag.Int("soak.together", 3, "how many runs at a time")
	longRest  = flag.Duration("soak.rest", 4*time.Second, "the longest rest of clients ahead of their first request")
)

// pausedRuns is how many runs TestSoak_PausedNode does for each of -soak.seeds.
const pausedRuns = 5

// nodeEnv names the environment variable that makes this binary the node of a run.
const nodeEnv = "WAYHOLD_SOAK_NODE"

// Times that the operators' pages give.
const (
	killDelay        = 700 * time.Millisecond // from SIGTERM and the longest deadline to the earliest SIGKILL
	clientsRoutedFor = 200 * time.Millisecond // the shortest time after SIGTERM in which clients open connections
)

func TestMain(m *testing.M) {
	if os.Getenv(nodeEnv) != "" {
		os.Args = []string{"wayhold", "serve"}
		os.Exit(cli.Main(cli.Extensions{}))
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestSoak_KeepsOperatorsRules does one run for each seed.
func TestSoak_KeepsOperatorsRules(t *testing.T) {
	runSeeds(t, *seeds, func(*soakRun, uint64) {})
}

// TestSoak_PausedNode does one run for each seed whose node is stopped and continued again and again, as by a host that
// is suspended. Servers and clients are not.
func TestSoak_PausedNode(t *testing.T) {
	runSeeds(t, pausedRuns**seeds, func(r *soakRun, seed uint64) { r.pauses = newPauseSchedule(seed) })
}

// TestSoak_RestingClients does one run for each seed with clients that connect and rest before their first request; the
// node is paused in every second run.
func TestSoak_RestingClients(t *testing.T) {
	runSeeds(t, *seeds, func(r *soakRun, seed uint64) {
		r.rest = *longRest
		if seed%2 == 0 {
			r.pauses = newPauseSchedule(seed)
		}
	})
}

// runSeeds does so many runs, one for each seed, which configure may change first.
func runSeeds(t *testing.T, runs int, configure func(r *soakRun, seed uint64)) {
	limit := make(chan struct{}, *parallel)
	for i := range runs {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			limit <- struct{}{}
			defer func() { <-limit }()
			run := newSoakRun(t, seed)
			configure(run, seed)
			run.execute()
		})
	}
}

// soakRun is one node with its servers and clients. All that it does is drawn from its seed.
type soakRun struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	history  *history
	servers  []*server
	registry *registry
	longest  time.Duration // the deadline of every class
	node     *nodeProcess
	pauses   *pauseSchedule // of the node; nil: none
	rest     time.Duration  // longest rest of resting clients; 0: there are none
	routed   atomic.Bool    // clients may open connections to the node
	stopping atomic.Bool    // the node is being terminated
	ended    atomic.Bool    // the node has ended
}

func newSoakRun(t *testing.T, seed uint64) *soakRun {
	t.Helper()
	r := &soakRun{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, seed)), history: newHistory()}
	r.longest = time.Duration(150+r.rng.IntN(1350)) * time.Millisecond
	for i := range 3 + r.rng.IntN(4) {
		r.servers = append(r.servers, startServer(t, fmt.Sprint("s", i), r.history, []float64{0, 0.05, 0.3}[r.rng.IntN(3)]))
	}
	r.registry = startRegistry(t, r.servers)
	return r
}

// execute starts the node, has clients use it, terminates it, kills it at the earliest moment, and reports violations.
func (r *soakRun) execute() {
	r.startNode()
	var clients, pausing sync.WaitGroup
	if r.pauses != nil {
		pausing.Go(func() { r.pauses.run(r.node) })
	}
	r.routed.Store(true)
	crowded, closeIdle := r.rng.IntN(3) == 0, func() {}
	if r.rest > 0 {
		r.startRestingClients(&clients, crowded)
		time.Sleep(r.rest - restOverlap)
	}
	if crowded {
		closeIdle = openIdleConns(r.node.addr, 40+r.rng.IntN(80))
	}
	abandonRates := []float64{0, 0.05, 0.2}
	pauses := []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond}
	for i := range 6 + r.rng.IntN(24) {
		clientSeed := r.rng.Uint64()
		c := &client{
			name: fmt.Sprint("c", i), addr: r.node.addr, history: r.history,
			rng: rand.New(rand.NewPCG(clientSeed, 1)), connectRNG: rand.New(rand.NewPCG(clientSeed, 2)),
			longest: r.longest, routed: &r.routed, stopping: &r.stopping, ended: &r.ended, crowded: crowded,
			abandons: abandonRates[r.rng.IntN(len(abandonRates))], pause: pauses[r.rng.IntN(len(pauses))],
		}
		clients.Go(c.run)
	}
	r.injectFaults(time.Duration(200+r.rng.IntN(800)) * time.Millisecond)
	r.terminate()
	clients.Wait()
	closeIdle()
	pausing.Wait() // ends with the node
	r.report()
}

// restOverlap is how long before the longest rest the other clients and the faults begin: the first requests of some
// resting clients come as the node ends.
const restOverlap = time.Second

// startRestingClients starts clients that connect now and rest before their first request. Their draws are their own,
// so that the rest of a run does the same with and without them.
func (r *soakRun) startRestingClients(clients *sync.WaitGroup, crowded bool) {
	const restingClients = 20
	const stream = 4 // of the generators that are seeded by the run's seed
	rng := rand.New(rand.NewPCG(r.seed, stream))
	for i := range restingClients {
		clientSeed := rng.Uint64()
		c := &client{
			name: fmt.Sprint("r", i), addr: r.node.addr, history: r.history,
			rng: rand.New(rand.NewPCG(clientSeed, 1)), connectRNG: rand.New(rand.NewPCG(clientSeed, 2)),
			longest: r.longest, routed: &r.routed, stopping: &r.stopping, ended: &r.ended, crowded: crowded,
			pause: 300 * time.Millisecond, rest: time.Duration(rng.Int64N(int64(r.rest))),
		}
		clients.Go(c.run)
	}
}

// injectFaults has servers hang and recover, the endpoint list change and the configuration be reloaded, for a while.
func (r *soakRun) injectFaults(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(20+r.rng.IntN(80)) * time.Millisecond)
		switch r.rng.IntN(4) {
		case 0:
			s := r.servers[r.rng.IntN(len(r.servers))]
			s.hangs.Store(!s.hangs.Load())
		case 1:
			r.node.signal(syscall.SIGHUP)
		case 2:
			r.registry.set(r.servers[:1+r.rng.IntN(len(r.servers))])
		}
	}
}

// terminate sends SIGTERM, other signals in series, and SIGKILL at the earliest time that the pages allow.
func (r *soakRun) terminate() {
	if r.rng.IntN(2) == 0 {
		for _, s := range r.servers {
			s.hangs.Store(r.rng.IntN(2) == 0)
		}
	}
	terminatedAt := time.Now()
	r.stopping.Store(true)
	r.node.signal(syscall.SIGTERM)
	time.AfterFunc(clientsRoutedFor, func() { r.routed.Store(false) })
	killAt := terminatedAt.Add(r.longest + killDelay)
	for range r.rng.IntN(5) {
		time.Sleep(time.Duration(r.rng.Int64N(int64(r.longest / 4))))
		r.node.signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[r.rng.IntN(2)])
	}
	select {
	case <-r.node.exited:
		r.history.count("ended by itself")
	case <-time.After(time.Until(killAt)):
		r.history.count("killed")
		r.node.signal(syscall.SIGKILL)
		<-r.node.exited
	}
	r.ended.Store(true)
	r.routed.Store(false)
}

// report fails the test for each violation of a rule, and shows the log of the node.
func (r *soakRun) report() {
	history := r.history
	history.mu.Lock()
	defer history.mu.Unlock()
	r.t.Logf("longest deadline %v: %v", r.longest, history.counts)
	if r.pauses != nil {
		r.t.Logf("the node was paused %d times, for %v in all", r.pauses.count, r.pauses.total)
	}
	if len(history.violations) == 0 {
		return
	}
	for _, violation := range history.violations[:min(len(history.violations), 10)] {
		r.t.Error(violation)
	}
	log, _ := os.ReadFile(r.node.logPath) // without it the violations are still reported
	r.t.Logf("%d violations; the node's log:\n%s", len(history.violations), log)
}

// restingDescriptors are added for runs with resting clients: none of these is evicted, unless idle clients fill the
// node's descriptors.
const restingDescriptors = 256

// startNode starts this test's own binary as the node.
func (r *soakRun) startNode() {
	r.t.Helper()
	descriptors := 64 + r.rng.IntN(4)*64
	if r.rest > 0 {
		descriptors += restingDescriptors
	}
	config := fmt.Sprintf(configFormat, r.registry.addr, descriptors, r.registry.list(), r.longest.Milliseconds())
	r.node = startNode(r.t, exec.Command(os.Args[0]), config)
}

// configFormat is the node's configuration. Its arguments are the address of discovery, the number of descriptors, the
// last endpoint list, and the deadline of every class in ms.
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
