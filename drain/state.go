package drain

import "fmt"

// State is a state of a drain.
type State uint8

// The states. A drain goes through them in order. Cancel leads back to Serving from any of them, unless the drain is
// final.
const (
	Serving   State = iota // no drain in progress
	Announced              // the router reports that it is not ready, and serves on: clients notice that late
	Leaving                // answers close their connections; new connections are still accepted
	Closing                // no new connections are accepted; open requests are answered
	Drained                // nothing is open, and nothing is accepted
	Forced                 // like Drained; the deadline passed before all requests had their answers
)

var stateNames = [...]string{"serving", "announced", "leaving", "closing", "drained", "forced"}

// String is the state's name in logs, events and the admin API.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return fmt.Errorf("no such state: %q", text)
}

// Done reports whether the drain is over.
func (s State) Done() bool { return s >= Drained }
