package consensus

import "time"

// Clock is the clock of a process. Its functions are fields, so that tests can make a clock drift and jump. Several
// goroutines may call the functions at once.
type Clock struct {
	Monotonic func() time.Duration // time since a fixed moment in the past
	Wall      func() time.Time
}

// SystemClock returns a clock that reads the system's time.
func SystemClock() Clock {
	start := time.Now()
	return Clock{Monotonic: func() time.Duration { return time.Since(start) }, Wall: time.Now}
}
