package sim

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/internal/learnedstate"
	"cobaltward/policy"
	"cobaltward/router"
)

// node is one instance of the router: the engine, its connections, and the agent that receives endpoint list updates.
type node struct {
	sim         *simulation
	index       int
	spec        *plan.Node
	engine      *router.Stepped // nil while the process is down
	startedAt   time.Duration
	incarnation int
	nextWake    time.Duration // simulation time of the next scheduled call of the engine; 0: none
	snapshot    learnedstate.Snapshot

	inFlight  map[router.Attempt]*attempt
	connCount int                // open connections, including idle connections
	idle      map[string][]*conn // idle connections, by server ID; the most recently used connection is last
	idleOrder []idleEntry        // oldest first; an entry is stale if its connection was used after the entry was added

	endpoints        map[string]router.Endpoint // last received endpoints, by server ID
	unavailableSince map[string]time.Duration   // time since which the node knows of a drain or removal, by server ID
	pendingUpdates   []router.Endpoint          // received by the agent but not yet applied by the process
	lastUpdateAt     time.Duration              // arrival of the newest update; later updates never arrive earlier
}

func (sim *simulation) addNode(index int) error {
	n := &node{sim: sim, index: index, spec: &sim.plan.Nodes[index], endpoints: make(map[string]router.Endpoint)}
	for _, s := range sim.servers {
		n.endpoints[s.id] = s.endpoint(policy.Running)
	}
	sim.nodes = append(sim.nodes, n)
	return n.start()
}

// start starts the process with the last received endpoint list. It restores the last snapshot, if any.
func (n *node) start() error {
	sim := n.sim
	engine, err := router.NewStepped(n.config(), n, epoch.Add(sim.now), n.engineOptions()...)
	if err != nil {
		return err
	}
	n.engine, n.startedAt, n.nextWake = engine, sim.now, 0
	sim.balancer.SetDown(n.index, false)
	n.idle, n.idleOrder, n.connCount = make(map[string][]*conn), nil, 0
	n.inFlight = make(map[router.Attempt]*attempt)
	n.unavailableSince = make(map[string]time.Duration)
	for id, endpoint := range n.endpoints {
		if endpoint.Availability != policy.Running {
			n.unavailableSince[id] = sim.now
			sim.checker.EndpointUpdated(sim.now, n.spec.Name, id, false)
		}
	}
	n.step(func(now time.Duration) { engine.Advance(now) })
	if n.snapshot.Version == 0 {
		return nil
	}
	return engine.RestoreState(func(prior func(string) (float64, time.Duration, bool)) policy.LearnedState {
		state, _ := learnedstate.Decay(n.snapshot, epoch.Add(sim.now), prior, learnedstate.Config{})
		return state
	})
}

// config returns the engine's configuration.
func (n *node) config() router.Config {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte{byte(n.index), byte(n.index >> 8), byte(n.incarnation)}) // a hash's Write never fails
	config := router.Config{
		Settings: n.sim.plan.NodeSettings(n.index), MaxInFlight: n.sim.plan.Script.Nodes.MaxOpen,
		Seed: n.sim.plan.Seed ^ seed.Sum64(),
	}
	for _, id := range sortedKeys(n.endpoints) {
		config.Endpoints = append(config.Endpoints, n.endpoints[id])
	}
	return config
}

func (n *node) engineOptions() (options []router.Option) {
	if n.sim.options.Overrides != nil {
		options = append(options, router.WithoutGuards(n.sim.options.Overrides()))
	}
	if n.sim.options.Levels != nil {
		options = append(options, router.WithLevels(*n.sim.options.Levels))
	}
	return options
}

// step calls do with the time on the engine's clock. It then schedules the event for the engine's next timer.
func (n *node) step(do func(now time.Duration)) {
	if n.engine == nil {
		return
	}
	do(n.sim.now - n.startedAt)
	at, ok := n.engine.Next()
	if !ok {
		return
	}
	if at = max(n.startedAt+at, n.sim.now+1); n.nextWake <= n.sim.now || at < n.nextWake {
		n.nextWake = at
		incarnation := n.incarnation
		n.sim.events.push(at, func() {
			if n.nextWake == at && n.incarnation == incarnation {
				n.step(func(now time.Duration) { n.engine.Advance(now) })
			}
		})
	}
}

// crash kills the process. All its connections are reset and all its requests end. The load balancer notices the
// crash after the failure detection time.
func (n *node) crash(fault *plan.Fault) {
	if n.engine == nil {
		return
	}
	n.sim.checker.NodeDown(n.spec.Name)
	n.engine = nil
	n.incarnation++
	for _, a := range sortedAttempts(n.inFlight) {
		a.finished = true
		a.conn.close(a)
	}
	for _, id := range sortedKeys(n.idle) {
		for _, c := range n.idle[id] {
			c.close(nil)
		}
	}
	n.sim.resetClientConns(n, fault)
	incarnation := n.incarnation
	n.sim.after(n.sim.plan.Script.Nodes.FailureDetection, func() {
		if n.incarnation == incarnation && n.engine == nil {
			n.sim.balancer.SetDown(n.index, true)
		}
	})
}

// restart starts the process with the last endpoint list, and applies the updates that the agent received while the
// process was down. It does nothing if the process is running.
func (n *node) restart() error {
	if n.engine != nil {
		return nil
	}
	if err := n.start(); err != nil {
		return err
	}
	n.applyUpdates()
	return nil
}

// queueUpdate passes an endpoint list update to the agent. The update arrives after the node's discovery delay and
// the delays of active faults.
func (n *node) queueUpdate(endpoint router.Endpoint) {
	at := n.sim.now + n.spec.DiscoveryDelay
	for _, delay := range n.sim.listDelays {
		at += delay
	}
	n.lastUpdateAt = max(n.lastUpdateAt, at)
	n.sim.events.push(n.lastUpdateAt, func() {
		n.pendingUpdates = append(n.pendingUpdates, endpoint)
		n.applyUpdates()
	})
}

// applyUpdates passes the agent's pending updates to the process. It does nothing while a fault blocks discovery or
// the process is down.
func (n *node) applyUpdates() {
	if n.sim.discoveryFaults > 0 || n.engine == nil || len(n.pendingUpdates) == 0 {
		return
	}
	updates := n.pendingUpdates
	n.pendingUpdates = nil
	for _, endpoint := range updates {
		available := endpoint.Availability == policy.Running
		n.sim.checker.EndpointUpdated(n.sim.now, n.spec.Name, endpoint.ID, available)
		if endpoint.Availability == policy.Removed {
			delete(n.endpoints, endpoint.ID)
		} else {
			n.endpoints[endpoint.ID] = endpoint
		}
		if available {
			delete(n.unavailableSince, endpoint.ID)
		} else if _, known := n.unavailableSince[endpoint.ID]; !known {
			n.unavailableSince[endpoint.ID] = n.sim.now
		}
	}
	n.step(func(now time.Duration) {
		n.engine.UpdateEndpoints(now, router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: updates})
	})
}

// resetStuck breaks the connections of stuck attempts that no fault blocks any longer.
func (n *node) resetStuck() {
	for _, a := range sortedAttempts(n.inFlight) {
		if a.stuck && !a.blocked() {
			a.breakConn(a.delay)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func sortedAttempts(m map[router.Attempt]*attempt) []*attempt {
	return slices.SortedFunc(maps.Values(m), func(a, b *attempt) int { return strings.Compare(a.id, b.id) })
}
