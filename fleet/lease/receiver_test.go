package lease

import (
	"fmt"
	"testing"
	"time"

	"cobaltward/fleet"
)

func TestFencingGate_Admit(t *testing.T) {
	gate := FencingGate{HighestTokens: map[string]fleet.FencingToken{"w": 7}}
	for _, test := range []struct {
		name              string
		resource          string
		token             fleet.FencingToken
		admitted, changed bool
	}{
		{"a stale token", "w", 6, false, false},
		{"the highest token", "w", 7, true, false},
		{"a newer token", "w", 8, true, true},
		{"the former highest token", "w", 7, false, false},
		{"no token", "x", 0, false, false},
		{"the first token of a resource", "x", 1, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			admitted, changed := gate.Admit(test.resource, test.token)
			if admitted != test.admitted || changed != test.changed {
				t.Errorf("admitted %v, changed %v; want %v, %v", admitted, changed, test.admitted, test.changed)
			}
		})
	}
}

func TestEffectLog_RemovesOldestEffect(t *testing.T) {
	var log EffectLog
	for i := range maxEffects + 1 {
		log.Start(fmt.Sprint(i), "w", 1)
	}
	if _, ok := log.Effects["0"]; ok || len(log.Effects) != maxEffects {
		t.Errorf("%d effects are kept, with the oldest one among them: %v", len(log.Effects), ok)
	}
}

// fixture is a receiver of node n1 and a state with an open rolling update whose lease is granted.
type fixture struct {
	t        *testing.T
	state    *fleet.State
	token    fleet.FencingToken
	receiver *FencedReceiver
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	setup := &fixture{t: t, state: fleet.NewState(1)}
	setup.apply(fleet.Entry{Kind: fleet.KindStartJob, JobID: "j", Spec: &fleet.JobSpec{
		Kind:           fleet.JobRollingUpdate,
		Nodes:          []string{"n1"},
		MaxUnavailable: 1,
	}})
	setup.token = setup.grant("h/1")
	setup.restart(ReceiverState{}, "run-1")
	return setup
}

func (f *fixture) apply(entry fleet.Entry) fleet.Result {
	f.t.Helper()
	next, result, err := f.state.Apply(f.state.Position+1, entry.Marshal())
	if err != nil || result.Err != nil {
		f.t.Fatalf("%+v: %v, %v", entry, err, result.Err)
	}
	f.state = next
	return result
}

func (f *fixture) grant(holder string) fleet.FencingToken {
	f.t.Helper()
	return f.apply(fleet.Entry{
		Kind:          fleet.KindGrantLease,
		Resource:      fleet.ResourceRollingUpdate,
		Holder:        holder,
		LeaseDuration: time.Second,
	}).FencingToken
}

// restart starts another process of the node with a stored state. The new process is not registered yet.
func (f *fixture) restart(stored ReceiverState, incarnation string) {
	f.receiver = Restore(stored, "n1", incarnation, UnsafeOptions{})
}

func (f *fixture) register(incarnation string) {
	f.t.Helper()
	f.apply(fleet.Entry{Kind: fleet.KindRegisterNode, Node: &fleet.Node{Name: "n1", Incarnation: incarnation}})
	if !f.receiver.Registered(f.state) {
		f.t.Fatal("the receiver does not see its registration")
	}
}

func (f *fixture) begin() {
	f.t.Helper()
	f.apply(fleet.Entry{Kind: fleet.KindBeginStep, JobID: "j", Step: f.request().Step, FencingToken: f.token})
}

func (f *fixture) request() EffectRequest {
	step := fleet.StepKey{Node: "n1", Action: fleet.ActionDrain}
	return EffectRequest{
		Resource:       fleet.ResourceRollingUpdate,
		FencingToken:   f.token,
		JobID:          "j",
		Step:           step,
		IdempotencyKey: "j/" + step.String(),
	}
}

// check fails the test unless the receiver's decision on a request is want.
func (f *fixture) check(request EffectRequest, want Decision) EffectResponse {
	f.t.Helper()
	response, decision, _ := f.receiver.Decide(request, f.state)
	if decision != want {
		f.t.Fatalf("got decision %d, want %d; response %+v", decision, want, response)
	}
	return response
}

func TestFencedReceiver_DefersUntilRegistered(t *testing.T) {
	setup := newFixture(t)
	setup.begin()
	setup.check(setup.request(), Defer)
	setup.register("run-1")
	setup.check(setup.request(), VerifyFirst) // an earlier process may have carried out the step
}

func TestFencedReceiver_DefersUntilStepIsBegun(t *testing.T) {
	setup := newFixture(t)
	setup.register("run-1")
	setup.check(setup.request(), Defer)
	setup.begin()
	setup.check(setup.request(), Execute)
}

func TestFencedReceiver_ExecutesOnce(t *testing.T) {
	setup := newFixture(t)
	setup.register("run-1")
	setup.begin()
	if response := setup.check(setup.request(), Execute); !response.Running || response.HighestToken != setup.token {
		t.Errorf("the first response is %+v, want a running effect and the highest token", response)
	}
	if response := setup.check(setup.request(), Report); !response.Running {
		t.Errorf("the response while the effect is running is %+v", response)
	}
	setup.receiver.EffectLog.Finish(setup.request().IdempotencyKey, fleet.OutcomeFailed, "why")
	response := setup.check(setup.request(), Report)
	if response.Running || response.Outcome != fleet.OutcomeFailed || response.Detail != "why" {
		t.Errorf("the response after the effect has failed is %+v", response)
	}
}

func TestFencedReceiver_RejectsStaleTokens(t *testing.T) {
	setup := newFixture(t)
	setup.register("run-1")
	setup.begin()
	stale := setup.request()
	setup.apply(fleet.Entry{Kind: fleet.KindReleaseLease, Resource: stale.Resource, FencingToken: setup.token})
	setup.token = setup.grant("h/2")
	if response := setup.check(stale, Reject); response.HighestToken != setup.token {
		t.Errorf("the response is %+v, want the token %d of the newest grant in the log", response, setup.token)
	}
}

func TestFencedReceiver_RejectsClosedJobs(t *testing.T) {
	setup := newFixture(t)
	setup.register("run-1")
	setup.begin()
	setup.apply(fleet.Entry{Kind: fleet.KindCloseJob, JobID: "j", FencingToken: setup.token, Outcome: "stopped"})
	setup.check(setup.request(), Reject)
}

func TestFencedReceiver_ReportsFinishedSteps(t *testing.T) {
	setup := newFixture(t)
	setup.register("run-1")
	setup.begin()
	step := setup.request().Step
	setup.apply(fleet.Entry{Kind: fleet.KindFinishStep, JobID: "j", Step: step, FencingToken: setup.token, Outcome: "ok"})
	if response := setup.check(setup.request(), Report); response.Outcome != fleet.OutcomeOK {
		t.Errorf("the response is %+v, want outcome ok", response)
	}
}

// TestFencedReceiver_VerifiesInterruptedEffects checks that the next process verifies, once, each effect that was
// running when the previous process ended.
func TestFencedReceiver_VerifiesInterruptedEffects(t *testing.T) {
	setup := newFixture(t)
	setup.register("run-1")
	setup.begin()
	setup.check(setup.request(), Execute)
	setup.restart(setup.receiver.ReceiverState, "run-2")
	setup.check(setup.request(), Defer)
	setup.register("run-2")
	setup.check(setup.request(), VerifyFirst)
	setup.check(setup.request(), Report)
}

// TestFencedReceiver_RepeatsDecisionAfterSaveFailure checks that a receiver decides again after it could not store
// that an effect is running. The effect was not carried out, so the receiver must not report the effect as running.
func TestFencedReceiver_RepeatsDecisionAfterSaveFailure(t *testing.T) {
	setup := newFixture(t)
	setup.register("run-1")
	setup.begin()
	setup.check(setup.request(), Execute)
	setup.receiver.HandleSaveFailure(setup.request().IdempotencyKey)
	setup.check(setup.request(), VerifyFirst)
}
