package rollingupdate

import (
	"testing"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
)

const leaseDuration = 10 * time.Second

// controllerTest drives a controller by a state of the test.
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

// start starts another process, beside a node.
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

// proposeForLease proposes what the lease needs, which has to be of a kind; "": nothing.
func (c *controllerTest) proposeForLease(want fleet.Kind) {
	c.t.Helper()
	entry, ok := c.controller.NextProposal(c.now, c.state)
	if entry.Kind != want {
		c.t.Fatalf("at %v: proposes %+v (%v), want kind %q", c.now, entry, ok, want)
	}
	if ok {
		c.controller.HandleResult(c.now, c.now, entry, c.apply(entry), true)
	}
}

// next returns the only task that there is.
func (c *controllerTest) next() Task {
	c.t.Helper()
	tasks := c.controller.Next(c.now, c.state, c.view)
	if len(tasks) != 1 {
		c.t.Fatalf("%d tasks, want one: %+v", len(tasks), tasks)
	}
	return tasks[0]
}

// propose proposes the entry of the only task, which has to be of a kind.
func (c *controllerTest) propose(want fleet.Kind) {
	c.t.Helper()
	task := c.next()
	if task.Entry == nil || task.Entry.Kind != want {
		c.t.Fatalf("the task is %+v, want an entry of kind %q", task, want)
	}
	c.controller.HandleWrite(c.apply(*task.Entry))
}

// request returns the request of the only task.
func (c *controllerTest) request() lease.EffectRequest {
	c.t.Helper()
	task := c.next()
	if task.Request == nil {
		c.t.Fatalf("the task is %+v, want a request", task.Entry)
	}
	return *task.Request
}

// completeSteps has a node go through all its steps, each with success. It has to be the next one.
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

func TestController_ClosesJobWhenAllAreThrough(t *testing.T) {
	driver := newControllerTest(t)
	driver.proposeForLease(fleet.KindGrantLease)
	driver.completeSteps("a")
	driver.completeSteps("b")
	driver.propose(fleet.KindCloseJob)
	if job := driver.state.Jobs["j"]; job.CloseReason != fleet.ClosedDone {
		t.Errorf("the job is %+v", job)
	}
	if tasks := driver.controller.Next(driver.now, driver.state, driver.view); len(tasks) != 0 {
		t.Errorf("without an open job there is to do: %+v", tasks)
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
		t.Errorf("an effect that is running is recorded: %+v", entries)
	}
	if again := driver.request(); !again.Retry {
		t.Error("the second request does not say that it is one")
	}
	ended := lease.EffectResponse{Outcome: fleet.OutcomeFailed, Detail: "why"}
	entries := driver.controller.HandleResponse(request, ended)
	if len(entries) != 1 || entries[0].Kind != fleet.KindFinishStep || entries[0].Detail != "why" {
		t.Fatalf("the outcome is recorded by %+v", entries)
	}
	driver.apply(entries[0])
	if step := driver.state.Jobs["j"].Steps[request.Step]; step.Outcome != fleet.OutcomeFailed {
		t.Errorf("the step is %+v", step)
	}
}

func TestController_DecidesByNoStateOlderThanItsEntries(t *testing.T) {
	driver := newControllerTest(t)
	driver.proposeForLease(fleet.KindGrantLease)
	older := driver.state
	driver.propose(fleet.KindBeginStep)
	if tasks := driver.controller.Next(driver.now, older, driver.view); len(tasks) != 0 {
		t.Errorf("by the older state there is to do: %+v", tasks)
	}
}

func TestController_StopsWithItsLease(t *testing.T) {
	driver := newControllerTest(t)
	driver.proposeForLease(fleet.KindGrantLease)
	driver.now = leaseDuration
	if tasks := driver.controller.Next(driver.now, driver.state, driver.view); len(tasks) != 0 {
		t.Errorf("without a lease there is to do: %+v", tasks)
	}
}

// A step that a former holder has begun is taken over in the log before it is requested again.
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
		t.Errorf("the request is %+v, after %+v", request, former)
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

// The node beside the holder is drained by another one.
func TestController_LeavesOwnNodeToOthers(t *testing.T) {
	driver := newControllerTest(t)
	driver.start("a/1", "a")
	driver.proposeForLease(fleet.KindGrantLease)
	driver.completeSteps("b")
	if tasks := driver.controller.Next(driver.now, driver.state, driver.view); len(tasks) != 0 {
		t.Errorf("there is to do: %+v", tasks)
	}
	driver.proposeForLease(fleet.KindReleaseLease)
}

func TestController_ResignsForGood(t *testing.T) {
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
		t.Error("an entry that exists already means a lost lease")
	}
	if !driver.controller.HandleWrite(fleet.Result{Err: fleet.ErrLeaseLost}) {
		t.Error("a lost lease is not reported")
	}
}
