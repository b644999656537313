package sim

import (
	"slices"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
	"cobaltward/emulator/script"
	"cobaltward/router"
)

// request is one of a client's, with all its tries.
type request struct {
	plan.Request
	work     float64
	ranWork  float64 // of the attempt that was answered last
	tries    int
	attempts int
	faults   []int  // that it met
	at       *node  // where its present try is
	live     bool   // the try is out
	lost     bool   // it went with its node: it may have run
	id       string // of the present try
	sent     time.Duration
	wait     time.Duration
}

func (r *request) meet(fault int) {
	for i, f := range r.faults {
		if f == fault {
			return
		}
		if f > fault {
			r.faults = append(r.faults[:i], append([]int{fault}, r.faults[i:]...)...)
			return
		}
	}
	r.faults = append(r.faults, fault)
}

// arrive has the next request come, at its time whatever became of those before.
func (w *world) arrive(a *plan.Arrivals) {
	next, ok := a.Next()
	if !ok {
		w.traffic = false
		return
	}
	w.flying++
	w.q.put(next.At, func() {
		r := &request{Request: next, work: w.p.Work(&next)}
		w.meetTraffic(r)
		w.book.RequestArrived(&r.Request)
		_, leaves := w.p.ClientBehavior(&r.Request)
		w.try(r, leaves)
		w.arrive(a)
	})
}

// meetTraffic notes the faults of traffic that a request is part of.
func (w *world) meetTraffic(r *request) {
	if r.CostFault >= 0 {
		r.meet(r.CostFault)
	}
	for i := range w.p.Faults {
		f := &w.p.Faults[i]
		if r.At < f.At || r.At >= f.End() {
			continue
		}
		if f.Kind == script.FaultSurge || f.Kind == script.FaultTenantBurst && f.Tenant == w.p.Script.Tenants[r.Tenant].Name ||
			f.Kind == script.FaultHotNode && r.Node >= 0 && slices.Contains(f.Nodes, r.Node) {
			r.meet(i)
		}
	}
}

// node is where the front sends a client; nil where it knows of none that lives.
func (w *world) node(r *request) *node {
	n := r.Node
	if n < 0 || r.tries > 0 {
		n = w.front.Next(r.Zone)
	}
	if n < 0 {
		return nil
	}
	return w.nodes[n]
}

// try sends a request once.
func (w *world) try(r *request, leaves float64) {
	r.sent = w.now
	r.wait = w.p.AttemptTimeout(&r.Request, w.now-r.At)
	r.id = r.AttemptID(r.tries)
	r.at = w.node(r)
	r.tries++
	r.live, r.lost = true, false
	w.book.ClientAttempt()
	n, id := r.at, r.id
	if w.requests == nil {
		w.requests = make(map[string]*request)
	}
	w.requests[id] = r
	way := w.delay(w.p.Script.Network.ClientDelay, "client", id)
	if n == nil {
		w.after(2*way, func() { w.tried(r, id, result.Unreachable, 0) })
		return
	}
	times := 1
	if w.p.Chance("duplicate", id) < w.p.Script.Clients.DuplicateIDFraction {
		times = 2
	}
	for i := range times {
		w.after(way+time.Duration(i)*time.Millisecond, func() { w.deliver(r, n, id, way, i) })
	}
	w.after(r.wait, func() { w.leave(r, n, id, way, result.ClientLeft) })
	if leaves > 0 {
		w.after(time.Duration(leaves*float64(r.wait)), func() {
			if r.live && r.id == id {
				w.judge.ClientLeft(n.spec.Name, id, 0)
				w.leave(r, n, id, way, result.ClientLeft)
			}
		})
	}
}

// deliver hands a try to its node; i counts those under one id.
func (w *world) deliver(r *request, n *node, id string, way time.Duration, i int) {
	if n.engine == nil {
		if i == 0 {
			w.after(way, func() { w.tried(r, id, result.Unreachable, 0) })
		}
		return
	}
	s := w.p.Script
	due := r.sent + r.wait
	w.judge.RequestReceived(w.now, n.spec.Name, id, s.Classes[r.Class].Name, due)
	if !r.live || r.id != id { // it left while the request was on its way
		w.judge.ClientLeft(n.spec.Name, id, i)
	}
	life := n.lives
	n.step(func(now time.Duration) {
		err := n.engine.Submit(now, router.Request{
			ID: id, Class: s.Classes[r.Class].Name, Tenant: s.Tenants[r.Tenant].Name,
			IdempotencyKey: r.Key, Timeout: due - w.now, IsRetry: r.tries > 1,
		}, func(a router.Answer) {
			w.after(way, func() {
				if n.lives == life { // else the connection went with the node
					w.answered(r, n, id, i, a)
				}
			})
		})
		if err != nil {
			w.engines = err
		}
	})
}

func (w *world) answered(r *request, n *node, id string, i int, a router.Answer) {
	refused := a.Outcome == router.Rejected || a.Outcome == router.Overloaded
	w.judge.ResponseReceived(w.now, n.spec.Name, id, i, refused)
	if i > 0 {
		return
	}
	end := result.Failed
	switch {
	case refused:
		end = result.Rejected
	case a.Outcome == router.Served:
		end = result.Served
	}
	w.tried(r, id, end, a.RetryAfter)
}

// leave has a client close its connection.
func (w *world) leave(r *request, n *node, id string, way time.Duration, end result.Status) {
	if !r.live || r.id != id {
		return
	}
	life := n.lives
	w.after(way, func() {
		if n.lives == life {
			n.step(func(now time.Duration) { n.engine.ClientGone(now, id) })
		}
	})
	w.tried(r, id, end, 0)
}

// lose has the clients of a node that died learn of it.
func (w *world) lose(n *node, f *plan.Fault) {
	for _, id := range sortedKeys(w.requests) {
		r := w.requests[id]
		if r.live && r.at == n && r.id == id {
			r.meet(f.Index)
			r.lost = true
			w.after(w.p.Script.Network.ClientDelay, func() { w.tried(r, id, result.Unreachable, 0) })
		}
	}
}

// tried is the end of a try: the client's end, or its next try.
func (w *world) tried(r *request, id string, end result.Status, retryAfter time.Duration) {
	if !r.live || r.id != id {
		return
	}
	r.live = false
	// The engine may still send for it, so it is known by its id for a while.
	w.after(longest(w.p), func() {
		if w.requests[id] == r {
			delete(w.requests, id)
		}
	})
	if end == result.Rejected || end == result.Unreachable || end == result.Failed {
		wait, again := w.p.Retry(&r.Request, r.tries, plan.Outcome{
			Rejected: end == result.Rejected, MayHaveRun: end == result.Failed || r.lost,
			RetryAfter: retryAfter, Elapsed: w.now - r.At,
		})
		if again {
			w.after(wait, func() { w.try(r, 0) })
			return
		}
	}
	if end == result.Served {
		w.book.WorkUseful(r.ranWork)
	}
	w.flying--
	w.book.RequestDone(&r.Request, result.Outcome{Status: end, Latency: w.now - r.At, ClientAttempts: r.tries, ServerAttempts: r.attempts, Faults: r.faults})
}
