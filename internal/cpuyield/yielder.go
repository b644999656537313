// Package cpuyield prevents long computations from delaying requests when there are few CPUs.
package cpuyield

import "time"

const (
	maxBurst      = 200 * time.Microsecond // maximum duration of a computation without a sleep
	sleepDuration = 50 * time.Microsecond  // timers make the actual sleep longer
)

// Yielder interrupts a long computation with short sleeps. runtime.Gosched is not enough: while any goroutine can
// run, the scheduler polls the network only every 10 ms. Such polling delays the data that requests wait for. The
// zero value is ready to use. A Yielder is not safe for concurrent use.
type Yielder struct{ burstStartedAt time.Time }

// YieldIfDue sleeps if the computation has run for maxBurst since the last sleep. The computation calls it every few
// steps.
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
