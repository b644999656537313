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

// versionAgent is the part of an agent that acts under version leases. In a lease candidate it also runs rollouts.
type versionAgent struct {
	lease          rollout.VersionLease
	rolloutLease   lease.Holder
	observed       map[string]rollout.NodeStatus
	laggingSince   map[string]time.Duration // by node: time since which the node does not act on its desired version
	clearedVersion fleet.Version
}

func (p *process) startVersionAgent() {
	sim := p.sim
	p.versions = &versionAgent{
		lease:        rollout.VersionLease{Duration: versionLeaseDuration, Unsafe: sim.cfg.UnsafeRollouts},
		observed:     make(map[string]rollout.NodeStatus),
		laggingSince: make(map[string]time.Duration),
		rolloutLease: lease.Holder{
			Resource: fleet.ResourceRollout, Identity: p.identity(), Duration: leaseDuration, Unsafe: sim.cfg.Unsafe,
		},
	}
	p.repeat(versionLeaseRequestInterval, p.requestVersionLease)
	p.repeat(decisionInterval, p.decideRequest)
	if p.isLeaseCandidate() {
		p.repeat(controllerInterval, p.runRollout)
	}
}

// requestVersionLease requests a lease on the process's desired versions, according to the state that the process
// knows.
func (p *process) requestVersionLease() {
	sim := p.sim
	if p.state.Artifacts[artifact] == nil {
		return
	}
	sentAt, versions := p.monotonic(), p.versions
	wanted, ok := versions.lease.NextRequest(sentAt, rollout.DesiredVersions(p.state, p.name))
	if !ok {
		return
	}
	to, incarnation := sim.randomReplica(), p.incarnation
	id := sim.nextRequestID()
	sim.send(p, to, func() {
		to.pendingReads[id] = func() {
			granted := sim.cfg.UnsafeRollouts.GrantAnyVersion || rollout.Allows(to.core.State(), p.name, wanted)
			sim.reply(to, p, incarnation, func() {
				versions.lease.HandleResult(sentAt, p.monotonic(), wanted, granted)
			})
		}
		to.core.Read(id)
		to.processReady()
	})
}

// decideRequest decides a request if the process has a valid version lease. It then checks that the running nodes act
// on at most two versions.
func (p *process) decideRequest() {
	sim := p.sim
	if _, ok := p.versions.lease.Valid(p.monotonic()); !ok {
		return
	}
	sim.result.Decisions++
	active := make(map[string]string) // by version: name of a node that acts on it
	for _, agent := range sim.agents {
		if agent.versions == nil || !agent.up || agent.pausedUntil > sim.now {
			continue
		}
		if versions, ok := agent.versions.lease.Valid(agent.monotonic()); ok {
			active[versions[artifact]] = agent.name
		}
	}
	if len(active) > 2 && !sim.cfg.ClockJumps {
		sim.fail("%d versions are active at once: %v", len(active), active)
	}
}

// runRollout runs one turn of the rollout controller of a lease candidate: it acquires or renews the rollout lease,
// then executes the next step of the job.
func (p *process) runRollout() {
	sim, versions, sentAt := p.sim, p.versions, p.monotonic()
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
	view := rollout.View{Nodes: versions.observed, Cleared: versions.clearedVersion}
	if entry, ok := rollout.Next(job, p.state, token, view); ok {
		p.propose(sim.randomReplica(), entry, func(fleet.Result) {})
	}
}

func (p *process) proposeRolloutLease(sentAt time.Duration) {
	holder := &p.versions.rolloutLease
	entry, ok := holder.NextProposal(sentAt)
	if !ok {
		return
	}
	p.propose(p.sim.randomReplica(), entry, func(result fleet.Result) {
		if p.monotonic()-sentAt < leaseDuration/2 { // otherwise the request has timed out
			holder.HandleResult(sentAt, p.monotonic(), entry, result, true)
		}
	})
}

// observeNodes asks a random replica for the cleared version and a random node for its active versions. It then
// updates the stragglers.
func (p *process) observeNodes() {
	sim, versions, incarnation := p.sim, p.versions, p.incarnation
	replica := sim.randomReplica()
	sim.send(p, replica, func() {
		cleared := replica.retirement.Cleared(artifact, replica.monotonic())
		sim.reply(replica, p, incarnation, func() {
			if cleared.Position > versions.clearedVersion.Position {
				versions.clearedVersion = cleared
			}
		})
	})
	agent := sim.agents[sim.rand.IntN(len(sim.agents))]
	sim.send(p, agent, func() {
		active, ok := agent.versions.lease.Valid(agent.monotonic())
		if !ok {
			active = nil
		}
		sim.reply(agent, p, incarnation, func() {
			versions.observed[agent.name] = rollout.NodeStatus{Versions: active}
		})
	})
	for _, other := range sim.agents {
		versions.updateStraggler(p.state.Artifacts[artifact], other.name, sim.now)
	}
}

// updateStraggler marks a node as a straggler once the node has not acted on its desired version for
// stragglerTimeout.
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

// administerRollouts publishes the first version. It then starts one rollout after another until the faults end, and
// rolls back some rollouts.
func (s *simulation) administerRollouts(state *fleet.State, leader *process) {
	published, open := state.Artifacts[artifact], state.OpenJob(fleet.JobRollout)
	switch {
	case published == nil:
		s.proposeAsAdministrator(leader, fleet.Entry{Kind: fleet.KindPublishVersion, Artifact: artifact, Digest: "v0"})
	case open == nil && !published.InTransition() && s.now < s.cfg.Length:
		s.proposeRollout(state, leader)
	case open != nil && s.rand.IntN(40) == 0 && s.now < s.cfg.Length:
		rollBack := fleet.Entry{Kind: fleet.KindControlJob, JobID: open.ID, Command: fleet.CommandRollBack}
		s.proposeAsAdministrator(leader, rollBack)
	}
}

// proposeRollout proposes a rollout in three stages: one node, two nodes, then the remaining nodes.
func (s *simulation) proposeRollout(state *fleet.State, leader *process) {
	if s.rolloutCount == 0 || state.Jobs[fmt.Sprint("v", s.rolloutCount)] != nil {
		s.rolloutCount++
		s.result.Rollouts++
	}
	id := fmt.Sprint("v", s.rolloutCount)
	s.proposeAsAdministrator(leader, fleet.Entry{Kind: fleet.KindStartJob, JobID: id, Spec: &fleet.JobSpec{
		Kind: fleet.JobRollout, Artifact: artifact, Digest: id, MaxStragglers: len(s.agents),
		Stages: [][]string{{s.agents[0].name}, {s.agents[1].name, s.agents[2].name}},
	}})
}
