package drain

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelTest drives a machine by random orders, cancellations, counts and times.
type modelTest struct {
	machine *Machine
	now     time.Time
	counts  Counts
	final   bool   // the drain can't be cancelled
	seen    uint64 // the last event
}

// TestMachine_MatchesModel checks that, whatever is ordered, cancelled and counted, and however time passes: states go
// forward except for a cancel, a drain that is over stays so unless it is cancelled, nothing is open in Drained, Forced
// comes at the deadline and not before it, a final drain is not cancelled, and each change of state is an event.
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
			t.Fatalf("next is at %v, after the deadline %v", at, deadline)
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
		t.Fatalf("%+v, order %+v: %v, %+v", before, order, err, after)
	}
	if before.State != Serving && after.Deadline.After(before.Deadline) {
		t.Fatalf("the deadline has moved from %v to %v", before.Deadline, after.Deadline)
	}
	m.final = after.Final
}

// startAsExpected reports whether an order had the result that it has to have.
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
		t.Fatalf("%+v: cancel: %v", before, err)
	}
}

func (m *modelTest) step(t *rapid.T, before Status) {
	m.machine.Step(m.now, m.counts)
	after := m.machine.Status()
	wasInProgress := !before.State.Done() && before.State != Serving
	switch {
	case after.State < before.State:
		t.Fatalf("back from %v to %v", before.State, after.State)
	case before.State.Done() && after != before:
		t.Fatalf("%+v is not the last: %+v", before, after)
	case wasInProgress && !m.now.Before(before.Deadline) && after.State != Forced:
		t.Fatalf("%v at the deadline", after.State)
	case after.State == Forced && before.State != Forced && m.now.Before(before.Deadline):
		t.Fatal("forced before the deadline")
	case after.State == Drained && before.State != Drained && m.counts != Counts{}:
		t.Fatalf("drained with %+v", m.counts)
	case after.State == Closing && m.counts == Counts{}:
		t.Fatal("nothing is left, and it is not drained")
	}
	if at, ok := m.machine.Next(); ok && !at.After(m.now) {
		t.Fatalf("%v is due again at once", after.State)
	}
}

// checkEvents checks that events are numbered without a gap, and that a change of state is the last of them.
func (m *modelTest) checkEvents(t *rapid.T, before Status) {
	for _, event := range m.machine.Events(m.seen) {
		if event.Number != m.seen+1 || event.At.After(m.now) {
			t.Fatalf("after event %d: %+v", m.seen, event)
		}
		m.seen = event.Number
	}
	state := m.machine.Status().State
	events := m.machine.Events(0)
	if state != before.State && (len(events) == 0 || events[len(events)-1].To != state) {
		t.Fatalf("no event of %v", state)
	}
}

// TestState_TextRoundTrip reads each state's name back, and refuses a name that no state has.
func TestState_TextRoundTrip(t *testing.T) {
	for state := Serving; state <= Forced; state++ {
		t.Run(state.String(), func(t *testing.T) {
			text, err := state.MarshalText()
			if err != nil {
				t.Fatal(err)
			}
			var decoded State
			if err := decoded.UnmarshalText(text); err != nil || decoded != state {
				t.Errorf("%s: %v, %v", text, decoded, err)
			}
		})
	}
	if err := new(State).UnmarshalText([]byte("gone")); err == nil {
		t.Error("a state that there is not")
	}
}
