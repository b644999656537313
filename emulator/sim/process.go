package sim

import (
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/script"
	"cobaltward/policy"
)

// process is one run of a server's process, from its start to its end.
type process struct {
	server   *server
	model    *model.Server
	nextWake time.Duration // time of the next scheduled call of advance; 0: none
	attempts map[string]*attempt
	ended    bool
}

// resetAttempts marks the process as ended and resets the connections of its attempts.
func (p *process) resetAttempts() {
	p.ended = true
	p.advance()
	for _, id := range sortedKeys(p.attempts) {
		a := p.attempts[id]
		a.addProcessFaults()
		a.breakConn(a.delay)
	}
	p.attempts = nil
}

// advance moves the model to the current time and finishes completed attempts. It then schedules the next call of
// advance.
func (p *process) advance() {
	for _, completion := range p.model.Advance(p.server.sim.now) {
		a := p.attempts[completion.ID]
		if a == nil {
			continue
		}
		delete(p.attempts, completion.ID)
		if completion.Lost {
			a.breakConn(a.delay)
		} else {
			a.complete()
		}
	}
	if p.ended {
		return
	}
	if p.model.Down() {
		p.handleOverload()
		return
	}
	p.scheduleNext()
}

// handleOverload ends the process and reports its crash to the checker. It is called after the model has crashed
// under overload while warming up.
func (p *process) handleOverload() {
	var requests []string
	for _, id := range p.model.OverloadingRequests() {
		requests = append(requests, requestID(id))
	}
	p.server.sim.checker.ServerOverloaded(p.server.sim.now, p.server.id, requests)
	p.server.process = nil
	p.server.announce(policy.Removed)
	p.resetAttempts()
}

func (p *process) scheduleNext() {
	sim := p.server.sim
	at, ok := p.model.Next()
	if !ok || p.nextWake > sim.now && at >= p.nextWake {
		return
	}
	at = max(at, sim.now+1)
	p.nextWake = at
	sim.events.push(at, func() {
		if p.nextWake == at && !p.ended {
			p.advance()
		}
	})
}

// receive handles a request whose last byte has reached the process.
func (p *process) receive(incoming *attempt) {
	if p.ended {
		incoming.breakConn(incoming.delay)
		return
	}
	for _, fault := range p.server.faults {
		if fault.Kind == script.FaultHung {
			incoming.addFault(fault)
			return
		}
	}
	work := p.workOf(incoming)
	p.advance() // completed requests free their slots before the new request is offered
	if p.ended {
		incoming.breakConn(incoming.delay)
		return
	}
	p.offer(incoming, work)
	p.advance()
}

// workOf returns the work of an attempt under the active faults, and sets whether the attempt fails. A failed attempt
// has no work.
func (p *process) workOf(incoming *attempt) float64 {
	s, work := p.server, incoming.work
	for _, fault := range s.faults {
		if fault.Kind == script.FaultSlow {
			incoming.addFault(fault)
			work *= fault.Factor
		}
	}
	incoming.fails = s.hasFault(script.FaultFastErrors, incoming)
	if !incoming.fails && s.spec.ErrorRate > 0 {
		incoming.fails = s.sim.plan.Chance("errors"+s.id, incoming.id) < s.spec.ErrorRate
	}
	if incoming.fails {
		return 0
	}
	return work
}

// offer passes an attempt to the model, which accepts or rejects it.
func (p *process) offer(incoming *attempt, work float64) {
	key := ""
	if incoming.key != "" {
		key = incoming.class + keySeparator + incoming.key
	}
	p.attempts[incoming.id] = incoming
	request := model.Request{ID: incoming.id, Key: key, Work: work, Deadline: incoming.deadline}
	switch p.model.Offer(p.server.sim.now, request) {
	case model.Accepted:
		p.server.sim.recorder.WorkStarted(work)
		if p.server.hasFault(script.FaultReset, incoming) {
			delete(p.attempts, incoming.id)
			incoming.breakConn(incoming.delay)
		}
		incoming.truncated = p.server.hasFault(script.FaultHalfAnswer, incoming)
		incoming.malformed = p.server.hasFault(script.FaultGarbled, incoming)
	case model.Rejected:
		delete(p.attempts, incoming.id)
		incoming.reject()
	case model.Down:
		delete(p.attempts, incoming.id)
		incoming.breakConn(incoming.delay)
	}
}

// cancel handles the closed connection of an attempt. The closed connection cancels the attempt.
func (p *process) cancel(a *attempt) {
	if p.ended {
		return
	}
	if p.attempts[a.id] == a {
		delete(p.attempts, a.id)
		p.model.Cancel(p.server.sim.now, a.id)
	}
	p.disconnect()
}

// disconnect reports a closed connection to the model.
func (p *process) disconnect() {
	p.model.Disconnect(p.server.sim.now)
	p.advance()
}
