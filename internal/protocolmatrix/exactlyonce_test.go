package protocolmatrix

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/msgpackrpc"
)

// Many calls run at once while connections are cut at random bytes, those to the servers and those of clients, which
// retry the same request: each has one answer, no non-idempotent one runs twice, and no keyed one has its effect twice.
// EXACTLY_ONCE in the environment sets the number of calls a pair, SEED the places of the cuts.
func TestExactlyOnce_UnderCutConnections(t *testing.T) {
	calls, seed := 400, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("EXACTLY_ONCE")); err == nil && n > 0 {
		calls = n
	}
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		seed = n
	}
	for i, pair := range protocolPairs {
		for _, cutClients := range []bool{false, true} {
			t.Run(fmt.Sprint(pair.name, "/clients cut=", cutClients), func(t *testing.T) {
				t.Parallel()
				draw := newDraw(seed, uint64(i))
				load := &cutLoad{calls: calls, minServed: calls / 2, draw: draw}
				for range 4 {
					load.apps = append(load.apps, newAppServer(t, func() int { return 200 + draw(6000) }))
				}
				var clientCut func() int
				if cutClients { // a cut loses many calls at once where they share a connection
					clientCut = func() int { return 4000 + draw(40_000) }
					load.minServed = calls / 4
				}
				load.call = pair.start(t, clientCut, load.apps...).call
				load.run(t)
				load.check(t)
			})
		}
	}
}

// newDraw returns a random source of integers below n that goroutines may share.
func newDraw(seed, stream uint64) func(n int) int {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, stream))
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
}

// finalOutcomes are the answers that a node gives; any other outcome is an answer that was lost.
var finalOutcomes = []string{"served done", "failed", "refused", "conflict"}

// maxRetries bounds how often a client retries a call whose answer was lost.
const maxRetries = 20

// cutLoad is a number of calls to a node whose connections are cut.
type cutLoad struct {
	call      callFunc
	apps      []*appServer
	calls     int
	minServed int
	draw      func(n int) int

	outcomes sync.Map // by request ID
}

// run sends all calls from 16 workers.
func (l *cutLoad) run(t *testing.T) {
	t.Helper()
	var started atomic.Int64
	var workers sync.WaitGroup
	for range 16 {
		workers.Go(func() {
			for n := started.Add(1); n <= int64(l.calls); n = started.Add(1) {
				request := l.request(n)
				outcome := l.call(t.Context(), request)
				for retry := 0; retry < maxRetries && !slices.Contains(finalOutcomes, outcome); retry++ {
					outcome = l.call(t.Context(), request)
				}
				if _, twice := l.outcomes.LoadOrStore(request.ID, outcome); twice {
					t.Errorf("%s was answered twice", request.ID)
				}
			}
		})
	}
	workers.Wait()
}

// request is the n-th call, of a class that goes by n.
func (l *cutLoad) request(n int64) msgpackrpc.Call {
	call := msgpackrpc.Call{
		ID: fmt.Sprint("r", n), Class: []string{"read", "pay", "undo"}[n%3], Tenant: "t", Timeout: 8 * time.Second,
		Target: "/api",
	}
	if call.Class != "read" {
		call.Body = make([]byte, l.draw(300))
	}
	if call.Class == "undo" {
		call.IdempotencyKey = fmt.Sprint("k", n)
	}
	return call
}

// check holds the outcomes against what the servers executed.
func (l *cutLoad) check(t *testing.T) {
	t.Helper()
	counts := make(map[string]int)
	for n := 1; n <= l.calls; n++ {
		counts[l.checkCall(t, n)]++
	}
	t.Logf("%v", counts)
	if counts["served done"] < l.minServed {
		t.Errorf("only %d of %d served", counts["served done"], l.calls)
	}
}

// checkCall checks the n-th call, and returns its outcome, "lost" for none.
func (l *cutLoad) checkCall(t *testing.T, n int) string {
	t.Helper()
	id := fmt.Sprint("r", n)
	got, _ := l.outcomes.Load(id)
	outcome := got.(string)
	if !slices.Contains(finalOutcomes, outcome) {
		outcome = "lost"
	}
	executions, spread := l.executions(id, fmt.Sprint("k", n))
	nonIdempotent := n%3 == 1
	switch {
	case spread > dedupWindow:
		t.Errorf("%s was sent again %v later, when its key was forgotten", id, spread)
	case nonIdempotent && executions > 1:
		t.Errorf("%s of the non-idempotent class ran %d times: %s", id, executions, outcome)
	case outcome == "served done" && executions == 0, outcome == "refused" && nonIdempotent && executions > 0:
		t.Errorf("%s ran %d times and is %s", id, executions, outcome)
	case outcome == "lost":
		t.Errorf("%s has no answer after %d retries: %s", id, maxRetries, got)
	}
	return outcome
}

// executions counts the executions of a request at all servers, and returns the time between the first at the server
// that ran the key first and the first at the server that ran it last.
func (l *cutLoad) executions(id, key string) (count int, spread time.Duration) {
	var firstRuns []time.Time
	for _, app := range l.apps {
		app.mu.Lock()
		count += app.executions[id]
		if at, ok := app.firstRun[key]; ok {
			firstRuns = append(firstRuns, at)
		}
		app.mu.Unlock()
	}
	if len(firstRuns) == 0 {
		return count, 0
	}
	slices.SortFunc(firstRuns, time.Time.Compare)
	return count, firstRuns[len(firstRuns)-1].Sub(firstRuns[0])
}
