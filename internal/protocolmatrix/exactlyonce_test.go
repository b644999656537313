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

// TestExactlyOnce_UnderCutConnections checks that each call gets one final answer while connections are cut.
// Connections to servers, and in half of the cases connections of clients, are cut at random bytes while many calls
// are in flight. Clients retry a call whose response was lost. No non-idempotent call may run twice, and no keyed
// call may be retried after the deduplication window. The environment variable EXACTLY_ONCE sets the number of calls
// per pair. The environment variable SEED sets the seed of the cuts.
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
				randomInt := newRandomInt(seed, uint64(i))
				load := &cutLoad{calls: calls, minServed: calls / 2, randomInt: randomInt}
				for range 4 {
					load.apps = append(load.apps, newAppServer(t, func() int { return 200 + randomInt(6000) }))
				}
				var clientCut func() int
				if cutClients { // one cut can lose many calls that share a connection
					clientCut = func() int { return 4000 + randomInt(40_000) }
					load.minServed = calls / 4
				}
				load.call = pair.start(t, clientCut, load.apps...).call
				load.run(t)
				load.check(t)
			})
		}
	}
}

// newRandomInt returns a function that returns a random integer of at least 0 and less than n. The function is safe
// for concurrent use. seed and stream determine the sequence of integers.
func newRandomInt(seed, stream uint64) func(n int) int {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, stream))
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
}

// finalOutcomes are the outcomes of calls that a node answered. Any other outcome means that the answer was lost.
var finalOutcomes = []string{"served done", "failed", "refused", "conflict"}

// maxRetries is the maximum number of retries of a call whose answer was lost.
const maxRetries = 20

// cutLoad sends calls to a node whose connections are cut, and records their outcomes.
type cutLoad struct {
	call      callFunc
	apps      []*appServer
	calls     int
	minServed int
	randomInt func(n int) int

	outcomes sync.Map // last outcome by request ID
}

// run sends all calls from 16 concurrent workers.
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
					t.Errorf("call %s has two final outcomes", request.ID)
				}
			}
		})
	}
	workers.Wait()
}

// request returns call number n. The class of the call depends on n.
func (l *cutLoad) request(n int64) msgpackrpc.Call {
	call := msgpackrpc.Call{
		ID: fmt.Sprint("r", n), Class: []string{"read", "pay", "undo"}[n%3], Tenant: "t", Timeout: 8 * time.Second,
		Target: "/api",
	}
	if call.Class != "read" {
		call.Body = make([]byte, l.randomInt(300))
	}
	if call.Class == "undo" {
		call.IdempotencyKey = fmt.Sprint("k", n)
	}
	return call
}

// check compares the outcomes of all calls with the executions at the servers.
func (l *cutLoad) check(t *testing.T) {
	t.Helper()
	counts := make(map[string]int)
	for n := 1; n <= l.calls; n++ {
		counts[l.checkCall(t, n)]++
	}
	t.Logf("number of calls by outcome: %v", counts)
	if counts["served done"] < l.minServed {
		t.Errorf("only %d of %d calls were served", counts["served done"], l.calls)
	}
}

// checkCall checks and returns the outcome of call number n. The outcome is "lost" if the call got no answer.
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
		t.Errorf("call %s was retried at another server %v later, after its deduplication window", id, spread)
	case nonIdempotent && executions > 1:
		t.Errorf("non-idempotent call %s ran %d times, with outcome %s", id, executions, outcome)
	case outcome == "served done" && executions == 0, outcome == "refused" && nonIdempotent && executions > 0:
		t.Errorf("call %s ran %d times, with outcome %s", id, executions, outcome)
	case outcome == "lost":
		t.Errorf("call %s got no answer after %d retries: %s", id, maxRetries, got)
	}
	return outcome
}

// executions returns the number of executions of the request with the given ID at all servers. spread is the time
// between the earliest and the latest of the servers' first executions with key.
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
