package realtime

import (
	"slices"
	"sync"
	"time"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
)

// court is the judge and the book for facts that come from many goroutines.
type court struct {
	p     *plan.Plan
	began time.Time

	mu       sync.Mutex
	judge    *checker.Checker
	book     *result.Recorder
	requests map[string]*request // by the id of a try
	old      []string            // ids of tries that are over, oldest first, with when
	oldAt    []time.Duration
}

// request is one of a client's, with all its tries. Its fields beside the plan's are the court's.
type request struct {
	plan.Request
	work     float64
	ran      float64 // of the attempt begun last
	attempts int
	faults   []int
}

// keptFor is how long a try is known after its end: attempts of it may still come to servers.
const keptFor = 15 * time.Second

func (c *court) now() time.Duration { return time.Since(c.began) }

// do runs a fact's part under the lock, with the moment.
func (c *court) do(f func(now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.now())
}

func (c *court) taken(r *request, id string, node string, due time.Duration) {
	c.do(func(now time.Duration) {
		c.judge.RequestReceived(now, node, id, c.p.Script.Classes[r.Class].Name, due)
		c.book.ClientAttempt()
		c.requests[id] = r
	})
}

// over says that a try has come to its end.
func (c *court) over(id string) {
	c.do(func(now time.Duration) {
		c.old, c.oldAt = append(c.old, id), append(c.oldAt, now)
		for len(c.old) > 0 && c.oldAt[0] < now-keptFor {
			delete(c.requests, c.old[0])
			c.old, c.oldAt = c.old[1:], c.oldAt[1:]
		}
	})
}

func (c *court) sent(node int, id, server string, crossing bool) (r *request, attempt int) {
	c.do(func(now time.Duration) {
		r, attempt = c.requests[id], c.judge.Attempts(id)
		c.judge.AttemptSent(now, c.p.Nodes[node].Name, id, attempt, server)
		c.book.ServerAttempt(now, attempt, crossing)
		if r != nil {
			r.attempts++
		}
	})
	return r, attempt
}

// proved says that the last attempt for an id was turned away.
func (c *court) proved(node int, id string) {
	c.do(func(time.Duration) { c.judge.AttemptNotRun(c.p.Nodes[node].Name, id, c.judge.Attempts(id)-1) })
}

func (c *court) ran(server, id string, discarded bool) {
	c.do(func(now time.Duration) { c.judge.ServerExecuted(now, server, id, discarded) })
}

func (c *court) work(r *request, work float64) {
	c.do(func(time.Duration) { c.book.WorkStarted(work); r.ran = work })
}

func (c *court) met(r *request, fault int) {
	c.do(func(time.Duration) {
		if i, there := slices.BinarySearch(r.faults, fault); !there {
			r.faults = slices.Insert(r.faults, i, fault)
		}
	})
}

func (c *court) fell(server string, pushed []string) {
	c.do(func(now time.Duration) { c.judge.ServerOverloaded(now, server, pushed) })
}

func (c *court) started() { c.do(func(time.Duration) { c.judge.ServerStarted() }) }

func (c *court) told(node, server string, open bool) {
	c.do(func(now time.Duration) { c.judge.EndpointUpdated(now, node, server, open) })
}
