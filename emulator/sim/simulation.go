// Package sim runs a plan in virtual time. It runs the unmodified engine and policy with models of the servers, the
// network, discovery, the load balancer and the clients. It uses one goroutine, no clock and no sockets. The same
// plan therefore gives the same result, byte for byte.
package sim

import (
	"context"
	"time"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/model"
	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
	"cobaltward/internal/learnedstate"
	"cobaltward/internal/safeguards"
	"cobaltward/levels"
)

// epoch is the simulated wall-clock time at the start of a simulation.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

const (
	progressInterval = time.Second // virtual time between calls of Options.OnProgress
	contextCheckMask = 0xfff       // the context is checked after each event whose number has none of these bits
)

// Options configure a simulation. The zero value runs unmodified nodes without levels and snapshots.
type Options struct {
	Overrides        func() safeguards.Overrides // returns the overrides of a node's safeguards; nil: no overrides
	IgnoreDrains     bool                        // makes transports send to draining and removed servers
	TrustResets      bool                        // makes transports treat each reset as proof that the request did not run
	Levels           *levels.Config              // levels of reduced service of every node; nil: no levels
	SnapshotInterval time.Duration               // interval of learned-state snapshots for restarted nodes; 0: none
	OnProgress       func(at time.Duration)      // nil: no progress reports
	OnDone           func(*plan.Request, result.Outcome)

	onSend func(at time.Duration, node, server string) // called for each attempt at a server; for tests
}

// simulation is the state of one run.
type simulation struct {
	plan     *plan.Plan
	options  Options
	events   eventQueue
	now      time.Duration
	checker  *checker.Checker
	recorder *result.Recorder

	servers   []*server
	byID      map[string]*server
	nodes     []*node
	balancer  *plan.Balancer
	cutZones  map[string]int // number of active zone-cut faults, by zone
	keyTables keyTables

	discoveryFaults   int             // active faults that block discovery
	listDelays        []time.Duration // extra delays of endpoint list updates, one for each active fault
	openRequests      int
	arriving          bool                // true until the last request has arrived
	requestsByAttempt map[string]*request // request of each client attempt, by ID of the attempt
	err               error               // first error of an engine, which ends the simulation
}

// Run runs a plan to its end and returns the result. It fails if an engine fails or ctx is done.
func Run(ctx context.Context, p *plan.Plan, options Options) (*result.Result, error) {
	sim := &simulation{
		plan: p, options: options, byID: make(map[string]*server), balancer: p.NewBalancer(),
		cutZones: make(map[string]int), recorder: result.NewRecorder(p, "virtual", options.OnDone),
		arriving: true, requestsByAttempt: make(map[string]*request),
	}
	sim.keyTables = keyTables{sim: sim, tables: make(map[string]*model.KeyTable)}
	sim.checker = checker.New(CheckerConfig(p, sim.locate))
	if err := sim.start(); err != nil {
		return nil, err
	}
	if err := sim.runEvents(ctx); err != nil {
		return nil, err
	}
	return sim.recorder.Finish(sim.checker.Finish()), nil
}

// start creates servers and nodes, and schedules the first events.
func (sim *simulation) start() error {
	for i := range sim.plan.Servers {
		sim.addServer(&sim.plan.Servers[i], sim.plan.Servers[i].ID, i, true)
	}
	for i := range sim.plan.Nodes {
		if err := sim.addNode(i); err != nil {
			return err
		}
	}
	for i := range sim.plan.Faults {
		sim.scheduleFault(&sim.plan.Faults[i])
	}
	sim.scheduleArrival(sim.plan.Arrivals())
	sim.sample()
	if sim.options.SnapshotInterval > 0 {
		sim.takeSnapshots()
	}
	return nil
}

// runEvents executes events until all requests have an outcome and no request can have a further effect.
func (sim *simulation) runEvents(ctx context.Context) error {
	var progress time.Duration
	for n := 0; !sim.events.empty(); n++ {
		done := !sim.arriving && sim.openRequests == 0
		if done && sim.now > sim.plan.Script.Duration+maxRequestTime(sim.plan) {
			break
		}
		next := sim.events.pop()
		sim.now = max(sim.now, next.at)
		next.do()
		if sim.err != nil {
			return sim.err
		}
		if n&contextCheckMask != 0 {
			continue
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if sim.options.OnProgress != nil && sim.now >= progress {
			sim.options.OnProgress(sim.now)
			progress = sim.now + progressInterval
		}
	}
	return nil
}

// CheckerConfig returns the checker's configuration for a plan. locate returns the zone and the cell of a server.
func CheckerConfig(p *plan.Plan, locate func(server string) (string, int64)) checker.Config {
	rules := &p.Settings.Rules
	config := checker.Config{
		Classes: make(map[string]checker.Class), AnswerGrace: rules.AnswerGrace, DrainGrace: rules.DrainGrace, Locate: locate,
	}
	for _, class := range p.Settings.Classes {
		config.Classes[class.Name] = checker.Class{
			Idempotency: class.Idempotency, DedupScope: class.DedupScope, DedupWindow: class.DedupWindow,
		}
	}
	return config
}

// maxRequestTime returns the maximum time from the arrival of a request to its last effect, over all classes.
func maxRequestTime(p *plan.Plan) (longest time.Duration) {
	for i := range p.Settings.Classes {
		class := &p.Settings.Classes[i]
		longest = max(longest, class.Deadline+class.DedupWindow)
	}
	return longest
}

// after schedules an event that calls do after the delay d.
func (sim *simulation) after(d time.Duration, do func()) { sim.events.push(sim.now+d, do) }

// delay returns base plus a random jitter, as a one-way delay. The jitter depends only on the seed, purpose and id.
func (sim *simulation) delay(base time.Duration, purpose, id string) time.Duration {
	jitter := sim.plan.Script.Network.Jitter
	if jitter == 0 {
		return base
	}
	return base + time.Duration(float64(base)*jitter*sim.plan.Chance(purpose, id))
}

// networkDelay returns the one-way delay, without jitter, between the zones a and b.
func (sim *simulation) networkDelay(a, b string) time.Duration {
	if a == b {
		return sim.plan.Script.Network.SameZoneDelay
	}
	return sim.plan.Script.Network.CrossZoneDelay
}

// partitioned reports whether an active fault blocks the traffic between the zones a and b.
func (sim *simulation) partitioned(a, b string) bool {
	return a != b && (sim.cutZones[a] > 0 || sim.cutZones[b] > 0)
}

// locate returns the zone and the cell of a server.
func (sim *simulation) locate(id string) (zone string, cell int64) {
	if s := sim.byID[id]; s != nil {
		return s.spec.Zone, s.spec.Cell
	}
	return "", 0
}

// sample records the learned state and the level of the first node once a second.
func (sim *simulation) sample() {
	if n := sim.nodes[0]; n.engine != nil {
		sim.recorder.Sample(n.engine.Views())
		if status, err := n.engine.Level(); err == nil { // an error means that the node has no levels
			sim.recorder.Level(result.Level{Level: status.Level, Demand: status.Demand, Slow: status.Slow})
		}
	} else {
		sim.recorder.Sample(nil)
	}
	if sim.now < sim.plan.Script.Duration {
		sim.after(time.Second, sim.sample)
	}
}

// takeSnapshots stores the learned state of each running node. It repeats every Options.SnapshotInterval.
func (sim *simulation) takeSnapshots() {
	for _, n := range sim.nodes {
		if n.engine == nil {
			continue
		}
		state, err := n.engine.ExportState()
		if err != nil {
			sim.err = err
			return
		}
		n.snapshot = learnedstate.Snapshot{
			Version: learnedstate.Version, Node: n.spec.Name, At: epoch.Add(sim.now), State: state,
		}
	}
	if sim.now < sim.plan.Script.Duration {
		sim.after(sim.options.SnapshotInterval, sim.takeSnapshots)
	}
}
