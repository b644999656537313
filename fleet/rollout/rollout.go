package rollout

import (
	"fmt"
	"slices"

	"cobaltward/fleet"
)

// NodeStatus is what the owner of a rollout sees of a node.
type NodeStatus struct {
	Versions  VersionVector // that it acts on, as it says
	Straggler bool          // it has lagged, or has not been heard of, for longer than the operator's patience
}

// Next is the entry that a rollout's owner proposes now; ok is false while there is nothing to do but to wait. cleared
// is the version of which a member says that nobody acts on it any more; stop says that the figures of the nodes on the new version are worse.
func Next(j *fleet.Job, s *fleet.State, t fleet.FencingToken, nodes map[string]NodeStatus, cleared fleet.Version, stop string) (e fleet.Entry, ok bool) {
	thing := s.Artifacts[j.Spec.Artifact]
	if j.CloseReason != "" || thing == nil {
		return e, false
	}
	e = fleet.Entry{Artifact: thing.Name, JobID: j.ID, FencingToken: t}
	back := j.Command == fleet.CommandRollBack || j.Command == fleet.CommandAbort || stop != ""
	switch {
	case thing.Retiring != nil && cleared == *thing.Retiring:
		e.Kind, e.Digest, e.Argument = fleet.KindClearVersion, thing.Retiring.Digest, uint64(thing.Retiring.Position)
	case thing.Retiring != nil:
		return e, false
	case thing.Current.Digest == j.Spec.Digest:
		e.Kind, e.Outcome = fleet.KindCloseJob, "done"
	case back && thing.Next == nil:
		e.Kind, e.Outcome, e.Detail = fleet.KindCloseJob, "back", stop
	case back:
		e.Kind, e.Digest = fleet.KindRetireVersion, thing.Next.Digest
	case j.Command == fleet.CommandPause:
		return e, false
	case thing.Next == nil:
		e.Kind, e.Argument = fleet.KindPromoteVersion, 0
	case !stageComplete(j, thing, s, nodes):
		return e, false
	case !thing.NextEverywhere:
		e.Kind, e.Argument = fleet.KindPromoteVersion, uint64(stagesInForce(j, thing))
	default:
		e.Kind, e.Digest = fleet.KindRetireVersion, thing.Current.Digest
	}
	return e, true
}

// stageComplete tells whether the nodes that may act on the new version do, but for so many late ones as may be shut out. A
// node that is late is not waited for: its right to the old version ends once that is retired, by its own doing.
func stageComplete(j *fleet.Job, t *fleet.Artifact, s *fleet.State, nodes map[string]NodeStatus) bool {
	late := 0
	for name := range s.Nodes {
		if !t.NextEverywhere && !slices.Contains(t.NextNodes, name) {
			continue
		}
		n := nodes[name]
		switch on := n.Versions[t.Name] == t.Next.Digest; {
		case n.Straggler:
			late++
		case !on:
			return false
		}
	}
	return late <= j.Spec.MaxStragglers
}

// stagesInForce is how many stages of a rollout are in force.
func stagesInForce(j *fleet.Job, t *fleet.Artifact) int {
	n := 0
	for _, st := range j.Spec.Stages {
		if !slices.ContainsFunc(st, func(node string) bool { return !slices.Contains(t.NextNodes, node) }) {
			n++
		}
	}
	return n
}

// Stragglers names the nodes that lag, each with what it acts on in place of what it should, in order.
func Stragglers(s *fleet.State, nodes map[string]NodeStatus) (all []string) {
	for name := range s.Nodes {
		for thing, want := range DesiredVersions(s, name) {
			switch n := nodes[name]; {
			case n.Versions == nil:
				all = append(all, name+": has no right, and takes no work")
			case n.Versions[thing] != want:
				all = append(all, fmt.Sprintf("%s: %s %s, should be %s", name, thing, n.Versions[thing], want))
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
