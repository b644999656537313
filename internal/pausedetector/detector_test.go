package pausedetector

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestDetector_NoPause checks that a process that runs has no pauses. The detector must check the clock only while it
// is in use.
func TestDetector_NoPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var detector Detector
		for range 2 {
			detector.Begin()
			detector.Begin()
			time.Sleep(time.Second)
			detector.End()
			time.Sleep(time.Second)
			detector.End()
			if paused := detector.Paused(); paused != 0 {
				t.Errorf("paused for %v, want no pause", paused)
			}
			time.Sleep(interval)
			synctest.Wait()
			if detector.running {
				t.Error("the timer still runs though the detector is not in use")
			}
			time.Sleep(time.Hour)
		}
	})
}

// TestDetector_CountsLateLooks checks that a late check counts as a pause once. The first check after the pause may
// come from the timer or from a caller of Paused.
func TestDetector_CountsLateLooks(t *testing.T) {
	start := time.Now()
	detector := Detector{running: true, due: start.Add(interval)}
	for _, look := range []struct{ at, paused time.Duration }{
		{interval / 2, 0},
		{interval, 0},
		{2*interval + maxTimerDelay, 0},
		{3 * time.Second, 3*time.Second - 3*interval - maxTimerDelay},
		{3*time.Second + interval/2, 3*time.Second - 3*interval - maxTimerDelay},
		{3*time.Second + 2*interval, 3*time.Second - 2*interval - maxTimerDelay},
	} {
		detector.recordLocked(start.Add(look.at))
		if detector.paused != look.paused {
			t.Errorf("check at %v: paused for %v in all, want %v", look.at, detector.paused, look.paused)
		}
	}
}
