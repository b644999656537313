package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// FormatVersion is the newest format version of entries and states that this program supports. The version of the
// state is raised, by an entry of KindUpgradeFormat, only once every member supports a newer one; an entry above the
// version of the state is rejected by all members alike.
const FormatVersion = 1

// Limits of a state. An entry that would exceed one is rejected.
const (
	maxNodes         = 10_000
	maxJobs          = 64 // beyond them closed jobs are removed, oldest first
	maxDisableOrders = 1_000
	maxResources     = 64
	maxArtifacts     = 64
	maxTextLength    = 1_024 // bytes
	maxNameLength    = 64    // bytes
)

// Node is one node of the fleet, as the agent beside it has registered it.
type Node struct {
	Name     string  `json:"name"`
	Zone     string  `json:"zone,omitempty"`
	Address  string  `json:"address"` // of its agent, as IP:port
	Capacity float64 `json:"capacity"`
	// LeaseCandidate says that its agent may hold leases.
	LeaseCandidate bool `json:"owns,omitempty"`
	// Incarnation identifies the run of the agent that has registered the node.
	Incarnation string `json:"run"`
}

// Member is one member of the consensus group.
type Member struct {
	ID      uint64 `json:"id"` // drawn with its storage: a member that has lost it comes back as another
	Name    string `json:"name"`
	Address string `json:"address"`           // IP:port
	Learner bool   `json:"learner,omitempty"` // it receives the log and does not vote
	// SupportedFormat is the newest format version that its program supports; 0 until it has announced one.
	SupportedFormat int `json:"level,omitempty"`
}

// State is the agreed state of the fleet. It is immutable: Apply and the With methods return a new one. Maps and what
// they point at are shared between states, and must not be written.
type State struct {
	Position      Position                 `json:"at"`    // of the last entry applied
	Epoch         uint64                   `json:"epoch"` // how often a cluster was begun; see NextEpoch
	FormatVersion int                      `json:"level"`
	Members       map[uint64]Member        `json:"members"` // by ID
	Nodes         map[string]Node          `json:"nodes"`   // by name
	Leases        map[string]Lease         `json:"owners"`  // by resource
	HighestTokens map[string]FencingToken  `json:"last"`    // by resource, of leases that have ended, too
	Jobs          map[string]*Job          `json:"jobs"`    // by ID
	DisableOrders map[string]*DisableOrder `json:"holds"`   // by ID
	Artifacts     map[string]*Artifact     `json:"things"`  // by name
}

// NewState returns the state before the first entry of an epoch.
func NewState(epoch uint64) *State { return &State{Epoch: epoch, FormatVersion: 1} }

// UnmarshalState reads a snapshot. It returns ErrUnsupportedFormat for one of a newer program.
func UnmarshalState(raw []byte) (*State, error) {
	state := new(State)
	if err := json.Unmarshal(raw, state); err != nil {
		return nil, fmt.Errorf("fleet: decoding a snapshot: %w", err)
	}
	if state.FormatVersion > FormatVersion {
		return nil, ErrUnsupportedFormat
	}
	return state, nil
}

// Marshal returns the state as snapshots store it.
func (s *State) Marshal() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		panic("fleet: encoding a state: " + err.Error())
	}
	return raw
}

// NewerThan reports whether s is ahead of other. A later epoch is ahead of every position of an earlier one.
func (s *State) NewerThan(other *State) bool {
	return s.Epoch > other.Epoch || s.Epoch == other.Epoch && s.Position > other.Position
}

// WithMembers returns the state with another membership, which takes effect at a position.
func (s *State) WithMembers(position Position, members map[uint64]Member) *State {
	next := *s
	next.Position, next.Members = position, members
	return &next
}

// NextEpoch returns the state of a cluster that an operator has forced to a single member. All leases end; fencing
// tokens granted from then on are higher than all earlier ones.
func (s *State) NextEpoch(member Member) *State {
	next := *s
	next.Epoch++
	next.Members = map[uint64]Member{member.ID: member}
	next.Leases = nil
	return &next
}

// FormatProposals returns the entries about format versions that a member proposes by itself: the version that it
// supports, and, as the leader, the upgrade to a version that all members support.
func (s *State) FormatProposals(memberID uint64, isLeader bool) []Entry {
	var proposals []Entry
	if member, ok := s.Members[memberID]; ok && member.SupportedFormat != FormatVersion {
		announce := Entry{Kind: KindAnnounceFormat, Argument: memberID, SupportedFormat: FormatVersion}
		proposals = append(proposals, announce)
	}
	supportedByAll := FormatVersion
	for _, member := range s.Members {
		supportedByAll = min(supportedByAll, member.SupportedFormat)
	}
	if isLeader && supportedByAll > s.FormatVersion {
		proposals = append(proposals, Entry{Kind: KindUpgradeFormat, Argument: uint64(supportedByAll)})
	}
	return proposals
}

// OpenJob returns the job of a kind that is not closed; nil if there is none.
func (s *State) OpenJob(kind JobKind) *Job {
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		if job := s.Jobs[id]; job.Open() && job.Spec.Kind == kind {
			return job
		}
	}
	return nil
}

// ActiveDisableOrders returns the disable orders in force at a moment of the caller's wall clock, ordered by ID.
func (s *State) ActiveDisableOrders(now time.Time) []*DisableOrder {
	var active []*DisableOrder
	for _, id := range slices.Sorted(maps.Keys(s.DisableOrders)) {
		if order := s.DisableOrders[id]; now.Before(order.Until) {
			active = append(active, order)
		}
	}
	return active
}

// withKey returns a copy of m in which key has a value.
func withKey[K comparable, V any](m map[K]V, key K, value V) map[K]V {
	clone := maps.Clone(m)
	if clone == nil {
		clone = make(map[K]V)
	}
	clone[key] = value
	return clone
}

// withoutKey returns a copy of m that lacks a key.
func withoutKey[K comparable, V any](m map[K]V, key K) map[K]V {
	clone := maps.Clone(m)
	delete(clone, key)
	return clone
}
