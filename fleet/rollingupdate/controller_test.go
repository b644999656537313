package rollingupdate

import (
	"testing"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
)

const leaseDuration = 10 * time.Second

// controllerTest runs a controller against a state that the test changes.
type controllerTest struct {
	t          *testing.T
	state      *fleet.State
	controller *Controller
	now        time.Duration
	view       ClusterView
}

func newControllerTest(t *testing.T) *controllerTest {
	t.Helper()
	driver := &controllerTest{t: t, state: fleet.NewState(1), view: viewOf("")}
	driver.start("x/1", "x")
	driver.apply(fleet.Entry{Kind: fleet.KindStartJob, JobID: "j", Reason: "kernel", Spec: &fleet.JobSpec{
		Kind:           fleet.JobRollingUpdate,
		Nodes:          []string{"a", "b"},
		MaxUnavailable: 1,
		DrainTimeout:   time.Minute,
	}})
	return driver
}

// start replaces the controller with the controller of another process, which runs beside node.
func (c *controllerTest) start(identity, node string) {
	c.controller = NewController(fleet.JobRollingUpdate, identity, node, leaseDuration, lease.UnsafeOptions{})
}

func (c *controllerTest) apply(entry fleet.Entry) fleet.Result {
	c.t.Helper()
	next, result, err := c.state.Apply(c.state.Position+1, entry.Marshal())
	if err != nil || result.Err != nil {
		c.t.Fatalf("%+v: %v, %v", entry, err, result.Err)
	}
	c.state = next
	return result
}

// proposeForLease applies the entry that the controller proposes for its lease. It fails the test unless the entry is
// of the kind want. If want is empty, the controller must propose nothing.
func (c *controllerTest) proposeForLease(want fleet.Kind) {
	c.t.Helper()
	entry, ok := c.controller.NextProposal(c.now, c.state)
	if entry.Kind != want {
		c.t.Fatalf("at %v: the controller proposes %+v (%v), want kind %q", c.now, entry, ok, want)
	}
	if ok {
		c.controller.HandleResult(c.now, c.now, entry, c.apply(entry), true)
	}
}

// next returns the controller's only task, and fails the test unless there is exactly one.
func (c *controllerTest) next() Task {
	c.t.Helper()
	tasks := c.controller.Next(c.now, c.state, c.view)
	if len(tasks) != 1 {
		c.t.Fatalf("got %d tasks, want one: %+v", len(tasks), tasks)
	}
	return tasks[0]
}

// propose applies the entry of the controller's only task, and fails the test unless the entry is of the kind want.
func (c *controllerTest) propose(want fleet.Kind) {
	c.t.Helper()
	task := c.next()
	if task.Entry == nil || task.Entry.Kind != want {
		c.t.Fatalf("the task is %+v, want an entry of kind %q", task, want)
	}
	c.controller.HandleWrite(c.apply(*task.Entry))
}

// request returns the request of the controller's only task.
func (c *controllerTest) request() lease.EffectRequest {
	c.t.Helper()
	task := c.next()
	if task.Request == nil {
		c.t.Fatalf("the task is the entry %+v, want a request", task.Entry)
	}
	return *task.Request
}

// completeSteps completes all steps of a node with success. It fails the test unless the node is the next node.
func (c *controllerTest) completeSteps(node string) {
	c.t.Helper()
	for _, action := range []fleet.StepAction{fleet.ActionDrain, fleet.ActionPatch, fleet.ActionResume} {
		c.propose(fleet.KindBeginStep)
		request := c.request()
		if request.Step != (fleet.StepKey{Node: node, Action: action}) {
			c.t.Fatalf("the step is %v, want %s of %s", request.Step, action, node)
		}
		c.apply(c.controller.HandleResponse(request, lease.EffectResponse{Outcome: fleet.OutcomeOK})[0])
	}
}

func TestController_ClosesJobWhenAllNodesAreDone(t *testing.T) {
	driver := newControllerTest(t)
	driver.proposeForLease(fleet.KindGrantLease)
	driver.completeSteps("a")
	driver.completeSteps("b")
	driver.propose(fleet.KindCloseJob)
	if job := driver.state.Jobs["j"]; job.CloseReason != fleet.ClosedDone {
		t.Errorf("the job is %+v, want it closed as done", job)
	}
	if tasks := driver.controller.Next(driver.now, driver.state, driver.view); len(tasks) != 0 {
		t.Errorf("without an open job the tasks are %+v, want none", tasks)
	}
}

func TestController_RecordsStepBeforeAndAfterEffect(t *testing.T) {
	driver := newControllerTest(t)
	driver.proposeForLease(fleet.KindGrantLease)
	driver.propose(fleet.KindBeginStep)
	request := driver.request()
	if request.IdempotencyKey != "j/a/out" || request.Retry || request.DrainTimeout != time.Minute {
		t.Errorf("the request is %+v", request)
	}
	if entries := driver.controller.HandleResponse(request, lease.EffectResponse{Running: true}); len(entries) != 0 {
		t.Errorf("an effect that is running is recorded as finished: %+v", entries)
	}
	if again := driver.request(); !again.Retry {
		t.Error("the second request is not marked as a retry")
	}
	ended := lease.EffectResponse{Outcome: fleet.OutcomeFailed, Detail: "why"}
	entries := driver.controller.HandleResponse(request, ended)
	if len(entries) != 1 || entries[0].Kind != fleet.KindFinishStep || entries[0].Detail != "why" {
		t.Fatalf("the outcome is recorded by %+v, want one entry that finishes the step", entries)
	}
	driver.apply(entries[0])
	if step := driver.state.Jobs["j"].Steps[request.Step]; step.Outcome != fleet.OutcomeFailed {
		t.Errorf("the step is %+v, want outcome failed", step)
	}
}

func TestController_IgnoresStatesOlderThanItsEntries(t *testing.T) {
	driver := newControllerTest(t)
	driver.proposeForLease(fleet.KindGrantLease)
	older := driver.state
	driver.propose(fleet.KindBeginStep)
	if tasks := driver.controller.Next(driver.now, older, driver.view); len(tasks) != 0 {
		t.Errorf("for a state older than the controller's entry the tasks are %+v, want none", tasks)
	}
}

func TestController_StopsWhenLeaseExpires(t *testing.T) {
	driver := newControllerTest(t)
	driver.proposeForLease(fleet.KindGrantLease)
	driver.now = leaseDuration
	if tasks := driver.controller.Next(driver.now, driver.state, driver.view); len(tasks) != 0 {
		t.Errorf("after the lease has expired the tasks are %+v, want none", tasks)
	}
}

// TestController_TakesOverSteps checks that a new holder begins a step of a former holder again under its own token
// before it requests the step.
func TestController_TakesOverSteps(t *testing.T) {
	driver := newControllerTest(t)
	driver.proposeForLease(fleet.KindGrantLease)
	driver.propose(fleet.KindBeginStep)
	former := driver.request()
	driver.apply(fleet.Entry{Kind: fleet.KindReleaseLease, Resource: former.Resource, FencingToken: former.FencingToken})
	driver.start("y/1", "y")
	driver.proposeForLease(fleet.KindGrantLease)
	driver.propose(fleet.KindBeginStep)
	request := driver.request()
	if request.IdempotencyKey != former.IdempotencyKey || request.FencingToken <= former.FencingToken || !request.Retry {
		t.Errorf("the request is %+v, want a retry of %+v under a higher token", request, former)
	}
}

func TestController_WaitsForAnotherHolder(t *testing.T) {
	driver := newControllerTest(t)
	driver.proposeForLease(fleet.KindGrantLease)
	driver.start("y/1", "y")
	driver.proposeForLease("")
}

func TestController_StepsDownWhenAsked(t *testing.T) {
	driver := newControllerTest(t)
	driver.proposeForLease(fleet.KindGrantLease)
	driver.apply(fleet.Entry{Kind: fleet.KindRequestStepDown, Resource: fleet.ResourceRollingUpdate, RequestedBy: "ann"})
	driver.proposeForLease(fleet.KindReleaseLease)
	driver.proposeForLease("")
	driver.now = stepDownLeaseDurations * leaseDuration
	driver.proposeForLease(fleet.KindGrantLease)
}

// TestController_LeavesOwnNodeToOthers checks that a holder releases the lease instead of draining its own node.
func TestController_LeavesOwnNodeToOthers(t *testing.T) {
	driver := newControllerTest(t)
	driver.start("a/1", "a")
	driver.proposeForLease(fleet.KindGrantLease)
	driver.completeSteps("b")
	if tasks := driver.controller.Next(driver.now, driver.state, driver.view); len(tasks) != 0 {
		t.Errorf("when only the holder's own node is left the tasks are %+v, want none", tasks)
	}
	driver.proposeForLease(fleet.KindReleaseLease)
}

func TestController_RequestsNoLeaseAfterResign(t *testing.T) {
	driver := newControllerTest(t)
	driver.proposeForLease(fleet.KindGrantLease)
	driver.controller.Resign()
	driver.proposeForLease(fleet.KindReleaseLease)
	driver.now = 100 * stepDownLeaseDurations * leaseDuration
	driver.proposeForLease("")
}

func TestController_HandleWriteReportsLostLease(t *testing.T) {
	driver := newControllerTest(t)
	if driver.controller.HandleWrite(fleet.Result{Err: fleet.ErrAlreadyExists}) {
		t.Error("an entry rejected as existing already is reported as a lost lease")
	}
	if !driver.controller.HandleWrite(fleet.Result{Err: fleet.ErrLeaseLost}) {
		t.Error("a lost lease is not reported")
	}
}
