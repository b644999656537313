package router

import (
	"time"

	"cobaltward/dropoverload"
	"cobaltward/levels"
	"cobaltward/policy"
)

const (
	// maxImmediateRejectionAge is the maximum age at which a rejection counts as a rejection by the rate limit.
	// Requests that are rejected later have waited for a server.
	maxImmediateRejectionAge = 10 * time.Millisecond
	// shedRetrySpread spreads the Retry-After of shed requests from 1 to 1+shedRetrySpread times routerRetryAfter.
	shedRetrySpread = 4
	// serviceTimeGain is the weight of one answer in the moving average of the service time of a class.
	serviceTimeGain = 0.1
	// levelStepInterval is the time between two steps of the levels.
	levelStepInterval = time.Second
)

// degradation measures the signals for the levels of service, and applies the measures of the level in force. The
// loop owns it.
type degradation struct {
	controller   *levels.Controller
	shedByClass  map[string]uint64
	shedByTenant map[string]uint64 // by tenant; tenants that are not in the settings count under ""
	shedWeight   float64           // sum of the priority weights of shed requests
	classes      map[string]*classWindow
	quotas       map[string]*quotaBucket // by tenant, for levels that limit tenants to their quotas
}

// classWindow counts the requests of a class within the current second.
type classWindow struct {
	levels.Window
	latencyObjective time.Duration
	priorityWeight   float64
}

// quotaBucket is the token bucket of a tenant's quota at this node. Its capacity is the quota of one second, but at
// least one token.
type quotaBucket struct {
	rate, tokens float64 // rate: tokens added per second; tokens: tokens left
	refilledAt   policy.Time
}

// take takes one token at the time now. It returns false if no token is left.
func (b *quotaBucket) take(now policy.Time) bool {
	b.tokens = min(max(1, b.rate), b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func newDegradation(c levels.Config, settings policy.Settings) (*degradation, error) {
	controller, err := levels.New(c)
	if err != nil {
		return nil, err
	}
	d := &degradation{
		controller:   controller,
		shedByClass:  make(map[string]uint64),
		shedByTenant: make(map[string]uint64),
	}
	d.reconfigure(settings)
	return d, nil
}

// reconfigure applies settings. Classes and tenants that remain keep their counts.
func (d *degradation) reconfigure(settings policy.Settings) {
	classes := make(map[string]*classWindow, len(settings.Classes))
	for i := range settings.Classes {
		class := &settings.Classes[i]
		classes[class.Name] = d.updatedClass(class)
	}
	quotas := make(map[string]*quotaBucket, len(settings.Tenants))
	for i := range settings.Tenants {
		tenant := &settings.Tenants[i]
		quotas[tenant.Name] = d.updatedQuota(tenant.Name, tenant.Quota/float64(settings.Nodes))
	}
	d.classes, d.quotas = classes, quotas
}

func (d *degradation) updatedClass(class *policy.Class) *classWindow {
	objective := class.LatencyObjective
	if objective == 0 {
		objective = class.Deadline
	}
	window := d.classes[class.Name]
	if window == nil {
		window = &classWindow{Window: levels.Window{Work: objective.Seconds()}}
	}
	window.latencyObjective, window.priorityWeight = objective, class.PriorityWeight
	return window
}

func (d *degradation) updatedQuota(tenant string, rate float64) *quotaBucket {
	bucket := d.quotas[tenant]
	if bucket == nil {
		bucket = &quotaBucket{tokens: max(1, rate)}
	}
	bucket.rate = rate
	return bucket
}

// withinQuota takes a token from the quota of tenant, and returns false if no token is left. A tenant that is not in
// the settings has no quota, and all its requests count as beyond the quota.
func (d *degradation) withinQuota(tenant string, now policy.Time) bool {
	bucket := d.quotas[tenant]
	return bucket != nil && bucket.take(now)
}

// shouldShed counts r as offered, and reports whether the level in force sheds r. In a dry run it only counts r, and
// returns false.
func (d *degradation) shouldShed(r *request, now policy.Time) bool {
	window := d.classes[r.req.Class]
	if window == nil { // a reload has removed the class since Do
		return false
	}
	if !r.req.IsRetry { // retries of shed requests are not additional demand
		window.Offered++
	}
	effect := d.effect(r)
	within := d.withinQuota(r.req.Tenant, now)
	// The request ID determines whether a request is shed. A retry has a new ID and would pass sooner or later, so
	// every retry is shed.
	selected := effect.Shed > 0 && (r.req.IsRetry || dropoverload.Fraction(r.req.ID) < effect.Shed)
	if !selected && (!effect.WithinQuota || within) {
		return false
	}
	d.recordShed(r, window)
	return !d.controller.DryRun()
}

func (d *degradation) recordShed(r *request, window *classWindow) {
	window.Shed++
	d.shedByClass[r.req.Class]++
	tenant := r.req.Tenant
	if d.quotas[tenant] == nil {
		tenant = ""
	}
	d.shedByTenant[tenant]++
	d.shedWeight += window.priorityWeight
}

// shedRetryAfter returns the Retry-After of the shed request id. The result differs by id, so that clients do not all
// retry at the same time. limit is the maximum; 0 means no limit.
func shedRetryAfter(id string, limit time.Duration) time.Duration {
	spread := shedRetrySpread * dropoverload.Fraction("again "+id) * float64(routerRetryAfter)
	retryAfter := routerRetryAfter + time.Duration(spread)
	if limit > 0 {
		return min(retryAfter, limit)
	}
	return retryAfter
}

// effect returns the effect of the level in force on r.
func (d *degradation) effect(r *request) levels.Effect {
	return d.controller.Effect(r.req.Class, r.req.Tenant)
}

// restrictions returns the restrictions of the level in force for r. zoneLocal keeps r in the zone of the node. A
// maxQueueTime above 0 is the maximum time of r in a queue.
func (d *degradation) restrictions(r *request) (zoneLocal bool, maxQueueTime time.Duration) {
	if d.controller.DryRun() {
		return false, 0
	}
	effect := d.effect(r)
	return effect.ZoneLocal, effect.MaxQueueTime
}

// forbidsAttempt reports whether the level in force forbids the attempt of r with the given number.
func (d *degradation) forbidsAttempt(r *request, number int) bool {
	if number == 0 || d.controller.DryRun() {
		return false
	}
	effect := d.effect(r)
	if effect.MaxAttempts > 0 && number >= effect.MaxAttempts {
		return true
	}
	return effect.NoHedging && r.hasAttemptInFlight() // the attempt would be a hedged request
}

// recordServiceTime records that a server took duration for r.
func (d *degradation) recordServiceTime(r *request, duration time.Duration) {
	if window := d.classes[r.req.Class]; window != nil {
		window.Work += serviceTimeGain * (duration.Seconds() - window.Work)
	}
}

// recordAnswer counts the answer to r as on time or late. A conflict and a rejection by the rate limit are not
// counted, because they say nothing about the servers.
func (d *degradation) recordAnswer(r *request, outcome Outcome, now policy.Time) {
	window := d.classes[r.req.Class]
	if window == nil {
		return
	}
	age := now - r.receivedAt
	switch {
	case outcome == Served && age <= window.latencyObjective:
		window.OnTime++
	case outcome == Rejected && age < maxImmediateRejectionAge && len(r.attempts) == 0, outcome == Conflict:
	default:
		window.Late++
	}
}

// step passes the counts of the last second to the controller, and starts new counts. If the level changes, changed
// is true and event describes the change.
func (d *degradation) step(now policy.Time, requests map[string]*request) (event levels.Event, changed bool) {
	d.countOpen(requests)
	seconds := make(map[string]levels.Window, len(d.classes))
	for name, window := range d.classes {
		seconds[name] = window.Window
		window.Window = levels.Window{Work: window.Work}
	}
	before, _, _ := d.controller.Level()
	d.controller.Step(now, seconds)
	after, _, _ := d.controller.Level()
	if before == after {
		return levels.Event{}, false
	}
	events := d.controller.Events()
	return events[len(events)-1], true
}

// countOpen counts, by class, the open requests, and the open requests without an attempt.
func (d *degradation) countOpen(requests map[string]*request) {
	for _, r := range requests {
		window := d.classes[r.req.Class]
		if window == nil || r.finished {
			continue
		}
		window.Open++
		if len(r.attempts) == 0 {
			window.Queued++
		}
	}
}
