package testkit

import (
	"sync"
	"testing"
	"time"
)

// pauseProbeInterval is the interval at which MeasurePauses checks for delays.
const pauseProbeInterval = time.Millisecond

// MeasurePauses measures until the end of the test how late goroutines of this process run after they are due. The
// returned function returns the longest delay so far. A test that depends on timing, such as that of a client that
// sends at a given time, uses it to tell a slow host from a fault.
func MeasurePauses(t testing.TB) (longest func() time.Duration) {
	t.Helper()
	var (
		mu      sync.Mutex
		maximum time.Duration
		probe   sync.WaitGroup
		stop    = make(chan struct{})
	)
	probe.Go(func() {
		timer := time.NewTimer(pauseProbeInterval)
		defer timer.Stop()
		for {
			due := time.Now().Add(pauseProbeInterval)
			timer.Reset(pauseProbeInterval)
			select {
			case <-timer.C:
			case <-stop:
				return
			}
			mu.Lock()
			maximum = max(maximum, time.Since(due))
			mu.Unlock()
		}
	})
	t.Cleanup(func() {
		close(stop)
		probe.Wait()
	})
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return maximum
	}
}

// LogPausesOnFailure makes a failing test log how late goroutines of this process ran during it.
func LogPausesOnFailure(t testing.TB) {
	t.Helper()
	longest := MeasurePauses(t)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("longest pause of the host: %v", longest())
		}
	})
}
