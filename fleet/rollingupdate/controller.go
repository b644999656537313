package rollingupdate

import (
	"errors"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
)

// stepDownLeases is for how many leases a steward that gave its work to another leaves it to others.
const stepDownLeases = 3

// Controller is one process that wants a kind of work, and does it while it owns it: what the log says in, entries to
// propose and effects to ask for out. Times are of the process's own monotonic clock.
type Controller struct {
	Resource string
	Node     string // that is beside it

	holder      lease.Holder
	token       fleet.FencingToken // the newest that it has had
	lastWritten fleet.Position     // the newest entry of its own: it decides by nothing older
	awayUntil   time.Duration      // until when it leaves the work to others
	requested   map[string]bool    // keys of effects that it has asked for, of the job that goes on
}

// NewController makes one; name is that of this run of the process.
func NewController(work, name, node string, duration time.Duration, g lease.UnsafeOptions) *Controller {
	return &Controller{Resource: work, Node: node, holder: lease.Holder{Resource: work, Identity: name, Duration: duration, Unsafe: g}, requested: make(map[string]bool)}
}

// NextProposal is what to propose now for the ownership's sake; ok is false where that is nothing. An owner that is asked to
// step down does, and comes back after a while. Who waits for another's work to come free hears of it by the state.
func (s *Controller) NextProposal(now time.Duration, st *fleet.State) (e fleet.Entry, ok bool) {
	if o, there := st.Leases[s.Resource]; there && o.StepDownRequestedBy != "" && o.Holder == s.holder.Identity && now >= s.awayUntil {
		s.stepDown(now)
	}
	s.holder.SetStepDown(now < s.awayUntil)
	if o, there := st.Leases[s.Resource]; there && o.Holder != s.holder.Identity && !s.holder.HoldsLease() {
		return e, false // it is another's, as far as is known here: the log is spared
	}
	return s.holder.NextProposal(now)
}

// HandleResult tells what came of an ask that went out at asked; known is false where nobody can tell.
func (s *Controller) HandleResult(asked, now time.Duration, e fleet.Entry, r fleet.Result, known bool) {
	s.holder.HandleResult(asked, now, e, r, known)
	if e.Kind == fleet.KindGrantLease && known && r.Err == nil {
		s.token, s.lastWritten = max(s.token, r.FencingToken), max(s.lastWritten, r.Position)
	}
}

// Resign has it give the work back, for good.
func (s *Controller) Resign() { s.awayUntil = 1<<63 - 1 }

func (s *Controller) stepDown(now time.Duration) {
	s.awayUntil = now + stepDownLeases*s.holder.Duration
}

// HoldsLease tells whether it has the work as far as it knows, and its newest token.
func (s *Controller) HoldsLease() (fleet.FencingToken, bool) { return s.token, s.holder.HoldsLease() }

// FencingToken tells whether it may act now, and under which token. It is asked again right before each effect.
func (s *Controller) FencingToken(now time.Duration) (fleet.FencingToken, bool) {
	return s.holder.FencingToken(now)
}

// Task is one thing that a steward wants done: an entry proposed, or an effect asked for.
type Task struct {
	Entry   *fleet.Entry
	Request *lease.EffectRequest
}

// Next is what to do now, by a state and what can be seen of the nodes. It is nothing while this process may not act,
// or has not seen its own newest entry come back.
func (s *Controller) Next(now time.Duration, st *fleet.State, v ClusterView) (all []Task) {
	t, ok := s.FencingToken(now)
	if !ok || st.Position < s.lastWritten || st.HighestTokens[s.Resource] != t {
		return nil
	}
	job := st.OpenJob(s.Resource)
	if job == nil {
		clear(s.requested)
		return nil
	}
	v.Self = s.Node
	for _, a := range Next(job, v) {
		switch {
		case a.Operation == ReleaseLease:
			s.stepDown(now)
		case a.Operation == CloseJob:
			all = append(all, Task{Entry: &fleet.Entry{Kind: fleet.KindCloseJob, JobID: job.ID, FencingToken: t, Outcome: a.CloseReason, Detail: a.Detail}})
		case a.Operation == StartStep && !s.holder.Unsafe.RecordIntentLate, a.Operation == RequestStep && job.Steps[a.Step].FencingToken != t: // an earlier owner's is taken up in the log first
			all = append(all, Task{Entry: &fleet.Entry{Kind: fleet.KindBeginStep, JobID: job.ID, Step: a.Step, FencingToken: t}})
		default:
			key := IdempotencyKey(job.ID, a.Step)
			o := &lease.EffectRequest{Resource: s.Resource, FencingToken: t, JobID: job.ID, Step: a.Step, IdempotencyKey: key, DrainTimeout: job.Spec.DrainTimeout, Reason: job.ID + ": " + job.Reason,
				Retry: a.Retry || s.requested[key]} // whether the first ask came through, nobody may know
			s.requested[key] = true
			all = append(all, Task{Request: o})
		}
	}
	return all
}

// HandleWrite tells what came of an entry of Next or Replied that was answered. It says whether the work is another's.
func (s *Controller) HandleWrite(r fleet.Result) (lost bool) {
	s.lastWritten = max(s.lastWritten, r.Position)
	return errors.Is(r.Err, fleet.ErrLeaseLost)
}

// HandleResponse is what to write down after a reply to an order.
func (s *Controller) HandleResponse(o lease.EffectRequest, r lease.EffectResponse) (all []fleet.Entry) {
	if r.Running || r.Outcome == "" {
		return nil
	}
	if s.holder.Unsafe.RecordIntentLate {
		all = append(all, fleet.Entry{Kind: fleet.KindBeginStep, JobID: o.JobID, Step: o.Step, FencingToken: o.FencingToken})
	}
	return append(all, fleet.Entry{Kind: fleet.KindFinishStep, JobID: o.JobID, Step: o.Step, FencingToken: o.FencingToken, Outcome: r.Outcome, Detail: r.Detail})
}
