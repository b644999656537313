package jobs

import (
	"errors"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/owner"
)

// awayLeases is for how many leases a steward that gave its work to another leaves it to others.
const awayLeases = 3

// Steward is one process that wants a kind of work, and does it while it owns it: what the log says in, entries to
// propose and effects to ask for out. Times are of the process's own monotonic clock.
type Steward struct {
	Work string
	Node string // that is beside it

	holder owner.Holder
	token  fleet.FencingToken // the newest that it has had
	since  fleet.Position     // the newest entry of its own: it decides by nothing older
	away   time.Duration      // until when it leaves the work to others
	asked  map[string]bool    // keys of effects that it has asked for, of the job that goes on
}

// NewSteward makes one; name is that of this run of the process.
func NewSteward(work, name, node string, lease time.Duration, g owner.Guards) *Steward {
	return &Steward{Work: work, Node: node, holder: owner.Holder{Work: work, Name: name, Lease: lease, Guards: g}, asked: make(map[string]bool)}
}

// Ask is what to propose now for the ownership's sake; ok is false where that is nothing. An owner that is asked to
// step down does, and comes back after a while. Who waits for another's work to come free hears of it by the state.
func (s *Steward) Ask(now time.Duration, st *fleet.State) (e fleet.Entry, ok bool) {
	if o, there := st.Leases[s.Work]; there && o.StepDownRequestedBy != "" && o.Holder == s.holder.Name && now >= s.away {
		s.leave(now)
	}
	s.holder.StepDown(now < s.away)
	if o, there := st.Leases[s.Work]; there && o.Holder != s.holder.Name && !s.holder.Has() {
		return e, false // it is another's, as far as is known here: the log is spared
	}
	return s.holder.Ask(now)
}

// Answered tells what came of an ask that went out at asked; known is false where nobody can tell.
func (s *Steward) Answered(asked, now time.Duration, e fleet.Entry, r fleet.Result, known bool) {
	s.holder.Answered(asked, now, e, r, known)
	if e.Kind == fleet.KindGrantLease && known && r.Err == nil {
		s.token, s.since = max(s.token, r.FencingToken), max(s.since, r.Position)
	}
}

// Leave has it give the work back, for good.
func (s *Steward) Leave() { s.away = 1<<63 - 1 }

func (s *Steward) leave(now time.Duration) { s.away = now + awayLeases*s.holder.Lease }

// Has tells whether it has the work as far as it knows, and its newest token.
func (s *Steward) Has() (fleet.FencingToken, bool) { return s.token, s.holder.Has() }

// May tells whether it may act now, and under which token. It is asked again right before each effect.
func (s *Steward) May(now time.Duration) (fleet.FencingToken, bool) { return s.holder.Token(now) }

// Act is one thing that a steward wants done: an entry proposed, or an effect asked for.
type Act struct {
	Entry *fleet.Entry
	Order *owner.Order
}

// Next is what to do now, by a state and what can be seen of the nodes. It is nothing while this process may not act,
// or has not seen its own newest entry come back.
func (s *Steward) Next(now time.Duration, st *fleet.State, v View) (all []Act) {
	t, ok := s.May(now)
	if !ok || st.Position < s.since || st.HighestTokens[s.Work] != t {
		return nil
	}
	job := st.OpenJob(s.Work)
	if job == nil {
		clear(s.asked)
		return nil
	}
	v.Self = s.Node
	for _, a := range Next(job, v) {
		switch {
		case a.Do == StepDown:
			s.leave(now)
		case a.Do == Close:
			all = append(all, Act{Entry: &fleet.Entry{Kind: fleet.KindCloseJob, JobID: job.ID, FencingToken: t, Outcome: a.Over, Detail: a.Detail}})
		case a.Do == Begin && !s.holder.Guards.Late, a.Do == Ask && job.Steps[a.Step].FencingToken != t: // an earlier owner's is taken up in the log first
			all = append(all, Act{Entry: &fleet.Entry{Kind: fleet.KindBeginStep, JobID: job.ID, Step: a.Step, FencingToken: t}})
		default:
			key := Key(job.ID, a.Step)
			o := &owner.Order{Work: s.Work, Token: t, Job: job.ID, Step: a.Step, Key: key, Drain: job.Spec.DrainTimeout, Reason: job.ID + ": " + job.Reason,
				Again: a.Again || s.asked[key]} // whether the first ask came through, nobody may know
			s.asked[key] = true
			all = append(all, Act{Order: o})
		}
	}
	return all
}

// Wrote tells what came of an entry of Next or Replied that was answered. It says whether the work is another's.
func (s *Steward) Wrote(r fleet.Result) (lost bool) {
	s.since = max(s.since, r.Position)
	return errors.Is(r.Err, fleet.ErrLeaseLost)
}

// Replied is what to write down after a reply to an order.
func (s *Steward) Replied(o owner.Order, r owner.Reply) (all []fleet.Entry) {
	if r.Running || r.Outcome == "" {
		return nil
	}
	if s.holder.Guards.Late {
		all = append(all, fleet.Entry{Kind: fleet.KindBeginStep, JobID: o.Job, Step: o.Step, FencingToken: o.Token})
	}
	return append(all, fleet.Entry{Kind: fleet.KindFinishStep, JobID: o.Job, Step: o.Step, FencingToken: o.Token, Outcome: r.Outcome, Detail: r.Detail})
}
