package policy

import (
	"testing"
	"time"
)

// TestSubset_NewServersGetInitialThreshold checks that servers that join a node's subset get the initial threshold of
// the subset. If they kept the small threshold of servers outside the subset, a rolling update would leave the node
// without capacity.
func TestSubset_NewServersGetInitialThreshold(t *testing.T) {
	b := startBalancer(t, testSettings(12), testEndpoints(12))
	first := b.order[0].Server
	draining := Endpoint{Server: first, Zone: "a", Availability: Draining}
	b.Handle(ms, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{draining}})
	for _, s := range b.order {
		if want := b.initialThreshold(s); s.inSubset && s.threshold < want {
			t.Errorf("%s in the subset has threshold %v, want at least %v", s.Server, s.threshold, want)
		}
	}
	if b.order[0].Server == first || !b.order[0].inSubset {
		t.Errorf("order starts at %s (in the subset: %v), want another server in the subset",
			b.order[0].Server, b.order[0].inSubset)
	}
}

// TestEndpointList_FailedWatchIsRepeatedWithJitter checks that a node requests the endpoint list again after a random
// delay, so that nodes do not retry at the same time. A short MaxPollInterval shortens the delay.
func TestEndpointList_FailedWatchIsRepeatedWithJitter(t *testing.T) {
	waits := map[time.Duration]bool{}
	for n := range 8 {
		settings := testSettings(8)
		settings.Node, settings.Subscribe = n, true
		within := 4 * watchRetryDelay
		if n >= 4 {
			settings.Rules.MaxPollInterval = 500 * ms
			within = 4 * settings.Rules.MaxPollInterval // the mean delay is twice MaxPollInterval
		}
		b, err := New(settings, 0, 7)
		if err != nil {
			t.Fatal(err)
		}
		if len(actionsOf(b.Handle(0, EndpointList{Kind: ListRestored}), WatchEndpoints)) != 1 {
			t.Fatal("restored list did not start one watch")
		}
		timers := actionsOf(b.Handle(ms, EndpointList{Kind: ListUnavailable}), SetTimer)
		if len(timers) != 1 || timers[0].Wait < within/8 || timers[0].Wait > within*3/4 {
			t.Fatalf("after a failed watch, got timers %+v, want one with the delay in range", timers)
		}
		waits[timers[0].Wait] = true
		if len(actionsOf(b.Handle(timers[0].Wait+ms, Timer{Token: timers[0].Token}), WatchEndpoints)) != 1 {
			t.Error("watch was not repeated when the timer expired")
		}
	}
	if len(waits) < 8 {
		t.Errorf("8 nodes use only %d different delays", len(waits))
	}
}

// TestEndpointList_QueueWaitsForWholeChange checks that queued requests wait for the last part of a change. An
// earlier part may add a server that a later part drains.
func TestEndpointList_QueueWaitsForWholeChange(t *testing.T) {
	b := startBalancer(t, testSettings(1), nil)
	if sends := actionsOf(b.Handle(ms, testRequest("r", "idempotent")), Send); len(sends) != 0 {
		t.Fatalf("sent though no server is listed: %+v", sends)
	}
	first := EndpointList{Kind: ListUpdate, Endpoints: testEndpoints(1), More: true}
	if sends := actionsOf(b.Handle(2*ms, first), Send); len(sends) != 0 {
		t.Errorf("sent before the last part of the change: %+v", sends)
	}
	drained := testEndpoints(1)
	drained[0].Availability = Draining
	last := EndpointList{Kind: ListUpdate, Endpoints: append(drained, testEndpoints(2)[1])}
	sends := actionsOf(b.Handle(3*ms, last), Send)
	if len(sends) != 1 || sends[0].Server != "s01" {
		t.Errorf("sends %+v, want one to s01, which is not draining", sends)
	}
}
