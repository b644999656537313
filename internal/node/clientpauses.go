package node

import "time"

// maxPauseCredit is the maximum extension of a client's timeout by pauses. The maximum does not apply if the node was
// paused for more than half of the time. A client that sends only a part of a request must get its error within 3 s.
const maxPauseCredit = 250 * time.Millisecond

// pauseCounter measures the pauses of the node's process, as pausedetector.Detector does.
type pauseCounter interface {
	// Begin starts counting. Each call of Begin needs a call of End.
	Begin()
	End()
	// Paused returns the sum of all counted pauses so far.
	Paused() time.Duration
}

// clientTimeout is a timeout for a client, extended by the node's pauses. A client that sent nothing during a pause
// is not at fault, because it may have been paused together with the node.
type clientTimeout struct {
	began        time.Time
	pausedBefore time.Duration // sum of the node's pauses before began
	timeout      time.Duration
}

// beginClientTimeout returns a clientTimeout that begins now.
func beginClientTimeout(timeout time.Duration, pauses pauseCounter) clientTimeout {
	pausedBefore := pauses.Paused() // read before began, to credit a pause between the two
	return clientTimeout{began: time.Now(), pausedBefore: pausedBefore, timeout: timeout}
}

// deadline returns the time at which the timeout expires. paused is the sum of the node's pauses until now.
func (t *clientTimeout) deadline(now time.Time, paused time.Duration) time.Time {
	credit := paused - t.pausedBefore
	if ran := now.Sub(t.began) - credit; ran >= credit {
		credit = min(credit, maxPauseCredit)
	}
	return t.began.Add(t.timeout + credit)
}

// bodyReadLimits are the time limits for reading a request's body.
type bodyReadLimits struct {
	timeout  time.Duration // maximum wait for the next bytes; 0: no limits at all
	deadline time.Time     // deadline of the whole body
}

// bodyReads applies time limits to the reads of a request's body. The zero value applies none.
type bodyReads struct {
	bodyReadLimits
	pausedBefore time.Duration // sum of the node's pauses before the body was read
	stallTimeout clientTimeout // timeout for the next bytes, from the first read that waits for them
	restartStall bool          // whether the next read restarts stallTimeout
}

// active reports whether the reads have limits.
func (b *bodyReads) active() bool { return b.timeout > 0 }

// readDeadline returns the deadline of the current read. paused is the sum of the node's pauses until now.
func (b *bodyReads) readDeadline(now time.Time, paused time.Duration) time.Time {
	wholeBody := b.deadline.Add(paused - b.pausedBefore)
	return earlierDeadline(b.stallTimeout.deadline(now, paused), wholeBody)
}
