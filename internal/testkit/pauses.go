package testkit

import (
	"sync"
	"testing"
	"time"
)

// pauseProbeInterval is the interval at which a pause probe checks for delays.
const pauseProbeInterval = time.Millisecond

// StartPauseProbe measures, until stop is called, how late goroutines of this process run. The function longest
// returns the longest delay so far. The probe sees only its own process: another process may be late at other times.
func StartPauseProbe() (longest func() time.Duration, stop func()) {
	var (
		mu      sync.Mutex
		maximum time.Duration
		probe   sync.WaitGroup
		quit    = make(chan struct{})
	)
	probe.Go(func() {
		timer := time.NewTimer(pauseProbeInterval)
		defer timer.Stop()
		for {
			due := time.Now().Add(pauseProbeInterval)
			timer.Reset(pauseProbeInterval)
			select {
			case <-timer.C:
			case <-quit:
				return
			}
			mu.Lock()
			maximum = max(maximum, time.Since(due))
			mu.Unlock()
		}
	})
	longest = func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return maximum
	}
	stop = func() {
		close(quit)
		probe.Wait()
	}
	return longest, stop
}

// MeasurePauses runs a pause probe until the test ends. Tests that depend on timing use it to distinguish a slow host
// from a fault.
func MeasurePauses(t testing.TB) (longest func() time.Duration) {
	t.Helper()
	longest, stop := StartPauseProbe()
	t.Cleanup(stop)
	return longest
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
