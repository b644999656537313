package checker

import (
	"slices"
	"time"
)

// requestKey identifies the n-th concurrent request (from 0) with the same ID at a node.
type requestKey struct {
	node, id string
	n        int
}

// request is a client request that a node has received. It includes the node's attempts at servers.
type request struct {
	node, id, class string
	deadline        time.Duration
	forgetAt        time.Duration
	answered        bool
	answerNotDue    bool // true after the client has disconnected or the node was killed
	rejected        bool
	attempts        []attempt
	executions      int // executions by servers that had an effect
	firstMayRun     int // index of the first attempt that may have run; -1: no such attempt
}

type attempt struct {
	server string
	sent   time.Duration
	notRun bool // true if the attempt provably did not run
}

// setAttempt records the n-th attempt. An earlier attempt that was never recorded reached no server and did not run.
func (r *request) setAttempt(n int, a attempt) {
	for len(r.attempts) <= n {
		r.attempts = append(r.attempts, attempt{notRun: true})
	}
	r.attempts[n] = a
	r.updateFirstMayRun()
}

// setNotRun records that the n-th attempt is proven not to have run.
func (r *request) setNotRun(n int) {
	if n < len(r.attempts) {
		r.attempts[n].notRun = true
		r.updateFirstMayRun()
	}
}

func (r *request) updateFirstMayRun() {
	r.firstMayRun = slices.IndexFunc(r.attempts, func(a attempt) bool { return !a.notRun })
}
