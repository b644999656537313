package drain

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever is ordered, taken back and counted, and however time passes: states go forward but for a cancel,
// a drain that is through stays so unless it is taken back, nothing is owed in Drained, Forced comes at the
// deadline and not before it, a final drain is not taken back, and each change of state is an event.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		m := New(now)
		var c Counts
		var seen uint64
		var final bool
		var deadline time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := m.Status()
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			c = Counts{OpenRequests: rapid.IntRange(0, 2).Draw(t, "open"), BusyConns: rapid.IntRange(0, 1).Draw(t, "busy")}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				o := Order{
					AnnounceFor: time.Duration(rapid.IntRange(0, 2).Draw(t, "announce")) * time.Second, LeaveFor: time.Duration(rapid.IntRange(0, 2).Draw(t, "leave")) * time.Second,
					Timeout: time.Duration(rapid.IntRange(0, 9).Draw(t, "for")) * time.Second, Final: rapid.IntRange(0, 4).Draw(t, "final") == 0, Force: rapid.Bool().Draw(t, "force"),
				}
				err := m.Start(now, o, c)
				after := m.Status()
				switch busy := (*InProgressError)(nil); {
				case o.Timeout == 0 && !errors.Is(err, ErrInvalidTimeout), before.State.Done() && o.Timeout > 0 && !errors.Is(err, ErrDrained),
					before.State == Serving && o.Timeout > 0 && (err != nil || after.State != Announced || !after.Deadline.Equal(now.Add(o.Timeout))),
					errors.As(err, &busy) && (o.Final && !before.Final || before.State == Serving):
					t.Fatalf("%+v, order %+v: %v, %+v", before, o, err, after)
				}
				if before.State != Serving && after.Deadline.After(before.Deadline) {
					t.Fatalf("the deadline has moved from %v to %v", before.Deadline, after.Deadline)
				}
				final = after.Final
			case 2:
				err := m.Cancel(now, "x", c)
				if could := before.State != Serving && !final; could != (err == nil) || could && m.Status().State != Serving {
					t.Fatalf("%+v: cancel: %v", before, err)
				}
			default:
				m.Step(now, c)
				after := m.Status()
				switch {
				case after.State < before.State:
					t.Fatalf("back from %v to %v", before.State, after.State)
				case before.State.Done() && after != before:
					t.Fatalf("%+v is not the last: %+v", before, after)
				case !before.State.Done() && before.State != Serving && !now.Before(before.Deadline) && after.State != Forced:
					t.Fatalf("%v at the deadline", after.State)
				case after.State == Forced && before.State != Forced && now.Before(before.Deadline):
					t.Fatal("forced before the deadline")
				case after.State == Drained && before.State != Drained && (c.OpenRequests > 0 || c.BusyConns > 0):
					t.Fatalf("drained with %+v", c)
				case after.State == Closing && c == Counts{}:
					t.Fatal("nothing is left, and it is not drained")
				}
				if at, ok := m.Next(); ok && !at.After(now) {
					t.Fatalf("%v is due again at once", after.State)
				}
			}
			deadline = m.Status().Deadline
			for _, e := range m.Events(seen) {
				if e.Number != seen+1 || e.At.After(now) {
					t.Fatalf("after event %d: %+v", seen, e)
				}
				seen = e.Number
			}
			if s := m.Status().State; s != before.State && (len(m.events) == 0 || m.events[len(m.events)-1].To != s) {
				t.Fatalf("no event of %v", s)
			}
		}
		if at, ok := m.Next(); ok && at.After(deadline) {
			t.Fatalf("next is at %v, after the deadline %v", at, deadline)
		}
	})
}

func TestNames(t *testing.T) {
	for s := Serving; s <= Forced; s++ {
		text, _ := s.MarshalText()
		var back State
		if err := back.UnmarshalText(text); err != nil || back != s {
			t.Errorf("%s: %v, %v", text, back, err)
		}
	}
	if err := new(State).UnmarshalText([]byte("gone")); err == nil {
		t.Error("a state that there is not")
	}
}
