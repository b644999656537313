package handshakes

import (
	"net"
	"os"
	"sync"
	"time"
)

// CPUScheduler runs the computations of handshakes within a CPUBudget. Its methods may be called concurrently. A nil
// CPUScheduler imposes no limit. Its queue is bounded by the number of connections.
type CPUScheduler struct {
	hasRequests func() bool
	startedAt   time.Time

	mu         sync.Mutex
	budget     *CPUBudget
	granted    map[*Task]chan struct{} // of queued tasks; closed when the task may run
	pauseTimer *time.Timer             // fires at the end of a pause of the budget
}

// NewCPUScheduler returns a scheduler for the given number of cores. Handshakes take at most a share of them, from 0 to
// 1, while hasRequests reports requests in flight.
func NewCPUScheduler(share float64, cores int, hasRequests func() bool) *CPUScheduler {
	return &CPUScheduler{
		hasRequests: hasRequests,
		startedAt:   time.Now(),
		budget:      NewCPUBudget(share, cores),
		granted:     make(map[*Task]chan struct{}),
	}
}

// acquire waits until the task may run. It fails with os.ErrDeadlineExceeded at the deadline, and with net.ErrClosed
// when cancelled is closed.
func (s *CPUScheduler) acquire(task *Task, deadline time.Time, cancelled <-chan struct{}) error {
	if s == nil {
		return nil
	}
	granted := s.enqueue(task)
	select {
	case <-granted:
		return nil
	default:
	}
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case <-granted:
		return nil
	case <-timeout.C:
		s.cancel(task)
		return os.ErrDeadlineExceeded
	case <-cancelled:
		s.cancel(task)
		return net.ErrClosed
	}
}

// enqueue queues a task, and returns the channel that is closed when the task may run.
func (s *CPUScheduler) enqueue(task *Task) (granted chan struct{}) {
	granted = make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted[task] = granted
	s.budget.Enqueue(task)
	s.startReady()
	return granted
}

func (s *CPUScheduler) cancel(task *Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.granted, task)
	if running := s.budget.Cancel(task); running {
		s.budget.Finish(time.Since(s.startedAt), task, 0)
		s.startReady()
	}
}

// release ends a running task.
func (s *CPUScheduler) release(task *Task, taskStart time.Time) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Finish(time.Since(s.startedAt), task, time.Since(taskStart))
	s.startReady()
}

// startReady starts the tasks that may run now. The caller holds the mutex.
func (s *CPUScheduler) startReady() {
	started, wait := s.budget.Next(time.Since(s.startedAt), s.hasRequests())
	for _, task := range started {
		if granted := s.granted[task]; granted != nil {
			close(granted)
			delete(s.granted, task)
		}
	}
	if wait <= 0 {
		return
	}
	if s.pauseTimer != nil {
		s.pauseTimer.Reset(wait)
		return
	}
	s.pauseTimer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.startReady()
	})
}

// Totals returns the number of finished computations, and the time that they took together.
func (s *CPUScheduler) Totals() (finished uint64, busyTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Totals()
}
