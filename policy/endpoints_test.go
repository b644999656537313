package policy

import (
	"testing"
	"time"
)

// When the list changes, the servers at the start of a node's walk change: new ones there must not keep
// the small part that others' servers get, or a release leaves the node with nothing it may use.
func TestSubset_NewServersGetItsThreshold(t *testing.T) {
	list := testEndpoints(12)
	b := startBalancer(t, testSettings(12), list)
	first := b.order[0].Server
	b.Handle(ms, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{{Server: first, Zone: "a", Availability: Draining}}})
	for _, s := range b.order {
		if s.inSubset && s.threshold < b.initialThreshold(s) {
			t.Errorf("%s is the node's own with a threshold of %v, want at least %v", s.Server, s.threshold, b.initialThreshold(s))
		}
	}
	if b.order[0].Server == first || !b.order[0].inSubset {
		t.Errorf("order starts at %s, own %v", b.order[0].Server, b.order[0].inSubset)
	}
}

// A failed call for the list, or a lost subscription, is repeated soon enough to count as asking, and not
// by all nodes at once.
func TestEndpointList_FailedWatchIsRepeatedWithJitter(t *testing.T) {
	waits := map[time.Duration]bool{}
	for n := range 8 {
		settings := testSettings(8)
		settings.Node, settings.Subscribe = n, true
		within := 4 * watchRetryDelay
		if n >= 4 {
			settings.Rules.MaxPollInterval = 500 * ms
			within = 4 * settings.Rules.MaxPollInterval // after a failed call; beyond, the list counts as told
		}
		b, err := New(settings, 0, 7)
		if err != nil {
			t.Fatal(err)
		}
		if len(actionsOf(b.Handle(0, EndpointList{Kind: ListRestored}), WatchEndpoints)) != 1 {
			t.Fatal("no subscription at the start")
		}
		timers := actionsOf(b.Handle(ms, EndpointList{Kind: ListUnavailable}), SetTimer)
		if len(timers) != 1 || timers[0].Wait < within/8 || timers[0].Wait > within*3/4 {
			t.Fatalf("after a failed call: %+v", timers)
		}
		waits[timers[0].Wait] = true
		if len(actionsOf(b.Handle(timers[0].Wait+ms, Timer{Token: timers[0].Token}), WatchEndpoints)) != 1 {
			t.Error("not asked again")
		}
	}
	if len(waits) < 8 {
		t.Errorf("8 nodes wait only %d different times", len(waits))
	}
}
