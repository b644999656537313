// Package cpuyield keeps long work from holding requests up on few cores.
package cpuyield

import "time"

const (
	work = 200 * time.Microsecond // at a stretch
	rest = 50 * time.Microsecond  // after it; timers make it somewhat more
)

// Yielder has long work rest now and then. To yield by runtime.Gosched is not enough: as long as anything
// can run, the scheduler looks at the network every 10 ms only, and what a request waits for has come by
// then. The zero value is ready to use, by one goroutine.
type Yielder struct{ since time.Time }

// YieldIfDue rests if it is time to. Call it every few steps of the work.
func (p *Yielder) YieldIfDue() {
	now := time.Now()
	switch {
	case p.since.IsZero():
		p.since = now
	case now.Sub(p.since) >= work:
		time.Sleep(rest)
		p.since = time.Now()
	}
}
