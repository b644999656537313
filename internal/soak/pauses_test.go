package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// Bounds of a pauseSchedule. The operators' pages allow for a node that is held up for 0.15 s.
const (
	minPause = 5 * time.Millisecond
	maxPause = 150 * time.Millisecond
	minRun   = 20 * time.Millisecond
	maxRun   = 400 * time.Millisecond
)

// pauseSchedule stops a node and continues it, at times drawn from a seed. Its draws are its own, so that a run does
// the same with and without it.
type pauseSchedule struct {
	rng   *rand.Rand
	count int           // pauses so far
	total time.Duration // of the pauses
}

func newPauseSchedule(seed uint64) *pauseSchedule {
	const stream = 3 // of the generators that are seeded by the run's seed
	return &pauseSchedule{rng: rand.New(rand.NewPCG(seed, stream))}
}

// run pauses the node until it has ended.
func (s *pauseSchedule) run(node *nodeProcess) {
	for {
		select {
		case <-node.exited:
			return
		case <-time.After(s.between(minRun, maxRun)):
		}
		pause := s.between(minPause, maxPause)
		node.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		node.signal(syscall.SIGCONT)
		s.count++
		s.total += pause
	}
}

// between draws a duration.
func (s *pauseSchedule) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.rng.Int64N(int64(longest-shortest)))
}
