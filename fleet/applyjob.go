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
		return ErrConflict // only one job of a kind may be open at a time
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
	job, err := s.jobForEntry(entry)
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
	job, err := s.jobForHolder(entry)
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

// mayBegin reports whether a step can begin without making more nodes unavailable than the job allows. The holder of
// the lease cannot check this limit: if its last proposal got no answer, the holder does not know whether the entry
// is in the log.
func (j *Job) mayBegin(key StepKey) bool {
	if key.Action != ActionDrain && key.Action != ActionRollbackDrain {
		return true
	}
	unavailable := j.UnavailableNodes()
	return unavailable[key.Node] || len(unavailable) < j.Spec.MaxUnavailable
}

func (s *State) applyFinishStep(entry Entry) error {
	job, err := s.jobForHolder(entry)
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
	job, err := s.jobForHolder(entry)
	if err != nil {
		return err
	}
	if job.Spec.Kind == JobRollout && s.Artifacts[job.Spec.Artifact].InTransition() {
		return ErrConflict // more than one version may be in use until the retired version is cleared
	}
	job.CloseReason, job.Detail = CloseReason(entry.Outcome), entry.Detail
	s.putJob(job)
	return nil
}

// jobForEntry returns a copy of the job that an entry concerns. A closed job accepts only the first command to roll
// it back. For that command the returned copy is open again.
func (s *State) jobForEntry(entry Entry) (*Job, error) {
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

// jobForHolder is like jobForEntry, for entries that only the holder of the job's lease may propose. It rejects the
// entries of former holders. Receivers of effects also reject the requests of former holders.
func (s *State) jobForHolder(entry Entry) (*Job, error) {
	job, err := s.jobForEntry(entry)
	if err != nil {
		return nil, err
	}
	if !s.holdsLease(job.Spec.Kind.Resource(), entry.FencingToken) {
		return nil, ErrLeaseLost
	}
	return job, nil
}

func (s *State) putJob(job *Job) { s.Jobs = withKey(s.Jobs, job.ID, job) }

// pruneJobs removes the oldest closed jobs while the state has more than maxJobs jobs. It never removes an open job.
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
