package fleet

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// mustApply applies entries at consecutive positions. It returns the resulting state and the last result.
func mustApply(t *testing.T, state *State, entries ...Entry) (*State, Result) {
	t.Helper()
	var result Result
	for _, entry := range entries {
		next, got, err := state.Apply(state.Position+1, entry.Marshal())
		if err != nil {
			t.Fatalf("applying %+v: %v", entry, err)
		}
		state, result = next, got
	}
	return state, result
}

// step is one entry of a sequence. want is the error with which the state must reject the entry, or nil if the state
// must accept the entry.
type step struct {
	name  string
	entry Entry
	want  error
}

// applySequence applies the entries of steps in order, and checks the outcome of each entry.
func applySequence(t *testing.T, state *State, steps []step) (*State, Result) {
	t.Helper()
	var result Result
	for _, current := range steps {
		t.Run(current.name, func(t *testing.T) {
			state, result = mustApply(t, state, current.entry)
			if !errors.Is(result.Err, current.want) {
				t.Errorf("%+v: got error %v, want %v", current.entry, result.Err, current.want)
			}
		})
	}
	return state, result
}

// TestApply_EntriesOfNewerFormats checks that a state rejects entries of a format that not all members support.
// If the state accepted such an entry, the states of the members would diverge. A program that is too old for the log
// must stop applying entries.
func TestApply_EntriesOfNewerFormats(t *testing.T) {
	state := NewState(1).WithMembers(1, map[uint64]Member{
		1: {ID: 1, SupportedFormat: 1},
		2: {ID: 2, SupportedFormat: 2},
	})
	state, result := mustApply(t, state, Entry{Kind: "later", FormatVersion: 2})
	if !errors.Is(result.Err, ErrFormatTooNew) || state.Position != 2 {
		t.Errorf("entry of a format that not all members support: %v at position %d", result.Err, state.Position)
	}
	if state, result = mustApply(t, state, Entry{Kind: "unheard-of"}); !errors.Is(result.Err, ErrInvalidEntry) {
		t.Errorf("entry of an unknown kind: %v", result.Err)
	}
	upgrade := Entry{Kind: KindUpgradeFormat, Argument: 2}
	if _, _, err := state.Apply(state.Position+1, upgrade.Marshal()); !errors.Is(err, ErrUnsupportedFormat) {
		t.Errorf("upgrade to a format that this program does not support: %v", err)
	}
	newer := *state
	newer.FormatVersion = 2
	later := Entry{Kind: "later", FormatVersion: 2}
	if _, _, err := newer.Apply(state.Position+1, later.Marshal()); !errors.Is(err, ErrUnsupportedFormat) {
		t.Errorf("entry of a format that only the other members support: %v", err)
	}
}

func TestFormatProposals_OfMembersOfDifferentPrograms(t *testing.T) {
	state := NewState(1).WithMembers(1, map[uint64]Member{
		1: {ID: 1, SupportedFormat: 1},
		2: {ID: 2, SupportedFormat: 2},
	})
	if proposals := state.FormatProposals(1, true); len(proposals) != 0 {
		t.Errorf("the leader proposes a format that member 1 does not support: %v", proposals)
	}
	proposals := state.FormatProposals(2, false)
	if len(proposals) != 1 {
		t.Fatalf("a member whose program was downgraded proposes %v", proposals)
	}
	if got := proposals[0]; got.Kind != KindAnnounceFormat || got.SupportedFormat != FormatVersion {
		t.Errorf("a member whose program was downgraded proposes %+v", got)
	}
}

func TestApply_LeaseLifecycle(t *testing.T) {
	grantTo := func(holder string) Entry {
		return Entry{Kind: KindGrantLease, Resource: "w", Holder: holder, LeaseDuration: time.Second}
	}
	state, result := mustApply(t, NewState(3), grantTo("a"))
	first := result.FencingToken
	if first != NewFencingToken(3, 1) {
		t.Fatalf("the first token is %d", first)
	}
	renew := Entry{Kind: KindRenewLease, Resource: "w", FencingToken: first}
	expire := func(renewals uint64) Entry {
		return Entry{Kind: KindExpireLease, Resource: "w", FencingToken: first, Argument: renewals}
	}
	state, result = applySequence(t, state, []step{
		{"grant to another holder", grantTo("b"), ErrConflict},
		{"renewal under another token", Entry{Kind: KindRenewLease, Resource: "w", FencingToken: first + 1}, ErrLeaseLost},
		{"expiry that counts a renewal never made", expire(1), ErrConflict},
		{"renewal", renew, nil},
		{"expiry overtaken by a renewal", expire(0), ErrConflict},
		{"revocation", Entry{Kind: KindRevokeLease, Resource: "w", RequestedBy: "op", Reason: "x"}, nil},
		{"renewal after revocation", renew, ErrLeaseLost},
		{"grant after revocation", grantTo("a"), ErrLeaseLost},
		{"expiry", expire(1), nil},
		{"release after expiry", Entry{Kind: KindReleaseLease, Resource: "w", FencingToken: first}, ErrLeaseLost},
		{"grant to another holder after expiry", grantTo("b"), nil},
	})
	if result.FencingToken <= first {
		t.Errorf("token %d was granted after %d, want a higher one", result.FencingToken, first)
	}
	decoded, err := UnmarshalState(state.Marshal())
	if err != nil || fmt.Sprint(decoded) != fmt.Sprint(state) {
		t.Errorf("the snapshot decodes to another state: %v, error %v", decoded, err)
	}
}

func TestNextEpoch_TokensGrowOn(t *testing.T) {
	grant := Entry{Kind: KindGrantLease, Resource: "w", Holder: "a", LeaseDuration: time.Second}
	state, result := mustApply(t, NewState(3), grant)
	next := state.NextEpoch(Member{ID: 9})
	if NewFencingToken(next.Epoch, 1) <= result.FencingToken {
		t.Errorf("tokens of epoch %d are not above %d, a token of the epoch before", next.Epoch, result.FencingToken)
	}
	if len(next.Leases) != 0 || !next.NewerThan(state) {
		t.Errorf("the state of the next epoch is %+v, want a newer one without leases", next)
	}
}

// TestApply_JobStepsAndLimits checks that only the holder of the lease may record steps, and that the state limits
// how many nodes are drained at a time. A holder cannot enforce the limit, because it may not know which of its
// entries are in the log.
func TestApply_JobStepsAndLimits(t *testing.T) {
	spec := &JobSpec{Kind: JobRollingUpdate, Nodes: []string{"a", "b"}, MaxUnavailable: 1}
	state, result := mustApply(t, NewState(1),
		Entry{Kind: KindStartJob, JobID: "j", Spec: spec},
		Entry{Kind: KindGrantLease, Resource: ResourceRollingUpdate, Holder: "x", LeaseDuration: time.Second})
	token := result.FencingToken
	begin := func(node string, action StepAction, token FencingToken) Entry {
		return Entry{Kind: KindBeginStep, JobID: "j", Step: StepKey{node, action}, FencingToken: token}
	}
	finish := func(action StepAction, outcome StepOutcome) Entry {
		key := StepKey{"a", action}
		return Entry{Kind: KindFinishStep, JobID: "j", Step: key, FencingToken: token, Outcome: string(outcome)}
	}
	control := func(command JobCommand) Entry {
		return Entry{Kind: KindControlJob, JobID: "j", Command: command}
	}
	closeJob := Entry{Kind: KindCloseJob, JobID: "j", FencingToken: token, Outcome: string(ClosedStopped)}
	state, _ = applySequence(t, state, []step{
		{"second job of the kind", Entry{Kind: KindStartJob, JobID: "k", Spec: spec}, ErrConflict},
		{"finish before begin", finish(ActionDrain, OutcomeOK), ErrNotFound},
		{"begin under another token", begin("a", ActionDrain, token+1), ErrLeaseLost},
		{"begin", begin("a", ActionDrain, token), nil},
		{"begin a second time", begin("a", ActionDrain, token), nil},
		{"drain beyond the limit", begin("b", ActionDrain, token), ErrLimitExceeded},
		{"finish", finish(ActionDrain, OutcomeOK), nil},
		{"begin after finish", begin("a", ActionDrain, token), ErrAlreadyExists},
		{"begin the last step", begin("a", ActionResume, token), nil},
		{"last step fails", finish(ActionResume, OutcomeFailed), nil},
		{"drain while another node is not resumed", begin("b", ActionDrain, token), ErrLimitExceeded},
		{"unknown command", control("sideways"), ErrInvalidEntry},
		{"roll back", control(CommandRollBack), nil},
		{"run after roll back", control(CommandRun), ErrInvalidEntry},
		{"close", closeJob, nil},
		{"begin after close", begin("b", ActionDrain, token), ErrLeaseLost},
		{"roll back a second time", control(CommandRollBack), ErrLeaseLost},
	})
	job := state.Jobs["j"]
	if job.Failures != 1 || job.Steps[StepKey{"a", ActionDrain}].Attempts != 1 || job.CloseReason != ClosedStopped {
		t.Errorf("the job is %+v, want one failure, one attempt to drain, and reason stopped", job)
	}
}

// TestApply_RolloutLifecycle checks that a version can be published, promoted in stages, retired and cleared. At most
// two versions may be in use at any time.
func TestApply_RolloutLifecycle(t *testing.T) {
	spec := &JobSpec{Kind: JobRollout, Artifact: "settings", Digest: "v2", Stages: [][]string{{"a"}}}
	grant := Entry{Kind: KindGrantLease, Resource: ResourceRollout, Holder: "x", LeaseDuration: time.Second}
	state, result := mustApply(t, NewState(1), grant)
	token := result.FencingToken
	entryOf := func(kind Kind, argument uint64, digest string) Entry {
		return Entry{Kind: kind, Artifact: "settings", FencingToken: token, Argument: argument, Digest: digest}
	}
	publish := Entry{Kind: KindPublishVersion, Artifact: "settings", Digest: "v1"}
	closeJob := Entry{Kind: KindCloseJob, JobID: "j", FencingToken: token, Outcome: string(ClosedDone)}
	state, _ = applySequence(t, state, []step{
		{"start before publish", Entry{Kind: KindStartJob, JobID: "j", Spec: spec}, ErrConflict},
		{"publish", publish, nil},
		{"publish again", publish, ErrAlreadyExists},
		{"promote without a job", entryOf(KindPromoteVersion, 0, ""), ErrNotFound},
		{"start", Entry{Kind: KindStartJob, JobID: "j", Spec: spec}, nil},
		{"retire before promote", entryOf(KindRetireVersion, 0, "v1"), ErrNotFound},
		{"promote to the first stage", entryOf(KindPromoteVersion, 0, ""), nil},
		{"retire while nodes need the version", entryOf(KindRetireVersion, 0, "v1"), ErrConflict},
		{"promote to a stage that does not exist", entryOf(KindPromoteVersion, 2, ""), ErrConflict},
		{"promote to a stage that overflows an int", entryOf(KindPromoteVersion, 1<<63, ""), ErrConflict},
		{"promote to all nodes", entryOf(KindPromoteVersion, 1, ""), nil},
		{"retire", entryOf(KindRetireVersion, 0, "v1"), nil},
		{"close before clear", closeJob, ErrConflict},
		{"clear another version", entryOf(KindClearVersion, 1, "v1"), ErrNotFound},
	})
	artifact := state.Artifacts["settings"]
	if artifact.Current.Digest != "v2" || artifact.Retiring == nil || !artifact.InTransition() {
		t.Fatalf("the artifact is %+v, want v2 as current and v1 as retiring", artifact)
	}
	state, _ = applySequence(t, state, []step{
		{"clear", entryOf(KindClearVersion, uint64(artifact.Retiring.Position), "v1"), nil},
		{"close", closeJob, nil},
	})
	if state.Artifacts["settings"].InTransition() {
		t.Errorf("the artifact is %+v, want no version in transition", state.Artifacts["settings"])
	}
}

// BenchmarkApply measures a renewal and a registration in a state of 1,000 nodes. A renewal copies only the small map
// of leases. A registration copies the map of nodes.
func BenchmarkApply(b *testing.B) {
	register := func(name, address string) Entry {
		return Entry{Kind: KindRegisterNode, Node: &Node{Name: name, Address: address, Incarnation: "r"}}
	}
	state := NewState(1)
	for i := range 1000 {
		entry := register(fmt.Sprintf("node-%d", i), "10.0.0.1:7600")
		state, _, _ = state.Apply(state.Position+1, entry.Marshal())
	}
	grant := Entry{Kind: KindGrantLease, Resource: ResourceRollingUpdate, Holder: "x", LeaseDuration: time.Second}
	state, result, _ := state.Apply(state.Position+1, grant.Marshal())
	renew := Entry{Kind: KindRenewLease, Resource: ResourceRollingUpdate, FencingToken: result.FencingToken}
	for _, entry := range []Entry{renew, register("node-7", "10.0.0.2:7600")} {
		raw := entry.Marshal()
		b.Run(string(entry.Kind), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _, _ = state.Apply(state.Position+1, raw)
			}
		})
	}
}
