package protocolmatrix

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
)

// result is the outcome of a request and the number of its executions.
type result struct {
	outcome    string
	executions [2]int // numbers of executions at the first and the second server
}

// failureCase is a failure and the expected result for each class. The failure is a reaction of the first server or
// an error in the request. The second server serves all requests.
type failureCase struct {
	failure         string
	read, pay, undo result
	timeout         time.Duration // deadline of the request; 0: 8 s
	cancels         bool          // makes the client cancel the request once the first server runs the request
}

var failureCases = []failureCase{
	sameResult("ok", "served done", onFirst),
	sameResult("slow", "served done", onFirst),
	sameResult("refuse", "served done", onSecond),
	sameResult("not_run", "served done", onSecond),
	sameResult("drain", "served done", onSecond),
	mayHaveRun("error"),
	mayHaveRun("unknown"),
	mayHaveRun("invalid"),
	mayHaveRun("large"),
	mayHaveRun("reset"),
	mayHaveRun("half"),
	{
		failure: "hang", timeout: 300 * time.Millisecond,
		read: result{"refused", onFirst}, pay: result{"failed", onFirst}, undo: result{"refused", onFirst},
	},
	{
		failure: "hang", cancels: true,
		read: result{"cancelled", onFirst}, pay: result{"cancelled", onFirst}, undo: result{"cancelled", onFirst},
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

// Numbers of executions at the first and the second server.
var (
	onFirst  = [2]int{1, 0}
	onSecond = [2]int{0, 1}
	onBoth   = [2]int{1, 1}
	onNone   = [2]int{0, 0}
)

// sameResult returns a case in which requests of all classes have the same result.
func sameResult(failure, outcome string, executions [2]int) failureCase {
	r := result{outcome, executions}
	return failureCase{failure: failure, read: r, pay: r, undo: r}
}

// mayHaveRun returns a case in which the node cannot know whether the first server ran the request. The node must
// retry the request at the second server, unless the request is non-idempotent.
func mayHaveRun(failure string) failureCase {
	retried := result{"served done", onBoth}
	return failureCase{failure: failure, read: retried, pay: result{"failed", onFirst}, undo: retried}
}

// TestFailures_SameResultOverPairs checks that each failure case has the same result with each pair of protocols
// without TLS.
func TestFailures_SameResultOverPairs(t *testing.T) { testFailures(t, false) }

// TestFailures_SameResultOverTLS checks that each failure case has the same result with TLS to the servers. It is a
// separate test because running all pairs at once overloads a small machine and delays responses.
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
					if failure.timeout == 0 { // a case with its own timeout is sensitive to delays and runs alone
						t.Parallel()
					}
					got := failure.runOnTime(t, pair, class)
					if got != want {
						t.Errorf("outcome %s, executions %v; want %s, %v",
							got.outcome, got.executions, want.outcome, want.executions)
					}
				})
			}
		}
	}
}

// maxEngineLag is the maximum delay of the engine at which the result of a case with its own timeout is valid. The
// router's answer is due 20 ms before the timeout of the request, and the backstop answers 10 ms later. With a delay of
// at most 8 ms, the router answers before the backstop.
const maxEngineLag = 8 * time.Millisecond

// runOnTime runs the case and returns its result. If a case has its own timeout, the result is valid only if the host
// delays the engine by at most maxEngineLag. Otherwise runOnTime runs the case again, up to 20 times in total.
func (c failureCase) runOnTime(t *testing.T, pair protocolPair, class string) result {
	t.Helper()
	for range 20 {
		got, lag := c.run(t, pair, class)
		if c.timeout == 0 || lag <= maxEngineLag {
			return got
		}
	}
	t.Fatal("the host delayed the engine too long in each of 20 runs")
	return result{}
}

func (c failureCase) run(t *testing.T, pair protocolPair, class string) (got result, lag time.Duration) {
	t.Helper()
	apps := []*appServer{newAppServer(t, nil, c.failure), newAppServer(t, nil)}
	node := pair.start(t, nil, apps...)
	call := c.request(class)
	if c.failure == "the same id again" {
		if outcome := node.call(t.Context(), call); outcome != "served done" {
			t.Fatalf("the first request with the ID: outcome %s, want \"served done\"", outcome)
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
	startedAt := time.Now()
	outcome := node.call(ctx, call)
	t.Logf("outcome %s after %v; longest pause of the host %v, longest lag of the engine %v; attempts:\n%s",
		outcome, time.Since(startedAt), pause(), node.maxLag(), node.attempts)
	cancel()
	return result{outcome, [2]int{apps[0].totalExecutions(), apps[1].totalExecutions()}}, node.maxLag()
}

// request returns the request of the case for the given class. If the failure of the case is an error in the request,
// the request contains the error.
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
