package node

import "time"

// maxPauseCredit is by how much pauses of the node extend a client's time, where the node ran for most of it: a client
// that stops within a request is owed its error within 3 s.
const maxPauseCredit = 250 * time.Millisecond

// pauseCounter measures for how long the node's process was paused, as pausedetector.Detector does.
type pauseCounter interface {
	// Begin begins a use, which End ends.
	Begin()
	End()
	// Paused returns the sum of all pauses so far that were within a use.
	Paused() time.Duration
}

// clientTimeout bounds a client's time by that for which the node has run: what a client did not send while the node
// was paused says nothing of the client, which may have been paused with it.
type clientTimeout struct {
	began        time.Time
	pausedBefore time.Duration // pauses of the node before that
	timeout      time.Duration
}

// beginClientTimeout returns a clientTimeout that begins now.
func beginClientTimeout(timeout time.Duration, pauses pauseCounter) clientTimeout {
	pausedBefore := pauses.Paused() // ahead of began: a pause between the two is not the client's
	return clientTimeout{began: time.Now(), pausedBefore: pausedBefore, timeout: timeout}
}

// deadline returns the end of the time. paused is the sum of the node's pauses until now.
func (t *clientTimeout) deadline(now time.Time, paused time.Duration) time.Time {
	credit := paused - t.pausedBefore
	if ran := now.Sub(t.began) - credit; ran >= credit {
		credit = min(credit, maxPauseCredit)
	}
	return t.began.Add(t.timeout + credit)
}

// bodyReadLimits bounds the reads of a request's body.
type bodyReadLimits struct {
	timeout  time.Duration // from byte to byte; 0: reads have no bound
	deadline time.Time     // of the whole body
}

// bodyReads bounds the reads of a request's body. The zero value has no bounds.
type bodyReads struct {
	bodyReadLimits
	pausedBefore time.Duration // pauses of the node before the body was read
	stall        clientTimeout // since the node reads without a byte
	renew        bool          // the next read begins stall anew
}

// active reports whether reads have bounds.
func (b *bodyReads) active() bool { return b.timeout > 0 }

// readDeadline returns the deadline of the current read. paused is the sum of the node's pauses until now.
func (b *bodyReads) readDeadline(now time.Time, paused time.Duration) time.Time {
	wholeBody := b.deadline.Add(paused - b.pausedBefore)
	return earlierDeadline(b.stall.deadline(now, paused), wholeBody)
}
