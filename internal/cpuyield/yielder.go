// Package cpuyield keeps long computations from delaying requests when there are few CPUs.
package cpuyield

import "time"

const (
	maxBurst      = 200 * time.Microsecond // of computation without a sleep
	sleepDuration = 50 * time.Microsecond  // at least; timers make it longer
)

// Yielder interrupts a long computation by short sleeps. runtime.Gosched is not enough: while any goroutine can run,
// the scheduler polls the network every 10 ms only, and by then the data that a request waits for is late. The zero
// value is ready to use. It is not safe for concurrent use.
type Yielder struct{ burstStartedAt time.Time }

// YieldIfDue sleeps if the current burst has reached its maximum. It is to be called every few steps of a computation.
func (y *Yielder) YieldIfDue() {
	now := time.Now()
	switch {
	case y.burstStartedAt.IsZero():
		y.burstStartedAt = now
	case now.Sub(y.burstStartedAt) >= maxBurst:
		time.Sleep(sleepDuration)
		y.burstStartedAt = time.Now()
	}
}
