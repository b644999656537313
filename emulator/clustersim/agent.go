package clustersim

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
	"cobaltward/fleet/rollingupdate"
)

// pollState fetches the state from a random replica. It registers the node if the state lacks the node.
func (p *process) pollState() {
	sim := p.sim
	to, incarnation := sim.randomReplica(), p.incarnation
	sim.send(p, to, func() {
		fetched := to.core.State()
		sim.reply(to, p, incarnation, func() {
			if fetched.NewerThan(p.state) {
				p.state = fetched
			}
			if !p.receiver.Registered(p.state) {
				self := fleet.Node{
					Name: p.name, Address: p.name, Capacity: 1,
					LeaseCandidate: p.controller != nil, Incarnation: fmt.Sprint(p.incarnation),
				}
				entry := fleet.Entry{Kind: fleet.KindRegisterNode, Node: &self}
				p.propose(sim.randomReplica(), entry, func(fleet.Result) {})
			}
		})
	})
}

// runController runs one turn of the rolling-update controller: it acquires or renews the lease, then executes the
// next steps of the job.
func (p *process) runController() {
	sim, sentAt := p.sim, p.monotonic()
	if entry, ok := p.controller.NextProposal(sentAt, p.state); ok {
		p.propose(sim.randomReplica(), entry, func(result fleet.Result) {
			if p.monotonic()-sentAt < leaseDuration/2 { // otherwise the request has timed out
				p.controller.HandleResult(sentAt, p.monotonic(), entry, result, true)
			}
		})
	}
	for _, step := range p.controller.Next(p.monotonic(), p.state, p.clusterView()) {
		if step.Entry != nil {
			p.proposeForController(*step.Entry)
			continue
		}
		// The delay allows the process to pause between its check of the lease and the effect.
		request := *step.Request
		sim.after(sim.randomExp(ms), p, func() { p.requestEffect(request) })
	}
}

// clusterView returns the status of the nodes as observed by the controller.
func (p *process) clusterView() rollingupdate.ClusterView {
	sim := p.sim
	view := rollingupdate.ClusterView{Nodes: make(map[string]rollingupdate.NodeStatus)}
	for _, other := range sim.agents {
		reachable := sim.blockedLinks[[2]int{p.index, other.index}] == 0
		view.Nodes[other.name] = rollingupdate.NodeStatus{
			Capacity: 1, LeaseCandidate: other.controller != nil,
			Serving: other.up && other.pausedUntil == 0 && !other.node.drained && reachable,
		}
	}
	return view
}

// proposeForController proposes an entry and passes the result to the controller.
func (p *process) proposeForController(entry fleet.Entry) {
	p.propose(p.sim.randomReplica(), entry, func(result fleet.Result) { p.controller.HandleWrite(result) })
}

// requestEffect sends an effect request to the agent of the node. The agent's receiver decides whether to execute the
// effect.
func (p *process) requestEffect(request lease.EffectRequest) {
	sim, incarnation := p.sim, p.incarnation
	isTarget := func(agent *process) bool { return agent.name == request.Step.Node }
	to := sim.agents[slices.IndexFunc(sim.agents, isTarget)]
	sim.send(p, to, func() {
		response, verdict, changed := to.receiver.Decide(request, to.state)
		if changed {
			to.saveReceiver()
		}
		switch verdict {
		case lease.Reject:
			sim.result.Rejected++
			return
		case lease.Defer:
			return
		case lease.Execute, lease.VerifyFirst:
			to.executeEffect(request, verdict == lease.VerifyFirst)
		}
		sim.reply(to, p, incarnation, func() {
			for _, entry := range p.controller.HandleResponse(request, response) {
				p.proposeForController(entry)
			}
		})
	})
}

// executeEffect applies an effect to the node after a delay, and records the outcome after a second delay. A crash
// during the second delay leaves the effect without an outcome. If verify is true, a patch that was already applied
// is not applied again.
func (p *process) executeEffect(request lease.EffectRequest, verify bool) {
	sim := p.sim
	drawDuration := func() time.Duration { return 20*ms + sim.randomExp(300*ms) }
	finish := func() {
		p.receiver.EffectLog.Finish(request.IdempotencyKey, fleet.OutcomeOK, "")
		p.saveReceiver()
	}
	sim.after(drawDuration(), p, func() {
		if request.Step.Action == fleet.ActionPatch && verify && p.node.patches[request.IdempotencyKey] > 0 {
			finish()
			return
		}
		sim.applyEffect(p.node, request)
		sim.after(drawDuration(), p, finish)
	})
}

// saveReceiver writes the receiver's state to the agent's disk. At random, it first keeps the previous copy as the
// stale copy, which a crash may restore.
func (p *process) saveReceiver() {
	if p.sim.rand.IntN(8) == 0 {
		p.staleReceiverDisk = p.receiverDisk
	}
	p.receiverDisk = encodeReceiver(p.receiver.ReceiverState)
}

// encodeReceiver returns a receiver's state in its stored form.
func encodeReceiver(state lease.ReceiverState) []byte {
	raw, err := json.Marshal(state)
	if err != nil {
		panic(err) // Run recovers and reports a violation
	}
	return raw
}

func decodeReceiver(raw []byte, to *lease.ReceiverState) {
	if err := json.Unmarshal(raw, to); err != nil {
		panic(err) // Run recovers and reports a violation
	}
}
