package testkit

import (
	"sync"
	"testing"
	"time"
)

// pauseProbeInterval is the time between two looks at the clock by MeasurePauses.
const pauseProbeInterval = time.Millisecond

// MeasurePauses measures until the end of the test how late a goroutine of this process runs that is due. The returned
// function returns the longest delay so far. A test whose premise is a moment, such as a client that sends at a given
// time, uses it to tell a late host from a fault.
func MeasurePauses(t testing.TB) (longest func() time.Duration) {
	t.Helper()
	var (
		mu      sync.Mutex
		maximum time.Duration
		probe   sync.WaitGroup
		stop    = make(chan struct{})
	)
	probe.Go(func() {
		ticker := time.NewTimer(pauseProbeInterval)
		defer ticker.Stop()
		for {
			due := time.Now().Add(pauseProbeInterval)
			ticker.Reset(pauseProbeInterval)
			select {
			case <-ticker.C:
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

// LogPausesOnFailure has a test that fails log how late goroutines of this process ran during it.
func LogPausesOnFailure(t testing.TB) {
	t.Helper()
	longest := MeasurePauses(t)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("longest pause of the host: %v", longest())
		}
	})
}
