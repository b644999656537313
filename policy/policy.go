package policy

import (
	"cmp"
	"math/rand/v2"
	"reflect"
	"slices"
)

// Tokens of timers. Each class gets its own token, from firstClassTimerToken on.
const queueTimerToken, endpointTimerToken, firstClassTimerToken = 1, 2, 8

// New returns a Balancer for one node. seed determines its random choices.
func New(settings Settings, now Time, seed uint64) (*Balancer, error) {
	if err := validate(settings); err != nil {
		return nil, err
	}
	b := &Balancer{
		now: now, rng: rand.New(rand.NewPCG(seed, uint64(settings.Node))), nextTimerToken: firstClassTimerToken,
		buckets: make(map[bucketKey]*bucket), servers: make(map[string]*server),
		requests: make(map[string]*request), rateScale: 1, trafficShare: 1, sharedThresholdScale: 1, faultWeight: 1,
	}
	b.configure(settings)
	return b, nil
}

// configure applies the settings. A class keeps its state if its settings and the capabilities are unchanged. A
// changed class only keeps its tailLatency.
func (b *Balancer) configure(settings Settings) {
	former, sameCapabilities := b.classes, b.settings.Capabilities == settings.Capabilities
	b.settings, b.retryBudget, b.activeClasses = settings, defaultRetryBudget, nil
	b.classes, b.tenantLimits = make(map[string]*class), make(map[string]Limit)
	if settings.Rules.RetryBudget != nil {
		b.retryBudget = *settings.Rules.RetryBudget
	}
	b.shortestObjective = 0
	for _, c := range settings.Classes {
		c.LatencyObjective = cmp.Or(c.LatencyObjective, c.Deadline)
		b.shortestObjective = min(cmp.Or(b.shortestObjective, c.LatencyObjective), c.LatencyObjective)
		current := former[c.Name]
		if current == nil || !sameCapabilities || !reflect.DeepEqual(current.Class, c) {
			current = b.newClass(c, current)
		}
		b.activeClasses = append(b.activeClasses, current)
		b.classes[c.Name] = current
	}
	b.defaultLimit = settings.RateLimits.Default
	for _, tenant := range settings.Tenants { // the smallest quota is the default limit if none is set
		limit := b.quotaLimit(tenant.Quota)
		b.tenantLimits[tenant.Name] = limit
		isSmallest := b.defaultLimit == nil || limit.PerWindow < b.defaultLimit.PerWindow
		if settings.RateLimits.Default == nil && isSmallest {
			b.defaultLimit = &limit
		}
	}
}

func (b *Balancer) newClass(settings Class, former *class) *class {
	c := &class{Class: settings, capabilities: b.settings.Capabilities, eligible: &b.pool}
	c.timerToken, c.tailLatency = b.nextTimerToken, c.LatencyObjective/2
	b.nextTimerToken++
	if len(c.Kinds)+len(c.Zones)+len(c.Pool) > 0 {
		c.eligible = &pool{class: c}
	}
	if former != nil {
		c.tailLatency = min(former.tailLatency, c.LatencyObjective)
	}
	return c
}

// Reconfigure replaces the settings and returns the resulting actions. If it returns an error, nothing has changed.
// Requests in flight keep their class and its capabilities. Servers, buckets, health, retry budget and slow start
// state are kept. The requests accepted before and after Reconfigure therefore stay within the limits together.
func (b *Balancer) Reconfigure(now Time, settings Settings) ([]Action, error) {
	if err := validate(settings); err != nil {
		return nil, err
	}
	b.now, b.actions = max(now, b.now), b.actions[:0]
	for key, bucket := range b.buckets { // until now, tokens accrue at the old rates
		if limit, current, ok := b.resolveLimit(key.tenant, key.class); ok && current == key {
			bucket.refill(b.now, limit.perSecond()*b.rateScale, limit.Burst)
		}
	}
	subscribed, formerClasses := b.settings.Subscribe, b.activeClasses
	b.configure(settings)
	active := func(c *class) bool { return b.classes[c.Name] == c }
	b.retiredClasses = append(b.retiredClasses, slices.DeleteFunc(formerClasses, active)...)
	for key, bucket := range b.buckets {
		if limit, current, ok := b.resolveLimit(key.tenant, key.class); ok && current == key {
			bucket.tokens = min(bucket.tokens, limit.Burst)
		} else {
			delete(b.buckets, key)
		}
	}
	b.retries = append(dropBefore(b.expiredRetries, b.now-b.retryBudget.Window), b.retries...)
	b.expiredRetries = nil
	b.rebuildOrder()
	if settings.Subscribe && !subscribed {
		b.watchEndpoints()
	}
	b.dispatchQueued()
	return b.actions, nil
}

func (b *Balancer) forgetRetiredClasses() {
	if len(b.retiredClasses) == 0 {
		return
	}
	used := make(map[*class]bool)
	for _, r := range b.requests {
		used[r.class] = true
	}
	b.retiredClasses = slices.DeleteFunc(b.retiredClasses, func(c *class) bool { return !used[c] })
}

// Handle processes an event at time now and returns the resulting actions. The slice is valid until the next call.
func (b *Balancer) Handle(now Time, event Event) []Action {
	b.now, b.actions = max(now, b.now), b.actions[:0]
	switch typed := event.(type) {
	case Request:
		b.onRequest(typed)
	case Outcome:
		b.onOutcome(typed)
	case FirstByte:
		b.onFirstByte(typed)
	case ClientGone:
		if r := b.requests[typed.ID]; r != nil {
			b.finish(r)
		}
	case Timer:
		b.onTimer(typed.Token)
	case EndpointList:
		b.onEndpointList(typed)
	}
	return b.actions
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

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }
