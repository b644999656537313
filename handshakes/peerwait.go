package handshakes

import (
	"sync/atomic"
	"time"
)

// peerWait measures how long a handshake has waited for its peer in total. One goroutine calls begin and end. total
// may be called by any goroutine. The zero value has waited for no time.
type peerWait struct {
	ended   atomic.Int64              // total duration of the waits that have ended, in nanoseconds
	beganAt atomic.Pointer[time.Time] // start of the current wait; nil: the handshake is not waiting
}

func (w *peerWait) begin(now time.Time) { w.beganAt.Store(&now) }

// end ends the current wait. newestAt is the time at which the newest bytes of the peer arrived. They may have been
// unread for some time, for which the peer is not responsible.
func (w *peerWait) end(newestAt time.Time) {
	began := w.beganAt.Swap(nil)
	w.ended.Add(int64(max(0, newestAt.Sub(*began))))
}

// total returns the total duration of all waits, including the current wait.
func (w *peerWait) total() time.Duration {
	total := time.Duration(w.ended.Load())
	if began := w.beganAt.Load(); began != nil {
		total += time.Since(*began)
	}
	return total
}
