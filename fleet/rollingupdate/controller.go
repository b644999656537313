package rollingupdate

import (
	"errors"
	"math"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
)

// stepDownLeaseDurations is the number of lease durations for which a controller that has stepped down does not
// request the lease.
const stepDownLeaseDurations = 3

// Controller competes for the lease of a kind of job on behalf of one process, and runs the open job while it holds
// the lease. It decides from the state which entries to propose and which effects to request. All times are those of
// the process's own monotonic clock. Controller is not safe for concurrent use.
type Controller struct {
	kind fleet.JobKind
	node string // name of the node that the process runs beside

	holder           lease.Holder
	token            fleet.FencingToken // newest token of the lease
	lastOwnPosition  fleet.Position     // position of the controller's newest entry; older states are ignored
	steppedDownUntil time.Duration      // time until which the controller does not request the lease
	requested        map[string]bool    // idempotency keys of the requested effects of the open job
}

// NewController returns a controller of jobs of the given kind. identity identifies this incarnation of the process
// (see fleet.Entry.Holder). node is the name of the node that the process runs beside. duration is the lease duration.
func NewController(
	kind fleet.JobKind, identity, node string, duration time.Duration, unsafe lease.UnsafeOptions,
) *Controller {
	return &Controller{
		kind: kind,
		node: node,
		holder: lease.Holder{
			Resource: kind.Resource(),
			Identity: identity,
			Duration: duration,
			Unsafe:   unsafe,
		},
		requested: make(map[string]bool),
	}
}

// NextProposal returns the entry that requests, renews or releases the lease at now. ok is false if there is nothing
// to propose. A controller that is asked to step down releases the lease, and requests it again after
// stepDownLeaseDurations. While the state names another holder, a controller without the lease proposes nothing,
// because the state shows when the lease is free.
func (c *Controller) NextProposal(now time.Duration, state *fleet.State) (entry fleet.Entry, ok bool) {
	current, held := state.Leases[c.kind.Resource()]
	mine := held && current.Holder == c.holder.Identity
	if mine && current.StepDownRequestedBy != "" && now >= c.steppedDownUntil {
		c.stepDown(now)
	}
	c.holder.SetStepDown(now < c.steppedDownUntil)
	if held && !mine && !c.holder.HoldsLease() {
		return entry, false
	}
	return c.holder.NextProposal(now)
}

// HandleResult records the outcome, at now, of an entry of NextProposal that was proposed at requestedAt. known is
// false if the outcome is unknown.
func (c *Controller) HandleResult(requestedAt, now time.Duration, entry fleet.Entry, result fleet.Result, known bool) {
	c.holder.HandleResult(requestedAt, now, entry, result, known)
	if entry.Kind == fleet.KindGrantLease && known && result.Err == nil {
		c.token = max(c.token, result.FencingToken)
		c.lastOwnPosition = max(c.lastOwnPosition, result.Position)
	}
}

// Resign makes the controller release the lease and never request it again.
func (c *Controller) Resign() { c.steppedDownUntil = math.MaxInt64 }

func (c *Controller) stepDown(now time.Duration) {
	c.steppedDownUntil = now + stepDownLeaseDurations*c.holder.Duration
}

// HoldsLease returns the newest token of the lease, and reports whether the process holds the lease, as far as the
// process knows.
func (c *Controller) HoldsLease() (fleet.FencingToken, bool) { return c.token, c.holder.HoldsLease() }

// FencingToken returns the token under which the process may act at now. ok is false if the process must not act.
// Callers call FencingToken again right before each effect.
func (c *Controller) FencingToken(now time.Duration) (token fleet.FencingToken, ok bool) {
	return c.holder.FencingToken(now)
}

// Task is either an entry to propose or an effect to request. Exactly one field is set.
type Task struct {
	Entry   *fleet.Entry         // entry to propose
	Request *lease.EffectRequest // request to send to the agent of the step's node
}

// Next returns the tasks to do at now. They follow from a state and a view of the nodes. Next returns no tasks while
// the process must not act, or while state lacks the newest entry of this process.
func (c *Controller) Next(now time.Duration, state *fleet.State, view ClusterView) []Task {
	token, ok := c.FencingToken(now)
	if !ok || state.Position < c.lastOwnPosition || state.HighestTokens[c.kind.Resource()] != token {
		return nil
	}
	job := state.OpenJob(c.kind)
	if job == nil {
		clear(c.requested)
		return nil
	}
	view.Self = c.node
	var tasks []Task
	for _, action := range Next(job, view) {
		if action.Operation == ReleaseLease {
			c.stepDown(now)
			continue
		}
		tasks = append(tasks, c.task(job, token, action))
	}
	return tasks
}

func (c *Controller) task(job *fleet.Job, token fleet.FencingToken, action Action) Task {
	entry := fleet.Entry{JobID: job.ID, FencingToken: token}
	// A step that was begun under an earlier token is begun again under the current token before it is requested.
	takeOver := action.Operation == RequestStep && job.Steps[action.Step].FencingToken != token
	begin := action.Operation == StartStep && !c.holder.Unsafe.RecordIntentLate
	switch {
	case action.Operation == CloseJob:
		entry.Kind, entry.Outcome, entry.Detail = fleet.KindCloseJob, string(action.CloseReason), action.Detail
		return Task{Entry: &entry}
	case begin || takeOver:
		entry.Kind, entry.Step = fleet.KindBeginStep, action.Step
		return Task{Entry: &entry}
	}
	return Task{Request: c.request(job, token, action)}
}

func (c *Controller) request(job *fleet.Job, token fleet.FencingToken, action Action) *lease.EffectRequest {
	key := IdempotencyKey(job.ID, action.Step)
	request := &lease.EffectRequest{
		Resource:       c.kind.Resource(),
		FencingToken:   token,
		JobID:          job.ID,
		Step:           action.Step,
		IdempotencyKey: key,
		Retry:          action.Retry || c.requested[key], // an earlier request may have been carried out
		DrainTimeout:   job.Spec.DrainTimeout,
		Reason:         job.ID + ": " + job.Reason,
	}
	c.requested[key] = true
	return request
}

// HandleWrite records the outcome of an entry from Next or HandleResponse. It reports whether the entry was rejected
// because the lease is lost or the job is closed.
func (c *Controller) HandleWrite(result fleet.Result) (leaseLost bool) {
	c.lastOwnPosition = max(c.lastOwnPosition, result.Position)
	return errors.Is(result.Err, fleet.ErrLeaseLost)
}

// HandleResponse handles the response to request and returns the entries to propose. It returns none while the effect
// has not ended.
func (c *Controller) HandleResponse(request lease.EffectRequest, response lease.EffectResponse) []fleet.Entry {
	if response.Running || response.Outcome == "" {
		return nil
	}
	entry := fleet.Entry{JobID: request.JobID, Step: request.Step, FencingToken: request.FencingToken}
	var entries []fleet.Entry
	if c.holder.Unsafe.RecordIntentLate {
		begin := entry
		begin.Kind = fleet.KindBeginStep
		entries = append(entries, begin)
	}
	finish := entry
	finish.Kind, finish.Outcome, finish.Detail = fleet.KindFinishStep, string(response.Outcome), response.Detail
	return append(entries, finish)
}
