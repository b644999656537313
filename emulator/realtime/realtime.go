// Package realtime runs a plan in real time on loopback sockets. Nodes are processes of the daemon. Emulated servers
// use real protocols, discovery uses the platform's protocol or xDS, and clients send an open-loop load.
// docs/rehearse.md lists the differences from virtual time.
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
	slack             = 100 * time.Millisecond // tolerance for times observed through sockets and goroutines
	maxServers        = 400
	maxNodes          = 24
	maxInFlight       = 20000                 // maximum requests in flight; the load generator can't keep up with more
	lateThreshold     = 20 * time.Millisecond // lag after which a request counts as sent late
	maxLateShare      = 0.01                  // maximum fraction of requests sent late in a valid run
	overloadPoll      = 50 * time.Millisecond // interval of checks for servers that crashed under overload
	levelPoll         = time.Second           // interval of reads of the first node's level of reduced service
	protocolXDS       = "xds"                 // value of discovery.form
	replacementSuffix = "r"                   // suffix of the ID of a server that replaces another server
)

// Options configure a run.
type Options struct {
	Command         []string // node command, such as `wayhold serve`; the environment names its configuration files
	NewControlPlane NewAgent // starts an agent that uses xDS; nil if the program has no xDS
	Levels          string   // TOML tables [service] and [[level]] for every node's configuration; empty: no levels
	// AdminClient returns a client of the admin API on a Unix socket, and the API's base URL. Levels require
	// AdminClient.
	AdminClient func(socket string) (client *http.Client, baseURL string)
	OnProgress  func(at time.Duration) // nil: no progress reports
	OnDone      func(*plan.Request, result.Outcome)
}

// rehearsal is the state of one run.
type rehearsal struct {
	plan     *plan.Plan
	options  Options
	dir      string // directory of the nodes' configuration files
	observer *observer
	stop     context.CancelFunc

	servers []*server
	nodes   []*node
	clients []*http.Client // client for each node, by node index

	tasks  sync.WaitGroup
	timers sync.WaitGroup
	quit   chan struct{} // closed at the end of the run

	balancerMu sync.Mutex
	balancer   *plan.Balancer

	keysMu    sync.Mutex
	keyTables map[string]*model.KeyTable

	errMu sync.Mutex
	err   error // first failure, which ends the run

	delaysMu   sync.Mutex
	listDelays []time.Duration // extra delays of endpoint list updates, one for each active fault

	// Only the load generator uses the fields below. finish reads the counts after generateLoad has returned.
	inFlight  chan struct{}
	sentCount int
	lateCount int
}

// now returns the time since the start of the script.
func (r *rehearsal) now() time.Duration { return r.observer.now() }

// fail ends the run. The first error becomes the error of the run.
func (r *rehearsal) fail(err error) {
	r.errMu.Lock()
	defer r.errMu.Unlock()
	if r.err == nil {
		r.err = err
	}
	r.stop()
}

// Run runs a plan to its end, stops all servers and processes that it has started, and returns the result. It fails
// if ctx is done, or if a server or node fails for a reason other than a fault of the plan.
func Run(ctx context.Context, source *plan.Plan, options Options) (*result.Result, error) {
	if err := checkLimits(source, &options); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rehearse")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // temporary files that remain don't change the result
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

// checkLimits returns an error if the plan is too large for real time, or if the program lacks the plan's discovery
// protocol.
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

// start starts the servers, the nodes and the background tasks. It also schedules the faults.
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
	r.timers.Go(r.pollServers) // in timers, because pollServers adds timers, which must not race with timers.Wait
	return nil
}

// shutdown closes the clients' idle connections and stops nodes and servers in the reverse order of their start.
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

// finish returns the result after the last request. The run is invalid if too many requests were sent late.
func (r *rehearsal) finish() *result.Result {
	if r.lateCount > int(maxLateShare*float64(r.sentCount)) {
		r.observer.invalidate(fmt.Sprintf("the load generator sent %d of %d requests more than %v late: "+
			"this machine is too busy or too small for the script", r.lateCount, r.sentCount, lateThreshold))
	}
	return r.observer.finish()
}

// schedule calls do at a time after the start of the script, unless the run ends first.
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

// recordLevels records the first node's level of reduced service until the end of the run. While the node doesn't
// answer, recordLevels repeats the last known level.
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

// pollServers ends the processes of servers whose model crashed under overload, and reports progress. It runs until
// the end of the run.
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

// newLocator returns a function that looks up the zone and the cell of a server. A replacement has the zone and the
// cell of its original.
func newLocator(p *plan.Plan) func(id string) (zone string, cell int64) {
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

// checkerConfig returns the checker's configuration. It differs from the configuration for virtual time only in the
// tolerance slack.
func checkerConfig(p *plan.Plan) checker.Config {
	config := sim.CheckerConfig(p, newLocator(p))
	config.Slack = slack
	return config
}
