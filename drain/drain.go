// Package drain implements the graceful shutdown of a router as a state machine. The machine decides when the router
// enters the next state, and whether an order may start, shorten or cancel a drain. It does no I/O and reads no
// clock. The caller passes in orders, counts and times, and acts on the resulting state and events.
package drain

import (
	"fmt"
	"time"
)

// Order is a request to start a drain, or to change the drain in progress.
type Order struct {
	AnnounceFor time.Duration // time in state Announced
	LeaveFor    time.Duration // time in state Leaving
	Timeout     time.Duration // maximum duration of the whole drain
	Reason      string
	RequestedBy string
	Final       bool // whether the process exits after the drain; the drain then can't be cancelled
	Force       bool // whether the order may shorten the deadline of a drain in progress
}

// Counts is the remaining work of a router.
type Counts struct {
	OpenRequests int // requests without a response
	BusyConns    int // client connections with a request in progress
}

// Status describes the state of a router and its drain, if there is one.
type Status struct {
	State          State     `json:"state"`
	Since          time.Time `json:"since,omitzero"` // time at which State was entered
	StartedAt      time.Time `json:"began,omitzero"` // time at which the drain started
	Deadline       time.Time `json:"deadline,omitzero"`
	Reason         string    `json:"reason,omitempty"`
	RequestedBy    string    `json:"who,omitempty"`
	Final          bool      `json:"final,omitempty"`
	OpenAtDeadline int       `json:"open_at_deadline,omitempty"` // requests open at the deadline; only in state Forced
}

// Machine is the drain state machine of one router. It is not safe for concurrent use. The times passed to its
// methods must not decrease.
type Machine struct {
	status     Status
	order      Order     // the order that started the drain in progress
	phaseEnd   time.Time // end of Announced or Leaving; zero in other states
	events     []Event
	lastNumber uint64 // number of the last event
}

// New returns a machine in state Serving.
func New(now time.Time) *Machine { return &Machine{status: Status{Since: now}} }

// Status returns the current state and the drain in progress or completed, if any.
func (m *Machine) Status() Status { return m.status }

// Start starts a drain, or changes the drain in progress. A final order supersedes an order that is not final, and
// shortens the deadline if the final order's deadline is earlier. Other orders can only shorten the deadline, and only
// with Force. The possible errors are ErrInvalidTimeout, ErrDrained and *InProgressError.
func (m *Machine) Start(now time.Time, order Order, counts Counts) error {
	if order.Timeout <= 0 {
		return ErrInvalidTimeout
	}
	deadline := now.Add(order.Timeout)
	takesOver := order.Final && !m.status.Final
	switch {
	case m.status.State.Done():
		if takesOver {
			m.supersede(now, order, counts)
		}
		return ErrDrained
	case m.status.State == Serving:
		m.order = order
		m.status = Status{
			State: Serving, StartedAt: now, Deadline: deadline,
			Reason: order.Reason, RequestedBy: order.RequestedBy, Final: order.Final,
		}
		m.enter(now, Announced, ChangeStarted, counts)
		return nil
	case takesOver:
		if deadline.Before(m.status.Deadline) {
			m.status.Deadline = deadline
		}
		m.supersede(now, order, counts)
		return nil
	case order.Force && deadline.Before(m.status.Deadline):
		m.status.Deadline = deadline
		m.recordOrder(now, ChangeShortened, order, counts)
		return nil
	}
	return &InProgressError{m.status}
}

// supersede makes the drain final, with the reason and requester of the new order.
func (m *Machine) supersede(now time.Time, order Order, counts Counts) {
	m.status.Final = true
	m.status.Reason, m.status.RequestedBy = order.Reason, order.RequestedBy
	m.recordOrder(now, ChangeSuperseded, order, counts)
}

// recordOrder records an event for an order that changed the drain without changing its state.
func (m *Machine) recordOrder(now time.Time, change Change, order Order, counts Counts) {
	m.record(Event{
		At: now, From: m.status.State, To: m.status.State, Change: change,
		Reason: order.Reason, RequestedBy: order.RequestedBy, OpenRequests: counts.OpenRequests,
	})
}

// enter changes the state, sets the end of the new state, and records an event.
func (m *Machine) enter(now time.Time, state State, change Change, counts Counts) {
	former := m.status.State
	m.status.State, m.status.Since = state, now
	switch state {
	case Announced:
		m.phaseEnd = now.Add(m.order.AnnounceFor)
	case Leaving:
		m.phaseEnd = now.Add(m.order.LeaveFor)
	default:
		m.phaseEnd = time.Time{}
	}
	m.record(Event{
		At: now, From: former, To: state, Change: change,
		Reason: m.status.Reason, RequestedBy: m.status.RequestedBy, OpenRequests: counts.OpenRequests,
	})
}

// Cancel ends a drain in progress or a completed drain, and returns to state Serving. The possible errors are
// ErrNotDraining and an error that wraps ErrFinal.
func (m *Machine) Cancel(now time.Time, requestedBy string, counts Counts) error {
	former := m.status
	switch {
	case former.State == Serving:
		return ErrNotDraining
	case former.Final:
		return fmt.Errorf("cancel drain: %w", ErrFinal)
	}
	m.status = Status{State: Serving, Since: now}
	m.phaseEnd = time.Time{}
	m.record(Event{
		At: now, From: former.State, To: Serving, Change: ChangeCancelled,
		RequestedBy: requestedBy, OpenRequests: counts.OpenRequests,
	})
	return nil
}

// ExpireNow moves the deadline of the drain in progress to now. The next Step then forces the end of the drain.
func (m *Machine) ExpireNow(now time.Time) {
	if m.inProgress() && now.Before(m.status.Deadline) {
		m.status.Deadline = now
	}
}

// inProgress reports whether a drain has started and has not ended.
func (m *Machine) inProgress() bool { return m.status.State != Serving && !m.status.State.Done() }

// Step enters the states that are due at time now, one after another. counts is the remaining work.
func (m *Machine) Step(now time.Time, counts Counts) {
	for m.inProgress() {
		state := m.status.State
		timed := state == Announced || state == Leaving
		switch {
		case !now.Before(m.status.Deadline):
			m.status.OpenAtDeadline = counts.OpenRequests
			m.enter(now, Forced, ChangeForced, counts)
		case timed && !now.Before(m.phaseEnd):
			m.enter(now, state+1, ChangePhase, counts)
		case state == Closing && counts.OpenRequests == 0 && counts.BusyConns == 0:
			m.enter(now, Drained, ChangeDrained, counts)
		default:
			return
		}
	}
}

// Next returns the time at which Step must be called next if counts and orders do not change. ok is false if no drain
// is in progress.
func (m *Machine) Next() (at time.Time, ok bool) {
	if !m.inProgress() {
		return time.Time{}, false
	}
	if !m.phaseEnd.IsZero() && m.phaseEnd.Before(m.status.Deadline) {
		return m.phaseEnd, true
	}
	return m.status.Deadline, true
}
