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
	defaultDrainTimeout = 30 * time.Second // timeout of drain orders without a timeout
	drainLeaveFor       = time.Second      // second phase, in which each connection closes after its next answer
	maxOrderDuration    = 24 * time.Hour
	// phaseDivisor limits each of the first two phases of a drain to a quarter of the drain's timeout. Clients must
	// have left before a short drain ends.
	phaseDivisor = 4
)

// otherProcess is recorded as the requester of a drain that another process of this node has ordered.
const otherProcess = "another process of this node"

// DrainRequest is the body of POST and DELETE /v1/drain.
type DrainRequest struct {
	Timeout     string `json:"deadline"` // for example "30s"; default: defaultDrainTimeout
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

// drainOrder converts request into a drain order whose first two phases have the default durations.
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

// parseOrderDuration parses a duration in an operator's request. The duration must be positive and at most
// maxOrderDuration.
func parseOrderDuration(text string) (time.Duration, error) {
	duration, err := time.ParseDuration(text)
	if err != nil || duration <= 0 || duration > maxOrderDuration {
		return 0, fmt.Errorf("want a duration of more than 0s and at most 24h, got %q", text)
	}
	return duration, nil
}

// replyDrainStarted writes the drain marker file and answers the request that started a drain.
func (a *adminAPI) replyDrainStarted(w http.ResponseWriter, request DrainRequest) {
	if err := a.writeDrainMarker(request); err != nil {
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

// startDrain carries out a drain order that the admin API or the operations endpoint has received. If the drain
// starts, startDrain tells the other processes of the node to enter standby.
func (a *adminAPI) startDrain(order drain.Order) error {
	err := a.engine.StartDrain(order)
	if err == nil && a.onStandby != nil {
		a.onStandby(true)
	}
	return err
}

// cancelDrain cancels the drain for the admin API or the operations endpoint. It tells the other processes of the
// node to leave standby, even if this process is not draining.
func (a *adminAPI) cancelDrain(requestedBy string) error {
	err := a.engine.CancelDrain(requestedBy)
	if err == nil {
		a.removeDrainMarker()
	}
	if a.onStandby != nil && (err == nil || errors.Is(err, drain.ErrNotDraining)) {
		a.onStandby(false)
	}
	return err
}

// setStandby starts a drain if standby is true, and otherwise cancels the drain. It is called for an order that
// another process of this node has received.
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
	if isAlreadyDraining(err) {
		return nil
	}
	return err
}

// isAlreadyDraining reports whether err says that a drain is in progress or complete.
func isAlreadyDraining(err error) bool {
	var inProgress *drain.InProgressError
	return errors.As(err, &inProgress) || errors.Is(err, drain.ErrDrained)
}

// writeDrainMarker writes the drain marker file. The file makes a restarted process drain again.
func (a *adminAPI) writeDrainMarker(request DrainRequest) error {
	if a.drainMarkerFile == "" {
		return nil
	}
	raw, err := json.Marshal(request)
	if err != nil {
		return err
	}
	return os.WriteFile(a.drainMarkerFile, raw, 0o600)
}

// removeDrainMarker removes the drain marker file, so that a restarted process serves.
func (a *adminAPI) removeDrainMarker() {
	if a.drainMarkerFile != "" {
		_ = os.Remove(a.drainMarkerFile) // the file usually does not exist
	}
}

// restoreDrain starts a drain if the drain marker file exists. The file means that the previous process was draining.
func (a *adminAPI) restoreDrain() {
	if a.drainMarkerFile == "" {
		return
	}
	raw, err := os.ReadFile(a.drainMarkerFile)
	if err != nil {
		return
	}
	var request DrainRequest
	_ = json.Unmarshal(raw, &request)    // an incomplete file also shows that there was a drain
	_ = a.engine.StartDrain(drain.Order{ // cannot fail: a new engine has no other drain
		Timeout:     defaultDrainTimeout,
		Reason:      "drained before the restart: " + request.Reason,
		RequestedBy: request.RequestedBy,
	})
}
