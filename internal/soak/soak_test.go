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
	firstSeed = flag.Uint64("soak.seed", 1, "seed of the first run")
	seeds     = flag.Int("soak.seeds", 6, "number of runs, each with its own seed")
	parallel  = flag.Int("soak.together", 3, "maximum number of concurrent runs")
	longRest  = flag.Duration("soak.rest", 4*time.Second, "longest idle time of clients before their first request")
)

// pausedRuns multiplies -soak.seeds to get the number of runs of TestSoak_PausedNode.
const pausedRuns = 5

// nodeEnv is the environment variable that makes the test binary run as a node.
const nodeEnv = "WAYHOLD_SOAK_NODE"

// Times that the operators' rules define.
const (
	killDelay        = 700 * time.Millisecond // minimum time from SIGTERM to SIGKILL, minus the longest deadline
	clientsRoutedFor = 200 * time.Millisecond // minimum time after SIGTERM for which clients may open connections
)

func TestMain(m *testing.M) {
	if os.Getenv(nodeEnv) != "" {
		os.Args = []string{"wayhold", "serve"}
		os.Exit(cli.Main(cli.Extensions{}))
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestSoak_KeepsOperatorsRules checks that the node violates none of the operators' rules in one run for each seed.
// The runs have no pauses and no resting clients.
func TestSoak_KeepsOperatorsRules(t *testing.T) {
	runSeeds(t, *seeds, func(*soakRun, uint64) {})
}

// TestSoak_PausedNode checks that the node violates none of the operators' rules while SIGSTOP and SIGCONT repeatedly
// pause it, as on a host that is suspended. Servers and clients keep running.
func TestSoak_PausedNode(t *testing.T) {
	runSeeds(t, pausedRuns**seeds, func(r *soakRun, seed uint64) { r.pauses = newPauseSchedule(seed) })
}

// TestSoak_RestingClients checks that the node violates none of the operators' rules if clients keep their first
// connection idle for some time before the first request. In every second run the node is also paused.
func TestSoak_RestingClients(t *testing.T) {
	runSeeds(t, *seeds, func(r *soakRun, seed uint64) {
		r.longestRest = *longRest
		if seed%2 == 0 {
			r.pauses = newPauseSchedule(seed)
		}
	})
}

// runSeeds executes the given number of runs with consecutive seeds. It calls configure before each run to adapt the
// run.
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

// soakRun is a run of one node with its servers and clients. The random choices of a run depend only on the run's
// seed, except the random choices of the servers.
type soakRun struct {
	t               *testing.T
	seed            uint64
	rng             *rand.Rand
	history         *history
	servers         []*server
	registry        *registry
	longestDeadline time.Duration // deadline of every class
	node            *nodeProcess
	pauses          *pauseSchedule // pauses of the node; nil: none
	longestRest     time.Duration  // maximum idle time of clients before their first request; 0: no resting clients
	clientsRouted   atomic.Bool    // true while clients may open connections to the node
	stopping        atomic.Bool    // true once the test terminates the node
	nodeExited      atomic.Bool    // true once the node's process has exited
}

func newSoakRun(t *testing.T, seed uint64) *soakRun {
	t.Helper()
	r := &soakRun{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, seed)), history: newHistory()}
	r.longestDeadline = time.Duration(150+r.rng.IntN(1350)) * time.Millisecond
	for i := range 3 + r.rng.IntN(4) {
		r.servers = append(r.servers, startServer(t, fmt.Sprint("s", i), r.history, []float64{0, 0.05, 0.3}[r.rng.IntN(3)]))
	}
	r.registry = startRegistry(t, r.servers)
	return r
}

// execute starts the node and its clients, injects faults and terminates the node. It kills a node that has not
// exited at the earliest time of SIGKILL. Then it reports violations.
func (r *soakRun) execute() {
	r.startNode()
	var clients, pausing sync.WaitGroup
	if r.pauses != nil {
		pausing.Go(func() { r.pauses.run(r.node) })
	}
	r.clientsRouted.Store(true)
	fillDescriptors, closeIdle := r.rng.IntN(3) == 0, func() {}
	if r.longestRest > 0 {
		r.startRestingClients(&clients, fillDescriptors)
		time.Sleep(r.longestRest - restOverlap)
	}
	if fillDescriptors {
		closeIdle = openIdleConns(r.node.addr, 40+r.rng.IntN(80))
	}
	abandonRates := []float64{0, 0.05, 0.2}
	pauses := []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond}
	for i := range 6 + r.rng.IntN(24) {
		clientSeed := r.rng.Uint64()
		c := &client{
			name: fmt.Sprint("c", i), addr: r.node.addr, history: r.history,
			rng: rand.New(rand.NewPCG(clientSeed, 1)), connectRNG: rand.New(rand.NewPCG(clientSeed, 2)),
			longestDeadline: r.longestDeadline, clientsRouted: &r.clientsRouted,
			stopping: &r.stopping, nodeExited: &r.nodeExited, descriptorsFull: fillDescriptors,
			abandonRate: abandonRates[r.rng.IntN(len(abandonRates))], longestPause: pauses[r.rng.IntN(len(pauses))],
		}
		clients.Go(c.run)
	}
	r.injectFaults(time.Duration(200+r.rng.IntN(800)) * time.Millisecond)
	r.terminate()
	clients.Wait()
	closeIdle()
	pausing.Wait() // the pauses end when the node exits
	r.report()
}

// restOverlap is the time between the start of the other clients and the end of the longest rest. With this overlap,
// some resting clients send their first request while the node shuts down.
const restOverlap = time.Second

// startRestingClients starts clients that connect now and stay idle before their first request. These clients have
// their own random generator, so that they do not affect the other random choices of a run.
func (r *soakRun) startRestingClients(clients *sync.WaitGroup, descriptorsFull bool) {
	const restingClients = 20
	const stream = 4 // each generator with the run's seed uses its own stream
	rng := rand.New(rand.NewPCG(r.seed, stream))
	for i := range restingClients {
		clientSeed := rng.Uint64()
		c := &client{
			name: fmt.Sprint("r", i), addr: r.node.addr, history: r.history,
			rng: rand.New(rand.NewPCG(clientSeed, 1)), connectRNG: rand.New(rand.NewPCG(clientSeed, 2)),
			longestDeadline: r.longestDeadline, clientsRouted: &r.clientsRouted,
			stopping: &r.stopping, nodeExited: &r.nodeExited, descriptorsFull: descriptorsFull,
			longestPause: 300 * time.Millisecond, rest: time.Duration(rng.Int64N(int64(r.longestRest))),
		}
		clients.Go(c.run)
	}
}

// injectFaults injects faults at random times for the given duration. It makes servers hang and recover, changes the
// endpoint list and reloads the configuration.
func (r *soakRun) injectFaults(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(20+r.rng.IntN(80)) * time.Millisecond)
		switch r.rng.IntN(4) {
		case 0:
			s := r.servers[r.rng.IntN(len(r.servers))]
			s.hanging.Store(!s.hanging.Load())
		case 1:
			r.node.signal(syscall.SIGHUP)
		case 2:
			r.registry.set(r.servers[:1+r.rng.IntN(len(r.servers))])
		}
	}
}

// terminate sends SIGTERM and then up to four more signals, each a SIGHUP or a SIGTERM. If the node has not exited by
// the earliest time that the operators' rules allow for SIGKILL, terminate sends SIGKILL.
func (r *soakRun) terminate() {
	if r.rng.IntN(2) == 0 {
		for _, s := range r.servers {
			s.hanging.Store(r.rng.IntN(2) == 0)
		}
	}
	terminatedAt := time.Now()
	r.stopping.Store(true)
	r.node.signal(syscall.SIGTERM)
	time.AfterFunc(clientsRoutedFor, func() { r.clientsRouted.Store(false) })
	killAt := terminatedAt.Add(r.longestDeadline + killDelay)
	for range r.rng.IntN(5) {
		time.Sleep(time.Duration(r.rng.Int64N(int64(r.longestDeadline / 4))))
		r.node.signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[r.rng.IntN(2)])
	}
	select {
	case <-r.node.exited:
		r.history.count("exited before SIGKILL")
	case <-time.After(time.Until(killAt)):
		r.history.count("killed")
		r.node.signal(syscall.SIGKILL)
		<-r.node.exited
	}
	r.nodeExited.Store(true)
	r.clientsRouted.Store(false)
}

// report reports up to ten violations as test errors. If there are violations, it also logs the node's log.
func (r *soakRun) report() {
	history := r.history
	history.mu.Lock()
	defer history.mu.Unlock()
	r.t.Logf("longest deadline %v, event counts: %v", r.longestDeadline, history.counts)
	if r.pauses != nil {
		r.t.Logf("the node was paused %d times, for %v in total", r.pauses.count, r.pauses.total)
	}
	if len(history.violations) == 0 {
		return
	}
	for _, violation := range history.violations[:min(len(history.violations), 10)] {
		r.t.Error(violation)
	}
	log, _ := os.ReadFile(r.node.logPath) // after an error, the violations are still reported
	r.t.Logf("%d violations; the node's log:\n%s", len(history.violations), log)
}

// restingDescriptors is the number of additional descriptors of a node in runs with resting clients. The node then
// does not evict the connections of resting clients, unless idle clients fill its descriptors.
const restingDescriptors = 256

// startNode starts the test binary as the node.
func (r *soakRun) startNode() {
	r.t.Helper()
	descriptors := 64 + r.rng.IntN(4)*64
	if r.longestRest > 0 {
		descriptors += restingDescriptors
	}
	config := fmt.Sprintf(configFormat, r.registry.addr, descriptors, r.registry.list(), r.longestDeadline.Milliseconds())
	r.node = startNode(r.t, exec.Command(os.Args[0]), config)
}

// configFormat is the format of the node's configuration. Its arguments are the address of discovery, the number of
// descriptors, the last endpoint list, and the deadline of every class in ms.
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
