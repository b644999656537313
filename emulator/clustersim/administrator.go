package clustersim

import (
	"fmt"

	"cobaltward/fleet"
)

// administer runs one turn of the fleet's administrator. The administrator keeps a rolling update running until the
// faults end. It also adds replicas that lost their disks to the cluster again.
func (s *simulation) administer() {
	state := s.newestState()
	if state == nil {
		return
	}
	if s.now <= s.cfg.Length {
		s.selectNextUpdate(state)
	}
	leader := s.leader()
	if leader == nil {
		return
	}
	if s.cfg.Rollouts {
		s.administerRollouts(state, leader)
	}
	if state.Jobs[s.updateID] == nil {
		s.proposeUpdate(leader)
	}
	s.restoreMembers(state, leader)
	leader.processReady()
}

// selectNextUpdate chooses the ID of the next rolling update if there is no current update or the current update has
// ended.
func (s *simulation) selectNextUpdate(state *fleet.State) {
	if s.updateID != "" {
		if job := state.Jobs[s.updateID]; job == nil || job.CloseReason == "" {
			return
		}
		s.result.RollingUpdates++
		s.checkUpdateEnded()
	}
	s.updateCount++
	s.updateID = fmt.Sprintf("r%d", s.updateCount)
}

func (s *simulation) proposeUpdate(leader *process) {
	var names []string
	for _, p := range s.agents {
		names = append(names, p.name)
	}
	spec := &fleet.JobSpec{Kind: fleet.JobRollingUpdate, Nodes: names, MaxUnavailable: s.maxUnavailable}
	s.proposeAsAdministrator(leader, fleet.Entry{Kind: fleet.KindStartJob, JobID: s.updateID, Spec: spec})
}

// proposeAsAdministrator proposes an entry without waiting for its result. The administrator proposes the entry again
// on each turn until the state contains it.
func (s *simulation) proposeAsAdministrator(leader *process, entry fleet.Entry) {
	_ = leader.core.Propose(0, entry)
}

// restoreMembers replaces members whose replicas have new disks: it proposes to remove the old member and to add the
// replica as a learner. The addition is rejected until the removal is applied, and is proposed again on the next
// turn.
func (s *simulation) restoreMembers(state *fleet.State, leader *process) {
	for _, p := range s.replicas {
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

// leader returns the running leader with the highest term; nil if no replica leads.
func (s *simulation) leader() *process {
	var leader *process
	for _, p := range s.replicas {
		if !p.up || p.pausedUntil > s.now || p.core.Leader() != p.core.ID() {
			continue
		}
		if leader == nil || p.core.Status().GetTerm() > leader.core.Status().GetTerm() {
			leader = p
		}
	}
	return leader
}
