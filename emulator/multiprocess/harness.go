// Package multiprocess is a test harness that starts many real processes of the program on loopback. It puts a
// fault-injecting proxy on each link over which a process sends requests. It injects the faults of a script and
// checks the effects on the nodes.
//
// A process may exit by itself without failing the run. The harness relies on the machine's monotonic clock; only the
// lease history has wall-clock times. A process that doesn't respond breaks no invariant before the end of the
// script. After the script's faults are lifted, the processes have the recovery timeout to respond.
package multiprocess

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
)

const (
	startTimeout    = 20 * time.Second
	recoveryTimeout = 60 * time.Second // maximum time from the last fault to the end of the current rolling update
	pollInterval    = 20 * time.Millisecond
	listenAddress   = "127.0.0.1:0"
	authToken       = "a-secret-of-the-harness"
	tokenFile       = "token"
	headerTimeout   = 5 * time.Second // timeout for reading the headers of a request
)

// Options are the settings of a run that its script does not contain.
type Options struct {
	Command    []string // command line of a program that calls Child
	SkipGuards string   // safeguards to disable in all processes, separated by spaces
}

// Harness holds the processes of a run with their proxies and stand-ins.
type Harness struct {
	Messages MessageCounts

	startedAt  atomic.Pointer[time.Time] // time zero of the script
	script     *Script
	options    Options
	dir        string
	discardLog *slog.Logger
	processes  map[string]*process
	proxies    map[link]*proxy
	checker    *effectChecker
	traffic    *traffic // nil if the nodes are stand-ins
	client     *agent.Client
	tasks      sync.WaitGroup
	closing    chan struct{}

	mu           sync.Mutex
	injected     map[string]int // number of injected faults by kind
	updateIDs    []string
	updatesEnded int
}

// Run runs a script. When Run returns, all processes and goroutines that it started have ended. An error means that
// the script could not be run. The result lists broken invariants.
func Run(ctx context.Context, script *Script, options Options) (*Result, error) {
	harness, err := Start(ctx, script, options)
	if err != nil {
		return nil, err
	}
	defer harness.Close()
	var faults sync.WaitGroup
	for i, fault := range script.Faults {
		faults.Go(func() { harness.injectFault(ctx, i, fault) })
	}
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	if harness.traffic != nil {
		harness.tasks.Go(func() { harness.traffic.run(trafficCtx) })
	}
	updatesCtx, stopUpdates := context.WithCancel(trafficCtx)
	defer stopUpdates()
	harness.tasks.Go(func() { harness.runUpdates(updatesCtx) })
	waitUntil(ctx, harness.startTime().Add(script.Length))
	faults.Wait()
	stopUpdates()
	violations := harness.awaitRecovery(ctx)
	stopTraffic()
	if harness.traffic != nil {
		violations = append(violations, harness.traffic.check()...)
	}
	result := harness.result()
	result.Violations = append(result.Violations, violations...)
	if len(result.Violations) > 0 {
		result.Log = harness.logs()
	}
	return result, ctx.Err()
}

// Start starts all processes of a script without injecting the script's faults. The caller must call Close.
func Start(ctx context.Context, script *Script, options Options) (*Harness, error) {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, fmt.Errorf("create a directory for the processes: %w", err)
	}
	h := &Harness{
		script: script, options: options, dir: dir,
		processes: make(map[string]*process), proxies: make(map[link]*proxy),
		closing: make(chan struct{}), injected: make(map[string]int),
		discardLog: slog.New(slog.DiscardHandler),
	}
	h.resetStartTime()
	if err := h.start(ctx); err != nil {
		defer h.Close()
		return nil, fmt.Errorf("start the processes: %w\n%s", err, h.logs())
	}
	h.resetStartTime()
	return h, nil
}

// start starts all processes. It waits until all replicas are members and all nodes are registered.
func (h *Harness) start(ctx context.Context) error {
	var err error
	if h.checker, err = newEffectChecker(h); err != nil {
		return err
	}
	if err := os.WriteFile(h.path(tokenFile), []byte(authToken+"\n"), 0o600); err != nil {
		return err
	}
	if err := h.createProxies(); err != nil {
		return err
	}
	if err := h.createProcesses(); err != nil {
		return err
	}
	if h.script.RequestRate > 0 {
		if err := h.startTraffic(); err != nil {
			return err
		}
	}
	if output, err := h.runCommand("c1", "init"); err != nil {
		return fmt.Errorf("init: %w: %s", err, output)
	}
	for _, name := range h.script.Names() {
		if err := h.processes[name].start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, name := range h.script.replicaNames()[1:] {
		if err := h.addMember(ctx, name); err != nil {
			return err
		}
	}
	return h.awaitState(ctx, "all nodes to register", func(state *fleet.State) bool {
		return len(state.Nodes) == h.script.Nodes
	})
}

// createProxies opens a proxy on each link over which a process sends requests. Replicas send requests only to other
// replicas.
func (h *Harness) createProxies() error {
	names := h.script.Names()
	seed := h.script.Seed
	for _, from := range names {
		for _, to := range names {
			if isReplica(from) && (from == to || !isReplica(to)) {
				continue
			}
			seed++
			opened, err := newProxy(h, link{from, to}, seed)
			if err != nil {
				return err
			}
			h.proxies[link{from, to}] = opened
		}
	}
	return nil
}

// createProcesses writes the settings files of all processes and opens the admin APIs of the node stand-ins.
func (h *Harness) createProcesses() error {
	h.client = agent.NewClient(nil, make(map[string]string), authToken, nil)
	for _, name := range h.script.Names() {
		h.processes[name] = newProcess(h, name)
	}
	for _, name := range h.script.Names() {
		if err := h.processes[name].writeConfig(); err != nil {
			return err
		}
		if isReplica(name) {
			h.client.Replicas = append(h.client.Replicas, canonicalAddress(name))
		} else if err := h.checker.addNode(name, h.socket(name)); err != nil {
			return err
		}
	}
	return nil
}

// Close ends everything that Start started, and removes the files of the run.
func (h *Harness) Close() {
	close(h.closing)
	for _, p := range h.processes {
		p.kill()
	}
	for _, p := range h.proxies {
		p.close()
	}
	if h.checker != nil {
		h.checker.close()
	}
	if h.traffic != nil {
		h.traffic.close()
	}
	h.tasks.Wait()
	if h.client != nil {
		h.client.HTTP.CloseIdleConnections()
	}
	_ = os.RemoveAll(h.dir) // files that remain in the temporary directory do no harm
}

// fail records a broken invariant.
func (h *Harness) fail(violation string) {
	violation = fmt.Sprintf("%.3fs: %s", h.elapsed().Seconds(), violation)
	h.checker.mu.Lock()
	defer h.checker.mu.Unlock()
	h.checker.violations = append(h.checker.violations, violation)
}

func (h *Harness) startTime() time.Time { return *h.startedAt.Load() }

func (h *Harness) elapsed() time.Duration { return time.Since(h.startTime()) }

// resetStartTime sets time zero of the script to now.
func (h *Harness) resetStartTime() {
	now := time.Now()
	h.startedAt.Store(&now)
}

// path returns the path of a file in the directory of the run.
func (h *Harness) path(file string) string { return filepath.Join(h.dir, file) }

// socket returns the path of a node's admin API socket.
func (h *Harness) socket(node string) string { return h.path(node + ".sock") }

// processNames returns the names of all processes, sorted.
func (h *Harness) processNames() []string { return slices.Sorted(maps.Keys(h.processes)) }

// address returns the address on which a process listens; empty while it is down.
func (h *Harness) address(name string) string {
	p := h.processes[name]
	if p == nil {
		return ""
	}
	return p.currentAddress()
}

// isReplica reports whether a process is a consensus replica. All other processes are agents of nodes.
func isReplica(name string) bool { return name[0] == 'c' }

// processNumber returns the number in a process's name, such as 2 for "n2". Sscanf can't fail, because the names come
// from numberedNames.
func processNumber(name string) (number int) {
	_, _ = fmt.Sscanf(name[1:], "%d", &number)
	return number
}

// canonicalAddress returns the address of a process in the settings of all processes. No process listens on it: each
// sender reaches the process through a proxy.
func canonicalAddress(name string) string {
	subnet := 1
	if !isReplica(name) {
		subnet = 2
	}
	return net.JoinHostPort(fmt.Sprintf("127.99.%d.%d", subnet, processNumber(name)), "7600")
}

// waitUntil waits until the given time or until the context ends.
func waitUntil(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
