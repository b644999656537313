package consensus

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"cobaltward/fleet"
	"cobaltward/internal/adminapi"
)

// maxWatchWait is the maximum time for which a watch request waits for a change.
const maxWatchWait = 30 * time.Second

// AgentReport is the report of an agent about itself, which each watch request carries.
type AgentReport struct {
	Name        string         `json:"name"`
	Incarnation string         `json:"run"`
	Epoch       uint64         `json:"epoch"` // epoch of the agent's state
	Position    fleet.Position `json:"at"`    // position of the agent's state
	// ActiveDisableOrders are the IDs of the disable orders that are in force at the agent's node.
	ActiveDisableOrders []string  `json:"holds,omitempty"`
	SeenAt              time.Time `json:"seen,omitzero"` // arrival time, by the replica's wall clock
}

// WatchRequest asks for the changes since the state that an agent has.
type WatchRequest struct {
	AgentReport
	Wait time.Duration `json:"wait"` // maximum time to wait for a change; limited to maxWatchWait
}

// WatchResponse answers a WatchRequest with either the entries after the agent's state or the whole state.
type WatchResponse struct {
	Entries   []LogEntry   `json:"entries,omitempty"`
	State     *fleet.State `json:"state,omitempty"`
	HasLeader bool         `json:"leader"` // whether the replica knows of a leader
}

// handleWatch responds to a watch request once there is a change or the waiting time has passed.
func (r *Replica) handleWatch(w http.ResponseWriter, req *http.Request) {
	var request WatchRequest
	if !readRequest(w, req, &request) {
		return
	}
	select {
	case r.watchers <- struct{}{}:
		defer func() { <-r.watchers }()
	default: // the agent retries here or at another replica
		w.Header().Set("Retry-After", "1")
		adminapi.WriteError(w, http.StatusServiceUnavailable, "too many watch requests are waiting")
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

// recordReport records the report of an agent. It returns the view and the channel that is closed when watchers must
// read the view again.
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

// responseTo returns the response that takes the agent from the state in its request to the state of the view.
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
