package fleet

import "slices"

// JobRollout is the kind of work, and of job, by which a version is put in force in stages.
const JobRollout = "rollout"

// Artifact is something that nodes act on and that has versions: settings, routes, a build. At no time are there more than
// two that a node may act on, or may still act on: the log refuses a third.
type Artifact struct {
	Name     string   `json:"name"`
	Current  Version  `json:"now"`            // in force at all nodes, or at all that the next one has not reached
	Next     *Version `json:"next,omitempty"` // on its way
	Retiring *Version `json:"gone,omitempty"` // nobody gets a right to it any more, and the last one may not be over
	// NextNodes are the nodes that may act on Next; All: every node.
	NextNodes      []string `json:"on,omitempty"`
	NextEverywhere bool     `json:"all,omitempty"`
}

// Version is one, named by its content and by its place in the log.
type Version struct {
	Digest   string   `json:"digest"`
	Position Position `json:"at"`
}

// InTransition tells whether there is more than one version that a node may be acting on.
func (t *Artifact) InTransition() bool { return t != nil && (t.Next != nil || t.Retiring != nil) }

// AllowedVersions are the versions to which a node may have a right now, the one that it should act on first.
func (t *Artifact) AllowedVersions(node string) (all []string) {
	if t.Next != nil && (t.NextEverywhere || slices.Contains(t.NextNodes, node)) {
		all = append(all, t.Next.Digest)
	}
	return append(all, t.Current.Digest)
}

// DesiredVersion is the version that a node should act on.
func (t *Artifact) DesiredVersion(node string) string { return t.AllowedVersions(node)[0] }

const maxArtifacts = 64

// canStartRollout tells whether a rollout may begin: of each thing one version at a time is on its way.
func (s *State) canStartRollout(spec *JobSpec) bool {
	t := s.Artifacts[spec.Artifact]
	return t != nil && !t.InTransition() && spec.Digest != "" && spec.Digest != t.Current.Digest
}

// version applies what is said of a thing. All but the first offer is its owner's to say.
func (s *State) version(e Entry) error {
	t := s.Artifacts[e.Artifact]
	if e.Kind == KindPublishVersion {
		switch {
		case e.Artifact == "" || e.Digest == "":
			return ErrInvalidEntry
		case t != nil:
			return ErrAlreadyExists
		case len(s.Artifacts) >= maxArtifacts:
			return ErrLimitExceeded
		}
		s.Artifacts = put(s.Artifacts, e.Artifact, &Artifact{Name: e.Artifact, Current: Version{e.Digest, s.Position}})
		return nil
	}
	if t == nil {
		return ErrNotFound
	}
	if !s.holdsLease(JobRollout, e.FencingToken) {
		return ErrLeaseLost
	}
	n := *t
	switch j := s.OpenJob(JobRollout); {
	case j == nil || j.Spec.Artifact != e.Artifact:
		return ErrNotFound
	case e.Kind == KindPromoteVersion:
		switch {
		case n.Retiring != nil || int(e.Argument) > len(j.Spec.Stages):
			return ErrConflict
		case n.Next == nil:
			n.Next = &Version{j.Spec.Digest, s.Position}
		}
		if int(e.Argument) == len(j.Spec.Stages) {
			n.NextEverywhere = true
		} else {
			n.NextNodes = append(slices.Clone(n.NextNodes), j.Spec.Stages[e.Argument]...)
		}
	case e.Kind == KindRetireVersion && n.Next == nil:
		return ErrNotFound
	case e.Kind == KindRetireVersion && e.Digest == n.Current.Digest:
		if !n.NextEverywhere {
			return ErrConflict // some nodes may act on nothing else
		}
		n.Retiring, n.Current, n.Next, n.NextNodes, n.NextEverywhere = &Version{n.Current.Digest, s.Position}, *n.Next, nil, nil, false
	case e.Kind == KindRetireVersion && e.Digest == n.Next.Digest: // the way back
		n.Retiring, n.Next, n.NextNodes, n.NextEverywhere = &Version{n.Next.Digest, s.Position}, nil, nil, false
	case e.Kind == KindRetireVersion:
		return ErrNotFound
	case n.Retiring == nil || n.Retiring.Digest != e.Digest || uint64(n.Retiring.Position) != e.Argument:
		return ErrNotFound
	default:
		n.Retiring = nil
	}
	s.Artifacts = put(s.Artifacts, e.Artifact, &n)
	return nil
}
