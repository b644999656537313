package consensus

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
)

// Clock is a process's own. Both are fields so that a rehearsal can have them lie.
type Clock struct {
	Monotonic func() time.Duration
	Wall      func() time.Time
}

// SystemClock is the machine's.
func SystemClock() Clock {
	began := time.Now()
	return Clock{Monotonic: func() time.Duration { return time.Since(began) }, Wall: time.Now}
}

// Config is what a member is told.
type Config struct {
	Name             string
	Address          string            // under which the others reach it
	AddressOverrides map[string]string // where this process reaches an address, where that differs
	AuthToken        string
	TLS              *tls.Config // of calls to other members; nil: they are plain
	Tick             time.Duration
	Clock            Clock
	Unsafe           lease.UnsafeOptions
	Log              *slog.Logger
}

const (
	maxInbox            = 1024            // messages that wait; beyond, the oldest senders repeat
	maxPeerQueue        = 256             // messages to one member that wait
	maxBatch            = 64              // messages of one call
	maxMessageBody      = 64 << 20        // of a call between members: a snapshot
	peerTimeout         = 2 * time.Second // of a call between members
	snapshotTimeout     = 30 * time.Second
	maxPendingProposals = 1024 // proposals that wait for their entry
	maxRecentEntries    = 4096 // entries that followers may still get one by one
	maxWatchers         = 2048 // followers that wait for something new
)

// Replica is one of the council: a core with its disk and its links.
type Replica struct {
	config           Config
	storage          Storage
	core             *Core
	inbox            chan *pb.Message
	proposals        chan proposal
	quit             chan struct{}
	done             chan struct{}
	err              error
	tasks            sync.WaitGroup
	http             *http.Client
	scheme           string
	peers            map[uint64]*peer // of the loop
	learnedAddresses sync.Map         // by id: addresses that messages came with
	watchers         chan struct{}    // holds one for each follower that waits

	mu             sync.Mutex
	pendingResults map[uint64]chan fleet.Result
	view           View
	updated        chan struct{} // closed when something new is there
	reports        map[string]AgentReport
	broken         atomic.Pointer[string]
}

// View is what a member shows of the log.
type View struct {
	State           *fleet.State
	RecentPositions []fleet.Position // of the entries kept, oldest first
	RecentEntries   [][]byte
	RecentAfter     fleet.Position // entries after it are in the ring
	NotifyPosition  fleet.Position // the newest entry that followers should hear of at once
	Raft            raft.Status
	LeaderSeen      time.Duration // when the member last had a leader, by its monotonic clock
}

// AgentReport is what a follower says of itself with each question.
type AgentReport struct {
	Name                string         `json:"name"`
	Incarnation         string         `json:"run"`
	Epoch               uint64         `json:"epoch"`
	Position            fleet.Position `json:"at"`
	ActiveDisableOrders []string       `json:"holds,omitempty"` // in force at its node
	SeenAt              time.Time      `json:"seen,omitzero"`
}

type proposal struct {
	entry  *fleet.Entry
	member *fleet.Member
	remove bool
	id     uint64
	said   chan error
}

// Start makes a member of a disk and runs it. It has the disk until it ends.
func Start(c Config, d Storage) (*Replica, error) {
	saved, err := d.Load()
	if err != nil {
		return nil, err
	}
	if c.Clock.Monotonic == nil {
		c.Clock = SystemClock()
	}
	core, err := NewCore(saved, c.Unsafe, CompactAfter, c.Clock.Monotonic(), raftLogger{c.Log})
	if err != nil {
		return nil, err
	}
	m := &Replica{config: c, storage: d, core: core, inbox: make(chan *pb.Message, maxInbox), proposals: make(chan proposal), quit: make(chan struct{}),
		done: make(chan struct{}), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true, TLSClientConfig: c.TLS}},
		peers: make(map[uint64]*peer), watchers: make(chan struct{}, maxWatchers), pendingResults: make(map[uint64]chan fleet.Result),
		updated: make(chan struct{}), reports: make(map[string]AgentReport)}
	m.view = View{State: core.State(), RecentAfter: core.State().Position, NotifyPosition: core.State().Position, Raft: core.Status()}
	if m.scheme = "http://"; c.TLS != nil {
		m.scheme = "https://"
	}
	go m.run()
	return m, nil
}

// ID is the member's, as its disk has it.
func (m *Replica) ID() uint64 { return m.core.ID() }

// Done is closed when the member has ended, by Close or since its disk failed it.
func (m *Replica) Done() <-chan struct{} { return m.done }

// Close ends the member, and says what it ended for.
func (m *Replica) Close() error {
	select {
	case <-m.quit:
	default:
		close(m.quit)
	}
	<-m.done
	return m.err
}

// View is what there is to see now.
func (m *Replica) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// run is the goroutine that has the core.
func (m *Replica) run() {
	defer close(m.done)
	defer func() {
		for _, l := range m.peers {
			close(l.queue)
		}
		m.tasks.Wait()
		m.http.CloseIdleConnections()
		m.err = errors.Join(m.err, m.storage.Close())
	}()
	tick := time.NewTicker(m.config.Tick)
	defer tick.Stop()
	for {
		select {
		case <-m.quit:
			return
		case <-tick.C:
			m.core.Tick(m.config.Clock.Monotonic(), m.config.Clock.Wall())
		case msg := <-m.inbox:
			m.handleMessage(msg)
			for range len(m.inbox) { // what is there in one write
				m.handleMessage(<-m.inbox)
			}
		case a := <-m.proposals:
			m.submit(a)
			for range maxBatch {
				select {
				case a := <-m.proposals:
					m.submit(a)
					continue
				default:
				}
				break
			}
		}
		for w := m.core.Ready(); w != nil; w = m.core.Ready() {
			if m.err = m.persistAndApply(w); m.err != nil {
				m.config.Log.Error("fleet: the member ends", "error", m.err)
				return
			}
		}
		m.updateStatus()
	}
}

func (m *Replica) handleMessage(msg *pb.Message) {
	switch msg.GetType() { // of a link of this member
	case pb.MsgSnapStatus:
		m.core.ReportSnapshot(msg.GetFrom(), !msg.GetReject())
		return
	case pb.MsgUnreachable:
		m.core.ReportUnreachable(msg.GetFrom())
		return
	}
	if err := m.core.Step(msg); err != nil {
		m.config.Log.Debug("fleet: a message is not taken", "error", err)
	}
}

func (m *Replica) submit(a proposal) {
	if a.entry != nil {
		a.said <- m.core.Propose(a.id, *a.entry)
		return
	}
	a.said <- m.core.ProposeMembership(a.id, *a.member, a.remove)
}

// persistAndApply saves, sends and takes what the core has made.
func (m *Replica) persistAndApply(w *WriteBatch) error {
	if err := m.storage.Save(w); err != nil {
		return fmt.Errorf("council: what is on the disk is not known any more: %w", err)
	}
	out, err := m.core.Advance(w, m.config.Clock.Monotonic())
	if err != nil {
		return err
	}
	m.send(w.Messages)
	if out.Snapshot != nil {
		if err := m.storage.Compact(out.Snapshot, out.FirstKept); err != nil {
			return fmt.Errorf("council: what is on the disk is not known any more: %w", err)
		}
	}
	m.publish(out)
	return nil
}

// publish shows followers what is new, and answers who waits.
func (m *Replica) publish(out ApplyResult) {
	if len(out.Applied) == 0 && !out.Restored {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	v := &m.view
	loud := out.Restored
	for _, a := range out.Applied {
		if ch := m.pendingResults[a.ProposalID]; ch != nil && a.ProposalID != 0 {
			delete(m.pendingResults, a.ProposalID)
			ch <- a.Result // has room for it
		}
		if a.Raw == nil {
			continue
		}
		v.RecentPositions, v.RecentEntries = append(v.RecentPositions, a.Result.Position), append(v.RecentEntries, a.Raw)
		if !a.Entry.Deferrable() {
			loud, v.NotifyPosition = true, a.Result.Position
			m.logApplied(a)
		}
	}
	v.State = m.core.State()
	if out.Restored { // no entries lead there that followers could take
		v.RecentPositions, v.RecentEntries, v.RecentAfter = nil, nil, v.State.Position
	}
	if n := len(v.RecentPositions) - maxRecentEntries; n > maxRecentEntries/4 {
		v.RecentAfter = v.RecentPositions[n-1]
		v.RecentPositions, v.RecentEntries = slices.Clone(v.RecentPositions[n:]), slices.Clone(v.RecentEntries[n:])
	}
	if out.Restored {
		v.NotifyPosition = v.State.Position
	}
	if loud {
		close(m.updated)
		m.updated = make(chan struct{})
	}
}

// logApplied logs a change of an owner or a step.
func (m *Replica) logApplied(a AppliedEntry) {
	e := a.Entry
	switch e.Kind {
	case fleet.KindAnnounceFormat, fleet.KindRenewLease, fleet.KindRegisterNode:
		return
	}
	if a.Result.Err != nil {
		m.config.Log.Debug("fleet: refused", "kind", e.Kind, "work", e.Resource, "job", e.JobID, "position", a.Result.Position, "error", a.Result.Err)
		return
	}
	m.config.Log.Info("fleet: "+string(e.Kind), "position", a.Result.Position, "work", e.Resource, "holder", e.Holder, "job", e.JobID, "step", e.Step.String(),
		"token", max(e.FencingToken, a.Result.FencingToken), "outcome", e.Outcome, "who", e.RequestedBy, "reason", e.Reason)
}

// updateStatus keeps the status of the log for who asks, and logs who leads.
func (m *Replica) updateStatus() {
	st := m.core.Status()
	m.mu.Lock()
	defer m.mu.Unlock()
	if st.Lead != m.view.Raft.Lead {
		m.config.Log.Info("fleet: the council's leader", "member", fmt.Sprintf("%x", st.Lead), "term", st.GetTerm())
	}
	m.view.Raft = st
	if st.Lead != 0 {
		m.view.LeaderSeen = m.config.Clock.Monotonic()
	}
}

// ErrOutcomeUnknown says that nobody can tell what became of a proposal.
var ErrOutcomeUnknown = errors.New("council: what became of it is not known")

// Propose asks for an entry, and waits for it to be applied here. ErrUnsure, and ctx's end, say that it may be yet.
func (m *Replica) Propose(ctx context.Context, e fleet.Entry) (fleet.Result, error) {
	return m.await(ctx, proposal{entry: &e})
}

// ChangeMembership adds or removes a member.
func (m *Replica) ChangeMembership(ctx context.Context, mem fleet.Member, remove bool) (fleet.Result, error) {
	return m.await(ctx, proposal{member: &mem, remove: remove})
}

func (m *Replica) await(ctx context.Context, a proposal) (r fleet.Result, err error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return r, err
	}
	a.id, a.said = binary.BigEndian.Uint64(b[:])|1, make(chan error, 1)
	came := make(chan fleet.Result, 1)
	m.mu.Lock()
	if len(m.pendingResults) >= maxPendingProposals {
		m.mu.Unlock()
		return r, errors.New("council: too many wait already")
	}
	m.pendingResults[a.id] = came
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.pendingResults, a.id)
		m.mu.Unlock()
	}()
	select {
	case m.proposals <- a:
	case <-ctx.Done():
		return r, ctx.Err() // it never went out, but who asks need not tell that apart
	case <-m.done:
		return r, errors.New("council: the member has ended")
	}
	select {
	case err = <-a.said:
	case <-m.done:
		err = ErrOutcomeUnknown
	}
	if err != nil {
		return r, err
	}
	select {
	case r = <-came:
		return r, nil
	case <-ctx.Done():
		return r, ErrOutcomeUnknown
	case <-m.done:
		return r, ErrOutcomeUnknown
	}
}

// peer is the way to another member: one call at a time, and a queue of bounded length.
type peer struct {
	id    uint64
	queue chan *pb.Message
}

func (m *Replica) send(all []*pb.Message) {
	for _, msg := range all {
		l := m.peers[msg.GetTo()]
		if l == nil {
			l = &peer{id: msg.GetTo(), queue: make(chan *pb.Message, maxPeerQueue)}
			m.peers[l.id] = l
			m.tasks.Go(func() { m.sendQueued(l) })
		}
		select {
		case l.queue <- msg:
		default: // the log's protocol repeats
			m.core.ReportUnreachable(l.id)
			if msg.GetType() == pb.MsgSnap {
				m.core.ReportSnapshot(l.id, false)
			}
		}
	}
	for id, l := range m.peers { // of members that are gone
		if _, ok := m.core.State().Members[id]; !ok && id != m.core.ID() && len(m.peers) > len(m.core.State().Members)+8 {
			close(l.queue)
			delete(m.peers, id)
		}
	}
}

// sendQueued sends what the queue has, until it is closed.
func (m *Replica) sendQueued(l *peer) {
	for first := range l.queue {
		batch, timeout := []*pb.Message{first}, peerTimeout
		for len(batch) < maxBatch && len(l.queue) > 0 {
			batch = append(batch, <-l.queue)
		}
		var body []byte
		snap := false
		for _, msg := range batch {
			if msg == nil {
				continue
			}
			raw, err := proto.Marshal(msg)
			if err != nil {
				continue
			}
			if msg.GetType() == pb.MsgSnap {
				snap, timeout = true, snapshotTimeout
			}
			body = append(binary.AppendUvarint(body, uint64(len(raw))), raw...)
		}
		err := m.post(l.id, body, timeout)
		report := &pb.Message{From: proto.Uint64(l.id)}
		switch {
		case snap:
			report.Type, report.Reject = pb.MsgSnapStatus.Enum(), proto.Bool(err != nil)
		case err != nil:
			report.Type = pb.MsgUnreachable.Enum()
		default:
			continue
		}
		select {
		case m.inbox <- report:
		default:
		}
	}
}

// address is where a member is reached; empty where nobody has said yet.
func (m *Replica) address(id uint64) string {
	addr := ""
	if mem, ok := m.View().State.Members[id]; ok {
		addr = mem.Address
	} else if v, ok := m.learnedAddresses.Load(id); ok {
		addr = v.(string)
	}
	if via := m.config.AddressOverrides[addr]; via != "" {
		return via
	}
	return addr
}

func (m *Replica) post(id uint64, body []byte, timeout time.Duration) error {
	addr := m.address(id)
	if addr == "" {
		return fmt.Errorf("council: nobody has said where member %x is", id)
	}
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	go func() {
		select {
		case <-m.quit:
			stop()
		case <-ctx.Done():
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, m.scheme+addr+"/v1/log", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+m.config.AuthToken)
	req.Header.Set(fromHeader, strconv.FormatUint(m.core.ID(), 16))
	req.Header.Set(addressHeader, m.config.Address)
	req.Header.Set(epochHeader, strconv.FormatUint(m.View().State.Epoch, 10))
	resp, err := m.http.Do(req)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("council: member %x answers %s", id, resp.Status)
	}
	return nil
}

// raftLogger has raft's lines at debug, but for its panics, which are real.
type raftLogger struct{ log *slog.Logger }

// DiscardLogger is a logger for cores that says nothing, but panics where raft would.
var DiscardLogger raft.Logger = raftLogger{slog.New(slog.DiscardHandler)}

func (l raftLogger) Debug(v ...any)              { l.log.Debug(fmt.Sprint(v...)) }
func (l raftLogger) Debugf(f string, v ...any)   { l.debug(f, v...) }
func (l raftLogger) Info(v ...any)               { l.log.Debug(fmt.Sprint(v...)) }
func (l raftLogger) Infof(f string, v ...any)    { l.debug(f, v...) }
func (l raftLogger) Warning(v ...any)            { l.log.Debug(fmt.Sprint(v...)) }
func (l raftLogger) Warningf(f string, v ...any) { l.debug(f, v...) }
func (l raftLogger) Error(v ...any)              { l.log.Warn(fmt.Sprint(v...)) }
func (l raftLogger) Errorf(f string, v ...any)   { l.log.Warn(fmt.Sprintf(f, v...)) }
func (l raftLogger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l raftLogger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLogger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l raftLogger) debug(f string, v ...any) {
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.log.Debug(fmt.Sprintf(f, v...))
	}
}
