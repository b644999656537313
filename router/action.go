package router

import (
	"container/heap"
	"context"

	"cobaltward/internal/safeguards"
	"cobaltward/policy"
)

// notify passes ev to the balancer and executes the actions that the balancer returns.
func (l *loop) notify(ev policy.Event) {
	l.execute(l.balancer.Handle(l.clock.now(), ev))
}

// execute performs actions in order, and then reports skipped attempts to the balancer. The reports come last,
// because the balancer reuses the slice of actions for the actions that it returns for a report.
func (l *loop) execute(actions []policy.Action) {
	for {
		for i := range actions {
			l.perform(&actions[i])
		}
		if len(l.skippedOutcomes) == 0 {
			return
		}
		outcome := l.skippedOutcomes[0]
		l.skippedOutcomes = l.skippedOutcomes[1:]
		if r := l.requests[outcome.ID]; r != nil {
			r.pendingOutcomes--
			outcome.Answered = r.finished
			defer l.removeIfDone(r)
		}
		actions = l.balancer.Handle(l.clock.now(), outcome)
	}
}

// perform performs one action. It ignores actions for requests that no longer exist.
func (l *loop) perform(action *policy.Action) {
	switch action.Kind {
	case policy.Send:
		l.startAttempt(action)
	case policy.Reject:
		if r := l.requests[action.ID]; r != nil {
			l.reject(r, action.Wait)
		}
	case policy.Fail:
		if r := l.requests[action.ID]; r != nil {
			l.failByBalancer(r)
		}
	case policy.Cancel:
		if a := l.findAttempt(action.ID, action.Attempt); a != nil && a.inFlight {
			l.cancelAttempt(a, context.Canceled)
		}
	case policy.SetTimer:
		heap.Push(&l.timers, &timer{kind: balancerTimer, due: l.clock.now() + action.Wait, token: action.Token})
	case policy.CloseIdle:
		l.transport.CloseIdle(action.Server)
	case policy.WatchEndpoints:
		l.endpointSource.SetPolling(action.On)
	case policy.Log:
		l.log.Info(action.Text)
	default: // health checks and messages between nodes are not supported; the balancer requests none
		l.log.Error("balancer requested an unsupported action", "action", action.Kind)
	}
}

// failByBalancer answers r after the balancer has requested a Fail action for r.
func (l *loop) failByBalancer(r *request) {
	outcome := Failed
	if !l.enforced(safeguards.NoRejectionAfterRun) {
		outcome = Rejected
	}
	l.answer(r, Answer{Outcome: outcome})
	l.removeIfDone(r)
}

// findAttempt returns the attempt with the given number of the request id; nil if there is none.
func (l *loop) findAttempt(id string, number int) *attempt {
	r := l.requests[id]
	if r == nil || number >= len(r.attempts) {
		return nil
	}
	return r.attempts[number]
}
