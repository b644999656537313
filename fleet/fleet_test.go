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
		next, got, err := s.Apply(s.Position+1, e.Marshal())
		if err != nil {
			t.Fatal(err)
		}
		s, r = next, got
	}
	return s, r
}

// Two versions of the program in one council: what the older one does not know is void for both until both know it;
// one that is too old for the log stops, and says so.
func TestApply_EntriesOfNewerFormats(t *testing.T) {
	s := NewState(1).WithMembers(1, map[uint64]Member{1: {ID: 1, SupportedFormat: 1}, 2: {ID: 2, SupportedFormat: 2}})
	s, r := apply(t, s, Entry{Kind: "later", FormatVersion: 2})
	if !errors.Is(r.Err, ErrFormatTooNew) || s.Position != 2 {
		t.Errorf("an entry of a level that not all know: %v at %d", r.Err, s.Position)
	}
	if s, r = apply(t, s, Entry{Kind: "unheard-of"}); !errors.Is(r.Err, ErrInvalidEntry) {
		t.Errorf("an unknown kind: %v", r.Err)
	}
	if all := s.FormatProposals(1, true); len(all) != 0 {
		t.Errorf("raised though member 1 knows no more: %v", all)
	}
	if all := s.FormatProposals(2, false); len(all) != 1 || all[0].Kind != KindAnnounceFormat || all[0].SupportedFormat != FormatVersion {
		t.Errorf("a member whose program was put back says so: %v", all)
	}
	if _, _, err := s.Apply(s.Position+1, Entry{Kind: KindUpgradeFormat, Argument: 2}.Marshal()); !errors.Is(err, ErrUnsupportedFormat) {
		t.Errorf("a level beyond this program: %v", err)
	}
	newer := *s
	newer.FormatVersion = 2
	if _, _, err := newer.Apply(s.Position+1, Entry{Kind: "later", FormatVersion: 2}.Marshal()); !errors.Is(err, ErrUnsupportedFormat) {
		t.Errorf("an entry that the others know: %v", err)
	}
}

// Ownership, as the log has it.
func TestApply_LeaseLifecycle(t *testing.T) {
	acquire := func(holder string) Entry {
		return Entry{Kind: KindGrantLease, Resource: "w", Holder: holder, LeaseDuration: time.Second}
	}
	s, r := apply(t, NewState(3), acquire("a"))
	first := r.FencingToken
	if first != NewFencingToken(3, 1) {
		t.Fatal(first)
	}
	for _, c := range []struct {
		e    Entry
		want error
	}{
		{acquire("b"), ErrConflict},
		{Entry{Kind: KindRenewLease, Resource: "w", FencingToken: first + 1}, ErrLeaseLost},
		{Entry{Kind: KindExpireLease, Resource: "w", FencingToken: first, Argument: 1}, ErrConflict},
		{Entry{Kind: KindRenewLease, Resource: "w", FencingToken: first}, nil},
		{Entry{Kind: KindExpireLease, Resource: "w", FencingToken: first, Argument: 0}, ErrConflict},
		{Entry{Kind: KindRevokeLease, Resource: "w", RequestedBy: "op", Reason: "x"}, nil},
		{Entry{Kind: KindRenewLease, Resource: "w", FencingToken: first}, ErrLeaseLost},
		{acquire("a"), ErrLeaseLost},
		{Entry{Kind: KindExpireLease, Resource: "w", FencingToken: first, Argument: 1}, nil},
		{Entry{Kind: KindReleaseLease, Resource: "w", FencingToken: first}, ErrLeaseLost},
		{acquire("b"), nil},
	} {
		if s, r = apply(t, s, c.e); !errors.Is(r.Err, c.want) {
			t.Errorf("%+v: %v, want %v", c.e, r.Err, c.want)
		}
	}
	if r.FencingToken <= first {
		t.Errorf("token %d after %d", r.FencingToken, first)
	}
	again, err := UnmarshalState(s.Marshal())
	if err != nil || fmt.Sprint(again) != fmt.Sprint(s) {
		t.Errorf("a snapshot reads as %v, %v", again, err)
	}
	if anew := s.NextEpoch(Member{ID: 9}); NewFencingToken(anew.Epoch, 1) <= r.FencingToken || len(anew.Leases) != 0 || !anew.NewerThan(s) {
		t.Errorf("a council begun anew: %+v", anew)
	}
}

// A job's steps are its owner's to tell of, and no more nodes go out than may, whatever an owner believes.
func TestApply_JobStepsAndLimits(t *testing.T) {
	s, r := apply(t, NewState(1), Entry{Kind: KindStartJob, JobID: "j", Spec: &JobSpec{Kind: JobRollingUpdate, Nodes: []string{"a", "b"}, MaxUnavailable: 1}},
		Entry{Kind: KindGrantLease, Resource: JobRollingUpdate, Holder: "x", LeaseDuration: time.Second})
	tok := r.FencingToken
	step := func(k Kind, node, what, outcome string, t FencingToken) Entry {
		return Entry{Kind: k, JobID: "j", Step: StepKey{node, what}, FencingToken: t, Outcome: outcome}
	}
	for _, c := range []struct {
		e    Entry
		want error
	}{
		{Entry{Kind: KindStartJob, JobID: "k", Spec: &JobSpec{Kind: JobRollingUpdate, Nodes: []string{"a"}, MaxUnavailable: 1}}, ErrConflict},
		{step(KindFinishStep, "a", ActionDrain, OutcomeOK, tok), ErrNotFound},
		{step(KindBeginStep, "a", ActionDrain, "", tok+1), ErrLeaseLost},
		{step(KindBeginStep, "a", ActionDrain, "", tok), nil},
		{step(KindBeginStep, "a", ActionDrain, "", tok), nil}, // the same again
		{step(KindBeginStep, "b", ActionDrain, "", tok), ErrLimitExceeded},
		{step(KindFinishStep, "a", ActionDrain, OutcomeOK, tok), nil},
		{step(KindBeginStep, "a", ActionDrain, "", tok), ErrAlreadyExists},
		{step(KindBeginStep, "a", ActionResume, "", tok), nil},
		{step(KindFinishStep, "a", ActionResume, OutcomeFailed, tok), nil},
		{step(KindBeginStep, "b", ActionDrain, "", tok), ErrLimitExceeded}, // a is not back
		{Entry{Kind: KindControlJob, JobID: "j", Command: "sideways"}, ErrInvalidEntry},
		{Entry{Kind: KindControlJob, JobID: "j", Command: CommandRollBack}, nil},
		{Entry{Kind: KindControlJob, JobID: "j", Command: CommandRun}, ErrInvalidEntry}, // a way back has no way forth
		{Entry{Kind: KindCloseJob, JobID: "j", FencingToken: tok, Outcome: "stopped"}, nil},
		{step(KindBeginStep, "b", ActionDrain, "", tok), ErrLeaseLost},
		{Entry{Kind: KindControlJob, JobID: "j", Command: CommandRollBack}, ErrLeaseLost}, // it has been on its way back
	} {
		if s, r = apply(t, s, c.e); !errors.Is(r.Err, c.want) {
			t.Errorf("%+v: %v, want %v", c.e, r.Err, c.want)
		}
	}
	if j := s.Jobs["j"]; j.Failures != 1 || j.Steps[StepKey{"a", ActionDrain}].Attempts != 1 || j.CloseReason != "stopped" {
		t.Errorf("%+v", j)
	}
}

// BenchmarkApply is an entry on a state of 1,000 nodes, whose maps are copied where they change.
func BenchmarkApply(b *testing.B) {
	s := NewState(1)
	for i := range 1000 {
		s, _, _ = s.Apply(s.Position+1, Entry{Kind: KindRegisterNode, Node: &Node{Name: fmt.Sprintf("node-%d", i), Address: "10.0.0.1:7600", Incarnation: "r"}}.Marshal())
	}
	s, r, _ := s.Apply(s.Position+1, Entry{Kind: KindGrantLease, Resource: JobRollingUpdate, Holder: "x", LeaseDuration: time.Second}.Marshal())
	for _, e := range []Entry{{Kind: KindRenewLease, Resource: JobRollingUpdate, FencingToken: r.FencingToken}, {Kind: KindRegisterNode, Node: &Node{Name: "node-7", Address: "10.0.0.2:7600", Incarnation: "r"}}} {
		raw := e.Marshal()
		b.Run(string(e.Kind), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _, _ = s.Apply(s.Position+1, raw)
			}
		})
	}
}
