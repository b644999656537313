package rollingupdate

import (
	"slices"
)

// drainNext drains nodes that may be drained now, out of those not begun. At most as many nodes are unavailable at a
// time than the job allows, and the serving ones keep the capacity that it asks for. Where it says so, one zone is
// finished before the next. The holder's own node is the last, and is drained by another holder.
func (p *planner) drainNext(notStarted []string) []Action {
	if p.job.Spec.ByZone {
		zone := p.currentZone()
		notStarted = slices.DeleteFunc(notStarted, func(node string) bool { return p.view.Nodes[node].Zone != zone })
	}
	var actions []Action
	capacity := p.servingCapacity()
	for _, node := range p.orderSelfLast(notStarted) {
		status := p.view.Nodes[node]
		switch {
		case p.unavailable[node]: // it was not resumed before the rollback, and counts already
		case len(p.unavailable)+len(actions) >= p.job.Spec.MaxUnavailable:
			continue
		case !status.Serving || capacity-status.Capacity < p.job.Spec.MinCapacity:
			continue
		case node == p.view.Self && p.otherCandidateServes():
			return append(actions, Action{Operation: ReleaseLease})
		default:
			capacity -= status.Capacity
		}
		actions = append(actions, startStep(node, p.sequence.drain))
	}
	return actions
}

// currentZone returns the zone of the first node that is not through.
func (p *planner) currentZone() string {
	for _, node := range p.nodes {
		if _, _, pending := p.nextStep(node); pending {
			return p.view.Nodes[node].Zone
		}
	}
	return ""
}

// servingCapacity returns the capacity of the nodes that serve and that the job has not taken out of service.
func (p *planner) servingCapacity() float64 {
	capacity := 0.0
	for name, node := range p.view.Nodes {
		if node.Serving && !p.unavailable[name] {
			capacity += node.Capacity
		}
	}
	return capacity
}

// orderSelfLast returns nodes with the holder's own one at the end.
func (p *planner) orderSelfLast(nodes []string) []string {
	isSelf := func(node string) bool { return node == p.view.Self }
	if !slices.ContainsFunc(nodes, isSelf) {
		return nodes
	}
	return append(slices.DeleteFunc(nodes, isSelf), p.view.Self)
}

// otherCandidateServes reports whether another node's agent may hold the lease.
func (p *planner) otherCandidateServes() bool {
	for name, node := range p.view.Nodes {
		if name != p.view.Self && node.LeaseCandidate && node.Serving {
			return true
		}
	}
	return false
}
