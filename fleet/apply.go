package fleet

import (
	"encoding/json"
	"errors"
	"strings"
)

// Result is the outcome of one entry.
type Result struct {
	Position     Position
	FencingToken FencingToken // token of the entry's lease; 0: the entry concerns no lease
	Err          error        // reason for the rejection; nil: the entry was accepted
}

// kindSpec describes how entries of one kind are applied.
type kindSpec struct {
	format int // format version that introduced the kind
	apply  func(*State, Entry) (FencingToken, error)
}

// kinds are the kinds of entries that this version of the program supports.
var kinds = map[Kind]kindSpec{
	KindUpgradeFormat:   {1, withoutToken((*State).applyUpgradeFormat)},
	KindAnnounceFormat:  {1, withoutToken((*State).applyAnnounceFormat)},
	KindRegisterNode:    {1, withoutToken((*State).applyRegisterNode)},
	KindRemoveNode:      {1, withoutToken((*State).applyRemoveNode)},
	KindGrantLease:      {1, (*State).applyGrantLease},
	KindRenewLease:      {1, (*State).applyRenewLease},
	KindExpireLease:     {1, (*State).applyExpireLease},
	KindReleaseLease:    {1, (*State).applyReleaseLease},
	KindRequestStepDown: {1, (*State).applyRequestStepDown},
	KindRevokeLease:     {1, (*State).applyRevokeLease},
	KindStartJob:        {1, withoutToken((*State).applyStartJob)},
	KindControlJob:      {1, withoutToken((*State).applyControlJob)},
	KindBeginStep:       {1, withoutToken((*State).applyBeginStep)},
	KindFinishStep:      {1, withoutToken((*State).applyFinishStep)},
	KindCloseJob:        {1, withoutToken((*State).applyCloseJob)},
	KindPublishVersion:  {1, withoutToken((*State).applyPublishVersion)},
	KindPromoteVersion:  {1, withoutToken((*State).applyPromoteVersion)},
	KindRetireVersion:   {1, withoutToken((*State).applyRetireVersion)},
	KindClearVersion:    {1, withoutToken((*State).applyClearVersion)},
	KindDisableServers:  {1, withoutToken((*State).applyDisableServers)},
	KindEnableServers:   {1, withoutToken((*State).applyEnableServers)},
}

// withoutToken adapts the apply method of a kind whose entries concern no lease. The results of such entries have no
// fencing token.
func withoutToken(apply func(*State, Entry) error) func(*State, Entry) (FencingToken, error) {
	return func(state *State, entry Entry) (FencingToken, error) { return 0, apply(state, entry) }
}

// Apply applies the encoded entry raw, whose position in the log is position. It returns the resulting state and the
// outcome of the entry. Bytes that cannot be decoded are rejected like an invalid entry. The only error is
// ErrUnsupportedFormat: the entry needs a newer version of the program. After that error the caller must not apply
// any further entry.
func (s *State) Apply(position Position, raw []byte) (*State, Result, error) {
	result := Result{Position: position}
	var entry Entry
	if err := json.Unmarshal(raw, &entry); err != nil {
		result.Err = ErrInvalidEntry
		return s.at(position), result, nil
	}
	spec, err := s.lookupKind(entry)
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

// at returns a copy of the state with another position.
func (s *State) at(position Position) *State {
	next := *s
	next.Position = position
	return &next
}

// lookupKind returns how an entry is applied, or the reason to reject the entry. It returns ErrUnsupportedFormat if
// the format version of the state allows the entry but this program does not support the entry.
func (s *State) lookupKind(entry Entry) (kindSpec, error) {
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

// apply applies an entry to s, a copy of the previous state. The copy shares its maps with the previous state, so
// apply methods replace a map instead of writing to it.
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
