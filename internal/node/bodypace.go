package node

import "time"

// maxPauseCredit is by how much pauses of the node extend a read, where the node ran for most of the time: a client
// that stops within a body is owed its error within 3 s.
const maxPauseCredit = 250 * time.Millisecond

// paceLimits bounds the reads of a request's body.
type paceLimits struct {
	timeout  time.Duration // from byte to byte; 0: reads have no bound
	deadline time.Time     // of the whole body
}

// bodyPace bounds the reads of a request's body by the time for which the node has run: what a client did not send
// while the node was paused says nothing of the client, which may have been paused with it. The zero value has no
// bounds.
type bodyPace struct {
	paceLimits
	pausedBefore      time.Duration // pauses of the node before the body was read
	renew             bool          // the next read begins stallBegan anew
	stallBegan        time.Time     // since when the node has been reading without a byte
	pausedBeforeStall time.Duration // pauses of the node before that
}

// active reports whether reads have bounds.
func (b *bodyPace) active() bool { return b.timeout > 0 }

// readDeadline returns the deadline of the current read. paused is the sum of the node's pauses until now.
func (b *bodyPace) readDeadline(now time.Time, paused time.Duration) time.Time {
	pausedInStall := paused - b.pausedBeforeStall
	ran := now.Sub(b.stallBegan) - pausedInStall
	credit := pausedInStall
	if ran >= pausedInStall {
		credit = min(credit, maxPauseCredit)
	}
	wholeBody := b.deadline.Add(paused - b.pausedBefore)
	return earlierDeadline(b.stallBegan.Add(b.timeout+credit), wholeBody)
}
