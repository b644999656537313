package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// Bounds of the durations in a pauseSchedule. The operators' rules require a node to cope with pauses of up to 0.15 s.
const (
	minPause = 5 * time.Millisecond
	maxPause = 150 * time.Millisecond
	minRun   = 20 * time.Millisecond
	maxRun   = 400 * time.Millisecond
)

// pauseSchedule repeatedly stops and continues a node's process at random times. It has its own random generator, so
// that the pauses do not affect the other random choices of a run.
type pauseSchedule struct {
	rng   *rand.Rand
	count int           // number of pauses so far
	total time.Duration // total length of the pauses so far
}

func newPauseSchedule(seed uint64) *pauseSchedule {
	const stream = 3 // each generator with the run's seed uses its own stream
	return &pauseSchedule{rng: rand.New(rand.NewPCG(seed, stream))}
}

// run repeatedly pauses the node until its process exits.
func (s *pauseSchedule) run(node *nodeProcess) {
	for {
		select {
		case <-node.exited:
			return
		case <-time.After(s.randomDuration(minRun, maxRun)):
		}
		pause := s.randomDuration(minPause, maxPause)
		node.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		node.signal(syscall.SIGCONT)
		s.count++
		s.total += pause
	}
}

// randomDuration returns a random duration of at least shortest and less than longest.
func (s *pauseSchedule) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.rng.Int64N(int64(longest-shortest)))
}
