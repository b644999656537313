package router

import (
	"container/heap"
	"time"

	"cobaltward/internal/safeguards"
	"cobaltward/policy"
)

// routerRetryAfter is the Retry-After of requests that the router rejects without asking the balancer.
const routerRetryAfter = time.Second

const (
	// queueTimeoutFraction is the longest wait for a connection slot, as a fraction of the shortest class deadline.
	// Clients abandon a request after a third of its deadline at the earliest.
	queueTimeoutFraction = 0.25
	// maxQueueTimeout limits the wait if all deadlines are long.
	maxQueueTimeout = 300 * time.Millisecond
)

// request is an admitted request. The loop keeps it until it is answered and all its attempts have ended.
type request struct {
	*call
	capabilities    policy.Capabilities // in force when it was admitted
	deadline        policy.Time         // the time by which the balancer must answer
	dedupWindow     time.Duration       // how long servers detect duplicates of its key; 0 if it has none
	backstop        timer               // answers the request if the balancer does not
	finished        bool                // it is answered, or its client has left
	attempts        []*attempt
	pendingOutcomes int // attempts whose outcome was not reported to the balancer yet
}

// admit admits a call and submits it to the balancer, or answers it at once.
func (l *loop) admit(call *call) {
	now := l.clock.now()
	l.recordLag(now - call.submittedAt)
	if l.enforced(safeguards.NoAttemptAfterDisconnect) && call.clientGone() { // the client left while the call was queued
		l.stats.ClientsGone++
		return
	}
	if l.isDuplicate(call.req.ID, now) {
		l.deliver(call, Answer{Outcome: Conflict})
		return
	}
	if l.drained.Load() || l.pendingAnswers >= l.config.maxInFlight() {
		l.deliver(call, Answer{Outcome: Overloaded, RetryAfter: overloadRetryAfter(l.config.Settings.Capabilities)})
		return
	}
	call.completeEarlyBody()
	class := l.class(call.req.Class)
	r := l.newRequest(call, class)
	if now >= r.deadline || class.Name != "" && !sameIdempotency(class, &call.class) {
		// The host delayed the router until the deadline had passed, or a reload changed the class after Do.
		l.deliver(call, Answer{Outcome: Rejected})
		return
	}
	if l.shouldDrop(r, class, now) {
		l.deliver(call, shedAnswer(r))
		return
	}
	l.track(r)
	l.notify(l.balancerRequest(r, now))
}

// isDuplicate reports whether a request ID is in use or was used recently, and records the ID as used. The balancer
// would wait for the first request of an ID and never answer a second one; and an earlier request of an ID may have
// run, even if it is over.
func (l *loop) isDuplicate(id string, now policy.Time) bool {
	return (l.requests[id] != nil || !l.recentIDs.add(id, now)) && l.enforced(safeguards.UniqueID)
}

// newRequest returns the request of a call under the settings in force.
func (l *loop) newRequest(c *call, class *policy.Class) *request {
	end := c.receivedAt + c.timeout
	if c.bodyPending {
		end += uploadTimeout(c.req.Upload.Length())
	}
	r := &request{call: c, capabilities: l.config.Settings.Capabilities}
	r.backstop = timer{kind: backstopTimer, request: r}
	r.deadline, r.backstop.due = l.answerTimes(end, c.timeout)
	if class.Idempotency == policy.IdempotencyKeyed {
		r.dedupWindow = class.DedupWindow
	}
	return r
}

// shouldDrop reports whether a request must be dropped, by the drop fractions of the endpoint source or by the level
// of service, and counts it if so.
func (l *loop) shouldDrop(r *request, class *policy.Class, now policy.Time) bool {
	if len(l.drops) > 0 && l.drops.ShouldDrop(class.Pool, r.req.ID) {
		l.stats.Dropped++
		return true
	}
	if l.degradation != nil && l.degradation.shouldShed(r, now) {
		l.stats.Shed++
		return true
	}
	return false
}

// track adds a request to the table of open requests.
func (l *loop) track(r *request) {
	l.requests[r.req.ID] = r
	l.pendingAnswers++
	l.openRequests.Store(int64(l.pendingAnswers))
	heap.Push(&l.timers, &r.backstop)
}

// balancerRequest returns the event that reports a request to the balancer.
func (l *loop) balancerRequest(r *request, now policy.Time) policy.Request {
	ev := policy.Request{
		ID:          r.req.ID,
		Class:       r.req.Class,
		Tenant:      r.req.Tenant,
		Key:         r.req.Key,
		ExpiresIn:   r.deadline - now,
		CostHint:    r.req.CostHint,
		Retry:       r.req.IsRetry,
		BodyPending: r.bodyPending,
	}
	if l.degradation != nil {
		ev.ZoneLocal, ev.MaxQueueTime = l.degradation.restrictions(r)
	}
	return ev
}

// class returns a class of the settings in force; an empty one if a reload has removed the class since Do, in which
// case the balancer does not know the class either.
func (l *loop) class(name string) *policy.Class {
	if class := findClass(l.config.Settings.Classes, name); class != nil {
		return class
	}
	return &policy.Class{}
}

// findClass returns the class with a name; nil if there is none.
func findClass(classes []policy.Class, name string) *policy.Class {
	for i := range classes {
		if classes[i].Name == name {
			return &classes[i]
		}
	}
	return nil
}

// sameIdempotency reports whether retries of a request are equally safe under both classes.
func sameIdempotency(a, b *policy.Class) bool {
	if a.Idempotency != b.Idempotency {
		return false
	}
	if a.Idempotency != policy.IdempotencyKeyed {
		return true
	}
	return a.DedupScope == b.DedupScope && a.DedupWindow == b.DedupWindow
}

// overloadRetryAfter is the Retry-After of requests that the router rejects without asking the balancer.
func overloadRetryAfter(c policy.Capabilities) time.Duration {
	return clampRetryAfter(routerRetryAfter, c)
}

// clampRetryAfter limits a Retry-After: 0 if the settings allow none, and at most the longest wait that clients
// follow.
func clampRetryAfter(wait time.Duration, c policy.Capabilities) time.Duration {
	switch {
	case !c.RetryAfter:
		return 0
	case c.MaxRetryAfter > 0:
		wait = min(wait, c.MaxRetryAfter)
	}
	return max(0, wait)
}

// shedAnswer is the answer to a request that is dropped or shed.
func shedAnswer(r *request) Answer {
	answer := Answer{Outcome: Rejected}
	if r.capabilities.RetryAfter {
		answer.RetryAfter = shedRetryAfter(r.req.ID, r.capabilities.MaxRetryAfter)
	}
	return answer
}
