// Package servermodel runs a model of a server on the wall clock. Callers wait for the completion of their requests.
// Simulations in virtual time advance the model themselves and don't need this package.
package servermodel

import (
	"errors"
	"sync"
	"time"

	"cobaltward/emulator/model"
)

// ErrServerDown is returned by Do if a request may have run but did not complete. Either the server crashed or
// stopped, or the request was cancelled.
var ErrServerDown = errors.New("server down")

// Server is one emulated server. Its methods are safe for concurrent use: a single goroutine owns the model and
// executes the commands of all methods.
type Server struct {
	commands  chan func(now time.Duration)
	stop      chan struct{}
	tasks     sync.WaitGroup
	startedAt time.Time

	// Until run returns, only the goroutine of run uses the fields below.
	state   *model.Server
	waiters map[string]chan model.Completion // channel of each waiting caller of Do, by request ID
}

// Start starts a server with the given configuration. Several servers may share a group. If group is nil, duplicates
// are not discarded.
func Start(c model.Config, group *Group) *Server {
	var dedup model.Deduplicator
	if group != nil {
		dedup = group
	}
	return StartObserved(c, dedup, nil)
}

// StartObserved is Start with any deduplicator. If onExecution isn't nil, the server calls it for each execution and
// keeps no record of executions. onExecution must not call the server.
func StartObserved(c model.Config, dedup model.Deduplicator, onExecution func(model.Execution)) *Server {
	s := &Server{
		commands: make(chan func(time.Duration)), stop: make(chan struct{}), startedAt: time.Now(),
		waiters: make(map[string]chan model.Completion),
	}
	s.state = model.New(c, dedup, 0)
	if onExecution != nil {
		s.state.OnExecution(onExecution)
	}
	s.tasks.Go(s.run)
	return s
}

// run advances the model at each completion and each command until Stop is called.
func (s *Server) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if next, ok := s.state.Next(); ok {
			timer.Reset(next - time.Since(s.startedAt))
		} else {
			timer.Stop()
		}
		select {
		case command := <-s.commands:
			now := time.Since(s.startedAt)
			s.deliver(s.state.Advance(now))
			command(now)
			s.deliver(s.state.Advance(now))
		case <-timer.C:
			s.deliver(s.state.Advance(time.Since(s.startedAt)))
		case <-s.stop:
			now := time.Since(s.startedAt)
			s.state.Stop(now)
			s.deliver(s.state.Advance(now))
			return
		}
	}
}

// deliver passes completions to the waiting callers of Do.
func (s *Server) deliver(all []model.Completion) {
	for _, c := range all {
		if w := s.waiters[c.ID]; w != nil {
			delete(s.waiters, c.ID)
			w <- c
		}
	}
}

// execute calls do on the goroutine that owns the model. It returns false if that goroutine has ended.
func (s *Server) execute(do func(now time.Duration)) bool {
	done := make(chan struct{})
	select {
	case s.commands <- func(now time.Duration) { do(now); close(done) }:
		<-done
		return true
	case <-s.stop:
		return false
	}
}

// Do sends the server a request and waits for the request's completion. It cancels the request when cancelled is
// closed. An admission other than model.Accepted means that the request never runs. ErrServerDown means that the
// request may have run.
func (s *Server) Do(r model.Request, cancelled <-chan struct{}) (model.Completion, model.Admission, error) {
	admission, completion := model.Down, make(chan model.Completion, 1)
	s.execute(func(now time.Duration) {
		if admission = s.state.Offer(now, r); admission == model.Accepted {
			s.waiters[r.ID] = completion
		}
	})
	if admission != model.Accepted {
		return model.Completion{}, admission, nil
	}
	select {
	case c := <-completion:
		if c.Lost {
			return c, model.Accepted, ErrServerDown
		}
		return c, model.Accepted, nil
	case <-cancelled:
		s.execute(func(now time.Duration) {
			delete(s.waiters, r.ID)
			s.state.Cancel(now, r.ID)
		})
		return model.Completion{}, model.Accepted, ErrServerDown
	}
}

// Crash simulates a crash. The server loses its requests and stays down.
func (s *Server) Crash() {
	s.execute(func(now time.Duration) { s.state.Stop(now) })
}

// Connect opens a connection. It returns false if the server is down or at its connection limit.
func (s *Server) Connect() (ok bool) {
	s.execute(func(now time.Duration) { ok = s.state.Connect(now) })
	return ok
}

// Disconnect closes a connection.
func (s *Server) Disconnect() {
	s.execute(func(now time.Duration) { s.state.Disconnect(now) })
}

// Down reports whether the server has crashed or stopped.
func (s *Server) Down() bool {
	down := true
	s.execute(func(time.Duration) { down = s.state.Down() })
	return down
}

// OverloadingRequests returns the IDs of the requests that overloaded a warming server. It is empty if the server was
// not overloaded.
func (s *Server) OverloadingRequests() (ids []string) {
	s.execute(func(time.Duration) { ids = s.state.OverloadingRequests() })
	return ids
}

// Load returns the values of a load report: the number of requests in flight, the number of queued requests, and the
// busy fraction of the cores. Queued requests are also in flight.
func (s *Server) Load() (inflight, queue int, util float64) {
	s.execute(func(time.Duration) { inflight, queue, util = s.state.Load() })
	return inflight, queue, util
}

// InFlight returns the number of requests that the server runs or queues.
func (s *Server) InFlight() (n int) {
	s.execute(func(time.Duration) { n = s.state.InFlight() })
	return n
}

// Executions returns all executions so far, oldest first.
func (s *Server) Executions() (all []model.Execution) {
	if !s.execute(func(time.Duration) { all = append(all, s.state.Executions()...) }) {
		s.tasks.Wait()
		all = s.state.Executions()
	}
	return all
}

// Stop ends the server like Crash and waits for its goroutine. Stop must be called exactly once.
func (s *Server) Stop() {
	close(s.stop)
	s.tasks.Wait()
}
