package clustersim

import (
	"fmt"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
	"cobaltward/fleet/rollout"
)

const (
	rightLength = 2 * time.Second
	thing       = "settings"
	patience    = 3 * time.Second // with a node that lags
	actEvery    = 60 * ms
)

// rights is what a follower acts by, and what it knows of the others as the owner of rollouts.
type rights struct {
	right   rollout.VersionLease
	holder  lease.Holder
	seen    map[string]rollout.NodeStatus
	since   map[string]time.Duration // since when a node lags
	cleared fleet.Version
}

// act has a follower act by rights: it asks for them, decides requests while it has one, and may own rollouts.
func (p *process) act() {
	w := p.w
	p.rights = &rights{
		right: rollout.VersionLease{Duration: rightLength, Unsafe: w.c.Rights}, seen: make(map[string]rollout.NodeStatus), since: make(map[string]time.Duration),
		holder: lease.Holder{Resource: fleet.ResourceRollout, Identity: fmt.Sprintf("%s/%d", p.name, p.life), Duration: leaseDuration, Unsafe: w.c.Guards},
	}
	p.every(100*ms, p.askRight)
	p.every(actEvery, p.decide)
	if p.index-w.c.Members < w.c.Owners {
		p.every(drive, p.rollout)
	}
}

// askRight asks a member for a right to what the process should act on, as far as it knows.
func (p *process) askRight() {
	w := p.w
	if p.state.Artifacts[thing] == nil {
		return
	}
	asked, r := p.mono(), p.rights
	v, ok := r.right.NextRequest(asked, rollout.DesiredVersions(p.state, p.name))
	if !ok {
		return
	}
	to, life := w.any(), p.life
	w.asked++
	id := w.asked<<1 | 1
	w.send(p, to, func() {
		to.reads[id] = func() {
			granted := w.c.Rights.GrantAnyVersion || rollout.Allows(to.core.State(), p.name, v)
			w.reply(to, p, life, func() { r.right.HandleResult(asked, p.mono(), v, granted) })
		}
		to.core.Read(id)
		to.work()
	})
}

// decide is a request that the process decides, if it may: by then no more than two versions are acted on anywhere.
func (p *process) decide() {
	w := p.w
	if _, ok := p.rights.right.Valid(p.mono()); !ok {
		return
	}
	w.res.Acts++
	versions := make(map[string]string)
	for _, f := range w.followers {
		if f.rights == nil || !f.up || f.stopped > w.now {
			continue
		}
		if v, ok := f.rights.right.Valid(f.mono()); ok {
			versions[v[thing]] = f.name
		}
	}
	if len(versions) > 2 && !w.c.Lie {
		w.fail("%d versions are acted on at once: %v", len(versions), versions)
	}
}

// rollout is the turn of one that may own rollouts.
func (p *process) rollout() {
	w, r := p.w, p.rights
	asked := p.mono()
	if o, held := p.state.Leases[fleet.ResourceRollout]; !held || o.Holder == r.holder.Identity || r.holder.HoldsLease() {
		if e, ok := r.holder.NextProposal(asked); ok {
			p.propose(w.any(), e, func(res fleet.Result) {
				if p.mono()-asked < leaseDuration/2 {
					r.holder.HandleResult(asked, p.mono(), e, res, true)
				}
			})
		}
	}
	p.see()
	t, ok := r.holder.FencingToken(p.mono())
	if j := p.state.OpenJob(fleet.JobRollout); ok && j != nil && p.state.HighestTokens[fleet.ResourceRollout] == t {
		if e, ok := rollout.Next(j, p.state, t, rollout.View{Nodes: r.seen, Cleared: r.cleared}); ok {
			p.propose(w.any(), e, func(fleet.Result) {})
		}
	}
}

// see asks a member which versions have been cleared, and a node what it acts on.
func (p *process) see() {
	w, r, life := p.w, p.rights, p.life
	m := w.any()
	w.send(p, m, func() {
		v := m.clearer.Cleared(thing, m.mono())
		w.reply(m, p, life, func() {
			if v.Position > r.cleared.Position {
				r.cleared = v
			}
		})
	})
	f := w.followers[w.r.IntN(len(w.followers))]
	w.send(p, f, func() {
		v, ok := f.rights.right.Valid(f.mono())
		if !ok {
			v = nil
		}
		w.reply(f, p, life, func() { r.seen[f.name] = rollout.NodeStatus{Versions: v} })
	})
	for _, f := range w.followers {
		s := r.seen[f.name]
		if p.state.Artifacts[thing] == nil || s.Versions[thing] == p.state.Artifacts[thing].DesiredVersion(f.name) {
			delete(r.since, f.name)
		} else if _, ok := r.since[f.name]; !ok {
			r.since[f.name] = w.now
		}
		at, lags := r.since[f.name]
		s.Straggler = lags && w.now-at > patience
		r.seen[f.name] = s
	}
}

// rollouts is the operator, who always has a next version.
func (w *world) rollouts(s *fleet.State, lead *process) {
	switch t := s.Artifacts[thing]; {
	case t == nil:
		_ = lead.core.Propose(0, fleet.Entry{Kind: fleet.KindPublishVersion, Artifact: thing, Digest: "v0"}) // again, if need be
	case s.OpenJob(fleet.JobRollout) == nil && !t.InTransition() && w.now < w.c.Length:
		if w.roll == 0 || s.Jobs[fmt.Sprint("v", w.roll)] != nil {
			w.roll++
			w.res.Rollouts++
		}
		id := fmt.Sprint("v", w.roll)
		_ = lead.core.Propose(0, fleet.Entry{Kind: fleet.KindStartJob, JobID: id, Spec: &fleet.JobSpec{
			Kind: fleet.JobRollout, Artifact: thing, Digest: id, MaxStragglers: len(w.followers),
			Stages: [][]string{{w.followers[0].name}, {w.followers[1].name, w.followers[2].name}},
		}})
	case s.OpenJob(fleet.JobRollout) != nil && w.r.IntN(40) == 0 && w.now < w.c.Length:
		_ = lead.core.Propose(0, fleet.Entry{Kind: fleet.KindControlJob, JobID: s.OpenJob(fleet.JobRollout).ID, Command: fleet.CommandRollBack})
	}
}
