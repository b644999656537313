package handshakes

import (
	"testing"
	"time"
)

// TestCPUBudget_StaysWithinShare checks that normal tasks take only their share of the time while requests are in
// flight. Without requests in flight, normal tasks run without pauses. Urgent tasks always run without pauses.
func TestCPUBudget_StaysWithinShare(t *testing.T) {
	for _, test := range []struct {
		name             string
		inFlight, urgent bool
		atLeast, atMost  time.Duration // bounds of the total time of 100 tasks of 2 ms, with a share of 0.25
	}{
		{"requests in flight", true, false, 790 * time.Millisecond, 810 * time.Millisecond},
		{"no requests", false, false, 200 * time.Millisecond, 200 * time.Millisecond},
		{"urgent", true, true, 200 * time.Millisecond, 200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			end := runTasks(t, test.inFlight, test.urgent)
			if end < test.atLeast || end > test.atMost {
				t.Errorf("100 tasks took %v, want %v to %v", end, test.atLeast, test.atMost)
			}
		})
	}
}

// runTasks runs 100 tasks of 2 ms each on one core with a share of 0.25. It returns the total time, including pauses.
func runTasks(t *testing.T, inFlight, urgent bool) (end time.Duration) {
	t.Helper()
	const duration = 2 * time.Millisecond
	budget := NewCPUBudget(0.25, 1)
	var tasks []*Task
	for range 100 {
		task := &Task{Urgent: urgent}
		tasks = append(tasks, task)
		budget.Enqueue(task)
	}
	now := time.Duration(0)
	for _, task := range tasks {
		started, wait := budget.Next(now, inFlight)
		if wait > 0 {
			now += wait
			started, _ = budget.Next(now, inFlight)
		}
		if len(started) != 1 || started[0] != task {
			t.Fatalf("%d tasks started, want the next one alone", len(started))
		}
		if more, _ := budget.Next(now, inFlight); more != nil {
			t.Fatal("two tasks run at once on one core")
		}
		now += duration
		budget.Finish(now, task, duration)
	}
	return now
}

// TestCPUBudget_PauseIsBounded checks that the pause after a very long task is at most maxPause, that urgent tasks
// ignore the pause, and that a cancelled task never starts.
func TestCPUBudget_PauseIsBounded(t *testing.T) {
	budget := NewCPUBudget(0.01, 1)
	first, second, urgent := &Task{}, &Task{}, &Task{Urgent: true}
	budget.Enqueue(first)
	budget.Enqueue(second)
	_, _ = budget.Next(0, true)
	budget.Finish(time.Second, first, time.Second)
	if _, wait := budget.Next(time.Second, true); wait <= 0 || wait > maxPause {
		t.Errorf("a task of 1 s is followed by a pause of %v, want more than 0 and at most %v", wait, maxPause)
	}
	budget.Enqueue(urgent)
	if started, _ := budget.Next(time.Second, true); len(started) != 1 || started[0] != urgent {
		t.Error("an urgent task is delayed by a pause or by a normal task")
	}
	if budget.Cancel(second) || !budget.Cancel(urgent) {
		t.Error("Cancel reports a queued task as running, or a running one as queued")
	}
	budget.Finish(time.Second, urgent, 0)
	if started, _ := budget.Next(2*time.Second, true); started != nil {
		t.Error("a cancelled task was started")
	}
}
