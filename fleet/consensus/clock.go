package consensus

import "time"

// Clock is the clock of a process. Its functions are fields so that tests can have them drift and jump. They may be
// called from several goroutines at once.
type Clock struct {
	Monotonic func() time.Duration // since some moment of the past
	Wall      func() time.Time
}

// SystemClock returns the clock of the machine.
func SystemClock() Clock {
	start := time.Now()
	return Clock{Monotonic: func() time.Duration { return time.Since(start) }, Wall: time.Now}
}
