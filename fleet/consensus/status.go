package consensus

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"cobaltward/fleet"
)

// Status is the status of a replica, and what the replica knows about the cluster.
type Status struct {
	Name       string `json:"name"`
	ID         string `json:"id"`          // in hexadecimal
	IsMember   bool   `json:"member"`      // whether the replica is a member of the cluster
	LeaderID   string `json:"leader"`      // in hexadecimal; empty: no known leader
	LeaderName string `json:"leader_name"` // empty: no known leader
	// LeaderlessFor is the time since the replica last knew of a leader; 0 while the replica knows of a leader.
	LeaderlessFor time.Duration  `json:"silent"`
	Term          uint64         `json:"term"`
	Position      fleet.Position `json:"at"`
	State         *fleet.State   `json:"state"`
	Reports       []AgentReport  `json:"reports"` // ordered by name
}

// Status returns the status of the replica.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.view
	status := Status{
		Name:     r.config.Name,
		ID:       strconv.FormatUint(r.core.ID(), 16),
		Term:     view.Raft.GetTerm(),
		Position: view.State.Position,
		State:    view.State,
	}
	_, status.IsMember = view.State.Members[r.core.ID()]
	if leader := view.Raft.Lead; leader != 0 {
		status.LeaderID, status.LeaderName = strconv.FormatUint(leader, 16), view.State.Members[leader].Name
	} else {
		status.LeaderlessFor = r.config.Clock.Monotonic() - view.LeaderSeen
	}
	for _, name := range slices.Sorted(maps.Keys(r.reports)) {
		status.Reports = append(status.Reports, r.reports[name])
	}
	return status
}
