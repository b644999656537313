package policy

import (
	"math"
	"time"
)

const (
	rateWindow         = time.Second  // window of the limits derived from quotas; also Retry-After for a quota of 0
	burstSeconds       = 0.5          // bucket capacity for a quota, in seconds of its rate; admits bursts
	minBurst           = 3            // minimum bucket capacity, so that small quotas still admit a small burst
	maxBuckets         = 4096         // limits memory if clients send unknown tenants; further tenants share one bucket
	refillCompensation = 1 / math.Ln2 // with Poisson arrivals, a refill of whole tokens admits only ln 2 of the rate

	rateScaleStep     = 0.02 // relative change per selection; balanced if half of the selections find capacity
	minRateScale      = 0.3  // a lower scale would reject traffic within quotas during faults that shedding can't cure
	cautiousRateScale = 1.5  // above this value, rateScale rises only while few outcomes are bad
	maxBadRatio       = 0.06 // maximum badRatio at which rateScale may exceed cautiousRateScale
	maxRateScale      = 3.0  // a higher scale gains little
)

// refill adds the tokens for the time since the last refill, rounded down, up to the burst. If it adds any tokens, it
// resets the refill time, so a fraction of a token is lost.
func (k *bucket) refill(now Time, perSecond float64, burst int64) {
	added := math.Floor((now - k.lastRefill).Seconds() * perSecond)
	if added >= 1 {
		k.tokens, k.lastRefill = min(burst, k.tokens+int64(min(added, float64(burst)))), now
	}
}

func (l Limit) perSecond() float64 {
	if l.Window <= 0 {
		return 0
	}
	return l.PerWindow / l.Window.Seconds()
}

// retryAfter returns the Retry-After for a rejected client: the time to gain one token, rounded up to whole seconds.
func (l Limit) retryAfter() time.Duration {
	rate := l.perSecond()
	if rate <= 0 {
		return l.Window
	}
	return max(1, time.Duration(math.Ceil(min(1/rate, math.MaxInt32)))) * time.Second
}

func (b *Balancer) quotaLimit(quota float64) Limit {
	rate := quota / float64(b.settings.Nodes) * refillCompensation // this node's part of the quota
	burst := max(minBurst, int64(math.Ceil(rate*burstSeconds)))
	return Limit{PerWindow: rate * rateWindow.Seconds(), Window: rateWindow, Burst: burst}
}

// resolveLimit returns the limit for a request of tenant and class, and the key of its bucket. The limit of the class
// takes precedence over the tenant's quota, and the quota over the default limit. RateLimits.Max bounds the result.
// If no limit applies, ok is false.
func (b *Balancer) resolveLimit(tenant, class string) (limit Limit, key bucketKey, ok bool) {
	key.tenant = tenant
	if override, found := b.settings.RateLimits.PerClass[class]; found {
		key.class, limit, ok = class, override, true
	} else if limit, ok = b.tenantLimits[tenant]; !ok && b.defaultLimit != nil {
		limit, ok = *b.defaultLimit, true
	}
	if maximum := b.settings.RateLimits.Max; maximum > 0 {
		limit.PerWindow, limit.Burst = min(limit.PerWindow, maximum), min(limit.Burst, int64(maximum))
	}
	return limit, key, ok
}

func (b *Balancer) admit(tenant, class string) (ok bool, retryAfter time.Duration) {
	limit, key, limited := b.resolveLimit(tenant, class)
	if !limited {
		return true, 0
	}
	limit.PerWindow = limit.PerWindow * b.rateScale * b.trafficShare
	limit.Burst = max(1, int64(math.Ceil(float64(limit.Burst)*b.trafficShare)))
	if b.buckets[key] == nil && len(b.buckets) >= maxBuckets {
		key = bucketKey{}
	}
	tokenBucket := b.buckets[key]
	if tokenBucket == nil {
		tokenBucket = &bucket{tokens: limit.Burst, lastRefill: b.now}
		b.buckets[key] = tokenBucket
	}
	tokenBucket.refill(b.now, limit.perSecond(), limit.Burst)
	if tokenBucket.tokens <= 0 {
		b.rateLimited = true
		return false, limit.retryAfter()
	}
	tokenBucket.tokens--
	return true, 0
}

func (b *Balancer) onRequest(event Request) {
	r, known := b.requests[event.ID]
	if known && !r.bodyPending {
		return // a duplicate of a request in flight
	}
	if !known {
		r = b.newRequest(event)
	}
	b.setDeadlines(r, event)
	if known { // the last byte of the body has arrived: latencies count from now
		for i := range r.attempts {
			r.attempts[i].sentAt = b.now
		}
		b.scheduleSlowCheck(r)
		return
	}
	b.requests[r.id] = r
	b.accepted = append(dropBefore(b.accepted, b.now-b.retryBudget.Window+1), b.now)
	if ok, retryAfter := b.admit(event.Tenant, event.Class); !ok {
		b.reject(r, retryAfter)
		return
	}
	b.dispatch(r)
}

func (b *Balancer) newRequest(e Request) *request {
	r := &request{id: e.ID, class: b.classes[e.Class], notReplayable: e.BodyPending, zoneLocal: e.ZoneLocal}
	if r.class == nil { // an unknown class is treated as non-idempotent
		unknown := Class{LatencyObjective: e.ExpiresIn, LateWeightFraction: 1}
		r.class = &class{Class: unknown, capabilities: b.settings.Capabilities, eligible: &b.pool}
	}
	if b.settings.KeyAffinity && e.Key != "" {
		r.keyHash = hashString(e.Key)
	}
	return r
}

// setDeadlines sets the deadlines of r. A request is queued for at most half of its objective, and at most half of
// its remaining time. A rejected client then has time left to retry elsewhere.
func (b *Balancer) setDeadlines(r *request, e Request) {
	r.deadline, r.bodyPending = b.now+e.ExpiresIn, e.BodyPending
	objective := r.class.LatencyObjective + time.Duration(r.class.ObjectiveWorkFactor*float64(e.CostHint))
	r.queueDeadline, r.valueDeadline = b.now+e.queueTime(min(objective, e.ExpiresIn)/2), r.deadline
	if r.class.LateWeightFraction <= 0 {
		r.valueDeadline = min(r.deadline, b.now+objective)
	}
}

// adjustRateScale lowers the rates of all buckets if the servers lack capacity. While servers shed load, it does not
// lower the rates below the quotas. It raises the rates if buckets reject requests while there is capacity. Fixed
// rates have two disadvantages. Nothing is shed when all servers slow down. A node that gets more than an even share
// of a tenant's traffic rejects requests within the quota.
func (b *Balancer) adjustRateScale(hasCapacity bool) {
	switch {
	case !hasCapacity && b.rateScale <= 1 && b.serversShedLoad():
	case !hasCapacity:
		b.rateScale = max(minRateScale, b.rateScale*(1-rateScaleStep))
	case b.rateScale > cautiousRateScale && b.badRatio > maxBadRatio:
		b.rateScale *= 1 - rateScaleStep
	case b.rateLimited && (b.rateScale < cautiousRateScale || b.badRatio < maxBadRatio):
		b.rateScale = min(maxRateScale, b.rateScale*(1+rateScaleStep))
	}
	b.rateLimited = false
}
