package node

import "time"

// maxPauseCredit limits how far pauses of the node extend a client's timeout, if the node ran for at least half of
// that time: a client that stops within a request must get its error within 3 s.
const maxPauseCredit = 250 * time.Millisecond

// pauseCounter measures for how long the node's process was paused, as pausedetector.Detector does.
type pauseCounter interface {
	// Begin starts counting; each call is ended by a call of End.
	Begin()
	End()
	// Paused returns the sum of all pauses so far that were counted.
	Paused() time.Duration
}

// clientTimeout is a timeout for a client that leaves out the time for which the node was paused: a client that sent
// nothing in that time is not at fault, since it may have been paused together with the node.
type clientTimeout struct {
	began        time.Time
	pausedBefore time.Duration // sum of the node's pauses before began
	timeout      time.Duration
}

// beginClientTimeout returns a clientTimeout that begins now.
func beginClientTimeout(timeout time.Duration, pauses pauseCounter) clientTimeout {
	pausedBefore := pauses.Paused() // read before began, so that a pause between the two is credited
	return clientTimeout{began: time.Now(), pausedBefore: pausedBefore, timeout: timeout}
}

// deadline returns when the timeout expires. paused is the sum of the node's pauses until now.
func (t *clientTimeout) deadline(now time.Time, paused time.Duration) time.Time {
	credit := paused - t.pausedBefore
	if ran := now.Sub(t.began) - credit; ran >= credit {
		credit = min(credit, maxPauseCredit)
	}
	return t.began.Add(t.timeout + credit)
}

// bodyReadLimits are the time limits for reading a request's body.
type bodyReadLimits struct {
	timeout  time.Duration // longest wait for the next bytes; 0: no limits at all
	deadline time.Time     // by which the whole body must be read
}

// bodyReads applies time limits to the reads of a request's body. The zero value applies none.
type bodyReads struct {
	bodyReadLimits
	pausedBefore time.Duration // sum of the node's pauses before the body was read
	stallTimeout clientTimeout // timeout for the next bytes, from the first read that waits for them
	restartStall bool          // the next read restarts stallTimeout
}

// active reports whether there are limits.
func (b *bodyReads) active() bool { return b.timeout > 0 }

// readDeadline returns the deadline of the current read. paused is the sum of the node's pauses until now.
func (b *bodyReads) readDeadline(now time.Time, paused time.Duration) time.Time {
	wholeBody := b.deadline.Add(paused - b.pausedBefore)
	return earlierDeadline(b.stallTimeout.deadline(now, paused), wholeBody)
}
