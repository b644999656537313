package handshakes

import (
	"net"
	"os"
	"sync"
	"time"
)

// CPUScheduler makes goroutines wait until a CPUBudget lets their handshake computations run. It is safe for
// concurrent use. A nil CPUScheduler imposes no limit. The queue holds at most one task per connection.
type CPUScheduler struct {
	hasRequests func() bool
	startedAt   time.Time

	mu         sync.Mutex
	budget     *CPUBudget
	granted    map[*Task]chan struct{} // by queued task: closed when the task may run
	pauseTimer *time.Timer             // expires at the end of a pause of the budget
}

// NewCPUScheduler returns a scheduler for the given number of cores. While hasRequests reports requests in flight,
// handshakes that are not urgent take at most share (0 to 1) of the CPU time of these cores.
func NewCPUScheduler(share float64, cores int, hasRequests func() bool) *CPUScheduler {
	return &CPUScheduler{
		hasRequests: hasRequests,
		startedAt:   time.Now(),
		budget:      NewCPUBudget(share, cores),
		granted:     make(map[*Task]chan struct{}),
	}
}

// acquire waits until the task may run. It returns os.ErrDeadlineExceeded at the deadline, and net.ErrClosed when
// cancelled is closed.
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

// enqueue queues a task. The returned channel is closed when the task may run.
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

// release ends task, which started at taskStart.
func (s *CPUScheduler) release(task *Task, taskStart time.Time) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Finish(time.Since(s.startedAt), task, time.Since(taskStart))
	s.startReady()
}

// startReady starts the tasks that may run now. The caller must hold s.mu.
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

// Totals returns the number of finished computations and their total duration.
func (s *CPUScheduler) Totals() (finished uint64, busyTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Totals()
}
