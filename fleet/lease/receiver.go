package lease

import "cobaltward/fleet"

// Decision is what a receiver does with a request.
type Decision uint8

// The decisions.
const (
	Reject      Decision = iota // the fencing token is stale, or the job is closed
	Defer                       // the receiver does not know enough yet: ask again
	Report                      // the effect has ended, or is running
	Execute                     // the effect is to be carried out
	VerifyFirst                 // the effect may have been carried out: verify, and carry it out only if it was not
)

// ReceiverState is what a receiver stores, so that it outlives the process.
type ReceiverState struct {
	Gate            FencingGate `json:"gate"`
	EffectLog       EffectLog   `json:"ledger"`
	DisabledServers []string    `json:"holds"` // at the node, on behalf of the fleet
}

// FencedReceiver decides which effects are carried out at a node. Whenever a method reports that the stored state has
// changed, it has to be stored before anything is carried out or answered. It is not safe for concurrent use.
//
// The stored state may be older than what an earlier process has done: a disk can be lost, or restored from a copy.
// Therefore a process accepts nothing before it has seen its own registration in the log. Every token granted and
// every step finished before the process was started precedes that entry, and is known by then.
type FencedReceiver struct {
	ReceiverState
	node         string
	incarnation  string
	unsafe       UnsafeOptions
	registeredAt fleet.Position  // where its own registration was seen; 0: not yet
	unverified   map[string]bool // keys of effects that were running when an earlier process ended
}

// Restore returns a receiver with the state that an earlier process has stored. node and incarnation are those with
// which this process registers the node.
func Restore(stored ReceiverState, node, incarnation string, unsafe UnsafeOptions) *FencedReceiver {
	receiver := &FencedReceiver{
		ReceiverState: stored,
		node:          node,
		incarnation:   incarnation,
		unsafe:        unsafe,
		unverified:    make(map[string]bool),
	}
	for _, key := range receiver.EffectLog.interrupted() {
		receiver.unverified[key] = true
	}
	return receiver
}

// Registered reports whether the process has seen its own registration. state is the newest one it knows.
func (r *FencedReceiver) Registered(state *fleet.State) bool {
	if r.registeredAt == 0 && state.Nodes[r.node].Incarnation == r.incarnation {
		r.registeredAt = state.Position
	}
	return r.registeredAt != 0
}

// Decide decides on a request by the newest state that the process knows, which may be behind the log. changed
// reports that the stored state has changed. A decision to Execute or VerifyFirst is recorded as a running effect.
func (r *FencedReceiver) Decide(
	request EffectRequest, state *fleet.State,
) (response EffectResponse, decision Decision, changed bool) {
	if !r.Registered(state) && !r.unsafe.SkipFencing {
		return response, Defer, false
	}
	admitted, changed := r.admit(request, state)
	response.HighestToken = r.Gate.HighestTokens[request.Resource]
	if !admitted {
		return response, Reject, changed
	}
	unverified := r.unverified[request.IdempotencyKey]
	if effect, known := r.EffectLog.Effects[request.IdempotencyKey]; known && (!effect.Running || !unverified) {
		response.Running, response.Outcome, response.Detail = effect.Running, effect.Outcome, effect.Detail
		return response, Report, changed
	}
	if !r.unsafe.SkipFencing {
		decision = r.checkStep(request, state, &response)
	} else {
		decision = Execute
	}
	switch {
	case decision != Execute && decision != VerifyFirst:
		return response, decision, changed
	case unverified || request.Retry:
		decision = VerifyFirst
	}
	r.EffectLog.Start(request.IdempotencyKey, request.Resource, request.FencingToken)
	delete(r.unverified, request.IdempotencyKey)
	response.Running = true
	return response, decision, true
}

// admit passes the token of a request through the gate, after the highest one that the log knows of.
func (r *FencedReceiver) admit(request EffectRequest, state *fleet.State) (admitted, changed bool) {
	resource := request.Resource
	_, raisedByLog := r.Gate.Admit(resource, state.HighestTokens[resource])
	admitted, raised := r.Gate.Admit(resource, request.FencingToken)
	if r.unsafe.SkipFencing && request.FencingToken < r.Gate.HighestTokens[resource] {
		admitted = true
	}
	return admitted, raisedByLog || raised
}

// checkStep holds a request against the log: the step has to be recorded as begun, and as not finished, in an open
// job.
func (r *FencedReceiver) checkStep(request EffectRequest, state *fleet.State, response *EffectResponse) Decision {
	intentExpected := !r.unsafe.RecordIntentLate
	job := state.Jobs[request.JobID]
	if job == nil {
		if intentExpected {
			return Defer
		}
		job = &fleet.Job{}
	}
	step := job.Steps[request.Step]
	switch {
	case step.StartedAt == 0 && intentExpected:
		return Defer
	case step.FinishedAt != 0:
		response.Outcome, response.Detail = step.Outcome, step.Detail
		return Report
	case !job.Open():
		return Reject
	case step.StartedAt != 0 && step.StartedAt <= r.registeredAt:
		return VerifyFirst // an earlier process of this node may have carried it out
	}
	return Execute
}

// HandleSaveFailure records that the state could not be stored, so that an effect decided on was not carried out.
func (r *FencedReceiver) HandleSaveFailure(key string) {
	if r.EffectLog.Effects[key].Running {
		r.unverified[key] = true
	}
}
