package router

import (
	"container/heap"
	"time"

	"cobaltward/internal/safeguards"
	"cobaltward/policy"
)

// routerRetryAfter is the Retry-After of requests that the router rejects without the balancer.
const routerRetryAfter = time.Second

const (
	// queueTimeoutFraction is the maximum wait for a connection slot, as a fraction of the shortest class deadline.
	// Clients abandon a request after a third of its deadline at the earliest.
	queueTimeoutFraction = 0.25
	// maxQueueTimeout limits the wait for a connection slot if all deadlines are long.
	maxQueueTimeout = 300 * time.Millisecond
)

// request is an admitted request. The loop keeps the request until it is answered and all its attempts have ended.
type request struct {
	*call
	capabilities    policy.Capabilities // capabilities in force at admission
	deadline        policy.Time         // time by which the balancer must answer
	dedupWindow     time.Duration       // time for which servers remember the idempotency key; 0: no key
	backstop        timer               // answers the request if the balancer does not
	uploadCheck     timer               // checks whether the client has written the body; not set without an upload
	finished        bool                // whether the request is answered or its client has left
	attempts        []*attempt
	pendingOutcomes int // attempts whose outcome is not reported to the balancer yet
}

// admit submits call to the balancer, or answers call at once.
func (l *loop) admit(call *call) {
	now := l.clock.now()
	l.recordLag(now - call.submittedAt)
	if l.enforced(safeguards.NoAttemptAfterDisconnect) && call.clientGone() { // the client left while the call was queued
		l.stats.ClientsGone++
		return
	}
	call.reservation.admit(now)
	if l.isRetained(call.req.ID) {
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
		// The host delayed the router beyond the deadline, or a reload has changed the class since Do.
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

// isRetained reports whether the loop still has an earlier request with the ID id. An attempt may be in flight for
// longer than the ID of its request is remembered.
func (l *loop) isRetained(id string) bool {
	return l.requests[id] != nil && l.enforced(safeguards.UniqueID)
}

// reserveID marks id as in use. It returns nil if the ID must not be used. It is safe for concurrent use.
func (l *loop) reserveID(id string) *IDReservation {
	return l.ids.reserve(id, l.enforced(safeguards.UniqueID))
}

// newRequest returns the request for c under the settings in force.
func (l *loop) newRequest(c *call, class *policy.Class) *request {
	end := c.receivedAt + c.timeout
	if c.bodyPending {
		end += uploadTimeout(c.req.Upload.Length())
	}
	r := &request{call: c, capabilities: l.config.Settings.Capabilities}
	r.backstop = timer{kind: backstopTimer, request: r}
	r.uploadCheck = timer{kind: uploadTimer, request: r, index: removedTimer}
	r.deadline, r.backstop.due = l.answerTimes(end, c.timeout)
	if class.Idempotency == policy.IdempotencyKeyed {
		r.dedupWindow = class.DedupWindow
	}
	return r
}

// shouldDrop reports whether the drop fractions of the endpoint source or the level of service require the rejection
// of r. If so, it counts r as dropped or shed.
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

// track adds r to the open requests.
func (l *loop) track(r *request) {
	l.requests[r.req.ID] = r
	l.pendingAnswers++
	l.openRequests.Store(int64(l.pendingAnswers))
	heap.Push(&l.timers, &r.backstop)
	l.scheduleUploadCheck(r)
}

// balancerRequest returns the event that submits r to the balancer.
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

// class returns the class called name from the settings in force. If a reload has removed the class since Do, it
// returns an empty class, because the balancer does not know the class either.
func (l *loop) class(name string) *policy.Class {
	if class := findClass(l.config.Settings.Classes, name); class != nil {
		return class
	}
	return &policy.Class{}
}

// findClass returns the class called name; nil if there is none.
func findClass(classes []policy.Class, name string) *policy.Class {
	for i := range classes {
		if classes[i].Name == name {
			return &classes[i]
		}
	}
	return nil
}

// sameIdempotency reports whether retries of a request are equally safe under the classes a and b.
func sameIdempotency(a, b *policy.Class) bool {
	if a.Idempotency != b.Idempotency {
		return false
	}
	if a.Idempotency != policy.IdempotencyKeyed {
		return true
	}
	return a.DedupScope == b.DedupScope && a.DedupWindow == b.DedupWindow
}

// overloadRetryAfter returns the Retry-After of requests that the router rejects without the balancer.
func overloadRetryAfter(c policy.Capabilities) time.Duration {
	return clampRetryAfter(routerRetryAfter, c)
}

// clampRetryAfter limits wait to the maximum Retry-After of c. It returns 0 if c does not allow Retry-After.
func clampRetryAfter(wait time.Duration, c policy.Capabilities) time.Duration {
	switch {
	case !c.RetryAfter:
		return 0
	case c.MaxRetryAfter > 0:
		wait = min(wait, c.MaxRetryAfter)
	}
	return max(0, wait)
}

// shedAnswer returns the answer to a request r that is dropped or shed.
func shedAnswer(r *request) Answer {
	answer := Answer{Outcome: Rejected}
	if r.capabilities.RetryAfter {
		answer.RetryAfter = shedRetryAfter(r.req.ID, r.capabilities.MaxRetryAfter)
	}
	return answer
}
