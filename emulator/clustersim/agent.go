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

// pollState fetches the state from a replica, and registers the node where the state does not have it.
func (p *process) pollState() {
	w := p.world
	to, incarnation := w.randomReplica(), p.incarnation
	w.send(p, to, func() {
		fetched := to.core.State()
		w.reply(to, p, incarnation, func() {
			if fetched.NewerThan(p.state) {
				p.state = fetched
			}
			if !p.receiver.Registered(p.state) {
				self := fleet.Node{
					Name: p.name, Address: p.name, Capacity: 1,
					LeaseCandidate: p.controller != nil, Incarnation: fmt.Sprint(p.incarnation),
				}
				entry := fleet.Entry{Kind: fleet.KindRegisterNode, Node: &self}
				p.propose(w.randomReplica(), entry, func(fleet.Result) {})
			}
		})
	})
}

// runController is one turn of the rolling-update controller: its lease, then the steps of the job.
func (p *process) runController() {
	w, sentAt := p.world, p.monotonic()
	if entry, ok := p.controller.NextProposal(sentAt, p.state); ok {
		p.propose(w.randomReplica(), entry, func(result fleet.Result) {
			if p.monotonic()-sentAt < leaseDuration/2 { // the request has timed out otherwise
				p.controller.HandleResult(sentAt, p.monotonic(), entry, result, true)
			}
		})
	}
	for _, step := range p.controller.Next(p.monotonic(), p.state, p.clusterView()) {
		if step.Entry != nil {
			p.write(*step.Entry)
			continue
		}
		// A process may be paused between its check of the lease and the effect.
		request := *step.Request
		w.after(w.randomExp(ms), p, func() { p.requestEffect(request) })
	}
}

// clusterView is what the controller observes of the nodes.
func (p *process) clusterView() rollingupdate.ClusterView {
	w := p.world
	view := rollingupdate.ClusterView{Nodes: make(map[string]rollingupdate.NodeStatus)}
	for _, other := range w.agents {
		reachable := w.blockedLinks[[2]int{p.index, other.index}] == 0
		view.Nodes[other.name] = rollingupdate.NodeStatus{
			Capacity: 1, LeaseCandidate: other.controller != nil,
			Serving: other.up && other.pausedUntil == 0 && !other.node.drained && reachable,
		}
	}
	return view
}

// write proposes an entry for the controller, which gets the result.
func (p *process) write(entry fleet.Entry) {
	p.propose(p.world.randomReplica(), entry, func(result fleet.Result) { p.controller.HandleWrite(result) })
}

// requestEffect sends a request for an effect to the agent of its node, whose receiver decides about it.
func (p *process) requestEffect(request lease.EffectRequest) {
	w, incarnation := p.world, p.incarnation
	isTarget := func(agent *process) bool { return agent.name == request.Step.Node }
	to := w.agents[slices.IndexFunc(w.agents, isTarget)]
	w.send(p, to, func() {
		response, verdict, changed := to.receiver.Decide(request, to.state)
		if changed {
			to.saveReceiver()
		}
		switch verdict {
		case lease.Reject:
			w.result.Rejected++
			return
		case lease.Defer:
			return
		case lease.Execute, lease.VerifyFirst:
			to.executeEffect(request, verdict == lease.VerifyFirst)
		}
		w.reply(to, p, incarnation, func() {
			for _, entry := range p.controller.HandleResponse(request, response) {
				p.write(entry)
			}
		})
	})
}

// executeEffect applies an effect to the node after a while, and records its end after another: a crash in between
// leaves the effect without an outcome. With verify, a patch that was applied before is not applied again.
func (p *process) executeEffect(request lease.EffectRequest, verify bool) {
	w := p.world
	drawDuration := func() time.Duration { return 20*ms + w.randomExp(300*ms) }
	finish := func() {
		p.receiver.EffectLog.Finish(request.IdempotencyKey, fleet.OutcomeOK, "")
		p.saveReceiver()
	}
	w.after(drawDuration(), p, func() {
		if request.Step.Action == fleet.ActionPatch && verify && p.node.patches[request.IdempotencyKey] > 0 {
			finish()
			return
		}
		w.applyEffect(p.node, request)
		w.after(drawDuration(), p, finish)
	})
}

// saveReceiver writes the receiver's state to the agent's disk, and at times keeps the copy before it as a stale one.
func (p *process) saveReceiver() {
	if p.world.rand.IntN(8) == 0 {
		p.staleReceiverDisk = p.receiverDisk
	}
	p.receiverDisk = encodeReceiver(p.receiver.ReceiverState)
}

// encodeReceiver returns a receiver's state in its stored form.
func encodeReceiver(state lease.ReceiverState) []byte {
	raw, err := json.Marshal(state)
	if err != nil {
		panic(err) // recovered in Run, as a violation
	}
	return raw
}

func decodeReceiver(raw []byte, to *lease.ReceiverState) {
	if err := json.Unmarshal(raw, to); err != nil {
		panic(err) // recovered in Run, as a violation
	}
}
