package protocolmatrix

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
)

// result is what becomes of a request.
type result struct {
	outcome    string
	executions [2]int // at the first server and at the second
}

// failureCase is a reaction of the first server, or a fault of the request, and the result for each class. The second
// server serves all requests.
type failureCase struct {
	failure         string
	read, pay, undo result
	timeout         time.Duration // of the request; 0: 8 s
	cancels         bool          // the client cancels the request once it is at the server
}

var failureCases = []failureCase{
	sameResult("ok", "served done", onFirst),
	sameResult("slow", "served done", onFirst),
	sameResult("refuse", "served done", onSecond),
	sameResult("not_run", "served done", onSecond),
	sameResult("drain", "served done", onSecond),
	mayHaveRun("error"),
	mayHaveRun("unknown"),
	mayHaveRun("nonsense"),
	mayHaveRun("large"),
	mayHaveRun("reset"),
	mayHaveRun("half"),
	{
		failure: "hang", timeout: 300 * time.Millisecond,
		read: result{"refused", onFirst}, pay: result{"failed", onFirst}, undo: result{"refused", onFirst},
	},
	{
		failure: "hang", cancels: true,
		read: result{"left", onFirst}, pay: result{"left", onFirst}, undo: result{"left", onFirst},
	},
	sameResult("bad class", "malformed", onNone),
	{
		failure: "no key",
		read:    result{"served done", onFirst}, pay: result{"served done", onFirst}, undo: result{"malformed", onNone},
	},
	sameResult("no id", "malformed", onNone),
	sameResult("wrong method", "malformed", onNone),
	sameResult("the same id again", "conflict", onFirst),
	sameResult("a large body", "malformed", onNone),
}

// Executions at the two servers.
var (
	onFirst  = [2]int{1, 0}
	onSecond = [2]int{0, 1}
	onBoth   = [2]int{1, 1}
	onNone   = [2]int{0, 0}
)

// sameResult is a case in which all classes have the same result.
func sameResult(failure, outcome string, executions [2]int) failureCase {
	r := result{outcome, executions}
	return failureCase{failure: failure, read: r, pay: r, undo: r}
}

// mayHaveRun is a case after which the request may have run at the first server: it is retried at the second, unless it
// is not idempotent.
func mayHaveRun(failure string) failureCase {
	retried := result{"served done", onBoth}
	return failureCase{failure: failure, read: retried, pay: result{"failed", onFirst}, undo: retried}
}

// Each failure of the first server has the same result over each pair of protocols.
func TestFailures_SameResultOverPairs(t *testing.T) { testFailures(t, false) }

// The same over TLS. This is a test of its own because both at once load a small machine so much that responses are
// late.
func TestFailures_SameResultOverTLS(t *testing.T) { testFailures(t, true) }

func testFailures(t *testing.T, tls bool) {
	t.Helper()
	for _, failure := range failureCases {
		for class, want := range map[string]result{"read": failure.read, "pay": failure.pay, "undo": failure.undo} {
			for _, pair := range protocolPairs {
				if pair.tls != tls {
					continue
				}
				t.Run(fmt.Sprint(failure.failure, "/", class, "/", pair.name), func(t *testing.T) {
					if failure.timeout == 0 { // a case that is timed closely runs alone
						t.Parallel()
					}
					got := failure.runOnTime(t, pair, class)
					if got != want {
						t.Errorf("%s, ran %v; want %s, %v", got.outcome, got.executions, want.outcome, want.executions)
					}
				})
			}
		}
	}
}

// maxEngineLag is the longest delay of the engine at which a run of a case with a timeout of its own counts: the node
// answers such a request 20 ms before its timeout, and may be 10 ms late.
const maxEngineLag = 8 * time.Millisecond

// runOnTime runs the case, again while the host kept the engine from running for so long that the result says nothing.
func (c failureCase) runOnTime(t *testing.T, pair protocolPair, class string) result {
	t.Helper()
	for range 20 {
		got, lag := c.run(t, pair, class)
		if c.timeout == 0 || lag <= maxEngineLag {
			return got
		}
	}
	t.Fatal("the host delayed the engine in each of 20 runs")
	return result{}
}

func (c failureCase) run(t *testing.T, pair protocolPair, class string) (got result, lag time.Duration) {
	t.Helper()
	apps := []*appServer{newAppServer(t, nil, c.failure), newAppServer(t, nil)}
	node := pair.start(t, nil, apps...)
	call := c.request(class)
	if c.failure == "the same id again" {
		if outcome := node.call(t.Context(), call); outcome != "served done" {
			t.Fatalf("the first: %s", outcome)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	if c.cancels {
		go func() {
			defer cancel()
			for apps[0].totalExecutions() == 0 && ctx.Err() == nil {
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	pause := testkit.MeasurePauses(t)
	began := time.Now()
	outcome := node.call(ctx, call)
	t.Logf("%s after %v; longest pause of the host %v, of the engine %v; attempts:\n%s",
		outcome, time.Since(began), pause(), node.maxLag(), node.attempts)
	cancel()
	return result{outcome, [2]int{apps[0].totalExecutions(), apps[1].totalExecutions()}}, node.maxLag()
}

// request is the request of the case, with its fault.
func (c failureCase) request(class string) msgpackrpc.Call {
	call := msgpackrpc.Call{ID: "r1", Class: class, Tenant: "t", Timeout: 8 * time.Second, Target: "/api"}
	if class == "undo" {
		call.IdempotencyKey = "k1"
	}
	switch c.failure {
	case "bad class":
		call.Class = "none"
	case "no key":
		call.IdempotencyKey = ""
	case "no id":
		call.ID = ""
	case "wrong method":
		call.Method = "PUT"
	case "a large body":
		call.Body = make([]byte, 64<<10+1)
	}
	if c.timeout > 0 {
		call.Timeout = c.timeout
	}
	return call
}
