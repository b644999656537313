package model

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// Server is one simulated server. It isn't safe for concurrent use. The times passed to its methods must not decrease.
type Server struct {
	config Config
	dedup  Deduplicator

	now       time.Duration
	startedAt time.Duration
	down      bool
	workDone  float64 // total work since the start

	// attained is the work done for each running request since the server last had no running request. All running
	// requests get equal shares of the cores, so a request completes once attained has grown by the request's work.
	attained float64
	running  jobHeap
	queue    []Request
	jobs     map[string]*job // running requests by ID

	warmFraction   float64       // available fraction of the capacity while warming up; 1: warm
	nextWarmUpdate time.Duration // time at which warmFraction is next recomputed
	pauseEnd       time.Duration
	nextPause      time.Duration
	conns          int
	recentArrivals []arrival // arrivals within the overload window, while warming up
	recentWork     float64   // sum of the work of recentArrivals

	executions  []Execution
	onExecution func(Execution)
	overloading []string     // IDs of the requests that overloaded the server
	completed   []Completion // requests ended since the last call of Advance
	returned    []Completion // slice returned by the last call of Advance
}

// New returns a server that starts at now. Several servers may share a deduplicator. If dedup is nil, duplicates are
// not discarded.
func New(c Config, dedup Deduplicator, now time.Duration) *Server {
	c.Cores, c.Slots = max(1, c.Cores), max(1, c.Slots)
	if c.Speed <= 0 {
		c.Speed = 1
	}
	s := &Server{
		config: c, dedup: dedup, now: now, startedAt: now, jobs: make(map[string]*job), nextPause: math.MaxInt64,
	}
	if c.Pause.Interval > 0 && c.Pause.Duration > 0 {
		s.nextPause = now + c.Pause.Interval
	}
	s.updateWarmFraction()
	return s
}

// InFlight returns the number of running and queued requests.
func (s *Server) InFlight() int { return len(s.running) + len(s.queue) }

// Load returns the values of a load report: the number of requests in flight, the number of queued requests, and the
// busy fraction of the cores. Queued requests are also in flight.
func (s *Server) Load() (inflight, queue int, util float64) {
	return s.InFlight(), len(s.queue), min(1, float64(len(s.running))/float64(s.config.Cores))
}

// Down reports whether the server has crashed or stopped.
func (s *Server) Down() bool { return s.down }

// OverloadingRequests returns the IDs of the requests that overloaded a warming server, oldest first. It is empty if
// the server was not overloaded.
func (s *Server) OverloadingRequests() []string { return s.overloading }

// OnExecution makes the server call f at the start of each execution. The server then keeps no record of executions,
// which saves memory.
func (s *Server) OnExecution(f func(Execution)) { s.onExecution = f }

// Executions returns the recorded executions, oldest first.
func (s *Server) Executions() []Execution { return s.executions }

// Offer sends the server a request and returns the server's decision.
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

// Connect opens a connection. It returns false if the server is down or at its connection limit.
func (s *Server) Connect(now time.Duration) bool {
	s.advance(now)
	if s.down || s.config.MaxConns > 0 && s.conns >= s.config.MaxConns {
		return false
	}
	s.conns++
	if work := s.config.ConnSetupWork; work > 0 { // the setup runs beside the requests and takes no slot
		heap.Push(&s.running, &job{Request: Request{Work: work}, finishAt: s.attained + work})
	}
	return true
}

// Disconnect closes a connection.
func (s *Server) Disconnect(now time.Duration) {
	s.advance(now)
	s.conns = max(0, s.conns-1)
}

// Cancel cancels a request. Config.Cancel determines whether the cancellation has an effect.
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

// Stop ends the server at once, as a crash does.
func (s *Server) Stop(now time.Duration) {
	s.advance(now)
	if !s.down {
		s.crash()
	}
}

// crash takes the server down. All its requests are lost.
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

// start starts a request on a free slot.
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

// startQueued starts queued requests while there are free slots.
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
