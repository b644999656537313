package drain

import "time"

// Change says what an event reports.
type Change string

// The changes. Their values are part of the admin API.
const (
	ChangeStarted    Change = "started"
	ChangeSuperseded Change = "took over" // by a final drain, while another was in progress or over
	ChangeShortened  Change = "shortened" // the deadline is earlier
	ChangePhase      Change = "phase"     // the next state, since its time had come
	ChangeCancelled  Change = "cancelled"
	ChangeDrained    Change = "drained"
	ChangeForced     Change = "forced" // the deadline has passed
)

// Event is one transition, or a change of the deadline.
type Event struct {
	Number       uint64    `json:"n"` // 1, 2, ...: a gap says that some were not kept
	At           time.Time `json:"at"`
	From         State     `json:"from"`
	To           State     `json:"to"`
	Change       Change    `json:"what"`
	Reason       string    `json:"reason,omitempty"`
	RequestedBy  string    `json:"who,omitempty"`
	Deadline     time.Time `json:"deadline,omitzero"`
	OpenRequests int       `json:"open"` // without their answer at that moment
}

// maxEvents is how many events are kept.
const maxEvents = 128

// Events returns the kept events after the one with a number, oldest first. They must not be changed.
func (m *Machine) Events(after uint64) []Event {
	for i := range m.events {
		if m.events[i].Number > after {
			return m.events[i:]
		}
	}
	return nil
}

// record numbers an event, completes it with the deadline in force, and keeps it.
func (m *Machine) record(event Event) {
	m.lastNumber++
	event.Number = m.lastNumber
	event.Deadline = m.status.Deadline
	m.events = append(m.events, event)
	if len(m.events) > maxEvents {
		m.events = append([]Event(nil), m.events[len(m.events)-maxEvents:]...)
	}
}
