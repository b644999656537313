package rollingupdate

import (
	"slices"
)

// drainNext returns actions that drain those nodes of notStarted that may be drained now. No more nodes are unavailable
// at a time than the job allows, and the serving nodes keep the job's minimum capacity. If the job is by zone, one zone
// is finished before the next begins. The holder's own node is the last: if another node's agent can take the lease,
// the holder releases it, and leaves its own node to the next holder.
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
		case p.unavailable[node]: // not resumed before the rollback, so it is already counted as unavailable
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

// servingCapacity returns the total capacity of the nodes that are serving and not made unavailable by the job.
func (p *planner) servingCapacity() float64 {
	capacity := 0.0
	for name, node := range p.view.Nodes {
		if node.Serving && !p.unavailable[name] {
			capacity += node.Capacity
		}
	}
	return capacity
}

// orderSelfLast moves the holder's own node, if it is among nodes, to the end.
func (p *planner) orderSelfLast(nodes []string) []string {
	isSelf := func(node string) bool { return node == p.view.Self }
	if !slices.ContainsFunc(nodes, isSelf) {
		return nodes
	}
	return append(slices.DeleteFunc(nodes, isSelf), p.view.Self)
}

// otherCandidateServes reports whether another node is serving whose agent may hold the lease.
func (p *planner) otherCandidateServes() bool {
	for name, node := range p.view.Nodes {
		if name != p.view.Self && node.LeaseCandidate && node.Serving {
			return true
		}
	}
	return false
}
