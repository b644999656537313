package fleet

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// apply applies entries, one position each, and returns the last result.
func apply(t *testing.T, s *State, all ...Entry) (*State, Result) {
	t.Helper()
	var r Result
	for _, e := range all {
		next, got, err := s.Apply(s.At+1, e.Marshal())
		if err != nil {
			t.Fatal(err)
		}
		s, r = next, got
	}
	return s, r
}

// Two versions of the program in one council: what the older one does not know is void for both until both know it;
// one that is too old for the log stops, and says so.
func TestVersions(t *testing.T) {
	s := New(1).WithMembers(1, map[uint64]Member{1: {ID: 1, Level: 1}, 2: {ID: 2, Level: 2}})
	s, r := apply(t, s, Entry{Kind: "later", Level: 2})
	if !errors.Is(r.Err, ErrVoid) || s.At != 2 {
		t.Errorf("an entry of a level that not all know: %v at %d", r.Err, s.At)
	}
	if s, r = apply(t, s, Entry{Kind: "unheard-of"}); !errors.Is(r.Err, ErrBad) {
		t.Errorf("an unknown kind: %v", r.Err)
	}
	if all := s.Wanted(1, true); len(all) != 0 {
		t.Errorf("raised though member 1 knows no more: %v", all)
	}
	if all := s.Wanted(2, false); len(all) != 1 || all[0].Kind != Speak || all[0].Knows != Level {
		t.Errorf("a member whose program was put back says so: %v", all)
	}
	if _, _, err := s.Apply(s.At+1, Entry{Kind: Raise, Seq: 2}.Marshal()); !errors.Is(err, ErrNewer) {
		t.Errorf("a level beyond this program: %v", err)
	}
	newer := *s
	newer.Level = 2
	if _, _, err := newer.Apply(s.At+1, Entry{Kind: "later", Level: 2}.Marshal()); !errors.Is(err, ErrNewer) {
		t.Errorf("an entry that the others know: %v", err)
	}
}

// Ownership, as the log has it.
func TestOwnership(t *testing.T) {
	acquire := func(holder string) Entry {
		return Entry{Kind: Acquire, Work: "w", Holder: holder, Lease: time.Second}
	}
	s, r := apply(t, New(3), acquire("a"))
	first := r.Token
	if first != MakeToken(3, 1) {
		t.Fatal(first)
	}
	for _, c := range []struct {
		e    Entry
		want error
	}{
		{acquire("b"), ErrHeld},
		{Entry{Kind: Renew, Work: "w", Token: first + 1}, ErrLost},
		{Entry{Kind: Expire, Work: "w", Token: first, Seq: 1}, ErrHeld},
		{Entry{Kind: Renew, Work: "w", Token: first}, nil},
		{Entry{Kind: Expire, Work: "w", Token: first, Seq: 0}, ErrHeld},
		{Entry{Kind: Push, Work: "w", Who: "op", Reason: "x"}, nil},
		{Entry{Kind: Renew, Work: "w", Token: first}, ErrLost},
		{acquire("a"), ErrLost},
		{Entry{Kind: Expire, Work: "w", Token: first, Seq: 1}, nil},
		{Entry{Kind: Release, Work: "w", Token: first}, ErrLost},
		{acquire("b"), nil},
	} {
		if s, r = apply(t, s, c.e); !errors.Is(r.Err, c.want) {
			t.Errorf("%+v: %v, want %v", c.e, r.Err, c.want)
		}
	}
	if r.Token <= first {
		t.Errorf("token %d after %d", r.Token, first)
	}
	again, err := Unmarshal(s.Marshal())
	if err != nil || fmt.Sprint(again) != fmt.Sprint(s) {
		t.Errorf("a snapshot reads as %v, %v", again, err)
	}
	if anew := s.Anew(Member{ID: 9}); MakeToken(anew.Epoch, 1) <= r.Token || len(anew.Owners) != 0 || !anew.Newer(s) {
		t.Errorf("a council begun anew: %+v", anew)
	}
}

// A job's steps are its owner's to tell of, and no more nodes go out than may, whatever an owner believes.
func TestSteps(t *testing.T) {
	s, r := apply(t, New(1), Entry{Kind: Start, Job: "j", Spec: &Spec{Kind: Round, Nodes: []string{"a", "b"}, AtOnce: 1}},
		Entry{Kind: Acquire, Work: Round, Holder: "x", Lease: time.Second})
	tok := r.Token
	step := func(k Kind, node, what, outcome string, t Token) Entry {
		return Entry{Kind: k, Job: "j", Step: StepKey{node, what}, Token: t, Outcome: outcome}
	}
	for _, c := range []struct {
		e    Entry
		want error
	}{
		{Entry{Kind: Start, Job: "k", Spec: &Spec{Kind: Round, Nodes: []string{"a"}, AtOnce: 1}}, ErrHeld},
		{step(Done, "a", Out, OK, tok), ErrUnknown},
		{step(Begin, "a", Out, "", tok+1), ErrLost},
		{step(Begin, "a", Out, "", tok), nil},
		{step(Begin, "a", Out, "", tok), nil}, // the same again
		{step(Begin, "b", Out, "", tok), ErrFull},
		{step(Done, "a", Out, OK, tok), nil},
		{step(Begin, "a", Out, "", tok), ErrThere},
		{step(Begin, "a", In, "", tok), nil},
		{step(Done, "a", In, Failed, tok), nil},
		{step(Begin, "b", Out, "", tok), ErrFull}, // a is not back
		{Entry{Kind: Order, Job: "j", Order: "sideways"}, ErrBad},
		{Entry{Kind: Order, Job: "j", Order: Back}, nil},
		{Entry{Kind: Order, Job: "j", Order: Go}, ErrBad}, // a way back has no way forth
		{Entry{Kind: Close, Job: "j", Token: tok, Outcome: "stopped"}, nil},
		{step(Begin, "b", Out, "", tok), ErrLost},
		{Entry{Kind: Order, Job: "j", Order: Back}, ErrLost}, // it has been on its way back
	} {
		if s, r = apply(t, s, c.e); !errors.Is(r.Err, c.want) {
			t.Errorf("%+v: %v, want %v", c.e, r.Err, c.want)
		}
	}
	if j := s.Jobs["j"]; j.Failures != 1 || j.Steps[StepKey{"a", Out}].Tries != 1 || j.Over != "stopped" {
		t.Errorf("%+v", j)
	}
}

// BenchmarkApply is an entry on a state of 1,000 nodes, whose maps are copied where they change.
func BenchmarkApply(b *testing.B) {
	s := New(1)
	for i := range 1000 {
		s, _, _ = s.Apply(s.At+1, Entry{Kind: Join, Node: &Node{Name: fmt.Sprintf("node-%d", i), Address: "10.0.0.1:7600", Run: "r"}}.Marshal())
	}
	s, r, _ := s.Apply(s.At+1, Entry{Kind: Acquire, Work: Round, Holder: "x", Lease: time.Second}.Marshal())
	for _, e := range []Entry{{Kind: Renew, Work: Round, Token: r.Token}, {Kind: Join, Node: &Node{Name: "node-7", Address: "10.0.0.2:7600", Run: "r"}}} {
		raw := e.Marshal()
		b.Run(string(e.Kind), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _, _ = s.Apply(s.At+1, raw)
			}
		})
	}
}
