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
	electionTicks  = 10 // ticks without a leader before a replica asks for votes
	heartbeatTicks = 2  // ticks between two heartbeats of a leader

	// maintenanceTicks is the number of ticks between two rounds of the replica's own proposals.
	maintenanceTicks = 5

	maxMessageSize      = 256 << 10 // maximum bytes of entries in one message
	maxInflightMessages = 64        // maximum unacknowledged messages to one replica
	maxUncommittedSize  = 4 << 20   // maximum bytes of uncommitted proposals

	// CompactAfter is the approximate number of entries that are applied between two snapshots.
	CompactAfter = 2000
	// trailingDivisor sets how many entries before a snapshot are kept for slow replicas. Their number is
	// compactAfter/trailingDivisor (see NewCore).
	trailingDivisor = 4

	// proposalIDSize is the length in bytes of the proposal ID that precedes each entry in the log.
	proposalIDSize = 8
)

// ErrNoLeader reports that the replica knows of no leader. Nothing was proposed.
var ErrNoLeader = errors.New("consensus: no leader is known")

// Core is one replica as a state machine. It handles messages, proposals and ticks, and produces write batches. It
// does no I/O and reads no clock. Core is not safe for concurrent use.
type Core struct {
	id            uint64
	node          *raft.RawNode
	storage       *raft.MemoryStorage
	confState     *raftpb.ConfState
	state         *fleet.State
	expiry        lease.ExpiryTracker
	ticks         int
	now           time.Duration // last known time of the replica's monotonic clock
	snapshotIndex uint64        // log index of the newest snapshot
	pendingReads  []pendingRead
	// trailingEntries is the number of entries before a snapshot that are kept for slow replicas.
	trailingEntries uint64
}

// pendingRead is a read that the leader has confirmed. It waits until the entry at position is applied.
type pendingRead struct{ id, position uint64 }

// NewCore returns a replica that continues from persisted. The replica takes a snapshot about every compactAfter
// entries, and keeps the last compactAfter/4 entries before the snapshot. now is the time of the replica's monotonic
// clock.
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

// load initializes the core from persisted.
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

// restore replaces the state with the state of a snapshot.
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

// State returns the agreed state that this replica has applied.
func (c *Core) State() *fleet.State { return c.state }

// ID returns the ID of the replica.
func (c *Core) ID() uint64 { return c.id }

// Leader returns the ID of the leader that this replica knows, or 0 if the replica knows none.
func (c *Core) Leader() uint64 { return c.node.BasicStatus().Lead }

// Status returns the status of the replica in raft.
func (c *Core) Status() raft.Status { return c.node.Status() }

// ReportUnreachable tells raft that messages to a replica were lost.
func (c *Core) ReportUnreachable(id uint64) { c.node.ReportUnreachable(id) }

// ReportSnapshot tells raft whether a snapshot was delivered to a replica.
func (c *Core) ReportSnapshot(id uint64, delivered bool) {
	status := raft.SnapshotFinish
	if !delivered {
		status = raft.SnapshotFailure
	}
	c.node.ReportSnapshot(id, status)
}

// Tick tells the core that one tick has passed. now is the time of the replica's monotonic clock, and wall the time
// of its wall clock.
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

// proposeAll proposes entries for which no caller waits. A later tick proposes lost entries again.
func (c *Core) proposeAll(entries []fleet.Entry) {
	for _, entry := range entries {
		_ = c.Propose(0, entry)
	}
}

// endedDisableOrders returns the entries that remove the disable orders whose end time is not after wall.
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

// Step handles a message from another replica.
func (c *Core) Step(message *raftpb.Message) error {
	if message.GetTo() != c.id {
		return fmt.Errorf("consensus: message for replica %x at replica %x", message.GetTo(), c.id)
	}
	return c.node.Step(message)
}

// Propose proposes an entry. id identifies the proposal in AppliedEntry and must be unique, or is 0 if no caller
// waits for the outcome. Propose returns ErrNoLeader, or an error of raft, if nothing was proposed.
func (c *Core) Propose(id uint64, entry fleet.Entry) error {
	if c.Leader() == 0 {
		return ErrNoLeader
	}
	return c.node.Propose(append(encodeID(id), entry.Marshal()...))
}

// Read requests a linearizable read. ApplyResult.ConfirmedReads contains id once the state includes all entries that
// were committed before the call. A request can be lost, and then its id never appears.
func (c *Core) Read(id uint64) { c.node.ReadIndex(encodeID(id)) }

func encodeID(id uint64) []byte { return binary.BigEndian.AppendUint64(nil, id) }

func decodeID(raw []byte) uint64 { return binary.BigEndian.Uint64(raw) }
