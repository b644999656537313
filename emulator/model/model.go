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
	CancelIgnored Cancel = iota
	CancelQueued         // what waits is dropped; what runs goes on
	CancelAll
)

// Config is one kind of server. Times are of the server's own clock; work is seconds of a core of speed 1.
type Config struct {
	Cores int
	Speed float64 // work a second of each core
	Slots int     // requests in work at once, which share the cores evenly: as many as cores is FIFO
	Queue int     // requests that may wait for a slot; beyond, they are turned away

	ThrashFactor    float64 // capacity is divided by 1 + Thrash for each request a core held beyond ThrashAt
	ThrashThreshold float64 // requests a core

	WarmUp WarmUp
	Pause  Pause

	Cancel      Cancel
	DropExpired bool // what waits past its time is dropped unseen

	ConnSetupWork float64 // work of a new connection
	MaxConns      int     // connections; 0: no bound
	ConnOverhead  float64 // part of the capacity that a full table of connections takes
}

// WarmUp is how a server starts. The zero value starts warm.
type WarmUp struct {
	InitialCapacity float64       // part of the capacity at the start; 0: warm
	Duration        time.Duration // until it is warm
	ByWork          bool          // it warms by the work it has done, and is warm after what it could do in For at its full capacity
	// Sent more than Multiple times what it can do at that moment for Window, it falls over and stays down.
	OverloadFactor float64 // 0: never
	OverloadWindow time.Duration
}

// Pause is how a server stops now and then. The zero value never does.
type Pause struct {
	Interval time.Duration // from the end of one to the next
	Duration time.Duration
	Growth   float64 // part by which a request a core held at its beginning makes it longer
}

// Deduplicator tells whether a key was there lately, in a group of servers that discard its repeats: *Keys, or one
// that several share.
type Deduplicator interface {
	IsDuplicate(key string, now time.Duration) bool
}

// Request is what a server is sent.
type Request struct {
	ID       string
	Key      string        // repeats of it are discarded by the server's group
	Work     float64       // seconds of a core of speed 1
	Deadline time.Duration // when nobody waits any more; 0: never
}

// Admission is what becomes of a request at once.
type Admission uint8

// The verdicts. Full and Down prove that it never runs.
const (
	Accepted Admission = iota
	Rejected
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
	StartedAt time.Duration
	Discarded bool
}

// Server is one server. It isn't safe for concurrent use. Times must not go back.
type Server struct {
	config Config
	dedup  Deduplicator

	now       time.Duration
	startedAt time.Duration
	down      bool
	workDone  float64 // work since the start

	// Those in work share the cores evenly, so one figure says how far each is: the work that one which had
	// been there from the beginning would have got. A request ends when it reaches what it began at and its
	// own work.
	attained float64
	running  running
	queue    []Request
	jobs     map[string]*job

	warmFraction        float64       // the part of its capacity that its start leaves it
	nextWarmUpdate      time.Duration // when that changes
	pauseEnd, nextPause time.Duration
	conns               int
	recentArrivals      []arrival // within the window of the cold start
	recentWork          float64

	executions  []Execution
	onExecution func(Execution)
	overloading []string     // what was sent within the window in which it fell over
	completed   []Completion // since Advance returned some
	returned    []Completion // what it returned
}

type job struct {
	Request
	finishAt  float64 // of attained
	discarded bool
	heapIndex int
}

type arrival struct {
	at   time.Duration
	work float64
	id   string
}

// running is a heap by what ends first.
type running []*job

func (r running) Len() int           { return len(r) }
func (r running) Less(i, j int) bool { return r[i].finishAt < r[j].finishAt }
func (r running) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].heapIndex, r[j].heapIndex = i, j
}

func (r *running) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*r)
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
func New(c Config, group Deduplicator, now time.Duration) *Server {
	c.Cores, c.Slots = max(1, c.Cores), max(1, c.Slots)
	if c.Speed <= 0 {
		c.Speed = 1
	}
	s := &Server{config: c, dedup: group, now: now, startedAt: now, jobs: make(map[string]*job), nextPause: math.MaxInt64}
	if c.Pause.Interval > 0 && c.Pause.Duration > 0 {
		s.nextPause = now + c.Pause.Interval
	}
	s.updateWarmFraction()
	return s
}

// Capacity is the work a second that the server can do now, in part of its full one: cold, crowded, with
// its table of connections full, or paused.
func (s *Server) Capacity() float64 {
	if s.down || s.now < s.pauseEnd {
		return 0
	}
	fraction := s.warmFraction
	if excess := float64(s.InFlight())/float64(s.config.Cores) - s.config.ThrashThreshold; s.config.ThrashFactor > 0 && excess > 0 {
		fraction /= 1 + s.config.ThrashFactor*excess
	}
	if s.config.MaxConns > 0 {
		fraction *= 1 - s.config.ConnOverhead*float64(s.conns)/float64(s.config.MaxConns)
	}
	return fraction
}

// warmUpStep is how often the warmth of a server is worked out anew: at moments that its start sets, so that
// it is the same however time passes for it.
const warmUpStep = time.Millisecond

// updateWarmFraction works out the part of its capacity that its start leaves a server until the next step.
func (s *Server) updateWarmFraction() {
	s.nextWarmUpdate = math.MaxInt64
	if s.warmFraction = 1; s.config.WarmUp.InitialCapacity <= 0 || s.config.WarmUp.Duration <= 0 {
		return
	}
	progress := (s.now - s.startedAt + warmUpStep/2).Seconds() / s.config.WarmUp.Duration.Seconds()
	if s.config.WarmUp.ByWork {
		progress = s.workDone / (s.fullRate() * s.config.WarmUp.Duration.Seconds())
	}
	if s.warmFraction = min(1, s.config.WarmUp.InitialCapacity+(1-s.config.WarmUp.InitialCapacity)*progress); s.warmFraction < 1 {
		s.nextWarmUpdate = s.now + warmUpStep
	}
}

// fullRate is the work a second of a warm server.
func (s *Server) fullRate() float64 { return float64(s.config.Cores) * s.config.Speed }

// rate is the work a second that each request in work gets.
func (s *Server) rate() float64 {
	if len(s.running) == 0 {
		return 0
	}
	return s.Capacity() * s.config.Speed * min(1, float64(s.config.Cores)/float64(len(s.running)))
}

// InFlight is the number of requests that the server has, in work and waiting.
func (s *Server) InFlight() int { return len(s.running) + len(s.queue) }

// Load is what a load report tells: requests that the server has, those of them that wait, and the part of its
// cores that is busy.
func (s *Server) Load() (inflight, queue int, util float64) {
	return s.InFlight(), len(s.queue), min(1, float64(len(s.running))/float64(s.config.Cores))
}

// Down tells whether the server has fallen over or stopped.
func (s *Server) Down() bool { return s.down }

// OverloadingRequests names the requests whose work pushed a cold server over, oldest first; none where it was not.
func (s *Server) OverloadingRequests() []string { return s.overloading }

// OnExecution has every execution told to f as it begins, and no longer kept in the ledger, which else grows with
// each.
func (s *Server) OnExecution(f func(Execution)) { s.onExecution = f }

// Executions is every execution so far, in the order in which they began.
func (s *Server) Executions() []Execution { return s.executions }

// Offer sends the server a request.
func (s *Server) Offer(now time.Duration, r Request) Admission {
	s.advance(now)
	if s.down {
		return Down
	}
	s.recordArrival(r)
	if s.down {
		return Down
	}
	if len(s.running) < s.config.Slots {
		s.start(r)
		return Accepted
	}
	if len(s.queue) >= s.config.Queue {
		return Rejected
	}
	s.queue = append(s.queue, r)
	return Accepted
}

// Connect opens a connection, or reports false where the server has as many as it takes.
func (s *Server) Connect(now time.Duration) bool {
	s.advance(now)
	if s.down || s.config.MaxConns > 0 && s.conns >= s.config.MaxConns {
		return false
	}
	s.conns++
	if s.config.ConnSetupWork > 0 { // in work beside the requests, with no slot of its own
		j := &job{Request: Request{Work: s.config.ConnSetupWork}, finishAt: s.attained + s.config.ConnSetupWork}
		heap.Push(&s.running, j)
	}
	return true
}

// Disconnect closes a connection.
func (s *Server) Disconnect(now time.Duration) {
	s.advance(now)
	s.conns = max(0, s.conns-1)
}

// recordArrival counts the work that a cold server is sent, and has it fall over where that is too much.
func (s *Server) recordArrival(r Request) {
	cold := s.config.WarmUp
	if cold.OverloadFactor <= 0 || s.warmFraction >= 1 {
		s.recentArrivals, s.recentWork = nil, 0
		return
	}
	s.recentArrivals = append(s.recentArrivals, arrival{s.now, r.Work, r.ID})
	s.recentWork += r.Work
	n := 0
	for ; n < len(s.recentArrivals) && s.recentArrivals[n].at <= s.now-cold.OverloadWindow; n++ {
		s.recentWork -= s.recentArrivals[n].work
	}
	s.recentArrivals = slices.Delete(s.recentArrivals, 0, n)
	if s.recentWork > cold.OverloadFactor*s.warmFraction*s.fullRate()*cold.OverloadWindow.Seconds() {
		for _, a := range s.recentArrivals {
			s.overloading = append(s.overloading, a.id)
		}
		s.crash()
	}
}

// crash ends everything that the server has.
func (s *Server) crash() {
	s.down = true
	for _, j := range s.running {
		if j.ID != "" {
			s.completed = append(s.completed, Completion{ID: j.ID, At: s.now, Lost: true})
		}
	}
	for _, r := range s.queue {
		s.completed = append(s.completed, Completion{ID: r.ID, At: s.now, Lost: true})
	}
	s.running, s.queue = nil, nil
	clear(s.jobs)
}

// Stop ends the server at once, as a crash does.
func (s *Server) Stop(now time.Duration) {
	s.advance(now)
	if !s.down {
		s.crash()
	}
}

// start puts a request in work.
func (s *Server) start(r Request) {
	j := &job{Request: r, finishAt: s.attained + r.Work}
	if s.dedup != nil && r.Key != "" {
		j.discarded = s.dedup.IsDuplicate(r.Key, s.now)
	}
	if e := (Execution{r.ID, r.Key, s.now, j.discarded}); s.onExecution != nil {
		s.onExecution(e)
	} else {
		s.executions = append(s.executions, e)
	}
	heap.Push(&s.running, j)
	s.jobs[r.ID] = j
}

// Cancel gives a request up.
func (s *Server) Cancel(now time.Duration, id string) {
	s.advance(now)
	if s.config.Cancel == CancelIgnored {
		return
	}
	if i := slices.IndexFunc(s.queue, func(r Request) bool { return r.ID == id }); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		return
	}
	if j := s.jobs[id]; j != nil && s.config.Cancel == CancelAll {
		heap.Remove(&s.running, j.heapIndex)
		delete(s.jobs, id)
		s.startQueued()
	}
}

// startQueued puts what waits in work, as far as there are slots.
func (s *Server) startQueued() {
	for len(s.queue) > 0 && len(s.running) < s.config.Slots {
		r := s.queue[0]
		s.queue[0] = Request{}
		s.queue = s.queue[1:]
		if s.config.DropExpired && r.Deadline > 0 && s.now >= r.Deadline {
			continue
		}
		s.start(r)
	}
}

// nextEvent is the next moment at which the server's pace changes by itself, or at which a request ends; ok is
// false where nothing will happen.
func (s *Server) nextEvent() (at time.Duration, ends bool, ok bool) {
	if s.down {
		return 0, false, false
	}
	at = min(s.nextPause, s.nextWarmUpdate)
	if s.now < s.pauseEnd {
		return min(s.pauseEnd, at), false, true
	}
	if len(s.running) > 0 {
		// Rounded up, lest a step of no length be taken for ever; but for what sums of floats are off by.
		span := math.Ceil(max(0, s.running[0].finishAt-s.attained)/s.rate()*float64(time.Second) - 0.01)
		if span <= float64(at-s.now) && span < math.MaxInt64/2 {
			return s.now + time.Duration(max(0, span)), true, true
		}
	}
	return at, false, at != math.MaxInt64
}

// Next is when something ends if nothing else is told; ok is false where nothing does. It may be early: then
// Advance finds nothing, and Next tells again.
func (s *Server) Next() (time.Duration, bool) {
	at, _, ok := s.nextEvent()
	return at, ok && len(s.running) > 0
}

// Advance lets time pass, and returns what has ended since the last call, in order. The slice is used again.
func (s *Server) Advance(now time.Duration) []Completion {
	s.advance(now)
	s.completed, s.returned = s.returned[:0], s.completed
	return s.returned
}

func (s *Server) advance(now time.Duration) {
	for s.now < now {
		at, ends, ok := s.nextEvent()
		if !ok || at > now {
			at, ends = now, false
		}
		if s.now >= s.pauseEnd {
			got := s.rate() * (at - s.now).Seconds()
			s.attained += got
			s.workDone += got * float64(len(s.running))
		}
		s.now = at
		if at == s.nextWarmUpdate {
			s.updateWarmFraction()
		}
		switch {
		case ends:
			s.completeNext()
		case at == s.nextPause:
			held := float64(s.InFlight()) / float64(s.config.Cores)
			s.pauseEnd = at + time.Duration(float64(s.config.Pause.Duration)*(1+s.config.Pause.Growth*held))
			s.nextPause = s.pauseEnd + s.config.Pause.Interval
		}
	}
	for len(s.running) > 0 && s.now >= s.pauseEnd && s.running[0].finishAt <= s.attained { // of no work at all
		s.completeNext()
	}
}

// completeNext ends the request that is next.
func (s *Server) completeNext() {
	j := heap.Pop(&s.running).(*job)
	s.attained = max(s.attained, j.finishAt)
	if j.ID != "" {
		delete(s.jobs, j.ID)
		s.completed = append(s.completed, Completion{ID: j.ID, At: s.now, Discarded: j.discarded})
	}
	if len(s.running) == 0 {
		s.attained = 0 // lest it grow until small work is lost in its rounding
	}
	s.startQueued()
}
