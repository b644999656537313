package node

import (
	"container/heap"
	"context"
	"hash/maphash"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"cobaltward/policy"
)

const (
	// eventBuffer lets handlers and attempts hand in an event while the loop is busy with others.
	eventBuffer = 1024
	// timeOrigin is what the clock shows at the start. Servers that started before the node did have
	// a time above 0 all the same: 0 means long ago, and would count a cold server as warm.
	timeOrigin = 24 * time.Hour
	// answerMargin is how long before the client stops waiting the module's time is up, so that its
	// answer still arrives; half of it later the backstop answers. Of short deadlines it is a part.
	answerMargin     = 20 * time.Millisecond
	answerMarginPart = 5
	sweepEvery       = time.Second // idle connections to servers
	ownRetryAfter    = time.Second // told to clients that the node refuses without the module
	idsFor           = 10 * time.Second
	maxIDs           = 1 << 15
)

// clock turns the machine's clocks into policy.Time. The wall clock is read once, at the start.
type clock struct{ start time.Time }

func (c clock) now() policy.Time { return timeOrigin + time.Since(c.start) }

func (c clock) at(t policy.Time) time.Time { return c.start.Add(t - timeOrigin) }

// unix converts a server's start from Unix milliseconds; 0 stays 0, and so does what lies before the
// origin, which is just as long ago.
func (c clock) unix(ms int64) policy.Time {
	if ms == 0 {
		return 0
	}
	most := timeOrigin.Milliseconds() // nor may a start far ahead overflow
	ago := min(max(c.start.UnixMilli()-ms, -most), most)
	return timeOrigin - time.Duration(ago)*time.Millisecond
}

// module is the policy.Balancer.
type module interface {
	Handle(now policy.Time, ev policy.Event) []policy.Action
}

// loop owns the module, the open requests and the timers, in one goroutine. All else sends it events;
// it waits for nothing but the next of them.
type loop struct {
	clock   clock
	module  module
	allowed policy.Allowed
	maxOpen int
	up      *upstream
	disc    *discovery

	events   chan any
	done     chan struct{} // closed when the loop has ended
	ready    chan struct{} // closed when the known list is in
	requests map[string]*request
	used     ids
	owed     int // requests without their answer
	timers   timers
	skipped  []policy.Outcome // of attempts that were not made; told once all actions are done
	attempts sync.WaitGroup
}

// request is kept until it is answered and all its attempts are over.
type request struct {
	*exchange
	deadline policy.Time
	backstop *timer
	ended    bool
	attempts []attempt
	pending  int
}

type attempt struct {
	server string
	sent   policy.Time
	cancel context.CancelFunc
}

// The events of the loop, beside news.
type (
	arrival   struct{ x *exchange }
	departure struct{ x *exchange }
	ending    struct { // of an attempt
		r *request
		n int
		result
	}
	finish struct{} // fail what is still open, for the node stops
)

func newLoop(c Config, ck clock, up *upstream) (*loop, error) {
	balancer, err := policy.New(c.Settings, ck.now(), c.Seed)
	if err != nil {
		return nil, err
	}
	l := &loop{clock: ck, module: balancer, allowed: c.Settings.Allowed, maxOpen: c.MaxOpen, up: up,
		events: make(chan any, eventBuffer), done: make(chan struct{}), ready: make(chan struct{}),
		requests: make(map[string]*request), used: ids{seed: maphash.MakeSeed()}}
	l.disc = newDiscovery(c, l.send)
	return l, nil
}

// send hands the loop an event. After the loop's end there is nobody to tell.
func (l *loop) send(ev any) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// run handles events until ctx ends; then it calls off what is out and waits for it. The list as last
// held comes before all else, as the module expects.
func (l *loop) run(ctx context.Context, known []member) {
	attemptsCtx, cancel := context.WithCancel(context.Background())
	defer l.attempts.Wait()
	defer cancel()
	defer close(l.done)
	l.handle(attemptsCtx, news{policy.ListRestored, known})
	close(l.ready)
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		if len(l.timers) > 0 {
			wake.Reset(l.timers[0].due - l.clock.now())
		} else {
			wake.Stop()
		}
		select {
		case ev := <-l.events:
			l.handle(attemptsCtx, ev)
		case <-wake.C:
		case now := <-sweep.C:
			l.up.sweep(now)
		case <-ctx.Done():
			return
		}
		l.fire(attemptsCtx)
	}
}

// fire handles the timers that are due.
func (l *loop) fire(ctx context.Context) {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].due <= now; {
		t := heap.Pop(&l.timers).(*timer)
		if r := t.backstop; r == nil {
			l.tell(ctx, policy.Timer{Token: t.token})
		} else {
			l.fail(ctx, r, http.StatusGatewayTimeout) // the module has said nothing
		}
	}
}

func (l *loop) handle(ctx context.Context, ev any) {
	switch e := ev.(type) {
	case arrival:
		l.arrive(ctx, e.x)
	case departure:
		// Another request may bear the id by now.
		if r := l.requests[e.x.req.ID]; r != nil && r.exchange == e.x && !r.ended {
			l.settle(r)
			l.tell(ctx, policy.Lapsed{ID: r.req.ID})
			l.drop(r)
		}
	case ending:
		l.end(ctx, e)
	case news:
		l.listed(ctx, e)
	case finish:
		for _, r := range l.requests {
			if !r.ended {
				l.fail(ctx, r, http.StatusBadGateway)
			}
		}
	}
}

func (l *loop) arrive(ctx context.Context, x *exchange) {
	// The module would wait for the first of an id and never answer this one; and what came under an
	// id before may have run, also when it is over.
	if l.requests[x.req.ID] != nil || !l.used.add(x.req.ID, l.clock.now()) {
		x.reply <- answer{status: http.StatusConflict}
		return
	}
	if l.maxOpen > 0 && l.owed >= l.maxOpen {
		x.reply <- answer{status: http.StatusServiceUnavailable, retryAfter: ownRetryAfter}
		return
	}
	margin := min(answerMargin, x.clientWaits/answerMarginPart)
	end := x.came + x.clientWaits
	r := &request{exchange: x, deadline: end - margin}
	l.requests[x.req.ID] = r
	l.owed++
	r.backstop = &timer{due: end - margin/2, backstop: r}
	heap.Push(&l.timers, r.backstop)
	req := x.req
	req.ExpiresIn = max(0, r.deadline-l.clock.now())
	l.tell(ctx, req)
}

func (l *loop) end(ctx context.Context, e ending) {
	a := &e.r.attempts[e.n]
	a.cancel()
	e.r.pending--
	if e.code == policy.OK && !e.r.ended {
		l.answer(e.r, e.result.answer)
	}
	l.tell(ctx, policy.Outcome{ID: e.r.req.ID, Server: a.server, Attempt: e.n, Code: e.code,
		Latency: l.clock.now() - a.sent, Ended: e.r.ended, Report: e.report})
	l.drop(e.r)
}

func (l *loop) listed(ctx context.Context, n news) {
	if n.kind != policy.ListUnavailable {
		l.up.update(n)
	}
	members := make([]policy.Member, len(n.members))
	for i, m := range n.members {
		members[i] = m.Member
		members[i].OnlineSince = l.clock.unix(m.UpSince)
	}
	l.tell(ctx, policy.MemberList{Kind: n.kind, Members: members})
}

// tell gives the module an event and carries out what it wants done, in order.
func (l *loop) tell(ctx context.Context, ev policy.Event) {
	for {
		for _, a := range l.module.Handle(l.clock.now(), ev) {
			l.carryOut(ctx, a)
		}
		if len(l.skipped) == 0 {
			return
		}
		o := l.skipped[0]
		l.skipped = l.skipped[1:]
		if r := l.requests[o.ID]; r != nil {
			r.pending--
			o.Ended = r.ended
			defer l.drop(r)
		}
		ev = o
	}
}

func (l *loop) carryOut(ctx context.Context, a policy.Action) {
	switch a.Kind {
	case policy.Send:
		l.attempt(ctx, a)
	case policy.Refuse:
		if r := l.requests[a.ID]; r != nil {
			l.refuse(r, a.Wait)
		}
	case policy.Fail:
		if r := l.requests[a.ID]; r != nil {
			l.answer(r, answer{status: http.StatusBadGateway})
			l.drop(r)
		}
	case policy.Cancel:
		if r := l.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].cancel()
		}
	case policy.SetTimer:
		heap.Push(&l.timers, &timer{due: l.clock.now() + a.Wait, token: a.Token})
	case policy.CloseIdle:
		l.up.closeIdle(a.Server)
	case policy.WatchList:
		l.disc.ask(a.On)
	case policy.Log:
		slog.Info(a.Text)
	default: // probes and peer messages are not allowed here, and the module asks for none
		slog.Error("the module wants what this node can't do", "action", a.Kind)
	}
}

// attempt sends a request out, unless it is too late or too often for that: then it is skipped.
func (l *loop) attempt(ctx context.Context, a policy.Action) {
	r, now := l.requests[a.ID], l.clock.now()
	if r == nil {
		slog.Error("the module sends a request that is not open")
		return
	}
	n := len(r.attempts)
	r.pending++
	if r.ended || now >= r.deadline || n >= max(1, l.allowed.MaxAttempts) {
		r.attempts = append(r.attempts, attempt{server: a.Server, sent: now, cancel: func() {}})
		l.skipped = append(l.skipped, policy.Outcome{ID: a.ID, Server: a.Server, Attempt: n, Code: policy.Moot})
		return
	}
	until := r.deadline
	if a.Until > 0 {
		until = min(until, a.Until)
	}
	ctx, cancel := context.WithDeadline(ctx, l.clock.at(until))
	r.attempts = append(r.attempts, attempt{server: a.Server, sent: now, cancel: cancel})
	l.attempts.Go(func() { l.send(ending{r, n, l.up.attempt(ctx, a.Server, r.exchange)}) })
}

func (l *loop) refuse(r *request, wait time.Duration) {
	a := answer{status: http.StatusServiceUnavailable}
	if wait > 0 && l.allowed.RetryAfter {
		a = answer{status: http.StatusTooManyRequests, retryAfter: wait}
	}
	l.answer(r, a)
	l.drop(r)
}

// answer gives the client its one answer; whatever comes later is not passed on.
func (l *loop) answer(r *request, a answer) {
	if !r.ended {
		l.settle(r)
		r.reply <- a
	}
}

// fail gives the client its one answer where the module has none in time, and tells it so.
func (l *loop) fail(ctx context.Context, r *request, status int) {
	l.answer(r, answer{status: status})
	l.tell(ctx, policy.Lapsed{ID: r.req.ID})
	l.drop(r)
}

// settle marks r as answered, or given up by its client: the first to do so wins.
func (l *loop) settle(r *request) {
	r.ended = true
	l.owed--
	if r.backstop.at >= 0 { // else it would keep the request until a deadline that may be far off
		heap.Remove(&l.timers, r.backstop.at)
	}
}

// drop forgets a request that is answered and has no attempt out.
func (l *loop) drop(r *request) {
	if r.ended && r.pending == 0 && l.requests[r.req.ID] == r {
		delete(l.requests, r.req.ID)
	}
}

// timer is one of the module's, or a request's backstop.
type timer struct {
	due      policy.Time
	token    uint64
	backstop *request
	at       int // its place among the timers; -1 once it is out
}

type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].at, t[j].at = i, j
}

func (t *timers) Push(x any) {
	x.(*timer).at = len(*t)
	*t = append(*t, x.(*timer))
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	x.at, (*t)[last] = -1, nil
	*t = (*t)[:last]
	return x
}

// ids remembers for a while, between idsFor and twice that, which ids requests came under: two
// halves, of which the older is dropped whole, so that it neither grows nor needs to be searched.
// At very many a second the while is shorter. Hashes stand for the ids, to keep it small.
type ids struct {
	seed       maphash.Seed
	began      policy.Time
	now, older map[uint64]struct{}
}

// add takes an id in, or reports false where it is there already.
func (s *ids) add(id string, now policy.Time) bool {
	if s.now == nil || now-s.began >= idsFor || len(s.now) >= maxIDs {
		s.older, s.now, s.began = s.now, make(map[uint64]struct{}), now
	}
	h := maphash.String(s.seed, id)
	_, fresh := s.now[h]
	_, old := s.older[h]
	s.now[h] = struct{}{}
	return !fresh && !old
}
