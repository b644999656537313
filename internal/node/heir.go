package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/body"
	"cobaltward/handover"
	"cobaltward/internal/succession"
	"cobaltward/router"
)

const (
	heirEvery = 100 * time.Millisecond // looks at the other processes of this node
	heirState = 250 * time.Millisecond // between snapshots of what is learned, for the next process
	heirFile  = "wayhold-knowledge"
)

// heir shares the node with the processes before and behind this one, where the platform replaces them under load.
type heir struct {
	place  *succession.Place
	engine *router.Router
	front  *intake
	conns  interface{ SetMaxConns(n int) } // nil where the transport takes no other bound
	budget *body.Budget
	held   int64 // bytes of the budget of a process that is alone
	whole  handover.Limits
	memory func(part float64) // has the process use so much of the node's memory; nil: nobody can
	obey   func(standby bool) error
	log    *slog.Logger

	ending  atomic.Bool // this process lets nobody in any more
	split   handover.Splitter
	shared  handover.Share
	problem string

	giving sync.Mutex // one order is written at a time, so that the last one stands; nothing else waits for it

	mu    sync.Mutex
	since time.Time // of the order that this process goes by
}

// look is one look at the others. It says what this process has from now on.
func (h *heir) look() {
	others, err := h.place.Others()
	h.tell(err)
	f := h.engine.Metrics()
	own := handover.Report{At: time.Now(), Ending: h.ending.Load(), Taken: uint64(max(0, f.InFlight))}
	for _, c := range f.Classes {
		own.Taken += c.Served + c.Busy + c.Failure
	}
	own.Clients, _ = h.front.Connections()
	own.Servers = h.engine.Conns()
	h.tell(h.place.Report(own))
	h.put(h.split.Split(own, others, h.whole))
	if h.ending.Load() { // it empties anyway
		return
	}
	o, err := h.place.Order()
	h.tell(err)
	h.mu.Lock()
	heed := handover.Heed(o, h.since)
	if heed {
		h.since = o.At
	}
	h.mu.Unlock()
	if heed {
		h.tell(h.obey(o.Standby))
	}
}

// put has this process use its share.
func (h *heir) put(s handover.Share) {
	if s == h.shared {
		return
	}
	if s.Part != h.shared.Part {
		h.tell(h.engine.SetTrafficShare(s.Part))
	}
	h.front.clients.setMost(s.Clients)
	if h.conns != nil {
		h.conns.SetMaxConns(s.Servers)
	}
	h.budget.SetMost(int64(s.Memory * float64(h.held)))
	if h.memory != nil && s.Memory != h.shared.Memory {
		h.memory(s.Memory)
	}
	h.shared = s
}

// order has the others follow what this process was told.
func (h *heir) order(standby bool) {
	h.giving.Lock()
	defer h.giving.Unlock()
	o := handover.Order{At: time.Now(), Standby: standby}
	h.mu.Lock()
	h.since = o.At
	h.mu.Unlock()
	if err := h.place.Give(o); err != nil {
		h.log.Error("succession: other processes of this node will not know of the order", "standby", standby, "err", err)
	}
}

// tell logs what goes wrong, once.
func (h *heir) tell(err error) {
	if err == nil || errors.Is(err, router.ErrClosed) || err.Error() == h.problem {
		return
	}
	h.problem = err.Error()
	h.log.Warn("succession: going on as if alone in this", "err", err)
}

func (h *heir) run(ctx context.Context) {
	tick := time.NewTicker(heirEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			h.look()
		case <-ctx.Done():
			return
		}
	}
}

// inherit makes the heir of a node whose directory this is; nil where there can't be one, with a line in the log.
func inherit(dir string, log *slog.Logger) *heir {
	place, err := succession.Take(dir)
	if err != nil {
		log.Warn("succession: this process and the one before it will not know of each other", "err", fmt.Sprint(err))
		return nil
	}
	return &heir{place: place, log: log}
}
