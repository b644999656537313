package agent

import (
	"context"
	"errors"
	"net/http"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
	"cobaltward/internal/adminapi"
)

// Status is the status of an agent and its node, as reported to lease holders.
type Status struct {
	Name           string         `json:"name"`
	Serving        bool           `json:"serving"`
	Position       fleet.Position `json:"at"` // log position of the agent's state
	LeaseCandidate bool           `json:"owns"`
	Rejected       uint64         `json:"refused"` // effects rejected since the agent started: stale token or closed job
}

// Mount adds to mux the HTTP handlers that lease holders call.
func (a *Agent) Mount(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/effect", a.handleEffect)
	mux.HandleFunc("GET /v1/node", a.handleStatus)
}

func (a *Agent) handleEffect(w http.ResponseWriter, r *http.Request) {
	var request lease.EffectRequest
	if !adminapi.ReadJSON(w, r, &request) {
		return
	}
	response, err := a.HandleEffect(request)
	switch {
	case errors.Is(err, ErrStaleToken):
		adminapi.WriteJSON(w, http.StatusConflict, adminapi.ErrorBody{Message: err.Error(), Details: response})
	case err != nil:
		adminapi.WriteJSON(w, http.StatusServiceUnavailable, adminapi.ErrorBody{Message: err.Error(), Details: response})
	default:
		adminapi.WriteJSON(w, http.StatusOK, response)
	}
}

func (a *Agent) handleStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), nodeTimeout)
	defer cancel()
	state, _ := a.watcher.State()
	status := Status{
		Name:           a.config.Self.Name,
		Serving:        a.node.Serving(ctx),
		Position:       state.Position,
		LeaseCandidate: a.config.Self.LeaseCandidate,
	}
	a.mu.Lock()
	status.Rejected = a.rejectedEffects
	a.mu.Unlock()
	adminapi.WriteJSON(w, http.StatusOK, status)
}
