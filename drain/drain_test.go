package drain

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelTest drives a machine with random orders, cancellations, counts and times.
type modelTest struct {
	machine   *Machine
	now       time.Time
	counts    Counts
	final     bool   // the drain in progress can't be cancelled
	lastEvent uint64 // number of the last event that was checked
}

// TestMachine_MatchesModel checks that the machine keeps its rules with random orders, cancellations, counts and
// times. States only go forward, except when a drain is cancelled. A completed drain stays completed unless it is
// cancelled. Nothing is open in Drained. Forced is never entered before the deadline, and always by the first Step at
// or after the deadline. A final drain can't be cancelled. Each change of the state is recorded as an event.
func TestMachine_MatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		model := &modelTest{machine: New(start), now: start}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := model.machine.Status()
			model.now = model.now.Add(drawDuration(t, "ms", 3000, time.Millisecond))
			model.counts = Counts{
				OpenRequests: rapid.IntRange(0, 2).Draw(t, "open"),
				BusyConns:    rapid.IntRange(0, 1).Draw(t, "busy"),
			}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				model.start(t, before)
			case 2:
				model.cancel(t, before)
			default:
				model.step(t, before)
			}
			model.checkEvents(t, before)
		}
		deadline := model.machine.Status().Deadline
		if at, ok := model.machine.Next(); ok && at.After(deadline) {
			t.Fatalf("the next step is due at %v, after the deadline %v", at, deadline)
		}
	})
}

func drawDuration(t *rapid.T, label string, most int, unit time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * unit
}

func (m *modelTest) start(t *rapid.T, before Status) {
	order := Order{
		AnnounceFor: drawDuration(t, "announce", 2, time.Second),
		LeaveFor:    drawDuration(t, "leave", 2, time.Second),
		Timeout:     drawDuration(t, "for", 9, time.Second),
		Final:       rapid.IntRange(0, 4).Draw(t, "final") == 0,
		Force:       rapid.Bool().Draw(t, "force"),
	}
	err := m.machine.Start(m.now, order, m.counts)
	after := m.machine.Status()
	if !startAsExpected(m.now, before, after, order, err) {
		t.Fatalf("unexpected result: status %+v, order %+v: error %v, new status %+v", before, order, err, after)
	}
	if before.State != Serving && after.Deadline.After(before.Deadline) {
		t.Fatalf("the deadline was extended from %v to %v", before.Deadline, after.Deadline)
	}
	m.final = after.Final
}

// startAsExpected reports whether Start returned the expected error and state for order.
func startAsExpected(now time.Time, before, after Status, order Order, err error) bool {
	if order.Timeout == 0 {
		return errors.Is(err, ErrInvalidTimeout)
	}
	if before.State.Done() {
		return errors.Is(err, ErrDrained)
	}
	if before.State == Serving {
		return err == nil && after.State == Announced && after.Deadline.Equal(now.Add(order.Timeout))
	}
	var inProgress *InProgressError
	takesOver := order.Final && !before.Final
	return !errors.As(err, &inProgress) || !takesOver
}

func (m *modelTest) cancel(t *rapid.T, before Status) {
	err := m.machine.Cancel(m.now, "x", m.counts)
	possible := before.State != Serving && !m.final
	if possible != (err == nil) || possible && m.machine.Status().State != Serving {
		t.Fatalf("status before Cancel %+v, error %v", before, err)
	}
}

func (m *modelTest) step(t *rapid.T, before Status) {
	m.machine.Step(m.now, m.counts)
	after := m.machine.Status()
	wasInProgress := !before.State.Done() && before.State != Serving
	switch {
	case after.State < before.State:
		t.Fatalf("the state went back from %v to %v", before.State, after.State)
	case before.State.Done() && after != before:
		t.Fatalf("the completed drain %+v changed to %+v", before, after)
	case wasInProgress && !m.now.Before(before.Deadline) && after.State != Forced:
		t.Fatalf("state %v after the deadline, want forced", after.State)
	case after.State == Forced && before.State != Forced && m.now.Before(before.Deadline):
		t.Fatal("the drain was forced before the deadline")
	case after.State == Drained && before.State != Drained && m.counts != Counts{}:
		t.Fatalf("drained with remaining work %+v", m.counts)
	case after.State == Closing && m.counts == Counts{}:
		t.Fatal("the state is still closing without remaining work")
	}
	if at, ok := m.machine.Next(); ok && !at.After(m.now) {
		t.Fatalf("another step is due right after a step, in state %v", after.State)
	}
}

// checkEvents checks that events are numbered without a gap, and that a change of the state is recorded by the last
// event.
func (m *modelTest) checkEvents(t *rapid.T, before Status) {
	for _, event := range m.machine.Events(m.lastEvent) {
		if event.Number != m.lastEvent+1 || event.At.After(m.now) {
			t.Fatalf("after event %d: wrong number or future time: %+v", m.lastEvent, event)
		}
		m.lastEvent = event.Number
	}
	state := m.machine.Status().State
	events := m.machine.Events(0)
	if state != before.State && (len(events) == 0 || events[len(events)-1].To != state) {
		t.Fatalf("no event records the change to state %v", state)
	}
}

// TestState_TextRoundTrip checks that the name of each state is decoded to the same state, and that an unknown name
// is rejected.
func TestState_TextRoundTrip(t *testing.T) {
	for state := Serving; state <= Forced; state++ {
		t.Run(state.String(), func(t *testing.T) {
			text, err := state.MarshalText()
			if err != nil {
				t.Fatal(err)
			}
			var decoded State
			if err := decoded.UnmarshalText(text); err != nil || decoded != state {
				t.Errorf("%s is decoded to %v, error %v", text, decoded, err)
			}
		})
	}
	if err := new(State).UnmarshalText([]byte("gone")); err == nil {
		t.Error("an unknown state name is accepted")
	}
}
