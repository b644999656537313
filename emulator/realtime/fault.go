package realtime

import (
	"context"
	"slices"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/script"
)

// announce reports the state of a server to discovery. Discovery notifies each node after the node's discovery delay
// and the delays of active faults.
func (r *rehearsal) announce(s *server, phase string) {
	r.delaysMu.Lock()
	var extra time.Duration
	for _, delay := range r.listDelays {
		extra += delay
	}
	r.delaysMu.Unlock()
	for i, n := range r.nodes {
		endpoint := s.endpoint(i, phase)
		r.schedule(r.now()+n.spec.DiscoveryDelay+extra, func() { n.agent.Update(endpoint) })
	}
}

func (r *rehearsal) startFault(fault *plan.Fault) {
	for _, i := range fault.Servers {
		s := r.servers[i]
		switch fault.Kind {
		case script.FaultCrash, script.FaultReplaced:
			s.crash()
			r.announce(s, PhaseRemoved)
		case script.FaultDrain:
			r.announce(s, PhaseDraining)
		case script.FaultListWrong:
			r.announce(s, PhaseRemoved)
		}
	}
	switch fault.Kind {
	case script.FaultDiscoveryDown:
		r.setDiscoverySilent(true)
	case script.FaultListLate:
		r.delaysMu.Lock()
		r.listDelays = append(r.listDelays, fault.Delay)
		r.delaysMu.Unlock()
	case script.FaultNodeCrash:
		for _, i := range fault.Nodes {
			r.crashNode(i)
		}
	}
}

func (r *rehearsal) setDiscoverySilent(silent bool) {
	for _, n := range r.nodes {
		n.agent.SetSilent(silent)
	}
}

// crashNode kills a node. The balancer notices the crash after the script's failure detection time.
func (r *rehearsal) crashNode(index int) {
	n := r.nodes[index]
	n.kill()
	r.observer.nodeDown(n.spec.Name)
	_, _, incarnation := n.state()
	r.schedule(r.now()+r.plan.Script.Nodes.FailureDetection, func() {
		if _, up, current := n.state(); !up && current == incarnation {
			r.setNodeDown(index, true)
		}
	})
}

func (r *rehearsal) setNodeDown(node int, down bool) {
	r.balancerMu.Lock()
	defer r.balancerMu.Unlock()
	r.balancer.SetDown(node, down)
}

func (r *rehearsal) endFault(ctx context.Context, fault *plan.Fault) {
	for _, i := range fault.Servers {
		if err := r.endServerFault(fault, r.servers[i]); err != nil {
			r.fail(err)
			return
		}
	}
	switch fault.Kind {
	case script.FaultDiscoveryDown:
		r.setDiscoverySilent(false)
	case script.FaultListLate:
		r.delaysMu.Lock()
		if i := slices.Index(r.listDelays, fault.Delay); i >= 0 {
			r.listDelays = slices.Delete(r.listDelays, i, i+1)
		}
		r.delaysMu.Unlock()
	case script.FaultNodeCrash:
		for _, i := range fault.Nodes {
			if err := r.nodes[i].start(ctx); err != nil {
				r.fail(err)
				return
			}
			r.setNodeDown(i, false)
		}
	}
}

// endServerFault handles the end of a fault at the server target. It restarts, replaces or announces the server if
// the fault ended the server's process or removed the server from the endpoint list. Other faults need no action.
func (r *rehearsal) endServerFault(fault *plan.Fault, target *server) error {
	var err error
	switch fault.Kind {
	case script.FaultCrash, script.FaultDrain:
		target.crash()
		err = target.start(target.id, false)
	case script.FaultReplaced:
		err = target.start(target.id+replacementSuffix, false)
	case script.FaultListWrong:
	default:
		return nil
	}
	if err != nil {
		return err
	}
	r.announce(target, PhaseUp)
	return nil
}
