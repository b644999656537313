package router

import (
	"cmp"
	"container/heap"
	"context"
	"hash/maphash"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/drops"
	"cobaltward/internal/guards"
	"cobaltward/internal/pace"
	"cobaltward/levels"
	"cobaltward/policy"
)

const (
	// eventBuffer lets fronts and attempts hand in an event while the loop is busy with others.
	eventBuffer = 1024
	// answerMargin is how long before the client stops waiting the module's time is up, so that its
	// answer still arrives; half of it later the backstop answers. Of short deadlines it is a part.
	answerMargin     = 20 * time.Millisecond
	answerMarginPart = 5
	// keyMargin is how long before servers forget a key a repeat is written at the latest; of short windows
	// it is a part.
	keyMargin     = 50 * time.Millisecond
	keyMarginPart = 5
	// What a body may take that passes through: a client may send so few bytes a second, and begin so late.
	uploadRate    = 32 << 10
	uploadLeast   = 5 * time.Second
	longestUpload = 32 << 20

	ownRetryAfter = time.Second // told to clients that the router refuses without the module
	lagGain       = 0.05        // weight of one event in the mean lag
)

// attemptLauncher has attempts made. Its methods must not wait, nor call the loop.
type attemptLauncher interface {
	launch(a *attempt)  // once; its end comes back by loop.end
	cancelled(*attempt) // its context has ended
}

// loop owns the module, the open requests and the timers, in one goroutine. All else sends it events;
// it waits for nothing but the next of them.
type loop struct {
	clock          clock
	log            *slog.Logger
	module         guards.Module // the policy.Balancer
	launcher       attemptLauncher
	disabledGuards guards.Without
	config         Config
	transport      Transport
	endpointSource EndpointSource

	events  chan any
	changes chan EndpointUpdate // apart from events, and ahead of them: a drain must not wait behind requests
	done    chan struct{}       // closed when the loop has ended
	ready   chan struct{}       // closed when the known list is in

	requests       map[string]*request
	used           ids
	drained        atomic.Bool  // nothing is taken, until the drain is taken back
	pendingAnswers int          // requests without their answer
	open           atomic.Int64 // the same, for others to read
	timers         timers
	skipped        []policy.Outcome // of attempts that were not made; told once all actions are done
	attempts       sync.WaitGroup
	inFlight       int // attempts that are out
	stats          Stats
	tally          tally
	servers        map[string]listed // for Stats
	drops          drops.Parts
	members        []policy.Endpoint // memory for small changes
	service        *service          // levels of reduced service; nil where there are none
	ticking        bool              // a step on the ladder is due within a second
}

// listed is what Stats tells of a server.
type listed struct {
	state policy.Availability
	pools []string
}

// call is one request on its way from Do to the loop and back. It is not changed once the loop has it.
type call struct {
	req     Request
	class   policy.Class // under which Do took it
	entered policy.Time  // when Do was called
	came    policy.Time  // when its last byte was read
	waits   time.Duration
	reply   chan Answer     // holds one, so the loop never waits for whoever asked
	told    func(Answer)    // in place of reply; it must not call the loop
	ctx     context.Context // the caller's; nil where its departure is told alone
	gone    atomic.Bool     // nobody waits for reply any more
	arrives bool            // its last byte has not come: its time counts from then; only the loop goes by it
}

// request is kept until it is answered and all its attempts are over.
type request struct {
	*call
	allowed  policy.Capabilities // as they were when it was taken
	deadline policy.Time
	window   time.Duration // in which servers drop repeats of its key; 0 where it has none
	backstop timer
	ended    bool
	attempts []*attempt
	pending  int
}

type attempt struct {
	r      *request
	n      int
	server string
	sent   policy.Time
	sendBy policy.Time // 0: there is none
	ctx    attemptContext
	late   timer // ends ctx
	out    bool
	notRun bool // it ended, and can't have run
	result Result
}

// The events of the loop, beside Change. *call is an arrival, and *attempt the end of one.
type (
	departure struct{ c *call }
	arrived   struct { // the last byte of an upload has come
		c  *call
		at time.Time
	}
	reload struct {
		config Config
		reply  chan error
	}
	statsQuery  struct{ reply chan Stats }
	finish      struct{ of *runner } // answer what is still open, unless the drain was taken back
	ladderOrder struct {             // another ladder
		config *levels.Config
		reply  chan error
	}
	levelOrder struct {
		do    func(*service, policy.Time) error
		reply chan error
	}
)

func newLoop(c Config, o options, ck clock) (*loop, error) {
	set := c.Settings
	if o.disabledGuards.Settings != nil {
		set = o.disabledGuards.Settings(set)
	}
	balancer, err := policy.New(set, ck.now(), c.Seed)
	if err != nil {
		return nil, err
	}
	l := &loop{clock: ck, log: o.log, module: balancer, disabledGuards: o.disabledGuards, config: c, transport: o.transport,
		endpointSource: o.endpointSource, events: make(chan any, eventBuffer), changes: make(chan EndpointUpdate, 1),
		done: make(chan struct{}), ready: make(chan struct{}), requests: make(map[string]*request),
		used: ids{seed: maphash.MakeSeed()}, servers: make(map[string]listed)}
	l.launcher = spawner{l}
	l.tally.adopt(c.Settings.Classes)
	if o.levels != nil {
		if l.service, err = newService(*o.levels, c.Settings); err != nil {
			return nil, err
		}
	}
	if o.disabledGuards.Wrap != nil {
		l.module = o.disabledGuards.Wrap(balancer)
	}
	return l, nil
}

// spawner has each attempt made in a goroutine of its own.
type spawner struct{ l *loop }

func (s spawner) launch(a *attempt) {
	s.l.attempts.Go(func() {
		a.result = s.l.transport.Attempt(&a.ctx, a.server, &a.r.req)
		s.l.send(a)
	})
}

func (spawner) cancelled(*attempt) {}

// callOff ends an attempt that is out.
func (l *loop) callOff(a *attempt, why error) {
	a.ctx.end(why)
	l.launcher.cancelled(a)
}

// send hands the loop an event, unless the loop has ended: then there is nobody to tell.
func (l *loop) send(ev any) bool {
	select {
	case l.events <- ev:
		return true
	case <-l.done:
		return false
	}
}

// changePart is how many entries of a change the loop takes in at a time: few enough for the module to
// put them into its order in place, and for requests to come in between.
const changePart = 4

// tellChange hands the loop news of the servers. A large change comes in parts, servers that are open to
// new work first: at no moment are there fewer of them than before and after.
func (l *loop) tellChange(c EndpointUpdate) {
	members := c.Endpoints
	if c.Kind == policy.ListUpdate && len(members) > changePart {
		members = make([]Endpoint, 0, len(c.Endpoints))
		for state := policy.Running; state <= policy.Removed; state++ {
			for i := range c.Endpoints {
				if c.Endpoints[i].Availability == state {
					members = append(members, c.Endpoints[i])
				}
			}
		}
		var rest pace.Pacer
		for len(members) > changePart {
			if !l.sendChange(EndpointUpdate{Kind: c.Kind, Endpoints: members[:changePart]}) {
				return
			}
			members = members[changePart:]
			rest.Pause()
		}
	}
	l.sendChange(EndpointUpdate{Kind: c.Kind, Endpoints: members, Drops: c.Drops})
}

func (l *loop) sendChange(c EndpointUpdate) bool {
	select {
	case l.changes <- c:
		return true
	case <-l.done:
		return false
	}
}

// run handles events until ctx ends; then it answers what is open, calls off what is out and waits
// for it. The list as last held comes before all else, as the module expects.
func (l *loop) run(ctx context.Context) {
	defer l.attempts.Wait()
	defer l.callOffAll()
	defer close(l.done)
	l.begin()
	l.published()
	close(l.ready)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		if len(l.timers) > 0 {
			wake.Reset(l.timers[0].due - l.clock.now())
		} else {
			wake.Stop()
		}
		select {
		case c := <-l.changes:
			l.listed(c)
		case ev := <-l.events:
			l.catchUp()
			l.handle(ev)
		case <-wake.C:
			l.catchUp()
		case <-ctx.Done():
			l.finish()
			l.stats = l.snapshot()
			return
		}
		l.fire()
		l.published()
	}
}

// begin is what comes before all else.
func (l *loop) begin() {
	l.listed(EndpointUpdate{Kind: policy.ListRestored, Endpoints: l.config.Endpoints})
	if l.service != nil {
		l.eachSecond(l.clock.now())
	}
}

// second takes a step on the ladder of levels, each second.
func (l *loop) second(due policy.Time) {
	if l.service == nil { // a reload has taken the levels away
		l.ticking = false
		return
	}
	if e, moved := l.service.step(due, l.requests); moved {
		l.log.Warn("level of service", "from", e.From, "to", e.To, "name", e.Name, "reason", e.Reason)
	}
	heap.Push(&l.timers, &timer{due: due + time.Second, second: true})
}

// callOffAll ends all attempts that are out.
func (l *loop) callOffAll() {
	for _, r := range l.requests {
		for _, a := range r.attempts {
			if a.out {
				l.callOff(a, context.Canceled)
			}
		}
	}
}

// catchUp takes in what membership has told by now. It guards the rule on drains where the host has
// kept the loop from running and requests have piled up ahead of the news.
func (l *loop) catchUp() {
	select {
	case c := <-l.changes:
		l.listed(c)
	default:
	}
}

// fire handles the timers that are due.
func (l *loop) fire() {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].due <= now; {
		t := heap.Pop(&l.timers).(*timer)
		l.lag(now - t.due)
		switch {
		case t.attempt != nil:
			l.callOff(t.attempt, context.DeadlineExceeded)
		case t.second:
			l.second(t.due)
		case t.backstop != nil:
			if l.disabledGuards.Has(guards.Backstop) {
				l.fail(t.backstop, Expired) // the module has said nothing
			}
		default:
			l.notify(policy.Timer{Token: t.token})
		}
	}
}

// lag notes how late the loop came to an event.
func (l *loop) lag(d time.Duration) {
	d = max(0, d)
	l.stats.Lag.Last = d
	l.stats.Lag.Max = max(l.stats.Lag.Max, d)
	l.stats.Lag.Mean += time.Duration(lagGain * float64(d-l.stats.Lag.Mean))
}

func (l *loop) handle(ev any) {
	switch e := ev.(type) {
	case *call:
		l.arrive(e)
	case departure:
		// Another request may bear the id by now.
		if r := l.requests[e.c.req.ID]; r != nil && r.call == e.c && !r.ended {
			l.depart(r)
			l.notify(policy.ClientGone{ID: r.req.ID})
			l.drop(r)
		}
	case arrived:
		l.arrived(e)
	case *attempt:
		l.end(e)
	case reload:
		e.reply <- l.reload(e.config)
	case statsQuery:
		e.reply <- l.snapshot()
	case moduleOrder:
		e.reply <- l.moduleOrder(e)
	case ladderOrder:
		e.reply <- l.adopt(e.config)
	case levelOrder:
		if l.service == nil {
			e.reply <- ErrNoLevels
		} else {
			e.reply <- e.do(l.service, l.clock.now())
		}
	case finish:
		if !e.of.back.Load() {
			l.finish()
		}
	}
}

// left tells whether the caller has left. The news of it may be behind much else.
func (c *call) left() bool { return c.gone.Load() || c.ctx != nil && c.ctx.Err() != nil }

// depart notes that nobody waits for r any more.
func (l *loop) depart(r *request) {
	l.settle(r)
	l.stats.Departed++
}

// finish answers what is open: what may have run has failed, and the rest is refused.
func (l *loop) finish() {
	open := make([]*request, 0, len(l.requests))
	for _, r := range l.requests {
		if !r.ended {
			open = append(open, r)
		}
	}
	// Oldest first, lest the order in which the module hears of them be that of a map.
	slices.SortFunc(open, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.entered, b.entered), strings.Compare(a.req.ID, b.req.ID))
	})
	for _, r := range open {
		if r.ended {
			continue
		}
		outcome := Rejected
		if r.mayHaveRun() {
			outcome = Failed
		}
		l.fail(r, outcome)
	}
}

// mayHaveRun tells whether an attempt is out, or over without proof that it never ran.
func (r *request) mayHaveRun() bool {
	for _, a := range r.attempts {
		if !a.notRun {
			return true
		}
	}
	return false
}

func (l *loop) arrive(c *call) {
	now := l.clock.now()
	l.lag(now - c.entered)
	if l.disabledGuards.Has(guards.Departure) && c.left() { // while it waited for its turn: nothing of it is taken
		l.stats.Departed++
		return
	}
	// The module would wait for the first of an id and never answer this one; and what came under an
	// id before may have run, also when it is over.
	if (l.requests[c.req.ID] != nil || !l.used.add(c.req.ID, now)) && l.disabledGuards.Has(guards.FreshID) {
		l.reply(c, Answer{Outcome: Conflict})
		return
	}
	if l.drained.Load() || l.pendingAnswers >= l.config.maxOpen() {
		l.reply(c, Answer{Outcome: Overloaded, RetryAfter: comeBack(l.config.Settings.Capabilities)})
		return
	}
	margin := min(answerMargin, c.waits/answerMarginPart)
	if !l.disabledGuards.Has(guards.AnswerTime) {
		margin = -time.Second
	}
	end := c.came + c.waits
	if c.arrives {
		end += uploadTime(c.req.Upload.Length())
	}
	r := &request{call: c, allowed: l.config.Settings.Capabilities, deadline: end - margin}
	if now >= r.deadline { // the host kept the router from it: nothing may go out any more
		l.reply(c, Answer{Outcome: Rejected})
		return
	}
	class := l.class(c.req.Class)
	if class.Name != "" && !sameEffect(class, &c.class) { // a reload came between Do and this
		l.reply(c, Answer{Outcome: Rejected})
		return
	}
	if class.Idempotency == policy.IdempotencyKeyed {
		r.window = class.DedupWindow
	}
	dropped := len(l.drops) > 0 && l.drops.Drops(class.Pool, c.req.ID)
	if dropped {
		l.stats.Dropped++
	} else if l.service != nil && l.service.sheds(r, now) {
		l.stats.Shed++
		dropped = true
	}
	if dropped {
		a := Answer{Outcome: Rejected}
		if r.allowed.RetryAfter {
			a.RetryAfter = shedRetry(c.req.ID, r.allowed.MaxRetryAfter)
		}
		l.reply(c, a)
		return
	}
	l.requests[c.req.ID] = r
	l.pendingAnswers++
	l.open.Store(int64(l.pendingAnswers))
	r.backstop = timer{due: end - margin/2, backstop: r}
	heap.Push(&l.timers, &r.backstop)
	ask := policy.Request{ID: c.req.ID, Class: c.req.Class, Tenant: c.req.Tenant, Key: c.req.Key,
		ExpiresIn: r.deadline - now, CostHint: c.req.CostHint, Retry: c.req.IsRetry, BodyPending: c.arrives}
	if l.service != nil {
		ask.ZoneLocal, ask.MaxQueueTime = l.service.narrowed(r)
	}
	l.notify(ask)
}

// comeBack is what clients are told that the router refuses without the module: nothing where they are told nothing, and
// no longer than they go by.
func comeBack(a policy.Capabilities) time.Duration {
	switch {
	case !a.RetryAfter:
		return 0
	case a.MaxRetryAfter > 0:
		return min(ownRetryAfter, a.MaxRetryAfter)
	}
	return ownRetryAfter
}

// uploadTime bounds how long a body of so many bytes may take; of unknown length it is the longest.
func uploadTime(length int64) time.Duration {
	if length < 0 || length > longestUpload {
		length = longestUpload
	}
	return uploadLeast + time.Duration(length)*time.Second/uploadRate
}

// arrived begins the time of a request whose body has passed through: the client counts from its last byte. Nothing
// can have run before.
func (l *loop) arrived(e arrived) {
	r := l.requests[e.c.req.ID]
	if r == nil || r.call != e.c || r.ended || !e.c.arrives {
		return
	}
	now := l.clock.now()
	e.c.arrives = false
	r.came = min(now, l.clock.since(e.at))
	margin := min(answerMargin, r.waits/answerMarginPart)
	end := r.came + r.waits
	r.deadline = end - margin
	r.backstop.due = end - margin/2
	heap.Fix(&l.timers, r.backstop.at)
	for _, a := range r.attempts {
		if a.out {
			a.sent, a.late.due = now, r.deadline
			a.ctx.until(l.clock.at(r.deadline))
			heap.Fix(&l.timers, a.late.at)
		}
	}
	l.notify(policy.Request{ID: r.req.ID, Class: r.req.Class, Tenant: r.req.Tenant, Key: r.req.Key, ExpiresIn: r.deadline - now})
}

// sameEffect tells whether repeats of a request of either class are as harmless.
func sameEffect(a, b *policy.Class) bool {
	return a.Idempotency == b.Idempotency && (a.Idempotency != policy.IdempotencyKeyed || a.DedupScope == b.DedupScope && a.DedupWindow == b.DedupWindow)
}

// class is one of the settings in force.
func (l *loop) class(name string) *policy.Class {
	for i := range l.config.Settings.Classes {
		if c := &l.config.Settings.Classes[i]; c.Name == name {
			return c
		}
	}
	return &policy.Class{} // a reload came between, and the module will not know it
}

func (l *loop) end(a *attempt) {
	r, code := a.r, a.result.Code
	if a.late.at >= 0 {
		heap.Remove(&l.timers, a.late.at)
	}
	a.ctx.end(context.Canceled)
	a.out, a.notRun = false, code.NotExecuted()
	r.pending--
	l.inFlight--
	if code == policy.OK && (!r.ended || !l.disabledGuards.Has(guards.OneAnswer)) {
		answer := a.result.Answer
		answer.Outcome = Served
		l.answer(r, answer)
	} else if s := a.result.Answer.Stream; s != nil { // another copy was the first, or the caller has left
		s.Close()
	}
	if l.service != nil && code == policy.OK {
		l.service.worked(r, l.clock.now()-a.sent)
	}
	o := policy.Outcome{ID: r.req.ID, Server: a.server, Attempt: a.n, Code: code,
		Latency: l.clock.now() - a.sent, Answered: r.ended, LoadReport: a.result.LoadReport, BodyConsumed: r.req.Upload != nil && r.req.Upload.Consumed()}
	a.result = Result{}
	l.notify(o)
	l.drop(r)
}

// reload puts another configuration in force. What was taken before keeps the classes and the limits
// that it was taken under; ids, open requests, timers and budgets go on.
func (l *loop) reload(c Config) error {
	actions, err := l.module.Reconfigure(l.clock.now(), c.Settings)
	if err != nil {
		return err
	}
	l.config = c
	l.tally.adopt(c.Settings.Classes)
	if l.service != nil {
		l.service.follow(c.Settings)
	}
	l.execute(actions)
	l.transport.Configure(c.Settings)
	l.stats.Reloads++
	if _, fixed := l.endpointSource.(StaticEndpoints); fixed {
		l.listed(EndpointUpdate{Kind: policy.ListReplace, Endpoints: c.Endpoints})
	}
	return nil
}

func (l *loop) listed(c EndpointUpdate) {
	if c.Kind == policy.ListUnavailable {
		l.stats.List.Failures++
	} else {
		l.transport.Update(c)
		l.stats.List.Changes++
		l.stats.List.Changed = time.Now()
		l.note(c)
		if c.Drops != nil {
			l.drops = c.Drops
		}
	}
	members := l.members[:0]
	for i := range c.Endpoints {
		m := &c.Endpoints[i]
		members = append(members, policy.Endpoint{Server: m.ID, Zone: m.Zone, Kind: m.Kind, Pools: m.Pools, Cell: m.Cell, Weight: m.Weight,
			OnlineSince: l.clock.unix(m.Started), Availability: m.Availability})
	}
	l.notify(policy.EndpointList{Kind: c.Kind, Endpoints: members})
	if cap(members) <= 4*changePart {
		l.members = members
	}
}

// note keeps what Stats tells of the servers.
func (l *loop) note(c EndpointUpdate) {
	if c.Kind != policy.ListUpdate {
		clear(l.servers)
	}
	for _, m := range c.Endpoints {
		if m.Availability == policy.Removed {
			delete(l.servers, m.ID)
		} else {
			l.servers[m.ID] = listed{m.Availability, m.Pools}
		}
	}
}

// notify gives the module an event and carries out what it wants done.
func (l *loop) notify(ev policy.Event) {
	l.execute(l.module.Handle(l.clock.now(), ev))
}

// execute carries out actions in order. Only then does the module hear of attempts that were not made:
// its next actions take the place of these.
func (l *loop) execute(actions []policy.Action) {
	for {
		for _, a := range actions {
			l.carryOut(a)
		}
		if len(l.skipped) == 0 {
			return
		}
		o := l.skipped[0]
		l.skipped = l.skipped[1:]
		if r := l.requests[o.ID]; r != nil {
			r.pending--
			o.Answered = r.ended
			defer l.drop(r)
		}
		actions = l.module.Handle(l.clock.now(), o)
	}
}

func (l *loop) carryOut(a policy.Action) {
	switch a.Kind {
	case policy.Send:
		l.attempt(a)
	case policy.Reject:
		if r := l.requests[a.ID]; r != nil {
			l.refuse(r, a.Wait)
		}
	case policy.Fail:
		if r := l.requests[a.ID]; r != nil {
			outcome := Failed
			if !l.disabledGuards.Has(guards.RefuseRan) {
				outcome = Rejected
			}
			l.answer(r, Answer{Outcome: outcome})
			l.drop(r)
		}
	case policy.Cancel:
		if r := l.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) && r.attempts[a.Attempt].out {
			l.callOff(r.attempts[a.Attempt], context.Canceled)
		}
	case policy.SetTimer:
		heap.Push(&l.timers, &timer{due: l.clock.now() + a.Wait, token: a.Token})
	case policy.CloseIdle:
		l.transport.CloseIdle(a.Server)
	case policy.WatchEndpoints:
		l.endpointSource.SetPolling(a.On)
	case policy.Log:
		l.log.Info(a.Text)
	default: // probes and peer messages are not allowed here, and the module asks for none
		l.log.Error("the module wants what this router can't do", "action", a.Kind)
	}
}

// attempt sends a request out, unless it is too late or too often for that: then it is skipped.
func (l *loop) attempt(a policy.Action) {
	r, now := l.requests[a.ID], l.clock.now()
	if r == nil {
		l.log.Error("the module sends a request that is not open", "id", a.ID)
		return
	}
	if !r.ended && l.disabledGuards.Has(guards.Departure) && r.left() {
		l.depart(r)
	}
	at := &attempt{r: r, n: len(r.attempts), server: a.Server, sent: now}
	by := r.sendBy()
	r.attempts = append(r.attempts, at)
	r.pending++
	if r.ended && l.disabledGuards.Has(guards.AfterEnd) || now >= r.deadline || by > 0 && now >= by && l.disabledGuards.Has(guards.KeyWindow) || at.n >= max(1, r.allowed.MaxAttempts) ||
		l.service != nil && l.service.spares(r, at.n) {
		at.notRun = true
		l.stats.Skipped++
		l.skipped = append(l.skipped, policy.Outcome{ID: a.ID, Server: a.Server, Attempt: at.n, Code: policy.Superseded})
		return
	}
	until := r.deadline
	if a.Until > 0 {
		until = min(until, a.Until)
	}
	l.stats.Attempts++
	if at.n > 0 {
		l.stats.Repeats++
	}
	l.inFlight++
	at.out = true
	at.ctx.deadline = l.clock.at(until)
	if by > 0 && l.disabledGuards.Has(guards.KeyWindow) {
		at.sendBy, at.ctx.sendBy = by, l.clock.at(by)
	}
	at.late = timer{due: until, attempt: at}
	heap.Push(&l.timers, &at.late)
	l.launcher.launch(at)
}

// sendBy is the moment from which on r may not be sent any more, since its key may be forgotten: the window
// counts from the first attempt that may have run, and the way to the next server may be longer than the way
// to that one was. 0 where nothing may have run, or where it has no key.
func (r *request) sendBy() policy.Time {
	if r.window == 0 {
		return 0
	}
	for _, a := range r.attempts {
		if !a.notRun {
			return a.sent + r.window - min(keyMargin, r.window/keyMarginPart)
		}
	}
	return 0
}

func (l *loop) refuse(r *request, wait time.Duration) {
	if !r.allowed.RetryAfter {
		wait = 0
	}
	l.answer(r, Answer{Outcome: Rejected, RetryAfter: max(0, wait)})
	l.drop(r)
}

// answer gives the request its one answer; whatever comes later is not passed on.
func (l *loop) answer(r *request, a Answer) {
	if !r.ended {
		if l.service != nil {
			l.service.answered(r, a.Outcome, l.clock.now())
		}
		l.settle(r)
		l.reply(r.call, a)
	} else if !l.disabledGuards.Has(guards.OneAnswer) {
		l.reply(r.call, a)
	}
}

func (l *loop) reply(c *call, a Answer) {
	if a.Stream == nil { // else it counts when the stream has ended
		l.tally.count(c.req.Class, a.Outcome)
	}
	if c.told != nil {
		c.told(a)
		return
	}
	c.reply <- a
	if c.gone.Load() {
		c.discard()
	}
}

// discard takes an answer that nobody waits for any more, if there is one: its stream holds a connection.
func (c *call) discard() {
	select {
	case a := <-c.reply:
		if a.Stream != nil {
			a.Stream.Close()
		}
	default:
	}
}

// fail gives the request its one answer where the module has none in time, and tells it so.
func (l *loop) fail(r *request, o Outcome) {
	l.answer(r, Answer{Outcome: o})
	l.notify(policy.ClientGone{ID: r.req.ID})
	l.drop(r)
}

// settle marks r as answered, or given up by its client: the first to do so wins.
func (l *loop) settle(r *request) {
	r.ended = true
	for _, a := range r.attempts { // what waits for its connection needs no call-off, which the site may not allow
		if a.out && l.disabledGuards.Has(guards.Departure) {
			a.ctx.forbid()
		}
	}
	l.pendingAnswers--
	l.open.Store(int64(l.pendingAnswers))
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
