package fleet

import (
	"encoding/json"
	"errors"
	"strings"
)

// Result is the outcome of one entry.
type Result struct {
	Position     Position
	FencingToken FencingToken // of the lease that the entry is about; 0 for other entries
	Err          error        // why the entry was rejected; nil if it was accepted
}

// kindSpec says how the entries of a kind are applied.
type kindSpec struct {
	format int // the format version that introduced the kind
	apply  func(*State, Entry) (FencingToken, error)
}

// kinds are the kinds of entries that this program supports.
var kinds = map[Kind]kindSpec{
	KindUpgradeFormat:   {1, tokenless((*State).applyUpgradeFormat)},
	KindAnnounceFormat:  {1, tokenless((*State).applyAnnounceFormat)},
	KindRegisterNode:    {1, tokenless((*State).applyRegisterNode)},
	KindRemoveNode:      {1, tokenless((*State).applyRemoveNode)},
	KindGrantLease:      {1, (*State).applyGrantLease},
	KindRenewLease:      {1, (*State).applyRenewLease},
	KindExpireLease:     {1, (*State).applyExpireLease},
	KindReleaseLease:    {1, (*State).applyReleaseLease},
	KindRequestStepDown: {1, (*State).applyRequestStepDown},
	KindRevokeLease:     {1, (*State).applyRevokeLease},
	KindStartJob:        {1, tokenless((*State).applyStartJob)},
	KindControlJob:      {1, tokenless((*State).applyControlJob)},
	KindBeginStep:       {1, tokenless((*State).applyBeginStep)},
	KindFinishStep:      {1, tokenless((*State).applyFinishStep)},
	KindCloseJob:        {1, tokenless((*State).applyCloseJob)},
	KindPublishVersion:  {1, tokenless((*State).applyPublishVersion)},
	KindPromoteVersion:  {1, tokenless((*State).applyPromoteVersion)},
	KindRetireVersion:   {1, tokenless((*State).applyRetireVersion)},
	KindClearVersion:    {1, tokenless((*State).applyClearVersion)},
	KindDisableServers:  {1, tokenless((*State).applyDisableServers)},
	KindEnableServers:   {1, tokenless((*State).applyEnableServers)},
}

// tokenless adapts the apply method of a kind whose results carry no fencing token.
func tokenless(apply func(*State, Entry) error) func(*State, Entry) (FencingToken, error) {
	return func(state *State, entry Entry) (FencingToken, error) { return 0, apply(state, entry) }
}

// Apply returns the state after an entry at a position of the log, and the outcome of the entry. Bytes that are no
// entry are rejected like an invalid one. The only error is ErrUnsupportedFormat: the entry needs a newer program,
// and the caller must not apply any further one.
func (s *State) Apply(position Position, raw []byte) (*State, Result, error) {
	result := Result{Position: position}
	var entry Entry
	if err := json.Unmarshal(raw, &entry); err != nil {
		result.Err = ErrInvalidEntry
		return s.at(position), result, nil
	}
	spec, err := s.kindOf(entry)
	if errors.Is(err, ErrUnsupportedFormat) {
		return s, result, err
	}
	if err != nil {
		result.Err = err
		return s.at(position), result, nil
	}
	next := s.at(position)
	result.FencingToken, result.Err = next.apply(spec, entry)
	if result.Err != nil {
		return s.at(position), result, nil
	}
	if next.FormatVersion > FormatVersion {
		return s, result, ErrUnsupportedFormat
	}
	return next, result, nil
}

// at returns a copy of the state at another position.
func (s *State) at(position Position) *State {
	next := *s
	next.Position = position
	return &next
}

// kindOf returns how an entry is applied, the reason to reject it, or ErrUnsupportedFormat where the format version
// of the state allows the entry and this program does not support it.
func (s *State) kindOf(entry Entry) (kindSpec, error) {
	if max(entry.FormatVersion, 1) > s.FormatVersion {
		return kindSpec{}, ErrFormatTooNew
	}
	spec, known := kinds[entry.Kind]
	switch {
	case known && spec.format <= s.FormatVersion:
		return spec, nil
	case entry.FormatVersion <= 1, !known && entry.FormatVersion <= FormatVersion:
		return kindSpec{}, ErrInvalidEntry
	}
	return kindSpec{}, ErrUnsupportedFormat
}

// apply changes s, a copy whose maps are still those of the former state: they are replaced, never written.
func (s *State) apply(spec kindSpec, entry Entry) (FencingToken, error) {
	for _, text := range []string{entry.Reason, entry.Detail, entry.RequestedBy, entry.Holder, entry.Resource} {
		if len(text) > maxTextLength {
			return 0, ErrInvalidEntry
		}
	}
	return spec.apply(s, entry)
}

func (s *State) applyUpgradeFormat(entry Entry) error {
	if entry.Argument <= uint64(s.FormatVersion) {
		return ErrAlreadyExists
	}
	s.FormatVersion = int(entry.Argument)
	return nil
}

func (s *State) applyAnnounceFormat(entry Entry) error {
	member, ok := s.Members[entry.Argument]
	if !ok {
		return ErrNotFound
	}
	member.SupportedFormat = entry.SupportedFormat
	s.Members = withKey(s.Members, entry.Argument, member)
	return nil
}

func (s *State) applyRegisterNode(entry Entry) error {
	node := entry.Node
	if node == nil || node.Name == "" || len(node.Name) > maxNameLength || strings.Contains(node.Name, "/") {
		return ErrInvalidEntry
	}
	if _, ok := s.Nodes[node.Name]; !ok && len(s.Nodes) >= maxNodes {
		return ErrLimitExceeded
	}
	s.Nodes = withKey(s.Nodes, node.Name, *node)
	return nil
}

func (s *State) applyRemoveNode(entry Entry) error {
	if entry.Node == nil {
		return ErrInvalidEntry
	}
	if _, ok := s.Nodes[entry.Node.Name]; !ok {
		return ErrNotFound
	}
	s.Nodes = withoutKey(s.Nodes, entry.Node.Name)
	return nil
}
