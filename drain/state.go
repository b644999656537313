package drain

import "fmt"

// State is a state of the drain state machine.
type State uint8

// The states. A drain goes through the states in order, and ends in Drained or Forced. Cancel returns to Serving from
// any other state, unless the drain is final.
const (
	Serving   State = iota // no drain in progress
	Announced              // reported as not ready; clients notice this with a delay and are still served
	Leaving                // responses close their connections; new connections are still accepted
	Closing                // no new connections are accepted; open requests are completed
	Drained                // nothing is open, and no connections are accepted
	Forced                 // like Drained, but the deadline passed before all requests were completed
)

var stateNames = [...]string{"serving", "announced", "leaving", "closing", "drained", "forced"}

// String returns the name of the state in logs, events and the admin API.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// MarshalText implements encoding.TextMarshaler with the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler with the name of the state.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return fmt.Errorf("unknown drain state %q", text)
}

// Done reports whether the drain has ended: the state is Drained or Forced.
func (s State) Done() bool { return s >= Drained }
