// Package drain is the graceful shutdown of a router as a state machine: which states follow one another and when, and
// who may start, shorten or cancel it. It does no I/O and reads no clock: orders, counts and times in, events out. The
// caller carries out what each state asks for.
package drain

import (
	"fmt"
	"time"
)

// Order asks for a drain.
type Order struct {
	AnnounceFor time.Duration // how long the router is Announced
	LeaveFor    time.Duration // how long it is Leaving
	Timeout     time.Duration // of the whole drain
	Reason      string
	RequestedBy string
	Final       bool // the drain can't be cancelled: the process is to end
	Force       bool // the order may shorten the deadline of a drain in progress
}

// Counts is the work that a router still has.
type Counts struct {
	OpenRequests int // without their answer
	BusyConns    int // client connections with a request in them
}

// Status describes a drain.
type Status struct {
	State          State     `json:"state"`
	Since          time.Time `json:"since,omitzero"` // of the state
	StartedAt      time.Time `json:"began,omitzero"`
	Deadline       time.Time `json:"deadline,omitzero"`
	Reason         string    `json:"reason,omitempty"`
	RequestedBy    string    `json:"who,omitempty"`
	Final          bool      `json:"final,omitempty"`
	OpenAtDeadline int       `json:"open_at_deadline,omitempty"` // of Forced: requests answered at the deadline
}

// Machine is the state of one router. It is not safe for concurrent use. Times must not go back.
type Machine struct {
	status     Status
	order      Order     // of the drain in progress
	phaseEnd   time.Time // when the state ends by itself; zero: at the deadline
	events     []Event
	lastNumber uint64 // of the events
}

// New returns a machine that is Serving.
func New(now time.Time) *Machine { return &Machine{status: Status{Since: now}} }

// Status returns where the machine stands.
func (m *Machine) Status() Status { return m.status }

// Start starts a drain, or changes the one in progress: a final order supersedes any other, and its deadline holds
// where it is the earlier one; another order may shorten the deadline with Force. Its errors are ErrInvalidTimeout,
// ErrDrained and *InProgressError.
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

// supersede makes the drain final, on behalf of an order.
func (m *Machine) supersede(now time.Time, order Order, counts Counts) {
	m.status.Final = true
	m.status.Reason, m.status.RequestedBy = order.Reason, order.RequestedBy
	m.recordOrder(now, ChangeSuperseded, order, counts)
}

// recordOrder records that an order has changed the drain, which stays in its state.
func (m *Machine) recordOrder(now time.Time, change Change, order Order, counts Counts) {
	m.record(Event{
		At: now, From: m.status.State, To: m.status.State, Change: change,
		Reason: order.Reason, RequestedBy: order.RequestedBy, OpenRequests: counts.OpenRequests,
	})
}

// enter enters a state of the drain.
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

// Cancel ends a drain, also a completed one: the machine is Serving again. Its errors wrap ErrNotDraining or ErrFinal.
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

// ExpireNow moves the deadline of the drain in progress to now.
func (m *Machine) ExpireNow(now time.Time) {
	if m.inProgress() && now.Before(m.status.Deadline) {
		m.status.Deadline = now
	}
}

// inProgress reports whether a drain has started and is not over.
func (m *Machine) inProgress() bool { return m.status.State != Serving && !m.status.State.Done() }

// Step goes through as many states as are due, given the work that is left.
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

// Next returns when Step has something to do if nothing else happens; ok is false where no drain is in progress.
func (m *Machine) Next() (at time.Time, ok bool) {
	if !m.inProgress() {
		return time.Time{}, false
	}
	if !m.phaseEnd.IsZero() && m.phaseEnd.Before(m.status.Deadline) {
		return m.phaseEnd, true
	}
	return m.status.Deadline, true
}
