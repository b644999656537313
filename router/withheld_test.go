package router

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

// writeOrder records in which order an attempt's write and the answer to its request happen.
type writeOrder struct {
	mu     sync.Mutex
	events []string
}

func (o *writeOrder) record(event string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events = append(o.events, event)
}

// heldWrite is an attemptFunc that rests for a time between its decision to write and the write, as on a busy host.
func (o *writeOrder) heldWrite(pause time.Duration) attemptFunc {
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

// rejectAfter sends each request once, and rejects it after a time.
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

// An attempt rests between its decision to write and the write while its request is rejected: the client learns of the
// rejection after the write. A write that does not end holds it up for maxWithheld only.
func TestRejection_NoWriteAfterIt(t *testing.T) {
	const rejectedAt = 10 * ms
	for _, test := range []struct {
		name       string
		pause      time.Duration
		want       string // the first event
		answeredAt time.Duration
	}{
		{"no pause", 0, "write", rejectedAt},
		{"paused", 50 * ms, "write", 50 * ms},
		{"blocked", time.Second, "answer", rejectedAt + maxWithheld},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				order := &writeOrder{}
				r, _ := newTestRouter(t, &fakeTransport{attempt: order.heldWrite(test.pause)}, rejectAfter(rejectedAt))
				began := time.Now()
				wantDo(t, r, readRequest("r1"), Rejected)
				order.record("answer")
				if at := time.Since(began); at != test.answeredAt {
					t.Errorf("answered after %v, want %v", at, test.answeredAt)
				}
				order.mu.Lock()
				defer order.mu.Unlock()
				if order.events[0] != test.want {
					t.Errorf("%v, want first: %s", order.events, test.want)
				}
			})
		})
	}
}
