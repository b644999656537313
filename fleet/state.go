package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// FormatVersion is the newest format version of entries and states that this program supports. An entry of
// KindUpgradeFormat raises the version of the state once every member supports a newer version. All members reject an
// entry whose format version is above that of the state.
const FormatVersion = 1

// Limits of a state. An entry that would exceed a limit is rejected, except that maxJobs removes closed jobs instead.
const (
	maxNodes         = 10_000
	maxJobs          = 64 // above it, closed jobs are removed, oldest first
	maxDisableOrders = 1_000
	maxResources     = 64
	maxArtifacts     = 64
	maxTextLength    = 1_024 // bytes
	maxNameLength    = 64    // bytes
)

// Node is a node of the fleet, as registered by its agent.
type Node struct {
	Name     string  `json:"name"`
	Zone     string  `json:"zone,omitempty"`
	Address  string  `json:"address"` // IP:port of the agent
	Capacity float64 `json:"capacity"`
	// LeaseCandidate reports whether the agent may hold leases.
	LeaseCandidate bool `json:"owns,omitempty"`
	// Incarnation identifies the run of the agent process that registered the node.
	Incarnation string `json:"run"`
}

// Member is one member of the consensus group.
type Member struct {
	ID      uint64 `json:"id"` // created with the storage: a member that lost its storage has a new ID
	Name    string `json:"name"`
	Address string `json:"address"`           // IP:port
	Learner bool   `json:"learner,omitempty"` // whether the member receives the log without a vote
	// SupportedFormat is the newest format version that the member's program supports; 0: not announced yet.
	SupportedFormat int `json:"level,omitempty"`
}

// State is the agreed state of the fleet. A State is immutable: Apply, WithMembers and NextEpoch return a new State.
// States share their maps and the values behind pointers, so nothing may write to these maps and values.
type State struct {
	Position      Position                 `json:"at"`    // position of the last entry applied
	Epoch         uint64                   `json:"epoch"` // raised whenever an operator forces a new cluster
	FormatVersion int                      `json:"level"`
	Members       map[uint64]Member        `json:"members"` // by ID
	Nodes         map[string]Node          `json:"nodes"`   // by name
	Leases        map[string]Lease         `json:"owners"`  // by resource
	HighestTokens map[string]FencingToken  `json:"last"`    // by resource; includes leases that have ended
	Jobs          map[string]*Job          `json:"jobs"`    // by ID
	DisableOrders map[string]*DisableOrder `json:"holds"`   // by ID
	Artifacts     map[string]*Artifact     `json:"things"`  // by name
}

// NewState returns the state before the first entry of an epoch.
func NewState(epoch uint64) *State { return &State{Epoch: epoch, FormatVersion: 1} }

// UnmarshalState decodes a snapshot. It returns ErrUnsupportedFormat if the format version is too new.
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

// Marshal encodes the state as a snapshot.
func (s *State) Marshal() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		panic("fleet: encoding a state: " + err.Error())
	}
	return raw
}

// NewerThan reports whether s has a later epoch than other, or a later position in the same epoch.
func (s *State) NewerThan(other *State) bool {
	return s.Epoch > other.Epoch || s.Epoch == other.Epoch && s.Position > other.Position
}

// WithMembers returns the state after the log entry at position, which changes the membership to members.
func (s *State) WithMembers(position Position, members map[uint64]Member) *State {
	next := *s
	next.Position, next.Members = position, members
	return &next
}

// NextEpoch returns the state of a new cluster that an operator forces with member as the only member. All leases
// end. Fencing tokens that are granted in the new epoch are higher than all earlier tokens.
func (s *State) NextEpoch(member Member) *State {
	next := *s
	next.Epoch++
	next.Members = map[uint64]Member{member.ID: member}
	next.Leases = nil
	return &next
}

// FormatProposals returns the entries about format versions that the member with the ID memberID proposes on its own.
// The member announces the version that it supports. If isLeader is set, the member also proposes the upgrade to the
// newest version that all members support.
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

// OpenJob returns the open job of a kind; nil if there is none.
func (s *State) OpenJob(kind JobKind) *Job {
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		if job := s.Jobs[id]; job.Open() && job.Spec.Kind == kind {
			return job
		}
	}
	return nil
}

// ActiveDisableOrders returns the disable orders that have not ended at now, ordered by ID. now is a time of the
// caller's wall clock.
func (s *State) ActiveDisableOrders(now time.Time) []*DisableOrder {
	var active []*DisableOrder
	for _, id := range slices.Sorted(maps.Keys(s.DisableOrders)) {
		if order := s.DisableOrders[id]; now.Before(order.Until) {
			active = append(active, order)
		}
	}
	return active
}

// withKey returns a copy of m in which key maps to value.
func withKey[K comparable, V any](m map[K]V, key K, value V) map[K]V {
	clone := maps.Clone(m)
	if clone == nil {
		clone = make(map[K]V)
	}
	clone[key] = value
	return clone
}

// withoutKey returns a copy of m without key.
func withoutKey[K comparable, V any](m map[K]V, key K) map[K]V {
	clone := maps.Clone(m)
	delete(clone, key)
	return clone
}
