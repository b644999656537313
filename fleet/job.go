package fleet

import (
	"fmt"
	"strings"
	"time"
)

// JobKind is a kind of job. The holder of the lease of the same name runs the jobs of a kind, one at a time.
type JobKind string

// The kinds of jobs.
const (
	// JobRollingUpdate drains nodes one after another, has each patched, and resumes it.
	JobRollingUpdate JobKind = "round"
	// JobRollout introduces a version of an artifact, one stage of nodes after another.
	JobRollout JobKind = "rollout"
)

// Resource is the name of the lease whose holder runs jobs of the kind.
func (k JobKind) Resource() string { return string(k) }

// The resources whose lease holders run jobs.
const (
	ResourceRollingUpdate = string(JobRollingUpdate)
	ResourceRollout       = string(JobRollout)
)

// JobCommand is an operator's command to a job.
type JobCommand string

// The commands to a job.
const (
	CommandRun      JobCommand = "go"
	CommandPause    JobCommand = "pause" // begin no further steps
	CommandAbort    JobCommand = "abort" // finish the nodes in progress, then close the job
	CommandRollBack JobCommand = "back"  // undo the job's steps, starting with the last node
)

// valid reports whether the command is a known one.
func (c JobCommand) valid() bool {
	switch c {
	case CommandRun, CommandPause, CommandAbort, CommandRollBack:
		return true
	}
	return false
}

// CloseReason is why a job is closed; empty while it is open.
type CloseReason string

// The reasons for which jobs are closed.
const (
	ClosedDone       CloseReason = "done"
	ClosedAborted    CloseReason = "aborted" // an operator aborted the job
	ClosedStopped    CloseReason = "stopped" // the job stopped itself: too many failures, or a step of unknown outcome
	ClosedRolledBack CloseReason = "back"
)

// JobSpec specifies what a job does.
type JobSpec struct {
	Kind           JobKind  `json:"kind"`
	Nodes          []string `json:"nodes"`   // nodes of a rolling update, in the order in which they are updated
	MaxUnavailable int      `json:"at_once"` // maximum number of nodes that are drained at a time
	// MinCapacity is the capacity that the serving nodes must keep, in the unit of Node.Capacity.
	MinCapacity float64 `json:"need"`
	ByZone      bool    `json:"by_zone"` // whether one zone is finished before the next begins
	// MaxFailures is the number of failed steps that stops the job; 0 means that failures never stop it.
	MaxFailures  int           `json:"failures"`
	StepTimeout  time.Duration `json:"deadline"`
	DrainTimeout time.Duration `json:"drain"`

	Artifact string `json:"thing,omitempty"`  // name of the artifact of a rollout
	Digest   string `json:"digest,omitempty"` // digest of the version that a rollout introduces
	// Stages are the nodes of each stage of a rollout; a last stage of all other nodes is implied.
	Stages [][]string `json:"stages,omitempty"`
	// MaxStragglers is the number of nodes for which a rollout does not wait, and which lose their version lease.
	MaxStragglers int `json:"lag,omitempty"`
}

// valid reports whether a job can be started from the specification.
func (s *JobSpec) valid() bool {
	if s.Kind == JobRollout {
		return true // State.canStartRollout checks the specification
	}
	return s.Kind != "" && len(s.Nodes) > 0 && s.MaxUnavailable >= 1
}

// StepAction is what a step of a rolling update does to its node.
type StepAction string

// The actions of steps, in the order in which a node goes through them. The last three undo the first three.
const (
	ActionDrain          StepAction = "out"
	ActionPatch          StepAction = "patch"
	ActionResume         StepAction = "in"
	ActionRollbackDrain  StepAction = "back-out"
	ActionRevert         StepAction = "revert"
	ActionRollbackResume StepAction = "back-in"
)

// stepKeySeparator separates node and action in the text form of a step key. Names of nodes do not contain it.
const stepKeySeparator = "/"

// StepKey identifies a step of a job: an action and the node that it acts on.
type StepKey struct {
	Node   string     `json:"node,omitempty"`
	Action StepAction `json:"what,omitempty"`
}

func (k StepKey) String() string { return k.Node + stepKeySeparator + string(k.Action) }

// MarshalText returns the key as "node/action", so that step keys can be keys of JSON objects.
func (k StepKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses "node/action".
func (k *StepKey) UnmarshalText(text []byte) error {
	node, action, ok := strings.Cut(string(text), stepKeySeparator)
	if !ok {
		return fmt.Errorf("fleet: step key %q is not of the form node/action", text)
	}
	k.Node, k.Action = node, StepAction(action)
	return nil
}

// StepOutcome is the outcome of a step; empty while the step has not ended.
type StepOutcome string

// The outcomes of a step.
const (
	OutcomeOK      StepOutcome = "ok"
	OutcomeFailed  StepOutcome = "failed"
	OutcomeUnknown StepOutcome = "doubt" // the step may have been carried out or not: an operator has to check
)

// Step is the progress of one step of a job.
type Step struct {
	StartedAt    Position     `json:"begun"`           // position of the entry that began the step; 0: not begun
	FencingToken FencingToken `json:"token"`           // token under which the step was last begun
	Attempts     int          `json:"tries,omitempty"` // number of grants of the lease under which it was begun
	FinishedAt   Position     `json:"ended,omitempty"` // position of the entry with the outcome; 0: not finished
	Outcome      StepOutcome  `json:"outcome,omitempty"`
	Detail       string       `json:"detail,omitempty"`
}

// Job is a rolling update or a rollout. Its progress is in the state, so another process can continue it if the one
// that runs it stops.
type Job struct {
	ID          string           `json:"id"`
	Spec        JobSpec          `json:"spec"`
	Command     JobCommand       `json:"order"`
	RequestedBy string           `json:"who,omitempty"`
	Reason      string           `json:"reason,omitempty"`
	CreatedAt   Position         `json:"since"`
	Steps       map[StepKey]Step `json:"steps"`
	Failures    int              `json:"failures"` // number of steps that ended with another outcome than OutcomeOK
	CloseReason CloseReason      `json:"over,omitempty"`
	Detail      string           `json:"detail,omitempty"` // details of CloseReason
}

// Open reports whether the job is not closed.
func (j *Job) Open() bool { return j.CloseReason == "" }

// UnavailableNodes returns the nodes that the job has drained, or is about to drain, and has not resumed.
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
				continue // the node's rollback steps decide instead
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
