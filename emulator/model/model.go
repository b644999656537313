// Package model is an app server as an emulator has it: cores, slots, a waiting room, cold starts, pauses,
// and what of it goes wrong when it is pushed. It does no I/O and reads no clock: requests and times in,
// completions out, and the same every time.
package model

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// Cancel says what giving a request up does at the server.
type Cancel uint8

// What a cancel stops.
const (
	CancelNothing Cancel = iota
	CancelWaiting        // what waits is dropped; what runs goes on
	CancelAll
)

// Config is one kind of server. Times are of the server's own clock; work is seconds of a core of speed 1.
type Config struct {
	Cores int
	Speed float64 // work a second of each core
	Slots int     // requests in work at once, which share the cores evenly: as many as cores is FIFO
	Queue int     // requests that may wait for a slot; beyond, they are turned away

	Thrash   float64 // capacity is divided by 1 + Thrash for each request a core held beyond ThrashAt
	ThrashAt float64 // requests a core

	Cold  Cold
	Pause Pause

	Cancel      Cancel
	DropExpired bool // what waits past its time is dropped unseen

	ConnWork float64 // work of a new connection
	ConnCap  int     // connections; 0: no bound
	FullTax  float64 // part of the capacity that a full table of connections takes
}

// Cold is how a server starts. The zero value starts warm.
type Cold struct {
	From   float64       // part of the capacity at the start; 0: warm
	For    time.Duration // until it is warm
	ByWork bool          // it warms by the work it has done, and is warm after what it could do in For at its full capacity
	// Sent more than Multiple times what it can do at that moment for Window, it falls over and stays down.
	Multiple float64 // 0: never
	Window   time.Duration
}

// Pause is how a server stops now and then. The zero value never does.
type Pause struct {
	Every  time.Duration // from the end of one to the next
	Length time.Duration
	Grow   float64 // part by which a request a core held at its beginning makes it longer
}

// Repeats tells whether a key was there lately, in a group of servers that discard its repeats: *Keys, or one
// that several share.
type Repeats interface {
	Repeat(key string, now time.Duration) bool
}

// Request is what a server is sent.
type Request struct {
	ID       string
	Key      string        // repeats of it are discarded by the server's group
	Work     float64       // seconds of a core of speed 1
	Deadline time.Duration // when nobody waits any more; 0: never
}

// Verdict is what becomes of a request at once.
type Verdict uint8

// The verdicts. Full and Down prove that it never runs.
const (
	Taken Verdict = iota
	Full
	Down
)

// Completion is the end of a request at a server.
type Completion struct {
	ID        string
	At        time.Duration
	Discarded bool // a repeat: answered, without an effect
	Lost      bool // the server fell over or stopped: no answer
}

// Execution is one line of the ledger.
type Execution struct {
	ID, Key   string
	Began     time.Duration
	Discarded bool
}

// Server is one server. It isn't safe for concurrent use. Times must not go back.
type Server struct {
	c     Config
	group Repeats

	now     time.Duration
	started time.Duration
	down    bool
	done    float64 // work since the start

	// Those in work share the cores evenly, so one figure says how far each is: the work that one which had
	// been there from the beginning would have got. A request ends when it reaches what it began at and its
	// own work.
	attained float64
	running  running
	waiting  []Request
	byID     map[string]*job

	warmth               float64       // the part of its capacity that its start leaves it
	warmNext             time.Duration // when that changes
	pauseEnds, pauseNext time.Duration
	conns                int
	sent                 []arrival // within the window of the cold start
	sentWork             float64

	ledger []Execution
	watch  func(Execution)
	pushed []string     // what was sent within the window in which it fell over
	ended  []Completion // since Advance returned some
	told   []Completion // what it returned
}

type job struct {
	Request
	ends      float64 // of attained
	discarded bool
	at        int
}

type arrival struct {
	at   time.Duration
	work float64
	id   string
}

// running is a heap by what ends first.
type running []*job

func (r running) Len() int           { return len(r) }
func (r running) Less(i, j int) bool { return r[i].ends < r[j].ends }
func (r running) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].at, r[j].at = i, j
}

func (r *running) Push(x any) {
	j := x.(*job)
	j.at = len(*r)
	*r = append(*r, j)
}

func (r *running) Pop() any {
	last := len(*r) - 1
	j := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	return j
}

// New starts a server. group may be shared by several, or nil.
func New(c Config, group Repeats, now time.Duration) *Server {
	c.Cores, c.Slots = max(1, c.Cores), max(1, c.Slots)
	if c.Speed <= 0 {
		c.Speed = 1
	}
	s := &Server{c: c, group: group, now: now, started: now, byID: make(map[string]*job), pauseNext: math.MaxInt64}
	if c.Pause.Every > 0 && c.Pause.Length > 0 {
		s.pauseNext = now + c.Pause.Every
	}
	s.warm()
	return s
}

// Capacity is the work a second that the server can do now, in part of its full one: cold, crowded, with
// its table of connections full, or paused.
func (s *Server) Capacity() float64 {
	if s.down || s.now < s.pauseEnds {
		return 0
	}
	part := s.warmth
	if crowd := float64(s.Held())/float64(s.c.Cores) - s.c.ThrashAt; s.c.Thrash > 0 && crowd > 0 {
		part /= 1 + s.c.Thrash*crowd
	}
	if s.c.ConnCap > 0 {
		part *= 1 - s.c.FullTax*float64(s.conns)/float64(s.c.ConnCap)
	}
	return part
}

// coldStep is how often the warmth of a server is worked out anew: at moments that its start sets, so that
// it is the same however time passes for it.
const coldStep = time.Millisecond

// warm works out the part of its capacity that its start leaves a server until the next step.
func (s *Server) warm() {
	s.warmNext = math.MaxInt64
	if s.warmth = 1; s.c.Cold.From <= 0 || s.c.Cold.For <= 0 {
		return
	}
	part := (s.now - s.started + coldStep/2).Seconds() / s.c.Cold.For.Seconds()
	if s.c.Cold.ByWork {
		part = s.done / (s.full() * s.c.Cold.For.Seconds())
	}
	if s.warmth = min(1, s.c.Cold.From+(1-s.c.Cold.From)*part); s.warmth < 1 {
		s.warmNext = s.now + coldStep
	}
}

// full is the work a second of a warm server.
func (s *Server) full() float64 { return float64(s.c.Cores) * s.c.Speed }

// rate is the work a second that each request in work gets.
func (s *Server) rate() float64 {
	if len(s.running) == 0 {
		return 0
	}
	return s.Capacity() * s.c.Speed * min(1, float64(s.c.Cores)/float64(len(s.running)))
}

// Held is the number of requests that the server has, in work and waiting.
func (s *Server) Held() int { return len(s.running) + len(s.waiting) }

// Load is what a load report tells: requests that the server has, those of them that wait, and the part of its
// cores that is busy.
func (s *Server) Load() (inflight, queue int, util float64) {
	return s.Held(), len(s.waiting), min(1, float64(len(s.running))/float64(s.c.Cores))
}

// Down tells whether the server has fallen over or stopped.
func (s *Server) Down() bool { return s.down }

// Pushed names the requests whose work pushed a cold server over, oldest first; none where it was not.
func (s *Server) Pushed() []string { return s.pushed }

// Watch has every execution told to f as it begins, and no longer kept in the ledger, which else grows with
// each.
func (s *Server) Watch(f func(Execution)) { s.watch = f }

// Ledger is every execution so far, in the order in which they began.
func (s *Server) Ledger() []Execution { return s.ledger }

// Offer sends the server a request.
func (s *Server) Offer(now time.Duration, r Request) Verdict {
	s.advance(now)
	if s.down {
		return Down
	}
	s.push(r)
	if s.down {
		return Down
	}
	if len(s.running) < s.c.Slots {
		s.begin(r)
		return Taken
	}
	if len(s.waiting) >= s.c.Queue {
		return Full
	}
	s.waiting = append(s.waiting, r)
	return Taken
}

// Connect opens a connection, or reports false where the server has as many as it takes.
func (s *Server) Connect(now time.Duration) bool {
	s.advance(now)
	if s.down || s.c.ConnCap > 0 && s.conns >= s.c.ConnCap {
		return false
	}
	s.conns++
	if s.c.ConnWork > 0 { // in work beside the requests, with no slot of its own
		j := &job{Request: Request{Work: s.c.ConnWork}, ends: s.attained + s.c.ConnWork}
		heap.Push(&s.running, j)
	}
	return true
}

// Disconnect closes a connection.
func (s *Server) Disconnect(now time.Duration) {
	s.advance(now)
	s.conns = max(0, s.conns-1)
}

// push counts the work that a cold server is sent, and has it fall over where that is too much.
func (s *Server) push(r Request) {
	cold := s.c.Cold
	if cold.Multiple <= 0 || s.warmth >= 1 {
		s.sent, s.sentWork = nil, 0
		return
	}
	s.sent = append(s.sent, arrival{s.now, r.Work, r.ID})
	s.sentWork += r.Work
	n := 0
	for ; n < len(s.sent) && s.sent[n].at <= s.now-cold.Window; n++ {
		s.sentWork -= s.sent[n].work
	}
	s.sent = slices.Delete(s.sent, 0, n)
	if s.sentWork > cold.Multiple*s.warmth*s.full()*cold.Window.Seconds() {
		for _, a := range s.sent {
			s.pushed = append(s.pushed, a.id)
		}
		s.fall()
	}
}

// fall ends everything that the server has.
func (s *Server) fall() {
	s.down = true
	for _, j := range s.running {
		if j.ID != "" {
			s.ended = append(s.ended, Completion{ID: j.ID, At: s.now, Lost: true})
		}
	}
	for _, r := range s.waiting {
		s.ended = append(s.ended, Completion{ID: r.ID, At: s.now, Lost: true})
	}
	s.running, s.waiting = nil, nil
	clear(s.byID)
}

// Stop ends the server at once, as a crash does.
func (s *Server) Stop(now time.Duration) {
	s.advance(now)
	if !s.down {
		s.fall()
	}
}

// begin puts a request in work.
func (s *Server) begin(r Request) {
	j := &job{Request: r, ends: s.attained + r.Work}
	if s.group != nil && r.Key != "" {
		j.discarded = s.group.Repeat(r.Key, s.now)
	}
	if e := (Execution{r.ID, r.Key, s.now, j.discarded}); s.watch != nil {
		s.watch(e)
	} else {
		s.ledger = append(s.ledger, e)
	}
	heap.Push(&s.running, j)
	s.byID[r.ID] = j
}

// Cancel gives a request up.
func (s *Server) Cancel(now time.Duration, id string) {
	s.advance(now)
	if s.c.Cancel == CancelNothing {
		return
	}
	if i := slices.IndexFunc(s.waiting, func(r Request) bool { return r.ID == id }); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	if j := s.byID[id]; j != nil && s.c.Cancel == CancelAll {
		heap.Remove(&s.running, j.at)
		delete(s.byID, id)
		s.fill()
	}
}

// fill puts what waits in work, as far as there are slots.
func (s *Server) fill() {
	for len(s.waiting) > 0 && len(s.running) < s.c.Slots {
		r := s.waiting[0]
		s.waiting[0] = Request{}
		s.waiting = s.waiting[1:]
		if s.c.DropExpired && r.Deadline > 0 && s.now >= r.Deadline {
			continue
		}
		s.begin(r)
	}
}

// step is the next moment at which the server's pace changes by itself, or at which a request ends; ok is
// false where nothing will happen.
func (s *Server) step() (at time.Duration, ends bool, ok bool) {
	if s.down {
		return 0, false, false
	}
	at = min(s.pauseNext, s.warmNext)
	if s.now < s.pauseEnds {
		return min(s.pauseEnds, at), false, true
	}
	if len(s.running) > 0 {
		// Rounded up, lest a step of no length be taken for ever; but for what sums of floats are off by.
		span := math.Ceil(max(0, s.running[0].ends-s.attained)/s.rate()*float64(time.Second) - 0.01)
		if span <= float64(at-s.now) && span < math.MaxInt64/2 {
			return s.now + time.Duration(max(0, span)), true, true
		}
	}
	return at, false, at != math.MaxInt64
}

// Next is when something ends if nothing else is told; ok is false where nothing does. It may be early: then
// Advance finds nothing, and Next tells again.
func (s *Server) Next() (time.Duration, bool) {
	at, _, ok := s.step()
	return at, ok && len(s.running) > 0
}

// Advance lets time pass, and returns what has ended since the last call, in order. The slice is used again.
func (s *Server) Advance(now time.Duration) []Completion {
	s.advance(now)
	s.ended, s.told = s.told[:0], s.ended
	return s.told
}

func (s *Server) advance(now time.Duration) {
	for s.now < now {
		at, ends, ok := s.step()
		if !ok || at > now {
			at, ends = now, false
		}
		if s.now >= s.pauseEnds {
			got := s.rate() * (at - s.now).Seconds()
			s.attained += got
			s.done += got * float64(len(s.running))
		}
		s.now = at
		if at == s.warmNext {
			s.warm()
		}
		switch {
		case ends:
			s.finish()
		case at == s.pauseNext:
			held := float64(s.Held()) / float64(s.c.Cores)
			s.pauseEnds = at + time.Duration(float64(s.c.Pause.Length)*(1+s.c.Pause.Grow*held))
			s.pauseNext = s.pauseEnds + s.c.Pause.Every
		}
	}
	for len(s.running) > 0 && s.now >= s.pauseEnds && s.running[0].ends <= s.attained { // of no work at all
		s.finish()
	}
}

// finish ends the request that is next.
func (s *Server) finish() {
	j := heap.Pop(&s.running).(*job)
	s.attained = max(s.attained, j.ends)
	if j.ID != "" {
		delete(s.byID, j.ID)
		s.ended = append(s.ended, Completion{ID: j.ID, At: s.now, Discarded: j.discarded})
	}
	if len(s.running) == 0 {
		s.attained = 0 // lest it grow until small work is lost in its rounding
	}
	s.fill()
}
