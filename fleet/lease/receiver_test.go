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
		t.Errorf("%d effects are kept, the oldest one among them: %v", len(log.Effects), ok)
	}
}

// fixture is a receiver of node n1, and a state in which a rolling update is open.
type fixture struct {
	t        *testing.T
	state    *fleet.State
	token    fleet.FencingToken
	receiver *FencedReceiver
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, state: fleet.NewState(1)}
	f.apply(fleet.Entry{Kind: fleet.KindStartJob, JobID: "j", Spec: &fleet.JobSpec{
		Kind:           fleet.JobRollingUpdate,
		Nodes:          []string{"n1"},
		MaxUnavailable: 1,
	}})
	f.token = f.grant("h/1")
	f.restart(ReceiverState{}, "run-1")
	return f
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

// restart has another process of the node start on a stored state. It is not registered yet.
func (f *fixture) restart(stored ReceiverState, incarnation string) {
	f.receiver = Restore(stored, "n1", incarnation, UnsafeOptions{})
}

func (f *fixture) register(incarnation string) {
	f.t.Helper()
	f.apply(fleet.Entry{Kind: fleet.KindRegisterNode, Node: &fleet.Node{Name: "n1", Incarnation: incarnation}})
	if !f.receiver.Registered(f.state) {
		f.t.Fatal("the registration is not seen")
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

// check fails the test unless the receiver decides on a request as wanted.
func (f *fixture) check(request EffectRequest, want Decision) EffectResponse {
	f.t.Helper()
	response, decision, _ := f.receiver.Decide(request, f.state)
	if decision != want {
		f.t.Fatalf("decision %d, want %d; response %+v", decision, want, response)
	}
	return response
}

func TestFencedReceiver_DefersUntilRegistered(t *testing.T) {
	f := newFixture(t)
	f.begin()
	f.check(f.request(), Defer)
	f.register("run-1")
	f.check(f.request(), VerifyFirst) // begun before it was registered: an earlier process may have carried it out
}

func TestFencedReceiver_DefersUntilStepIsBegun(t *testing.T) {
	f := newFixture(t)
	f.register("run-1")
	f.check(f.request(), Defer)
	f.begin()
	f.check(f.request(), Execute)
}

func TestFencedReceiver_ExecutesOnce(t *testing.T) {
	f := newFixture(t)
	f.register("run-1")
	f.begin()
	if response := f.check(f.request(), Execute); !response.Running || response.HighestToken != f.token {
		t.Errorf("the first response is %+v", response)
	}
	if response := f.check(f.request(), Report); !response.Running {
		t.Errorf("the response while it runs is %+v", response)
	}
	f.receiver.EffectLog.Finish(f.request().IdempotencyKey, fleet.OutcomeFailed, "why")
	response := f.check(f.request(), Report)
	if response.Running || response.Outcome != fleet.OutcomeFailed || response.Detail != "why" {
		t.Errorf("the response after it has ended is %+v", response)
	}
}

func TestFencedReceiver_RejectsStaleTokens(t *testing.T) {
	f := newFixture(t)
	f.register("run-1")
	f.begin()
	stale := f.request()
	f.apply(fleet.Entry{Kind: fleet.KindReleaseLease, Resource: stale.Resource, FencingToken: f.token})
	f.token = f.grant("h/2")
	if response := f.check(stale, Reject); response.HighestToken != f.token {
		t.Errorf("the response is %+v, want the token %d that the log knows", response, f.token)
	}
}

func TestFencedReceiver_RejectsClosedJobs(t *testing.T) {
	f := newFixture(t)
	f.register("run-1")
	f.begin()
	f.apply(fleet.Entry{Kind: fleet.KindCloseJob, JobID: "j", FencingToken: f.token, Outcome: "stopped"})
	f.check(f.request(), Reject)
}

func TestFencedReceiver_ReportsFinishedSteps(t *testing.T) {
	f := newFixture(t)
	f.register("run-1")
	f.begin()
	step := f.request().Step
	f.apply(fleet.Entry{Kind: fleet.KindFinishStep, JobID: "j", Step: step, FencingToken: f.token, Outcome: "ok"})
	if response := f.check(f.request(), Report); response.Outcome != fleet.OutcomeOK {
		t.Errorf("the response is %+v", response)
	}
}

// What was running when the process ended is verified by the next one, once.
func TestFencedReceiver_VerifiesInterruptedEffects(t *testing.T) {
	f := newFixture(t)
	f.register("run-1")
	f.begin()
	f.check(f.request(), Execute)
	f.restart(f.receiver.ReceiverState, "run-2")
	f.check(f.request(), Defer)
	f.register("run-2")
	f.check(f.request(), VerifyFirst)
	f.check(f.request(), Report)
}

// An effect that was decided on and whose record could not be stored was not carried out: it is decided on again.
func TestFencedReceiver_RepeatsDecisionAfterSaveFailure(t *testing.T) {
	f := newFixture(t)
	f.register("run-1")
	f.begin()
	f.check(f.request(), Execute)
	f.receiver.HandleSaveFailure(f.request().IdempotencyKey)
	f.check(f.request(), VerifyFirst)
}
