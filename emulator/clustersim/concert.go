// Package clustersim plays a fleet in virtual time: the cores of a council, stewards and receivers, the same modules as in
// the processes, on disks, links and clocks that do what a schedule drawn from a seed says. The same seed plays the
// same schedule.
//
// It stands in for processes that die, are stopped, or are cut off, for messages that are lost, late or repeated, and
// for clocks that run apart by up to lease.MaxClockDrift, or jump where the schedule says so. What it does not play:
// HTTP, the file system, and goroutines; the rig of processes does.
package clustersim

import (
	"container/heap"
	"crypto/rand"
	"fmt"
	"hash/fnv"
	mrand "math/rand/v2"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/fleet/lease"
	"cobaltward/fleet/rollingupdate"
	"cobaltward/fleet/rollout"
)

const (
	ms            = time.Millisecond
	tick          = 100 * ms // of the council
	leaseDuration = 4 * time.Second
	poll          = 250 * ms // of followers
	drive         = 100 * ms // of stewards
	compact       = 40       // entries between snapshots
	healFor       = 90 * time.Second
	lateMost      = 20 * time.Second // a repeated message comes so late at most
)

// Config is what a schedule is drawn for.
type Config struct {
	Seed     uint64
	Members  int
	Nodes    int // each with a receiver
	Owners   int // nodes whose followers may own the work
	Length   time.Duration
	Lie      bool // clocks jump, too: then only receivers' rules are held against the run
	Guards   lease.UnsafeOptions
	NoSync   bool                  // votes and terms are not synced
	Versions bool                  // rollouts go on, and nodes act by rights to versions
	Rights   rollout.UnsafeOptions // with Versions
	Only     []int                 // of the kinds of faults in draw; nil: all
	Trace    func(string)
}

// Result is what a schedule came to.
type Result struct {
	Broken                                                []string
	Effects, Tokens, Late, Refused, Rounds, Commits       int
	Crashes, Stops, Cuts, Lost, Repeated, Jumps, New, Old int
	Wakes                                                 int // stops that were longer than a lease
	Acts, Rollouts                                        int // with Versions
	Messages                                              int
}

// Add sums up.
func (r *Result) Add(o Result) {
	r.Broken = append(r.Broken, o.Broken...)
	for _, p := range []struct {
		to   *int
		from int
	}{
		{&r.Effects, o.Effects},
		{&r.Tokens, o.Tokens},
		{&r.Late, o.Late},
		{&r.Refused, o.Refused},
		{&r.Rounds, o.Rounds},
		{&r.Commits, o.Commits},
		{&r.Crashes, o.Crashes},
		{&r.Stops, o.Stops},
		{&r.Cuts, o.Cuts},
		{&r.Lost, o.Lost},
		{&r.Repeated, o.Repeated},
		{&r.Jumps, o.Jumps},
		{&r.New, o.New},
		{&r.Old, o.Old},
		{&r.Wakes, o.Wakes},
		{&r.Acts, o.Acts},
		{&r.Rollouts, o.Rollouts},
		{&r.Messages, o.Messages},
	} {
		*p.to += p.from
	}
}

func (r Result) String() string {
	versions := ""
	if r.Acts > 0 {
		versions = fmt.Sprintf("%d requests decided through %d rollouts; ", r.Acts, r.Rollouts)
	}
	return versions + fmt.Sprintf("%d effects under %d tokens (%d late and harmless, %d refused), %d patches in %d rounds; %d crashes, %d stops (%d longer than a lease), %d cuts, %d new disks, %d older ones of receivers, %d jumps of clocks; of %d messages %d lost, %d repeated",
		r.Effects, r.Tokens, r.Late, r.Refused, r.Commits, r.Rounds, r.Crashes, r.Stops, r.Wakes, r.Cuts, r.New, r.Old, r.Jumps, r.Messages, r.Lost, r.Repeated)
}

// event is something that happens at a process, or to the world where it has none.
type event struct {
	at   time.Duration
	n    uint64
	on   *process
	life int // of the process; another one: it is lost; 0: any
	do   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// process is one: a member of the council or a node's follower.
type process struct {
	w       *world
	name    string
	index   int
	up      bool
	life    int
	stopped time.Duration // until then; 0: it runs
	slow    time.Duration // that messages to it take longer
	rate    float64       // of its clock
	jumped  time.Duration

	// A member.
	core    *consensus.Core
	disk    disk
	waiting map[uint64]func(fleet.Result)

	// A follower.
	state   *fleet.State
	steward *rollingupdate.Controller
	mem     *lease.FencedReceiver
	kept    []byte  // of the receiver's memory
	older   []byte  // a copy of it
	rights  *rights // with Config.Versions
	clearer rollout.RetirementTracker
	reads   map[uint64]func()
	node    *node
}

// node is what a follower drives: it outlives it.
type node struct {
	name   string
	out    bool
	newest fleet.FencingToken
	done   map[string]int
}

// disk is what a member has synced, and what not yet.
type disk struct {
	synced consensus.PersistentState
	hard   *pb.HardState // not synced, with the guard away
}

type world struct {
	c      Config
	r      *mrand.Rand
	now    time.Duration
	events queue
	n      uint64
	res    Result

	members, followers []*process
	cut                map[[2]int]int // links that are cut, by how many faults
	loss, repeat       float64
	slow               time.Duration
	log                map[fleet.Position]uint64 // what was applied at a position, by whichever member first
	nodes              []*node
	atOnce             int
	newest             fleet.FencingToken
	tokens             map[fleet.FencingToken]bool
	job                int
	jobID              string
	roll               int
	asked              uint64
}

// seeded is the source of raft's own draws.
type seeded struct{ r *mrand.ChaCha8 }

func (s seeded) Read(p []byte) (int, error) { return s.r.Read(p) }

// Run plays one schedule. It has raft draw from the seed, too, by the process's one source of randomness: no two runs
// go on in a process at a time.
func Run(c Config) (res Result) {
	var key [32]byte
	for i := range 8 {
		key[i] = byte(c.Seed >> (8 * i))
	}
	old := rand.Reader
	rand.Reader = seeded{mrand.NewChaCha8(key)}
	defer func() { rand.Reader = old }()
	w := &world{c: c, r: mrand.New(mrand.NewPCG(c.Seed, 0xf1ee7)), cut: make(map[[2]int]int), log: make(map[fleet.Position]uint64), tokens: make(map[fleet.FencingToken]bool)}
	defer func() {
		if p := recover(); p != nil { // raft panics where its own rules are broken
			w.fail("a member ended by itself: %v", p)
		}
		w.res.Tokens = len(w.tokens)
		res = w.res
	}()
	w.build()
	w.draw()
	w.play()
	return w.res
}

func (w *world) fail(format string, args ...any) {
	w.res.Broken = append(w.res.Broken, fmt.Sprintf("seed %d at %v: %s", w.c.Seed, w.now, fmt.Sprintf(format, args...)))
}

func (w *world) trace(format string, args ...any) {
	if w.c.Trace != nil {
		w.c.Trace(fmt.Sprintf("%10v %s", w.now.Round(ms), fmt.Sprintf(format, args...)))
	}
}

// at has something happen after d; with a process: at that process, in this life of it, once it runs.
func (w *world) at(d time.Duration, on *process, do func()) {
	w.n++
	e := event{at: w.now + d, n: w.n, on: on, do: do}
	if on != nil {
		e.life = on.life
	}
	heap.Push(&w.events, e)
}

func (w *world) build() {
	w.atOnce = 1
	for i := range w.c.Members + w.c.Nodes {
		p := &process{w: w, index: i, rate: 1}
		if !w.c.Lie { // apart by as much as is promised for
			p.rate = 1 - lease.MaxClockDrift/2 + lease.MaxClockDrift*w.r.Float64()
		} else if w.r.Float64() < 0.3 {
			p.rate = 0.5 + 1.5*w.r.Float64()
		}
		if i < w.c.Members {
			p.name = fmt.Sprintf("c%d", i+1)
			w.members = append(w.members, p)
			continue
		}
		p.name = fmt.Sprintf("n%d", i-w.c.Members+1)
		p.node = &node{name: p.name, done: make(map[string]int)}
		w.nodes = append(w.nodes, p.node)
		w.followers = append(w.followers, p)
	}
	// The council as it is once all members have been added.
	all := make(map[uint64]fleet.Member)
	var voters []uint64
	for i, p := range w.members {
		id := uint64(i + 1)
		all[id] = fleet.Member{ID: id, Name: p.name, Address: p.name, SupportedFormat: fleet.FormatVersion}
		voters = append(voters, id)
	}
	nodes := make(map[string]fleet.Node)
	for i, p := range w.followers {
		nodes[p.name] = fleet.Node{Name: p.name, Address: p.name, Capacity: 1, LeaseCandidate: i < w.c.Owners}
	}
	s := fleet.NewState(1).WithMembers(1, all)
	s.Nodes = nodes
	snap := &pb.Snapshot{Data: s.Marshal(), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: voters}}}
	for i, p := range w.members {
		p.disk.synced = consensus.PersistentState{ID: uint64(i + 1), Snapshot: snap, HardState: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}}
		p.start()
	}
	for _, p := range w.followers {
		p.start()
	}
}

// mono is a process's own clock.
func (p *process) mono() time.Duration {
	return time.Duration(float64(p.w.now)*p.rate) + p.jumped
}

func (p *process) start() {
	p.up, p.stopped = true, 0
	p.life++
	w := p.w
	if p.node == nil {
		core, err := consensus.NewCore(p.disk.load(), w.c.Guards, compact, p.mono(), consensus.DiscardLogger)
		if err != nil {
			panic(err)
		}
		p.core, p.waiting, p.reads = core, make(map[uint64]func(fleet.Result)), make(map[uint64]func())
		p.clearer = rollout.RetirementTracker{LeaseDuration: rightLength, Unsafe: w.c.Rights}
		p.every(tick, func() {
			p.core.Tick(p.mono(), time.Unix(0, 0).Add(w.now))
			p.work()
		})
		return
	}
	p.state = fleet.NewState(0)
	var m lease.ReceiverState
	if p.kept != nil {
		decode(p.kept, &m)
	}
	p.mem = lease.Restore(m, p.name, fmt.Sprint(p.life), w.c.Guards)
	p.every(poll, p.follow)
	if w.c.Versions {
		p.act()
	}
	if p.index-w.c.Members < w.c.Owners {
		p.steward = rollingupdate.NewController(fleet.JobRollingUpdate, fmt.Sprintf("%s/%d", p.name, p.life), p.name, leaseDuration, w.c.Guards)
		p.every(drive, p.own)
	}
}

// every has something done again and again, in this life of the process, by its own clock.
func (p *process) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		p.w.at(time.Duration(float64(d)/p.rate), p, again)
	}
	p.w.at(time.Duration(p.w.r.Float64()*float64(d)), p, again)
}

func (p *process) crash() {
	if !p.up {
		return
	}
	p.up = false
	p.life++
	p.disk.hard = nil // what was not synced is gone
	p.w.res.Crashes++
	p.w.trace("%s dies", p.name)
}

// load is what is there after a start.
func (d *disk) load() consensus.PersistentState { return d.synced }

// save keeps a piece of work. With its guard away, a term and a vote are synced only with the entries that come next.
func (d *disk) save(w *consensus.WriteBatch, guard bool) {
	s := &d.synced
	if w.Snapshot != nil {
		s.Snapshot, s.Entries = w.Snapshot, nil
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].GetIndex()
		kept := s.Entries[:0:0]
		for _, e := range s.Entries {
			if e.GetIndex() < first {
				kept = append(kept, e)
			}
		}
		s.Entries = append(kept, w.Entries...)
	}
	if w.HardState != nil {
		d.hard = w.HardState
	}
	if d.hard != nil && (guard || len(w.Entries) > 0 || w.Snapshot != nil) {
		s.HardState, d.hard = d.hard, nil
	}
}

// work does what the core wants.
func (p *process) work() {
	w := p.w
	for x := p.core.Ready(); x != nil; x = p.core.Ready() {
		p.disk.save(x, !w.c.NoSync)
		out, err := p.core.Advance(x, p.mono())
		if err != nil {
			panic(err)
		}
		if out.Snapshot != nil {
			s := &p.disk.synced
			s.Snapshot = out.Snapshot
			if p.disk.hard != nil {
				s.HardState, p.disk.hard = p.disk.hard, nil
			}
			s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *pb.Entry) bool { return e.GetIndex() <= out.Snapshot.GetMetadata().GetIndex() })
		}
		p.clearer.Observe(p.core.State(), p.mono())
		for _, id := range out.ConfirmedReads {
			if do := p.reads[id]; do != nil {
				delete(p.reads, id)
				do()
			}
		}
		for _, m := range x.Messages {
			to := w.member(m.GetTo())
			if to == nil {
				continue
			}
			if m.GetType() == pb.MsgSnap { // a link tells what became of it; what is lacking is sent again
				w.at(300*ms, p, func() { p.core.ReportSnapshot(m.GetTo(), true) })
			}
			w.send(p, to, func() {
				if to.core.ID() != m.GetTo() {
					return // it lost its disk, and is another
				}
				_ = to.core.Step(m) // what it does not take is lost
				to.work()
			})
		}
		for _, a := range out.Applied {
			h := fnv.New64a()
			h.Write(a.Raw)
			if _, ok := w.log[a.Result.Position]; !ok && w.c.Trace != nil {
				w.trace("%s is the first to apply %d: %s: %v", p.name, a.Result.Position, a.Raw, a.Result.Err)
			}
			if was, ok := w.log[a.Result.Position]; ok && was != h.Sum64() {
				w.fail("the log forks at position %d: %s has applied %s", a.Result.Position, p.name, a.Raw)
			}
			w.log[a.Result.Position] = h.Sum64()
			if answer := p.waiting[a.ProposalID]; a.ProposalID != 0 && answer != nil {
				delete(p.waiting, a.ProposalID)
				answer(a.Result)
			}
		}
	}
}

// member is the process that goes by an id.
func (w *world) member(id uint64) *process {
	for _, p := range w.members {
		if p.core != nil && p.core.ID() == id {
			return p
		}
	}
	return nil
}

// send carries a message to a process, whichever life it is in: lost, late, or twice. Answers go to the life that
// asked, which is why they are sent by reply.
func (w *world) send(from, to *process, do func()) { w.carry(from, to, 0, do) }

// reply is the way back of what a process in one life has asked.
func (w *world) reply(from, to *process, life int, do func()) { w.carry(from, to, life, do) }

func (w *world) carry(from, to *process, life int, do func()) {
	w.res.Messages++
	if w.cut[[2]int{from.index, to.index}] > 0 || w.r.Float64() < w.loss {
		w.res.Lost++
		return
	}
	late := func() time.Duration {
		return ms + time.Duration(w.r.ExpFloat64()*float64(3*ms)) + time.Duration(w.r.ExpFloat64()*float64(w.slow)) + to.slow
	}
	deliver := func(d time.Duration) {
		w.n++
		heap.Push(&w.events, event{at: w.now + d, n: w.n, on: to, life: life, do: do})
	}
	deliver(late())
	if w.r.Float64() < w.repeat {
		w.res.Repeated++
		deliver(late() + time.Duration(w.r.Float64()*w.r.Float64()*float64(lateMost)))
	}
}

// propose asks a member for an entry; back hears of what came of it, if anything does.
func (p *process) propose(to *process, e fleet.Entry, back func(fleet.Result)) {
	w := p.w
	w.asked++
	id, life := w.asked<<1|1, p.life
	w.send(p, to, func() {
		to.waiting[id] = func(r fleet.Result) { w.reply(to, p, life, func() { back(r) }) }
		if to.core.Propose(id, e) != nil {
			delete(to.waiting, id)
		}
		to.work()
	})
}

func (w *world) any() *process { return w.members[w.r.IntN(len(w.members))] }

// follow asks a member for the state.
func (p *process) follow() {
	to, life := p.w.any(), p.life
	p.w.send(p, to, func() {
		s := to.core.State()
		p.w.reply(to, p, life, func() {
			if s.NewerThan(p.state) {
				p.state = s
			}
			if !p.mem.Registered(p.state) {
				self := fleet.Node{Name: p.name, Address: p.name, Capacity: 1, LeaseCandidate: p.steward != nil, Incarnation: fmt.Sprint(p.life)}
				p.propose(p.w.any(), fleet.Entry{Kind: fleet.KindRegisterNode, Node: &self}, func(fleet.Result) {})
			}
		})
	})
}

// own is a steward's turn.
func (p *process) own() {
	w := p.w
	asked := p.mono()
	if e, ok := p.steward.NextProposal(asked, p.state); ok {
		p.propose(w.any(), e, func(r fleet.Result) {
			if p.mono()-asked < leaseDuration/2 { // later it is given up
				p.steward.HandleResult(asked, p.mono(), e, r, true)
			}
		})
	}
	v := rollingupdate.ClusterView{Nodes: make(map[string]rollingupdate.NodeStatus)}
	for _, f := range w.followers {
		v.Nodes[f.name] = rollingupdate.NodeStatus{Capacity: 1, LeaseCandidate: f.steward != nil, Serving: f.up && f.stopped == 0 && !f.node.out && w.cut[[2]int{p.index, f.index}] == 0}
	}
	for _, a := range p.steward.Next(p.mono(), p.state, v) {
		if a.Entry != nil {
			p.write(*a.Entry)
			continue
		}
		// A process may be stopped between its check of the lease and the effect.
		o := *a.Request
		w.at(time.Duration(w.r.ExpFloat64()*float64(ms)), p, func() { p.effect(o) })
	}
}

func (p *process) write(e fleet.Entry) {
	p.propose(p.w.any(), e, func(r fleet.Result) { p.steward.HandleWrite(r) })
}

func (p *process) effect(o lease.EffectRequest) {
	w, life := p.w, p.life
	to := w.followers[slices.IndexFunc(w.followers, func(f *process) bool { return f.name == o.Step.Node })]
	w.send(p, to, func() {
		reply, verdict, changed := to.mem.Decide(o, to.state)
		if changed {
			to.keep()
		}
		switch verdict {
		case lease.Reject:
			w.res.Refused++
			return
		case lease.Defer:
			return
		case lease.Execute, lease.VerifyFirst:
			to.carry(o, verdict == lease.VerifyFirst)
		}
		w.reply(to, p, life, func() {
			for _, e := range p.steward.HandleResponse(o, reply) {
				p.write(e)
			}
		})
	})
}

func (p *process) keep() {
	if p.w.r.IntN(8) == 0 {
		p.older = p.kept
	}
	p.kept = encode(p.mem.ReceiverState)
}

// carry does an effect to the node, in a while; a crash in between leaves it half done.
func (p *process) carry(o lease.EffectRequest, look bool) {
	w := p.w
	took := func() time.Duration { return 20*ms + time.Duration(w.r.ExpFloat64()*float64(300*ms)) }
	end := func(outcome fleet.StepOutcome) {
		p.mem.EffectLog.Finish(o.IdempotencyKey, outcome, "")
		p.keep()
	}
	w.at(took(), p, func() {
		if o.Step.Action == fleet.ActionPatch && look && p.node.done[o.IdempotencyKey] > 0 {
			end(fleet.OutcomeOK)
			return
		}
		w.effect(p.node, o)
		w.at(took(), p, func() { end(fleet.OutcomeOK) })
	})
}

// effect is one at a node, held against the rules.
func (w *world) effect(n *node, o lease.EffectRequest) {
	what := o.Step.Action
	if what == fleet.ActionDrain && n.out || what == fleet.ActionResume && !n.out {
		return // it is so already
	}
	w.res.Effects++
	w.tokens[o.FencingToken] = true
	w.trace("%s: %s under token %d", n.name, o.IdempotencyKey, o.FencingToken)
	if o.FencingToken < w.newest {
		w.res.Late++
	}
	w.newest = max(w.newest, o.FencingToken)
	if o.FencingToken < n.newest {
		w.fail("%s: %s under token %d, after %d", n.name, o.IdempotencyKey, o.FencingToken, n.newest)
	}
	n.newest = max(n.newest, o.FencingToken)
	switch what {
	case fleet.ActionDrain:
		n.out = true
		away := 0
		for _, m := range w.nodes {
			if m.out {
				away++
			}
		}
		if away > w.atOnce {
			w.fail("%d nodes out at once: %s under token %d", away, o.IdempotencyKey, o.FencingToken)
		}
	case fleet.ActionPatch:
		if !n.out {
			w.fail("%s is patched and not out", n.name)
		}
		w.res.Commits++
		if n.done[o.IdempotencyKey]++; n.done[o.IdempotencyKey] > 1 {
			w.fail("%s was done %d times", o.IdempotencyKey, n.done[o.IdempotencyKey])
		}
	case fleet.ActionResume:
		n.out = false
	}
}

// play has the events happen, and looks that no two owners may act at once.
func (w *world) play() {
	end := w.c.Length + healFor
	for len(w.events) > 0 && len(w.res.Broken) == 0 {
		e := heap.Pop(&w.events).(event)
		if e.at > end {
			break
		}
		w.now = max(w.now, e.at)
		if p := e.on; p != nil {
			if !p.up || e.life != 0 && p.life != e.life {
				continue
			}
			if p.stopped > w.now {
				e.at = p.stopped
				heap.Push(&w.events, e)
				continue
			}
			p.stopped = 0
		}
		e.do()
		if e.on != nil && e.on.steward != nil && !w.c.Lie {
			w.owners()
		}
		if w.now > w.c.Length && w.over() {
			return
		}
	}
	if len(w.res.Broken) == 0 && !w.over() {
		w.fail("the round %s did not end within %v of the last fault; %s", w.jobID, healFor, w.council())
	}
}

// council is how the members stand, in words.
func (w *world) council() (all string) {
	for _, p := range w.members {
		st := p.core.Status()
		all += fmt.Sprintf("%s (%x, up %v): %v in term %d under %x, position %d of %d, voters %v, members %v; ", p.name, p.core.ID(), p.up, st.RaftState, st.GetTerm(), st.Lead,
			p.core.State().Position, st.GetCommit(), st.Config.Voters, p.core.State().Members)
	}
	return all
}

// owners looks that at most one process that runs may act.
func (w *world) owners() {
	who := ""
	for _, p := range w.followers {
		if p.steward == nil || !p.up || p.stopped > w.now {
			continue
		}
		if t, ok := p.steward.FencingToken(p.mono()); ok {
			if who != "" {
				w.fail("two owners may act at once: %s and %s under token %d", who, p.name, t)
			}
			who = fmt.Sprintf("%s under token %d", p.name, t)
		}
	}
}

// newestState is that of whichever member is the farthest.
func (w *world) newestState() *fleet.State {
	var s *fleet.State
	for _, p := range w.members {
		if p.core != nil && p.up && (s == nil || p.core.State().NewerThan(s)) {
			s = p.core.State()
		}
	}
	return s
}

// over tells whether the last round has ended, with every node patched once and back.
func (w *world) over() bool {
	s := w.newestState()
	if s == nil || s.Jobs[w.jobID] == nil || s.Jobs[w.jobID].CloseReason == "" {
		return false
	}
	j := s.Jobs[w.jobID]
	if j.CloseReason != "done" {
		w.fail("the round %s ended as %s: %s", j.ID, j.CloseReason, j.Detail)
	}
	for _, n := range w.nodes {
		if n.out || n.done[rollingupdate.IdempotencyKey(j.ID, fleet.StepKey{Node: n.name, Action: fleet.ActionPatch})] != 1 {
			w.fail("the round %s is done, and %s is out (%v) or not patched", j.ID, n.name, n.out)
		}
	}
	return true
}

// draw puts the faults of the seed, and the operator's rounds, into the queue.
func (w *world) draw() {
	r := w.r
	all := slices.Concat(w.members, w.followers)
	between := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(r.Float64()*float64(hi-lo)) }
	var admin func()
	admin = func() {
		w.operator()
		w.at(300*ms, nil, admin)
	}
	w.at(0, nil, admin)
	for at := between(0, 3*time.Second); at < w.c.Length; at += between(100*ms, 6*time.Second) {
		length := between(200*ms, 10*time.Second)
		if at+length > w.c.Length {
			length = w.c.Length - at
		}
		p := all[r.IntN(len(all))]
		q := all[r.IntN(len(all))]
		kind := r.IntN(14)
		if w.c.Only != nil {
			kind = w.c.Only[r.IntN(len(w.c.Only))]
		}
		switch kind {
		case 0, 1:
			lost := r.IntN(3) == 0
			w.at(at, nil, func() { w.kill(p, lost) })
			w.at(at+length, nil, func() { w.revive(p) })
		case 2, 3: // of half a lease, of ten, of a hundred and fifty
			if span := []time.Duration{leaseDuration / 2, 10 * leaseDuration, 150 * leaseDuration}[r.IntN(3)]; p.node != nil {
				length = min(length+span, w.c.Length-at)
			}
			w.at(at, nil, func() { w.stop(p, length) })
		case 4, 5: // a part of the processes from the rest, one way or both
			side := make(map[*process]bool)
			for _, x := range all {
				side[x] = r.IntN(3) == 0
			}
			w.cutOff(at, length, func(a, b *process) bool { return side[a] != side[b] }, r.IntN(3))
		case 6: // two that don't see each other
			w.cutOff(at, length, func(a, b *process) bool { return a == p && b == q || a == q && b == p }, r.IntN(3))
		case 7:
			loss := 0.5 * r.Float64()
			w.at(at, nil, func() { w.loss += loss })
			w.at(at+length, nil, func() { w.loss -= loss })
		case 8:
			slow := between(5*ms, leaseDuration/3)
			w.at(at, nil, func() { w.slow += slow })
			w.at(at+length, nil, func() { w.slow -= slow })
		case 9:
			repeat := 0.4 * r.Float64()
			w.at(at, nil, func() { w.repeat += repeat })
			w.at(at+length, nil, func() { w.repeat -= repeat })
		case 11: // one that may own hears late, and then nothing and nobody hears it
			p := w.followers[r.IntN(w.c.Owners)]
			slow := time.Duration((0.3 + 0.18*r.Float64()) * float64(leaseDuration))
			w.at(at, nil, func() { p.slow += slow })
			w.at(at+length, nil, func() { p.slow -= slow })
			if at+2*length < w.c.Length {
				w.cutOff(at+length, length, func(a, b *process) bool { return a == p || b == p }, 0)
			}
		case 13: // a node hears late
			p := w.followers[len(w.followers)-1]
			slow := time.Duration((0.3 + 0.18*r.Float64()) * float64(leaseDuration))
			w.at(at, nil, func() { p.slow = slow })
			w.at(at+2*length, nil, func() { p.slow = 0 })
		case 12: // two members don't see each other, and one that sees both dies and is back at once, again and again
			order := r.Perm(len(w.members))
			a, b, c := w.members[order[0]], w.members[order[1]], w.members[order[2]]
			w.cutOff(at, length, func(x, y *process) bool { return x == a && y == b || x == b && y == a }, 0)
			for t := at; t < at+length; t += between(50*ms, time.Second) {
				w.at(t, nil, func() { w.kill(c, false) })
				w.at(t+between(ms, 40*ms), nil, func() { w.revive(c) })
			}
		case 10:
			if w.c.Lie {
				jump := between(-5*time.Second, 20*time.Second)
				w.at(at, nil, func() {
					p.jumped += max(jump, 0)
					w.res.Jumps++
				})
				continue
			}
			w.at(at, nil, func() { // all members at once
				for _, m := range w.members {
					w.kill(m, false)
				}
			})
			w.at(at+length, nil, func() {
				for _, m := range w.members {
					w.revive(m)
				}
			})
		}
	}
}

func (w *world) kill(p *process, lost bool) {
	p.crash()
	if p.node != nil && lost { // its disk is lost, or a copy is put back
		p.kept = p.older
		w.res.Old++
		w.trace("%s finds an older disk", p.name)
	}
	if p.node != nil || !lost || len(w.members) < 3 {
		return
	}
	s := w.newestState()
	if s == nil || len(s.Members) < len(w.members) || slices.ContainsFunc(w.members, func(m *process) bool { return m != p && m.core != nil && m.disk.synced.Snapshot == nil }) {
		return // one at a time: more is beyond what is stood
	}
	for _, m := range s.Members {
		if m.Learner {
			return
		}
	}
	w.res.New++
	p.disk = disk{synced: consensus.PersistentState{ID: w.r.Uint64() | 1}}
	w.trace("%s has lost its disk", p.name)
}

func (w *world) revive(p *process) {
	if !p.up {
		w.trace("%s starts", p.name)
		p.start()
	}
}

func (w *world) stop(p *process, length time.Duration) {
	if !p.up || p.stopped > w.now {
		return
	}
	p.stopped = w.now + length
	w.res.Stops++
	if length > leaseDuration {
		w.res.Wakes++
	}
	w.trace("%s is stopped for %v", p.name, length)
}

// cutOff cuts links between pairs: 0 both ways, 1 and 2 one way.
func (w *world) cutOff(at, length time.Duration, pair func(a, b *process) bool, way int) {
	var links [][2]int
	all := slices.Concat(w.members, w.followers)
	for _, a := range all {
		for _, b := range all {
			if a != b && pair(a, b) && (way == 0 || (way == 1) == (a.index < b.index)) {
				links = append(links, [2]int{a.index, b.index})
			}
		}
	}
	w.at(at, nil, func() {
		w.res.Cuts++
		for _, l := range links {
			w.cut[l]++
		}
		w.trace("%d links are cut", len(links))
	})
	w.at(at+length, nil, func() {
		for _, l := range links {
			w.cut[l]--
		}
	})
}

// operator keeps a round going on, and adds members that have lost their disk, as an operator would.
func (w *world) operator() {
	s := w.newestState()
	if s == nil {
		return
	}
	if w.now <= w.c.Length && (w.jobID == "" || s.Jobs[w.jobID] != nil && s.Jobs[w.jobID].CloseReason != "") {
		if w.jobID != "" {
			w.res.Rounds++
			w.over()
		}
		w.job++
		w.jobID = fmt.Sprintf("r%d", w.job)
	}
	lead := w.leader()
	if lead == nil {
		return
	}
	if w.c.Versions {
		w.rollouts(s, lead)
	}
	if s.Jobs[w.jobID] == nil {
		var names []string
		for _, f := range w.followers {
			names = append(names, f.name)
		}
		_ = lead.core.Propose(0, fleet.Entry{Kind: fleet.KindStartJob, JobID: w.jobID, Spec: &fleet.JobSpec{Kind: fleet.JobRollingUpdate, Nodes: names, MaxUnavailable: w.atOnce}}) // again, if need be
	}
	for _, p := range w.members {
		id := p.disk.synced.ID
		if _, ok := s.Members[id]; ok || !p.up {
			continue
		}
		for old, m := range s.Members {
			if m.Name == p.name {
				_ = lead.core.ProposeMembership(0, fleet.Member{ID: old}, true)
			}
		}
		_ = lead.core.ProposeMembership(0, fleet.Member{ID: id, Name: p.name, Address: p.name, Learner: true}, false) // refused until the old one is gone
	}
	lead.work()
}

// leader is the member that leads, as far as most know.
func (w *world) leader() *process {
	var best *process
	for _, p := range w.members {
		if p.up && p.stopped <= w.now && p.core.Leader() == p.core.ID() && (best == nil || p.core.Status().GetTerm() > best.core.Status().GetTerm()) {
			best = p
		}
	}
	return best
}
