package node

import (
	"errors"
	"strconv"
	"time"

	"cobaltward/drain"
	"cobaltward/router"
)

// Durations of the first two phases of a drain requested through the operations endpoint. Clients that poll for
// readiness stop opening connections 0.3 s after the call. All connections must be closed 4 s after the call.
const (
	standbyAnnounceFor = 300 * time.Millisecond
	standbyLeaveFor    = time.Second
)

// operationsNode gives the operations endpoint access to the node. Its methods do not wait for requests to end.
type operationsNode struct {
	engine      *router.Router
	startDrain  func(drain.Order) error
	cancelDrain func(requestedBy string) error
	unanswered  func() unansweredCounts
	resources   func() resourceUsage
}

// Serving reports whether this process has started and is not closed. It returns true in standby.
func (o *operationsNode) Serving() bool {
	phase := o.engine.Phase()
	return phase != router.Starting && phase != router.Closed
}

// Standby starts to drain the node. If the node is already draining or drained, it does nothing. If the existing
// drain is final, it returns drain.ErrFinal.
func (o *operationsNode) Standby() error {
	err := o.startDrain(drain.Order{
		AnnounceFor: standbyAnnounceFor,
		LeaveFor:    standbyLeaveFor,
		Timeout:     defaultDrainTimeout,
		Reason:      "standby",
		RequestedBy: "console",
	})
	if !isAlreadyDraining(err) {
		return err
	}
	if o.engine.DrainStatus().Final {
		return drain.ErrFinal
	}
	return nil
}

// Active cancels a drain and makes the node serve again. It does nothing if the node is not draining.
func (o *operationsNode) Active() error {
	err := o.cancelDrain("console")
	if errors.Is(err, drain.ErrNotDraining) {
		return nil
	}
	return err
}

// AppendMetrics appends the metrics to page, one metric a line.
func (o *operationsNode) AppendMetrics(page []byte) []byte {
	metrics := o.engine.Metrics()
	for _, class := range metrics.Classes {
		page = appendMetric(page, "success", class.Class, class.Served)
		page = appendMetric(page, "busy", class.Class, class.Busy)
		page = appendMetric(page, "failure", class.Class, class.Failure)
	}
	page = appendMetric(page, "backend_calls", "", metrics.AttemptsWritten)
	page = appendMetric(page, "inflight", "", uint64(max(0, metrics.InFlight)))
	page = appendMetric(page, "hosts_listed", "", uint64(max(0, metrics.Endpoints)))
	page = appendMetric(page, "hosts_down", "", uint64(max(0, metrics.UnavailableEndpoints)))
	page = appendMetric(page, "request_ids", "in_use", uint64(max(0, metrics.IDs.Open)))
	page = appendMetric(page, "request_ids", "in_use_conflicts", metrics.IDs.OpenConflicts)
	page = appendMetric(page, "request_ids", "recent_conflicts", metrics.IDs.RecentConflicts)
	unanswered := o.unanswered()
	page = appendMetric(page, "unanswered", "timeout", unanswered.timeouts)
	page = appendMetric(page, "unanswered", "client_closed", unanswered.clientCloses)
	page = appendMetric(page, "unanswered", "idle_end", unanswered.idleEnds)
	page = appendMetric(page, "unanswered", "evicted", unanswered.evictions)
	page = appendMetric(page, "unanswered", "drain", unanswered.drains)
	return appendResources(page, o.resources())
}

// appendMetric appends the line name.class=value, or name=value if class is empty.
func appendMetric(page []byte, name, class string, value uint64) []byte {
	page = append(page, name...)
	if class != "" {
		page = append(page, '.')
		page = append(page, class...)
	}
	page = append(page, '=')
	page = strconv.AppendUint(page, value, 10)
	return append(page, '\n')
}
