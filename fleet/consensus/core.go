// Package consensus holds the members that agree on the log of a fleet.
//
// It stands the loss of less than half of its members, in any way but one: a disk that forgets what it has said to be
// synced. It trusts no clock for what is agreed on; the end of a lease trusts the leader's clock by owner.Drift. From
// a proposal that was never answered nothing follows: it may be in the log, or come into it later.
package consensus

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
)

const (
	electionTicks       = 10 // without a leader, after which a member asks for votes
	heartbeatTicks      = 2
	maxMessageSize      = 256 << 10
	maxInflightMessages = 64
	maxUncommittedSize  = 4 << 20 // bytes of proposals that wait
	// CompactAfter is how many entries come before a snapshot is taken; a quarter of them are kept for slow members.
	CompactAfter     = 2000
	maxLearnerLag    = 100 // entries that a learner may lack when it becomes a voter
	maintenanceTicks = 5   // between the proposals that a member makes by itself
	proposalIDSize   = 8
)

// PersistentState is what a disk holds.
type PersistentState struct {
	ID        uint64 // drawn with the disk; never again
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

// WriteBatch is what a core wants done: saved and synced first, then sent.
type WriteBatch struct {
	HardState *pb.HardState // nil: as before
	Entries   []*pb.Entry
	Snapshot  *pb.Snapshot // nil: none
	Messages  []*pb.Message

	ready raft.Ready
}

// AppliedEntry is one entry that has come into the state.
type AppliedEntry struct {
	ProposalID uint64 // of the proposal; 0: nobody waits
	Entry      fleet.Entry
	Raw        []byte // as the log has it, without the id
	Result     fleet.Result
}

// ApplyResult is what became of a piece of work.
type ApplyResult struct {
	Applied        []AppliedEntry
	Restored       bool           // the state came whole, or the council has changed
	ConfirmedReads []uint64       // that were confirmed: the state is at least as new as when they were asked for
	Snapshot       *pb.Snapshot   // to be written in place of what is before it, less what slow members may still get; nil: none
	FirstKept      fleet.Position // the first entry to keep then; 0: all are kept
}

// Core is one member as a machine: messages, proposals and ticks in, work out. It does no I/O and reads no clock.
type Core struct {
	id              uint64
	node            *raft.RawNode
	storage         *raft.MemoryStorage
	confState       *pb.ConfState
	state           *fleet.State
	expiry          lease.ExpiryTracker
	ticks           int
	now             time.Duration
	snapshotIndex   uint64
	pendingReads    []read // confirmed by the leader, and not reached yet
	trailingEntries uint64 // entries before a snapshot that slow members may still get
}

// NewCore makes a core from what its disk holds, which takes a snapshot after so many entries. now is of its monotonic clock.
func NewCore(saved PersistentState, guards lease.UnsafeOptions, compactAfter int, now time.Duration, log raft.Logger) (*Core, error) {
	c := &Core{id: saved.ID, trailingEntries: uint64(max(compactAfter/4, 1)), storage: raft.NewMemoryStorage(), state: fleet.NewState(0), confState: &pb.ConfState{}, now: now, expiry: lease.ExpiryTracker{Unsafe: guards}}
	applied := uint64(0)
	if saved.Snapshot != nil {
		if err := c.storage.ApplySnapshot(saved.Snapshot); err != nil {
			return nil, err
		}
		s, err := fleet.UnmarshalState(saved.Snapshot.GetData())
		if err != nil {
			return nil, err
		}
		c.state, c.confState = s, saved.Snapshot.GetMetadata().GetConfState()
		applied = saved.Snapshot.GetMetadata().GetIndex()
		c.snapshotIndex = applied
	}
	if saved.HardState != nil {
		if err := c.storage.SetHardState(saved.HardState); err != nil {
			return nil, err
		}
	}
	if err := c.storage.Append(saved.Entries); err != nil {
		return nil, err
	}
	var err error
	c.node, err = raft.NewRawNode(&raft.Config{ID: c.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: c.storage, Applied: applied,
		MaxSizePerMsg: maxMessageSize, MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: maxUncommittedSize, CheckQuorum: true, PreVote: true, Logger: log})
	if err != nil {
		return nil, err
	}
	c.expiry.Observe(c.state, now)
	return c, nil
}

// Bootstrap is what the disk of the first member of a new council holds.
func Bootstrap(m fleet.Member) PersistentState {
	return singleMemberState(m, fleet.NewState(1).WithMembers(1, map[uint64]fleet.Member{m.ID: m}), 1, 1)
}

// ForceNewCluster is what the disk of the one member holds with which an operator begins anew: all that this member knows, in
// a new epoch. What only the lost members knew is lost.
func ForceNewCluster(saved PersistentState, m fleet.Member) (PersistentState, error) {
	c, err := NewCore(saved, lease.UnsafeOptions{}, CompactAfter, 0, DiscardLogger)
	if err != nil {
		return PersistentState{}, err
	}
	// All that it has is taken as agreed: an entry that was answered is in it, unless only the lost ones had it.
	last, _ := c.storage.LastIndex()
	first, _ := c.storage.FirstIndex()
	if last >= first {
		entries, err := c.storage.Entries(first, last+1, math.MaxUint64)
		if err != nil {
			return PersistentState{}, err
		}
		for _, e := range entries {
			if e.GetIndex() <= uint64(c.state.Position) {
				continue
			}
			if _, err := c.applyEntry(e); err != nil {
				return PersistentState{}, err
			}
		}
	}
	term := uint64(1)
	if saved.HardState != nil {
		term = saved.HardState.GetTerm()
	}
	return singleMemberState(m, c.state.NextEpoch(m), max(last, 1)+1, term+1), nil
}

func singleMemberState(m fleet.Member, s *fleet.State, at, term uint64) PersistentState {
	s = s.WithMembers(fleet.Position(at), s.Members)
	snap := &pb.Snapshot{Data: s.Marshal(), Metadata: &pb.SnapshotMetadata{Index: &at, Term: &term, ConfState: &pb.ConfState{Voters: []uint64{m.ID}}}}
	return PersistentState{ID: m.ID, Snapshot: snap, HardState: &pb.HardState{Term: &term, Commit: &at}}
}

// State is what is agreed on, as far as this member knows.
func (c *Core) State() *fleet.State { return c.state }

// ID is the member's.
func (c *Core) ID() uint64 { return c.id }

// Leader is the id of the leader, as far as this member knows; 0: there is none.
func (c *Core) Leader() uint64 { return c.node.BasicStatus().Lead }

// Status is raft's.
func (c *Core) Status() raft.Status { return c.node.Status() }

// ReportUnreachable tells that messages to a member are lost.
func (c *Core) ReportUnreachable(id uint64) { c.node.ReportUnreachable(id) }

// ReportSnapshot tells what became of a snapshot on its way.
func (c *Core) ReportSnapshot(id uint64, ok bool) {
	st := raft.SnapshotFinish
	if !ok {
		st = raft.SnapshotFailure
	}
	c.node.ReportSnapshot(id, st)
}

// Tick tells that a tick has passed. now is of the member's monotonic clock, wall of its clock.
func (c *Core) Tick(now time.Duration, wall time.Time) {
	c.now = now
	c.node.Tick()
	c.ticks++
	if c.ticks%maintenanceTicks != 0 || c.Leader() == 0 {
		return
	}
	leads := c.Leader() == c.id
	for _, e := range c.state.FormatProposals(c.id, leads) {
		_ = c.Propose(0, e) // asked for again
	}
	if !leads {
		return
	}
	for _, e := range c.expiry.Expired(now) {
		_ = c.Propose(0, e)
	}
	for id, h := range c.state.DisableOrders {
		if !wall.Before(h.Until) {
			_ = c.Propose(0, fleet.Entry{Kind: fleet.KindEnableServers, DisableOrder: &fleet.DisableOrder{ID: id}})
		}
	}
	c.promoteLearner()
}

// promoteLearner makes a voter of a learner that has caught up.
func (c *Core) promoteLearner() {
	st := c.node.Status()
	for id, p := range st.Progress {
		if m, ok := c.state.Members[id]; ok && m.Learner && p.RecentActive && p.Match+maxLearnerLag >= st.GetCommit() && p.Match > 0 {
			m.Learner = false
			_ = c.ProposeMembership(0, m, false)
			return
		}
	}
}

// Step takes a message of another member.
func (c *Core) Step(m *pb.Message) error {
	if m.GetTo() != c.id {
		return fmt.Errorf("council: a message to member %x, and this is %x", m.GetTo(), c.id)
	}
	return c.node.Step(m)
}

// ErrNoLeader says that there is nobody to propose to.
var ErrNoLeader = errors.New("council: there is no leader")

// Propose asks for an entry. id is that of the proposal, for Applied to name it; it is none of another's.
func (c *Core) Propose(id uint64, e fleet.Entry) error {
	if c.Leader() == 0 {
		return ErrNoLeader
	}
	return c.node.Propose(append(binary.BigEndian.AppendUint64(nil, id), e.Marshal()...))
}

// read is one that the leader has confirmed for a place of the log.
type read struct{ id, at uint64 }

// Read asks for a moment at which the state is as new as any that was agreed on by now; Outcome.Reads names it. It may
// never come.
func (c *Core) Read(id uint64) { c.node.ReadIndex(binary.BigEndian.AppendUint64(nil, id)) }

// MembershipError says why the council can't change now.
type MembershipError string

func (e MembershipError) Error() string { return "council: " + string(e) }

// ProposeMembership asks for a member to be added (as a learner first, a voter then), or with remove to be removed.
func (c *Core) ProposeMembership(id uint64, m fleet.Member, remove bool) error {
	if c.Leader() == 0 {
		return ErrNoLeader
	}
	kind := pb.ConfChangeAddNode
	had, there := c.state.Members[m.ID]
	switch {
	case remove && !there:
		return MembershipError("there is no such member")
	case remove && len(c.state.Members) == 1:
		return MembershipError("the last member can't be removed")
	case remove:
		kind = pb.ConfChangeRemoveNode
	case there && !had.Learner:
		return MembershipError("it is a member already")
	case m.Learner:
		kind = pb.ConfChangeAddLearnerNode
		for _, o := range c.state.Members {
			if o.ID != m.ID && (o.Address == m.Address || o.Name == m.Name) {
				return MembershipError(fmt.Sprintf("member %x has this name or address: remove it first", o.ID))
			}
			if o.Learner && o.ID != m.ID {
				return MembershipError(o.Name + " is being added: one at a time")
			}
		}
	}
	about, err := json.Marshal(membershipContext{id, m})
	if err != nil {
		return err
	}
	return c.node.ProposeConfChange(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{{Type: &kind, NodeId: &m.ID}}, Context: about})
}

// membershipContext is what a change of the council carries.
type membershipContext struct {
	ID     uint64       `json:"id"`
	Member fleet.Member `json:"member"`
}

// Ready is the next piece of work; nil where there is none. Its messages go out once the rest is saved and synced.
func (c *Core) Ready() *WriteBatch {
	if !c.node.HasReady() {
		return nil
	}
	rd := c.node.Ready()
	w := &WriteBatch{Entries: rd.Entries, Messages: rd.Messages, ready: rd}
	if !raft.IsEmptyHardState(rd.HardState) {
		w.HardState = rd.HardState
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		w.Snapshot = rd.Snapshot
	}
	return w
}

// Advance tells that a piece of work is saved. What it brings into the state is returned. now is of the member's
// monotonic clock: a member that was stopped has seen what it takes now no earlier than now.
func (c *Core) Advance(w *WriteBatch, now time.Duration) (out ApplyResult, err error) {
	c.now = now
	if w.HardState != nil {
		if err := c.storage.SetHardState(w.HardState); err != nil {
			return out, err
		}
	}
	if w.Snapshot != nil {
		if err := c.storage.ApplySnapshot(w.Snapshot); err != nil {
			return out, err
		}
		s, err := fleet.UnmarshalState(w.Snapshot.GetData())
		if err != nil {
			return out, err
		}
		c.state, c.confState, out.Restored = s, w.Snapshot.GetMetadata().GetConfState(), true
		c.snapshotIndex = w.Snapshot.GetMetadata().GetIndex()
	}
	if err := c.storage.Append(w.Entries); err != nil {
		return out, err
	}
	changed := false
	for _, e := range w.ready.CommittedEntries {
		a, err := c.applyEntry(e)
		if err != nil {
			return out, err
		}
		if e.GetType() != pb.EntryNormal {
			out.Restored, changed = true, true
		}
		out.Applied = append(out.Applied, a)
	}
	for _, r := range w.ready.ReadStates {
		c.pendingReads = append(c.pendingReads, read{binary.BigEndian.Uint64(r.RequestCtx), r.Index})
	}
	c.pendingReads = slices.DeleteFunc(c.pendingReads, func(r read) bool {
		if r.at <= uint64(c.state.Position) {
			out.ConfirmedReads = append(out.ConfirmedReads, r.id)
			return true
		}
		return false
	})
	c.expiry.Observe(c.state, c.now)
	c.node.Advance(w.ready)
	// A member that is added can start from no snapshot that does not know it.
	if at := uint64(c.state.Position); at >= c.snapshotIndex+4*c.trailingEntries || changed {
		snap, err := c.storage.CreateSnapshot(at, c.confState, c.state.Marshal())
		if err != nil {
			return out, err
		}
		c.snapshotIndex = at
		out.Snapshot = snap
		if at > c.trailingEntries {
			out.FirstKept = fleet.Position(at - c.trailingEntries)
			if err := c.storage.Compact(at - c.trailingEntries); err != nil && !errors.Is(err, raft.ErrCompacted) {
				return out, err
			}
		}
	}
	return out, nil
}

// applyEntry brings an entry into the state.
func (c *Core) applyEntry(e *pb.Entry) (a AppliedEntry, err error) {
	at := fleet.Position(e.GetIndex())
	switch e.GetType() {
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		return c.applyMembership(e, at)
	}
	a.Result.Position = at
	if len(e.GetData()) < proposalIDSize { // of raft's own: a leader's first
		next := *c.state
		next.Position = at
		c.state = &next
		a.Entry = fleet.Entry{Kind: fleet.KindRenewLease}
		return a, nil
	}
	a.ProposalID, a.Raw = binary.BigEndian.Uint64(e.GetData()), e.GetData()[proposalIDSize:]
	_ = json.Unmarshal(a.Raw, &a.Entry) // what is none is void
	next, r, err := c.state.Apply(at, a.Raw)
	if err != nil {
		return a, err
	}
	c.state, a.Result = next, r
	return a, nil
}

func (c *Core) applyMembership(e *pb.Entry, at fleet.Position) (a AppliedEntry, err error) {
	var cc pb.ConfChangeV2
	if e.GetType() == pb.EntryConfChange {
		return a, errors.New("council: a change of a kind that no member asks for")
	}
	if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
		return a, err
	}
	c.confState = c.node.ApplyConfChange(&cc)
	a.Result.Position = at
	members := maps.Clone(c.state.Members)
	var about membershipContext
	if len(cc.GetContext()) > 0 {
		if err := json.Unmarshal(cc.GetContext(), &about); err != nil {
			return a, err
		}
		a.ProposalID = about.ID
		if members == nil {
			members = make(map[uint64]fleet.Member)
		}
		members[about.Member.ID] = about.Member
	}
	for id := range members { // as raft has it, whatever the change says
		if !contains(c.confState.GetVoters(), id) && !contains(c.confState.GetLearners(), id) {
			delete(members, id)
		}
	}
	c.state = c.state.WithMembers(at, members)
	return a, nil
}

func contains(all []uint64, id uint64) bool {
	for _, v := range all {
		if v == id {
			return true
		}
	}
	return false
}
