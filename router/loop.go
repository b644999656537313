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
	answerMargin        = 20 * time.Millisecond
	answerMarginDivisor = 5
	// dedupMargin is how long before servers forget a key a repeat is written at the latest; of short windows
	// it is a part.
	dedupMargin        = 50 * time.Millisecond
	dedupMarginDivisor = 5
	// What a body may take that passes through: a client may send so few bytes a second, and begin so late.
	minUploadRate    = 32 << 10
	minUploadTimeout = 5 * time.Second
	maxTimedUpload   = 32 << 20

	routerRetryAfter = time.Second // told to clients that the router refuses without the module
	lagGain          = 0.05        // weight of one event in the mean lag
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
	balancer       guards.Module // the policy.Balancer
	launcher       attemptLauncher
	disabledGuards guards.Without
	config         Config
	transport      Transport
	endpointSource EndpointSource

	events          chan any
	endpointUpdates chan EndpointUpdate // apart from events, and ahead of them: a drain must not wait behind requests
	done            chan struct{}       // closed when the loop has ended
	ready           chan struct{}       // closed when the known list is in

	requests           map[string]*request
	recentIDs          idHistory
	drained            atomic.Bool  // nothing is taken, until the drain is taken back
	pendingAnswers     int          // requests without their answer
	openRequests       atomic.Int64 // the same, for others to read
	timers             timerHeap
	skippedOutcomes    []policy.Outcome // of attempts that were not made; told once all actions are done
	attemptGoroutines  sync.WaitGroup
	attemptsInFlight   int // attempts that are out
	stats              Stats
	counters           counters
	endpoints          map[string]endpointSummary // for Stats
	drops              drops.Parts
	endpointBuffer     []policy.Endpoint // memory for small changes
	degradation        *degradation      // levels of reduced service; nil where there are none
	levelStepScheduled bool              // a step on the ladder is due within a second
}

// endpointSummary is what Stats tells of a server.
type endpointSummary struct {
	availability policy.Availability
	pools        []string
}

// call is one request on its way from Do to the loop and back. It is not changed once the loop has it.
type call struct {
	req         Request
	class       policy.Class // under which Do took it
	submittedAt policy.Time  // when Do was called
	receivedAt  policy.Time  // when its last byte was read
	timeout     time.Duration
	reply       chan Answer     // holds one, so the loop never waits for whoever asked
	onAnswer    func(Answer)    // in place of reply; it must not call the loop
	ctx         context.Context // the caller's; nil where its departure is told alone
	abandoned   atomic.Bool     // nobody waits for reply any more
	bodyPending bool            // its last byte has not come: its time counts from then; only the loop goes by it
}

// request is kept until it is answered and all its attempts are over.
type request struct {
	*call
	capabilities    policy.Capabilities // as they were when it was taken
	deadline        policy.Time
	dedupWindow     time.Duration // in which servers drop repeats of its key; 0 where it has none
	backstop        timer
	finished        bool
	attempts        []*attempt
	pendingOutcomes int
}

type attempt struct {
	request     *request
	number      int
	server      string
	sentAt      policy.Time
	sendBy      policy.Time // 0: there is none
	ctx         attemptContext
	timeout     timer // ends ctx
	inFlight    bool
	notExecuted bool // it ended, and can't have run
	result      Result
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
	finish      struct{ of *drainRun } // answer what is still open, unless the drain was taken back
	ladderOrder struct {               // another ladder
		config *levels.Config
		reply  chan error
	}
	levelOrder struct {
		do    func(*degradation, policy.Time) error
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
	l := &loop{
		clock: ck, log: o.log, balancer: balancer, disabledGuards: o.disabledGuards, config: c, transport: o.transport,
		endpointSource: o.endpointSource, events: make(chan any, eventBuffer), endpointUpdates: make(chan EndpointUpdate, 1),
		done: make(chan struct{}), ready: make(chan struct{}), requests: make(map[string]*request),
		recentIDs: idHistory{seed: maphash.MakeSeed()}, endpoints: make(map[string]endpointSummary),
	}
	l.launcher = goroutineLauncher{l}
	l.counters.addClasses(c.Settings.Classes)
	if o.levels != nil {
		if l.degradation, err = newDegradation(*o.levels, c.Settings); err != nil {
			return nil, err
		}
	}
	if o.disabledGuards.Wrap != nil {
		l.balancer = o.disabledGuards.Wrap(balancer)
	}
	return l, nil
}

// goroutineLauncher has each attempt made in a goroutine of its own.
type goroutineLauncher struct{ l *loop }

func (s goroutineLauncher) launch(a *attempt) {
	s.l.attemptGoroutines.Go(func() {
		a.result = s.l.transport.Attempt(&a.ctx, a.server, &a.request.req)
		s.l.send(a)
	})
}

func (goroutineLauncher) cancelled(*attempt) {}

// cancelAttempt ends an attempt that is out.
func (l *loop) cancelAttempt(a *attempt, why error) {
	a.ctx.cancel(why)
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

// updateBatchSize is how many entries of a change the loop takes in at a time: few enough for the module to
// put them into its order in place, and for requests to come in between.
const updateBatchSize = 4

// enqueueUpdate hands the loop news of the servers. A large change comes in parts, servers that are open to
// new work first: at no moment are there fewer of them than before and after.
func (l *loop) enqueueUpdate(c EndpointUpdate) {
	members := c.Endpoints
	if c.Kind == policy.ListUpdate && len(members) > updateBatchSize {
		members = make([]Endpoint, 0, len(c.Endpoints))
		for state := policy.Running; state <= policy.Removed; state++ {
			for i := range c.Endpoints {
				if c.Endpoints[i].Availability == state {
					members = append(members, c.Endpoints[i])
				}
			}
		}
		var rest pace.Pacer
		for len(members) > updateBatchSize {
			if !l.sendUpdate(EndpointUpdate{Kind: c.Kind, Endpoints: members[:updateBatchSize]}) {
				return
			}
			members = members[updateBatchSize:]
			rest.Pause()
		}
	}
	l.sendUpdate(EndpointUpdate{Kind: c.Kind, Endpoints: members, Drops: c.Drops})
}

func (l *loop) sendUpdate(c EndpointUpdate) bool {
	select {
	case l.endpointUpdates <- c:
		return true
	case <-l.done:
		return false
	}
}

// run handles events until ctx ends; then it answers what is open, calls off what is out and waits
// for it. The list as last held comes before all else, as the module expects.
func (l *loop) run(ctx context.Context) {
	defer l.attemptGoroutines.Wait()
	defer l.cancelAllAttempts()
	defer close(l.done)
	l.restoreEndpoints()
	l.publishEndpointCounts()
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
		case c := <-l.endpointUpdates:
			l.updateEndpoints(c)
		case ev := <-l.events:
			l.takePendingUpdate()
			l.handle(ev)
		case <-wake.C:
			l.takePendingUpdate()
		case <-ctx.Done():
			l.answerOpenRequests()
			l.stats = l.snapshot()
			return
		}
		l.fireTimers()
		l.publishEndpointCounts()
	}
}

// restoreEndpoints is what comes before all else.
func (l *loop) restoreEndpoints() {
	l.updateEndpoints(EndpointUpdate{Kind: policy.ListRestored, Endpoints: l.config.Endpoints})
	if l.degradation != nil {
		l.scheduleLevelStep(l.clock.now())
	}
}

// stepLevels takes a step on the ladder of levels, each stepLevels.
func (l *loop) stepLevels(due policy.Time) {
	if l.degradation == nil { // a reload has taken the levels away
		l.levelStepScheduled = false
		return
	}
	if e, moved := l.degradation.step(due, l.requests); moved {
		l.log.Warn("level of service", "from", e.From, "to", e.To, "name", e.Name, "reason", e.Reason)
	}
	heap.Push(&l.timers, &timer{due: due + time.Second, levelStep: true})
}

// cancelAllAttempts ends all attempts that are out.
func (l *loop) cancelAllAttempts() {
	for _, r := range l.requests {
		for _, a := range r.attempts {
			if a.inFlight {
				l.cancelAttempt(a, context.Canceled)
			}
		}
	}
}

// takePendingUpdate takes in what membership has told by now. It guards the rule on drains where the host has
// kept the loop from running and requests have piled up ahead of the news.
func (l *loop) takePendingUpdate() {
	select {
	case c := <-l.endpointUpdates:
		l.updateEndpoints(c)
	default:
	}
}

// fireTimers handles the timers that are due.
func (l *loop) fireTimers() {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].due <= now; {
		t := heap.Pop(&l.timers).(*timer)
		l.recordLag(now - t.due)
		switch {
		case t.attempt != nil:
			l.cancelAttempt(t.attempt, context.DeadlineExceeded)
		case t.levelStep:
			l.stepLevels(t.due)
		case t.backstop != nil:
			if l.disabledGuards.Has(guards.Backstop) {
				l.fail(t.backstop, Expired) // the module has said nothing
			}
		default:
			l.notify(policy.Timer{Token: t.token})
		}
	}
}

// recordLag notes how late the loop came to an event.
func (l *loop) recordLag(d time.Duration) {
	d = max(0, d)
	l.stats.Lag.Last = d
	l.stats.Lag.Max = max(l.stats.Lag.Max, d)
	l.stats.Lag.Mean += time.Duration(lagGain * float64(d-l.stats.Lag.Mean))
}

func (l *loop) handle(ev any) {
	switch e := ev.(type) {
	case *call:
		l.admit(e)
	case departure:
		// Another request may bear the id by now.
		if r := l.requests[e.c.req.ID]; r != nil && r.call == e.c && !r.finished {
			l.recordClientGone(r)
			l.notify(policy.ClientGone{ID: r.req.ID})
			l.forget(r)
		}
	case arrived:
		l.completeBody(e)
	case *attempt:
		l.finishAttempt(e)
	case reload:
		e.reply <- l.reload(e.config)
	case statsQuery:
		e.reply <- l.snapshot()
	case balancerCommand:
		e.reply <- l.runBalancerCommand(e)
	case ladderOrder:
		e.reply <- l.reconfigureLevels(e.config)
	case levelOrder:
		if l.degradation == nil {
			e.reply <- ErrNoLevels
		} else {
			e.reply <- e.do(l.degradation, l.clock.now())
		}
	case finish:
		if !e.of.cancelled.Load() {
			l.answerOpenRequests()
		}
	}
}

// clientGone tells whether the caller has clientGone. The news of it may be behind much else.
func (c *call) clientGone() bool { return c.abandoned.Load() || c.ctx != nil && c.ctx.Err() != nil }

// recordClientGone notes that nobody waits for r any more.
func (l *loop) recordClientGone(r *request) {
	l.finishRequest(r)
	l.stats.ClientsGone++
}

// answerOpenRequests answers what is open: what may have run has failed, and the rest is refused.
func (l *loop) answerOpenRequests() {
	open := make([]*request, 0, len(l.requests))
	for _, r := range l.requests {
		if !r.finished {
			open = append(open, r)
		}
	}
	// Oldest first, lest the order in which the module hears of them be that of a map.
	slices.SortFunc(open, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.submittedAt, b.submittedAt), strings.Compare(a.req.ID, b.req.ID))
	})
	for _, r := range open {
		if r.finished {
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
		if !a.notExecuted {
			return true
		}
	}
	return false
}

func (l *loop) admit(c *call) {
	now := l.clock.now()
	l.recordLag(now - c.submittedAt)
	if l.disabledGuards.Has(guards.Departure) && c.clientGone() { // while it waited for its turn: nothing of it is taken
		l.stats.ClientsGone++
		return
	}
	// The module would wait for the first of an id and never answer this one; and what came under an
	// id before may have run, also when it is over.
	if (l.requests[c.req.ID] != nil || !l.recentIDs.add(c.req.ID, now)) && l.disabledGuards.Has(guards.FreshID) {
		l.deliver(c, Answer{Outcome: Conflict})
		return
	}
	if l.drained.Load() || l.pendingAnswers >= l.config.maxInFlight() {
		l.deliver(c, Answer{Outcome: Overloaded, RetryAfter: overloadRetryAfter(l.config.Settings.Capabilities)})
		return
	}
	margin := min(answerMargin, c.timeout/answerMarginDivisor)
	if !l.disabledGuards.Has(guards.AnswerTime) {
		margin = -time.Second
	}
	end := c.receivedAt + c.timeout
	if c.bodyPending {
		end += uploadTimeout(c.req.Upload.Length())
	}
	r := &request{call: c, capabilities: l.config.Settings.Capabilities, deadline: end - margin}
	if now >= r.deadline { // the host kept the router from it: nothing may go out any more
		l.deliver(c, Answer{Outcome: Rejected})
		return
	}
	class := l.class(c.req.Class)
	if class.Name != "" && !sameIdempotency(class, &c.class) { // a reload came between Do and this
		l.deliver(c, Answer{Outcome: Rejected})
		return
	}
	if class.Idempotency == policy.IdempotencyKeyed {
		r.dedupWindow = class.DedupWindow
	}
	dropped := len(l.drops) > 0 && l.drops.Drops(class.Pool, c.req.ID)
	if dropped {
		l.stats.Dropped++
	} else if l.degradation != nil && l.degradation.shouldShed(r, now) {
		l.stats.Shed++
		dropped = true
	}
	if dropped {
		a := Answer{Outcome: Rejected}
		if r.capabilities.RetryAfter {
			a.RetryAfter = shedRetryAfter(c.req.ID, r.capabilities.MaxRetryAfter)
		}
		l.deliver(c, a)
		return
	}
	l.requests[c.req.ID] = r
	l.pendingAnswers++
	l.openRequests.Store(int64(l.pendingAnswers))
	r.backstop = timer{due: end - margin/2, backstop: r}
	heap.Push(&l.timers, &r.backstop)
	ask := policy.Request{
		ID: c.req.ID, Class: c.req.Class, Tenant: c.req.Tenant, Key: c.req.Key,
		ExpiresIn: r.deadline - now, CostHint: c.req.CostHint, Retry: c.req.IsRetry, BodyPending: c.bodyPending,
	}
	if l.degradation != nil {
		ask.ZoneLocal, ask.MaxQueueTime = l.degradation.restrictions(r)
	}
	l.notify(ask)
}

// overloadRetryAfter is what clients are told that the router refuses without the module: nothing where they are told nothing, and
// no longer than they go by.
func overloadRetryAfter(a policy.Capabilities) time.Duration {
	switch {
	case !a.RetryAfter:
		return 0
	case a.MaxRetryAfter > 0:
		return min(routerRetryAfter, a.MaxRetryAfter)
	}
	return routerRetryAfter
}

// uploadTimeout bounds how long a body of so many bytes may take; of unknown length it is the longest.
func uploadTimeout(length int64) time.Duration {
	if length < 0 || length > maxTimedUpload {
		length = maxTimedUpload
	}
	return minUploadTimeout + time.Duration(length)*time.Second/minUploadRate
}

// completeBody begins the time of a request whose body has passed through: the client counts from its last byte. Nothing
// can have run before.
func (l *loop) completeBody(e arrived) {
	r := l.requests[e.c.req.ID]
	if r == nil || r.call != e.c || r.finished || !e.c.bodyPending {
		return
	}
	now := l.clock.now()
	e.c.bodyPending = false
	r.receivedAt = min(now, l.clock.policyTime(e.at))
	margin := min(answerMargin, r.timeout/answerMarginDivisor)
	end := r.receivedAt + r.timeout
	r.deadline = end - margin
	r.backstop.due = end - margin/2
	heap.Fix(&l.timers, r.backstop.index)
	for _, a := range r.attempts {
		if a.inFlight {
			a.sentAt, a.timeout.due = now, r.deadline
			a.ctx.setDeadline(l.clock.wallTime(r.deadline))
			heap.Fix(&l.timers, a.timeout.index)
		}
	}
	l.notify(policy.Request{ID: r.req.ID, Class: r.req.Class, Tenant: r.req.Tenant, Key: r.req.Key, ExpiresIn: r.deadline - now})
}

// sameIdempotency tells whether repeats of a request of either class are as harmless.
func sameIdempotency(a, b *policy.Class) bool {
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

func (l *loop) finishAttempt(a *attempt) {
	r, code := a.request, a.result.Code
	if a.timeout.index >= 0 {
		heap.Remove(&l.timers, a.timeout.index)
	}
	a.ctx.cancel(context.Canceled)
	a.inFlight, a.notExecuted = false, code.NotExecuted()
	r.pendingOutcomes--
	l.attemptsInFlight--
	if code == policy.OK && (!r.finished || !l.disabledGuards.Has(guards.OneAnswer)) {
		answer := a.result.Answer
		answer.Outcome = Served
		l.answer(r, answer)
	} else if s := a.result.Answer.Stream; s != nil { // another copy was the first, or the caller has left
		s.Close()
	}
	if l.degradation != nil && code == policy.OK {
		l.degradation.recordServiceTime(r, l.clock.now()-a.sentAt)
	}
	o := policy.Outcome{
		ID: r.req.ID, Server: a.server, Attempt: a.number, Code: code,
		Latency: l.clock.now() - a.sentAt, Answered: r.finished, LoadReport: a.result.LoadReport, BodyConsumed: r.req.Upload != nil && r.req.Upload.Consumed(),
	}
	a.result = Result{}
	l.notify(o)
	l.forget(r)
}

// reload puts another configuration in force. What was taken before keeps the classes and the limits
// that it was taken under; ids, open requests, timers and budgets go on.
func (l *loop) reload(c Config) error {
	actions, err := l.balancer.Reconfigure(l.clock.now(), c.Settings)
	if err != nil {
		return err
	}
	l.config = c
	l.counters.addClasses(c.Settings.Classes)
	if l.degradation != nil {
		l.degradation.reconfigure(c.Settings)
	}
	l.execute(actions)
	l.transport.Configure(c.Settings)
	l.stats.Reloads++
	if _, fixed := l.endpointSource.(StaticEndpoints); fixed {
		l.updateEndpoints(EndpointUpdate{Kind: policy.ListReplace, Endpoints: c.Endpoints})
	}
	return nil
}

func (l *loop) updateEndpoints(c EndpointUpdate) {
	if c.Kind == policy.ListUnavailable {
		l.stats.EndpointList.Failures++
	} else {
		l.transport.Update(c)
		l.stats.EndpointList.Updates++
		l.stats.EndpointList.LastUpdate = time.Now()
		l.recordEndpoints(c)
		if c.Drops != nil {
			l.drops = c.Drops
		}
	}
	members := l.endpointBuffer[:0]
	for i := range c.Endpoints {
		m := &c.Endpoints[i]
		members = append(members, policy.Endpoint{
			Server: m.ID, Zone: m.Zone, Kind: m.Kind, Pools: m.Pools, Cell: m.Cell, Weight: m.Weight,
			OnlineSince: l.clock.serverStart(m.Started), Availability: m.Availability,
		})
	}
	l.notify(policy.EndpointList{Kind: c.Kind, Endpoints: members})
	if cap(members) <= 4*updateBatchSize {
		l.endpointBuffer = members
	}
}

// recordEndpoints keeps what Stats tells of the servers.
func (l *loop) recordEndpoints(c EndpointUpdate) {
	if c.Kind != policy.ListUpdate {
		clear(l.endpoints)
	}
	for _, m := range c.Endpoints {
		if m.Availability == policy.Removed {
			delete(l.endpoints, m.ID)
		} else {
			l.endpoints[m.ID] = endpointSummary{m.Availability, m.Pools}
		}
	}
}

// notify gives the module an event and carries out what it wants done.
func (l *loop) notify(ev policy.Event) {
	l.execute(l.balancer.Handle(l.clock.now(), ev))
}

// execute carries out actions in order. Only then does the module hear of attempts that were not made:
// its next actions take the place of these.
func (l *loop) execute(actions []policy.Action) {
	for {
		for _, a := range actions {
			l.perform(a)
		}
		if len(l.skippedOutcomes) == 0 {
			return
		}
		o := l.skippedOutcomes[0]
		l.skippedOutcomes = l.skippedOutcomes[1:]
		if r := l.requests[o.ID]; r != nil {
			r.pendingOutcomes--
			o.Answered = r.finished
			defer l.forget(r)
		}
		actions = l.balancer.Handle(l.clock.now(), o)
	}
}

func (l *loop) perform(a policy.Action) {
	switch a.Kind {
	case policy.Send:
		l.startAttempt(a)
	case policy.Reject:
		if r := l.requests[a.ID]; r != nil {
			l.reject(r, a.Wait)
		}
	case policy.Fail:
		if r := l.requests[a.ID]; r != nil {
			outcome := Failed
			if !l.disabledGuards.Has(guards.RefuseRan) {
				outcome = Rejected
			}
			l.answer(r, Answer{Outcome: outcome})
			l.forget(r)
		}
	case policy.Cancel:
		if r := l.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) && r.attempts[a.Attempt].inFlight {
			l.cancelAttempt(r.attempts[a.Attempt], context.Canceled)
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

// startAttempt sends a request out, unless it is too late or too often for that: then it is skipped.
func (l *loop) startAttempt(a policy.Action) {
	r, now := l.requests[a.ID], l.clock.now()
	if r == nil {
		l.log.Error("the module sends a request that is not open", "id", a.ID)
		return
	}
	if !r.finished && l.disabledGuards.Has(guards.Departure) && r.clientGone() {
		l.recordClientGone(r)
	}
	at := &attempt{request: r, number: len(r.attempts), server: a.Server, sentAt: now}
	by := r.sendBy()
	r.attempts = append(r.attempts, at)
	r.pendingOutcomes++
	if r.finished && l.disabledGuards.Has(guards.AfterEnd) || now >= r.deadline || by > 0 && now >= by && l.disabledGuards.Has(guards.KeyWindow) || at.number >= max(1, r.capabilities.MaxAttempts) ||
		l.degradation != nil && l.degradation.forbidsAttempt(r, at.number) {
		at.notExecuted = true
		l.stats.Skipped++
		l.skippedOutcomes = append(l.skippedOutcomes, policy.Outcome{ID: a.ID, Server: a.Server, Attempt: at.number, Code: policy.Superseded})
		return
	}
	until := r.deadline
	if a.Until > 0 {
		until = min(until, a.Until)
	}
	l.stats.Attempts++
	if at.number > 0 {
		l.stats.Retries++
	}
	l.attemptsInFlight++
	at.inFlight = true
	at.ctx.deadline = l.clock.wallTime(until)
	if by > 0 && l.disabledGuards.Has(guards.KeyWindow) {
		at.sendBy, at.ctx.sendBy = by, l.clock.wallTime(by)
	}
	at.timeout = timer{due: until, attempt: at}
	heap.Push(&l.timers, &at.timeout)
	l.launcher.launch(at)
}

// sendBy is the moment from which on r may not be sent any more, since its key may be forgotten: the window
// counts from the first attempt that may have run, and the way to the next server may be longer than the way
// to that one was. 0 where nothing may have run, or where it has no key.
func (r *request) sendBy() policy.Time {
	if r.dedupWindow == 0 {
		return 0
	}
	for _, a := range r.attempts {
		if !a.notExecuted {
			return a.sentAt + r.dedupWindow - min(dedupMargin, r.dedupWindow/dedupMarginDivisor)
		}
	}
	return 0
}

func (l *loop) reject(r *request, wait time.Duration) {
	if !r.capabilities.RetryAfter {
		wait = 0
	}
	l.answer(r, Answer{Outcome: Rejected, RetryAfter: max(0, wait)})
	l.forget(r)
}

// answer gives the request its one answer; whatever comes later is not passed on.
func (l *loop) answer(r *request, a Answer) {
	if !r.finished {
		if l.degradation != nil {
			l.degradation.recordAnswer(r, a.Outcome, l.clock.now())
		}
		l.finishRequest(r)
		l.deliver(r.call, a)
	} else if !l.disabledGuards.Has(guards.OneAnswer) {
		l.deliver(r.call, a)
	}
}

func (l *loop) deliver(c *call, a Answer) {
	if a.Stream == nil { // else it counts when the stream has ended
		l.counters.count(c.req.Class, a.Outcome)
	}
	if c.onAnswer != nil {
		c.onAnswer(a)
		return
	}
	c.reply <- a
	if c.abandoned.Load() {
		c.discardAnswer()
	}
}

// discardAnswer takes an answer that nobody waits for any more, if there is one: its stream holds a connection.
func (c *call) discardAnswer() {
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
	l.forget(r)
}

// finishRequest marks r as answered, or given up by its client: the first to do so wins.
func (l *loop) finishRequest(r *request) {
	r.finished = true
	for _, a := range r.attempts { // what waits for its connection needs no call-off, which the site may not allow
		if a.inFlight && l.disabledGuards.Has(guards.Departure) {
			a.ctx.abandon()
		}
	}
	l.pendingAnswers--
	l.openRequests.Store(int64(l.pendingAnswers))
	if r.backstop.index >= 0 { // else it would keep the request until a deadline that may be far off
		heap.Remove(&l.timers, r.backstop.index)
	}
}

// forget forgets a request that is answered and has no attempt out.
func (l *loop) forget(r *request) {
	if r.finished && r.pendingOutcomes == 0 && l.requests[r.req.ID] == r {
		delete(l.requests, r.req.ID)
	}
}
