package sim

import (
	"slices"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
	"cobaltward/emulator/script"
	"cobaltward/router"
)

// duplicateDelay is the time between a request and its duplicate with the same ID.
const duplicateDelay = time.Millisecond

// request is a client's request with all its attempts.
type request struct {
	plan.Request
	work           float64
	servedWork     float64 // work of the last attempt that a server completed successfully
	clientAttempts int
	serverAttempts int
	faults         []int // indices of the faults that affected the request, ascending

	// The fields below describe the client's current attempt.
	attemptID   string
	node        *node
	open        bool // true until the attempt is finished
	nodeCrashed bool // true if the node crashed during the attempt; the request may then have run
	sentAt      time.Duration
	timeout     time.Duration
}

// isOpen reports whether attemptID is the current attempt and the attempt is not finished.
func (r *request) isOpen(attemptID string) bool { return r.open && r.attemptID == attemptID }

// addFault records that a fault affected the request.
func (r *request) addFault(index int) {
	if i, found := slices.BinarySearch(r.faults, index); !found {
		r.faults = slices.Insert(r.faults, i, index)
	}
}

// clientAttempt is one attempt of a client at a node.
type clientAttempt struct {
	*request
	id    string
	node  *node
	delay time.Duration // one-way network delay
}

// scheduleArrival schedules the next request. The load is open-loop: arrivals don't depend on the outcomes of earlier
// requests.
func (sim *simulation) scheduleArrival(arrivals *plan.Arrivals) {
	next, ok := arrivals.Next()
	if !ok {
		sim.arriving = false
		return
	}
	sim.openRequests++
	sim.events.push(next.At, func() {
		r := &request{Request: next, work: sim.plan.Work(&next)}
		sim.addTrafficFaults(r)
		sim.recorder.RequestArrived(&r.Request)
		_, disconnectAfter := sim.plan.ClientBehavior(&r.Request)
		sim.startAttempt(r, disconnectAfter)
		sim.scheduleArrival(arrivals)
	})
}

// addTrafficFaults records in a new request the active traffic faults that affect the request.
func (sim *simulation) addTrafficFaults(r *request) {
	if r.CostFault >= 0 {
		r.addFault(r.CostFault)
	}
	tenant := sim.plan.Script.Tenants[r.Tenant].Name
	for i := range sim.plan.Faults {
		fault := &sim.plan.Faults[i]
		if !fault.ActiveAt(r.At) {
			continue
		}
		if fault.Kind == script.FaultSurge || fault.Kind == script.FaultTenantBurst && fault.Tenant == tenant ||
			fault.Kind == script.FaultHotNode && r.Node >= 0 && slices.Contains(fault.Nodes, r.Node) {
			r.addFault(i)
		}
	}
}

// chooseNode returns the node for a client's attempt. A fault may direct the first attempt to a node. Otherwise the
// balancer chooses; nil means that all nodes are down according to the balancer.
func (sim *simulation) chooseNode(r *request) *node {
	index := r.Node
	if index < 0 || r.clientAttempts > 0 {
		index = sim.balancer.Next(r.Zone)
	}
	if index < 0 {
		return nil
	}
	return sim.nodes[index]
}

// startAttempt sends a request to a node. The client disconnects after the fraction disconnectAfter of the attempt's
// timeout. If disconnectAfter is 0, the client waits for the whole timeout.
func (sim *simulation) startAttempt(r *request, disconnectAfter float64) {
	r.sentAt = sim.now
	r.timeout = sim.plan.AttemptTimeout(&r.Request, sim.now-r.At)
	r.attemptID = r.AttemptID(r.clientAttempts)
	r.node = sim.chooseNode(r)
	r.clientAttempts++
	r.open, r.nodeCrashed = true, false
	sim.recorder.ClientAttempt()
	current := &clientAttempt{request: r, id: r.attemptID, node: r.node}
	sim.requestsByAttempt[current.id] = r
	current.delay = sim.delay(sim.plan.Script.Network.ClientDelay, "client", current.id)
	if current.node == nil {
		sim.after(2*current.delay, func() { sim.finishAttempt(r, current.id, result.Unreachable, 0) })
		return
	}
	copies := 1
	if sim.plan.Chance("duplicate", current.id) < sim.plan.Script.Clients.DuplicateIDFraction {
		copies = 2
	}
	for i := range copies {
		sim.after(current.delay+time.Duration(i)*duplicateDelay, func() { sim.deliver(current, i) })
	}
	sim.after(r.timeout, func() { sim.disconnect(current) })
	if disconnectAfter > 0 {
		sim.after(time.Duration(disconnectAfter*float64(r.timeout)), func() {
			if r.isOpen(current.id) {
				sim.checker.ClientLeft(current.node.spec.Name, current.id, 0)
				sim.disconnect(current)
			}
		})
	}
}

// deliver passes an attempt to its node. index is 0 for the original request and 1 for its duplicate.
func (sim *simulation) deliver(current *clientAttempt, index int) {
	n := current.node
	if n.engine == nil {
		if index == 0 {
			sim.after(current.delay, func() { sim.finishAttempt(current.request, current.id, result.Unreachable, 0) })
		}
		return
	}
	source := sim.plan.Script
	class, deadline := source.Classes[current.Class].Name, current.sentAt+current.timeout
	sim.checker.RequestReceived(sim.now, n.spec.Name, current.id, class, deadline)
	if !current.isOpen(current.id) { // the client disconnected before the request reached the node
		sim.checker.ClientLeft(n.spec.Name, current.id, index)
	}
	incarnation := n.incarnation
	n.step(func(now time.Duration) {
		err := n.engine.Submit(now, router.Request{
			ID: current.id, Class: class, Tenant: source.Tenants[current.Tenant].Name,
			IdempotencyKey: current.Key, Timeout: deadline - sim.now, IsRetry: current.clientAttempts > 1,
		}, func(answer router.Answer) {
			sim.after(current.delay, func() {
				if n.incarnation == incarnation { // otherwise the connection ended with the node's process
					sim.receiveAnswer(current, index, answer)
				}
			})
		})
		if err != nil {
			sim.err = err
		}
	})
}

// receiveAnswer passes an answer to the client. The client ignores the answer to a duplicate.
func (sim *simulation) receiveAnswer(current *clientAttempt, index int, answer router.Answer) {
	rejected := answer.Outcome == router.Rejected || answer.Outcome == router.Overloaded
	sim.checker.ResponseReceived(sim.now, current.node.spec.Name, current.id, index, rejected)
	if index > 0 {
		return
	}
	status := result.Failed
	switch {
	case rejected:
		status = result.Rejected
	case answer.Outcome == router.Served:
		status = result.Served
	}
	sim.finishAttempt(current.request, current.id, status, answer.RetryAfter)
}

// disconnect closes the client's connection to the node if the attempt is still open.
func (sim *simulation) disconnect(a *clientAttempt) {
	if !a.isOpen(a.id) {
		return
	}
	n, incarnation := a.node, a.node.incarnation
	sim.after(a.delay, func() {
		if n.incarnation == incarnation {
			n.step(func(now time.Duration) { n.engine.ClientGone(now, a.id) })
		}
	})
	sim.finishAttempt(a.request, a.id, result.ClientLeft, 0)
}

// resetClientConns ends the open attempts at a crashed node. Their clients notice that the connection is reset.
func (sim *simulation) resetClientConns(n *node, fault *plan.Fault) {
	for _, id := range sortedKeys(sim.requestsByAttempt) {
		r := sim.requestsByAttempt[id]
		if r.isOpen(id) && r.node == n {
			r.addFault(fault.Index)
			r.nodeCrashed = true
			sim.after(sim.plan.Script.Network.ClientDelay, func() { sim.finishAttempt(r, id, result.Unreachable, 0) })
		}
	}
}

// finishAttempt ends a client's attempt. It then schedules a retry or records the outcome of the request.
func (sim *simulation) finishAttempt(r *request, id string, status result.Status, retryAfter time.Duration) {
	if !r.isOpen(id) {
		return
	}
	r.open = false
	// The engine may still send attempts for the request. The request stays in the map until no attempt can have an
	// effect.
	sim.after(maxRequestTime(sim.plan), func() {
		if sim.requestsByAttempt[id] == r {
			delete(sim.requestsByAttempt, id)
		}
	})
	if status == result.Rejected || status == result.Unreachable || status == result.Failed {
		delay, retry := sim.plan.Retry(&r.Request, r.clientAttempts, plan.Outcome{
			Rejected: status == result.Rejected, MayHaveRun: status == result.Failed || r.nodeCrashed,
			RetryAfter: retryAfter, Elapsed: sim.now - r.At,
		})
		if retry {
			sim.after(delay, func() { sim.startAttempt(r, 0) })
			return
		}
	}
	if status == result.Served {
		sim.recorder.WorkUseful(r.servedWork)
	}
	sim.openRequests--
	sim.recorder.RequestDone(&r.Request, result.Outcome{
		Status: status, Latency: sim.now - r.At,
		ClientAttempts: r.clientAttempts, ServerAttempts: r.serverAttempts, Faults: r.faults,
	})
}
