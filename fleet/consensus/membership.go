package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cobaltward/fleet"
)

// maxLearnerLag is the maximum number of committed entries that a learner may lack when it becomes a voter.
const maxLearnerLag = 100

// MembershipError reports why the membership cannot be changed as requested. Nothing was proposed.
type MembershipError struct{ Reason string }

func (e *MembershipError) Error() string { return "consensus: " + e.Reason }

// membershipContext is the data in the log entry of a membership change.
type membershipContext struct {
	ProposalID uint64       `json:"id"`
	Member     fleet.Member `json:"member"`
}

// ProposeMembership proposes to add a member or, if remove is set, to remove it. A new member is first added as a
// learner, and becomes a voter later. id identifies the proposal, as in Propose. If nothing was proposed,
// ProposeMembership returns ErrNoLeader, a *MembershipError, or an error of encoding or of raft.
func (c *Core) ProposeMembership(id uint64, member fleet.Member, remove bool) error {
	if c.Leader() == 0 {
		return ErrNoLeader
	}
	change, err := c.membershipChange(member, remove)
	if err != nil {
		return err
	}
	context, err := json.Marshal(membershipContext{id, member})
	if err != nil {
		return err
	}
	return c.node.ProposeConfChange(&raftpb.ConfChangeV2{
		Changes: []*raftpb.ConfChangeSingle{{Type: change.Enum(), NodeId: &member.ID}},
		Context: context,
	})
}

// membershipChange returns raft's type of a membership change. It returns a *MembershipError if the change is not
// possible.
func (c *Core) membershipChange(member fleet.Member, remove bool) (raftpb.ConfChangeType, error) {
	current, exists := c.state.Members[member.ID]
	switch {
	case remove && !exists:
		return 0, &MembershipError{"the member to remove does not exist"}
	case remove && len(c.state.Members) == 1:
		return 0, &MembershipError{"the last member cannot be removed"}
	case remove:
		return raftpb.ConfChangeRemoveNode, nil
	case exists && !current.Learner:
		return 0, &MembershipError{"the replica is already a member"}
	case !member.Learner:
		return raftpb.ConfChangeAddNode, nil
	}
	return raftpb.ConfChangeAddLearnerNode, c.checkLearner(member)
}

// checkLearner returns a *MembershipError if member cannot be added as a learner: another member has the same name or
// address, or another learner is being added.
func (c *Core) checkLearner(member fleet.Member) error {
	for _, other := range c.state.Members {
		switch {
		case other.ID == member.ID:
		case other.Address == member.Address || other.Name == member.Name:
			return &MembershipError{fmt.Sprintf("member %x has this name or address: remove it first", other.ID)}
		case other.Learner:
			return &MembershipError{other.Name + " is still being added: members are added one at a time"}
		}
	}
	return nil
}

// promoteLearner proposes to make a learner a voter if the learner has caught up with the log.
func (c *Core) promoteLearner() {
	status := c.node.Status()
	for id, progress := range status.Progress {
		member, ok := c.state.Members[id]
		if !ok || !member.Learner || !progress.RecentActive {
			continue
		}
		if progress.Match > 0 && progress.Match+maxLearnerLag >= status.GetCommit() {
			member.Learner = false
			_ = c.ProposeMembership(0, member, false) // a later tick retries after a failure
			return
		}
	}
}

// applyMembership applies the committed membership change at position.
func (c *Core) applyMembership(entry *raftpb.Entry, position fleet.Position) (AppliedEntry, error) {
	applied := AppliedEntry{Result: fleet.Result{Position: position}}
	if entry.GetType() == raftpb.EntryConfChange {
		return applied, errors.New("consensus: membership change of a type that no replica proposes")
	}
	var change raftpb.ConfChangeV2
	if err := proto.Unmarshal(entry.GetData(), &change); err != nil {
		return applied, err
	}
	c.confState = c.node.ApplyConfChange(&change)
	members := maps.Clone(c.state.Members)
	if len(change.GetContext()) > 0 {
		var context membershipContext
		if err := json.Unmarshal(change.GetContext(), &context); err != nil {
			return applied, err
		}
		applied.ProposalID = context.ProposalID
		if members == nil {
			members = make(map[uint64]fleet.Member)
		}
		members[context.Member.ID] = context.Member
	}
	maps.DeleteFunc(members, func(id uint64, _ fleet.Member) bool { return !c.inConfState(id) })
	c.state = c.state.WithMembers(position, members)
	return applied, nil
}

// inConfState reports whether a replica is a voter or learner in raft's configuration. The configuration takes
// precedence over the context of a membership change.
func (c *Core) inConfState(id uint64) bool {
	return slices.Contains(c.confState.GetVoters(), id) || slices.Contains(c.confState.GetLearners(), id)
}
