// Package drain decides how a router is taken out: what comes after what, when, and who may change it. It does
// no I/O and reads no clock: requests, counts and times in, events out. Whoever drives it carries out what a
// state asks for.
package drain

import (
	"errors"
	"fmt"
	"time"
)

// State is where a router stands.
type State uint8

// The states. A drain goes through them in order; Cancel leads back to Serving from any, unless the drain is final.
const (
	Serving   State = iota
	Announced       // readiness says no; all else is as before, for who asks learns of it late
	Leaving         // answers end their connections; new ones are still served
	Closing         // nothing new is let in; what is open is answered
	Drained         // nothing is open, and nothing is taken, until the drain is taken back
	Forced          // the same: the deadline has passed, and what was open then was answered for want of time
)

var stateNames = [...]string{"serving", "announced", "leaving", "closing", "drained", "forced"}

// String names the state as logs, events and the door do.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// MarshalText is String.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a name.
func (s *State) UnmarshalText(text []byte) error {
	for i, n := range stateNames {
		if n == string(text) {
			*s = State(i)
			return nil
		}
	}
	return fmt.Errorf("no such state: %q", text)
}

// Done tells whether the drain is through.
func (s State) Done() bool { return s >= Drained }

// Order is a wish that the router be drained.
type Order struct {
	AnnounceFor time.Duration // for how long it is Announced
	LeaveFor    time.Duration // for how long it is Leaving
	Timeout     time.Duration // in all: the deadline
	Reason      string
	RequestedBy string
	Final       bool // it can't be taken back: the process is to end
	Force       bool // it may shorten the deadline of a drain that goes on
}

// Counts is what of the router's work is left.
type Counts struct {
	OpenRequests int // requests without their answer
	BusyConns    int // client connections with a request in them
}

// Event is one transition, or a change of the deadline.
type Event struct {
	Number       uint64    `json:"n"` // 1, 2, ...: a gap says that some were not kept
	At           time.Time `json:"at"`
	From         State     `json:"from"`
	To           State     `json:"to"`
	Change       string    `json:"what"` // started, took over, shortened, phase, cancelled, drained, forced
	Reason       string    `json:"reason,omitempty"`
	RequestedBy  string    `json:"who,omitempty"`
	Deadline     time.Time `json:"deadline,omitzero"`
	OpenRequests int       `json:"open"` // requests without their answer at that moment
}

// Status is what there is to know of a drain.
type Status struct {
	State          State     `json:"state"`
	Since          time.Time `json:"since,omitzero"` // of the state
	StartedAt      time.Time `json:"began,omitzero"`
	Deadline       time.Time `json:"deadline,omitzero"`
	Reason         string    `json:"reason,omitempty"`
	RequestedBy    string    `json:"who,omitempty"`
	Final          bool      `json:"final,omitempty"`
	OpenAtDeadline int       `json:"open_at_deadline,omitempty"` // of Forced: requests that were answered for want of time
}

// What an order or a cancel may be refused for.
var (
	ErrDrained        = errors.New("the router is drained already")
	ErrNotDraining    = errors.New("no drain goes on")
	ErrFinal          = errors.New("the process is ending: that can't be taken back")
	ErrInvalidTimeout = errors.New("want a deadline above 0s")
)

// InProgressError says that a drain goes on that somebody else has ordered.
type InProgressError struct{ Status Status }

func (e *InProgressError) Error() string {
	s := e.Status
	return fmt.Sprintf("a drain goes on since %s, ordered by %s (%s), until %s; a shorter deadline wins with force alone",
		s.StartedAt.Format(time.TimeOnly), orDash(s.RequestedBy), orDash(s.Reason), s.Deadline.Format(time.TimeOnly))
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

const maxEvents = 128 // events

// Machine is the state of one router. It isn't safe for concurrent use. Times must not go back.
type Machine struct {
	status     Status
	order      Order
	phaseEnd   time.Time // when the state ends by itself; zero: not before the deadline
	events     []Event
	lastNumber uint64
}

// New returns a machine that is Serving.
func New(now time.Time) *Machine { return &Machine{status: Status{Since: now}} }

// Status tells where the machine stands.
func (m *Machine) Status() Status { return m.status }

// Events returns those kept that come after the n-th, oldest first. They are only read.
func (m *Machine) Events(after uint64) []Event {
	for i := range m.events {
		if m.events[i].Number > after {
			return m.events[i:]
		}
	}
	return nil
}

func (m *Machine) record(e Event) {
	m.lastNumber++
	e.Number, e.Deadline = m.lastNumber, m.status.Deadline
	if m.events = append(m.events, e); len(m.events) > maxEvents {
		m.events = append([]Event(nil), m.events[len(m.events)-maxEvents:]...)
	}
}

// enter moves on.
func (m *Machine) enter(now time.Time, s State, what string, c Counts) {
	from := m.status.State
	m.status.State, m.status.Since = s, now
	switch s {
	case Announced:
		m.phaseEnd = now.Add(m.order.AnnounceFor)
	case Leaving:
		m.phaseEnd = now.Add(m.order.LeaveFor)
	default:
		m.phaseEnd = time.Time{}
	}
	m.record(Event{At: now, From: from, To: s, Change: what, Reason: m.status.Reason, RequestedBy: m.status.RequestedBy, OpenRequests: c.OpenRequests})
}

// Start begins a drain, or changes the one that goes on: a final order takes over any, and its deadline holds
// where it is the earlier; another may make the deadline earlier with Force.
func (m *Machine) Start(now time.Time, o Order, c Counts) error {
	if o.Timeout <= 0 {
		return ErrInvalidTimeout
	}
	deadline := now.Add(o.Timeout)
	switch s := &m.status; {
	case s.State.Done() && o.Final && !s.Final: // there is nothing left to wait for
		s.Final, s.Reason, s.RequestedBy = true, o.Reason, o.RequestedBy
		m.record(Event{At: now, From: s.State, To: s.State, Change: "took over", Reason: o.Reason, RequestedBy: o.RequestedBy, OpenRequests: c.OpenRequests})
		return ErrDrained
	case s.State.Done():
		return ErrDrained
	case s.State == Serving:
		m.order = o
		*s = Status{State: Serving, StartedAt: now, Deadline: deadline, Reason: o.Reason, RequestedBy: o.RequestedBy, Final: o.Final}
		m.enter(now, Announced, "started", c)
		return nil
	case o.Final && !s.Final:
		s.Final, s.Reason, s.RequestedBy = true, o.Reason, o.RequestedBy
		if deadline.Before(s.Deadline) {
			s.Deadline = deadline
		}
		m.record(Event{At: now, From: s.State, To: s.State, Change: "took over", Reason: o.Reason, RequestedBy: o.RequestedBy, OpenRequests: c.OpenRequests})
		return nil
	case o.Force && deadline.Before(s.Deadline):
		s.Deadline = deadline
		m.record(Event{At: now, From: s.State, To: s.State, Change: "shortened", Reason: o.Reason, RequestedBy: o.RequestedBy, OpenRequests: c.OpenRequests})
		return nil
	}
	return &InProgressError{m.status}
}

// Cancel takes a drain back, also one that is through.
func (m *Machine) Cancel(now time.Time, who string, c Counts) error {
	switch s := m.status; {
	case s.State == Serving:
		return ErrNotDraining
	case s.Final:
		return ErrFinal
	}
	from := m.status.State
	m.status, m.phaseEnd = Status{State: Serving, Since: now}, time.Time{}
	m.record(Event{At: now, From: from, To: Serving, Change: "cancelled", RequestedBy: who, OpenRequests: c.OpenRequests})
	return nil
}

// ExpireNow moves the deadline of the drain that goes on to now.
func (m *Machine) ExpireNow(now time.Time) {
	if s := &m.status; s.State != Serving && !s.State.Done() && now.Before(s.Deadline) {
		s.Deadline = now
	}
}

// Step lets time pass, and looks at what is left. It goes through as many states as are due.
func (m *Machine) Step(now time.Time, c Counts) {
	for {
		s := m.status.State
		switch {
		case s == Serving || s.Done():
			return
		case !now.Before(m.status.Deadline):
			m.status.OpenAtDeadline = c.OpenRequests
			m.enter(now, Forced, "forced", c)
		case (s == Announced || s == Leaving) && !now.Before(m.phaseEnd):
			m.enter(now, s+1, "phase", c)
		case s == Closing && c.OpenRequests == 0 && c.BusyConns == 0:
			m.enter(now, Drained, "drained", c)
		default:
			return
		}
	}
}

// Next is when Step has something to do if nothing else happens; ok is false where nothing goes on.
func (m *Machine) Next() (at time.Time, ok bool) {
	if s := m.status.State; s == Serving || s.Done() {
		return time.Time{}, false
	}
	if !m.phaseEnd.IsZero() && m.phaseEnd.Before(m.status.Deadline) {
		return m.phaseEnd, true
	}
	return m.status.Deadline, true
}
