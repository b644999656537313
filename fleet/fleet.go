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

// Level is the newest form of entries that this program knows. The state's own level rises only once every member of
// the council knows more, by an entry of kind Raise; an entry above the state's level is void for all alike.
const Level = 1

// Position is a place in the log.
type Position uint64

// Token says which ownership an effect is done under. Of two ownerships of a work the later one has the higher token.
type Token uint64

// epochBits of a token are for the position in the log, the rest for how often a council was begun anew by hand.
const epochBits = 48

// MakeToken is the token of an ownership that was granted at a place of the log.
func MakeToken(epoch uint64, at Position) Token { return Token(epoch<<epochBits | uint64(at)) }

// Kind is what an entry does.
type Kind string

// The kinds of level 1.
const (
	Raise   Kind = "raise"   // the state's level
	Speak   Kind = "speak"   // which level a member knows
	Join    Kind = "join"    // a node with its follower is there
	Forget  Kind = "forget"  // it is not expected back
	Acquire Kind = "acquire" // a work is wanted
	Renew   Kind = "renew"   // an owner lives
	Expire  Kind = "expire"  // a lease has been waited for
	Release Kind = "release" // an owner steps down
	Ask     Kind = "ask"     // an owner is asked to
	Push    Kind = "push"    // an owner is pushed out: it can't renew any more
	Start   Kind = "start"   // a job
	Order   Kind = "order"   // to a job: pause, go, abort, back
	Begin   Kind = "begin"   // a step of a job is about to be done
	Done    Kind = "done"    // what came of it
	Close   Kind = "close"   // a job is over
	Offer   Kind = "offer"   // the first version of a thing that nodes act on
	Stage   Kind = "stage"   // a job puts a version in force at more nodes
	Retire  Kind = "retire"  // nobody gets a right to a version any more
	Clear   Kind = "clear"   // the last right to it is over
	Hold    Kind = "hold"    // servers are held out at all nodes
	Lift    Kind = "lift"    // no longer
)

// levelOf is the level from which a kind is known.
var levelOf = map[Kind]int{Raise: 1, Speak: 1, Join: 1, Forget: 1, Acquire: 1, Renew: 1, Expire: 1, Release: 1, Ask: 1, Push: 1,
	Start: 1, Order: 1, Begin: 1, Done: 1, Close: 1, Offer: 1, Stage: 1, Retire: 1, Clear: 1, Hold: 1, Lift: 1}

// Entry is one entry of the log. Which fields count depends on the kind.
type Entry struct {
	Kind    Kind          `json:"kind"`
	Level   int           `json:"level,omitempty"` // the state's level from which it holds; 0: 1
	Knows   int           `json:"knows,omitempty"` // of Speak
	Work    string        `json:"work,omitempty"`
	Holder  string        `json:"holder,omitempty"` // one run of a process: its name, a slash, and what no other run has
	Token   Token         `json:"token,omitempty"`
	Seq     uint64        `json:"seq,omitempty"` // of Expire: the renewals that were seen; of Speak: the member; of Raise: the level
	Lease   time.Duration `json:"lease,omitempty"`
	Node    *Node         `json:"node,omitempty"`
	Job     string        `json:"job,omitempty"`
	Spec    *Spec         `json:"spec,omitempty"`
	Order   string        `json:"order,omitempty"`
	Step    StepKey       `json:"step,omitzero"`
	Outcome string        `json:"outcome,omitempty"`
	Detail  string        `json:"detail,omitempty"`
	Hold    *HoldOrder    `json:"hold,omitempty"`
	Thing   string        `json:"thing,omitempty"`
	Digest  string        `json:"digest,omitempty"`
	Who     string        `json:"who,omitempty"`
	Reason  string        `json:"reason,omitempty"`
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
	Name     string  `json:"name"`
	Zone     string  `json:"zone,omitempty"`
	Address  string  `json:"address"` // of its follower
	Capacity float64 `json:"capacity"`
	Owns     bool    `json:"owns,omitempty"` // its follower may own work
	Run      string  `json:"run"`            // which run of the follower told
}

// Owner is who has a work.
type Owner struct {
	Work     string        `json:"work"`
	Holder   string        `json:"holder"`
	Token    Token         `json:"token"`
	Lease    time.Duration `json:"lease"`
	Renewals uint64        `json:"renewals"`
	Asked    string        `json:"asked,omitempty"`  // who asked it to step down, and why
	Pushed   string        `json:"pushed,omitempty"` // who pushed it out, and why: its lease runs out
	Since    Position      `json:"since"`
}

// Spec is what a round is to do.
type Spec struct {
	Kind     string        `json:"kind"`  // round
	Nodes    []string      `json:"nodes"` // in this order
	AtOnce   int           `json:"at_once"`
	Need     float64       `json:"need"`     // capacity that has to serve at any time
	ByZone   bool          `json:"by_zone"`  // a zone after another
	Failures int           `json:"failures"` // after so many failed steps the round stops by itself
	Deadline time.Duration `json:"deadline"` // of a step; beyond it the step has failed
	Drain    time.Duration `json:"drain"`    // deadline of the drains

	// Of a rollout.
	Thing  string     `json:"thing,omitempty"`
	Digest string     `json:"digest,omitempty"`
	Stages [][]string `json:"stages,omitempty"` // nodes; a last stage of all the others is understood
	Lag    int        `json:"lag,omitempty"`    // so many nodes may be shut out for lagging
}

// StepKey names a step of a job: what is done, and to which node.
type StepKey struct {
	Node string `json:"node,omitempty"`
	What string `json:"what,omitempty"`
}

func (k StepKey) String() string { return k.Node + "/" + k.What }

// MarshalText is String, so that steps can be the keys of JSON objects.
func (k StepKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads it.
func (k *StepKey) UnmarshalText(text []byte) error {
	i := slices.Index(text, '/')
	if i < 0 {
		return fmt.Errorf("want node/what, got %q", text)
	}
	k.Node, k.What = string(text[:i]), string(text[i+1:])
	return nil
}

// Step is one step of a job.
type Step struct {
	Begun   Position `json:"begun"`
	Token   Token    `json:"token"`           // under which it was begun, or begun again
	Tries   int      `json:"tries,omitempty"` // ownerships that have taken it up
	Ended   Position `json:"ended,omitempty"`
	Outcome string   `json:"outcome,omitempty"` // ok, failed, doubt
	Detail  string   `json:"detail,omitempty"`
}

// The outcomes of a step.
const (
	OK     = "ok"
	Failed = "failed"
	Doubt  = "doubt" // nobody can tell whether it has run: an operator looks
)

// Job is work on behalf of the fleet.
type Job struct {
	ID       string           `json:"id"`
	Spec     Spec             `json:"spec"`
	Order    string           `json:"order"` // go, pause, abort, back
	Who      string           `json:"who,omitempty"`
	Reason   string           `json:"reason,omitempty"`
	Since    Position         `json:"since"`
	Steps    map[StepKey]Step `json:"steps"`
	Failures int              `json:"failures"`
	Over     string           `json:"over,omitempty"` // done, aborted, stopped, back: why it is over
	Detail   string           `json:"detail,omitempty"`
}

// Round is the kind of work, and of job, by which nodes are taken out, patched, and taken back. The steps of a node
// follow one another; Out and BackOut take it out, In and BackIn back in.
const (
	Round   = "round"
	Out     = "out"
	Patch   = "patch"
	In      = "in"
	BackOut = "back-out"
	Revert  = "revert"
	BackIn  = "back-in"
)

// Away are the nodes that a job has taken out, or is about to, and that are not back.
func (j *Job) Away() map[string]bool {
	away := make(map[string]bool)
	for k, s := range j.Steps {
		in := In
		switch {
		case s.Begun == 0 || k.What != Out && k.What != BackOut:
			continue
		case k.What == BackOut:
			in = BackIn
		case j.Steps[StepKey{k.Node, BackOut}].Begun != 0:
			continue // its way back counts
		}
		if j.Steps[StepKey{k.Node, in}].Outcome != OK {
			away[k.Node] = true
		}
	}
	return away
}

// The orders to a job.
const (
	Go    = "go"
	Pause = "pause"
	Abort = "abort"
	Back  = "back"
)

// HoldOrder has servers held out at all nodes.
type HoldOrder struct {
	ID      string    `json:"id"`
	Servers []string  `json:"servers,omitempty"`
	Zones   []string  `json:"zones,omitempty"` // and all servers of these, as each node's list has them
	Until   time.Time `json:"until"`           // by the clock of whoever carries it out
	Who     string    `json:"who,omitempty"`
	Reason  string    `json:"reason,omitempty"`
	At      Position  `json:"at"`
}

// Member is one of the council.
type Member struct {
	ID      uint64 `json:"id"` // of its disk: who lost it is another
	Name    string `json:"name"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"`
	Level   int    `json:"level,omitempty"` // that its program knows, once it has said so
}

// State is what the fleet agrees on. It is not changed once it is there: Apply makes another.
type State struct {
	At      Position              `json:"at"`
	Epoch   uint64                `json:"epoch"`
	Level   int                   `json:"level"`
	Members map[uint64]Member     `json:"members"`
	Nodes   map[string]Node       `json:"nodes"`
	Owners  map[string]Owner      `json:"owners"` // by work
	Last    map[string]Token      `json:"last"`   // the highest token of each work
	Jobs    map[string]*Job       `json:"jobs"`
	Holds   map[string]*HoldOrder `json:"holds"`
	Things  map[string]*Thing     `json:"things"`
}

// New is the state before the first entry.
func New(epoch uint64) *State { return &State{Epoch: epoch, Level: 1} }

// Bounds of a state. An entry that would go beyond is refused.
const (
	mostNodes = 10_000
	mostJobs  = 64 // that are over go, oldest first
	mostHolds = 1_000
	mostWorks = 64
	mostText  = 1_024
	mostName  = 64
)

// Errors of entries. An entry that is refused changes nothing but the position.
var (
	ErrHeld    = errors.New("another has the work")
	ErrLost    = errors.New("the ownership is over")
	ErrUnknown = errors.New("there is no such thing")
	ErrThere   = errors.New("it is there already")
	ErrVoid    = errors.New("the entry is above the level that all members know")
	ErrFull    = errors.New("there is no more room")
	ErrBad     = errors.New("the entry makes no sense")
)

// Result is what came of an entry.
type Result struct {
	At    Position
	Token Token
	Err   error
}

// ErrNewer says that the log is above this program's level: a member that meets it stops, lest it disagree.
var ErrNewer = errors.New("fleet: the log is of a newer program")

// Apply is the state after an entry at a place of the log. raw that is no entry is void. The error is ErrNewer
// alone: the state can't be told by this program any more.
func (s *State) Apply(at Position, raw []byte) (*State, Result, error) {
	next := *s
	next.At = at
	var e Entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return &next, Result{At: at, Err: ErrBad}, nil
	}
	if max(e.Level, 1) > s.Level {
		return &next, Result{At: at, Err: ErrVoid}, nil
	}
	if known, ok := levelOf[e.Kind]; !ok || known > s.Level {
		if e.Level <= 1 || !ok && e.Level <= Level {
			return &next, Result{At: at, Err: ErrBad}, nil
		}
		return s, Result{At: at}, ErrNewer // the state's level allows it, and we don't know it
	}
	r := Result{At: at}
	r.Token, r.Err = next.apply(e)
	if r.Err != nil {
		same := *s
		same.At = at
		return &same, r, nil
	}
	if next.Level > Level {
		return s, r, ErrNewer
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
func (s *State) apply(e Entry) (Token, error) {
	if len(e.Reason) > mostText || len(e.Detail) > mostText || len(e.Who) > mostText || len(e.Holder) > mostText || len(e.Work) > mostText {
		return 0, ErrBad
	}
	switch e.Kind {
	case Raise:
		if e.Seq <= uint64(s.Level) {
			return 0, ErrThere
		}
		s.Level = int(e.Seq)
	case Speak:
		m, ok := s.Members[e.Seq]
		if !ok {
			return 0, ErrUnknown
		}
		m.Level = e.Knows
		s.Members = put(s.Members, e.Seq, m)
	case Join:
		if e.Node == nil || e.Node.Name == "" || len(e.Node.Name) > mostName || strings.Contains(e.Node.Name, "/") {
			return 0, ErrBad
		}
		if _, ok := s.Nodes[e.Node.Name]; !ok && len(s.Nodes) >= mostNodes {
			return 0, ErrFull
		}
		s.Nodes = put(s.Nodes, e.Node.Name, *e.Node)
	case Forget:
		if e.Node == nil {
			return 0, ErrBad
		}
		if _, ok := s.Nodes[e.Node.Name]; !ok {
			return 0, ErrUnknown
		}
		s.Nodes = without(s.Nodes, e.Node.Name)
	case Acquire, Renew, Expire, Release, Ask, Push:
		return s.own(e)
	case Start, Order, Begin, Done, Close:
		return 0, s.job(e)
	case Offer, Stage, Retire, Clear:
		return 0, s.version(e)
	case Hold:
		switch h := e.Hold; {
		case h == nil || h.ID == "" || len(h.Servers)+len(h.Zones) == 0 || h.Until.IsZero():
			return 0, ErrBad
		case len(s.Holds) >= mostHolds:
			return 0, ErrFull
		case s.Holds[h.ID] != nil:
			return 0, ErrThere
		default:
			h.At, h.Who, h.Reason = s.At, e.Who, e.Reason
			s.Holds = put(s.Holds, h.ID, h)
		}
	case Lift:
		if e.Hold == nil || s.Holds[e.Hold.ID] == nil {
			return 0, ErrUnknown
		}
		s.Holds = without(s.Holds, e.Hold.ID)
	}
	return 0, nil
}

// own applies what is said of an ownership.
func (s *State) own(e Entry) (Token, error) {
	o, held := s.Owners[e.Work]
	if e.Kind == Acquire {
		switch {
		case e.Work == "" || e.Holder == "" || e.Lease <= 0:
			return 0, ErrBad
		case held && o.Holder != e.Holder:
			return 0, ErrHeld
		case held && o.Pushed != "":
			return 0, ErrLost
		case !held && len(s.Last) >= mostWorks && s.Last[e.Work] == 0:
			return 0, ErrFull
		}
		t := MakeToken(s.Epoch, s.At)
		s.Owners = put(s.Owners, e.Work, Owner{Work: e.Work, Holder: e.Holder, Token: t, Lease: e.Lease, Since: s.At})
		s.Last = put(s.Last, e.Work, t)
		return t, nil
	}
	if !held || (e.Token != o.Token && !(e.Token == 0 && (e.Kind == Ask || e.Kind == Push))) {
		return 0, ErrLost
	}
	switch e.Kind {
	case Renew:
		if o.Pushed != "" {
			return 0, ErrLost
		}
		o.Renewals++
	case Expire:
		if e.Seq != o.Renewals {
			return 0, ErrHeld // it renewed while the entry was under way
		}
		s.Owners = without(s.Owners, e.Work)
		return o.Token, nil
	case Release:
		s.Owners = without(s.Owners, e.Work)
		return o.Token, nil
	case Ask:
		o.Asked = e.Who + ": " + e.Reason
	case Push:
		o.Pushed = e.Who + ": " + e.Reason
	}
	s.Owners = put(s.Owners, e.Work, o)
	return o.Token, nil
}

// owns says whether an entry is by the owner of a work, as the log has it.
func (s *State) owns(work string, t Token) bool {
	o, ok := s.Owners[work]
	return ok && o.Token == t
}

// Open is the job of a kind that is not over; nil where there is none.
func (s *State) Open(kind string) *Job {
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		if j := s.Jobs[id]; j.Over == "" && j.Spec.Kind == kind {
			return j
		}
	}
	return nil
}

// job applies what is said of a job. Steps are its owner's to tell of: an old owner's entries are refused here, and
// its effects at their receivers.
func (s *State) job(e Entry) error {
	if e.Kind == Start {
		switch {
		case e.Job == "" || e.Spec == nil || e.Spec.Kind != Rollout && (e.Spec.Kind == "" || len(e.Spec.Nodes) == 0 || e.Spec.AtOnce < 1):
			return ErrBad
		case e.Spec.Kind == Rollout && !s.mayRoll(e.Spec):
			return ErrHeld
		case s.Jobs[e.Job] != nil:
			return ErrThere
		}
		if s.Open(e.Spec.Kind) != nil {
			return ErrHeld // of a kind one at a time
		}
		s.Jobs = put(s.Jobs, e.Job, &Job{ID: e.Job, Spec: *e.Spec, Order: Go, Who: e.Who, Reason: e.Reason, Since: s.At})
		s.forgetJobs()
		return nil
	}
	old := s.Jobs[e.Job]
	if old == nil {
		return ErrUnknown
	}
	j := *old
	if j.Over != "" {
		if e.Kind != Order || e.Order != Back || j.Order == Back {
			return ErrLost
		}
		if s.Open(j.Spec.Kind) != nil {
			return ErrHeld
		}
		j.Over, j.Detail = "", "" // what is over may still be taken back
	}
	switch e.Kind {
	case Order:
		if !slices.Contains([]string{Go, Pause, Abort, Back}, e.Order) || (j.Order == Back && e.Order != Pause && e.Order != Back) {
			return ErrBad
		}
		j.Order = e.Order
	default:
		if !s.owns(j.Spec.Kind, e.Token) {
			return ErrLost
		}
		if err := j.step(s, e, s.At); err != nil {
			return err
		}
	}
	s.Jobs = put(s.Jobs, e.Job, &j)
	return nil
}

func (j *Job) step(s *State, e Entry, at Position) error {
	st, begun := j.Steps[e.Step]
	switch e.Kind {
	case Begin:
		if st.Ended != 0 {
			return ErrThere
		}
		if !begun && (e.Step.What == Out || e.Step.What == BackOut) {
			// An owner whose last entry was never answered may not know that it is in the log.
			if away := j.Away(); len(away) >= j.Spec.AtOnce && !away[e.Step.Node] {
				return ErrFull
			}
		}
		if !begun {
			st.Begun = at
		}
		if st.Token != e.Token {
			st.Token, st.Tries = e.Token, st.Tries+1
		}
	case Done:
		switch {
		case !begun:
			return ErrUnknown
		case st.Ended != 0:
			return ErrThere
		}
		st.Ended, st.Outcome, st.Detail = at, e.Outcome, e.Detail
		if e.Outcome != OK {
			j.Failures++
		}
	case Close:
		if j.Spec.Kind == Rollout && s.Things[j.Spec.Thing].Two() {
			return ErrHeld // a version is still to be cleared
		}
		j.Over, j.Detail = e.Outcome, e.Detail
		return nil
	}
	j.Steps = put(j.Steps, e.Step, st)
	return nil
}

// forgetJobs keeps the jobs that go on, and the newest of the others.
func (s *State) forgetJobs() {
	for len(s.Jobs) > mostJobs {
		oldest := ""
		for id, j := range s.Jobs {
			if j.Over != "" && (oldest == "" || j.Since < s.Jobs[oldest].Since) {
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
	next.At, next.Members = at, m
	return &next
}

// Anew is the state of a council that an operator has begun anew on what one member has: tokens grow on.
func (s *State) Anew(m Member) *State {
	next := *s
	next.Epoch++
	next.Members = map[uint64]Member{m.ID: m}
	next.Owners = nil
	return &next
}

// Wanted is what a member, the leader where leads says so, proposes of itself by the state: that members know a newer
// level, and that all do.
func (s *State) Wanted(id uint64, leads bool) (all []Entry) {
	m, ok := s.Members[id]
	if ok && m.Level != Level {
		all = append(all, Entry{Kind: Speak, Seq: id, Knows: Level})
	}
	least := Level
	for _, m := range s.Members {
		least = min(least, m.Level)
	}
	if leads && least > s.Level {
		all = append(all, Entry{Kind: Raise, Seq: uint64(least)})
	}
	return all
}

// Quiet tells whether an entry is none that followers have to hear of at once.
func (e Entry) Quiet() bool { return e.Kind == Renew }

// Newer tells whether s is ahead of o: a council that was begun anew is ahead of the former one.
func (s *State) Newer(o *State) bool {
	return s.Epoch > o.Epoch || s.Epoch == o.Epoch && s.At > o.At
}

// Marshal is the state as snapshots have it.
func (s *State) Marshal() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		panic("fleet: a state that is no JSON: " + err.Error())
	}
	return raw
}

// Unmarshal reads a snapshot.
func Unmarshal(raw []byte) (*State, error) {
	s := new(State)
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("fleet: the snapshot: %w", err)
	}
	if s.Level > Level {
		return nil, ErrNewer
	}
	return s, nil
}

// Held are the holds that are in force at a moment, in the order of their names.
func (s *State) Held(now time.Time) (all []*HoldOrder) {
	for _, id := range slices.Sorted(maps.Keys(s.Holds)) {
		if h := s.Holds[id]; now.Before(h.Until) {
			all = append(all, h)
		}
	}
	return all
}
