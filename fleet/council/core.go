// Package council holds the members that agree on the log of a fleet.
//
// It stands the loss of less than half of its members, in any way but one: a disk that forgets what it has said to be
// synced. It trusts no clock for what is agreed on; the end of a lease trusts the leader's clock by owner.Drift. From
// a proposal that was never answered nothing follows: it may be in the log, or come into it later.
package council

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
	"cobaltward/fleet/owner"
)

const (
	electionTicks  = 10 // without a leader, after which a member asks for votes
	heartbeatTicks = 2
	messageSize    = 256 << 10
	inFlight       = 64
	mostUnagreed   = 4 << 20 // bytes of proposals that wait
	// CompactAfter is how many entries come before a snapshot is taken; a quarter of them are kept for slow members.
	CompactAfter = 2000
	caughtUp     = 100 // entries that a learner may lack when it becomes a voter
	dutyTicks    = 5   // between the proposals that a member makes by itself
	idBytes      = 8
)

// Saved is what a disk holds.
type Saved struct {
	ID       uint64 // drawn with the disk; never again
	Hard     *pb.HardState
	Snapshot *pb.Snapshot
	Entries  []*pb.Entry
}

// Work is what a core wants done: saved and synced first, then sent.
type Work struct {
	Hard     *pb.HardState // nil: as before
	Entries  []*pb.Entry
	Snapshot *pb.Snapshot // nil: none
	Messages []*pb.Message

	ready raft.Ready
}

// Applied is one entry that has come into the state.
type Applied struct {
	ID     uint64 // of the proposal; 0: nobody waits
	Entry  fleet.Entry
	Raw    []byte // as the log has it, without the id
	Result fleet.Result
}

// Outcome is what became of a piece of work.
type Outcome struct {
	Applied  []Applied
	Restored bool           // the state came whole, or the council has changed
	Reads    []uint64       // that were confirmed: the state is at least as new as when they were asked for
	Compact  *pb.Snapshot   // to be written in place of what is before it, less what slow members may still get; nil: none
	First    fleet.Position // the first entry to keep then; 0: all are kept
}

// Core is one member as a machine: messages, proposals and ticks in, work out. It does no I/O and reads no clock.
type Core struct {
	id     uint64
	rn     *raft.RawNode
	mem    *raft.MemoryStorage
	conf   *pb.ConfState
	state  *fleet.State
	lessor owner.Lessor
	ticks  int
	now    time.Duration
	snapAt uint64
	reads  []read // confirmed by the leader, and not reached yet
	keep   uint64 // entries before a snapshot that slow members may still get
}

// New makes a core from what its disk holds, which takes a snapshot after so many entries. now is of its monotonic clock.
func New(saved Saved, guards owner.Guards, compactAfter int, now time.Duration, log raft.Logger) (*Core, error) {
	c := &Core{id: saved.ID, keep: uint64(max(compactAfter/4, 1)), mem: raft.NewMemoryStorage(), state: fleet.NewState(0), conf: &pb.ConfState{}, now: now, lessor: owner.Lessor{Guards: guards}}
	applied := uint64(0)
	if saved.Snapshot != nil {
		if err := c.mem.ApplySnapshot(saved.Snapshot); err != nil {
			return nil, err
		}
		s, err := fleet.UnmarshalState(saved.Snapshot.GetData())
		if err != nil {
			return nil, err
		}
		c.state, c.conf = s, saved.Snapshot.GetMetadata().GetConfState()
		applied = saved.Snapshot.GetMetadata().GetIndex()
		c.snapAt = applied
	}
	if saved.Hard != nil {
		if err := c.mem.SetHardState(saved.Hard); err != nil {
			return nil, err
		}
	}
	if err := c.mem.Append(saved.Entries); err != nil {
		return nil, err
	}
	var err error
	c.rn, err = raft.NewRawNode(&raft.Config{ID: c.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: c.mem, Applied: applied,
		MaxSizePerMsg: messageSize, MaxInflightMsgs: inFlight, MaxUncommittedEntriesSize: mostUnagreed, CheckQuorum: true, PreVote: true, Logger: log})
	if err != nil {
		return nil, err
	}
	c.lessor.Observe(c.state, now)
	return c, nil
}

// First is what the disk of the first member of a new council holds.
func First(m fleet.Member) Saved {
	return whole(m, fleet.NewState(1).WithMembers(1, map[uint64]fleet.Member{m.ID: m}), 1, 1)
}

// Anew is what the disk of the one member holds with which an operator begins anew: all that this member knows, in
// a new epoch. What only the lost members knew is lost.
func Anew(saved Saved, m fleet.Member) (Saved, error) {
	c, err := New(saved, owner.Guards{}, CompactAfter, 0, Quiet)
	if err != nil {
		return Saved{}, err
	}
	// All that it has is taken as agreed: an entry that was answered is in it, unless only the lost ones had it.
	last, _ := c.mem.LastIndex()
	first, _ := c.mem.FirstIndex()
	if last >= first {
		entries, err := c.mem.Entries(first, last+1, math.MaxUint64)
		if err != nil {
			return Saved{}, err
		}
		for _, e := range entries {
			if e.GetIndex() <= uint64(c.state.Position) {
				continue
			}
			if _, err := c.take(e); err != nil {
				return Saved{}, err
			}
		}
	}
	term := uint64(1)
	if saved.Hard != nil {
		term = saved.Hard.GetTerm()
	}
	return whole(m, c.state.NextEpoch(m), max(last, 1)+1, term+1), nil
}

func whole(m fleet.Member, s *fleet.State, at, term uint64) Saved {
	s = s.WithMembers(fleet.Position(at), s.Members)
	snap := &pb.Snapshot{Data: s.Marshal(), Metadata: &pb.SnapshotMetadata{Index: &at, Term: &term, ConfState: &pb.ConfState{Voters: []uint64{m.ID}}}}
	return Saved{ID: m.ID, Snapshot: snap, Hard: &pb.HardState{Term: &term, Commit: &at}}
}

// State is what is agreed on, as far as this member knows.
func (c *Core) State() *fleet.State { return c.state }

// ID is the member's.
func (c *Core) ID() uint64 { return c.id }

// Leader is the id of the leader, as far as this member knows; 0: there is none.
func (c *Core) Leader() uint64 { return c.rn.BasicStatus().Lead }

// Status is raft's.
func (c *Core) Status() raft.Status { return c.rn.Status() }

// Unreachable tells that messages to a member are lost.
func (c *Core) Unreachable(id uint64) { c.rn.ReportUnreachable(id) }

// SnapshotSent tells what became of a snapshot on its way.
func (c *Core) SnapshotSent(id uint64, ok bool) {
	st := raft.SnapshotFinish
	if !ok {
		st = raft.SnapshotFailure
	}
	c.rn.ReportSnapshot(id, st)
}

// Tick tells that a tick has passed. now is of the member's monotonic clock, wall of its clock.
func (c *Core) Tick(now time.Duration, wall time.Time) {
	c.now = now
	c.rn.Tick()
	c.ticks++
	if c.ticks%dutyTicks != 0 || c.Leader() == 0 {
		return
	}
	leads := c.Leader() == c.id
	for _, e := range c.state.FormatProposals(c.id, leads) {
		_ = c.Propose(0, e) // asked for again
	}
	if !leads {
		return
	}
	for _, e := range c.lessor.Due(now) {
		_ = c.Propose(0, e)
	}
	for id, h := range c.state.DisableOrders {
		if !wall.Before(h.Until) {
			_ = c.Propose(0, fleet.Entry{Kind: fleet.KindEnableServers, DisableOrder: &fleet.DisableOrder{ID: id}})
		}
	}
	c.promote()
}

// promote makes a voter of a learner that has caught up.
func (c *Core) promote() {
	st := c.rn.Status()
	for id, p := range st.Progress {
		if m, ok := c.state.Members[id]; ok && m.Learner && p.RecentActive && p.Match+caughtUp >= st.GetCommit() && p.Match > 0 {
			m.Learner = false
			_ = c.ProposeMember(0, m, false)
			return
		}
	}
}

// Step takes a message of another member.
func (c *Core) Step(m *pb.Message) error {
	if m.GetTo() != c.id {
		return fmt.Errorf("council: a message to member %x, and this is %x", m.GetTo(), c.id)
	}
	return c.rn.Step(m)
}

// ErrNoLeader says that there is nobody to propose to.
var ErrNoLeader = errors.New("council: there is no leader")

// Propose asks for an entry. id is that of the proposal, for Applied to name it; it is none of another's.
func (c *Core) Propose(id uint64, e fleet.Entry) error {
	if c.Leader() == 0 {
		return ErrNoLeader
	}
	return c.rn.Propose(append(binary.BigEndian.AppendUint64(nil, id), e.Marshal()...))
}

// read is one that the leader has confirmed for a place of the log.
type read struct{ id, at uint64 }

// Read asks for a moment at which the state is as new as any that was agreed on by now; Outcome.Reads names it. It may
// never come.
func (c *Core) Read(id uint64) { c.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, id)) }

// ErrChange says why the council can't change now.
type ErrChange string

func (e ErrChange) Error() string { return "council: " + string(e) }

// ProposeMember asks for a member to be added (as a learner first, a voter then), or with remove to be removed.
func (c *Core) ProposeMember(id uint64, m fleet.Member, remove bool) error {
	if c.Leader() == 0 {
		return ErrNoLeader
	}
	kind := pb.ConfChangeAddNode
	had, there := c.state.Members[m.ID]
	switch {
	case remove && !there:
		return ErrChange("there is no such member")
	case remove && len(c.state.Members) == 1:
		return ErrChange("the last member can't be removed")
	case remove:
		kind = pb.ConfChangeRemoveNode
	case there && !had.Learner:
		return ErrChange("it is a member already")
	case m.Learner:
		kind = pb.ConfChangeAddLearnerNode
		for _, o := range c.state.Members {
			if o.ID != m.ID && (o.Address == m.Address || o.Name == m.Name) {
				return ErrChange(fmt.Sprintf("member %x has this name or address: remove it first", o.ID))
			}
			if o.Learner && o.ID != m.ID {
				return ErrChange(o.Name + " is being added: one at a time")
			}
		}
	}
	about, err := json.Marshal(change{id, m})
	if err != nil {
		return err
	}
	return c.rn.ProposeConfChange(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{{Type: &kind, NodeId: &m.ID}}, Context: about})
}

// change is what a change of the council carries.
type change struct {
	ID     uint64       `json:"id"`
	Member fleet.Member `json:"member"`
}

// Ready is the next piece of work; nil where there is none. Its messages go out once the rest is saved and synced.
func (c *Core) Ready() *Work {
	if !c.rn.HasReady() {
		return nil
	}
	rd := c.rn.Ready()
	w := &Work{Entries: rd.Entries, Messages: rd.Messages, ready: rd}
	if !raft.IsEmptyHardState(rd.HardState) {
		w.Hard = rd.HardState
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		w.Snapshot = rd.Snapshot
	}
	return w
}

// Stored tells that a piece of work is saved. What it brings into the state is returned. now is of the member's
// monotonic clock: a member that was stopped has seen what it takes now no earlier than now.
func (c *Core) Stored(w *Work, now time.Duration) (out Outcome, err error) {
	c.now = now
	if w.Hard != nil {
		if err := c.mem.SetHardState(w.Hard); err != nil {
			return out, err
		}
	}
	if w.Snapshot != nil {
		if err := c.mem.ApplySnapshot(w.Snapshot); err != nil {
			return out, err
		}
		s, err := fleet.UnmarshalState(w.Snapshot.GetData())
		if err != nil {
			return out, err
		}
		c.state, c.conf, out.Restored = s, w.Snapshot.GetMetadata().GetConfState(), true
		c.snapAt = w.Snapshot.GetMetadata().GetIndex()
	}
	if err := c.mem.Append(w.Entries); err != nil {
		return out, err
	}
	changed := false
	for _, e := range w.ready.CommittedEntries {
		a, err := c.take(e)
		if err != nil {
			return out, err
		}
		if e.GetType() != pb.EntryNormal {
			out.Restored, changed = true, true
		}
		out.Applied = append(out.Applied, a)
	}
	for _, r := range w.ready.ReadStates {
		c.reads = append(c.reads, read{binary.BigEndian.Uint64(r.RequestCtx), r.Index})
	}
	c.reads = slices.DeleteFunc(c.reads, func(r read) bool {
		if r.at <= uint64(c.state.Position) {
			out.Reads = append(out.Reads, r.id)
			return true
		}
		return false
	})
	c.lessor.Observe(c.state, c.now)
	c.rn.Advance(w.ready)
	// A member that is added can start from no snapshot that does not know it.
	if at := uint64(c.state.Position); at >= c.snapAt+4*c.keep || changed {
		snap, err := c.mem.CreateSnapshot(at, c.conf, c.state.Marshal())
		if err != nil {
			return out, err
		}
		c.snapAt = at
		out.Compact = snap
		if at > c.keep {
			out.First = fleet.Position(at - c.keep)
			if err := c.mem.Compact(at - c.keep); err != nil && !errors.Is(err, raft.ErrCompacted) {
				return out, err
			}
		}
	}
	return out, nil
}

// take brings an entry into the state.
func (c *Core) take(e *pb.Entry) (a Applied, err error) {
	at := fleet.Position(e.GetIndex())
	switch e.GetType() {
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		return c.takeChange(e, at)
	}
	a.Result.Position = at
	if len(e.GetData()) < idBytes { // of raft's own: a leader's first
		next := *c.state
		next.Position = at
		c.state = &next
		a.Entry = fleet.Entry{Kind: fleet.KindRenewLease}
		return a, nil
	}
	a.ID, a.Raw = binary.BigEndian.Uint64(e.GetData()), e.GetData()[idBytes:]
	_ = json.Unmarshal(a.Raw, &a.Entry) // what is none is void
	next, r, err := c.state.Apply(at, a.Raw)
	if err != nil {
		return a, err
	}
	c.state, a.Result = next, r
	return a, nil
}

func (c *Core) takeChange(e *pb.Entry, at fleet.Position) (a Applied, err error) {
	var cc pb.ConfChangeV2
	if e.GetType() == pb.EntryConfChange {
		return a, errors.New("council: a change of a kind that no member asks for")
	}
	if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
		return a, err
	}
	c.conf = c.rn.ApplyConfChange(&cc)
	a.Result.Position = at
	members := maps.Clone(c.state.Members)
	var about change
	if len(cc.GetContext()) > 0 {
		if err := json.Unmarshal(cc.GetContext(), &about); err != nil {
			return a, err
		}
		a.ID = about.ID
		if members == nil {
			members = make(map[uint64]fleet.Member)
		}
		members[about.Member.ID] = about.Member
	}
	for id := range members { // as raft has it, whatever the change says
		if !contains(c.conf.GetVoters(), id) && !contains(c.conf.GetLearners(), id) {
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
