package router

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

// TestLoop_OrderOfBalancerEvents checks that the balancer receives the events around one served request in order. The
// events are the restored endpoint list, the request, a single outcome with Answered set, and the timer that the
// balancer requests.
func TestLoop_OrderOfBalancerEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		respond := func(_ policy.Time, ev policy.Event) []policy.Action {
			switch ev := ev.(type) {
			case policy.Request:
				return sendActions(ev.ID, 1)
			case policy.Outcome:
				return []policy.Action{{Kind: policy.SetTimer, Token: 77, Wait: ms}}
			}
			return nil
		}
		r, balancer := newTestRouter(t, &fakeTransport{attempt: serveAtOnce}, respond)
		answer := wantDo(t, r, readRequest("r1"), Served)
		if string(answer.Body) != "yes" {
			t.Errorf("body %q, want yes", answer.Body)
		}
		time.Sleep(2 * ms)
		balancer.wantEvents(t, "list 2", "request r1", outcomeName("r1", 0, policy.OK, true), "timer 77")
	})
}

// TestLoop_StalledHost checks that the loop recovers after the host has not run it for 300 ms. Expired requests get
// one answer and are not sent. An endpoint update is applied before requests that were queued ahead of the update.
// The lag is reported.
func TestLoop_StalledHost(t *testing.T) {
	for range 10 { // select chooses a ready channel at random: one run could pass by chance
		synctest.Test(t, testStalledHost)
	}
}

// stallOn returns a respondFunc that sends each request once. The request "stall" blocks the loop for the duration
// stall. The function appends the IDs of received requests, and "list" for each endpoint list, to order.
func stallOn(order *[]string, stall time.Duration) respondFunc {
	return func(_ policy.Time, ev policy.Event) []policy.Action {
		switch ev := ev.(type) {
		case policy.Request:
			*order = append(*order, ev.ID)
			if ev.ID == "stall" {
				time.Sleep(stall)
			}
			return sendActions(ev.ID, 1)
		case policy.EndpointList:
			*order = append(*order, "list")
		}
		return nil
	}
}

func testStalledHost(t *testing.T) {
	var order []string
	transport := &fakeTransport{attempt: serveAtOnce}
	source := &fakeSource{updates: make(chan EndpointUpdate)}
	r, balancer := newTestRouter(t, transport, stallOn(&order, 300*ms), WithEndpointSource(source))
	patient := []<-chan doResult{startDo(t.Context(), r, readRequest("stall"))}
	synctest.Wait()
	var late []<-chan doResult
	for i := range 20 {
		req := readRequest(fmt.Sprint("late", i))
		req.Timeout = 100 * ms
		late = append(late, startDo(t.Context(), r, req))
		patient = append(patient, startDo(t.Context(), r, readRequest(fmt.Sprint("patient", i))))
	}
	synctest.Wait()
	go func() { source.updates <- EndpointUpdate{Kind: policy.ListUpdate} }()
	for _, done := range late {
		wantResult(t, "an expired request", done, Rejected)
	}
	for _, done := range patient {
		wantResult(t, "a request with time left", done, Served)
	}
	for _, sent := range transport.attemptsMade() {
		if strings.HasPrefix(sent, "late") {
			t.Errorf("%s was sent after its deadline", sent)
		}
	}
	if len(order) < 3 || order[1] != "stall" || order[2] != "list" {
		t.Errorf("the endpoint update was not applied before the queued requests: %v", order[:min(4, len(order))])
	}
	if lag := r.Stats().Lag; lag.Max < 299*ms || lag.Mean <= 0 {
		t.Errorf("lag %+v, want 300 ms", lag)
	}
	for _, name := range balancer.eventNames() {
		if strings.Contains(name, "late") {
			t.Errorf("the balancer received an expired request: %s", name)
		}
	}
}
