package sim

import (
	"slices"
	"strings"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/script"
	"cobaltward/policy"
	"cobaltward/router"
)

// processFaultAftermath is the time after a fault within which it is still taken as the cause of broken connections.
const processFaultAftermath = time.Second

// doneBody is the body of all successful answers.
var doneBody = []byte("done")

// attempt is one attempt of a node at a server.
type attempt struct {
	node          *node
	engineAttempt router.Attempt
	request       *request // nil if its client has been forgotten
	server        *server  // nil if it is unknown
	conn          *conn
	id            string // of the attempt, at the server
	key           string
	class         string
	work          float64
	deadline      time.Duration
	delay         time.Duration // one way
	countsConn    bool          // counts among the node's connections while it connects
	sent          bool          // its last byte is written
	cancelled     bool          // by the engine
	finished      bool
	stuck         bool // blocked by a fault, after whose end its connection is reset
	fails         bool
	truncated     bool
	malformed     bool
}

func (n *node) newAttempt(engineAttempt router.Attempt) *attempt {
	request := engineAttempt.Request
	id := request.ID + "/" + string(rune('0'+engineAttempt.Number%10))
	if engineAttempt.Number >= 10 {
		id += "+"
	}
	return &attempt{
		node: n, engineAttempt: engineAttempt, id: id,
		server: n.sim.byID[engineAttempt.Server], request: n.sim.requestsByAttempt[request.ID],
		deadline: n.startedAt + engineAttempt.Deadline, key: request.IdempotencyKey, class: request.Class,
	}
}

// addFault records at the request that a fault affected it.
func (a *attempt) addFault(fault *plan.Fault) {
	if a.request != nil {
		a.request.addFault(fault.Index)
	}
}

// addProcessFaults records the faults that have ended the server's process.
func (a *attempt) addProcessFaults() {
	sim := a.node.sim
	original := strings.TrimRight(a.server.id, replacementSuffix)
	isOriginal := func(i int) bool { return sim.plan.Servers[i].ID == original }
	for i := range sim.plan.Faults {
		fault := &sim.plan.Faults[i]
		if endsServers(fault.Kind) && fault.At <= sim.now && sim.now < fault.End()+processFaultAftermath &&
			slices.ContainsFunc(fault.Servers, isOriginal) {
			a.addFault(fault)
		}
	}
}

// addDiscoveryFaults records the active faults because of which the node uses a server that is not available.
func (a *attempt) addDiscoveryFaults() {
	sim := a.node.sim
	for i := range sim.plan.Faults {
		if fault := &sim.plan.Faults[i]; misleadsDiscovery(fault.Kind) && fault.ActiveAt(sim.now) {
			a.addFault(fault)
		}
	}
}

// blocked reports whether faults block all traffic between the node and the server, and records them.
func (a *attempt) blocked() bool {
	sim := a.node.sim
	for _, fault := range a.server.silences {
		a.addFault(fault)
	}
	if !sim.partitioned(a.node.spec.Zone, a.server.spec.Zone) {
		return len(a.server.silences) > 0
	}
	for i := range sim.plan.Faults {
		if fault := &sim.plan.Faults[i]; fault.Kind == script.FaultZoneCut && fault.ActiveAt(sim.now) {
			a.addFault(fault)
		}
	}
	return true
}

// connect opens a connection and sends the request over it.
func (a *attempt) connect() {
	sim := a.node.sim
	sim.recorder.Connected()
	if a.blocked() {
		sim.after(sim.plan.Script.Network.ConnectTimeout, func() { a.finish(policy.ConnectFailed) })
		return
	}
	sim.after(a.delay, func() {
		if !a.finished {
			a.accept()
		}
	})
}

// accept opens the connection at the server, or refuses it.
func (a *attempt) accept() {
	sim, p := a.node.sim, a.server.process
	if p == nil || !p.model.Connect(sim.now) {
		a.addProcessFaults()
		if p != nil {
			p.advance()
		}
		sim.after(a.delay, func() { a.finish(policy.ConnectFailed) })
		return
	}
	p.advance()
	a.conn = &conn{process: p}
	sim.after(a.delay*time.Duration(2*sim.plan.Script.Network.HandshakeRTTs-1), func() {
		if !a.finished {
			a.send()
		}
	})
}

// send writes the request, unless it may no longer be sent.
func (a *attempt) send() {
	sim, n := a.node.sim, a.node
	if code, ok := a.maySend(); !ok {
		sim.after(0, func() { a.finish(code) })
		return
	}
	a.sent = true
	sim.recorder.ServerAttempt(sim.now, a.engineAttempt.Number, a.server.spec.Zone != n.spec.Zone)
	if sim.options.onSend != nil {
		sim.options.onSend(sim.now, n.spec.Name, a.server.id)
	}
	sim.checker.AttemptSent(sim.now, n.spec.Name, a.engineAttempt.Request.ID, a.engineAttempt.Number, a.server.id)
	if a.blocked() {
		a.stuck = true
		return
	}
	p := a.conn.process
	sim.after(a.delay, func() { p.receive(a) })
}

// maySend reports whether the request may be sent now; if not, code is the result of the attempt.
func (a *attempt) maySend() (code policy.Code, ok bool) {
	sim := a.node.sim
	since, unavailable := a.node.unavailableSince[a.server.id]
	switch {
	case unavailable && !sim.options.IgnoreDrains && sim.now-since >= sim.plan.Settings.Rules.DrainGrace/2:
		return policy.ConnectFailed, false
	case a.cancelled || sim.now >= a.deadline:
		return policy.ConnectFailed, false
	case a.engineAttempt.SendBy > 0 && sim.now >= a.node.startedAt+a.engineAttempt.SendBy:
		return policy.Superseded, false
	}
	return policy.OK, true
}

// reply calls do once a reply of the server has reached the node.
func (a *attempt) reply(do func()) {
	if a.blocked() {
		a.stuck = true
		return
	}
	a.node.sim.after(a.delay, func() {
		if !a.finished {
			do()
		}
	})
}

// complete answers the attempt.
func (a *attempt) complete() {
	a.reply(func() {
		switch {
		case a.truncated || a.malformed:
			a.finish(policy.Reset)
		case a.fails:
			a.finish(policy.ServerError)
		default:
			a.finish(policy.OK)
		}
	})
}

// reject answers that the request did not run.
func (a *attempt) reject() {
	a.reply(func() {
		a.node.sim.checker.AttemptNotRun(a.node.spec.Name, a.engineAttempt.Request.ID, a.engineAttempt.Number)
		a.finish(policy.Overloaded)
	})
}

// breakConn breaks the connection. The node notices after a delay.
func (a *attempt) breakConn(delay time.Duration) {
	if a.conn != nil {
		a.conn.broken = true
	}
	sim := a.node.sim
	sim.after(delay, func() {
		if sim.options.TrustResets {
			a.finish(policy.ConnectFailed)
		} else {
			a.finish(policy.Reset)
		}
	})
}

// finish passes the result to the engine, once, and keeps or closes the connection.
func (a *attempt) finish(code policy.Code) {
	n := a.node
	if a.finished || n.inFlight[a.engineAttempt] != a {
		return
	}
	a.finished = true
	delete(n.inFlight, a.engineAttempt)
	a.releaseConn(code)
	if code == policy.OK && a.request != nil {
		a.request.servedWork = a.work
	}
	n.step(func(now time.Duration) {
		n.engine.FinishAttempt(now, a.engineAttempt, router.Result{Code: code, Answer: router.Answer{Body: doneBody}})
	})
}

// releaseConn keeps the connection of a finished attempt for reuse, or closes it.
func (a *attempt) releaseConn(code policy.Code) {
	used := a.conn
	if used == nil {
		if a.countsConn {
			a.node.connCount--
		}
		return
	}
	answered := code == policy.OK || code == policy.Overloaded || code == policy.ServerError
	if (!a.sent || answered) && !a.cancelled && !used.process.ended && !used.broken {
		a.node.addIdle(used)
		return
	}
	a.node.connCount--
	used.close(a)
}
