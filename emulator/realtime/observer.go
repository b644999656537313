package realtime

import (
	"slices"
	"sync"
	"time"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
)

// forgetAfter is the time for which a finished client attempt is remembered. The node's own attempts may still reach
// servers during this time.
const forgetAfter = 15 * time.Second

// observer passes observations from many goroutines to the checker and the recorder. Neither is safe for concurrent
// use.
type observer struct {
	plan      *plan.Plan
	startedAt time.Time

	mu       sync.Mutex
	checker  *checker.Checker
	recorder *result.Recorder
	requests map[string]*request // request of each client attempt, by ID of the attempt
	finished []finishedAttempt   // finished attempts, oldest first
}

type finishedAttempt struct {
	id string
	at time.Duration
}

// request is a client's request with all its attempts. The observer's lock guards the fields after work.
type request struct {
	plan.Request
	work           float64
	startedWork    float64 // work of the last attempt started by a server
	serverAttempts int
	faults         []int // indices of the faults that affected the request, ascending
}

func newObserver(p *plan.Plan, onDone func(*plan.Request, result.Outcome)) *observer {
	return &observer{
		plan: p, startedAt: time.Now(), checker: checker.New(checkerConfig(p)),
		recorder: result.NewRecorder(p, "real", onDone), requests: make(map[string]*request),
	}
}

// restartClock sets the start of the script to the current time.
func (o *observer) restartClock() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.startedAt = time.Now()
}

func (o *observer) now() time.Duration { return time.Since(o.startedAt) }

// do calls f with the time since the start of the script. It holds the lock during the call.
func (o *observer) do(f func(now time.Duration)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(o.now())
}

func (o *observer) requestArrived(r *request, lag time.Duration) {
	o.do(func(time.Duration) {
		o.recorder.RequestArrived(&r.Request)
		o.recorder.GeneratorLag(lag)
	})
}

func (o *observer) requestDone(r *request, status result.Status, clientAttempts int) {
	o.do(func(now time.Duration) {
		if status == result.Served {
			o.recorder.WorkUseful(r.startedWork)
		}
		o.recorder.RequestDone(&r.Request, result.Outcome{
			Status: status, Latency: now - r.At,
			ClientAttempts: clientAttempts, ServerAttempts: r.serverAttempts, Faults: r.faults,
		})
	})
}

// attemptStarted records the start of a client's attempt. The client waits until deadline.
func (o *observer) attemptStarted(r *request, id, node string, deadline time.Duration) {
	o.do(func(now time.Duration) {
		o.checker.RequestReceived(now, node, id, o.plan.Script.Classes[r.Class].Name, deadline)
		o.recorder.ClientAttempt()
		o.requests[id] = r
	})
}

// attemptFinished records the end of a client's attempt. It forgets attempts that ended more than forgetAfter ago.
func (o *observer) attemptFinished(id string) {
	o.do(func(now time.Duration) {
		o.finished = append(o.finished, finishedAttempt{id, now})
		for len(o.finished) > 0 && o.finished[0].at < now-forgetAfter {
			delete(o.requests, o.finished[0].id)
			o.finished = o.finished[1:]
		}
	})
}

func (o *observer) answered(node, id string, rejected bool) {
	o.do(func(now time.Duration) { o.checker.ResponseReceived(now, node, id, 0, rejected) })
}

func (o *observer) clientLeft(node, id string) {
	o.do(func(time.Duration) { o.checker.ClientLeft(node, id, 0) })
}

// serverReceived records that an attempt of a node has reached a server. It returns the client's request, or nil if
// the request is forgotten. attempt is the number of earlier attempts for the ID.
func (o *observer) serverReceived(node int, id, server string, crossZone bool) (r *request, attempt int) {
	o.do(func(now time.Duration) {
		r, attempt = o.requests[id], o.checker.Attempts(id)
		o.checker.AttemptSent(now, o.plan.Nodes[node].Name, id, attempt, server)
		o.recorder.ServerAttempt(now, attempt, crossZone)
		if r != nil {
			r.serverAttempts++
		}
	})
	return r, attempt
}

// serverRejected records that a server rejected the last attempt for an ID. The rejection proves that the attempt did
// not run.
func (o *observer) serverRejected(node int, id string) {
	o.do(func(time.Duration) { o.checker.AttemptNotRun(o.plan.Nodes[node].Name, id, o.checker.Attempts(id)-1) })
}

func (o *observer) serverExecuted(server, id string, discarded bool) {
	o.do(func(now time.Duration) { o.checker.ServerExecuted(now, server, id, discarded) })
}

func (o *observer) workStarted(r *request, work float64) {
	o.do(func(time.Duration) {
		o.recorder.WorkStarted(work)
		r.startedWork = work
	})
}

// addFault records that a fault affected a request.
func (o *observer) addFault(r *request, index int) {
	o.do(func(time.Duration) {
		if i, found := slices.BinarySearch(r.faults, index); !found {
			r.faults = slices.Insert(r.faults, i, index)
		}
	})
}

func (o *observer) serverOverloaded(server string, requests []string) {
	o.do(func(now time.Duration) { o.checker.ServerOverloaded(now, server, requests) })
}

func (o *observer) serverWarmsUp() { o.do(func(time.Duration) { o.checker.ServerStarted() }) }

func (o *observer) nodeDown(node string) { o.do(func(time.Duration) { o.checker.NodeDown(node) }) }

// endpointUpdated records that a node was notified about a server. available reports whether the server accepts new
// work; otherwise it is draining or removed.
func (o *observer) endpointUpdated(node, server string, available bool) {
	o.do(func(now time.Duration) { o.checker.EndpointUpdated(now, node, server, available) })
}

func (o *observer) level(level result.Level) { o.do(func(time.Duration) { o.recorder.Level(level) }) }

func (o *observer) invalidate(reason string) {
	o.do(func(time.Duration) { o.recorder.Invalidate(reason) })
}

// finish returns the result with the checker's verdict.
func (o *observer) finish() *result.Result {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.recorder.Finish(o.checker.Finish())
}
