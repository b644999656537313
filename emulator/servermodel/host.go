// Package servermodel runs a model of a server on the wall clock: requests wait for their completions. What runs a
// model in virtual time needs none of it.
package servermodel

import (
	"errors"
	"sync"
	"time"

	"cobaltward/emulator/model"
)

// ErrLost is what Do returns where the server fell over or stopped under the request: it may have run.
var ErrLost = errors.New("host: the server is down")

// Host is one server. Its methods may be called at once from many goroutines. One goroutine owns the model.
type Host struct {
	calls chan func(now time.Duration)
	stop  chan struct{}
	parts sync.WaitGroup
	began time.Time

	// Of the goroutine alone.
	server  *model.Server
	waiting map[string]chan model.Completion
}

// Start runs a server of a kind, which starts now. group may be shared by several hosts, or nil.
func Start(c model.Config, group *Group) *Host {
	var repeats model.Repeats
	if group != nil {
		repeats = group
	}
	return StartWatched(c, repeats, nil)
}

// StartWatched is Start with any table of keys, and with each execution told to watch, where it is not nil,
// in place of the ledger. watch must not call the host.
func StartWatched(c model.Config, repeats model.Repeats, watch func(model.Execution)) *Host {
	h := &Host{
		calls: make(chan func(time.Duration)), stop: make(chan struct{}), began: time.Now(),
		waiting: make(map[string]chan model.Completion),
	}
	h.server = model.New(c, repeats, 0)
	if watch != nil {
		h.server.Watch(watch)
	}
	h.parts.Go(h.run)
	return h
}

// Group is the table of keys that several hosts share.
type Group struct {
	mu    sync.Mutex
	keys  model.Keys
	began time.Time
}

// NewGroup returns a table whose servers drop the repeats of a key for a window.
func NewGroup(window time.Duration) *Group {
	return &Group{keys: model.Keys{Window: window}, began: time.Now()}
}

// Repeat tells whether the key was there within the window. The hosts' own times differ, so it goes by its
// own clock.
func (g *Group) Repeat(key string, _ time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keys.Repeat(key, time.Since(g.began))
}

// run lets time pass for the model, whenever something ends or is asked.
func (h *Host) run() {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		if next, ok := h.server.Next(); ok {
			wake.Reset(next - time.Since(h.began))
		} else {
			wake.Stop()
		}
		select {
		case call := <-h.calls:
			now := time.Since(h.began)
			h.tell(h.server.Advance(now))
			call(now)
			h.tell(h.server.Advance(now))
		case <-wake.C:
			h.tell(h.server.Advance(time.Since(h.began)))
		case <-h.stop:
			now := time.Since(h.began)
			h.server.Stop(now)
			h.tell(h.server.Advance(now))
			return
		}
	}
}

// tell hands completions to who waits for them.
func (h *Host) tell(all []model.Completion) {
	for _, c := range all {
		if w := h.waiting[c.ID]; w != nil {
			delete(h.waiting, c.ID)
			w <- c
		}
	}
}

// ask has the goroutine do something; false where it has ended.
func (h *Host) ask(do func(now time.Duration)) bool {
	done := make(chan struct{})
	select {
	case h.calls <- func(now time.Duration) { do(now); close(done) }:
		<-done
		return true
	case <-h.stop:
		return false
	}
}

// Do sends the server a request and waits for its completion, or until gone is closed: then it is given up.
// A verdict other than model.Taken says that it never runs. ErrLost says that it may have.
func (h *Host) Do(r model.Request, gone <-chan struct{}) (model.Completion, model.Verdict, error) {
	verdict, end := model.Down, make(chan model.Completion, 1)
	h.ask(func(now time.Duration) {
		if verdict = h.server.Offer(now, r); verdict == model.Taken {
			h.waiting[r.ID] = end
		}
	})
	if verdict != model.Taken {
		return model.Completion{}, verdict, nil
	}
	select {
	case c := <-end:
		if c.Lost {
			return c, model.Taken, ErrLost
		}
		return c, model.Taken, nil
	case <-gone:
		h.ask(func(now time.Duration) {
			delete(h.waiting, r.ID)
			h.server.Cancel(now, r.ID)
		})
		return model.Completion{}, model.Taken, ErrLost
	}
}

// Crash ends the server's process: what it has is lost, and it stays down.
func (h *Host) Crash() {
	h.ask(func(now time.Duration) { h.server.Stop(now) })
}

// Connect counts a connection in, or reports false where the server takes no more.
func (h *Host) Connect() (ok bool) {
	h.ask(func(now time.Duration) { ok = h.server.Connect(now) })
	return ok
}

// Disconnect counts a connection out.
func (h *Host) Disconnect() {
	h.ask(func(now time.Duration) { h.server.Disconnect(now) })
}

// Down tells whether the server has fallen over or stopped.
func (h *Host) Down() bool {
	down := true
	h.ask(func(time.Duration) { down = h.server.Down() })
	return down
}

// Pushed names the requests that pushed a cold server over; none where it was not.
func (h *Host) Pushed() (ids []string) {
	h.ask(func(time.Duration) { ids = h.server.Pushed() })
	return ids
}

// Load is what a load report tells: requests that the server has, those of them that wait, and the part of its
// cores that is busy.
func (h *Host) Load() (inflight, queue int, util float64) {
	h.ask(func(time.Duration) { inflight, queue, util = h.server.Load() })
	return inflight, queue, util
}

// Held is the number of requests that the server has.
func (h *Host) Held() (n int) {
	h.ask(func(time.Duration) { n = h.server.Held() })
	return n
}

// Ledger is every execution so far.
func (h *Host) Ledger() (all []model.Execution) {
	if !h.ask(func(time.Duration) { all = append(all, h.server.Ledger()...) }) {
		h.parts.Wait()
		all = h.server.Ledger()
	}
	return all
}

// Stop ends the server as a crash does, and waits until nothing of it runs. It is to be called once.
func (h *Host) Stop() {
	close(h.stop)
	h.parts.Wait()
}
