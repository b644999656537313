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
	// maxRecentEntries is the number of recent entries that a view keeps when it drops the oldest entries. With recent
	// entries, watchers need not fetch the whole state.
	maxRecentEntries = 4096
	// maxRecentExcess is the maximum number of entries beyond maxRecentEntries before the oldest entries are dropped.
	maxRecentExcess = maxRecentEntries / 4
)

// LogEntry is an encoded entry and its position in the log.
type LogEntry struct {
	Position fleet.Position  `json:"at"`
	Raw      json.RawMessage `json:"raw"`
}

// View is an immutable view of the replica's state, its recent entries and its raft status.
type View struct {
	State       *fleet.State
	Recent      []LogEntry     // newest entries, oldest first
	RecentAfter fleet.Position // Recent has all entries after this position
	// NotifyPosition is the position of the newest entry that watchers should receive at once.
	NotifyPosition fleet.Position
	Raft           raft.Status
	LeaderSeen     time.Duration // last time at which the replica knew of a leader, by its monotonic clock
}

func newView(core *Core) View {
	position := core.State().Position
	return View{State: core.State(), RecentAfter: position, NotifyPosition: position, Raft: core.Status()}
}

// View returns the current view.
func (r *Replica) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// publish updates the view after entries were applied, and resolves the proposals of these entries. It wakes the
// watchers unless all entries are deferrable.
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
	if result.Restored { // no entries lead to the new state, so watchers need the whole state
		r.view.Recent, r.view.RecentAfter = nil, r.view.State.Position
		r.view.NotifyPosition = r.view.State.Position
	}
	r.view.trim()
	if notify {
		close(r.updated)
		r.updated = make(chan struct{})
	}
}

// trim drops the oldest recent entries once there are too many. It copies the remaining entries, because views that
// were returned before share the old slice.
func (v *View) trim() {
	surplus := len(v.Recent) - maxRecentEntries
	if surplus <= maxRecentExcess {
		return
	}
	v.RecentAfter = v.Recent[surplus-1].Position
	v.Recent = slices.Clone(v.Recent[surplus:])
}

// resolve sends the outcome of an entry to the caller that waits for it, if any.
func (r *Replica) resolve(applied AppliedEntry) {
	outcome, ok := r.pendingResults[applied.ProposalID]
	if !ok || applied.ProposalID == 0 {
		return
	}
	delete(r.pendingResults, applied.ProposalID)
	outcome <- applied.Result // does not block: the channel is buffered
}

// logApplied logs an entry unless it is routine: an announcement of a format, a renewal or a registration. Rejected
// entries are logged as debug.
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
	// The operators' documentation refers to these log lines by the kinds of the entries.
	r.config.Log.Info("fleet: "+string(entry.Kind), "position", result.Position, "work", entry.Resource,
		"holder", entry.Holder, "job", entry.JobID, "step", entry.Step.String(),
		"token", max(entry.FencingToken, result.FencingToken), "outcome", entry.Outcome,
		"who", entry.RequestedBy, "reason", entry.Reason)
}

// updateStatus updates the raft status of the view, and logs a change of the leader.
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
