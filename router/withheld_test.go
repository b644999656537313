package router

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

// writeOrder records the order of the write of an attempt and the answer to its request.
type writeOrder struct {
	mu     sync.Mutex
	events []string
}

func (o *writeOrder) record(event string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events = append(o.events, event)
}

// delayedWrite returns an attemptFunc that waits for pause between its decision to write and the write, as on a busy
// host.
func (o *writeOrder) delayedWrite(pause time.Duration) attemptFunc {
	return func(ctx context.Context, _ string, _ *Request) Result {
		guard, guarded := ctx.(interface {
			BeginWrite() bool
			EndWrite()
		})
		abandoned := ctx.(AbandonableContext).Abandoned()
		if guarded {
			abandoned = !guard.BeginWrite()
		}
		if !abandoned {
			time.Sleep(pause)
			o.record("write")
		}
		if guarded && !abandoned {
			guard.EndWrite()
		}
		<-ctx.Done()
		return Result{Code: policy.TimedOut}
	}
}

// rejectAfter returns a respondFunc that sends each request once, and rejects the request "r1" after wait.
func rejectAfter(wait time.Duration) respondFunc {
	return func(_ policy.Time, ev policy.Event) []policy.Action {
		switch ev := ev.(type) {
		case policy.Request:
			return append(sendActions(ev.ID, 1), policy.Action{Kind: policy.SetTimer, Wait: wait})
		case policy.Timer:
			return []policy.Action{{Kind: policy.Reject, ID: "r1"}, {Kind: policy.Cancel, ID: "r1"}}
		}
		return nil
	}
}

// TestRejection_NoWriteAfterAnswer checks that a rejection is withheld until the write of an attempt has ended. The
// rejection comes while the attempt is between its decision to write and the write. A write that does not end delays
// the answer by at most maxWithheld, and never beyond the client's deadline. The answer is then Failed, because the
// write may still reach the server.
func TestRejection_NoWriteAfterAnswer(t *testing.T) {
	const (
		timeout  = 500 * ms
		backstop = timeout - answerMargin/2
	)
	for _, test := range []struct {
		name       string
		pause      time.Duration
		rejectedAt time.Duration
		want       string // the first event
		outcome    Outcome
		answeredAt time.Duration
	}{
		{"no pause", 0, 10 * ms, "write", Rejected, 10 * ms},
		{"paused", 50 * ms, 10 * ms, "write", Rejected, 50 * ms},
		{"blocked", time.Second, 10 * ms, "answer", Failed, 10*ms + maxWithheld},
		{"blocked, rejected later", time.Second, 100 * ms, "answer", Failed, 100*ms + maxWithheld},
		{"blocked near the deadline", time.Second, 300 * ms, "answer", Failed, backstop},
		{"blocked nearer", time.Second, 400 * ms, "answer", Failed, backstop},
		{"blocked at the deadline", time.Second, 470 * ms, "answer", Failed, backstop},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				order := &writeOrder{}
				r, _ := newTestRouter(t, &fakeTransport{attempt: order.delayedWrite(test.pause)}, rejectAfter(test.rejectedAt))
				began := time.Now()
				req := readRequest("r1")
				req.Timeout = timeout
				wantDo(t, r, req, test.outcome)
				order.record("answer")
				if at := time.Since(began); at != test.answeredAt {
					t.Errorf("answered after %v, want %v", at, test.answeredAt)
				}
				order.mu.Lock()
				defer order.mu.Unlock()
				if order.events[0] != test.want {
					t.Errorf("events %v, want %s first", order.events, test.want)
				}
			})
		})
	}
}

// TestRejection_WaitsForWriteOfEndedAttempt checks that a rejection waits for a write that goes on after its attempt
// has ended. Such writes occur on shared connections.
func TestRejection_WaitsForWriteOfEndedAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		order := &writeOrder{}
		attempt := func(ctx context.Context, _ string, _ *Request) Result {
			guard := ctx.(WriteGuardContext)
			if guard.BeginWrite() {
				go func() {
					time.Sleep(50 * ms)
					order.record("write")
					guard.EndWrite()
				}()
			}
			return Result{Code: policy.TimedOut}
		}
		r, _ := newTestRouter(t, &fakeTransport{attempt: attempt}, rejectAfter(10*ms))
		wantDo(t, r, readRequest("r1"), Rejected)
		order.record("answer")
		if order.events[0] != "write" {
			t.Errorf("events %v, want the write first", order.events)
		}
	})
}

// TestClose_AnswersWithheldRejection checks that the answer is Failed if Close is called while a rejection is
// withheld. The answer must not claim that the request did not run.
func TestClose_AnswersWithheldRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		order := &writeOrder{}
		r, _ := newTestRouter(t, &fakeTransport{attempt: order.delayedWrite(time.Second)}, rejectAfter(10*ms))
		var closing sync.WaitGroup
		closing.Go(func() {
			time.Sleep(50 * ms)
			closeRouter(t, r)
		})
		wantDo(t, r, readRequest("r1"), Failed)
		closing.Wait()
	})
}
