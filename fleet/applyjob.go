package fleet

func (s *State) applyStartJob(entry Entry) error {
	spec := entry.Spec
	switch {
	case entry.JobID == "" || spec == nil || !spec.valid():
		return ErrInvalidEntry
	case spec.Kind == JobRollout && !s.canStartRollout(spec):
		return ErrConflict
	case s.Jobs[entry.JobID] != nil:
		return ErrAlreadyExists
	case s.OpenJob(spec.Kind) != nil:
		return ErrConflict // one open job of a kind at a time
	}
	s.putJob(&Job{
		ID:          entry.JobID,
		Spec:        *spec,
		Command:     CommandRun,
		RequestedBy: entry.RequestedBy,
		Reason:      entry.Reason,
		CreatedAt:   s.Position,
	})
	s.pruneJobs()
	return nil
}

func (s *State) applyControlJob(entry Entry) error {
	job, err := s.jobOf(entry)
	if err != nil {
		return err
	}
	rollingBack := job.Command == CommandRollBack
	if !entry.Command.valid() || rollingBack && entry.Command != CommandPause && entry.Command != CommandRollBack {
		return ErrInvalidEntry
	}
	job.Command = entry.Command
	s.putJob(job)
	return nil
}

func (s *State) applyBeginStep(entry Entry) error {
	job, err := s.jobOfHolder(entry)
	if err != nil {
		return err
	}
	step, begun := job.Steps[entry.Step]
	if step.FinishedAt != 0 {
		return ErrAlreadyExists
	}
	if !begun {
		if !job.mayBegin(entry.Step) {
			return ErrLimitExceeded
		}
		step.StartedAt = s.Position
	}
	if step.FencingToken != entry.FencingToken {
		step.FencingToken = entry.FencingToken
		step.Attempts++
	}
	job.Steps = withKey(job.Steps, entry.Step, step)
	s.putJob(job)
	return nil
}

// mayBegin reports whether a step leaves at most as many nodes unavailable as the job allows. The state checks it, and
// not the holder alone: a holder whose last proposal was never answered may not know that its entry is in the log.
func (j *Job) mayBegin(key StepKey) bool {
	if key.Action != ActionDrain && key.Action != ActionRollbackDrain {
		return true
	}
	unavailable := j.UnavailableNodes()
	return unavailable[key.Node] || len(unavailable) < j.Spec.MaxUnavailable
}

func (s *State) applyFinishStep(entry Entry) error {
	job, err := s.jobOfHolder(entry)
	if err != nil {
		return err
	}
	step, begun := job.Steps[entry.Step]
	switch {
	case !begun:
		return ErrNotFound
	case step.FinishedAt != 0:
		return ErrAlreadyExists
	}
	step.FinishedAt, step.Outcome, step.Detail = s.Position, StepOutcome(entry.Outcome), entry.Detail
	if step.Outcome != OutcomeOK {
		job.Failures++
	}
	job.Steps = withKey(job.Steps, entry.Step, step)
	s.putJob(job)
	return nil
}

func (s *State) applyCloseJob(entry Entry) error {
	job, err := s.jobOfHolder(entry)
	if err != nil {
		return err
	}
	if job.Spec.Kind == JobRollout && s.Artifacts[job.Spec.Artifact].InTransition() {
		return ErrConflict // a version is still to be cleared
	}
	job.CloseReason, job.Detail = CloseReason(entry.Outcome), entry.Detail
	s.putJob(job)
	return nil
}

// jobOf returns a copy of the job that an entry is about. A closed job accepts one thing, the first command to roll
// it back, and is open again in the copy.
func (s *State) jobOf(entry Entry) (*Job, error) {
	current := s.Jobs[entry.JobID]
	if current == nil {
		return nil, ErrNotFound
	}
	job := *current
	if job.Open() {
		return &job, nil
	}
	rollBack := entry.Kind == KindControlJob && entry.Command == CommandRollBack
	switch {
	case !rollBack || job.Command == CommandRollBack:
		return nil, ErrLeaseLost
	case s.OpenJob(job.Spec.Kind) != nil:
		return nil, ErrConflict
	}
	job.CloseReason, job.Detail = "", ""
	return &job, nil
}

// jobOfHolder is jobOf for entries that only the holder of the job's lease may propose. Entries of a former holder
// are rejected here, and its effects by their receivers.
func (s *State) jobOfHolder(entry Entry) (*Job, error) {
	job, err := s.jobOf(entry)
	if err != nil {
		return nil, err
	}
	if !s.holdsLease(job.Spec.Kind.Resource(), entry.FencingToken) {
		return nil, ErrLeaseLost
	}
	return job, nil
}

func (s *State) putJob(job *Job) { s.Jobs = withKey(s.Jobs, job.ID, job) }

// pruneJobs removes the oldest closed jobs beyond maxJobs. Open jobs are kept.
func (s *State) pruneJobs() {
	for len(s.Jobs) > maxJobs {
		oldest := ""
		for id, job := range s.Jobs {
			if !job.Open() && (oldest == "" || job.CreatedAt < s.Jobs[oldest].CreatedAt) {
				oldest = id
			}
		}
		if oldest == "" {
			return
		}
		s.Jobs = withoutKey(s.Jobs, oldest)
	}
}
