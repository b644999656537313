package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
)

const (
	electionTicks  = 10 // without a leader, after which a replica asks for votes
	heartbeatTicks = 2  // between the heartbeats of a leader

	// maintenanceTicks is how many ticks pass between the proposals that a replica makes by itself.
	maintenanceTicks = 5

	maxMessageSize      = 256 << 10 // bytes of entries in one message
	maxInflightMessages = 64        // messages to a replica without an answer
	maxUncommittedSize  = 4 << 20   // bytes of proposals that are not committed

	// CompactAfter is how many entries are applied between two snapshots.
	CompactAfter = 2000
	// trailingDivisor is the part of CompactAfter that is kept before a snapshot, for slow replicas.
	trailingDivisor = 4

	// proposalIDSize is the length, in bytes, of the proposal's ID that precedes each entry in the log.
	proposalIDSize = 8
)

// ErrNoLeader reports that the replica knows of no leader to propose to. Nothing was proposed.
var ErrNoLeader = errors.New("consensus: no leader is known")

// Core is one replica as a state machine: messages, proposals and ticks in, write batches out. It does no I/O and
// reads no clock, and is not safe for concurrent use.
type Core struct {
	id            uint64
	node          *raft.RawNode
	storage       *raft.MemoryStorage
	confState     *raftpb.ConfState
	state         *fleet.State
	expiry        lease.ExpiryTracker
	ticks         int
	now           time.Duration // of the replica's monotonic clock, when it was last told
	snapshotIndex uint64        // of the newest snapshot
	pendingReads  []pendingRead
	// trailingEntries is how many entries before a snapshot are kept for slow replicas.
	trailingEntries uint64
}

// pendingRead is a read that the leader has confirmed, and whose position is not applied yet.
type pendingRead struct{ id, position uint64 }

// NewCore returns a replica that continues from what its storage holds, and takes a snapshot after compactAfter
// entries. now is the time of its monotonic clock.
func NewCore(
	persisted PersistentState, unsafe lease.UnsafeOptions, compactAfter int, now time.Duration, logger raft.Logger,
) (*Core, error) {
	core := &Core{
		id:              persisted.ID,
		storage:         raft.NewMemoryStorage(),
		confState:       &raftpb.ConfState{},
		state:           fleet.NewState(0),
		expiry:          lease.ExpiryTracker{Unsafe: unsafe},
		now:             now,
		trailingEntries: uint64(max(compactAfter/trailingDivisor, 1)),
	}
	if err := core.load(persisted); err != nil {
		return nil, err
	}
	node, err := raft.NewRawNode(&raft.Config{
		ID:                        core.id,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   core.storage,
		Applied:                   core.snapshotIndex,
		MaxSizePerMsg:             maxMessageSize,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedSize,
		CheckQuorum:               true,
		PreVote:                   true,
		Logger:                    logger,
	})
	if err != nil {
		return nil, err
	}
	core.node = node
	core.expiry.Observe(core.state, now)
	return core, nil
}

// load adopts the state in the storage.
func (c *Core) load(persisted PersistentState) error {
	if persisted.Snapshot != nil {
		if err := c.restore(persisted.Snapshot); err != nil {
			return err
		}
	}
	if persisted.HardState != nil {
		if err := c.storage.SetHardState(persisted.HardState); err != nil {
			return err
		}
	}
	return c.storage.Append(persisted.Entries)
}

// restore replaces the state by that of a snapshot.
func (c *Core) restore(snapshot *raftpb.Snapshot) error {
	if err := c.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	state, err := fleet.UnmarshalState(snapshot.GetData())
	if err != nil {
		return err
	}
	c.state = state
	c.confState = snapshot.GetMetadata().GetConfState()
	c.snapshotIndex = snapshot.GetMetadata().GetIndex()
	return nil
}

// State returns the agreed state, as far as this replica has applied it.
func (c *Core) State() *fleet.State { return c.state }

// ID returns the ID of the replica.
func (c *Core) ID() uint64 { return c.id }

// Leader returns the ID of the leader, as far as this replica knows; 0 if there is none.
func (c *Core) Leader() uint64 { return c.node.BasicStatus().Lead }

// Status returns the status of raft.
func (c *Core) Status() raft.Status { return c.node.Status() }

// ReportUnreachable reports that messages to a replica are lost.
func (c *Core) ReportUnreachable(id uint64) { c.node.ReportUnreachable(id) }

// ReportSnapshot reports whether a snapshot has reached its replica.
func (c *Core) ReportSnapshot(id uint64, delivered bool) {
	status := raft.SnapshotFinish
	if !delivered {
		status = raft.SnapshotFailure
	}
	c.node.ReportSnapshot(id, status)
}

// Tick reports that a tick has passed. now is the time of the replica's monotonic clock, wall that of its wall clock.
func (c *Core) Tick(now time.Duration, wall time.Time) {
	c.now = now
	c.node.Tick()
	c.ticks++
	if c.ticks%maintenanceTicks != 0 || c.Leader() == 0 {
		return
	}
	isLeader := c.Leader() == c.id
	c.proposeAll(c.state.FormatProposals(c.id, isLeader))
	if !isLeader {
		return
	}
	c.proposeAll(c.expiry.Expired(now))
	c.proposeAll(c.endedDisableOrders(wall))
	c.promoteLearner()
}

// proposeAll proposes entries without a waiting caller. Lost ones are proposed again at a later tick.
func (c *Core) proposeAll(entries []fleet.Entry) {
	for _, entry := range entries {
		_ = c.Propose(0, entry)
	}
}

// endedDisableOrders returns an entry for each disable order whose time is over.
func (c *Core) endedDisableOrders(wall time.Time) []fleet.Entry {
	var entries []fleet.Entry
	for id, order := range c.state.DisableOrders {
		if !wall.Before(order.Until) {
			entries = append(entries, fleet.Entry{
				Kind:         fleet.KindEnableServers,
				DisableOrder: &fleet.DisableOrder{ID: id},
			})
		}
	}
	return entries
}

// Step handles a message of another replica.
func (c *Core) Step(message *raftpb.Message) error {
	if message.GetTo() != c.id {
		return fmt.Errorf("consensus: message for replica %x at replica %x", message.GetTo(), c.id)
	}
	return c.node.Step(message)
}

// Propose proposes an entry. id is the ID of the proposal, which AppliedEntry names again; no other proposal has it,
// and 0 means that no caller waits for the outcome. It returns ErrNoLeader, or an error of raft, if nothing was
// proposed.
func (c *Core) Propose(id uint64, entry fleet.Entry) error {
	if c.Leader() == 0 {
		return ErrNoLeader
	}
	return c.node.Propose(append(encodeID(id), entry.Marshal()...))
}

// Read asks for a moment at which the state is as new as any that was agreed on by now. ApplyResult.ConfirmedReads
// names the read by its ID; it may never do so.
func (c *Core) Read(id uint64) { c.node.ReadIndex(encodeID(id)) }

func encodeID(id uint64) []byte { return binary.BigEndian.AppendUint64(nil, id) }

func decodeID(raw []byte) uint64 { return binary.BigEndian.Uint64(raw) }
