package fleet

import "slices"

// Artifact is something versioned that nodes act on, such as settings, routes or a build. At no time are there more
// than two versions on which a node may still act: the state rejects a third.
type Artifact struct {
	Name    string  `json:"name"`
	Current Version `json:"now"` // in force at every node that Next does not reach yet
	// Next is the version that a rollout is putting into force; nil if there is none.
	Next *Version `json:"next,omitempty"`
	// Retiring is the version with no further leases granted, whose last lease may still be valid; nil if there
	// is none.
	Retiring       *Version `json:"gone,omitempty"`
	NextNodes      []string `json:"on,omitempty"`  // that may act on Next
	NextEverywhere bool     `json:"all,omitempty"` // every node may act on Next
}

// Version is one version of an artifact.
type Version struct {
	Digest   string   `json:"digest"` // of its content
	Position Position `json:"at"`     // of the entry that put it where it is: published, promoted or retired
}

// InTransition reports whether nodes may be acting on more than one version. A nil artifact is not in transition.
func (a *Artifact) InTransition() bool { return a != nil && (a.Next != nil || a.Retiring != nil) }

// AllowedVersions returns the digests that a node may get a lease of, with the preferred one first.
func (a *Artifact) AllowedVersions(node string) []string {
	if a.Next != nil && (a.NextEverywhere || slices.Contains(a.NextNodes, node)) {
		return []string{a.Next.Digest, a.Current.Digest}
	}
	return []string{a.Current.Digest}
}

// DesiredVersion returns the digest of the version that a node should act on.
func (a *Artifact) DesiredVersion(node string) string { return a.AllowedVersions(node)[0] }

// canStartRollout reports whether a rollout may start: its version is a new one, and no other is on its way.
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
	artifact, job, err := s.rolloutOf(entry)
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
	artifact, _, err := s.rolloutOf(entry)
	if err != nil {
		return err
	}
	next := artifact.Next
	switch {
	case next == nil:
		return ErrNotFound
	case entry.Digest == artifact.Current.Digest:
		if !artifact.NextEverywhere {
			return ErrConflict // some nodes may act on nothing else
		}
		artifact.Current = *next
	case entry.Digest != next.Digest: // that of Next is the rollback
		return ErrNotFound
	}
	artifact.Retiring = &Version{entry.Digest, s.Position}
	artifact.Next, artifact.NextNodes, artifact.NextEverywhere = nil, nil, false
	s.putArtifact(artifact)
	return nil
}

func (s *State) applyClearVersion(entry Entry) error {
	artifact, _, err := s.rolloutOf(entry)
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

// rolloutOf returns a copy of the artifact that an entry is about, and the open rollout of it. Only the holder of the
// rollouts' lease may propose such an entry.
func (s *State) rolloutOf(entry Entry) (*Artifact, *Job, error) {
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
