package agent

import (
	"context"
	"errors"
	"fmt"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
)

// Errors that HandleEffect returns.
var (
	// ErrStaleToken reports that an effect was rejected, because its fencing token is stale or its job is closed.
	ErrStaleToken = errors.New("effect rejected")
	// ErrNotReady reports that the agent does not know the step yet or is not running. The caller may repeat the request
	// later.
	ErrNotReady = errors.New("the agent is not ready for the effect, try again later")
)

// maxDetail is the maximum size in bytes of an outcome's detail text, without the ellipsis of a truncated text.
const maxDetail = 512

// Exit statuses of Commands.Verify. Any other status means that the result is unknown.
const (
	verifyPatched    = 0 // the patch is applied
	verifyNotPatched = 1 // the patch is not applied
)

// HandleEffect accepts or rejects the request for an effect. The agent carries out an accepted effect in the
// background, and the caller repeats the request to get the outcome. HandleEffect returns ErrNotReady, an error that
// wraps ErrStaleToken, or the error of storing the state.
func (a *Agent) HandleEffect(request lease.EffectRequest) (lease.EffectResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil || a.ctx.Err() != nil {
		return lease.EffectResponse{}, ErrNotReady
	}
	state, _ := a.watcher.State()
	response, decision, changed := a.receiver.Decide(request, state)
	if changed {
		if err := a.save(); err != nil {
			if decision == lease.Execute || decision == lease.VerifyFirst {
				a.receiver.HandleSaveFailure(request.IdempotencyKey)
			}
			return lease.EffectResponse{}, err
		}
	}
	switch decision {
	case lease.Reject:
		return response, a.reject(request, response)
	case lease.Defer:
		return response, ErrNotReady
	case lease.Report: // the response has the progress or the outcome
	case lease.Execute, lease.VerifyFirst:
		ctx := a.ctx
		a.tasks.Go(func() { a.execute(ctx, request, decision == lease.VerifyFirst) })
	}
	return response, nil
}

// reject logs and counts a rejected effect, and returns its error. The caller must hold the mutex.
func (a *Agent) reject(request lease.EffectRequest, response lease.EffectResponse) error {
	a.rejectedEffects++
	a.config.Log.Warn("fleet: effect with a stale token rejected", "work", request.Resource,
		"key", request.IdempotencyKey, "token", request.FencingToken, "newest", response.HighestToken)
	return fmt.Errorf("%w: fencing token %d is stale (highest seen: %d), or the job is closed",
		ErrStaleToken, request.FencingToken, response.HighestToken)
}

// execute carries out an effect, and stores its outcome. If ctx is done before the outcome is known, execute stores
// nothing. The next process then verifies whether the effect was carried out.
func (a *Agent) execute(ctx context.Context, request lease.EffectRequest, verifyFirst bool) {
	action := string(request.Step.Action)
	a.failPoint("before " + action)
	timeoutCtx, cancel := context.WithTimeout(ctx, a.config.Timeout)
	defer cancel()
	outcome, detail := a.perform(timeoutCtx, request, verifyFirst)
	a.failPoint("after " + action)
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receiver.EffectLog.Finish(request.IdempotencyKey, outcome, detail)
	if err := a.save(); err != nil {
		a.config.Log.Error("fleet: outcome not stored", "key", request.IdempotencyKey, "error", err)
	}
	a.config.Log.Info("fleet: effect finished", "key", request.IdempotencyKey, "token", request.FencingToken,
		"outcome", outcome, "detail", detail)
}

// perform carries out the action of the step in request, and returns the outcome. verifyFirst is set if the action
// may have been carried out before.
func (a *Agent) perform(
	ctx context.Context, request lease.EffectRequest, verifyFirst bool,
) (outcome fleet.StepOutcome, detail string) {
	var err error
	switch request.Step.Action {
	case fleet.ActionDrain, fleet.ActionRollbackDrain:
		reason := fmt.Sprintf("%s, token %d", request.Reason, request.FencingToken)
		err = a.node.Drain(ctx, request.DrainTimeout, reason)
	case fleet.ActionResume, fleet.ActionRollbackResume:
		err = a.node.Resume(ctx, fmt.Sprintf("fleet, %s, token %d", request.JobID, request.FencingToken))
	case fleet.ActionPatch:
		return a.performCommand(ctx, request, a.config.Commands.Patch, verifyFirst, verifyPatched)
	case fleet.ActionRevert:
		return a.performCommand(ctx, request, a.config.Commands.Revert, verifyFirst, verifyNotPatched)
	default:
		return fleet.OutcomeFailed, "this program knows no step " + string(request.Step.Action)
	}
	if err != nil {
		return fleet.OutcomeFailed, truncate(err.Error())
	}
	return fleet.OutcomeOK, ""
}

// performCommand runs words, a command line of the operator. The command does not check fencing tokens. If verifyFirst
// is set, the command may have run already, so Commands.Verify runs first. If Verify exits with doneStatus, the
// command has run and is not repeated. If Verify cannot tell, the outcome is unknown.
func (a *Agent) performCommand(
	ctx context.Context, request lease.EffectRequest, words []string, verifyFirst bool, doneStatus int,
) (outcome fleet.StepOutcome, detail string) {
	if len(words) == 0 {
		return fleet.OutcomeFailed, "no command is set for " + string(request.Step.Action)
	}
	env := []string{
		"WAYHOLD_NODE=" + a.config.Self.Name,
		"WAYHOLD_KEY=" + request.IdempotencyKey,
		fmt.Sprintf("WAYHOLD_TOKEN=%d", request.FencingToken),
		"WAYHOLD_STEP=" + string(request.Step.Action),
	}
	if verifyFirst {
		status, output, err := runCommand(ctx, a.config.Commands.Verify, env)
		if err != nil || status > verifyNotPatched {
			detail := fmt.Sprintf("whether it has run can't be told: status %d, %v, %s", status, err, output)
			return fleet.OutcomeUnknown, truncate(detail)
		}
		if status == doneStatus {
			return fleet.OutcomeOK, "it had run before it was asked for again"
		}
	}
	status, output, err := runCommand(ctx, words, env)
	if err != nil {
		return fleet.OutcomeFailed, truncate(err.Error() + ": " + output)
	}
	if status != 0 {
		return fleet.OutcomeFailed, truncate(fmt.Sprintf("status %d: %s", status, output))
	}
	return fleet.OutcomeOK, ""
}

// truncate cuts a text that is longer than maxDetail bytes.
func truncate(text string) string {
	if len(text) > maxDetail {
		return text[:maxDetail] + "…"
	}
	return text
}
