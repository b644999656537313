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

// Over tells whether the drain is through.
func (s State) Over() bool { return s >= Drained }

// Order is a wish that the router be drained.
type Order struct {
	Announce time.Duration // for how long it is Announced
	Leave    time.Duration // for how long it is Leaving
	For      time.Duration // in all: the deadline
	Reason   string
	Who      string
	Final    bool // it can't be taken back: the process is to end
	Force    bool // it may shorten the deadline of a drain that goes on
}

// Counts is what of the router's work is left.
type Counts struct {
	Open int // requests without their answer
	Busy int // client connections with a request in them
}

// Event is one transition, or a change of the deadline.
type Event struct {
	N        uint64    `json:"n"` // 1, 2, ...: a gap says that some were not kept
	At       time.Time `json:"at"`
	From     State     `json:"from"`
	To       State     `json:"to"`
	What     string    `json:"what"` // started, took over, shortened, phase, cancelled, drained, forced
	Reason   string    `json:"reason,omitempty"`
	Who      string    `json:"who,omitempty"`
	Deadline time.Time `json:"deadline,omitzero"`
	Open     int       `json:"open"` // requests without their answer at that moment
}

// Status is what there is to know of a drain.
type Status struct {
	State    State     `json:"state"`
	Since    time.Time `json:"since,omitzero"` // of the state
	Began    time.Time `json:"began,omitzero"`
	Deadline time.Time `json:"deadline,omitzero"`
	Reason   string    `json:"reason,omitempty"`
	Who      string    `json:"who,omitempty"`
	Final    bool      `json:"final,omitempty"`
	Failed   int       `json:"open_at_deadline,omitempty"` // of Forced: requests that were answered for want of time
}

// What an order or a cancel may be refused for.
var (
	ErrOver     = errors.New("the router is drained already")
	ErrNoDrain  = errors.New("no drain goes on")
	ErrFinal    = errors.New("the process is ending: that can't be taken back")
	ErrDeadline = errors.New("want a deadline above 0s")
)

// BusyError says that a drain goes on that somebody else has ordered.
type BusyError struct{ Status Status }

func (e *BusyError) Error() string {
	s := e.Status
	return fmt.Sprintf("a drain goes on since %s, ordered by %s (%s), until %s; a shorter deadline wins with force alone",
		s.Began.Format(time.TimeOnly), orNobody(s.Who), orNobody(s.Reason), s.Deadline.Format(time.TimeOnly))
}

func orNobody(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

const kept = 128 // events

// Machine is the state of one router. It isn't safe for concurrent use. Times must not go back.
type Machine struct {
	status Status
	order  Order
	next   time.Time // when the state ends by itself; zero: not before the deadline
	events []Event
	n      uint64
}

// New returns a machine that is Serving.
func New(now time.Time) *Machine { return &Machine{status: Status{Since: now}} }

// Status tells where the machine stands.
func (m *Machine) Status() Status { return m.status }

// Events returns those kept that come after the n-th, oldest first. They are only read.
func (m *Machine) Events(after uint64) []Event {
	for i := range m.events {
		if m.events[i].N > after {
			return m.events[i:]
		}
	}
	return nil
}

func (m *Machine) tell(e Event) {
	m.n++
	e.N, e.Deadline = m.n, m.status.Deadline
	if m.events = append(m.events, e); len(m.events) > kept {
		m.events = append([]Event(nil), m.events[len(m.events)-kept:]...)
	}
}

// to moves on.
func (m *Machine) to(now time.Time, s State, what string, c Counts) {
	from := m.status.State
	m.status.State, m.status.Since = s, now
	switch s {
	case Announced:
		m.next = now.Add(m.order.Announce)
	case Leaving:
		m.next = now.Add(m.order.Leave)
	default:
		m.next = time.Time{}
	}
	m.tell(Event{At: now, From: from, To: s, What: what, Reason: m.status.Reason, Who: m.status.Who, Open: c.Open})
}

// Start begins a drain, or changes the one that goes on: a final order takes over any, and its deadline holds
// where it is the earlier; another may make the deadline earlier with Force.
func (m *Machine) Start(now time.Time, o Order, c Counts) error {
	if o.For <= 0 {
		return ErrDeadline
	}
	deadline := now.Add(o.For)
	switch s := &m.status; {
	case s.State.Over() && o.Final && !s.Final: // there is nothing left to wait for
		s.Final, s.Reason, s.Who = true, o.Reason, o.Who
		m.tell(Event{At: now, From: s.State, To: s.State, What: "took over", Reason: o.Reason, Who: o.Who, Open: c.Open})
		return ErrOver
	case s.State.Over():
		return ErrOver
	case s.State == Serving:
		m.order = o
		*s = Status{State: Serving, Began: now, Deadline: deadline, Reason: o.Reason, Who: o.Who, Final: o.Final}
		m.to(now, Announced, "started", c)
		return nil
	case o.Final && !s.Final:
		s.Final, s.Reason, s.Who = true, o.Reason, o.Who
		if deadline.Before(s.Deadline) {
			s.Deadline = deadline
		}
		m.tell(Event{At: now, From: s.State, To: s.State, What: "took over", Reason: o.Reason, Who: o.Who, Open: c.Open})
		return nil
	case o.Force && deadline.Before(s.Deadline):
		s.Deadline = deadline
		m.tell(Event{At: now, From: s.State, To: s.State, What: "shortened", Reason: o.Reason, Who: o.Who, Open: c.Open})
		return nil
	}
	return &BusyError{m.status}
}

// Cancel takes a drain back, also one that is through.
func (m *Machine) Cancel(now time.Time, who string, c Counts) error {
	switch s := m.status; {
	case s.State == Serving:
		return ErrNoDrain
	case s.Final:
		return ErrFinal
	}
	from := m.status.State
	m.status, m.next = Status{State: Serving, Since: now}, time.Time{}
	m.tell(Event{At: now, From: from, To: Serving, What: "cancelled", Who: who, Open: c.Open})
	return nil
}

// Cut moves the deadline of the drain that goes on to now.
func (m *Machine) Cut(now time.Time) {
	if s := &m.status; s.State != Serving && !s.State.Over() && now.Before(s.Deadline) {
		s.Deadline = now
	}
}

// Step lets time pass, and looks at what is left. It goes through as many states as are due.
func (m *Machine) Step(now time.Time, c Counts) {
	for {
		s := m.status.State
		switch {
		case s == Serving || s.Over():
			return
		case !now.Before(m.status.Deadline):
			m.status.Failed = c.Open
			m.to(now, Forced, "forced", c)
		case (s == Announced || s == Leaving) && !now.Before(m.next):
			m.to(now, s+1, "phase", c)
		case s == Closing && c.Open == 0 && c.Busy == 0:
			m.to(now, Drained, "drained", c)
		default:
			return
		}
	}
}

// Next is when Step has something to do if nothing else happens; ok is false where nothing goes on.
func (m *Machine) Next() (at time.Time, ok bool) {
	if s := m.status.State; s == Serving || s.Over() {
		return time.Time{}, false
	}
	if !m.next.IsZero() && m.next.Before(m.status.Deadline) {
		return m.next, true
	}
	return m.status.Deadline, true
}
