package testkit

import (
	"sync"
	"testing"
	"time"
)

// pauseProbeInterval is the interval at which MeasurePauses checks for delays.
const pauseProbeInterval = time.Millisecond

// MeasurePauses measures, until the test ends, how late goroutines of this process run. The function longest returns
// the longest delay so far. Tests that depend on timing use it to distinguish a slow host from a fault.
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

// LogPausesOnFailure makes a failing test log the longest delay with which goroutines of this process ran.
func LogPausesOnFailure(t testing.TB) {
	t.Helper()
	longest := MeasurePauses(t)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("longest pause of the host: %v", longest())
		}
	})
}
