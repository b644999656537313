// Package checker checks the traffic of nodes against the platform's four rules. It uses the observations of clients,
// servers and discovery, not the nodes' own reports. It does no I/O and reads no clock: its input is observations
// with their times, and its output is a verdict with evidence. It forgets a request at the request's deadline plus
// lateAttemptWindow plus the deduplication window of the class.
package checker

import (
	"fmt"
	"slices"
	"time"

	"cobaltward/policy"
)

const (
	maxViolations     = 200              // maximum number of violations with evidence; further violations are only counted
	lateAttemptWindow = 10 * time.Second // time after a deadline during which attempts may still reach servers
)

// Class holds the properties of a request class that the rules depend on.
type Class struct {
	Idempotency policy.Idempotency
	DedupScope  policy.DedupScope
	DedupWindow time.Duration
}

// Config holds the parameters of the rules and of the observations.
type Config struct {
	Classes     map[string]Class
	AnswerGrace time.Duration
	DrainGrace  time.Duration
	// Slack is the largest error of observed times. It is 0 in virtual time, where times are exact.
	Slack time.Duration
	// Locate returns the zone and the cell of a server, for the scopes of deduplication. If Locate is nil, all
	// servers are in the same scope.
	Locate func(server string) (zone string, cell int64)
}

// Checker checks one run. It isn't safe for concurrent use. The times of successive calls must not decrease by more
// than Config.Slack.
type Checker struct {
	config  Config
	verdict Verdict
	open    map[requestKey]*request
	byID    map[string]*request // first open request with each ID; all attempts with the ID are attributed to it
	expiry  []*request          // requests in the order in which they were received
	// unavailableSince holds the time of the notification that a server is draining or gone, by node and server.
	unavailableSince map[[2]string]time.Duration
}

// New returns a checker that has observed nothing yet.
func New(config Config) *Checker {
	return &Checker{
		config:           config,
		verdict:          Verdict{Checked: make(map[Rule]int), Count: make(map[Rule]int)},
		open:             make(map[requestKey]*request),
		byID:             make(map[string]*request),
		unavailableSince: make(map[[2]string]time.Duration),
	}
}

// report counts a violation. It records the evidence of the first maxViolations violations.
func (c *Checker) report(violation Violation) {
	c.verdict.Count[violation.Rule]++
	if len(c.verdict.Violations) < maxViolations {
		c.verdict.Violations = append(c.verdict.Violations, violation)
	}
}

// RequestReceived records that node has received a complete request. The request's client waits for the answer until
// deadline.
func (c *Checker) RequestReceived(at time.Duration, node, id, class string, deadline time.Duration) {
	c.expire(at)
	r := &request{
		node: node, id: id, class: class, deadline: deadline, firstMayRun: -1,
		forgetAt: deadline + lateAttemptWindow + c.config.Classes[class].DedupWindow,
	}
	key := requestKey{node: node, id: id}
	for c.open[key] != nil {
		key.n++
	}
	c.open[key] = r
	if c.byID[id] == nil {
		c.byID[id] = r
	}
	c.expiry = append(c.expiry, r)
}

// ResponseReceived records that a client has received the last byte of a response. The request is the n-th (from 0)
// with the ID at the node. rejected reports whether the node rejected the request.
func (c *Checker) ResponseReceived(at time.Duration, node, id string, n int, rejected bool) {
	r := c.open[requestKey{node, id, n}]
	if r == nil {
		c.report(Violation{RuleOneAnswer, at, id, node, "", "answered without an open request"})
		return
	}
	c.verdict.Checked[RuleOneAnswer]++
	switch {
	case r.answered:
		c.report(Violation{RuleOneAnswer, at, id, node, "", "answered twice"})
	case r.answerNotDue:
	case at > r.deadline+c.config.AnswerGrace+c.config.Slack:
		c.report(Violation{RuleOneAnswer, at, id, node, "", fmt.Sprintf("answered %v after the deadline", at-r.deadline)})
	}
	r.answered = true
	r.rejected = r.rejected || rejected && !r.answerNotDue
	if rejected && n == 0 && c.config.Classes[r.class].Idempotency == policy.NonIdempotent {
		c.verdict.Checked[RuleAtMostOnce]++
		if r.executions > 0 || r.firstMayRun >= 0 {
			c.report(Violation{RuleAtMostOnce, at, id, node, "", "rejected though it may have run: the client may retry it"})
		}
	}
}

// ClientLeft records that the client of the n-th request (from 0) with the ID at the node has disconnected.
func (c *Checker) ClientLeft(node, id string, n int) {
	if r := c.open[requestKey{node, id, n}]; r != nil {
		r.answerNotDue = true
	}
}

// NodeDown records that a node was killed. The node no longer has to answer its requests, and after a restart it
// doesn't have its earlier notifications about servers.
func (c *Checker) NodeDown(node string) {
	for _, r := range c.expiry {
		if r.node == node {
			r.answerNotDue = true
		}
	}
	for key := range c.unavailableSince {
		if key[0] == node {
			delete(c.unavailableSince, key)
		}
	}
}

// EndpointUpdated records that node was notified about server. available reports whether the server accepts new work;
// otherwise the server is draining or gone.
func (c *Checker) EndpointUpdated(at time.Duration, node, server string, available bool) {
	key := [2]string{node, server}
	if available {
		delete(c.unavailableSince, key)
		return
	}
	if _, known := c.unavailableSince[key]; !known {
		c.unavailableSince[key] = at
	}
}

// AttemptSent records that node has sent the n-th attempt (from 0) for the ID completely to server.
func (c *Checker) AttemptSent(at time.Duration, node, id string, n int, server string) {
	c.verdict.Checked[RuleDrainGrace]++
	since, unavailable := c.unavailableSince[[2]string{node, server}]
	if unavailable && at > since+c.config.DrainGrace+c.config.Slack {
		c.report(Violation{
			RuleDrainGrace, at, id, node, server,
			fmt.Sprintf("sent %v after the node was notified that the server is draining or gone", at-since),
		})
	}
	r := c.byID[id]
	if r == nil || r.node != node {
		c.report(Violation{RuleOneAnswer, at, id, node, server, "sent without an open request at the node"})
		return
	}
	if r.answered && at > r.deadline-c.config.Slack || r.answered && c.config.Slack == 0 {
		c.report(Violation{RuleOneAnswer, at, id, node, server, "sent after the answer"})
	}
	c.checkRetry(at, r, server)
	r.setAttempt(n, attempt{server: server, sent: at})
}

// checkRetry checks that a new attempt at server can't repeat the effect of an earlier attempt. It compares the new
// attempt with the first earlier attempt that may have run. Idempotent requests may be retried at any server and
// time.
func (c *Checker) checkRetry(at time.Duration, r *request, server string) {
	class := c.config.Classes[r.class]
	for i, earlier := range r.attempts {
		if earlier.notRun {
			continue
		}
		c.verdict.Checked[RuleAtMostOnce]++
		if class.Idempotency == policy.Idempotent {
			continue
		}
		description := ""
		switch {
		case class.Idempotency == policy.NonIdempotent:
			description = fmt.Sprintf("sent again though attempt %d at %s may have run", i+1, earlier.server)
		case !c.sameScope(class.DedupScope, earlier.server, server):
			description = fmt.Sprintf("sent outside the deduplication scope of %s", earlier.server)
		case at > earlier.sent+class.DedupWindow+c.config.Slack:
			description = fmt.Sprintf("sent again %v after the first attempt, after the deduplication window", at-earlier.sent)
		}
		if description != "" {
			c.report(Violation{RuleAtMostOnce, at, r.id, r.node, server, description})
		}
		return
	}
}

// sameScope reports whether the servers a and b share a table of idempotency keys within a deduplication scope.
func (c *Checker) sameScope(scope policy.DedupScope, a, b string) bool {
	if scope == policy.DedupAll || c.config.Locate == nil {
		return true
	}
	zoneA, cellA := c.config.Locate(a)
	zoneB, cellB := c.config.Locate(b)
	return zoneA == zoneB && (scope == policy.DedupZone || cellA == cellB)
}

// Attempts returns the number of attempts sent so far for an ID.
func (c *Checker) Attempts(id string) int {
	if r := c.byID[id]; r != nil {
		return len(r.attempts)
	}
	return 0
}

// AttemptNotRun records that the server or the network has proven to node that the n-th attempt (from 0) did not run.
func (c *Checker) AttemptNotRun(node, id string, n int) {
	if r := c.byID[id]; r != nil && r.node == node {
		r.setNotRun(n)
	}
}

// ServerExecuted records that server has started to execute a request with the ID. discarded reports whether the
// server recognized the request as a duplicate, which has no effect.
func (c *Checker) ServerExecuted(at time.Duration, server, id string, discarded bool) {
	r := c.byID[id]
	if r == nil || discarded {
		return
	}
	r.executions++
	class := c.config.Classes[r.class]
	c.verdict.Checked[RuleAtMostOnce]++
	if class.Idempotency == policy.Idempotent {
		return
	}
	if r.executions > 1 {
		c.report(Violation{RuleAtMostOnce, at, id, r.node, server, fmt.Sprintf("executed %d times", r.executions)})
	}
	if r.rejected && class.Idempotency == policy.NonIdempotent {
		c.report(Violation{RuleAtMostOnce, at, id, r.node, server, "executed after it was rejected"})
	}
}

// ServerOverloaded records that server crashed while it was warming up. requests holds the IDs of the requests that
// overloaded the server.
func (c *Checker) ServerOverloaded(at time.Duration, server string, requests []string) {
	last := ""
	if len(requests) > 0 {
		last = requests[len(requests)-1]
	}
	node := ""
	if r := c.byID[last]; r != nil {
		node = r.node
	}
	description := fmt.Sprintf("crashed while warming up, overloaded by %d requests", len(requests))
	c.report(Violation{RuleSlowStart, at, last, node, server, description})
}

// ServerStarted counts the start of a server that warms up, as one observation for RuleSlowStart.
func (c *Checker) ServerStarted() { c.verdict.Checked[RuleSlowStart]++ }

// expire finalizes and forgets the requests whose forgetAt has passed.
func (c *Checker) expire(now time.Duration) {
	for len(c.expiry) > 0 && c.expiry[0].forgetAt < now {
		c.finalize(c.expiry[0])
		c.expiry[0] = nil
		c.expiry = c.expiry[1:]
	}
}

// finalize removes a request, and reports a violation if the request has no answer although an answer is due.
func (c *Checker) finalize(r *request) {
	if !r.answered && !r.answerNotDue {
		c.verdict.Checked[RuleOneAnswer]++
		c.report(Violation{RuleOneAnswer, r.deadline, r.id, r.node, "", "never answered"})
	}
	if c.byID[r.id] == r {
		delete(c.byID, r.id)
	}
	for n := 0; ; n++ {
		key := requestKey{r.node, r.id, n}
		if c.open[key] == r {
			delete(c.open, key)
			return
		}
		if c.open[key] == nil {
			return
		}
	}
}

// PendingRequests returns the number of requests that the checker still tracks.
func (c *Checker) PendingRequests() int { return len(c.expiry) }

// Finish finalizes the remaining requests and returns the verdict, with the violations ordered by time.
func (c *Checker) Finish() *Verdict {
	for _, r := range c.expiry {
		c.finalize(r)
	}
	c.expiry = nil
	slices.SortStableFunc(c.verdict.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	return &c.verdict
}
