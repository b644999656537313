package fleet

import "slices"

// Artifact records the versions of something that nodes act on, such as settings, routes or a build. Nodes may act on
// at most two versions at a time: the state rejects a third version.
type Artifact struct {
	Name    string  `json:"name"`
	Current Version `json:"now"` // version for nodes that may not act on Next yet
	// Next is the version that a rollout is introducing; nil: none.
	Next *Version `json:"next,omitempty"`
	// Retiring is a version that gets no further leases but whose last lease may still be valid; nil: none.
	Retiring       *Version `json:"gone,omitempty"`
	NextNodes      []string `json:"on,omitempty"`  // names of the nodes that may act on Next
	NextEverywhere bool     `json:"all,omitempty"` // whether every node may act on Next
}

// Version is one version of an artifact.
type Version struct {
	Digest   string   `json:"digest"` // digest of the content
	Position Position `json:"at"`     // position of the entry that published, promoted or retired the version
}

// InTransition reports whether nodes may act on more than one version. A nil artifact is not in transition.
func (a *Artifact) InTransition() bool { return a != nil && (a.Next != nil || a.Retiring != nil) }

// AllowedVersions returns the digests of the versions for which a node may get a lease, the preferred version first.
func (a *Artifact) AllowedVersions(node string) []string {
	if a.Next != nil && (a.NextEverywhere || slices.Contains(a.NextNodes, node)) {
		return []string{a.Next.Digest, a.Current.Digest}
	}
	return []string{a.Current.Digest}
}

// DesiredVersion returns the digest of the version that a node should act on.
func (a *Artifact) DesiredVersion(node string) string { return a.AllowedVersions(node)[0] }

// canStartRollout reports whether a rollout may start. The rollout's version must differ from the current version. No
// other version may be in introduction or retirement.
func (s *State) canStartRollout(spec *JobSpec) bool {
	artifact := s.Artifacts[spec.Artifact]
	if artifact == nil || artifact.InTransition() {
		return false
	}
	return spec.Digest != "" && spec.Digest != artifact.Current.Digest
}

func (s *State) applyPublishVersion(entry Entry) error {
	switch {
	case entry.Artifact == "" || entry.Digest == "":
		return ErrInvalidEntry
	case s.Artifacts[entry.Artifact] != nil:
		return ErrAlreadyExists
	case len(s.Artifacts) >= maxArtifacts:
		return ErrLimitExceeded
	}
	s.putArtifact(&Artifact{Name: entry.Artifact, Current: Version{entry.Digest, s.Position}})
	return nil
}

func (s *State) applyPromoteVersion(entry Entry) error {
	artifact, job, err := s.rolloutForEntry(entry)
	if err != nil {
		return err
	}
	stages := job.Spec.Stages
	if artifact.Retiring != nil || entry.Argument > uint64(len(stages)) {
		return ErrConflict
	}
	if artifact.Next == nil {
		artifact.Next = &Version{job.Spec.Digest, s.Position}
	}
	if entry.Argument == uint64(len(stages)) {
		artifact.NextEverywhere = true
	} else {
		artifact.NextNodes = slices.Concat(artifact.NextNodes, stages[entry.Argument])
	}
	s.putArtifact(artifact)
	return nil
}

func (s *State) applyRetireVersion(entry Entry) error {
	artifact, _, err := s.rolloutForEntry(entry)
	if err != nil {
		return err
	}
	next := artifact.Next
	switch {
	case next == nil:
		return ErrNotFound
	case entry.Digest == artifact.Current.Digest:
		if !artifact.NextEverywhere {
			return ErrConflict // some nodes may act only on the current version
		}
		artifact.Current = *next
	case entry.Digest != next.Digest: // a rollback retires Next
		return ErrNotFound
	}
	artifact.Retiring = &Version{entry.Digest, s.Position}
	artifact.Next, artifact.NextNodes, artifact.NextEverywhere = nil, nil, false
	s.putArtifact(artifact)
	return nil
}

func (s *State) applyClearVersion(entry Entry) error {
	artifact, _, err := s.rolloutForEntry(entry)
	if err != nil {
		return err
	}
	if artifact.Retiring == nil || *artifact.Retiring != (Version{entry.Digest, Position(entry.Argument)}) {
		return ErrNotFound
	}
	artifact.Retiring = nil
	s.putArtifact(artifact)
	return nil
}

// rolloutForEntry returns a copy of the artifact that an entry concerns, and the open rollout of that artifact. It
// rejects an entry without the fencing token of the current lease of rollouts.
func (s *State) rolloutForEntry(entry Entry) (*Artifact, *Job, error) {
	current := s.Artifacts[entry.Artifact]
	if current == nil {
		return nil, nil, ErrNotFound
	}
	if !s.holdsLease(ResourceRollout, entry.FencingToken) {
		return nil, nil, ErrLeaseLost
	}
	job := s.OpenJob(JobRollout)
	if job == nil || job.Spec.Artifact != entry.Artifact {
		return nil, nil, ErrNotFound
	}
	artifact := *current
	return &artifact, job, nil
}

func (s *State) putArtifact(artifact *Artifact) {
	s.Artifacts = withKey(s.Artifacts, artifact.Name, artifact)
}
