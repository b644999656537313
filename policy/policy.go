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
		now: now, rng: rand.New(rand.NewPCG(seed, uint64(set.Node))), nextTimerToken: firstClassTimerToken,
		buckets: make(map[bucketKey]*bucket), rateScale: 1, trafficShare: 1, sharedThresholdScale: 1, faultWeight: 1,
		servers: make(map[string]*server), requests: make(map[string]*request),
	}
	b.configure(set)
	return b, nil
}

// configure takes the settings over. A class that is as it was stays the one that it was.
func (b *Balancer) configure(set Settings) {
	old, same := b.classes, b.settings.Capabilities == set.Capabilities
	b.settings, b.retryBudget, b.activeClasses = set, defaultRetryBudget, nil
	b.classes, b.tenantLimits = make(map[string]*class), make(map[string]Limit)
	if set.Rules.RetryBudget != nil {
		b.retryBudget = *set.Rules.RetryBudget
	}
	for _, c := range set.Classes {
		if c.LatencyObjective == 0 {
			c.LatencyObjective = c.Deadline
		}
		k := old[c.Name]
		if k == nil || !same || !reflect.DeepEqual(k.Class, c) {
			k = &class{Class: c, capabilities: set.Capabilities, timerToken: b.nextTimerToken, eligible: &b.pool, tailLatency: c.LatencyObjective / 2}
			if k.isRestricted() {
				k.eligible = &pool{class: k}
			}
			if was := old[c.Name]; was != nil {
				k.tailLatency = min(was.tailLatency, c.LatencyObjective)
			}
			b.nextTimerToken++
		}
		b.activeClasses = append(b.activeClasses, k)
		b.classes[c.Name] = k
	}
	b.defaultLimit = set.RateLimits.Default
	for _, t := range set.Tenants { // a tenant that nobody agreed a share with counts as the smallest
		l := b.quotaLimit(t.Quota)
		b.tenantLimits[t.Name] = l
		if set.RateLimits.Default == nil && (b.defaultLimit == nil || l.PerWindow < b.defaultLimit.PerWindow) {
			b.defaultLimit = &l
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
	b.now, b.actions = max(now, b.now), b.actions[:0]
	for key, k := range b.buckets { // what was earned until now was earned at the old rates
		if l, at, ok := b.resolveLimit(key.tenant, key.class); ok && at == key {
			k.refill(b.now, l.perSecond()*b.rateScale, l.Burst)
		}
	}
	asked, ranked := b.settings.Subscribe, b.activeClasses
	b.configure(set)
	kept := func(c *class) bool { return b.classes[c.Name] == c }
	b.retiredClasses = append(b.retiredClasses, slices.DeleteFunc(ranked, kept)...)
	for key, k := range b.buckets {
		if l, at, ok := b.resolveLimit(key.tenant, key.class); ok && at == key {
			k.tokens = min(k.tokens, l.Burst)
		} else { // its layer is gone
			delete(b.buckets, key)
		}
	}
	b.retries = append(dropBefore(b.expiredRetries, b.now-b.retryBudget.Window), b.retries...)
	b.expiredRetries = nil
	b.rebuildOrder()
	if set.Subscribe && !asked {
		b.watchEndpoints()
	}
	b.dispatchQueued()
	return b.actions, nil
}

// forgetRetired drops the classes of former settings that no request in hand is of any more.
func (b *Balancer) forgetRetired() {
	if len(b.retiredClasses) == 0 {
		return
	}
	used := make(map[*class]bool)
	for _, r := range b.requests {
		used[r.class] = true
	}
	b.retiredClasses = slices.DeleteFunc(b.retiredClasses, func(c *class) bool { return !used[c] })
}

// Handle takes one event and returns the actions it calls for. The next call reuses the slice.
func (b *Balancer) Handle(now Time, ev Event) []Action {
	b.now, b.actions = max(now, b.now), b.actions[:0]
	switch e := ev.(type) {
	case Request:
		b.onRequest(e)
	case Outcome:
		b.onOutcome(e)
	case FirstByte:
		b.onFirstByte(e)
	case ClientGone:
		if r := b.requests[e.ID]; r != nil {
			b.finish(r)
		}
	case Timer:
		b.onTimer(e.Token)
	case EndpointList:
		b.onEndpointList(e)
	}
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// ---- Admission: a token bucket for each tenant, and class where told ----

const (
	rateWindow   = time.Second // of limits made from quotas; also the retry-after of a quota of zero
	burstSeconds = 0.5         // seconds of a quota's rate in its bucket: the bursts within a share
	minBurst     = 3           // tokens, so that a sliver of a quota still passes a few at once
	maxBuckets   = 4096        // where clients name tenants freely; the rest share one bucket
	// refillCompensation makes up for the fractions lost in whole-token refill, which let Poisson arrivals pass
	// only up to ln 2 of the rate. Far above it 1/(1/r + 1/a) still passes, of refill r and arrivals a.
	refillCompensation = 1 / math.Ln2
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

// quotaLimit is this node's part of a quota that holds over all nodes.
func (b *Balancer) quotaLimit(quota float64) Limit {
	rate := quota / float64(b.settings.Nodes) * refillCompensation
	return Limit{PerWindow: rate * rateWindow.Seconds(), Window: rateWindow,
		Burst: max(minBurst, int64(math.Ceil(rate*burstSeconds)))}
}

// resolveLimit resolves the layers: tenant's share or default, override for the class, platform maximum.
func (b *Balancer) resolveLimit(tenant, class string) (l Limit, key bucketKey, ok bool) {
	key.tenant = tenant
	if o, found := b.settings.RateLimits.PerClass[class]; found {
		key.class, l, ok = class, o, true
	} else if l, ok = b.tenantLimits[tenant]; !ok && b.defaultLimit != nil {
		l, ok = *b.defaultLimit, true
	}
	if most := b.settings.RateLimits.Max; most > 0 {
		l.PerWindow, l.Burst = min(l.PerWindow, most), min(l.Burst, int64(most))
	}
	return l, key, ok
}

// admit takes a token, or says how long the client should wait.
func (b *Balancer) admit(tenant, class string) (bool, time.Duration) {
	l, key, ok := b.resolveLimit(tenant, class)
	if !ok {
		return true, 0
	}
	l.PerWindow, l.Burst = l.PerWindow*b.rateScale*b.trafficShare, max(1, int64(math.Ceil(float64(l.Burst)*b.trafficShare)))
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
		b.rateLimited = true
		return false, l.retryAfter()
	}
	k.tokens--
	return true, 0
}

func (b *Balancer) onRequest(e Request) {
	r, known := b.requests[e.ID]
	if known && !r.bodyPending {
		return // a duplicate of a request in hand
	}
	if !known {
		r = &request{id: e.ID, class: b.classes[e.Class], notReplayable: e.BodyPending, zoneLocal: e.ZoneLocal}
	}
	if r.class == nil { // not in the settings: one safe try, never repeated
		r.class = &class{Class: Class{LatencyObjective: e.ExpiresIn, LateWeightFraction: 1}, capabilities: b.settings.Capabilities, eligible: &b.pool}
	}
	r.deadline, r.bodyPending = b.now+e.ExpiresIn, e.BodyPending
	aim := r.class.LatencyObjective + time.Duration(r.class.ObjectiveWorkFactor*float64(e.CostHint))
	r.queueDeadline, r.valueDeadline = b.now+e.queueTime(min(aim, e.ExpiresIn)/2), r.deadline // late refusals cost clients time
	if r.class.LateWeightFraction <= 0 {
		r.valueDeadline = min(r.deadline, b.now+aim)
	}
	if known { // its last byte has come: what is timed begins now
		for i := range r.attempts {
			r.attempts[i].sentAt = b.now
		}
		b.scheduleSlowCheck(r)
		return
	}
	if b.settings.KeyAffinity && e.Key != "" {
		r.keyHash = hash(e.Key)
	}
	b.requests[r.id] = r
	b.accepted = append(dropBefore(b.accepted, b.now-b.retryBudget.Window+1), b.now)
	if ok, wait := b.admit(e.Tenant, e.Class); !ok {
		b.reject(r, wait)
		return
	}
	b.dispatch(r)
}

const (
	rateScaleIncrease, rateScaleDecrease = 0.02, 0.02 // steps of the bucket rates at each choice: half may find no room
	minRateScale                         = 0.3        // below, in-share traffic starves by faults that shedding can't mend
	cautiousRateScale                    = 1.5        // above, only while few answers are bad
	maxBadRatio                          = 0.06       // of the answers
	maxRateScale                         = 3.0        // above, there is little worth left to win
)

// adjustRateScale scales all bucket rates alike by whether the servers have room: without it a slowdown of the
// fleet sheds nothing, and a node that sees more than its even part of a quota refuses in-share traffic.
func (b *Balancer) adjustRateScale(room bool) {
	switch {
	case !room && b.rateScale <= 1 && b.serversShedLoad():
	case !room:
		b.rateScale = max(minRateScale, b.rateScale*(1-rateScaleDecrease))
	case b.rateScale > cautiousRateScale && b.badRatio > maxBadRatio:
		b.rateScale *= 1 - rateScaleDecrease
	case b.rateLimited && (b.rateScale < cautiousRateScale || b.badRatio < maxBadRatio): // only a rate that was felt is raised
		b.rateScale = min(maxRateScale, b.rateScale*(1+rateScaleIncrease))
	}
	b.rateLimited = false
}

// ---- Choice: packing in id order under a learned threshold ----

const (
	maxUnstaggeredNodes                = 3             // nodes; more would jam the first server, so each walks from elsewhere
	initialAmongFewNodes               = 6.0           // attempts first trusted to a server by all nodes where they are few,
	initialInSubset                    = 2.0           // attempts first trusted to servers where the own walk starts,
	minSubsetSize                      = 4             // servers there at least: nodes that share them share that trust
	initialOutsideSubset               = 1.0           // and to any other, by all nodes together;
	initialOutnumbered                 = 0.05          // so much where nodes outnumber servers: connections are scarce there
	minThresholdFraction               = 0.25          // part of its start below which no threshold falls
	thresholdIncrease                  = 0.05          // attempts a good answer adds; against slowCut, a sixth may be slow
	slowDecrease                       = 0.25          // attempts a slow answer takes off
	sharedScaleIncrease                = 0.02          // part by which a good answer raises the trust in shared servers
	sharedScaleDecrease                = 0.1           // and a bad one lowers it: against trustGrow, a sixth may be bad
	maxSharedScale                     = 8.0           // times the first trust; 20 was no better
	failureDecrease                    = 0.3           // attempts a full answer or a failure takes off
	faultRatioGain                     = 0.05          // weight of one outcome in a server's part of faults
	commonFaultRatio                   = 0.08          // part at every other server from which faults tell nothing,
	minFaultWeight                     = 0.25          // so that each counts for so much less
	sheddingOverloadRatio              = 0.2           // part of full answers among bad ones from which servers shed early
	sheddingTimeoutRatio               = 0.1           // part of the other answers that may time out there
	overloadRatioGain, answerRatioGain = 0.02, 0.01    // weight of one answer in these parts, and in that of bad answers
	maxProjectedLoad                   = 2.0           // times its limit, the least busy is filled; more would only be late
	slowLatencyFraction                = 0.6           // part of the aim from which an answer tells of a crowd
	stickyServersPerKey                = 3             // servers that keep a key warm in each zone
	fnvPrime                           = 1099511628211 // of the 64-bit FNV hash
)

// selectServer chooses a server: the first ready one in id order that holds fewer of this node's attempts
// than its threshold, else the least busy; nil where none may be used. Room is also reported where
// the least busy was never cut: what it takes is not known yet.
func (b *Balancer) selectServer(r *request) (s *server, room bool) {
	for _, s := range b.stickyServers(r) {
		if s != nil && b.usable(r, s) && b.hasCapacity(s) {
			return s, true
		}
	}
	var least *server
	open := r.class.eligible
	blocks, crowded := b.blocksOf(open), math.Inf(1)
	for i := 0; i*blockSize < len(open.order); i++ {
		if blocks != nil && b.canSkip(&blocks[i], crowded) {
			continue
		}
		for _, s := range open.blockServers(i) {
			if !b.usable(r, s) {
				continue
			}
			if b.hasCapacity(s) {
				return s, true
			}
			if crowding := b.projectedLoad(s); least == nil || crowding < crowded {
				least, crowded = s, crowding
			}
		}
		if blocks != nil {
			b.refreshBlock(&blocks[i], open.blockServers(i))
		}
	}
	if least != nil && b.projectedLoad(least) > maxProjectedLoad && !b.serversShedLoad() {
		return nil, !least.thresholdReduced
	}
	return least, least != nil && !least.thresholdReduced
}

// stickyServers are the servers that all nodes of a zone try first for a key that a server serves with less work if
// it met it lately. Rendezvous hashing keeps them where they are as servers come and go.
func (b *Balancer) stickyServers(r *request) (best [stickyServersPerKey]*server) {
	if r.keyHash == 0 {
		return best
	}
	var most [stickyServersPerKey]uint64
	open := r.class.eligible
	for _, s := range open.order[:open.localCount] {
		h := (r.keyHash ^ s.hashString) * fnvPrime
		for i := range best {
			if s != nil && (best[i] == nil || h > most[i]) {
				s, best[i] = best[i], s
				h, most[i] = most[i], h
			}
		}
	}
	return best
}

// startThreshold is what s is first trusted with by this node.
func (b *Balancer) startThreshold(s *server) float64 {
	switch {
	case !b.isStaggered():
		return max(1, initialAmongFewNodes/float64(b.settings.Nodes))
	case s.inSubset:
		return initialInSubset * min(1, float64(b.localCount*b.zoneCount)/float64(b.settings.Nodes*b.subsetSize))
	default:
		if b.isOutnumbered() {
			return initialOutnumbered / float64(b.settings.Nodes)
		}
		return min(1, initialOutsideSubset/float64(b.settings.Nodes))
	}
}

// projectedLoad sets attempts in flight against what s was seen to take, lest one that others fill look idle.
// A limit under one is the part of the time that this node may have an attempt there: the next is due when
// the last one, by its own length, has been that part, so that a server that slows gets less at once.
func (b *Balancer) projectedLoad(s *server) float64 {
	limit := b.effectiveThreshold(s)
	if s.inFlight == 0 && limit < 1 {
		return min(1, s.lastLatency/max(roundingSlack, (b.now-s.lastSend).Seconds())) / limit
	}
	return float64(s.inFlight+1) / limit
}

// effectiveThreshold is the threshold of s, for a shared server scaled by the trust in all such: a node sees too
// little of each to learn its threshold in time.
func (b *Balancer) effectiveThreshold(s *server) float64 {
	if b.isShared(s) {
		return s.threshold * b.sharedThresholdScale
	}
	return s.threshold
}

// isShared tells whether other nodes send s most of its work: it isn't own, or the home of keys for all.
func (b *Balancer) isShared(s *server) bool {
	return b.isStaggered() && (!s.inSubset || b.settings.KeyAffinity)
}

// hasCapacity tells whether a server is under its threshold.
func (b *Balancer) hasCapacity(s *server) bool {
	limit := b.effectiveThreshold(s)
	return limit >= 1 && float64(s.inFlight) < limit || limit < 1 && b.projectedLoad(s) <= 1
}

// usable tells whether r may go to s now: s is in service, the rules allow it, and, if cold, it has room.
func (b *Balancer) usable(r *request, s *server) bool {
	return !s.health.ejected && b.mayRunOn(r, s) && b.hasSlowStartCapacity(s)
}

// permits guards the fifth rule: a class bound to zones, kinds or a pool of servers goes nowhere else.
func (c *class) permits(s *server) bool {
	return (c.Pool == "" || slices.Contains(s.Pools, c.Pool)) &&
		(len(c.Kinds) == 0 || slices.Contains(c.Kinds, s.Kind)) &&
		(len(c.Zones) == 0 || slices.Contains(c.Zones, s.Zone))
}

func (c *class) isRestricted() bool { return len(c.Kinds)+len(c.Zones)+len(c.Pool) > 0 }

// mayRunOn guards the fifth rule, and the second: what may have run only goes where repeats are dropped.
func (b *Balancer) mayRunOn(r *request, s *server) bool {
	if !r.class.permits(s) || b.leavesZone(r, s) || r.hasAttemptedOn(s) {
		return false
	}
	if r.mayHaveRun == nil || r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency != IdempotencyKeyed || b.now >= r.mayHaveRun.sentAt+r.class.DedupWindow {
		return false
	}
	switch r.class.DedupScope {
	case DedupAll:
		return true
	case DedupZone:
		return s.Zone == r.mayHaveRun.server.Zone
	}
	return s.Cell == r.mayHaveRun.server.Cell
}

// serversShedLoad tells whether servers turn work away before it waits too long. Then the node offers requests past
// the crowd limit, and neither cuts rates below the shares nor ejects for full answers; time-outs end it.
func (b *Balancer) serversShedLoad() bool {
	return b.overloadRatio >= sheddingOverloadRatio && b.timeoutRatio < sheddingTimeoutRatio
}

// updateThreshold moves the threshold of s by one outcome. Steps shrink with a threshold under one, so that it
// settles where thresholdGrow/(thresholdGrow+slowCut) of the answers are slow, at any size.
func (b *Balancer) updateThreshold(s *server, c *class, code Code, latency time.Duration) {
	step, fault := 0.0, code.isFault()
	updateRatio(&s.faultRatio, faultRatioGain, fault)
	switch {
	case fault:
		b.updateFaultWeight()
		step = -failureDecrease * b.faultWeight
	case code != OK:
		step = -failureDecrease
	case latency > durationFromSeconds(slowLatencyFraction*c.LatencyObjective.Seconds()):
		step = -slowDecrease
	case float64(s.inFlight+1) >= b.effectiveThreshold(s): // answered well, and the threshold was felt
		step = thresholdIncrease
	}
	bad := step <= -slowDecrease                                            // not what all servers have alike
	if bad && (code != Overloaded || s.health.faultScore < silenceWeight) { // a hung server fills up too
		updateRatio(&b.overloadRatio, overloadRatioGain, code == Overloaded)
	}
	updateRatio(&b.badRatio, answerRatioGain, bad)
	if code != Overloaded {
		updateRatio(&b.timeoutRatio, answerRatioGain, code == TimedOut)
	}
	if b.isShared(s) && step > 0 {
		b.sharedThresholdScale = min(maxSharedScale, b.sharedThresholdScale*(1+sharedScaleIncrease))
	} else if b.isShared(s) && bad && code != Overloaded {
		b.sharedThresholdScale = max(1, b.sharedThresholdScale*(1-sharedScaleDecrease))
	}
	s.thresholdReduced = s.thresholdReduced || bad
	s.threshold = max(minThresholdFraction*b.startThreshold(s), s.threshold+step*min(1, s.threshold))
}

// updateFaultWeight sets faults against the median server's: what all have alike, none of them is to blame for.
// Unweighed it would close one threshold after the other, and eject at random.
func (b *Balancer) updateFaultWeight() {
	var parts []float64
	for _, s := range b.order {
		if s.lastAnswer > 0 {
			parts = append(parts, s.faultRatio)
		}
	}
	if slices.Sort(parts); len(parts) > 0 {
		b.faultWeight = max(minFaultWeight, 1-parts[(len(parts)-1)/2]/commonFaultRatio)
	}
}

// ---- Attempts: sending, retries, hedges, holding ----

const (
	sheddingRetryCost    = 0.15                  // of an attempt after full answers where servers shed early
	queuePollInterval    = 20 * time.Millisecond // between looks at held requests
	tailQuantile         = 0.95                  // latency quantile of a class at which attempts are looked at again
	tailGain             = 0.1                   // part by which the estimate of it moves
	slowAttemptFactor    = 1.2                   // times that quantile, an attempt counts as slow and may be hedged
	completionRateWindow = 3 * time.Second       // memory of the rate of answers: holds a few at a quiet node
	retryHistory         = time.Minute           // memory of further attempts, for a new budget over a longer span

	queueTimerToken, endpointTimerToken, firstClassTimerToken = 1, 2, 8 // of timers; the classes' count on from the last
)

var defaultRetryBudget = RetryBudget{MinRetries: 20, RetryRatio: 0.2, Window: 10 * time.Second} // where the site states none

// dispatch sends r to a server, or holds it while one may still turn up, or gives up.
func (b *Balancer) dispatch(r *request) {
	if b.isExhausted(r) || len(r.attempts) > 0 && !b.retryBudgetAllows() {
		b.finishUnserved(r)
		return
	}
	s := b.probeTarget(r)
	trial, room := s != nil, false
	if !trial {
		s, room = b.selectServer(r)
	}
	if !trial && !r.wasQueued { // each request tells of room once, however long it is held
		b.adjustRateScale(room)
	}
	switch {
	case s != nil:
		b.send(r, s, trial)
	case r.mayHaveRun == nil && b.now+queuePollInterval < r.queueDeadline:
		b.enqueue(r)
	default:
		b.finishUnserved(r)
	}
}

// isExhausted tells whether r has had its attempts, or its time to be worth another.
func (b *Balancer) isExhausted(r *request) bool {
	return len(r.attempts) >= max(1, r.class.capabilities.MaxAttempts) || b.now >= r.valueDeadline
}

// retryBudgetAllows guards the sixth rule: attempts beyond each request's first stay within the site's budget, or the
// default one. It is counted exactly over its sliding span and on the safe side at its edges.
func (b *Balancer) retryBudgetAllows() bool {
	from := b.now - b.retryBudget.Window
	extra := dropBefore(b.retries, from)
	b.expiredRetries = append(dropBefore(b.expiredRetries, b.now-retryHistory), b.retries[:len(b.retries)-len(extra)]...)
	b.accepted, b.retries = dropBefore(b.accepted, from+1), extra
	return float64(len(b.retries)+1) <= b.retryBudget.MinRetries+b.retryBudget.RetryRatio*float64(len(b.accepted))-1e-9 // of rounding
}

// chargeRetry books a further attempt of r: in part only where nothing ran and the site states no budget.
func (b *Balancer) chargeRetry(r *request) {
	b.retryDebt++
	if b.settings.Rules.RetryBudget == nil && r.mayHaveRun == nil && b.serversShedLoad() {
		b.retryDebt -= 1 - sheddingRetryCost
	}
	if b.retryDebt >= 1 {
		b.retryDebt--
		b.retries = append(b.retries, b.now)
	}
}

func (b *Balancer) send(r *request, s *server, trial bool) {
	if len(r.attempts) > 0 {
		b.chargeRetry(r)
	}
	idle := b.prepareConnection(s)
	b.emit(Action{Kind: Send, ID: r.id, Server: s.Server, Until: r.valueDeadline})
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, probe: trial, idleOctave: idle})
	r.pending++
	s.inFlight++
	s.recordConnectionUse(b.now)
	s.lastSend = b.now
	s.slowStart.tokens--
	b.updateIndex(s, 0)
	r.updateMayHaveRun()
	b.scheduleSlowCheck(r)
}

// ---- Connections ----

const (
	minIdleTime          = 250 * time.Millisecond // a connection unused for less counts as in use
	unansweredGain       = 0.2                    // weight of one outcome in the part that went unanswered
	staleUnansweredRatio = 0.3                    // part from which connections idle for as long are not used again,
	staleFactor          = 3                      // if it is so many times that of connections in use
	staleDecay           = 0.98                   // what is left of the suspicion after each connection given up for it
)

// recordConnectionUse notes that s has as many connections in recordConnectionUse as attempts in flight.
func (s *server) recordConnectionUse(now Time) {
	for len(s.connectionLastUsed) < s.inFlight {
		s.connectionLastUsed = append(s.connectionLastUsed, now)
	}
	s.connectionLastUsed[s.inFlight-1] = now
}

// prepareConnection tells for how long the connection of the next send to s was idle, in octaves from idleLeast. It
// guards against connections dropped unseen: where sends on those idle for as long go unanswered far more
// often than others, they are closed first. Harm: handshakes, while the suspicion wears off.
func (b *Balancer) prepareConnection(s *server) int {
	if s.inFlight >= len(s.connectionLastUsed) {
		return 0
	}
	gap := b.now - s.connectionLastUsed[s.inFlight]
	if gap < minIdleTime || b.settings.Capabilities.ConnIdleTimeout > 0 && gap >= b.settings.Capabilities.ConnIdleTimeout {
		return 0
	}
	octave := min(len(b.unansweredRatio)-1, bits.Len64(uint64(gap/minIdleTime)))
	if b.unansweredRatio[octave] < staleUnansweredRatio || b.unansweredRatio[octave] < staleFactor*b.unansweredRatio[0] {
		return octave
	}
	b.unansweredRatio[octave] *= staleDecay
	b.closeIdleConnections(s)
	return 0
}

func (b *Balancer) closeIdleConnections(s *server) {
	s.connectionLastUsed = s.connectionLastUsed[:min(len(s.connectionLastUsed), s.inFlight)]
	b.emit(Action{Kind: CloseIdle, Server: s.Server})
}

// lostStaleConnection learns from an outcome, and reports whether it says nothing of the server, for the attempt
// went out on a connection that was idle and may be gone.
func (b *Balancer) lostStaleConnection(a *attempt, lost bool) bool {
	updateRatio(&b.unansweredRatio[a.idleOctave], unansweredGain, lost)
	lost = lost && a.idleOctave > 0
	if lost {
		b.closeIdleConnections(a.server)
	}
	return lost
}

// scheduleSlowCheck queues r's newest attempt: a class waits about equally long, so one timer serves for all.
func (b *Balancer) scheduleSlowCheck(r *request) {
	if c := r.class; c.timerToken > 0 && len(r.attempts) > 0 && !r.bodyPending {
		due := b.now + time.Duration(slowAttemptFactor*float64(c.tailLatency))
		c.slowChecks = append(c.slowChecks, slowCheck{r, len(r.attempts) - 1, due})
		b.setSlowTimer(c)
	}
}

// setSlowTimer sets the timer of a class for the head of its queue.
func (b *Balancer) setSlowTimer(c *class) {
	if !c.slowTimerSet && len(c.slowChecks) > 0 {
		c.slowTimerSet = true
		b.emit(Action{Kind: SetTimer, Wait: max(time.Millisecond, c.slowChecks[0].due-b.now),
			Token: c.timerToken})
	}
}

func (b *Balancer) enqueue(r *request) {
	r.wasQueued = true
	b.queued = append(b.queued, r)
	if !b.queueTimerSet {
		b.queueTimerSet = true
		b.emit(Action{Kind: SetTimer, Wait: queuePollInterval, Token: queueTimerToken})
	}
}

func (b *Balancer) onTimer(token uint64) {
	switch {
	case token == queueTimerToken:
		b.queueTimerSet = false
		b.dispatchQueued()
	case token == endpointTimerToken:
		b.watchEndpoints()
	case token >= firstClassTimerToken:
		for _, c := range slices.Concat(b.activeClasses, b.retiredClasses) {
			if c.timerToken == token {
				b.checkSlowAttempts(c)
			}
		}
	}
}

// dispatchQueued tries all held requests again.
func (b *Balancer) dispatchQueued() {
	held := b.queued
	b.queued = nil
	for _, r := range held {
		if !r.answered {
			b.dispatch(r)
		}
	}
}

// checkSlowAttempts looks at the attempts of a class that have been out for long: a server silent since then
// gets a strike, and a request that may run twice gets a second copy.
func (b *Balancer) checkSlowAttempts(c *class) {
	c.slowTimerSet = false
	for len(c.slowChecks) > 0 && c.slowChecks[0].due <= b.now {
		w := c.slowChecks[0]
		c.slowChecks[0] = slowCheck{}
		c.slowChecks = c.slowChecks[1:]
		a := &w.request.attempts[w.attempt]
		if a.done || a.server.lastAnswer >= a.sentAt {
			continue // a server that answers others has a heavy request, and a second copy would be as heavy
		}
		if a.idleOctave == 0 {
			b.recordFault(a.server, silenceWeight)
		}
		if !w.request.answered && !w.request.streaming && w.request.pending == 1 {
			b.hedge(w.request)
		}
	}
	b.setSlowTimer(c)
}

// hedge sends a second copy where the class, the site and the budget allow one.
func (b *Balancer) hedge(r *request) {
	if r.notReplayable || r.class.Idempotency == NonIdempotent || !r.class.capabilities.Hedge || b.isOutnumbered() || !b.retryBudgetAllows() ||
		b.isExhausted(r) {
		return
	}
	if s, room := b.selectServer(r); s != nil && room {
		b.send(r, s, false)
	}
}

// finishUnserved ends r unserved: refused where that is allowed, else failed.
func (b *Balancer) finishUnserved(r *request) {
	if r.pending > 0 {
		return // a copy is still out and may yet answer
	}
	if r.mayHaveRun == nil || r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotencyKeyed && r.class.DedupScope == DedupAll {
		b.reject(r, 0)
		return
	}
	b.emit(Action{Kind: Fail, ID: r.id})
	b.finish(r)
}

func (b *Balancer) reject(r *request, wait time.Duration) {
	b.emit(Action{Kind: Reject, ID: r.id, Wait: wait})
	b.finish(r)
}

// finish marks r as answered and calls copies off; r is kept until they are over.
func (b *Balancer) finish(r *request) {
	if !r.answered {
		r.answered = true
		b.cancelAttempts(r, -1)
	}
	if r.pending == 0 {
		delete(b.requests, r.id)
	}
}

// cancelAttempts calls off all attempts of r that are out, but for one.
func (b *Balancer) cancelAttempts(r *request, but int) {
	for i := range r.attempts {
		if i != but && !r.attempts[i].done && r.class.capabilities.Cancel {
			b.emit(Action{Kind: Cancel, ID: r.id, Attempt: i})
		}
	}
}

// ---- Outcomes ----

func (b *Balancer) onFirstByte(e FirstByte) {
	if r := b.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
		r.streaming = true
		b.cancelAttempts(r, e.Attempt)
	}
}

func (b *Balancer) onOutcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].done {
		return // late or twice
	}
	a := &r.attempts[e.Attempt]
	a.done, a.notExecuted = true, e.Code.NotExecuted()
	r.pending--
	a.server.recordConnectionUse(b.now)
	a.server.inFlight--
	r.updateMayHaveRun()
	b.recordOutcome(r, a, e)
	b.updateIndex(a.server, 0)
	switch {
	case e.Answered || r.answered || e.Code == OK:
		b.finish(r)
	case r.pending > 0: // a copy may yet answer
	case e.Code == Superseded || e.BodyConsumed || b.now >= r.deadline || r.streaming ||
		r.mayHaveRun != nil && r.class.Idempotency == NonIdempotent:
		b.finishUnserved(r)
	default:
		b.dispatch(r)
	}
}

// updateMayHaveRun works out which attempt of r may have run first; one without an outcome may have.
func (r *request) updateMayHaveRun() {
	r.mayHaveRun = nil
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return !a.notExecuted }); i >= 0 {
		r.mayHaveRun = &r.attempts[i]
	}
}

// recordOutcome learns from an outcome: latency, threshold and health.
func (b *Balancer) recordOutcome(r *request, a *attempt, e Outcome) {
	s, c := a.server, r.class
	if a.probe {
		s.health.probeInFlight = false
	}
	switch e.Code {
	case Superseded, Untrusted:
		return
	case Cancelled:
		if !a.probe { // our own doing; but a trial that a second copy had to stand in for has failed
			return
		}
	case OK, ServerError, Overloaded:
		s.lastAnswer = b.now
	}
	if e.Code != ConnectFailed && b.lostStaleConnection(a, e.Code == TimedOut || e.Code == Reset) {
		return
	}
	b.updateThreshold(s, c, e.Code, e.Latency)
	if e.Code == OK || e.Code == TimedOut {
		s.lastLatency = e.Latency.Seconds()
	}
	if e.Code == OK {
		b.completionRate, b.completionRateAt = b.currentCompletionRate()+1/completionRateWindow.Seconds(), b.now
		c.recordLatency(e.Latency)
	}
	b.updateHealth(a, e.Code)
}

// recordLatency follows the slow tail of the latency of a class.
func (c *class) recordLatency(latency time.Duration) {
	step := -(1 - tailQuantile)
	if latency > c.tailLatency {
		step = tailQuantile
	}
	c.tailLatency = min(c.LatencyObjective, c.tailLatency+time.Duration(tailGain*step*float64(c.tailLatency)))
}

// ---- Health: outlier ejection and half-open trials ----

const (
	failureWeight      = 0.3             // of one failure in the score: two in a row eject, a lone one doesn't
	silenceWeight      = 0.15            // of an attempt out for long at a silent server: it may just be heavy
	overloadWeight     = 0.2             // of a full answer: a server that keeps giving those needs a rest
	ejectionScore      = 0.5             // score that ejects
	baseEjectionTime   = time.Second     // first ejection, doubled each time
	maxEjectionTime    = 8 * time.Second // up to this
	maxEjectedFraction = 0.4             // part of the fleet; when more seems broken, the cause isn't the servers
	probesToRecover    = 3               // good trials in a row: half of them pass at a server that fails half
)

// updateHealth moves the breaker of an attempt's server by its outcome.
func (b *Balancer) updateHealth(a *attempt, code Code) {
	s, h := a.server, &a.server.health
	switch {
	case h.ejected && a.probe && code == OK:
		if h.goodProbes++; h.goodProbes >= probesToRecover {
			*h, s.threshold = health{}, b.startThreshold(s)
			b.updateIndex(s, -1)
		}
	case h.ejected && a.probe: // full too: a hung server turns away what it has no room for
		if code.isFault() && b.faultWeight < 1 { // it may be well, so it is not put off for longer each time
			h.ejections = 0
		}
		b.eject(s)
	case code == OK:
		h.faultScore -= failureWeight * b.faultWeight * h.faultScore
	case code == Overloaded && b.serversShedLoad():
	case code == Overloaded:
		b.recordFault(s, overloadWeight)
	case code.isFault():
		b.recordFault(s, failureWeight*b.faultWeight)
	case s.lastAnswer < a.sentAt: // a server that answers others isn't hung
		b.recordFault(s, failureWeight)
	}
}

// recordFault counts a failure, or a silence, against a server.
func (b *Balancer) recordFault(s *server, weight float64) {
	h := &s.health
	h.faultScore += weight * (1 - h.faultScore)
	if !h.ejected && h.faultScore > ejectionScore && b.mayEject(s) {
		b.eject(s)
	}
}

// mayEject keeps the cap on ejections for each class by itself: the few servers that one may be bound
// to are not all taken out while the fleet as a whole looks well.
func (b *Balancer) mayEject(s *server) bool {
	for _, c := range b.activeClasses {
		if c.permits(s) && float64(c.eligible.ejectedCount+1) > maxEjectedFraction*float64(len(c.eligible.order)) {
			return false
		}
	}
	return true
}

func (b *Balancer) eject(s *server) {
	h := &s.health
	if !h.ejected {
		b.updateIndex(s, 1)
	}
	span := min(maxEjectionTime, baseEjectionTime<<min(h.ejections, 10))
	h.ejected, h.ejectedUntil, h.goodProbes, h.ejections = true, b.now+span, 0, h.ejections+1
}

// probeTarget returns an ejected server whose time is up, if r can safely try it out: of the classes that
// the server is open to, one that may be repeated most freely.
func (b *Balancer) probeTarget(r *request) *server {
	open := r.class.eligible
	if open.ejectedCount == 0 || len(r.attempts) > 0 {
		return nil
	}
	for _, s := range open.order {
		h := &s.health
		if h.ejected && !h.probeInFlight && b.now >= h.ejectedUntil && r.class.Idempotency >= s.probeIdempotency && b.hasSlowStartCapacity(s) {
			h.probeInFlight = true
			return s
		}
	}
	return nil
}

// ---- Cold start: each node's part of a young server's budget ----

const (
	slowStartMargin  = 0.7 // of the multiple beyond one: that one is left to chance, heavy work and unequal servers
	minSlowStartRate = 1.0 // requests a second by all nodes to a cold server when nothing is known yet
)

// slowStartFraction is the part of its capacity that s has at least, or 1 once it is warm.
func (b *Balancer) slowStartFraction(s *server) float64 {
	age := b.now - s.OnlineSince
	if s.OnlineSince <= 0 || age >= b.settings.Rules.SlowStartWindow {
		return 1
	}
	share := b.settings.Rules.SlowStartShare
	return share + (1-share)*max(0, age.Seconds())/b.settings.Rules.SlowStartWindow.Seconds()
}

// hasSlowStartCapacity guards the fourth rule. This node's mean rate per server, summed over the nodes, is
// what a warm server takes; a cold one may get its present part of that, and no more.
func (b *Balancer) hasSlowStartCapacity(s *server) bool {
	part := b.slowStartFraction(s)
	if part >= 1 {
		return true
	}
	mean := max(b.currentCompletionRate()/float64(max(1, len(b.order))), minSlowStartRate/float64(b.settings.Nodes))
	rate := slowStartMargin * max(0.5, b.settings.Rules.OverloadFactor-1) * part * mean
	k := &s.slowStart
	most := max(1, rate*b.settings.Rules.OverloadDuration.Seconds()/4)
	k.tokens, k.last = min(most, k.tokens+rate*(b.now-k.last).Seconds()), b.now
	return k.tokens >= 1
}

// ---- List: following the servers ----

// watchRetryDelay is the mean wait before a failed call for the list is repeated, spread among nodes; half of the
// time within which that counts as having asked, where the site tells one.
const watchRetryDelay = 2 * time.Second

func (b *Balancer) watchEndpoints() { b.emit(Action{Kind: WatchEndpoints, On: true}) }

func (b *Balancer) onEndpointList(e EndpointList) {
	switch {
	case e.Kind == ListUnavailable:
		mean := min(watchRetryDelay, cmp.Or(2*b.settings.Rules.MaxPollInterval, watchRetryDelay)) // four times AskWithin after a failure
		wait := time.Duration((0.5 + b.rng.Float64()) * float64(mean))
		b.emit(Action{Kind: SetTimer, Wait: wait, Token: endpointTimerToken})
		return
	case e.Kind == ListRestored && b.settings.Subscribe:
		b.watchEndpoints()
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
	if e.Kind == ListUpdate && len(e.Endpoints) <= maxIncrementalChanges && !b.linearScan && b.runningByZone != nil {
		b.applyChanges(e.Endpoints)
	} else {
		for _, m := range e.Endpoints {
			b.applyEndpoint(m)
		}
		b.rebuildOrder()
	}
	b.dispatchQueued()
}

// applyEndpoint takes over one entry of the list.
func (b *Balancer) applyEndpoint(m Endpoint) {
	if m.Availability == Removed {
		delete(b.servers, m.Server)
		return
	}
	s := b.servers[m.Server]
	if s == nil || s.OnlineSince != m.OnlineSince { // new, or a new process: forget the old one
		s = &server{lastLatency: b.settings.Classes[0].LatencyObjective.Seconds() / 4, hashString: hash(m.Server)}
		// A random part of a token, so that nodes who hear of a cold server together don't all send.
		s.slowStart = slowStartBucket{tokens: b.rng.Float64(), last: b.now}
		b.servers[m.Server] = s
	}
	s.Endpoint = m
}

// rebuildOrder makes the packing order anew: own zone first, since crossing costs, then by id. Draining
// servers are left out at once, well within the grace of the third rule.
func (b *Balancer) rebuildOrder() {
	b.runningByZone = make(map[string]int)
	for p := range b.pools {
		p.partitions, p.ejectedCount = [2][]*server{}, 0
	}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		if s := b.servers[id]; s.inService() {
			b.addServer(s)
		}
	}
	b.updateOrder(nil)
}

// applyChanges takes over a few entries of the list, and puts the order right where they touch it.
func (b *Balancer) applyChanges(members []Endpoint) {
	came, moved := make([]*server, 0, maxIncrementalChanges), false
	for _, m := range members {
		old := b.servers[m.Server]
		was := old.inService()
		if was && m.Availability == Running && old.OnlineSince == m.OnlineSince && old.Zone == m.Zone &&
			old.Kind == m.Kind && slices.Equal(old.Pools, m.Pools) {
			old.Endpoint = m // its weight and cell count for nothing in the order
			continue
		}
		if was {
			b.removeServer(old)
			came = slices.DeleteFunc(came, func(c *server) bool { return c == old })
		}
		b.applyEndpoint(m)
		s := b.servers[m.Server]
		if s.inService() {
			b.addServer(s)
			came = append(came, s)
		}
		moved = moved || was || s.inService()
	}
	if moved {
		b.updateOrder(came)
	}
}

// updateOrder arranges the order after servers have come to its parts, nil for all, or left them, and says
// where the own walk starts: for those that came, and those that the start has gained or lost.
func (b *Balancer) updateOrder(came []*server) {
	b.forgetRetired()
	former, allOwn := b.order[:b.subsetSize], b.subsetSize == b.localCount
	for p := range b.pools {
		b.arrangePool(p)
	}
	b.zoneCount = len(b.runningByZone)
	b.subsetSize = min(b.localCount, max(minSubsetSize, (b.localCount*b.zoneCount+b.settings.Nodes-1)/b.settings.Nodes))
	if b.settings.KeyAffinity { // a key has the same home for all nodes of a zone
		b.subsetSize = b.localCount
	}
	start := b.order[:b.subsetSize]
	if came == nil {
		for i, s := range b.order {
			b.assignSubset(s, i < len(start))
		}
		return
	}
	if !allOwn || len(start) < b.localCount { // else all of the own zone were in it, and still are
		for _, s := range start {
			s.inNewSubset = true
		}
		for _, s := range former {
			if !s.inNewSubset && b.servers[s.Server] == s && s.inService() { // a former process stays as it was
				s.inSubset = false
			}
		}
		for _, s := range start {
			s.inNewSubset = false
			b.assignSubset(s, true)
		}
	}
	at := func(s *server) int { i, _ := b.position(s); return i }
	slices.SortFunc(came, func(x, y *server) int { return at(x) - at(y) })
	for _, s := range came {
		b.assignSubset(s, at(s) < len(start))
	}
}

// assignSubset says whether s is at the start of the own walk, and gives it its first threshold.
func (b *Balancer) assignSubset(s *server, own bool) {
	was := s.inSubset
	s.inSubset = own
	if s.inSubset && !was { // its former main user drains, died or moved on with the list
		s.threshold = max(s.threshold, b.startThreshold(s))
	}
	if s.threshold == 0 {
		s.threshold = b.startThreshold(s)
		s.lastSend = b.now - durationFromSeconds(b.rng.Float64()*s.lastLatency/s.threshold)
	}
}

func (b *Balancer) isStaggered() bool   { return b.settings.Nodes > maxUnstaggeredNodes }
func (b *Balancer) isOutnumbered() bool { return b.settings.Nodes > len(b.order) }

// walkOffset is where this node's walk through a part of the order begins: at its own place in it, where
// nodes are many. Steps of the golden ratio lie evenly whichever of the nodes share a zone.
func (b *Balancer) walkOffset(n int) int {
	if !b.isStaggered() {
		return 0
	}
	_, at := math.Modf(float64(b.settings.Node) / math.Phi)
	return int(at * float64(n))
}
