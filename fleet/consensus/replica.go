package consensus

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
)

// Config configures a replica.
type Config struct {
	Name    string
	Address string // IP:port at which other replicas reach this replica
	// AddressOverrides maps the address of another replica to the address at which this process reaches it, if the two
	// differ.
	AddressOverrides map[string]string
	AuthToken        string      // bearer token of calls to other replicas
	TLS              *tls.Config // TLS settings of calls to other replicas; nil: calls are not encrypted
	Tick             time.Duration
	Clock            Clock // zero: SystemClock
	Unsafe           lease.UnsafeOptions
	Log              *slog.Logger
}

// Limits of a replica.
const (
	maxInbox            = 1024 // maximum messages queued for the core; raft repeats dropped messages
	maxBatch            = 64   // maximum messages in one call, and maximum waiting proposals submitted together
	maxPendingProposals = 1024
	maxWatchers         = 2048   // maximum watch requests that wait at the same time
	maxReports          = 10_000 // maximum agents whose last report is kept
)

// Replica runs one Core with its Storage and its network transport. Its methods are safe for concurrent use.
type Replica struct {
	config    Config
	storage   Storage
	core      *Core // used only by the run goroutine, except for ID
	inbox     chan *raftpb.Message
	proposals chan proposal
	ctx       context.Context // canceled by Close
	cancel    context.CancelFunc
	done      chan struct{} // closed when the run goroutine ends
	err       error         // why the run goroutine ended; valid once done is closed
	transport *transport
	watchers  chan struct{} // semaphore: one value for each waiting watch request

	mu             sync.Mutex
	pendingResults map[uint64]chan fleet.Result // by proposal ID
	view           View
	updated        chan struct{}          // closed and replaced to make watchers read the view again
	reports        map[string]AgentReport // by name of the agent
}

// Start starts a replica on storage. The caller stops the replica with Close. The replica closes storage when it
// stops.
func Start(config Config, storage Storage) (*Replica, error) {
	persisted, err := storage.Load()
	if err != nil {
		return nil, err
	}
	if config.Clock.Monotonic == nil {
		config.Clock = SystemClock()
	}
	core, err := NewCore(persisted, config.Unsafe, CompactAfter, config.Clock.Monotonic(), raftLogger{config.Log})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	replica := &Replica{
		config:         config,
		storage:        storage,
		core:           core,
		inbox:          make(chan *raftpb.Message, maxInbox),
		proposals:      make(chan proposal),
		ctx:            ctx,
		cancel:         cancel,
		done:           make(chan struct{}),
		watchers:       make(chan struct{}, maxWatchers),
		pendingResults: make(map[uint64]chan fleet.Result),
		view:           newView(core),
		updated:        make(chan struct{}),
		reports:        make(map[string]AgentReport),
	}
	replica.transport = newTransport(replica)
	go replica.run()
	return replica, nil
}

// ID returns the ID of the replica, as recorded in its storage.
func (r *Replica) ID() uint64 { return r.core.ID() }

// Done returns a channel that is closed when the replica has stopped. A replica stops after Close or after an error,
// such as failed storage.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Close stops the replica. It returns the error that had stopped the replica before, if any, joined with the error of
// closing the storage.
func (r *Replica) Close() error {
	r.cancel()
	<-r.done
	return r.err
}

// run is the event loop of the run goroutine, which owns the core.
func (r *Replica) run() {
	defer close(r.done)
	defer r.shutDown()
	ticker := time.NewTicker(r.config.Tick)
	defer ticker.Stop()
	for r.handleNext(ticker.C) {
		if r.err = r.processReady(); r.err != nil {
			r.config.Log.Error("fleet: replica stopped", "error", r.err)
			return
		}
		r.updateStatus()
	}
}

func (r *Replica) shutDown() {
	r.cancel()
	r.transport.close()
	r.err = errors.Join(r.err, r.storage.Close())
}

// handleNext waits for the next event and passes it to the core. It returns false once the replica must stop.
// Messages or proposals that wait behind the first are handled together with the first, so that all share one write
// to storage.
func (r *Replica) handleNext(ticks <-chan time.Time) bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-ticks:
		r.core.Tick(r.config.Clock.Monotonic(), r.config.Clock.Wall())
	case message := <-r.inbox:
		r.handleMessage(message)
		for range len(r.inbox) {
			r.handleMessage(<-r.inbox)
		}
	case next := <-r.proposals:
		r.submit(next)
		r.submitWaiting()
	}
	return true
}

// handleMessage passes a message of another replica, or a report of the transport, to the core.
func (r *Replica) handleMessage(message *raftpb.Message) {
	switch message.GetType() {
	case raftpb.MsgSnapStatus:
		r.core.ReportSnapshot(message.GetFrom(), !message.GetReject())
		return
	case raftpb.MsgUnreachable:
		r.core.ReportUnreachable(message.GetFrom())
		return
	}
	if err := r.core.Step(message); err != nil {
		r.config.Log.Debug("fleet: message dropped", "error", err)
	}
}

// processReady stores and applies each write batch of the core, and then sends the messages of the batch. No message
// may be sent before the write.
func (r *Replica) processReady() error {
	for batch := r.core.Ready(); batch != nil; batch = r.core.Ready() {
		if err := r.processBatch(batch); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) processBatch(batch *WriteBatch) error {
	if err := r.storage.Save(batch); err != nil {
		return &StorageError{"saving a write batch", err}
	}
	result, err := r.core.Advance(batch, r.config.Clock.Monotonic())
	if err != nil {
		return err
	}
	r.transport.send(batch.Messages)
	if result.Snapshot != nil {
		if err := r.storage.Compact(result.Snapshot, result.FirstRetained); err != nil {
			return &StorageError{"saving a snapshot", err}
		}
	}
	r.publish(result)
	return nil
}
