// Package fleet is the state on which the processes of a fleet agree: entries of a log in, a state out. It does no I/O
// and reads no clock; every process that has applied the same entries has the same state.
//
// It stands whatever the log stands: the log decides which entries there are, and in which order. It trusts no clock:
// that a lease is over is an entry, proposed by who has waited. From an answer that never came nothing follows: the
// entry may be applied later or never, so each entry is harmless where it is applied twice or late.
package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// FormatVersion is the newest form of entries that this program knows. The state's own level rises only once every member of
// the council knows more, by an entry of kind Raise; an entry above the state's level is void for all alike.
const FormatVersion = 1

// Position is a place in the log.
type Position uint64

// FencingToken says which ownership an effect is done under. Of two ownerships of a work the later one has the higher token.
type FencingToken uint64

// epochBits of a token are for the position in the log, the rest for how often a council was begun anew by hand.
const epochBits = 48

// NewFencingToken is the token of an ownership that was granted at a place of the log.
func NewFencingToken(epoch uint64, at Position) FencingToken {
	return FencingToken(epoch<<epochBits | uint64(at))
}

// Kind is what an entry does.
type Kind string

// The kinds of level 1.
const (
	KindUpgradeFormat   Kind = "raise"   // the state's level
	KindAnnounceFormat  Kind = "speak"   // which level a member knows
	KindRegisterNode    Kind = "join"    // a node with its follower is there
	KindRemoveNode      Kind = "forget"  // it is not expected back
	KindGrantLease      Kind = "acquire" // a work is wanted
	KindRenewLease      Kind = "renew"   // an owner lives
	KindExpireLease     Kind = "expire"  // a lease has been waited for
	KindReleaseLease    Kind = "release" // an owner steps down
	KindRequestStepDown Kind = "ask"     // an owner is asked to
	KindRevokeLease     Kind = "push"    // an owner is pushed out: it can't renew any more
	KindStartJob        Kind = "start"   // a job
	KindControlJob      Kind = "order"   // to a job: pause, go, abort, back
	KindBeginStep       Kind = "begin"   // a step of a job is about to be done
	KindFinishStep      Kind = "done"    // what came of it
	KindCloseJob        Kind = "close"   // a job is over
	KindPublishVersion  Kind = "offer"   // the first version of a thing that nodes act on
	KindPromoteVersion  Kind = "stage"   // a job puts a version in force at more nodes
	KindRetireVersion   Kind = "retire"  // nobody gets a right to a version any more
	KindClearVersion    Kind = "clear"   // the last right to it is over
	KindDisableServers  Kind = "hold"    // servers are held out at all nodes
	KindEnableServers   Kind = "lift"    // no longer
)

// kindFormats is the level from which a kind is known.
var kindFormats = map[Kind]int{KindUpgradeFormat: 1, KindAnnounceFormat: 1, KindRegisterNode: 1, KindRemoveNode: 1, KindGrantLease: 1, KindRenewLease: 1, KindExpireLease: 1, KindReleaseLease: 1, KindRequestStepDown: 1, KindRevokeLease: 1,
	KindStartJob: 1, KindControlJob: 1, KindBeginStep: 1, KindFinishStep: 1, KindCloseJob: 1, KindPublishVersion: 1, KindPromoteVersion: 1, KindRetireVersion: 1, KindClearVersion: 1, KindDisableServers: 1, KindEnableServers: 1}

// Entry is one entry of the log. Which fields count depends on the kind.
type Entry struct {
	Kind            Kind          `json:"kind"`
	FormatVersion   int           `json:"level,omitempty"` // the state's level from which it holds; 0: 1
	SupportedFormat int           `json:"knows,omitempty"` // of Speak
	Resource        string        `json:"work,omitempty"`
	Holder          string        `json:"holder,omitempty"` // one run of a process: its name, a slash, and what no other run has
	FencingToken    FencingToken  `json:"token,omitempty"`
	Argument        uint64        `json:"seq,omitempty"` // of Expire: the renewals that were seen; of Speak: the member; of Raise: the level
	LeaseDuration   time.Duration `json:"lease,omitempty"`
	Node            *Node         `json:"node,omitempty"`
	JobID           string        `json:"job,omitempty"`
	Spec            *JobSpec      `json:"spec,omitempty"`
	Command         string        `json:"order,omitempty"`
	Step            StepKey       `json:"step,omitzero"`
	Outcome         string        `json:"outcome,omitempty"`
	Detail          string        `json:"detail,omitempty"`
	DisableOrder    *DisableOrder `json:"hold,omitempty"`
	Artifact        string        `json:"thing,omitempty"`
	Digest          string        `json:"digest,omitempty"`
	RequestedBy     string        `json:"who,omitempty"`
	Reason          string        `json:"reason,omitempty"`
}

// Marshal is the entry as the log has it.
func (e Entry) Marshal() []byte {
	raw, err := json.Marshal(e)
	if err != nil {
		panic("fleet: an entry that is no JSON: " + err.Error())
	}
	return raw
}

// Node is one node, as its follower tells of it.
type Node struct {
	Name           string  `json:"name"`
	Zone           string  `json:"zone,omitempty"`
	Address        string  `json:"address"` // of its follower
	Capacity       float64 `json:"capacity"`
	LeaseCandidate bool    `json:"owns,omitempty"` // its follower may own work
	Incarnation    string  `json:"run"`            // which run of the follower told
}

// Lease is who has a work.
type Lease struct {
	Resource            string        `json:"work"`
	Holder              string        `json:"holder"`
	FencingToken        FencingToken  `json:"token"`
	Duration            time.Duration `json:"lease"`
	Renewals            uint64        `json:"renewals"`
	StepDownRequestedBy string        `json:"asked,omitempty"`  // who asked it to step down, and why
	RevokedBy           string        `json:"pushed,omitempty"` // who pushed it out, and why: its lease runs out
	GrantedAt           Position      `json:"since"`
}

// JobSpec is what a round is to do.
type JobSpec struct {
	Kind           string        `json:"kind"`  // round
	Nodes          []string      `json:"nodes"` // in this order
	MaxUnavailable int           `json:"at_once"`
	MinCapacity    float64       `json:"need"`     // capacity that has to serve at any time
	ByZone         bool          `json:"by_zone"`  // a zone after another
	MaxFailures    int           `json:"failures"` // after so many failed steps the round stops by itself
	StepTimeout    time.Duration `json:"deadline"` // of a step; beyond it the step has failed
	DrainTimeout   time.Duration `json:"drain"`    // deadline of the drains

	// Of a rollout.
	Artifact      string     `json:"thing,omitempty"`
	Digest        string     `json:"digest,omitempty"`
	Stages        [][]string `json:"stages,omitempty"` // nodes; a last stage of all the others is understood
	MaxStragglers int        `json:"lag,omitempty"`    // so many nodes may be shut out for lagging
}

// StepKey names a step of a job: what is done, and to which node.
type StepKey struct {
	Node   string `json:"node,omitempty"`
	Action string `json:"what,omitempty"`
}

func (k StepKey) String() string { return k.Node + "/" + k.Action }

// MarshalText is String, so that steps can be the keys of JSON objects.
func (k StepKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads it.
func (k *StepKey) UnmarshalText(text []byte) error {
	i := slices.Index(text, '/')
	if i < 0 {
		return fmt.Errorf("want node/what, got %q", text)
	}
	k.Node, k.Action = string(text[:i]), string(text[i+1:])
	return nil
}

// Step is one step of a job.
type Step struct {
	StartedAt    Position     `json:"begun"`
	FencingToken FencingToken `json:"token"`           // under which it was begun, or begun again
	Attempts     int          `json:"tries,omitempty"` // ownerships that have taken it up
	FinishedAt   Position     `json:"ended,omitempty"`
	Outcome      string       `json:"outcome,omitempty"` // ok, failed, doubt
	Detail       string       `json:"detail,omitempty"`
}

// The outcomes of a step.
const (
	OutcomeOK      = "ok"
	OutcomeFailed  = "failed"
	OutcomeUnknown = "doubt" // nobody can tell whether it has run: an operator looks
)

// Job is work on behalf of the fleet.
type Job struct {
	ID          string           `json:"id"`
	Spec        JobSpec          `json:"spec"`
	Command     string           `json:"order"` // go, pause, abort, back
	RequestedBy string           `json:"who,omitempty"`
	Reason      string           `json:"reason,omitempty"`
	CreatedAt   Position         `json:"since"`
	Steps       map[StepKey]Step `json:"steps"`
	Failures    int              `json:"failures"`
	CloseReason string           `json:"over,omitempty"` // done, aborted, stopped, back: why it is over
	Detail      string           `json:"detail,omitempty"`
}

// JobRollingUpdate is the kind of work, and of job, by which nodes are taken out, patched, and taken back. The steps of a node
// follow one another; Out and BackOut take it out, In and BackIn back in.
const (
	JobRollingUpdate     = "round"
	ActionDrain          = "out"
	ActionPatch          = "patch"
	ActionResume         = "in"
	ActionRollbackDrain  = "back-out"
	ActionRevert         = "revert"
	ActionRollbackResume = "back-in"
)

// UnavailableNodes are the nodes that a job has taken out, or is about to, and that are not back.
func (j *Job) UnavailableNodes() map[string]bool {
	away := make(map[string]bool)
	for k, s := range j.Steps {
		in := ActionResume
		switch {
		case s.StartedAt == 0 || k.Action != ActionDrain && k.Action != ActionRollbackDrain:
			continue
		case k.Action == ActionRollbackDrain:
			in = ActionRollbackResume
		case j.Steps[StepKey{k.Node, ActionRollbackDrain}].StartedAt != 0:
			continue // its way back counts
		}
		if j.Steps[StepKey{k.Node, in}].Outcome != OutcomeOK {
			away[k.Node] = true
		}
	}
	return away
}

// The orders to a job.
const (
	CommandRun      = "go"
	CommandPause    = "pause"
	CommandAbort    = "abort"
	CommandRollBack = "back"
)

// DisableOrder has servers held out at all nodes.
type DisableOrder struct {
	ID          string    `json:"id"`
	Servers     []string  `json:"servers,omitempty"`
	Zones       []string  `json:"zones,omitempty"` // and all servers of these, as each node's list has them
	Until       time.Time `json:"until"`           // by the clock of whoever carries it out
	RequestedBy string    `json:"who,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	Position    Position  `json:"at"`
}

// Member is one of the council.
type Member struct {
	ID              uint64 `json:"id"` // of its disk: who lost it is another
	Name            string `json:"name"`
	Address         string `json:"address"`
	Learner         bool   `json:"learner,omitempty"`
	SupportedFormat int    `json:"level,omitempty"` // that its program knows, once it has said so
}

// State is what the fleet agrees on. It is not changed once it is there: Apply makes another.
type State struct {
	Position      Position                 `json:"at"`
	Epoch         uint64                   `json:"epoch"`
	FormatVersion int                      `json:"level"`
	Members       map[uint64]Member        `json:"members"`
	Nodes         map[string]Node          `json:"nodes"`
	Leases        map[string]Lease         `json:"owners"` // by work
	HighestTokens map[string]FencingToken  `json:"last"`   // the highest token of each work
	Jobs          map[string]*Job          `json:"jobs"`
	DisableOrders map[string]*DisableOrder `json:"holds"`
	Artifacts     map[string]*Artifact     `json:"things"`
}

// NewState is the state before the first entry.
func NewState(epoch uint64) *State { return &State{Epoch: epoch, FormatVersion: 1} }

// Bounds of a state. An entry that would go beyond is refused.
const (
	maxNodes         = 10_000
	maxJobs          = 64 // that are over go, oldest first
	maxDisableOrders = 1_000
	maxResources     = 64
	maxTextLength    = 1_024
	maxNameLength    = 64
)

// Errors of entries. An entry that is refused changes nothing but the position.
var (
	ErrConflict      = errors.New("another has the work")
	ErrLeaseLost     = errors.New("the ownership is over")
	ErrNotFound      = errors.New("there is no such thing")
	ErrAlreadyExists = errors.New("it is there already")
	ErrFormatTooNew  = errors.New("the entry is above the level that all members know")
	ErrLimitExceeded = errors.New("there is no more room")
	ErrInvalidEntry  = errors.New("the entry makes no sense")
)

// Result is what came of an entry.
type Result struct {
	Position     Position
	FencingToken FencingToken
	Err          error
}

// ErrUnsupportedFormat says that the log is above this program's level: a member that meets it stops, lest it disagree.
var ErrUnsupportedFormat = errors.New("fleet: the log is of a newer program")

// Apply is the state after an entry at a place of the log. raw that is no entry is void. The error is ErrNewer
// alone: the state can't be told by this program any more.
func (s *State) Apply(at Position, raw []byte) (*State, Result, error) {
	next := *s
	next.Position = at
	var e Entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return &next, Result{Position: at, Err: ErrInvalidEntry}, nil
	}
	if max(e.FormatVersion, 1) > s.FormatVersion {
		return &next, Result{Position: at, Err: ErrFormatTooNew}, nil
	}
	if known, ok := kindFormats[e.Kind]; !ok || known > s.FormatVersion {
		if e.FormatVersion <= 1 || !ok && e.FormatVersion <= FormatVersion {
			return &next, Result{Position: at, Err: ErrInvalidEntry}, nil
		}
		return s, Result{Position: at}, ErrUnsupportedFormat // the state's level allows it, and we don't know it
	}
	r := Result{Position: at}
	r.FencingToken, r.Err = next.apply(e)
	if r.Err != nil {
		same := *s
		same.Position = at
		return &same, r, nil
	}
	if next.FormatVersion > FormatVersion {
		return s, r, ErrUnsupportedFormat
	}
	return &next, r, nil
}

// put is a copy of m in which k is v.
func put[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	c := maps.Clone(m)
	if c == nil {
		c = make(map[K]V)
	}
	c[k] = v
	return c
}

// without is a copy of m that lacks k.
func without[K comparable, V any](m map[K]V, k K) map[K]V {
	c := maps.Clone(m)
	delete(c, k)
	return c
}

// apply changes s, which is a copy whose maps are still the former state's: they are replaced, never written.
func (s *State) apply(e Entry) (FencingToken, error) {
	if len(e.Reason) > maxTextLength || len(e.Detail) > maxTextLength || len(e.RequestedBy) > maxTextLength || len(e.Holder) > maxTextLength || len(e.Resource) > maxTextLength {
		return 0, ErrInvalidEntry
	}
	switch e.Kind {
	case KindUpgradeFormat:
		if e.Argument <= uint64(s.FormatVersion) {
			return 0, ErrAlreadyExists
		}
		s.FormatVersion = int(e.Argument)
	case KindAnnounceFormat:
		m, ok := s.Members[e.Argument]
		if !ok {
			return 0, ErrNotFound
		}
		m.SupportedFormat = e.SupportedFormat
		s.Members = put(s.Members, e.Argument, m)
	case KindRegisterNode:
		if e.Node == nil || e.Node.Name == "" || len(e.Node.Name) > maxNameLength || strings.Contains(e.Node.Name, "/") {
			return 0, ErrInvalidEntry
		}
		if _, ok := s.Nodes[e.Node.Name]; !ok && len(s.Nodes) >= maxNodes {
			return 0, ErrLimitExceeded
		}
		s.Nodes = put(s.Nodes, e.Node.Name, *e.Node)
	case KindRemoveNode:
		if e.Node == nil {
			return 0, ErrInvalidEntry
		}
		if _, ok := s.Nodes[e.Node.Name]; !ok {
			return 0, ErrNotFound
		}
		s.Nodes = without(s.Nodes, e.Node.Name)
	case KindGrantLease, KindRenewLease, KindExpireLease, KindReleaseLease, KindRequestStepDown, KindRevokeLease:
		return s.own(e)
	case KindStartJob, KindControlJob, KindBeginStep, KindFinishStep, KindCloseJob:
		return 0, s.job(e)
	case KindPublishVersion, KindPromoteVersion, KindRetireVersion, KindClearVersion:
		return 0, s.version(e)
	case KindDisableServers:
		switch h := e.DisableOrder; {
		case h == nil || h.ID == "" || len(h.Servers)+len(h.Zones) == 0 || h.Until.IsZero():
			return 0, ErrInvalidEntry
		case len(s.DisableOrders) >= maxDisableOrders:
			return 0, ErrLimitExceeded
		case s.DisableOrders[h.ID] != nil:
			return 0, ErrAlreadyExists
		default:
			h.Position, h.RequestedBy, h.Reason = s.Position, e.RequestedBy, e.Reason
			s.DisableOrders = put(s.DisableOrders, h.ID, h)
		}
	case KindEnableServers:
		if e.DisableOrder == nil || s.DisableOrders[e.DisableOrder.ID] == nil {
			return 0, ErrNotFound
		}
		s.DisableOrders = without(s.DisableOrders, e.DisableOrder.ID)
	}
	return 0, nil
}

// own applies what is said of an ownership.
func (s *State) own(e Entry) (FencingToken, error) {
	o, held := s.Leases[e.Resource]
	if e.Kind == KindGrantLease {
		switch {
		case e.Resource == "" || e.Holder == "" || e.LeaseDuration <= 0:
			return 0, ErrInvalidEntry
		case held && o.Holder != e.Holder:
			return 0, ErrConflict
		case held && o.RevokedBy != "":
			return 0, ErrLeaseLost
		case !held && len(s.HighestTokens) >= maxResources && s.HighestTokens[e.Resource] == 0:
			return 0, ErrLimitExceeded
		}
		t := NewFencingToken(s.Epoch, s.Position)
		s.Leases = put(s.Leases, e.Resource, Lease{Resource: e.Resource, Holder: e.Holder, FencingToken: t, Duration: e.LeaseDuration, GrantedAt: s.Position})
		s.HighestTokens = put(s.HighestTokens, e.Resource, t)
		return t, nil
	}
	if !held || (e.FencingToken != o.FencingToken && !(e.FencingToken == 0 && (e.Kind == KindRequestStepDown || e.Kind == KindRevokeLease))) {
		return 0, ErrLeaseLost
	}
	switch e.Kind {
	case KindRenewLease:
		if o.RevokedBy != "" {
			return 0, ErrLeaseLost
		}
		o.Renewals++
	case KindExpireLease:
		if e.Argument != o.Renewals {
			return 0, ErrConflict // it renewed while the entry was under way
		}
		s.Leases = without(s.Leases, e.Resource)
		return o.FencingToken, nil
	case KindReleaseLease:
		s.Leases = without(s.Leases, e.Resource)
		return o.FencingToken, nil
	case KindRequestStepDown:
		o.StepDownRequestedBy = e.RequestedBy + ": " + e.Reason
	case KindRevokeLease:
		o.RevokedBy = e.RequestedBy + ": " + e.Reason
	}
	s.Leases = put(s.Leases, e.Resource, o)
	return o.FencingToken, nil
}

// holdsLease says whether an entry is by the owner of a work, as the log has it.
func (s *State) holdsLease(work string, t FencingToken) bool {
	o, ok := s.Leases[work]
	return ok && o.FencingToken == t
}

// OpenJob is the job of a kind that is not over; nil where there is none.
func (s *State) OpenJob(kind string) *Job {
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		if j := s.Jobs[id]; j.CloseReason == "" && j.Spec.Kind == kind {
			return j
		}
	}
	return nil
}

// job applies what is said of a job. Steps are its owner's to tell of: an old owner's entries are refused here, and
// its effects at their receivers.
func (s *State) job(e Entry) error {
	if e.Kind == KindStartJob {
		switch {
		case e.JobID == "" || e.Spec == nil || e.Spec.Kind != JobRollout && (e.Spec.Kind == "" || len(e.Spec.Nodes) == 0 || e.Spec.MaxUnavailable < 1):
			return ErrInvalidEntry
		case e.Spec.Kind == JobRollout && !s.canStartRollout(e.Spec):
			return ErrConflict
		case s.Jobs[e.JobID] != nil:
			return ErrAlreadyExists
		}
		if s.OpenJob(e.Spec.Kind) != nil {
			return ErrConflict // of a kind one at a time
		}
		s.Jobs = put(s.Jobs, e.JobID, &Job{ID: e.JobID, Spec: *e.Spec, Command: CommandRun, RequestedBy: e.RequestedBy, Reason: e.Reason, CreatedAt: s.Position})
		s.pruneJobs()
		return nil
	}
	old := s.Jobs[e.JobID]
	if old == nil {
		return ErrNotFound
	}
	j := *old
	if j.CloseReason != "" {
		if e.Kind != KindControlJob || e.Command != CommandRollBack || j.Command == CommandRollBack {
			return ErrLeaseLost
		}
		if s.OpenJob(j.Spec.Kind) != nil {
			return ErrConflict
		}
		j.CloseReason, j.Detail = "", "" // what is over may still be taken back
	}
	switch e.Kind {
	case KindControlJob:
		if !slices.Contains([]string{CommandRun, CommandPause, CommandAbort, CommandRollBack}, e.Command) || (j.Command == CommandRollBack && e.Command != CommandPause && e.Command != CommandRollBack) {
			return ErrInvalidEntry
		}
		j.Command = e.Command
	default:
		if !s.holdsLease(j.Spec.Kind, e.FencingToken) {
			return ErrLeaseLost
		}
		if err := j.step(s, e, s.Position); err != nil {
			return err
		}
	}
	s.Jobs = put(s.Jobs, e.JobID, &j)
	return nil
}

func (j *Job) step(s *State, e Entry, at Position) error {
	st, begun := j.Steps[e.Step]
	switch e.Kind {
	case KindBeginStep:
		if st.FinishedAt != 0 {
			return ErrAlreadyExists
		}
		if !begun && (e.Step.Action == ActionDrain || e.Step.Action == ActionRollbackDrain) {
			// An owner whose last entry was never answered may not know that it is in the log.
			if away := j.UnavailableNodes(); len(away) >= j.Spec.MaxUnavailable && !away[e.Step.Node] {
				return ErrLimitExceeded
			}
		}
		if !begun {
			st.StartedAt = at
		}
		if st.FencingToken != e.FencingToken {
			st.FencingToken, st.Attempts = e.FencingToken, st.Attempts+1
		}
	case KindFinishStep:
		switch {
		case !begun:
			return ErrNotFound
		case st.FinishedAt != 0:
			return ErrAlreadyExists
		}
		st.FinishedAt, st.Outcome, st.Detail = at, e.Outcome, e.Detail
		if e.Outcome != OutcomeOK {
			j.Failures++
		}
	case KindCloseJob:
		if j.Spec.Kind == JobRollout && s.Artifacts[j.Spec.Artifact].InTransition() {
			return ErrConflict // a version is still to be cleared
		}
		j.CloseReason, j.Detail = e.Outcome, e.Detail
		return nil
	}
	j.Steps = put(j.Steps, e.Step, st)
	return nil
}

// pruneJobs keeps the jobs that go on, and the newest of the others.
func (s *State) pruneJobs() {
	for len(s.Jobs) > maxJobs {
		oldest := ""
		for id, j := range s.Jobs {
			if j.CloseReason != "" && (oldest == "" || j.CreatedAt < s.Jobs[oldest].CreatedAt) {
				oldest = id
			}
		}
		if oldest == "" {
			return
		}
		s.Jobs = without(s.Jobs, oldest)
	}
}

// WithMembers is the state with another council, at a place of the log.
func (s *State) WithMembers(at Position, m map[uint64]Member) *State {
	next := *s
	next.Position, next.Members = at, m
	return &next
}

// NextEpoch is the state of a council that an operator has begun anew on what one member has: tokens grow on.
func (s *State) NextEpoch(m Member) *State {
	next := *s
	next.Epoch++
	next.Members = map[uint64]Member{m.ID: m}
	next.Leases = nil
	return &next
}

// FormatProposals is what a member, the leader where leads says so, proposes of itself by the state: that members know a newer
// level, and that all do.
func (s *State) FormatProposals(id uint64, leads bool) (all []Entry) {
	m, ok := s.Members[id]
	if ok && m.SupportedFormat != FormatVersion {
		all = append(all, Entry{Kind: KindAnnounceFormat, Argument: id, SupportedFormat: FormatVersion})
	}
	least := FormatVersion
	for _, m := range s.Members {
		least = min(least, m.SupportedFormat)
	}
	if leads && least > s.FormatVersion {
		all = append(all, Entry{Kind: KindUpgradeFormat, Argument: uint64(least)})
	}
	return all
}

// Deferrable tells whether an entry is none that followers have to hear of at once.
func (e Entry) Deferrable() bool { return e.Kind == KindRenewLease }

// NewerThan tells whether s is ahead of o: a council that was begun anew is ahead of the former one.
func (s *State) NewerThan(o *State) bool {
	return s.Epoch > o.Epoch || s.Epoch == o.Epoch && s.Position > o.Position
}

// Marshal is the state as snapshots have it.
func (s *State) Marshal() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		panic("fleet: a state that is no JSON: " + err.Error())
	}
	return raw
}

// UnmarshalState reads a snapshot.
func UnmarshalState(raw []byte) (*State, error) {
	s := new(State)
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("fleet: the snapshot: %w", err)
	}
	if s.FormatVersion > FormatVersion {
		return nil, ErrUnsupportedFormat
	}
	return s, nil
}

// ActiveDisableOrders are the holds that are in force at a moment, in the order of their names.
func (s *State) ActiveDisableOrders(now time.Time) (all []*DisableOrder) {
	for _, id := range slices.Sorted(maps.Keys(s.DisableOrders)) {
		if h := s.DisableOrders[id]; now.Before(h.Until) {
			all = append(all, h)
		}
	}
	return all
}
