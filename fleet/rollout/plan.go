package rollout

import (
	"fmt"
	"slices"

	"cobaltward/fleet"
)

// NodeStatus is the status of a node as observed by the holder of the lease of rollouts.
type NodeStatus struct {
	Versions VersionVector // versions on which the node acts; nil: the node has no valid version lease
	// Straggler reports whether the node has lagged behind or has not answered for longer than the rollout waits.
	Straggler bool
}

// View is what the holder of the lease of rollouts knows about the fleet.
type View struct {
	Nodes map[string]NodeStatus // by name
	// Cleared is the retired version on which no node acts any more, as reported by a member of the consensus group.
	Cleared fleet.Version
	// RollbackReason is the reason for a rollback without a command of an operator; empty: no rollback.
	RollbackReason string
}

// Next returns the entry that the holder of the lease of rollouts proposes for job. token is the fencing token of
// that lease. ok is false while the holder has to wait.
func Next(job *fleet.Job, state *fleet.State, token fleet.FencingToken, view View) (entry fleet.Entry, ok bool) {
	artifact := state.Artifacts[job.Spec.Artifact]
	if !job.Open() || artifact == nil {
		return entry, false
	}
	entry = fleet.Entry{Artifact: artifact.Name, JobID: job.ID, FencingToken: token}
	rollBack := job.Command == fleet.CommandRollBack || job.Command == fleet.CommandAbort || view.RollbackReason != ""
	switch {
	case artifact.Retiring != nil:
		if view.Cleared != *artifact.Retiring {
			return entry, false
		}
		entry.Kind, entry.Digest = fleet.KindClearVersion, artifact.Retiring.Digest
		entry.Argument = uint64(artifact.Retiring.Position)
	case artifact.Current.Digest == job.Spec.Digest:
		entry.Kind, entry.Outcome = fleet.KindCloseJob, string(fleet.ClosedDone)
	case rollBack && artifact.Next == nil:
		entry.Kind, entry.Outcome = fleet.KindCloseJob, string(fleet.ClosedRolledBack)
		entry.Detail = view.RollbackReason
	case rollBack:
		entry.Kind, entry.Digest = fleet.KindRetireVersion, artifact.Next.Digest
	case job.Command == fleet.CommandPause:
		return entry, false
	case artifact.Next == nil:
		entry.Kind = fleet.KindPromoteVersion
	case !stageComplete(job, artifact, state, view.Nodes):
		return entry, false
	case !artifact.NextEverywhere:
		entry.Kind, entry.Argument = fleet.KindPromoteVersion, uint64(stagesInForce(job, artifact))
	default:
		entry.Kind, entry.Digest = fleet.KindRetireVersion, artifact.Current.Digest
	}
	return entry, true
}

// stageComplete reports whether all nodes that may act on the next version do so, except for at most MaxStragglers
// stragglers. The rollout need not wait for a straggler, because the straggler's lease of the former version expires
// after that version is retired.
func stageComplete(
	job *fleet.Job, artifact *fleet.Artifact, state *fleet.State, nodes map[string]NodeStatus,
) bool {
	stragglers := 0
	for name := range state.Nodes {
		if !artifact.NextEverywhere && !slices.Contains(artifact.NextNodes, name) {
			continue
		}
		node := nodes[name]
		switch {
		case node.Straggler:
			stragglers++
		case node.Versions[artifact.Name] != artifact.Next.Digest:
			return false
		}
	}
	return stragglers <= job.Spec.MaxStragglers
}

// stagesInForce returns the number of stages in which all nodes may act on the next version.
func stagesInForce(job *fleet.Job, artifact *fleet.Artifact) int {
	count := 0
	for _, stage := range job.Spec.Stages {
		missing := func(node string) bool { return !slices.Contains(artifact.NextNodes, node) }
		if !slices.ContainsFunc(stage, missing) {
			count++
		}
	}
	return count
}

// Stragglers describes, one per line, the nodes that do not act on their desired versions. The lines are sorted. A
// node without a valid version lease has one line. Any other node has one line for each wrong version.
func Stragglers(state *fleet.State, nodes map[string]NodeStatus) []string {
	var lines []string
	for name := range state.Nodes {
		acting := nodes[name].Versions
		for artifact, desired := range DesiredVersions(state, name) {
			switch {
			case acting == nil:
				lines = append(lines, name+": has no valid version lease, and accepts no work")
			case acting[artifact] != desired:
				lines = append(lines, fmt.Sprintf("%s: %s %s, should be %s", name, artifact, acting[artifact], desired))
			}
		}
	}
	slices.Sort(lines)
	return slices.Compact(lines)
}
