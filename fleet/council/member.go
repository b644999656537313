package council

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
	"cobaltward/fleet/owner"
)

// Clock is a process's own. Both are fields so that a rehearsal can have them lie.
type Clock struct {
	Mono func() time.Duration
	Wall func() time.Time
}

// RealClock is the machine's.
func RealClock() Clock {
	began := time.Now()
	return Clock{Mono: func() time.Duration { return time.Since(began) }, Wall: time.Now}
}

// Config is what a member is told.
type Config struct {
	Name    string
	Address string            // under which the others reach it
	Via     map[string]string // where this process reaches an address, where that differs
	Token   string
	TLS     *tls.Config // of calls to other members; nil: they are plain
	Tick    time.Duration
	Clock   Clock
	Guards  owner.Guards
	Log     *slog.Logger
}

const (
	inboxSize   = 1024            // messages that wait; beyond, the oldest senders repeat
	queueSize   = 256             // messages to one member that wait
	mostBatch   = 64              // messages of one call
	mostBody    = 64 << 20        // of a call between members: a snapshot
	callTimeout = 2 * time.Second // of a call between members
	snapTimeout = 30 * time.Second
	mostWaiting = 1024 // proposals that wait for their entry
	ringSize    = 4096 // entries that followers may still get one by one
	mostWatch   = 2048 // followers that wait for something new
)

// Member is one of the council: a core with its disk and its links.
type Member struct {
	c      Config
	disk   Disk
	core   *Core
	inbox  chan *pb.Message
	asks   chan ask
	quit   chan struct{}
	ended  chan struct{}
	err    error
	parts  sync.WaitGroup
	http   *http.Client
	scheme string
	links  map[uint64]*link // of the loop
	addrs  sync.Map         // by id: addresses that messages came with
	watch  chan struct{}    // holds one for each follower that waits

	mu      sync.Mutex
	waiting map[uint64]chan fleet.Result
	view    View
	news    chan struct{} // closed when something new is there
	reports map[string]Report
	broken  atomic.Pointer[string]
}

// View is what a member shows of the log.
type View struct {
	State *fleet.State
	Ring  []fleet.Position // of the entries kept, oldest first
	Raw   [][]byte
	From  fleet.Position // entries after it are in the ring
	Loud  fleet.Position // the newest entry that followers should hear of at once
	Raft  raft.Status
	Heard time.Duration // when the member last had a leader, by its monotonic clock
}

// Report is what a follower says of itself with each question.
type Report struct {
	Name  string         `json:"name"`
	Run   string         `json:"run"`
	Epoch uint64         `json:"epoch"`
	At    fleet.Position `json:"at"`
	Holds []string       `json:"holds,omitempty"` // in force at its node
	Seen  time.Time      `json:"seen,omitzero"`
}

type ask struct {
	entry  *fleet.Entry
	member *fleet.Member
	remove bool
	id     uint64
	said   chan error
}

// Start makes a member of a disk and runs it. It has the disk until it ends.
func Start(c Config, d Disk) (*Member, error) {
	saved, err := d.Load()
	if err != nil {
		return nil, err
	}
	if c.Clock.Mono == nil {
		c.Clock = RealClock()
	}
	core, err := New(saved, c.Guards, CompactAfter, c.Clock.Mono(), logger{c.Log})
	if err != nil {
		return nil, err
	}
	m := &Member{c: c, disk: d, core: core, inbox: make(chan *pb.Message, inboxSize), asks: make(chan ask), quit: make(chan struct{}),
		ended: make(chan struct{}), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true, TLSClientConfig: c.TLS}},
		links: make(map[uint64]*link), watch: make(chan struct{}, mostWatch), waiting: make(map[uint64]chan fleet.Result),
		news: make(chan struct{}), reports: make(map[string]Report)}
	m.view = View{State: core.State(), From: core.State().Position, Loud: core.State().Position, Raft: core.Status()}
	if m.scheme = "http://"; c.TLS != nil {
		m.scheme = "https://"
	}
	go m.run()
	return m, nil
}

// ID is the member's, as its disk has it.
func (m *Member) ID() uint64 { return m.core.ID() }

// Ended is closed when the member has ended, by Close or since its disk failed it.
func (m *Member) Ended() <-chan struct{} { return m.ended }

// Close ends the member, and says what it ended for.
func (m *Member) Close() error {
	select {
	case <-m.quit:
	default:
		close(m.quit)
	}
	<-m.ended
	return m.err
}

// View is what there is to see now.
func (m *Member) View() View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// run is the goroutine that has the core.
func (m *Member) run() {
	defer close(m.ended)
	defer func() {
		for _, l := range m.links {
			close(l.queue)
		}
		m.parts.Wait()
		m.http.CloseIdleConnections()
		m.err = errors.Join(m.err, m.disk.Close())
	}()
	tick := time.NewTicker(m.c.Tick)
	defer tick.Stop()
	for {
		select {
		case <-m.quit:
			return
		case <-tick.C:
			m.core.Tick(m.c.Clock.Mono(), m.c.Clock.Wall())
		case msg := <-m.inbox:
			m.take(msg)
			for range len(m.inbox) { // what is there in one write
				m.take(<-m.inbox)
			}
		case a := <-m.asks:
			m.ask(a)
			for range mostBatch {
				select {
				case a := <-m.asks:
					m.ask(a)
					continue
				default:
				}
				break
			}
		}
		for w := m.core.Ready(); w != nil; w = m.core.Ready() {
			if m.err = m.work(w); m.err != nil {
				m.c.Log.Error("fleet: the member ends", "error", m.err)
				return
			}
		}
		m.show()
	}
}

func (m *Member) take(msg *pb.Message) {
	switch msg.GetType() { // of a link of this member
	case pb.MsgSnapStatus:
		m.core.SnapshotSent(msg.GetFrom(), !msg.GetReject())
		return
	case pb.MsgUnreachable:
		m.core.Unreachable(msg.GetFrom())
		return
	}
	if err := m.core.Step(msg); err != nil {
		m.c.Log.Debug("fleet: a message is not taken", "error", err)
	}
}

func (m *Member) ask(a ask) {
	if a.entry != nil {
		a.said <- m.core.Propose(a.id, *a.entry)
		return
	}
	a.said <- m.core.ProposeMember(a.id, *a.member, a.remove)
}

// work saves, sends and takes what the core has made.
func (m *Member) work(w *Work) error {
	if err := m.disk.Save(w); err != nil {
		return fmt.Errorf("council: what is on the disk is not known any more: %w", err)
	}
	out, err := m.core.Stored(w, m.c.Clock.Mono())
	if err != nil {
		return err
	}
	m.send(w.Messages)
	if out.Compact != nil {
		if err := m.disk.Compact(out.Compact, out.First); err != nil {
			return fmt.Errorf("council: what is on the disk is not known any more: %w", err)
		}
	}
	m.publish(out)
	return nil
}

// publish shows followers what is new, and answers who waits.
func (m *Member) publish(out Outcome) {
	if len(out.Applied) == 0 && !out.Restored {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	v := &m.view
	loud := out.Restored
	for _, a := range out.Applied {
		if ch := m.waiting[a.ID]; ch != nil && a.ID != 0 {
			delete(m.waiting, a.ID)
			ch <- a.Result // has room for it
		}
		if a.Raw == nil {
			continue
		}
		v.Ring, v.Raw = append(v.Ring, a.Result.Position), append(v.Raw, a.Raw)
		if !a.Entry.Deferrable() {
			loud, v.Loud = true, a.Result.Position
			m.tell(a)
		}
	}
	v.State = m.core.State()
	if out.Restored { // no entries lead there that followers could take
		v.Ring, v.Raw, v.From = nil, nil, v.State.Position
	}
	if n := len(v.Ring) - ringSize; n > ringSize/4 {
		v.From = v.Ring[n-1]
		v.Ring, v.Raw = slices.Clone(v.Ring[n:]), slices.Clone(v.Raw[n:])
	}
	if out.Restored {
		v.Loud = v.State.Position
	}
	if loud {
		close(m.news)
		m.news = make(chan struct{})
	}
}

// tell logs a change of an owner or a step.
func (m *Member) tell(a Applied) {
	e := a.Entry
	switch e.Kind {
	case fleet.KindAnnounceFormat, fleet.KindRenewLease, fleet.KindRegisterNode:
		return
	}
	if a.Result.Err != nil {
		m.c.Log.Debug("fleet: refused", "kind", e.Kind, "work", e.Resource, "job", e.JobID, "position", a.Result.Position, "error", a.Result.Err)
		return
	}
	m.c.Log.Info("fleet: "+string(e.Kind), "position", a.Result.Position, "work", e.Resource, "holder", e.Holder, "job", e.JobID, "step", e.Step.String(),
		"token", max(e.FencingToken, a.Result.FencingToken), "outcome", e.Outcome, "who", e.RequestedBy, "reason", e.Reason)
}

// show keeps the status of the log for who asks, and logs who leads.
func (m *Member) show() {
	st := m.core.Status()
	m.mu.Lock()
	defer m.mu.Unlock()
	if st.Lead != m.view.Raft.Lead {
		m.c.Log.Info("fleet: the council's leader", "member", fmt.Sprintf("%x", st.Lead), "term", st.GetTerm())
	}
	m.view.Raft = st
	if st.Lead != 0 {
		m.view.Heard = m.c.Clock.Mono()
	}
}

// ErrUnsure says that nobody can tell what became of a proposal.
var ErrUnsure = errors.New("council: what became of it is not known")

// Propose asks for an entry, and waits for it to be applied here. ErrUnsure, and ctx's end, say that it may be yet.
func (m *Member) Propose(ctx context.Context, e fleet.Entry) (fleet.Result, error) {
	return m.wait(ctx, ask{entry: &e})
}

// Change adds or removes a member.
func (m *Member) Change(ctx context.Context, mem fleet.Member, remove bool) (fleet.Result, error) {
	return m.wait(ctx, ask{member: &mem, remove: remove})
}

func (m *Member) wait(ctx context.Context, a ask) (r fleet.Result, err error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return r, err
	}
	a.id, a.said = binary.BigEndian.Uint64(b[:])|1, make(chan error, 1)
	came := make(chan fleet.Result, 1)
	m.mu.Lock()
	if len(m.waiting) >= mostWaiting {
		m.mu.Unlock()
		return r, errors.New("council: too many wait already")
	}
	m.waiting[a.id] = came
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.waiting, a.id)
		m.mu.Unlock()
	}()
	select {
	case m.asks <- a:
	case <-ctx.Done():
		return r, ctx.Err() // it never went out, but who asks need not tell that apart
	case <-m.ended:
		return r, errors.New("council: the member has ended")
	}
	select {
	case err = <-a.said:
	case <-m.ended:
		err = ErrUnsure
	}
	if err != nil {
		return r, err
	}
	select {
	case r = <-came:
		return r, nil
	case <-ctx.Done():
		return r, ErrUnsure
	case <-m.ended:
		return r, ErrUnsure
	}
}

// link is the way to another member: one call at a time, and a queue of bounded length.
type link struct {
	id    uint64
	queue chan *pb.Message
}

func (m *Member) send(all []*pb.Message) {
	for _, msg := range all {
		l := m.links[msg.GetTo()]
		if l == nil {
			l = &link{id: msg.GetTo(), queue: make(chan *pb.Message, queueSize)}
			m.links[l.id] = l
			m.parts.Go(func() { m.carry(l) })
		}
		select {
		case l.queue <- msg:
		default: // the log's protocol repeats
			m.core.Unreachable(l.id)
			if msg.GetType() == pb.MsgSnap {
				m.core.SnapshotSent(l.id, false)
			}
		}
	}
	for id, l := range m.links { // of members that are gone
		if _, ok := m.core.State().Members[id]; !ok && id != m.core.ID() && len(m.links) > len(m.core.State().Members)+8 {
			close(l.queue)
			delete(m.links, id)
		}
	}
}

// carry sends what the queue has, until it is closed.
func (m *Member) carry(l *link) {
	for first := range l.queue {
		batch, timeout := []*pb.Message{first}, callTimeout
		for len(batch) < mostBatch && len(l.queue) > 0 {
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
				snap, timeout = true, snapTimeout
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
func (m *Member) address(id uint64) string {
	addr := ""
	if mem, ok := m.View().State.Members[id]; ok {
		addr = mem.Address
	} else if v, ok := m.addrs.Load(id); ok {
		addr = v.(string)
	}
	if via := m.c.Via[addr]; via != "" {
		return via
	}
	return addr
}

func (m *Member) post(id uint64, body []byte, timeout time.Duration) error {
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
	req.Header.Set("Authorization", "Bearer "+m.c.Token)
	req.Header.Set(fromHeader, strconv.FormatUint(m.core.ID(), 16))
	req.Header.Set(addressHeader, m.c.Address)
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

// logger has raft's lines at debug, but for its panics, which are real.
type logger struct{ log *slog.Logger }

// Quiet is a logger for cores that says nothing, but panics where raft would.
var Quiet raft.Logger = logger{slog.New(slog.DiscardHandler)}

func (l logger) Debug(v ...any)              { l.log.Debug(fmt.Sprint(v...)) }
func (l logger) Debugf(f string, v ...any)   { l.debug(f, v...) }
func (l logger) Info(v ...any)               { l.log.Debug(fmt.Sprint(v...)) }
func (l logger) Infof(f string, v ...any)    { l.debug(f, v...) }
func (l logger) Warning(v ...any)            { l.log.Debug(fmt.Sprint(v...)) }
func (l logger) Warningf(f string, v ...any) { l.debug(f, v...) }
func (l logger) Error(v ...any)              { l.log.Warn(fmt.Sprint(v...)) }
func (l logger) Errorf(f string, v ...any)   { l.log.Warn(fmt.Sprintf(f, v...)) }
func (l logger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (l logger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l logger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (l logger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l logger) debug(f string, v ...any) {
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.log.Debug(fmt.Sprintf(f, v...))
	}
}
