package fleet

import (
	"fmt"
	"strings"
	"time"
)

// JobKind is a kind of job. Jobs of a kind are run, one at a time, by the holder of the lease of the same name.
type JobKind string

// The kinds of jobs.
const (
	// JobRollingUpdate drains nodes one after another, has each patched, and resumes it.
	JobRollingUpdate JobKind = "round"
	// JobRollout puts a version of an artifact into force in stages of nodes.
	JobRollout JobKind = "rollout"
)

// Resource is the name of the lease whose holder runs jobs of the kind.
func (k JobKind) Resource() string { return string(k) }

// The resources whose holders run jobs.
const (
	ResourceRollingUpdate = string(JobRollingUpdate)
	ResourceRollout       = string(JobRollout)
)

// JobCommand is what an operator wants of a job.
type JobCommand string

// The commands to a job.
const (
	CommandRun      JobCommand = "go"
	CommandPause    JobCommand = "pause" // start nothing new
	CommandAbort    JobCommand = "abort" // finish the nodes under way, and close the job
	CommandRollBack JobCommand = "back"  // undo what the job has done, the last node first
)

// valid reports whether the command is a known one.
func (c JobCommand) valid() bool {
	switch c {
	case CommandRun, CommandPause, CommandAbort, CommandRollBack:
		return true
	}
	return false
}

// CloseReason says why a job is closed; empty while it is open.
type CloseReason string

// The reasons for which jobs are closed.
const (
	ClosedDone       CloseReason = "done"
	ClosedAborted    CloseReason = "aborted" // by an operator
	ClosedStopped    CloseReason = "stopped" // by itself: too many failures, or a step of unknown outcome
	ClosedRolledBack CloseReason = "back"
)

// JobSpec is what a job is to do.
type JobSpec struct {
	Kind           JobKind  `json:"kind"`
	Nodes          []string `json:"nodes"`   // of a rolling update, in this order
	MaxUnavailable int      `json:"at_once"` // nodes drained at a time
	// MinCapacity is the capacity that the serving nodes must keep, in the unit of Node.Capacity.
	MinCapacity float64 `json:"need"`
	ByZone      bool    `json:"by_zone"` // finish one zone before the next
	// MaxFailures is how many failed steps stop the job; 0: no number does.
	MaxFailures  int           `json:"failures"`
	StepTimeout  time.Duration `json:"deadline"`
	DrainTimeout time.Duration `json:"drain"`

	Artifact string `json:"thing,omitempty"`  // of a rollout
	Digest   string `json:"digest,omitempty"` // of the version that a rollout puts into force
	// Stages are the nodes of each stage of a rollout; a last stage of all other nodes is implied.
	Stages [][]string `json:"stages,omitempty"`
	// MaxStragglers is how many nodes a rollout may leave behind without a valid version lease.
	MaxStragglers int `json:"lag,omitempty"`
}

// valid reports whether a job can be started by the specification.
func (s *JobSpec) valid() bool {
	if s.Kind == JobRollout {
		return true // see State.canStartRollout
	}
	return s.Kind != "" && len(s.Nodes) > 0 && s.MaxUnavailable >= 1
}

// StepAction is what a step of a rolling update does to its node.
type StepAction string

// The actions of steps. Those of a node follow one another in this order; the last three undo the first three.
const (
	ActionDrain          StepAction = "out"
	ActionPatch          StepAction = "patch"
	ActionResume         StepAction = "in"
	ActionRollbackDrain  StepAction = "back-out"
	ActionRevert         StepAction = "revert"
	ActionRollbackResume StepAction = "back-in"
)

// stepKeySeparator separates node and action in a step's text. Names of nodes do not contain it.
const stepKeySeparator = "/"

// StepKey identifies a step of a job: an action and the node that it acts on.
type StepKey struct {
	Node   string     `json:"node,omitempty"`
	Action StepAction `json:"what,omitempty"`
}

func (k StepKey) String() string { return k.Node + stepKeySeparator + string(k.Action) }

// MarshalText returns the step as "node/action", so that steps can be keys of JSON objects.
func (k StepKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads "node/action".
func (k *StepKey) UnmarshalText(text []byte) error {
	node, action, ok := strings.Cut(string(text), stepKeySeparator)
	if !ok {
		return fmt.Errorf("fleet: step key %q: want node/action", text)
	}
	k.Node, k.Action = node, StepAction(action)
	return nil
}

// StepOutcome is how a step has ended.
type StepOutcome string

// The outcomes of a step.
const (
	OutcomeOK      StepOutcome = "ok"
	OutcomeFailed  StepOutcome = "failed"
	OutcomeUnknown StepOutcome = "doubt" // nobody can tell whether it was carried out: an operator has to look
)

// Step is the progress of one step of a job.
type Step struct {
	StartedAt    Position     `json:"begun"`           // 0: not yet
	FencingToken FencingToken `json:"token"`           // of the lease under which it was last begun
	Attempts     int          `json:"tries,omitempty"` // leases under which it was begun
	FinishedAt   Position     `json:"ended,omitempty"` // 0: not yet
	Outcome      StepOutcome  `json:"outcome,omitempty"`
	Detail       string       `json:"detail,omitempty"`
}

// Job is one piece of work on behalf of the fleet, which survives the process that runs it.
type Job struct {
	ID          string           `json:"id"`
	Spec        JobSpec          `json:"spec"`
	Command     JobCommand       `json:"order"`
	RequestedBy string           `json:"who,omitempty"`
	Reason      string           `json:"reason,omitempty"`
	CreatedAt   Position         `json:"since"`
	Steps       map[StepKey]Step `json:"steps"`
	Failures    int              `json:"failures"` // steps that have ended without OutcomeOK
	CloseReason CloseReason      `json:"over,omitempty"`
	Detail      string           `json:"detail,omitempty"` // of CloseReason
}

// Open reports whether the job is not closed.
func (j *Job) Open() bool { return j.CloseReason == "" }

// UnavailableNodes returns the nodes that the job has drained, or is about to drain, and that are not back in
// service.
func (j *Job) UnavailableNodes() map[string]bool {
	unavailable := make(map[string]bool)
	for key, step := range j.Steps {
		if step.StartedAt == 0 {
			continue
		}
		resume := ActionResume
		switch key.Action {
		case ActionDrain:
			if j.Steps[StepKey{key.Node, ActionRollbackDrain}].StartedAt != 0 {
				continue // the rollback of the node decides
			}
		case ActionRollbackDrain:
			resume = ActionRollbackResume
		default:
			continue
		}
		if j.Steps[StepKey{key.Node, resume}].Outcome != OutcomeOK {
			unavailable[key.Node] = true
		}
	}
	return unavailable
}
