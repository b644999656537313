package sim

import (
	"fmt"
	"strings"
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/plan"
	"cobaltward/policy"
	"cobaltward/router"
)

// replacementSuffix is the suffix of the ID of a server that replaces another server.
const replacementSuffix = "r"

// server is one server machine. At most one process runs on it at a time.
type server struct {
	sim              *simulation
	spec             *plan.Server
	id               string
	addr             string
	startedAt        time.Duration // start of the process; 0: warm process, started before the simulation
	process          *process      // nil while no process runs
	faults           []*plan.Fault // active faults that affect requests at this server
	silentFaults     []*plan.Fault // active faults that disconnect the machine from the network
	state            policy.Availability
	detectedSilences int // active silences whose timeout made discovery remove the server
}

func (sim *simulation) addServer(spec *plan.Server, id string, index int, warm bool) *server {
	s := &server{sim: sim, spec: spec, id: id, addr: fmt.Sprintf("127.1.%d.%d:9000", index>>8, index&255)}
	if !warm {
		s.startedAt = sim.now
	}
	s.start()
	if warm {
		sim.servers = append(sim.servers, s)
	}
	sim.byID[id] = s
	return s
}

// start starts a process. The process warms up unless it was already running before the simulation.
func (s *server) start() {
	config := s.spec.Config
	if s.startedAt == 0 {
		config.WarmUp = model.WarmUp{}
	} else if config.WarmUp.InitialCapacity > 0 && config.WarmUp.Duration > 0 {
		s.sim.checker.ServerStarted()
	}
	s.process = &process{server: s, attempts: make(map[string]*attempt)}
	s.process.model = model.New(config, &serverKeys{&s.sim.keyTables, s}, s.sim.now)
	s.process.model.OnExecution(func(e model.Execution) {
		s.sim.checker.ServerExecuted(s.sim.now, s.id, requestID(e.ID), e.Discarded)
	})
}

func (s *server) restart() {
	s.startedAt = s.sim.now
	s.start()
	s.announce(policy.Running)
}

// crash ends the process and resets its connections.
func (s *server) crash() {
	p := s.process
	if p == nil {
		return
	}
	s.process = nil
	p.model.Stop(s.sim.now)
	p.resetAttempts()
}

// announce reports a state to discovery. Discovery notifies each node after the node's discovery delay and the delays
// of active faults.
func (s *server) announce(state policy.Availability) {
	s.state = state
	for _, n := range s.sim.nodes {
		n.queueUpdate(s.endpoint(state))
	}
}

// endpoint returns the server's entry in the endpoint list.
func (s *server) endpoint(state policy.Availability) router.Endpoint {
	endpoint := router.Endpoint{
		ID: s.id, Addr: s.addr, Zone: s.spec.Zone, Kind: s.spec.Kind, Cell: policy.NewCell(s.spec.Cell),
		Weight: s.spec.Weight, Availability: state,
	}
	if s.startedAt > 0 {
		endpoint.Started = epoch.Add(s.startedAt)
	}
	return endpoint
}

// hasFault reports whether an active fault of the given kind affects an attempt. It records the fault in the
// attempt's request.
func (s *server) hasFault(kind string, a *attempt) bool {
	for _, fault := range s.faults {
		if fault.Kind == kind && s.sim.plan.Chance(kind+fault.Label(), a.id) < fault.Fraction {
			a.addFault(fault)
			return true
		}
	}
	return false
}

// requestID returns the ID of the request to which an attempt belongs.
func requestID(attemptID string) string {
	id, _, _ := strings.Cut(attemptID, "/")
	return id
}

// keyTables holds the idempotency keys seen by servers. There is one table for each deduplication scope, under the
// name from plan.DedupTable.
type keyTables struct {
	sim    *simulation
	tables map[string]*model.KeyTable
}

// serverKeys looks up idempotency keys for one server. The table depends on the class of the request and on the
// server's deduplication scope for that class.
type serverKeys struct {
	*keyTables
	server *server
}

// keySeparator separates the class of a request from its idempotency key.
const keySeparator = "\x00"

// IsDuplicate reports whether a key was seen within the deduplication window of its class. classAndKey consists of
// the class, keySeparator and the key.
func (k *serverKeys) IsDuplicate(classAndKey string, now time.Duration) bool {
	class, key, _ := strings.Cut(classAndKey, keySeparator)
	name, window := k.sim.plan.DedupTable(class, k.server.spec)
	table := k.tables[name]
	if table == nil {
		table = &model.KeyTable{Window: window}
		k.tables[name] = table
	}
	return table.IsDuplicate(key, now)
}
