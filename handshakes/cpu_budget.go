package handshakes

import (
	"slices"
	"time"
)

// DefaultCPUShare is the fraction of the CPU that handshake computations may take while requests are in flight.
const DefaultCPUShare = 0.25

// maxPause is the maximum pause after one task. A clock step, or a time in which the process does not run, makes a
// task seem long. The maximum prevents such a task from stopping handshakes.
const maxPause = 50 * time.Millisecond

// Task is one computation of a handshake: the work between two reads from the peer.
type Task struct {
	Urgent bool // whether a request in flight waits for the task; urgent tasks run first, without pauses

	running bool
}

// CPUBudget divides the CPU between handshake computations and all other work. At most one task per core runs at a
// time. While requests are in flight, each task that is not urgent is followed by a pause that keeps these tasks
// within their share. CPUBudget is not safe for concurrent use.
type CPUBudget struct {
	share      float64
	cores      int
	running    int
	pauseUntil time.Duration // earliest start of a normal task while requests are in flight
	urgent     []*Task       // queued urgent tasks, in order of arrival
	normal     []*Task       // queued normal (not urgent) tasks, in order of arrival
	finished   uint64        // number of finished tasks
	busyTime   time.Duration // total duration of the finished tasks
}

// NewCPUBudget returns a budget for the given number of cores. share (0 to 1) is the fraction of the CPU time for
// normal tasks while requests are in flight. An invalid share is replaced by DefaultCPUShare.
func NewCPUBudget(share float64, cores int) *CPUBudget {
	if !(share > 0 && share <= 1) {
		share = DefaultCPUShare
	}
	return &CPUBudget{share: share, cores: max(1, cores)}
}

// Enqueue adds a task to its queue. Next returns the task when the task may run.
func (b *CPUBudget) Enqueue(task *Task) {
	queue := b.queueOf(task)
	*queue = append(*queue, task)
}

func (b *CPUBudget) queueOf(task *Task) *[]*Task {
	if task.Urgent {
		return &b.urgent
	}
	return &b.normal
}

// Next returns the tasks that start at time now. inFlight reports whether requests are in flight. If wait is
// positive, Next must be called again after that time.
func (b *CPUBudget) Next(now time.Duration, inFlight bool) (started []*Task, wait time.Duration) {
	for len(b.urgent) > 0 && b.running < b.cores {
		started = append(started, b.start(&b.urgent))
	}
	for len(b.normal) > 0 && b.running < b.cores {
		if inFlight && now < b.pauseUntil {
			return started, b.pauseUntil - now
		}
		started = append(started, b.start(&b.normal))
	}
	return started, 0
}

// start removes the first task from queue and marks the task as running.
func (b *CPUBudget) start(queue *[]*Task) *Task {
	task := (*queue)[0]
	(*queue)[0], *queue = nil, (*queue)[1:]
	task.running = true
	b.running++
	return task
}

// Finish ends a running task and charges elapsed to the budget. It ignores a task that is not running.
func (b *CPUBudget) Finish(now time.Duration, task *Task, elapsed time.Duration) {
	if !task.running {
		return
	}
	task.running = false
	b.running--
	elapsed = max(0, elapsed)
	b.finished++
	b.busyTime += elapsed
	if !task.Urgent {
		pause := time.Duration(float64(elapsed) * (1/b.share - 1) / float64(b.cores))
		b.pauseUntil = now + min(maxPause, pause)
	}
}

// Cancel removes a task from its queue. It reports whether the task is already running. The caller must call Finish
// for a running task.
func (b *CPUBudget) Cancel(task *Task) (running bool) {
	queue := b.queueOf(task)
	*queue = slices.DeleteFunc(*queue, func(queued *Task) bool { return queued == task })
	return task.running
}

// Totals returns the number of finished tasks and their total duration.
func (b *CPUBudget) Totals() (finished uint64, busyTime time.Duration) { return b.finished, b.busyTime }
