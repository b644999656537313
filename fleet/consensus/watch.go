package consensus

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"cobaltward/fleet"
	"cobaltward/internal/adminapi"
)

// maxWatchWait is how long a watch request may wait for news.
const maxWatchWait = 30 * time.Second

// AgentReport is what an agent says of itself with each watch request.
type AgentReport struct {
	Name        string         `json:"name"`
	Incarnation string         `json:"run"`
	Epoch       uint64         `json:"epoch"` // of the state that it knows
	Position    fleet.Position `json:"at"`    // of the state that it knows
	// ActiveDisableOrders are the IDs of the disable orders that are in force at its node.
	ActiveDisableOrders []string  `json:"holds,omitempty"`
	SeenAt              time.Time `json:"seen,omitzero"` // when the replica got it, by the replica's wall clock
}

// WatchRequest asks for what follows the state that an agent knows.
type WatchRequest struct {
	AgentReport
	Wait time.Duration `json:"wait"` // for news, at most maxWatchWait
}

// WatchResponse is the answer to a WatchRequest: the entries that follow, or the whole state.
type WatchResponse struct {
	Entries   []LogEntry   `json:"entries,omitempty"`
	State     *fleet.State `json:"state,omitempty"`
	HasLeader bool         `json:"leader"` // the replica knows of one
}

// handleWatch answers an agent, at once if there is news, else when there is, or when the wait is over.
func (r *Replica) handleWatch(w http.ResponseWriter, req *http.Request) {
	var request WatchRequest
	if !readRequest(w, req, &request) {
		return
	}
	select {
	case r.watchers <- struct{}{}:
		defer func() { <-r.watchers }()
	default: // the agent comes again, or asks another replica
		w.Header().Set("Retry-After", "1")
		adminapi.WriteError(w, http.StatusServiceUnavailable, "too many agents are waiting")
		return
	}
	timeout := time.NewTimer(min(request.Wait, maxWatchWait))
	defer timeout.Stop()
	for timedOut := false; ; {
		view, updated := r.recordReport(request.AgentReport)
		if timedOut || request.Epoch != view.State.Epoch || view.NotifyPosition > request.Position {
			adminapi.WriteJSON(w, http.StatusOK, view.responseTo(request))
			return
		}
		select {
		case <-updated:
		case <-timeout.C:
			timedOut = true
		case <-req.Context().Done():
			return
		case <-r.ctx.Done():
			adminapi.WriteError(w, http.StatusServiceUnavailable, "the replica is shutting down")
			return
		}
	}
}

// recordReport keeps the report of an agent, and returns the view with the channel that is closed when it changes.
func (r *Replica) recordReport(report AgentReport) (View, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.reports[report.Name]
	if report.Name != "" && (known || len(r.reports) < maxReports) {
		report.SeenAt = time.Now()
		r.reports[report.Name] = report
	}
	return r.view, r.updated
}

// responseTo returns what leads from the state of a request to that of the view.
func (v View) responseTo(request WatchRequest) WatchResponse {
	response := WatchResponse{HasLeader: v.Raft.Lead != 0}
	if request.Epoch != v.State.Epoch || request.Position < v.RecentAfter {
		response.State = v.State
		return response
	}
	first, _ := slices.BinarySearchFunc(v.Recent, request.Position+1, func(entry LogEntry, position fleet.Position) int {
		return cmp.Compare(entry.Position, position)
	})
	response.Entries = v.Recent[first:]
	return response
}
