package lease

import "cobaltward/fleet"

// Decision is what a receiver does with a request.
type Decision uint8

// The decisions.
const (
	Reject      Decision = iota // the fencing token is stale or the job is closed
	Defer                       // the receiver lacks entries of the log; the holder retries
	Report                      // the effect is running or has ended; respond with its progress
	Execute                     // carry out the effect
	VerifyFirst                 // verify first; carry out the effect unless it was carried out before
)

// ReceiverState is the part of a receiver that is stored and survives the process.
type ReceiverState struct {
	Gate            FencingGate `json:"gate"`
	EffectLog       EffectLog   `json:"ledger"`
	DisabledServers []string    `json:"holds"` // servers that the agent has disabled at the node for disable orders
}

// FencedReceiver decides which effects are carried out at a node. When a method reports that the stored state has
// changed, the caller must store the state before it carries out an effect or responds. FencedReceiver is not safe
// for concurrent use.
//
// The stored state may lack what an earlier process has done: a disk can be lost or restored from a copy. A process
// therefore carries out no effect before it has seen its own registration in the log. All tokens that were granted and
// all steps that were finished before the process started precede the registration in the log.
type FencedReceiver struct {
	ReceiverState
	node         string
	incarnation  string
	unsafe       UnsafeOptions
	registeredAt fleet.Position  // position of the first state with the process's registration; 0: none yet
	unverified   map[string]bool // keys of effects that are recorded as running but that this process does not carry out
}

// Restore returns a receiver with the state that an earlier process stored. This process registers node under
// incarnation.
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

// Registered reports whether the process has seen its own registration. state is the newest state that the process
// has.
func (r *FencedReceiver) Registered(state *fleet.State) bool {
	if r.registeredAt == 0 && state.Nodes[r.node].Incarnation == r.incarnation {
		r.registeredAt = state.Position
	}
	return r.registeredAt != 0
}

// Decide returns the decision on request and the response to request. state is the newest state that the process has,
// and may be behind the log. changed reports whether the stored state has changed. If the decision is Execute or
// VerifyFirst, the effect is recorded as running.
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

// admit raises the gate to the highest token in the log, and then checks the token of request with the gate.
func (r *FencedReceiver) admit(request EffectRequest, state *fleet.State) (admitted, changed bool) {
	resource := request.Resource
	_, raisedByLog := r.Gate.Admit(resource, state.HighestTokens[resource])
	admitted, raised := r.Gate.Admit(resource, request.FencingToken)
	if r.unsafe.SkipFencing && request.FencingToken < r.Gate.HighestTokens[resource] {
		admitted = true
	}
	return admitted, raisedByLog || raised
}

// checkStep checks a request against the log. The effect may be carried out only while the step is begun and not
// finished and the job is open.
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
		return VerifyFirst // an earlier process of this node may have carried out the step
	}
	return Execute
}

// HandleSaveFailure records that the state could not be stored after the decision to carry out the effect with the
// given key. The effect was not carried out. The receiver decides again on the next request for the effect.
func (r *FencedReceiver) HandleSaveFailure(key string) {
	if r.EffectLog.Effects[key].Running {
		r.unverified[key] = true
	}
}
