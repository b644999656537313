package clustersim

import (
	"fmt"

	"cobaltward/fleet"
)

// administer acts as the fleet's administrator: a rolling update is always under way until the faults end, and
// replicas that lost their disks are added again.
func (w *world) administer() {
	state := w.newestState()
	if state == nil {
		return
	}
	if w.now <= w.cfg.Length {
		w.nextUpdate(state)
	}
	leader := w.leader()
	if leader == nil {
		return
	}
	if w.cfg.Rollouts {
		w.administerRollouts(state, leader)
	}
	if state.Jobs[w.updateID] == nil {
		w.proposeUpdate(leader)
	}
	w.restoreMembers(state, leader)
	leader.processReady()
}

// nextUpdate chooses the identifier of the next rolling update where the last one has ended.
func (w *world) nextUpdate(state *fleet.State) {
	if w.updateID != "" {
		if job := state.Jobs[w.updateID]; job == nil || job.CloseReason == "" {
			return
		}
		w.result.RollingUpdates++
		w.updateEnded()
	}
	w.updateCount++
	w.updateID = fmt.Sprintf("r%d", w.updateCount)
}

func (w *world) proposeUpdate(leader *process) {
	var names []string
	for _, p := range w.agents {
		names = append(names, p.name)
	}
	spec := &fleet.JobSpec{Kind: fleet.JobRollingUpdate, Nodes: names, MaxUnavailable: w.maxUnavailable}
	w.proposeAsAdministrator(leader, fleet.Entry{Kind: fleet.KindStartJob, JobID: w.updateID, Spec: spec})
}

// proposeAsAdministrator proposes an entry without waiting for its result: while the state lacks it, the
// administrator's next turn proposes it again.
func (w *world) proposeAsAdministrator(leader *process, entry fleet.Entry) {
	_ = leader.core.Propose(0, entry)
}

// restoreMembers proposes that replicas with new disks replace the members of their names. The addition is rejected
// until the removal is done, and proposed again on the next turn.
func (w *world) restoreMembers(state *fleet.State, leader *process) {
	for _, p := range w.replicas {
		id := p.disk.synced.ID
		if _, ok := state.Members[id]; ok || !p.up {
			continue
		}
		for old, member := range state.Members {
			if member.Name == p.name {
				_ = leader.core.ProposeMembership(0, fleet.Member{ID: old}, true)
			}
		}
		learner := fleet.Member{ID: id, Name: p.name, Address: p.name, Learner: true}
		_ = leader.core.ProposeMembership(0, learner, false)
	}
}

// leader returns the running replica that leads in the highest term; nil where none leads.
func (w *world) leader() *process {
	var leader *process
	for _, p := range w.replicas {
		if !p.up || p.pausedUntil > w.now || p.core.Leader() != p.core.ID() {
			continue
		}
		if leader == nil || p.core.Status().GetTerm() > leader.core.Status().GetTerm() {
			leader = p
		}
	}
	return leader
}
