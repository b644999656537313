package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"cobaltward/drain"
	"cobaltward/internal/adminapi"
)

const (
	defaultDrainTimeout = 30 * time.Second // where the operator names none
	drainLeaveFor       = time.Second
	maxOrderDuration    = 24 * time.Hour
	// phaseDivisor bounds the phases of a short drain by a part of its timeout: clients must have left before its end.
	phaseDivisor = 4
)

// otherProcess is who has ordered what another process of this node was told.
const otherProcess = "another process of this node"

// DrainRequest is the body of POST and DELETE /v1/drain.
type DrainRequest struct {
	Timeout     string `json:"deadline"` // as in "30s"
	Reason      string `json:"reason"`
	RequestedBy string `json:"who"`
	Force       bool   `json:"force"`
}

func (a *adminAPI) handleDrain(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	if !adminapi.ReadJSON(w, r, &request) {
		return
	}
	order, err := a.drainOrder(request)
	if err != nil {
		adminapi.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	err = a.startDrain(order)
	var inProgress *drain.InProgressError
	switch {
	case errors.As(err, &inProgress):
		adminapi.WriteJSON(w, http.StatusConflict, adminapi.ErrorBody{Message: err.Error(), Details: inProgress.Status})
	case err != nil:
		adminapi.WriteError(w, http.StatusConflict, err.Error())
	default:
		a.replyDrainStarted(w, request)
	}
}

// drainOrder returns the order that a request is for.
func (a *adminAPI) drainOrder(request DrainRequest) (drain.Order, error) {
	timeout := defaultDrainTimeout
	if request.Timeout != "" {
		var err error
		if timeout, err = parseOrderDuration(request.Timeout); err != nil {
			return drain.Order{}, fmt.Errorf(`deadline: %w, as in "30s"`, err)
		}
	}
	return drain.Order{
		AnnounceFor: min(a.announceFor, timeout/phaseDivisor),
		LeaveFor:    min(drainLeaveFor, timeout/phaseDivisor),
		Timeout:     timeout,
		Reason:      request.Reason,
		RequestedBy: request.RequestedBy,
		Force:       request.Force,
	}, nil
}

// parseOrderDuration reads a duration of an operator's order.
func parseOrderDuration(text string) (time.Duration, error) {
	duration, err := time.ParseDuration(text)
	if err != nil || duration <= 0 || duration > maxOrderDuration {
		return 0, errors.New("want a time of more than 0s and at most 24h")
	}
	return duration, nil
}

// replyDrainStarted remembers a drain for a restart of the process, and answers its request.
func (a *adminAPI) replyDrainStarted(w http.ResponseWriter, request DrainRequest) {
	if err := a.writeDrainMark(request); err != nil {
		adminapi.WriteJSON(w, http.StatusAccepted, adminapi.ErrorBody{
			Message: "it drains, but a restart will not know: " + err.Error(),
			Details: a.currentStatus(),
		})
		return
	}
	adminapi.WriteJSON(w, http.StatusAccepted, a.currentStatus())
}

func (a *adminAPI) handleCancelDrain(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	if !adminapi.ReadJSON(w, r, &request) {
		return
	}
	if err := a.cancelDrain(request.RequestedBy); err != nil {
		adminapi.WriteError(w, http.StatusConflict, err.Error())
		return
	}
	adminapi.WriteJSON(w, http.StatusOK, a.currentStatus())
}

// startDrain starts a drain, whichever way it was ordered, and has other processes of the node follow.
func (a *adminAPI) startDrain(order drain.Order) error {
	err := a.engine.StartDrain(order)
	if err == nil && a.onStandby != nil {
		a.onStandby(true)
	}
	return err
}

// cancelDrain cancels a drain, whichever way it was ordered, and has other processes of the node follow.
func (a *adminAPI) cancelDrain(requestedBy string) error {
	err := a.engine.CancelDrain(requestedBy)
	if err == nil {
		a.removeDrainMark()
	}
	if a.onStandby != nil && (err == nil || errors.Is(err, drain.ErrNotDraining)) {
		a.onStandby(false)
	}
	return err
}

// setStandby follows an order that another process of this node was given.
func (a *adminAPI) setStandby(standby bool) error {
	if !standby {
		err := a.engine.CancelDrain(otherProcess)
		if errors.Is(err, drain.ErrNotDraining) {
			return nil
		}
		return err
	}
	err := a.engine.StartDrain(drain.Order{
		AnnounceFor: standbyAnnounceFor,
		LeaveFor:    standbyLeaveFor,
		Timeout:     defaultDrainTimeout,
		Reason:      "standby",
		RequestedBy: otherProcess,
	})
	if drainsAlready(err) {
		return nil
	}
	return err
}

// drainsAlready reports whether a drain was not started since one goes on, or is over.
func drainsAlready(err error) bool {
	var inProgress *drain.InProgressError
	return errors.As(err, &inProgress) || errors.Is(err, drain.ErrDrained)
}

// writeDrainMark has a restart of the process drain again.
func (a *adminAPI) writeDrainMark(request DrainRequest) error {
	if a.drainMark == "" {
		return nil
	}
	raw, err := json.Marshal(request)
	if err != nil {
		return err
	}
	return os.WriteFile(a.drainMark, raw, 0o600)
}

// removeDrainMark has a restart of the process serve.
func (a *adminAPI) removeDrainMark() {
	if a.drainMark != "" {
		_ = os.Remove(a.drainMark) // it may not be there
	}
}

// restoreDrain starts the drain again that was in force when the former process ended.
func (a *adminAPI) restoreDrain() {
	if a.drainMark == "" {
		return
	}
	raw, err := os.ReadFile(a.drainMark)
	if err != nil {
		return
	}
	var request DrainRequest
	_ = json.Unmarshal(raw, &request)    // an incomplete file still says that there was a drain
	_ = a.engine.StartDrain(drain.Order{ // a new engine has no other drain
		Timeout:     defaultDrainTimeout,
		Reason:      "drained before the restart: " + request.Reason,
		RequestedBy: request.RequestedBy,
	})
}
