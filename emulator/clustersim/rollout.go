package clustersim

import (
	"fmt"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
	"cobaltward/fleet/rollout"
)

const (
	versionLeaseDuration        = 2 * time.Second
	artifact                    = "settings"
	stragglerTimeout            = 3 * time.Second
	decisionInterval            = 60 * ms
	versionLeaseRequestInterval = 100 * ms
)

// versionAgent is the part of an agent that acts under version leases, and as a lease candidate runs rollouts.
type versionAgent struct {
	lease        rollout.VersionLease
	rolloutLease lease.Holder
	observed     map[string]rollout.NodeStatus
	laggingSince map[string]time.Duration // by node
	cleared      fleet.Version
}

func (p *process) startVersionAgent() {
	w := p.world
	p.versions = &versionAgent{
		lease:        rollout.VersionLease{Duration: versionLeaseDuration, Unsafe: w.cfg.VersionLeases},
		observed:     make(map[string]rollout.NodeStatus),
		laggingSince: make(map[string]time.Duration),
		rolloutLease: lease.Holder{
			Resource: fleet.ResourceRollout, Identity: p.identity(), Duration: leaseDuration, Unsafe: w.cfg.Guards,
		},
	}
	p.repeat(versionLeaseRequestInterval, p.requestVersionLease)
	p.repeat(decisionInterval, p.decideRequest)
	if p.isLeaseCandidate() {
		p.repeat(controllerInterval, p.runRollout)
	}
}

// requestVersionLease requests a lease on the versions that the process should act on by the state that it knows.
func (p *process) requestVersionLease() {
	w := p.world
	if p.state.Artifacts[artifact] == nil {
		return
	}
	sentAt, versions := p.monotonic(), p.versions
	wanted, ok := versions.lease.NextRequest(sentAt, rollout.DesiredVersions(p.state, p.name))
	if !ok {
		return
	}
	to, incarnation := w.randomReplica(), p.incarnation
	id := w.nextRequestID()
	w.send(p, to, func() {
		to.pendingReads[id] = func() {
			granted := w.cfg.VersionLeases.GrantAnyVersion || rollout.Allows(to.core.State(), p.name, wanted)
			w.reply(to, p, incarnation, func() {
				versions.lease.HandleResult(sentAt, p.monotonic(), wanted, granted)
			})
		}
		to.core.Read(id)
		to.processReady()
	})
}

// decideRequest decides a request under the version lease, if the process has one, and checks that the running nodes
// act on at most two versions.
func (p *process) decideRequest() {
	w := p.world
	if _, ok := p.versions.lease.Valid(p.monotonic()); !ok {
		return
	}
	w.result.Decisions++
	active := make(map[string]string) // a node by version
	for _, agent := range w.agents {
		if agent.versions == nil || !agent.up || agent.pausedUntil > w.now {
			continue
		}
		if versions, ok := agent.versions.lease.Valid(agent.monotonic()); ok {
			active[versions[artifact]] = agent.name
		}
	}
	if len(active) > 2 && !w.cfg.ClockJumps {
		w.fail("%d versions are active at once: %v", len(active), active)
	}
}

// runRollout is one turn of a lease candidate for rollouts: its lease, then the next step of the job.
func (p *process) runRollout() {
	w, versions, sentAt := p.world, p.versions, p.monotonic()
	current, leased := p.state.Leases[fleet.ResourceRollout]
	if !leased || current.Holder == versions.rolloutLease.Identity || versions.rolloutLease.HoldsLease() {
		p.proposeRolloutLease(sentAt)
	}
	p.observeNodes()
	token, ok := versions.rolloutLease.FencingToken(p.monotonic())
	job := p.state.OpenJob(fleet.JobRollout)
	if !ok || job == nil || p.state.HighestTokens[fleet.ResourceRollout] != token {
		return
	}
	view := rollout.View{Nodes: versions.observed, Cleared: versions.cleared}
	if entry, ok := rollout.Next(job, p.state, token, view); ok {
		p.propose(w.randomReplica(), entry, func(fleet.Result) {})
	}
}

func (p *process) proposeRolloutLease(sentAt time.Duration) {
	holder := &p.versions.rolloutLease
	entry, ok := holder.NextProposal(sentAt)
	if !ok {
		return
	}
	p.propose(p.world.randomReplica(), entry, func(result fleet.Result) {
		if p.monotonic()-sentAt < leaseDuration/2 { // the request has timed out otherwise
			holder.HandleResult(sentAt, p.monotonic(), entry, result, true)
		}
	})
}

// observeNodes asks a replica which version has been cleared and a node which versions it acts on, and updates which
// nodes are stragglers.
func (p *process) observeNodes() {
	w, versions, incarnation := p.world, p.versions, p.incarnation
	replica := w.randomReplica()
	w.send(p, replica, func() {
		cleared := replica.retirement.Cleared(artifact, replica.monotonic())
		w.reply(replica, p, incarnation, func() {
			if cleared.Position > versions.cleared.Position {
				versions.cleared = cleared
			}
		})
	})
	agent := w.agents[w.rand.IntN(len(w.agents))]
	w.send(p, agent, func() {
		active, ok := agent.versions.lease.Valid(agent.monotonic())
		if !ok {
			active = nil
		}
		w.reply(agent, p, incarnation, func() {
			versions.observed[agent.name] = rollout.NodeStatus{Versions: active}
		})
	})
	for _, other := range w.agents {
		versions.updateStraggler(p.state.Artifacts[artifact], other.name, w.now)
	}
}

// updateStraggler notes whether a node has not acted on its desired version for longer than a rollout waits.
func (v *versionAgent) updateStraggler(published *fleet.Artifact, name string, now time.Duration) {
	status := v.observed[name]
	if published == nil || status.Versions[artifact] == published.DesiredVersion(name) {
		delete(v.laggingSince, name)
	} else if _, ok := v.laggingSince[name]; !ok {
		v.laggingSince[name] = now
	}
	since, lagging := v.laggingSince[name]
	status.Straggler = lagging && now-since > stragglerTimeout
	v.observed[name] = status
}

// administerRollouts publishes the first version, then starts one rollout after another, and rolls some back.
func (w *world) administerRollouts(state *fleet.State, leader *process) {
	published, open := state.Artifacts[artifact], state.OpenJob(fleet.JobRollout)
	switch {
	case published == nil:
		w.proposeAsAdministrator(leader, fleet.Entry{Kind: fleet.KindPublishVersion, Artifact: artifact, Digest: "v0"})
	case open == nil && !published.InTransition() && w.now < w.cfg.Length:
		w.proposeRollout(state, leader)
	case open != nil && w.rand.IntN(40) == 0 && w.now < w.cfg.Length:
		rollBack := fleet.Entry{Kind: fleet.KindControlJob, JobID: open.ID, Command: fleet.CommandRollBack}
		w.proposeAsAdministrator(leader, rollBack)
	}
}

// proposeRollout proposes a rollout in three stages: one node, two nodes, then the others.
func (w *world) proposeRollout(state *fleet.State, leader *process) {
	if w.rolloutCount == 0 || state.Jobs[fmt.Sprint("v", w.rolloutCount)] != nil {
		w.rolloutCount++
		w.result.Rollouts++
	}
	id := fmt.Sprint("v", w.rolloutCount)
	w.proposeAsAdministrator(leader, fleet.Entry{Kind: fleet.KindStartJob, JobID: id, Spec: &fleet.JobSpec{
		Kind: fleet.JobRollout, Artifact: artifact, Digest: id, MaxStragglers: len(w.agents),
		Stages: [][]string{{w.agents[0].name}, {w.agents[1].name, w.agents[2].name}},
	}})
}
