package realtime

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/plan"
	"cobaltward/emulator/script"
	"cobaltward/emulator/servermodel"
	"cobaltward/emulator/serverprotocol"
)

// server is one server machine. It listens on a separate address for each node. The address identifies the node that
// sent a request.
type server struct {
	rehearsal *rehearsal
	spec      *plan.Server
	index     int

	mu        sync.Mutex
	id        string
	addrs     []string // address for each node, by node index
	backend   *servermodel.Server
	listeners []interface{ Close() }
	startedAt int64 // Unix time in milliseconds; 0: the process started before the run
}

// start starts a process. The process warms up unless warm is set. A restart uses the same addresses.
func (s *server) start(id string, warm bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	config := s.spec.Config
	if warm {
		config.WarmUp = model.WarmUp{}
	} else {
		s.startedAt = time.Now().UnixMilli()
		if config.WarmUp.InitialCapacity > 0 && config.WarmUp.Duration > 0 {
			s.rehearsal.observer.serverWarmsUp()
		}
	}
	s.id = id
	s.backend = servermodel.StartObserved(config, &serverKeys{s.rehearsal, s.spec}, func(e model.Execution) {
		s.rehearsal.observer.serverExecuted(s.id, requestID(e.ID), e.Discarded)
	})
	s.listeners = nil
	for node := range s.rehearsal.plan.Nodes {
		if err := s.listen(node); err != nil {
			return err
		}
	}
	return nil
}

// listen serves requests of a node on that node's address. The caller holds s.mu.
func (s *server) listen(node int) error {
	source := s.rehearsal.plan
	addr := fmt.Sprintf("127.%d.%d.%d:0", 20+node, s.index/200, s.index%200+1)
	if len(s.addrs) > node {
		addr = s.addrs[node]
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	if len(s.addrs) == node {
		s.addrs = append(s.addrs, ln.Addr().String())
	}
	delay := source.Script.Network.SameZoneDelay
	if source.Nodes[node].Zone != s.spec.Zone {
		delay = source.Script.Network.CrossZoneDelay
	}
	options := serverprotocol.Options{
		Behavior:   func(_, id string) serverprotocol.Behavior { return s.behavior(node, id, delay) },
		OnRejected: func(id string) { s.rehearsal.observer.serverRejected(node, id) },
		LoadFields: source.Script.LoadFields,
	}
	if s.spec.SpeaksMsgpack {
		s.listeners = append(s.listeners, serverprotocol.ServeMsgpackWithOptions(ln, s.backend, options))
	} else {
		s.listeners = append(s.listeners, serverprotocol.ServeHTTP1WithOptions(ln, s.backend, options))
	}
	return nil
}

// crash ends the process. It closes the listeners and the open connections.
func (s *server) crash() {
	s.mu.Lock()
	listeners, backend := s.listeners, s.backend
	s.listeners, s.backend = nil, nil
	s.mu.Unlock()
	if backend == nil {
		return
	}
	backend.Stop()
	for _, listener := range listeners {
		listener.Close()
	}
}

// poll ends the process if its model crashed under overload, and reports the crash.
func (s *server) poll() {
	s.mu.Lock()
	backend, id := s.backend, s.id
	s.mu.Unlock()
	if backend == nil {
		return
	}
	requests := backend.OverloadingRequests()
	if len(requests) == 0 {
		return
	}
	for i := range requests {
		requests[i] = requestID(requests[i])
	}
	s.rehearsal.observer.serverOverloaded(id, requests)
	s.crash()
	s.rehearsal.announce(s, PhaseRemoved)
}

// behavior records a request of a node. It returns the server's handling of the request under the active faults.
func (s *server) behavior(node int, id string, delay time.Duration) serverprotocol.Behavior {
	source := s.rehearsal.plan
	s.mu.Lock()
	serverID := s.id
	s.mu.Unlock()
	crossZone := source.Nodes[node].Zone != s.spec.Zone
	request, attempt := s.rehearsal.observer.serverReceived(node, id, serverID, crossZone)
	behavior := serverprotocol.Behavior{ID: fmt.Sprintf("%s/%d", id, attempt), NetworkDelay: delay}
	if request == nil { // the checker has already reported the attempt as a violation
		return behavior
	}
	behavior.Work = request.work
	if request.Key != "" {
		behavior.Key = source.Script.Classes[request.Class].Name + keySeparator + request.Key
	}
	now := s.rehearsal.now()
	for i := range source.Faults {
		fault := &source.Faults[i]
		if fault.ActiveAt(now) && s.applyFault(fault, source.Nodes[node].Zone, &behavior) {
			s.rehearsal.observer.addFault(request, i)
		}
	}
	if s.spec.ErrorRate > 0 && source.Chance("errors"+s.spec.ID, behavior.ID) < s.spec.ErrorRate {
		behavior.Fail, behavior.Work = true, 0
	}
	s.rehearsal.observer.workStarted(request, behavior.Work)
	return behavior
}

// applyFault applies an active fault to the behavior for a request. nodeZone is the zone of the node that sent the
// request. applyFault returns false if the fault doesn't affect the request.
func (s *server) applyFault(fault *plan.Fault, nodeZone string, behavior *serverprotocol.Behavior) bool {
	if fault.Kind == script.FaultZoneCut && (fault.Zone == s.spec.Zone) != (fault.Zone == nodeZone) {
		behavior.Hang = true
		return true
	}
	if !slices.Contains(fault.Servers, s.index) {
		return false
	}
	chance := s.rehearsal.plan.Chance(fault.Kind+fault.Label(), behavior.ID)
	if fault.Fraction != 0 && chance >= fault.Fraction {
		return false
	}
	switch fault.Kind {
	case script.FaultFastErrors:
		behavior.Fail, behavior.Work = true, 0
	case script.FaultHung, script.FaultSilent:
		behavior.Hang = true
	case script.FaultSlow:
		behavior.Work *= fault.Factor
	case script.FaultReset:
		behavior.Reset = true
	case script.FaultHalfAnswer:
		behavior.Truncate = true
	case script.FaultGarbled:
		behavior.Malform = true
	default:
		return false
	}
	return true
}

// endpoint returns the server's entry in a node's endpoint list.
func (s *server) endpoint(node int, phase string) Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Endpoint{
		ID: s.id, Addr: s.addrs[node], Zone: s.spec.Zone, Kind: s.spec.Kind, Cell: s.spec.Cell,
		Phase: phase, Weight: s.spec.Weight, StartedAt: s.startedAt,
	}
}

// requestID returns the ID of the request to which an attempt belongs.
func requestID(attemptID string) string {
	id, _, _ := strings.Cut(attemptID, "/")
	return id
}

// keySeparator separates the class of a request from its idempotency key.
const keySeparator = "\x00"

// serverKeys looks up idempotency keys for one server. The table depends on the class of the request and on the
// server's deduplication scope for that class.
type serverKeys struct {
	rehearsal *rehearsal
	spec      *plan.Server
}

// IsDuplicate reports whether a key was seen within the deduplication window of its class. classAndKey consists of
// the class, keySeparator and the key.
func (k *serverKeys) IsDuplicate(classAndKey string, _ time.Duration) bool {
	class, key, _ := strings.Cut(classAndKey, keySeparator)
	name, window := k.rehearsal.plan.DedupTable(class, k.spec)
	k.rehearsal.keysMu.Lock()
	defer k.rehearsal.keysMu.Unlock()
	table := k.rehearsal.keyTables[name]
	if table == nil {
		table = &model.KeyTable{Window: window}
		k.rehearsal.keyTables[name] = table
	}
	return table.IsDuplicate(key, k.rehearsal.now())
}
