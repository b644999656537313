package protocolmatrix

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/msgpackrpc"
)

// TestPieces_AllCallsAnswered guards against calls that are cut off because the writes of their peer do not end where
// messages end. Relays on both sides of the node cut the stream within messages, so that almost every read of the node
// ends within a message. The test lasts longer than any timeout of a message. The environment variable PIECES sets its
// duration in seconds, SEED the seed of the pieces and pauses.
func TestPieces_AllCallsAnswered(t *testing.T) {
	duration, seed := 6*time.Second, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("PIECES")); err == nil && n > 0 {
		duration = time.Duration(n) * time.Second
	}
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		seed = n
	}
	for i, pair := range protocolPairs {
		t.Run(pair.name, func(t *testing.T) {
			t.Parallel()
			load := newPieceLoad(t, pair, newRandomInt(seed, uint64(i)))
			load.run(t, duration)
			load.check(t)
		})
	}
}

// pieceLoad sends calls to a node whose connections are relayed in pieces.
type pieceLoad struct {
	node      runningNode
	apps      []*appServer
	randomInt func(n int) int

	started  atomic.Int64
	outcomes sync.Map // outcome by request ID
}

func newPieceLoad(t *testing.T, pair protocolPair, randomInt func(n int) int) *pieceLoad {
	t.Helper()
	load := &pieceLoad{randomInt: randomInt}
	for range 2 {
		app := newAppServer(t, nil)
		app.http, app.msgpack = startPieceRelay(t, app.http, randomInt), startPieceRelay(t, app.msgpack, randomInt)
		load.apps = append(load.apps, app)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	load.node = pair.serve(t, relayedListener{ln, startPieceRelay(t, ln.Addr().String(), randomInt)}, load.apps)
	return load
}

// run sends calls from concurrent workers for the given duration.
func (l *pieceLoad) run(t *testing.T, duration time.Duration) {
	t.Helper()
	const workerCount, maxPause = 8, 10 * time.Millisecond
	end := time.Now().Add(duration)
	var workers sync.WaitGroup
	for range workerCount {
		workers.Go(func() {
			for time.Now().Before(end) {
				n := l.started.Add(1)
				class := []string{"read", "pay", "undo"}[n%3]
				call := msgpackrpc.Call{
					ID: fmt.Sprint("r", n), Class: class, Tenant: "t", Timeout: 8 * time.Second, Target: "/api",
				}
				if class == "undo" {
					call.IdempotencyKey = fmt.Sprint("k", n)
				}
				if class != "read" {
					call.Body = make([]byte, l.randomInt(3000))
				}
				l.outcomes.Store(call.ID, l.node.call(t.Context(), call))
				time.Sleep(time.Duration(l.randomInt(int(maxPause))))
			}
		})
	}
	workers.Wait()
}

// check checks that each call got a final outcome and that no non-idempotent call ran twice.
func (l *pieceLoad) check(t *testing.T) {
	t.Helper()
	counts := make(map[string]int)
	for n := int64(1); n <= l.started.Load(); n++ {
		id := fmt.Sprint("r", n)
		outcome, _ := l.outcomes.Load(id)
		counts[outcome.(string)]++
		if !slices.Contains(finalOutcomes, outcome.(string)) {
			t.Errorf("call %s got no answer: %s", id, outcome)
		}
		executions := 0
		for _, app := range l.apps {
			app.mu.Lock()
			executions += app.executions[id]
			app.mu.Unlock()
		}
		if isNonIdempotent := n%3 == 1; isNonIdempotent && executions > 1 {
			t.Errorf("non-idempotent call %s ran %d times", id, executions)
		}
	}
	t.Logf("number of calls by outcome: %v", counts)
	if served := counts["served done"]; int64(served) < l.started.Load()/2 {
		t.Errorf("only %d of %d calls were served", served, l.started.Load())
	}
}
