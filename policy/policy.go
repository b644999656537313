// Every decision of cobaltward, in the order in which a request lives: admission, choice, attempts, outcomes,
// health, cold start, list. Settings, events and actions are in api.go, the state that is kept in state.go.

package policy

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"
)

// New returns a node's decisions for the given settings. The seed drives its random choices.
func New(set Settings, now Time, seed uint64) (*Balancer, error) {
	if err := validate(set); err != nil {
		return nil, err
	}
	b := &Balancer{
		now: now, rng: rand.New(rand.NewPCG(seed, uint64(set.Node))), token: watchToken,
		buckets: make(map[bucketKey]*bucket), pace: 1, portion: 1, trust: 1, blame: 1,
		servers: make(map[string]*server), reqs: make(map[string]*request),
	}
	b.configure(set)
	return b, nil
}

// configure takes the settings over. A class that is as it was stays the one that it was.
func (b *Balancer) configure(set Settings) {
	old, same := b.classes, b.set.Capabilities == set.Capabilities
	b.set, b.budget, b.ranked = set, defaultBudget, nil
	b.classes, b.tenants = make(map[string]*class), make(map[string]Limit)
	if set.Rules.RetryBudget != nil {
		b.budget = *set.Rules.RetryBudget
	}
	for _, c := range set.Classes {
		if c.LatencyObjective == 0 {
			c.LatencyObjective = c.Deadline
		}
		k := old[c.Name]
		if k == nil || !same || !reflect.DeepEqual(k.Class, c) {
			k = &class{Class: c, allowed: set.Capabilities, token: b.token, open: &b.pool, tail: c.LatencyObjective / 2}
			if k.bound() {
				k.open = &pool{class: k}
			}
			if was := old[c.Name]; was != nil {
				k.tail = min(was.tail, c.LatencyObjective)
			}
			b.token++
		}
		b.ranked = append(b.ranked, k)
		b.classes[c.Name] = k
	}
	b.other = set.RateLimits.Default
	for _, t := range set.Tenants { // a tenant that nobody agreed a share with counts as the smallest
		l := b.shareOf(t.Quota)
		b.tenants[t.Name] = l
		if set.RateLimits.Default == nil && (b.other == nil || l.PerWindow < b.other.PerWindow) {
			b.other = &l
		}
	}
}

// Reconfigure puts other settings in force and returns the actions that this calls for; on an error
// nothing has changed. Requests in hand keep the class, and what was allowed, that they were taken
// under. Servers, buckets, health and the budgets of attempts and of cold servers go on, so that both
// generations together stay within them.
func (b *Balancer) Reconfigure(now Time, set Settings) ([]Action, error) {
	if err := validate(set); err != nil {
		return nil, err
	}
	b.now, b.out = max(now, b.now), b.out[:0]
	for key, k := range b.buckets { // what was earned until now was earned at the old rates
		if l, at, ok := b.limitFor(key.tenant, key.class); ok && at == key {
			k.refill(b.now, l.perSecond()*b.pace, l.Burst)
		}
	}
	asked, ranked := b.set.Subscribe, b.ranked
	b.configure(set)
	kept := func(c *class) bool { return b.classes[c.Name] == c }
	b.retired = append(b.retired, slices.DeleteFunc(ranked, kept)...)
	for key, k := range b.buckets {
		if l, at, ok := b.limitFor(key.tenant, key.class); ok && at == key {
			k.tokens = min(k.tokens, l.Burst)
		} else { // its layer is gone
			delete(b.buckets, key)
		}
	}
	b.extra = append(since(b.older, b.now-b.budget.Window), b.extra...)
	b.older = nil
	b.reorder()
	if set.Subscribe && !asked {
		b.askList()
	}
	b.release()
	return b.out, nil
}

// forgetRetired drops the classes of former settings that no request in hand is of any more.
func (b *Balancer) forgetRetired() {
	if len(b.retired) == 0 {
		return
	}
	used := make(map[*class]bool)
	for _, r := range b.reqs {
		used[r.class] = true
	}
	b.retired = slices.DeleteFunc(b.retired, func(c *class) bool { return !used[c] })
}

// Handle takes one event and returns the actions it calls for. The next call reuses the slice.
func (b *Balancer) Handle(now Time, ev Event) []Action {
	b.now, b.out = max(now, b.now), b.out[:0]
	switch e := ev.(type) {
	case Request:
		b.onRequest(e)
	case Outcome:
		b.onOutcome(e)
	case FirstByte:
		b.onFirstByte(e)
	case ClientGone:
		if r := b.reqs[e.ID]; r != nil {
			b.end(r)
		}
	case Timer:
		b.onTimer(e.Token)
	case EndpointList:
		b.onList(e)
	}
	return b.out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

// ---- Admission: a token bucket for each tenant, and class where told ----

const (
	rateWindow = time.Second // of limits made from quotas; also the retry-after of a quota of zero
	burst      = 0.5         // seconds of a quota's rate in its bucket: the bursts within a share
	minBurst   = 3           // tokens, so that a sliver of a quota still passes a few at once
	maxBuckets = 4096        // where clients name tenants freely; the rest share one bucket
	// refillLoss makes up for the fractions lost in whole-token refill, which let Poisson arrivals pass
	// only up to ln 2 of the rate. Far above it 1/(1/r + 1/a) still passes, of refill r and arrivals a.
	refillLoss = 1 / math.Ln2
)

// refill adds the whole tokens of the time gone by, which resets the refill time, up to the burst.
func (k *bucket) refill(now Time, perSecond float64, burst int64) {
	add := math.Floor((now - k.last).Seconds() * perSecond)
	if add >= 1 {
		k.tokens, k.last = min(burst, k.tokens+int64(min(add, float64(burst)))), now
	}
}

// perSecond is the refill rate of a limit.
func (l Limit) perSecond() float64 {
	if l.Window <= 0 {
		return 0
	}
	return l.PerWindow / l.Window.Seconds()
}

// retryAfter is the wait, in whole seconds, that a refused client is told.
func (l Limit) retryAfter() time.Duration {
	rate := l.perSecond()
	if rate <= 0 {
		return l.Window
	}
	return max(1, time.Duration(math.Ceil(min(1/rate, math.MaxInt32)))) * time.Second
}

// shareOf is this node's part of a quota that holds over all nodes.
func (b *Balancer) shareOf(quota float64) Limit {
	rate := quota / float64(b.set.Nodes) * refillLoss
	return Limit{PerWindow: rate * rateWindow.Seconds(), Window: rateWindow,
		Burst: max(minBurst, int64(math.Ceil(rate*burst)))}
}

// limitFor resolves the layers: tenant's share or default, override for the class, platform maximum.
func (b *Balancer) limitFor(tenant, class string) (l Limit, key bucketKey, ok bool) {
	key.tenant = tenant
	if o, found := b.set.RateLimits.PerClass[class]; found {
		key.class, l, ok = class, o, true
	} else if l, ok = b.tenants[tenant]; !ok && b.other != nil {
		l, ok = *b.other, true
	}
	if most := b.set.RateLimits.Max; most > 0 {
		l.PerWindow, l.Burst = min(l.PerWindow, most), min(l.Burst, int64(most))
	}
	return l, key, ok
}

// admit takes a token, or says how long the client should wait.
func (b *Balancer) admit(tenant, class string) (bool, time.Duration) {
	l, key, ok := b.limitFor(tenant, class)
	if !ok {
		return true, 0
	}
	l.PerWindow, l.Burst = l.PerWindow*b.pace*b.portion, max(1, int64(math.Ceil(float64(l.Burst)*b.portion)))
	if b.buckets[key] == nil && len(b.buckets) >= maxBuckets {
		key = bucketKey{}
	}
	k := b.buckets[key]
	if k == nil {
		k = &bucket{tokens: l.Burst, last: b.now}
		b.buckets[key] = k
	}
	k.refill(b.now, l.perSecond(), l.Burst)
	if k.tokens <= 0 {
		b.refused = true
		return false, l.retryAfter()
	}
	k.tokens--
	return true, 0
}

func (b *Balancer) onRequest(e Request) {
	r, known := b.reqs[e.ID]
	if known && !r.arriving {
		return // a duplicate of a request in hand
	}
	if !known {
		r = &request{id: e.ID, class: b.classes[e.Class], once: e.BodyPending, near: e.ZoneLocal}
	}
	if r.class == nil { // not in the settings: one safe try, never repeated
		r.class = &class{Class: Class{LatencyObjective: e.ExpiresIn, LateWeightFraction: 1}, allowed: b.set.Capabilities, open: &b.pool}
	}
	r.deadline, r.arriving = b.now+e.ExpiresIn, e.BodyPending
	aim := r.class.LatencyObjective + time.Duration(r.class.ObjectiveWorkFactor*float64(e.CostHint))
	r.giveUp, r.worthTo = b.now+e.queueTime(min(aim, e.ExpiresIn)/2), r.deadline // late refusals cost clients time
	if r.class.LateWeightFraction <= 0 {
		r.worthTo = min(r.deadline, b.now+aim)
	}
	if known { // its last byte has come: what is timed begins now
		for i := range r.attempts {
			r.attempts[i].sent = b.now
		}
		b.watch(r)
		return
	}
	if b.set.KeyAffinity && e.Key != "" {
		r.key = hash(e.Key)
	}
	b.reqs[r.id] = r
	b.took = append(since(b.took, b.now-b.budget.Window+1), b.now)
	if ok, wait := b.admit(e.Tenant, e.Class); !ok {
		b.refuse(r, wait)
		return
	}
	b.dispatch(r)
}

const (
	paceGrow, paceCut = 0.02, 0.02 // steps of the bucket rates at each choice: half may find no room
	paceLeast         = 0.3        // below, in-share traffic starves by faults that shedding can't mend
	paceShare         = 1.5        // above, only while few answers are bad
	paceBad           = 0.06       // of the answers
	paceMost          = 3.0        // above, there is little worth left to win
)

// follow scales all bucket rates alike by whether the servers have room: without it a slowdown of the
// fleet sheds nothing, and a node that sees more than its even part of a quota refuses in-share traffic.
func (b *Balancer) follow(room bool) {
	switch {
	case !room && b.pace <= 1 && b.shedEarly():
	case !room:
		b.pace = max(paceLeast, b.pace*(1-paceCut))
	case b.pace > paceShare && b.bad > paceBad:
		b.pace *= 1 - paceCut
	case b.refused && (b.pace < paceShare || b.bad < paceBad): // only a rate that was felt is raised
		b.pace = min(paceMost, b.pace*(1+paceGrow))
	}
	b.refused = false
}

// ---- Choice: packing in id order under a learned threshold ----

const (
	manyNodes         = 3             // nodes; more would jam the first server, so each walks from elsewhere
	startFew          = 6.0           // attempts first trusted to a server by all nodes where they are few,
	startOwn          = 2.0           // attempts first trusted to servers where the own walk starts,
	ownLeast          = 4             // servers there at least: nodes that share them share that trust
	startOthers       = 1.0           // and to any other, by all nodes together;
	startOutnumbered  = 0.05          // so much where nodes outnumber servers: connections are scarce there
	leastPart         = 0.25          // part of its start below which no threshold falls
	thresholdGrow     = 0.05          // attempts a good answer adds; against slowCut, a sixth may be slow
	slowCut           = 0.25          // attempts a slow answer takes off
	trustGrow         = 0.02          // part by which a good answer raises the trust in shared servers
	trustCut          = 0.1           // and a bad one lowers it: against trustGrow, a sixth may be bad
	trustMost         = 8.0           // times the first trust; 20 was no better
	failureCut        = 0.3           // attempts a full answer or a failure takes off
	faultGain         = 0.05          // weight of one outcome in a server's part of faults
	faultCommon       = 0.08          // part at every other server from which faults tell nothing,
	blameLeast        = 0.25          // so that each counts for so much less
	fullEnough        = 0.2           // part of full answers among bad ones from which servers shed early
	lostMost          = 0.1           // part of the other answers that may time out there
	fullGain, badGain = 0.02, 0.01    // weight of one answer in these parts, and in that of bad answers
	crowdLimit        = 2.0           // times its limit, the least busy is filled; more would only be late
	slowPart          = 0.6           // part of the aim from which an answer tells of a crowd
	keyHomes          = 3             // servers that keep a key warm in each zone
	hashPrime         = 1099511628211 // of the 64-bit FNV hash
)

// pick chooses a server: the first ready one in id order that holds fewer of this node's attempts
// than its threshold, else the least busy; nil where none may be used. Room is also reported where
// the least busy was never cut: what it takes is not known yet.
func (b *Balancer) pick(r *request) (s *server, room bool) {
	for _, s := range b.homes(r) {
		if s != nil && b.usable(r, s) && b.hasRoom(s) {
			return s, true
		}
	}
	var least *server
	open := r.class.open
	blocks, crowded := b.index(open), math.Inf(1)
	for i := 0; i*blockSize < len(open.order); i++ {
		if blocks != nil && b.passOver(&blocks[i], crowded) {
			continue
		}
		for _, s := range open.run(i) {
			if !b.usable(r, s) {
				continue
			}
			if b.hasRoom(s) {
				return s, true
			}
			if crowding := b.crowding(s); least == nil || crowding < crowded {
				least, crowded = s, crowding
			}
		}
		if blocks != nil {
			b.look(&blocks[i], open.run(i))
		}
	}
	if least != nil && b.crowding(least) > crowdLimit && !b.shedEarly() {
		return nil, !least.felt
	}
	return least, least != nil && !least.felt
}

// homes are the servers that all nodes of a zone try first for a key that a server serves with less work if
// it met it lately. Rendezvous hashing keeps them where they are as servers come and go.
func (b *Balancer) homes(r *request) (best [keyHomes]*server) {
	if r.key == 0 {
		return best
	}
	var most [keyHomes]uint64
	open := r.class.open
	for _, s := range open.order[:open.zoned] {
		h := (r.key ^ s.hash) * hashPrime
		for i := range best {
			if s != nil && (best[i] == nil || h > most[i]) {
				s, best[i] = best[i], s
				h, most[i] = most[i], h
			}
		}
	}
	return best
}

// start is what s is first trusted with by this node.
func (b *Balancer) start(s *server) float64 {
	switch {
	case !b.staggered():
		return max(1, startFew/float64(b.set.Nodes))
	case s.own:
		return startOwn * min(1, float64(b.zoned*b.zones)/float64(b.set.Nodes*b.ownUntil))
	default:
		if b.outnumbered() {
			return startOutnumbered / float64(b.set.Nodes)
		}
		return min(1, startOthers/float64(b.set.Nodes))
	}
}

// crowding sets attempts in flight against what s was seen to take, lest one that others fill look idle.
// A limit under one is the part of the time that this node may have an attempt there: the next is due when
// the last one, by its own length, has been that part, so that a server that slows gets less at once.
func (b *Balancer) crowding(s *server) float64 {
	limit := b.limit(s)
	if s.inflight == 0 && limit < 1 {
		return min(1, s.latency/max(slack, (b.now-s.lastSend).Seconds())) / limit
	}
	return float64(s.inflight+1) / limit
}

// limit is the threshold of s, for a shared server scaled by the trust in all such: a node sees too
// little of each to learn its threshold in time.
func (b *Balancer) limit(s *server) float64 {
	if b.shared(s) {
		return s.threshold * b.trust
	}
	return s.threshold
}

// shared tells whether other nodes send s most of its work: it isn't own, or the home of keys for all.
func (b *Balancer) shared(s *server) bool { return b.staggered() && (!s.own || b.set.KeyAffinity) }

// hasRoom tells whether a server is under its threshold.
func (b *Balancer) hasRoom(s *server) bool {
	limit := b.limit(s)
	return limit >= 1 && float64(s.inflight) < limit || limit < 1 && b.crowding(s) <= 1
}

// usable tells whether r may go to s now: s is in service, the rules allow it, and, if cold, it has room.
func (b *Balancer) usable(r *request, s *server) bool {
	return !s.health.out && b.mayRun(r, s) && b.coldRoom(s)
}

// permits guards the fifth rule: a class bound to zones, kinds or a pool of servers goes nowhere else.
func (c *class) permits(s *server) bool {
	return (c.Pool == "" || slices.Contains(s.Pools, c.Pool)) &&
		(len(c.Kinds) == 0 || slices.Contains(c.Kinds, s.Kind)) &&
		(len(c.Zones) == 0 || slices.Contains(c.Zones, s.Zone))
}

func (c *class) bound() bool { return len(c.Kinds)+len(c.Zones)+len(c.Pool) > 0 }

// mayRun guards the fifth rule, and the second: what may have run only goes where repeats are dropped.
func (b *Balancer) mayRun(r *request, s *server) bool {
	if !r.class.permits(s) || b.far(r, s) || r.tried(s) {
		return false
	}
	if r.ranOn == nil || r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency != IdempotencyKeyed || b.now >= r.ranOn.sent+r.class.DedupWindow {
		return false
	}
	switch r.class.DedupScope {
	case DedupAll:
		return true
	case DedupZone:
		return s.Zone == r.ranOn.server.Zone
	}
	return s.Cell == r.ranOn.server.Cell
}

// shedEarly tells whether servers turn work away before it waits too long. Then the node offers requests past
// the crowd limit, and neither cuts rates below the shares nor ejects for full answers; time-outs end it.
func (b *Balancer) shedEarly() bool { return b.fullPart >= fullEnough && b.lost < lostMost }

// learn moves the threshold of s by one outcome. Steps shrink with a threshold under one, so that it
// settles where thresholdGrow/(thresholdGrow+slowCut) of the answers are slow, at any size.
func (b *Balancer) learn(s *server, c *class, code Code, latency time.Duration) {
	step, fault := 0.0, code.fault()
	track(&s.faults, faultGain, fault)
	switch {
	case fault:
		b.compare()
		step = -failureCut * b.blame
	case code != OK:
		step = -failureCut
	case latency > seconds(slowPart*c.LatencyObjective.Seconds()):
		step = -slowCut
	case float64(s.inflight+1) >= b.limit(s): // answered well, and the threshold was felt
		step = thresholdGrow
	}
	bad := step <= -slowCut                                            // not what all servers have alike
	if bad && (code != Overloaded || s.health.score < silenceWeight) { // a hung server fills up too
		track(&b.fullPart, fullGain, code == Overloaded)
	}
	track(&b.bad, badGain, bad)
	if code != Overloaded {
		track(&b.lost, badGain, code == TimedOut)
	}
	if b.shared(s) && step > 0 {
		b.trust = min(trustMost, b.trust*(1+trustGrow))
	} else if b.shared(s) && bad && code != Overloaded {
		b.trust = max(1, b.trust*(1-trustCut))
	}
	s.felt = s.felt || bad
	s.threshold = max(leastPart*b.start(s), s.threshold+step*min(1, s.threshold))
}

// compare sets faults against the median server's: what all have alike, none of them is to blame for.
// Unweighed it would close one threshold after the other, and eject at random.
func (b *Balancer) compare() {
	var parts []float64
	for _, s := range b.order {
		if s.lastDone > 0 {
			parts = append(parts, s.faults)
		}
	}
	if slices.Sort(parts); len(parts) > 0 {
		b.blame = max(blameLeast, 1-parts[(len(parts)-1)/2]/faultCommon)
	}
}

// ---- Attempts: sending, retries, hedges, holding ----

const (
	offerPrice = 0.15                  // of an attempt after full answers where servers shed early
	holdPoll   = 20 * time.Millisecond // between looks at held requests
	tailPart   = 0.95                  // latency quantile of a class at which attempts are looked at again
	tailStep   = 0.1                   // part by which the estimate of it moves
	tailMargin = 1.2                   // times that quantile, an attempt counts as slow and may be hedged
	doneSpan   = 3 * time.Second       // memory of the rate of answers: holds a few at a quiet node
	olderKept  = time.Minute           // memory of further attempts, for a new budget over a longer span

	holdToken, listToken, watchToken = 1, 2, 8 // of timers; the classes' count on from the last
)

var defaultBudget = RetryBudget{MinRetries: 20, RetryRatio: 0.2, Window: 10 * time.Second} // where the site states none

// dispatch sends r to a server, or holds it while one may still turn up, or gives up.
func (b *Balancer) dispatch(r *request) {
	if b.spent(r) || len(r.attempts) > 0 && !b.mayRepeat() {
		b.giveUp(r)
		return
	}
	s := b.trial(r)
	trial, room := s != nil, false
	if !trial {
		s, room = b.pick(r)
	}
	if !trial && !r.held { // each request tells of room once, however long it is held
		b.follow(room)
	}
	switch {
	case s != nil:
		b.send(r, s, trial)
	case r.ranOn == nil && b.now+holdPoll < r.giveUp:
		b.hold(r)
	default:
		b.giveUp(r)
	}
}

// spent tells whether r has had its attempts, or its time to be worth another.
func (b *Balancer) spent(r *request) bool {
	return len(r.attempts) >= max(1, r.class.allowed.MaxAttempts) || b.now >= r.worthTo
}

// mayRepeat guards the sixth rule: attempts beyond each request's first stay within the site's budget, or the
// default one. It is counted exactly over its sliding span and on the safe side at its edges.
func (b *Balancer) mayRepeat() bool {
	from := b.now - b.budget.Window
	extra := since(b.extra, from)
	b.older = append(since(b.older, b.now-olderKept), b.extra[:len(b.extra)-len(extra)]...)
	b.took, b.extra = since(b.took, from+1), extra
	return float64(len(b.extra)+1) <= b.budget.MinRetries+b.budget.RetryRatio*float64(len(b.took))-1e-9 // of rounding
}

// charge books a further attempt of r: in part only where nothing ran and the site states no budget.
func (b *Balancer) charge(r *request) {
	b.owed++
	if b.set.Rules.RetryBudget == nil && r.ranOn == nil && b.shedEarly() {
		b.owed -= 1 - offerPrice
	}
	if b.owed >= 1 {
		b.owed--
		b.extra = append(b.extra, b.now)
	}
}

func (b *Balancer) send(r *request, s *server, trial bool) {
	if len(r.attempts) > 0 {
		b.charge(r)
	}
	idle := b.freshen(s)
	b.do(Action{Kind: Send, ID: r.id, Server: s.Server, Until: r.worthTo})
	r.attempts = append(r.attempts, attempt{server: s, sent: b.now, trial: trial, idle: idle})
	r.pending++
	s.inflight++
	s.use(b.now)
	s.lastSend = b.now
	s.cold.tokens--
	b.touch(s, 0)
	r.settle()
	b.watch(r)
}

// ---- Connections ----

const (
	idleLeast = 250 * time.Millisecond // a connection unused for less counts as in use
	idleGain  = 0.2                    // weight of one outcome in the part that went unanswered
	idleBad   = 0.3                    // part from which connections idle for as long are not used again,
	idleTimes = 3                      // if it is so many times that of connections in use
	idleWear  = 0.98                   // what is left of the suspicion after each connection given up for it
)

// use notes that s has as many connections in use as attempts in flight.
func (s *server) use(now Time) {
	for len(s.used) < s.inflight {
		s.used = append(s.used, now)
	}
	s.used[s.inflight-1] = now
}

// freshen tells for how long the connection of the next send to s was idle, in octaves from idleLeast. It
// guards against connections dropped unseen: where sends on those idle for as long go unanswered far more
// often than others, they are closed first. Harm: handshakes, while the suspicion wears off.
func (b *Balancer) freshen(s *server) int {
	if s.inflight >= len(s.used) {
		return 0
	}
	gap := b.now - s.used[s.inflight]
	if gap < idleLeast || b.set.Capabilities.ConnIdleTimeout > 0 && gap >= b.set.Capabilities.ConnIdleTimeout {
		return 0
	}
	octave := min(len(b.silent)-1, bits.Len64(uint64(gap/idleLeast)))
	if b.silent[octave] < idleBad || b.silent[octave] < idleTimes*b.silent[0] {
		return octave
	}
	b.silent[octave] *= idleWear
	b.closeIdle(s)
	return 0
}

func (b *Balancer) closeIdle(s *server) {
	s.used = s.used[:min(len(s.used), s.inflight)]
	b.do(Action{Kind: CloseIdle, Server: s.Server})
}

// dropped learns from an outcome, and reports whether it says nothing of the server, for the attempt
// went out on a connection that was idle and may be gone.
func (b *Balancer) dropped(a *attempt, lost bool) bool {
	track(&b.silent[a.idle], idleGain, lost)
	lost = lost && a.idle > 0
	if lost {
		b.closeIdle(a.server)
	}
	return lost
}

// watch queues r's newest attempt: a class waits about equally long, so one timer serves for all.
func (b *Balancer) watch(r *request) {
	if c := r.class; c.token > 0 && len(r.attempts) > 0 && !r.arriving {
		due := b.now + time.Duration(tailMargin*float64(c.tail))
		c.watched = append(c.watched, watch{r, len(r.attempts) - 1, due})
		b.arm(c)
	}
}

// arm sets the timer of a class for the head of its queue.
func (b *Balancer) arm(c *class) {
	if !c.armed && len(c.watched) > 0 {
		c.armed = true
		b.do(Action{Kind: SetTimer, Wait: max(time.Millisecond, c.watched[0].due-b.now),
			Token: c.token})
	}
}

func (b *Balancer) hold(r *request) {
	r.held = true
	b.held = append(b.held, r)
	if !b.holding {
		b.holding = true
		b.do(Action{Kind: SetTimer, Wait: holdPoll, Token: holdToken})
	}
}

func (b *Balancer) onTimer(token uint64) {
	switch {
	case token == holdToken:
		b.holding = false
		b.release()
	case token == listToken:
		b.askList()
	case token >= watchToken:
		for _, c := range slices.Concat(b.ranked, b.retired) {
			if c.token == token {
				b.sweep(c)
			}
		}
	}
}

// release tries all held requests again.
func (b *Balancer) release() {
	held := b.held
	b.held = nil
	for _, r := range held {
		if !r.ended {
			b.dispatch(r)
		}
	}
}

// sweep looks at the attempts of a class that have been out for long: a server silent since then
// gets a strike, and a request that may run twice gets a second copy.
func (b *Balancer) sweep(c *class) {
	c.armed = false
	for len(c.watched) > 0 && c.watched[0].due <= b.now {
		w := c.watched[0]
		c.watched[0] = watch{}
		c.watched = c.watched[1:]
		a := &w.req.attempts[w.attempt]
		if a.over || a.server.lastDone >= a.sent {
			continue // a server that answers others has a heavy request, and a second copy would be as heavy
		}
		if a.idle == 0 {
			b.strike(a.server, silenceWeight)
		}
		if !w.req.ended && !w.req.stream && w.req.pending == 1 {
			b.hedge(w.req)
		}
	}
	b.arm(c)
}

// hedge sends a second copy where the class, the site and the budget allow one.
func (b *Balancer) hedge(r *request) {
	if r.once || r.class.Idempotency == NonIdempotent || !r.class.allowed.Hedge || b.outnumbered() || !b.mayRepeat() ||
		b.spent(r) {
		return
	}
	if s, room := b.pick(r); s != nil && room {
		b.send(r, s, false)
	}
}

// giveUp ends r unserved: refused where that is allowed, else failed.
func (b *Balancer) giveUp(r *request) {
	if r.pending > 0 {
		return // a copy is still out and may yet answer
	}
	if r.ranOn == nil || r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotencyKeyed && r.class.DedupScope == DedupAll {
		b.refuse(r, 0)
		return
	}
	b.do(Action{Kind: Fail, ID: r.id})
	b.end(r)
}

func (b *Balancer) refuse(r *request, wait time.Duration) {
	b.do(Action{Kind: Reject, ID: r.id, Wait: wait})
	b.end(r)
}

// end marks r as answered and calls copies off; r is kept until they are over.
func (b *Balancer) end(r *request) {
	if !r.ended {
		r.ended = true
		b.cancel(r, -1)
	}
	if r.pending == 0 {
		delete(b.reqs, r.id)
	}
}

// cancel calls off all attempts of r that are out, but for one.
func (b *Balancer) cancel(r *request, but int) {
	for i := range r.attempts {
		if i != but && !r.attempts[i].over && r.class.allowed.Cancel {
			b.do(Action{Kind: Cancel, ID: r.id, Attempt: i})
		}
	}
}

// ---- Outcomes ----

func (b *Balancer) onFirstByte(e FirstByte) {
	if r := b.reqs[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
		r.stream = true
		b.cancel(r, e.Attempt)
	}
}

func (b *Balancer) onOutcome(e Outcome) {
	r := b.reqs[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].over {
		return // late or twice
	}
	a := &r.attempts[e.Attempt]
	a.over, a.notRun = true, e.Code.NotExecuted()
	r.pending--
	a.server.use(b.now)
	a.server.inflight--
	r.settle()
	b.observe(r, a, e)
	b.touch(a.server, 0)
	switch {
	case e.Answered || r.ended || e.Code == OK:
		b.end(r)
	case r.pending > 0: // a copy may yet answer
	case e.Code == Superseded || e.BodyConsumed || b.now >= r.deadline || r.stream ||
		r.ranOn != nil && r.class.Idempotency == NonIdempotent:
		b.giveUp(r)
	default:
		b.dispatch(r)
	}
}

// settle works out which attempt of r may have run first; one without an outcome may have.
func (r *request) settle() {
	r.ranOn = nil
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return !a.notRun }); i >= 0 {
		r.ranOn = &r.attempts[i]
	}
}

// observe learns from an outcome: latency, threshold and health.
func (b *Balancer) observe(r *request, a *attempt, e Outcome) {
	s, c := a.server, r.class
	if a.trial {
		s.health.trialOut = false
	}
	switch e.Code {
	case Superseded, Untrusted:
		return
	case Cancelled:
		if !a.trial { // our own doing; but a trial that a second copy had to stand in for has failed
			return
		}
	case OK, ServerError, Overloaded:
		s.lastDone = b.now
	}
	if e.Code != ConnectFailed && b.dropped(a, e.Code == TimedOut || e.Code == Reset) {
		return
	}
	b.learn(s, c, e.Code, e.Latency)
	if e.Code == OK || e.Code == TimedOut {
		s.latency = e.Latency.Seconds()
	}
	if e.Code == OK {
		b.done, b.doneAt = b.doneRate()+1/doneSpan.Seconds(), b.now
		c.observe(e.Latency)
	}
	b.judge(a, e.Code)
}

// observe follows the slow tail of the latency of a class.
func (c *class) observe(latency time.Duration) {
	step := -(1 - tailPart)
	if latency > c.tail {
		step = tailPart
	}
	c.tail = min(c.LatencyObjective, c.tail+time.Duration(tailStep*step*float64(c.tail)))
}

// ---- Health: outlier ejection and half-open trials ----

const (
	failWeight    = 0.3             // of one failure in the score: two in a row eject, a lone one doesn't
	silenceWeight = 0.15            // of an attempt out for long at a silent server: it may just be heavy
	fullWeight    = 0.2             // of a full answer: a server that keeps giving those needs a rest
	failLimit     = 0.5             // score that ejects
	ejectFirst    = time.Second     // first ejection, doubled each time
	ejectMost     = 8 * time.Second // up to this
	maxEjected    = 0.4             // part of the fleet; when more seems broken, the cause isn't the servers
	trialsNeeded  = 3               // good trials in a row: half of them pass at a server that fails half
)

// judge moves the breaker of an attempt's server by its outcome.
func (b *Balancer) judge(a *attempt, code Code) {
	s, h := a.server, &a.server.health
	switch {
	case h.out && a.trial && code == OK:
		if h.trials++; h.trials >= trialsNeeded {
			*h, s.threshold = health{}, b.start(s)
			b.touch(s, -1)
		}
	case h.out && a.trial: // full too: a hung server turns away what it has no room for
		if code.fault() && b.blame < 1 { // it may be well, so it is not put off for longer each time
			h.times = 0
		}
		b.eject(s)
	case code == OK:
		h.score -= failWeight * b.blame * h.score
	case code == Overloaded && b.shedEarly():
	case code == Overloaded:
		b.strike(s, fullWeight)
	case code.fault():
		b.strike(s, failWeight*b.blame)
	case s.lastDone < a.sent: // a server that answers others isn't hung
		b.strike(s, failWeight)
	}
}

// strike counts a failure, or a silence, against a server.
func (b *Balancer) strike(s *server, weight float64) {
	h := &s.health
	h.score += weight * (1 - h.score)
	if !h.out && h.score > failLimit && b.mayEject(s) {
		b.eject(s)
	}
}

// mayEject keeps the cap on ejections for each class by itself: the few servers that one may be bound
// to are not all taken out while the fleet as a whole looks well.
func (b *Balancer) mayEject(s *server) bool {
	for _, c := range b.ranked {
		if c.permits(s) && float64(c.open.ejected+1) > maxEjected*float64(len(c.open.order)) {
			return false
		}
	}
	return true
}

func (b *Balancer) eject(s *server) {
	h := &s.health
	if !h.out {
		b.touch(s, 1)
	}
	span := min(ejectMost, ejectFirst<<min(h.times, 10))
	h.out, h.until, h.trials, h.times = true, b.now+span, 0, h.times+1
}

// trial returns an ejected server whose time is up, if r can safely try it out: of the classes that
// the server is open to, one that may be repeated most freely.
func (b *Balancer) trial(r *request) *server {
	open := r.class.open
	if open.ejected == 0 || len(r.attempts) > 0 {
		return nil
	}
	for _, s := range open.order {
		h := &s.health
		if h.out && !h.trialOut && b.now >= h.until && r.class.Idempotency >= s.safest && b.coldRoom(s) {
			h.trialOut = true
			return s
		}
	}
	return nil
}

// ---- Cold start: each node's part of a young server's budget ----

const (
	coldMargin = 0.7 // of the multiple beyond one: that one is left to chance, heavy work and unequal servers
	coldFloor  = 1.0 // requests a second by all nodes to a cold server when nothing is known yet
)

// ramp is the part of its capacity that s has at least, or 1 once it is warm.
func (b *Balancer) ramp(s *server) float64 {
	age := b.now - s.OnlineSince
	if s.OnlineSince <= 0 || age >= b.set.Rules.SlowStartWindow {
		return 1
	}
	share := b.set.Rules.SlowStartShare
	return share + (1-share)*max(0, age.Seconds())/b.set.Rules.SlowStartWindow.Seconds()
}

// coldRoom guards the fourth rule. This node's mean rate per server, summed over the nodes, is
// what a warm server takes; a cold one may get its present part of that, and no more.
func (b *Balancer) coldRoom(s *server) bool {
	part := b.ramp(s)
	if part >= 1 {
		return true
	}
	mean := max(b.doneRate()/float64(max(1, len(b.order))), coldFloor/float64(b.set.Nodes))
	rate := coldMargin * max(0.5, b.set.Rules.OverloadFactor-1) * part * mean
	k := &s.cold
	most := max(1, rate*b.set.Rules.OverloadDuration.Seconds()/4)
	k.tokens, k.last = min(most, k.tokens+rate*(b.now-k.last).Seconds()), b.now
	return k.tokens >= 1
}

// ---- List: following the servers ----

// askAgain is the mean wait before a failed call for the list is repeated, spread among nodes; half of the
// time within which that counts as having asked, where the site tells one.
const askAgain = 2 * time.Second

func (b *Balancer) askList() { b.do(Action{Kind: WatchEndpoints, On: true}) }

func (b *Balancer) onList(e EndpointList) {
	switch {
	case e.Kind == ListUnavailable:
		mean := min(askAgain, cmp.Or(2*b.set.Rules.MaxPollInterval, askAgain)) // four times AskWithin after a failure
		wait := time.Duration((0.5 + b.rng.Float64()) * float64(mean))
		b.do(Action{Kind: SetTimer, Wait: wait, Token: listToken})
		return
	case e.Kind == ListRestored && b.set.Subscribe:
		b.askList()
	}
	if e.Kind != ListUpdate { // what a full list lacks is gone
		old := b.servers
		b.servers = make(map[string]*server, len(e.Endpoints))
		for _, m := range e.Endpoints {
			if s := old[m.Server]; s != nil {
				b.servers[m.Server] = s
			}
		}
	}
	if e.Kind == ListUpdate && len(e.Endpoints) <= fewChanges && !b.plain && b.running != nil {
		b.change(e.Endpoints)
	} else {
		for _, m := range e.Endpoints {
			b.listed(m)
		}
		b.reorder()
	}
	b.release()
}

// listed takes over one entry of the list.
func (b *Balancer) listed(m Endpoint) {
	if m.Availability == Removed {
		delete(b.servers, m.Server)
		return
	}
	s := b.servers[m.Server]
	if s == nil || s.OnlineSince != m.OnlineSince { // new, or a new process: forget the old one
		s = &server{latency: b.set.Classes[0].LatencyObjective.Seconds() / 4, hash: hash(m.Server)}
		// A random part of a token, so that nodes who hear of a cold server together don't all send.
		s.cold = coldBudget{tokens: b.rng.Float64(), last: b.now}
		b.servers[m.Server] = s
	}
	s.Endpoint = m
}

// reorder makes the packing order anew: own zone first, since crossing costs, then by id. Draining
// servers are left out at once, well within the grace of the third rule.
func (b *Balancer) reorder() {
	b.running = make(map[string]int)
	for p := range b.pools {
		p.parts, p.ejected = [2][]*server{}, 0
	}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		if s := b.servers[id]; s.inService() {
			b.enter(s)
		}
	}
	b.settle(nil)
}

// change takes over a few entries of the list, and puts the order right where they touch it.
func (b *Balancer) change(members []Endpoint) {
	came, moved := make([]*server, 0, fewChanges), false
	for _, m := range members {
		old := b.servers[m.Server]
		was := old.inService()
		if was && m.Availability == Running && old.OnlineSince == m.OnlineSince && old.Zone == m.Zone &&
			old.Kind == m.Kind && slices.Equal(old.Pools, m.Pools) {
			old.Endpoint = m // its weight and cell count for nothing in the order
			continue
		}
		if was {
			b.leave(old)
			came = slices.DeleteFunc(came, func(c *server) bool { return c == old })
		}
		b.listed(m)
		s := b.servers[m.Server]
		if s.inService() {
			b.enter(s)
			came = append(came, s)
		}
		moved = moved || was || s.inService()
	}
	if moved {
		b.settle(came)
	}
}

// settle arranges the order after servers have come to its parts, nil for all, or left them, and says
// where the own walk starts: for those that came, and those that the start has gained or lost.
func (b *Balancer) settle(came []*server) {
	b.forgetRetired()
	former, allOwn := b.order[:b.ownUntil], b.ownUntil == b.zoned
	for p := range b.pools {
		b.arrange(p)
	}
	b.zones = len(b.running)
	b.ownUntil = min(b.zoned, max(ownLeast, (b.zoned*b.zones+b.set.Nodes-1)/b.set.Nodes))
	if b.set.KeyAffinity { // a key has the same home for all nodes of a zone
		b.ownUntil = b.zoned
	}
	start := b.order[:b.ownUntil]
	if came == nil {
		for i, s := range b.order {
			b.settleAt(s, i < len(start))
		}
		return
	}
	if !allOwn || len(start) < b.zoned { // else all of the own zone were in it, and still are
		for _, s := range start {
			s.mark = true
		}
		for _, s := range former {
			if !s.mark && b.servers[s.Server] == s && s.inService() { // a former process stays as it was
				s.own = false
			}
		}
		for _, s := range start {
			s.mark = false
			b.settleAt(s, true)
		}
	}
	at := func(s *server) int { i, _ := b.place(s); return i }
	slices.SortFunc(came, func(x, y *server) int { return at(x) - at(y) })
	for _, s := range came {
		b.settleAt(s, at(s) < len(start))
	}
}

// settleAt says whether s is at the start of the own walk, and gives it its first threshold.
func (b *Balancer) settleAt(s *server, own bool) {
	was := s.own
	s.own = own
	if s.own && !was { // its former main user drains, died or moved on with the list
		s.threshold = max(s.threshold, b.start(s))
	}
	if s.threshold == 0 {
		s.threshold = b.start(s)
		s.lastSend = b.now - seconds(b.rng.Float64()*s.latency/s.threshold)
	}
}

func (b *Balancer) staggered() bool   { return b.set.Nodes > manyNodes }
func (b *Balancer) outnumbered() bool { return b.set.Nodes > len(b.order) }

// startAt is where this node's walk through a part of the order begins: at its own place in it, where
// nodes are many. Steps of the golden ratio lie evenly whichever of the nodes share a zone.
func (b *Balancer) startAt(n int) int {
	if !b.staggered() {
		return 0
	}
	_, at := math.Modf(float64(b.set.Node) / math.Phi)
	return int(at * float64(n))
}
