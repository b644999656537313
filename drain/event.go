package drain

import "time"

// Change is the kind of an event.
type Change string

// The kinds of events. Their values are part of the admin API.
const (
	ChangeStarted    Change = "started"
	ChangeSuperseded Change = "took over" // a final order superseded the drain in progress or completed
	ChangeShortened  Change = "shortened" // an order moved the deadline to an earlier time
	ChangePhase      Change = "phase"     // the duration of a state ended, and the next state was entered
	ChangeCancelled  Change = "cancelled"
	ChangeDrained    Change = "drained"
	ChangeForced     Change = "forced" // the deadline passed before the drain was complete
)

// Event records a change of the state or of the order of a drain.
type Event struct {
	Number       uint64    `json:"n"` // 1, 2, ...; a gap means that older events were dropped
	At           time.Time `json:"at"`
	From         State     `json:"from"`
	To           State     `json:"to"`
	Change       Change    `json:"what"`
	Reason       string    `json:"reason,omitempty"`
	RequestedBy  string    `json:"who,omitempty"`
	Deadline     time.Time `json:"deadline,omitzero"`
	OpenRequests int       `json:"open"` // requests without a response at time At
}

// maxEvents is the maximum number of events that are kept. Older events are dropped.
const maxEvents = 128

// Events returns the kept events with a number greater than after, oldest first. Callers must not modify the slice.
func (m *Machine) Events(after uint64) []Event {
	for i := range m.events {
		if m.events[i].Number > after {
			return m.events[i:]
		}
	}
	return nil
}

// record sets the number and the deadline of an event and appends it.
func (m *Machine) record(event Event) {
	m.lastNumber++
	event.Number = m.lastNumber
	event.Deadline = m.status.Deadline
	m.events = append(m.events, event)
	if len(m.events) > maxEvents {
		m.events = append([]Event(nil), m.events[len(m.events)-maxEvents:]...)
	}
}
