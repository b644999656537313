// Package realtime runs a plan in real time on loopback sockets: nodes are processes of the daemon, emulated servers
// use real protocols, discovery uses the platform's protocol or xDS, and clients send an open-loop load. The
// differences from virtual time are listed in docs/rehearse.md.
package realtime

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/model"
	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
	"cobaltward/emulator/sim"
)

const (
	slack             = 100 * time.Millisecond // uncertainty of times observed by goroutines on sockets
	maxServers        = 400
	maxNodes          = 24
	maxInFlight       = 20000                 // requests; the load generator can't keep up beyond
	lateAfter         = 20 * time.Millisecond // after which a request counts as sent late
	maxLateShare      = 0.01                  // fraction of late requests that makes a run invalid
	overloadPoll      = 50 * time.Millisecond // between checks for servers that have crashed
	levelPoll         = time.Second           // between reads of the first node's degradation level
	protocolXDS       = "xds"                 // value of discovery.form
	replacementSuffix = "r"                   // appended to the ID of a server that replaces another one
)

// Options configure a run.
type Options struct {
	Command         []string // starts a node, such as `wayhold serve`; its configuration is in the environment
	NewControlPlane NewAgent // discovery by xDS; nil if the program has none
	Levels          string   // tables [service] and [[level]] of every node's configuration; empty: no levels
	// AdminClient returns a client of the admin API on a Unix socket, and its base URL. It is needed with Levels.
	AdminClient func(socket string) (client *http.Client, baseURL string)
	OnProgress  func(at time.Duration) // may be nil
	OnDone      func(*plan.Request, result.Outcome)
}

// rehearsal is the state of one run.
type rehearsal struct {
	plan     *plan.Plan
	options  Options
	dir      string // of the nodes' configurations
	observer *observer
	stop     context.CancelFunc

	servers []*server
	nodes   []*node
	clients []*http.Client // by node

	tasks  sync.WaitGroup
	timers sync.WaitGroup
	quit   chan struct{} // closed at the end

	balancerMu sync.Mutex
	balancer   *plan.Balancer

	keysMu    sync.Mutex
	keyTables map[string]*model.KeyTable

	errMu sync.Mutex
	err   error // the first failure, which ends the run

	delaysMu   sync.Mutex
	listDelays []time.Duration // extra delays of the endpoint list

	// Owned by the load generator.
	inFlight  chan struct{}
	sentCount int
	lateCount int
}

// now returns the time since the start of the script.
func (r *rehearsal) now() time.Duration { return r.observer.now() }

// fail ends the run with its first error.
func (r *rehearsal) fail(err error) {
	r.errMu.Lock()
	defer r.errMu.Unlock()
	if r.err == nil {
		r.err = err
	}
	r.stop()
}

// Run runs a plan to its end, and stops all servers and processes that it has started. It returns an error if ctx is
// done, or if a server or node fails without a fault of the plan.
func Run(ctx context.Context, source *plan.Plan, options Options) (*result.Result, error) {
	if err := checkLimits(source, &options); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rehearse")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover of temporary files doesn't change the result
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &rehearsal{
		plan: source, options: options, dir: dir, balancer: source.NewBalancer(), stop: stop,
		keyTables: make(map[string]*model.KeyTable), quit: make(chan struct{}), inFlight: make(chan struct{}, maxInFlight),
		observer: newObserver(source, options.OnDone),
	}
	defer r.tasks.Wait()
	defer r.timers.Wait()
	defer close(r.quit)
	defer r.shutdown()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	r.generateLoad(ctx)
	r.errMu.Lock()
	err = r.err
	r.errMu.Unlock()
	if err = errors.Join(err, ctx.Err()); err != nil {
		return nil, err
	}
	return r.finish(), nil
}

// checkLimits returns an error for plans that can't run in real time.
func checkLimits(p *plan.Plan, options *Options) error {
	if len(p.Servers) > maxServers || len(p.Nodes) > maxNodes {
		return fmt.Errorf("%d servers and %d nodes: real time allows at most %d and %d; use virtual time",
			len(p.Servers), len(p.Nodes), maxServers, maxNodes)
	}
	if p.Script.Discovery.Protocol == protocolXDS && options.NewControlPlane == nil {
		return errors.New(`discovery.form = "xds": this program has no xDS; use wayhold-xds`)
	}
	return nil
}

// start starts servers, nodes and the background tasks, and schedules the faults.
func (r *rehearsal) start(ctx context.Context) error {
	for i := range r.plan.Servers {
		s := &server{rehearsal: r, spec: &r.plan.Servers[i], index: i}
		r.servers = append(r.servers, s)
		if err := s.start(r.plan.Servers[i].ID, true); err != nil {
			return err
		}
	}
	for i := range r.plan.Nodes {
		if err := r.addNode(ctx, i); err != nil {
			return err
		}
	}
	r.observer.restartClock()
	for i := range r.plan.Faults {
		fault := &r.plan.Faults[i]
		r.schedule(fault.At, func() { r.startFault(fault) })
		r.schedule(fault.End(), func() { r.endFault(ctx, fault) })
	}
	if r.options.Levels != "" {
		r.tasks.Go(r.recordLevels)
	}
	r.timers.Go(r.pollServers) // it starts timers, which must not happen once they are waited for
	return nil
}

// shutdown stops clients, nodes and servers, in the reverse order of their start.
func (r *rehearsal) shutdown() {
	for _, client := range r.clients {
		client.CloseIdleConnections()
	}
	for i := len(r.nodes) - 1; i >= 0; i-- {
		r.nodes[i].kill()
		r.nodes[i].agent.Stop()
	}
	for i := len(r.servers) - 1; i >= 0; i-- {
		r.servers[i].crash()
	}
}

// finish returns the result after the last request.
func (r *rehearsal) finish() *result.Result {
	if r.lateCount > int(maxLateShare*float64(r.sentCount)) {
		r.observer.invalidate(fmt.Sprintf("the load generator sent %d of %d requests more than %v late: "+
			"this machine is too busy or too small for the script", r.lateCount, r.sentCount, lateAfter))
	}
	return r.observer.finish()
}

// schedule calls do at a time of the script, unless the run ends before.
func (r *rehearsal) schedule(at time.Duration, do func()) {
	r.timers.Go(func() {
		timer := time.NewTimer(time.Until(r.observer.startedAt.Add(at)))
		defer timer.Stop()
		select {
		case <-timer.C:
			do()
		case <-r.quit:
		}
	})
}

// recordLevels records the degradation level of the first node until the end of the run.
func (r *rehearsal) recordLevels() {
	ticker := time.NewTicker(levelPoll)
	defer ticker.Stop()
	last := result.Level{}
	for {
		select {
		case <-ticker.C:
		case <-r.quit:
			return
		}
		if level, ok := r.nodes[0].level(); ok {
			last = level
		}
		r.observer.level(last)
	}
}

// pollServers ends servers whose model has crashed, until the end of the run.
func (r *rehearsal) pollServers() {
	ticker := time.NewTicker(overloadPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-r.quit:
			return
		}
		for _, s := range r.servers {
			s.poll()
		}
		if r.options.OnProgress != nil {
			r.options.OnProgress(r.now())
		}
	}
}

// placer returns a function that returns the zone and the cell of a server; a replacement has those of its original.
func placer(p *plan.Plan) func(id string) (zone string, cell int64) {
	servers := make(map[string]*plan.Server)
	for i := range p.Servers {
		servers[p.Servers[i].ID] = &p.Servers[i]
	}
	return func(id string) (zone string, cell int64) {
		if s := servers[strings.TrimRight(id, replacementSuffix)]; s != nil {
			return s.Zone, s.Cell
		}
		return "", 0
	}
}

// checkerConfig is that of virtual time, with the uncertainty of real time.
func checkerConfig(p *plan.Plan) checker.Config {
	config := sim.CheckerConfig(p, placer(p))
	config.Slack = slack
	return config
}
