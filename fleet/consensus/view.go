package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"

	"cobaltward/fleet"
)

const (
	maxRecentEntries = 4096 // entries that watchers may get one by one
	// recentSlack is how many more may be there before they are trimmed.
	recentSlack = maxRecentEntries / 4
)

// LogEntry is an entry with its position.
type LogEntry struct {
	Position fleet.Position  `json:"at"`
	Raw      json.RawMessage `json:"raw"`
}

// View is what a replica shows of the log. It is not changed once it is returned.
type View struct {
	State       *fleet.State
	Recent      []LogEntry     // the newest entries, oldest first
	RecentAfter fleet.Position // all entries after it are in Recent
	// NotifyPosition is the position of the newest entry that watchers should get at once.
	NotifyPosition fleet.Position
	Raft           raft.Status
	LeaderSeen     time.Duration // when the replica last had a leader, by its monotonic clock
}

func newView(core *Core) View {
	position := core.State().Position
	return View{State: core.State(), RecentAfter: position, NotifyPosition: position, Raft: core.Status()}
}

// View returns what there is to see now.
func (r *Replica) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// publish shows watchers the applied state, and answers the proposals that wait for it.
func (r *Replica) publish(result ApplyResult) {
	if len(result.Applied) == 0 && !result.Restored {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	notify := result.Restored
	for _, applied := range result.Applied {
		r.resolve(applied)
		if applied.Raw == nil {
			continue
		}
		r.view.Recent = append(r.view.Recent, LogEntry{applied.Result.Position, applied.Raw})
		if !applied.Entry.Deferrable() {
			notify, r.view.NotifyPosition = true, applied.Result.Position
			r.logApplied(applied)
		}
	}
	r.view.State = r.core.State()
	if result.Restored { // no entries lead there that watchers could apply
		r.view.Recent, r.view.RecentAfter = nil, r.view.State.Position
		r.view.NotifyPosition = r.view.State.Position
	}
	r.view.trim()
	if notify {
		close(r.updated)
		r.updated = make(chan struct{})
	}
}

// trim drops the oldest of the recent entries, in a copy: views that were returned share the former ones.
func (v *View) trim() {
	surplus := len(v.Recent) - maxRecentEntries
	if surplus <= recentSlack {
		return
	}
	v.RecentAfter = v.Recent[surplus-1].Position
	v.Recent = slices.Clone(v.Recent[surplus:])
}

// resolve answers the proposal of an entry.
func (r *Replica) resolve(applied AppliedEntry) {
	outcome, ok := r.pendingResults[applied.ProposalID]
	if !ok || applied.ProposalID == 0 {
		return
	}
	delete(r.pendingResults, applied.ProposalID)
	outcome <- applied.Result // has room for it
}

// logApplied logs an entry that operators should know of.
func (r *Replica) logApplied(applied AppliedEntry) {
	entry, result := applied.Entry, applied.Result
	switch entry.Kind {
	case fleet.KindAnnounceFormat, fleet.KindRenewLease, fleet.KindRegisterNode:
		return
	}
	if result.Err != nil {
		r.config.Log.Debug("fleet: entry rejected", "kind", entry.Kind, "resource", entry.Resource, "job", entry.JobID,
			"position", result.Position, "error", result.Err)
		return
	}
	// The operators' documentation names these lines by their kinds.
	r.config.Log.Info("fleet: "+string(entry.Kind), "position", result.Position, "work", entry.Resource,
		"holder", entry.Holder, "job", entry.JobID, "step", entry.Step.String(),
		"token", max(entry.FencingToken, result.FencingToken), "outcome", entry.Outcome,
		"who", entry.RequestedBy, "reason", entry.Reason)
}

// updateStatus shows the status of raft, and logs a change of the leader.
func (r *Replica) updateStatus() {
	status := r.core.Status()
	r.mu.Lock()
	defer r.mu.Unlock()
	if status.Lead != r.view.Raft.Lead {
		r.config.Log.Info("fleet: leader changed", "leader", fmt.Sprintf("%x", status.Lead), "term", status.GetTerm())
	}
	r.view.Raft = status
	if status.Lead != 0 {
		r.view.LeaderSeen = r.config.Clock.Monotonic()
	}
}
