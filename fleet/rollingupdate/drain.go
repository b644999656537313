package rollingupdate

import (
	"slices"
)

// drainNext returns the actions that drain those nodes of notStarted that may be drained now. The job sets the maximum
// number of unavailable nodes and the minimum capacity of the serving nodes. If the job is by zone, one zone is
// finished before the next begins. The holder's own node comes last. If the agent of another node can take the lease,
// the holder releases the lease and leaves its own node to the next holder.
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
		case p.unavailable[node]: // not resumed before the rollback, so already counted as unavailable
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

// currentZone returns the zone of the first node that has not finished its steps.
func (p *planner) currentZone() string {
	for _, node := range p.nodes {
		if _, _, pending := p.nextStep(node); pending {
			return p.view.Nodes[node].Zone
		}
	}
	return ""
}

// servingCapacity returns the total capacity of the nodes that serve and that the job has not made unavailable.
func (p *planner) servingCapacity() float64 {
	capacity := 0.0
	for name, node := range p.view.Nodes {
		if node.Serving && !p.unavailable[name] {
			capacity += node.Capacity
		}
	}
	return capacity
}

// orderSelfLast moves the holder's own node to the end of nodes, if nodes contains it.
func (p *planner) orderSelfLast(nodes []string) []string {
	isSelf := func(node string) bool { return node == p.view.Self }
	if !slices.ContainsFunc(nodes, isSelf) {
		return nodes
	}
	return append(slices.DeleteFunc(nodes, isSelf), p.view.Self)
}

// otherCandidateServes reports whether the agent of another serving node may hold the lease.
func (p *planner) otherCandidateServes() bool {
	for name, node := range p.view.Nodes {
		if name != p.view.Self && node.LeaseCandidate && node.Serving {
			return true
		}
	}
	return false
}
