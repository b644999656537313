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
	defaultDrainTimeout = 30 * time.Second // where the order has none
	drainLeaveFor       = time.Second
	maxOrderDuration    = 24 * time.Hour
	// phaseDivisor bounds the first phases of a short drain by a part of its timeout, so that clients have left before its
	// end.
	phaseDivisor = 4
)

// otherProcess is the originator of orders that came to another process of this node.
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

// drainOrder returns the order that a request asks for.
func (a *adminAPI) drainOrder(request DrainRequest) (drain.Order, error) {
	timeout := defaultDrainTimeout
	if request.Timeout != "" {
		var err error
		if timeout, err = parseOrderDuration(request.Timeout); err != nil {
			return drain.Order{}, fmt.Errorf(`deadline: %w; example: "30s"`, err)
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

// parseOrderDuration parses a duration in an operator's order.
func parseOrderDuration(text string) (time.Duration, error) {
	duration, err := time.ParseDuration(text)
	if err != nil || duration <= 0 || duration > maxOrderDuration {
		return 0, fmt.Errorf("want a duration of more than 0s and at most 24h, got %q", text)
	}
	return duration, nil
}

// replyDrainStarted writes the drain mark and answers the request that has started a drain.
func (a *adminAPI) replyDrainStarted(w http.ResponseWriter, request DrainRequest) {
	if err := a.writeDrainMark(request); err != nil {
		adminapi.WriteJSON(w, http.StatusAccepted, adminapi.ErrorBody{
			Message: "draining, but a restarted process will not drain: " + err.Error(),
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

// startDrain starts a drain, ordered by the admin API or the operations endpoint, and has the other processes of the
// node follow.
func (a *adminAPI) startDrain(order drain.Order) error {
	err := a.engine.StartDrain(order)
	if err == nil && a.onStandby != nil {
		a.onStandby(true)
	}
	return err
}

// cancelDrain cancels a drain, ordered by the admin API or the operations endpoint, and has the other processes of the
// node follow.
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

// setStandby carries out an order on standby that came to another process of this node.
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

// drainsAlready reports whether a drain was not started because another is in progress or complete.
func drainsAlready(err error) bool {
	var inProgress *drain.InProgressError
	return errors.As(err, &inProgress) || errors.Is(err, drain.ErrDrained)
}

// writeDrainMark writes the file by which a restarted process drains again.
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

// removeDrainMark removes the file, so that a restarted process serves.
func (a *adminAPI) removeDrainMark() {
	if a.drainMark != "" {
		_ = os.Remove(a.drainMark) // usually it does not exist
	}
}

// restoreDrain starts a drain if one was in progress when the former process ended.
func (a *adminAPI) restoreDrain() {
	if a.drainMark == "" {
		return
	}
	raw, err := os.ReadFile(a.drainMark)
	if err != nil {
		return
	}
	var request DrainRequest
	_ = json.Unmarshal(raw, &request)    // an incomplete file still shows that there was a drain
	_ = a.engine.StartDrain(drain.Order{ // a new engine has no other drain
		Timeout:     defaultDrainTimeout,
		Reason:      "drained before the restart: " + request.Reason,
		RequestedBy: request.RequestedBy,
	})
}
