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

// faultAttributionWindow is the time for which a fault that ended a server's process still counts as the cause of
// broken connections. The time starts at the end of the fault.
const faultAttributionWindow = time.Second

// responseBody is the body of every successful response.
var responseBody = []byte("done")

// attempt is one attempt of a node to send a request to a server.
type attempt struct {
	node          *node
	engineAttempt router.Attempt
	request       *request // the client's request; nil if already deleted from simulation.requestsByAttempt
	server        *server  // nil if no server has the ID chosen by the engine
	conn          *conn
	id            string // request ID, "/", last digit of the attempt number, and "+" for numbers with several digits
	key           string
	class         string
	work          float64
	deadline      time.Duration
	delay         time.Duration // one-way network delay
	countsConn    bool          // true while node.connCount includes the connection being opened
	sent          bool          // true once the request has been written completely
	cancelled     bool          // true once the engine has called Cancel
	finished      bool
	stuck         bool // true once a fault has blocked the attempt; the connection is reset when the fault ends
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

// addFault records in the client's request that a fault affected the request.
func (a *attempt) addFault(fault *plan.Fault) {
	if a.request != nil {
		a.request.addFault(fault.Index)
	}
}

// addProcessFaults records in the request the faults that ended the server's process. It ignores faults that ended
// more than faultAttributionWindow ago.
func (a *attempt) addProcessFaults() {
	sim := a.node.sim
	original := strings.TrimRight(a.server.id, replacementSuffix)
	isOriginal := func(i int) bool { return sim.plan.Servers[i].ID == original }
	for i := range sim.plan.Faults {
		fault := &sim.plan.Faults[i]
		if endsServerProcess(fault.Kind) && fault.At <= sim.now && sim.now < fault.End()+faultAttributionWindow &&
			slices.ContainsFunc(fault.Servers, isOriginal) {
			a.addFault(fault)
		}
	}
}

// addDiscoveryFaults records in the request the active faults of the endpoint list. Such a fault may have made the
// node use an unavailable server.
func (a *attempt) addDiscoveryFaults() {
	sim := a.node.sim
	for i := range sim.plan.Faults {
		if fault := &sim.plan.Faults[i]; affectsEndpointList(fault.Kind) && fault.ActiveAt(sim.now) {
			a.addFault(fault)
		}
	}
}

// blocked reports whether faults block all traffic between the node and the server. It records these faults in the
// request.
func (a *attempt) blocked() bool {
	sim := a.node.sim
	for _, fault := range a.server.silentFaults {
		a.addFault(fault)
	}
	if !sim.partitioned(a.node.spec.Zone, a.server.spec.Zone) {
		return len(a.server.silentFaults) > 0
	}
	for i := range sim.plan.Faults {
		if fault := &sim.plan.Faults[i]; fault.Kind == script.FaultZoneCut && fault.ActiveAt(sim.now) {
			a.addFault(fault)
		}
	}
	return true
}

// connect opens a connection and sends the request on it.
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

// accept makes the server accept the connection. The server refuses the connection if no process runs, or if the
// process is at its connection limit.
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

// send writes the request. It finishes the attempt if the request may no longer be sent.
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

// maySend reports whether the request may still be sent. If not, code is the result of the attempt.
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

// reply calls do when a response of the server reaches the node. If a fault blocks the response, the attempt is
// stuck. reply does not call do if the attempt has finished before the response arrives.
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

// complete sends the response of a request that the server has executed.
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

// reject sends a rejection. The rejection proves to the node that the request did not run.
func (a *attempt) reject() {
	a.reply(func() {
		a.node.sim.checker.AttemptNotRun(a.node.spec.Name, a.engineAttempt.Request.ID, a.engineAttempt.Number)
		a.finish(policy.Overloaded)
	})
}

// breakConn breaks the connection. The node notices after the given delay.
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

// finish passes the result to the engine, and keeps or closes the connection. Later calls have no effect.
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
		n.engine.FinishAttempt(now, a.engineAttempt, router.Result{Code: code, Answer: router.Answer{Body: responseBody}})
	})
}

// releaseConn returns the connection of a finished attempt to the idle pool. It closes a connection that can't be
// reused.
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
