package multiprocess

import (
	"errors"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
)

// Signals with which the harness makes a process's clock jump or run fast.
const (
	clockJumpSignal = syscall.SIGUSR1
	clockRateSignal = syscall.SIGUSR2 // switches the clock between its normal and its fast rate
)

const (
	clockJump = 10 * time.Second
	fastRate  = 1.1
)

// faultyClock is a clock that jumps or runs fast when the process receives a signal.
type faultyClock struct {
	mu      sync.Mutex
	started time.Time
	rate    float64
	base    time.Duration // time shown by the clock at the last signal
	baseAt  time.Duration // real time between started and the last signal
}

// newFaultyClock returns a clock that reacts to the signals until the process ends.
func newFaultyClock() consensus.Clock {
	clock := &faultyClock{started: time.Now(), rate: 1}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, clockJumpSignal, clockRateSignal)
	go clock.followSignals(signals)
	wall := func() time.Time { return clock.started.Add(clock.monotonic()) }
	return consensus.Clock{Monotonic: clock.monotonic, Wall: wall}
}

func (c *faultyClock) followSignals(signals <-chan os.Signal) {
	for received := range signals {
		c.mu.Lock()
		c.base, c.baseAt = c.now(), time.Since(c.started)
		switch {
		case received == clockJumpSignal:
			c.base += clockJump
		case c.rate == 1:
			c.rate = fastRate
		default:
			c.rate = 1
		}
		c.mu.Unlock()
	}
}

func (c *faultyClock) monotonic() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

// now returns the time that the clock shows. The caller holds the mutex.
func (c *faultyClock) now() time.Duration {
	return c.base + time.Duration(c.rate*float64(time.Since(c.started)-c.baseAt))
}

// faultyStorage fails all writes while faultFile exists.
type faultyStorage struct {
	consensus.Storage
	faultFile string
}

var errDiskFault = errors.New("write to storage: injected fault: no space left on device")

// Save writes a batch. It fails while the fault is active.
func (s *faultyStorage) Save(batch *consensus.WriteBatch) error {
	if _, err := os.Stat(s.faultFile); err == nil {
		return errDiskFault
	}
	return s.Storage.Save(batch)
}

// Compact replaces entries by a snapshot. It fails while the fault is active.
func (s *faultyStorage) Compact(snapshot *pb.Snapshot, first fleet.Position) error {
	if _, err := os.Stat(s.faultFile); err == nil {
		return errDiskFault
	}
	return s.Storage.Compact(snapshot, first)
}
