package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestPlacement_HoldsForEveryAttempt checks that requests and retries of a restricted class are only sent to servers
// of the class. If none of these servers is in service, requests are queued and then rejected. The limit on ejected
// servers applies separately to the servers of the class.
func TestPlacement_HoldsForEveryAttempt(t *testing.T) {
	settings := testSettings(1)
	settings.Classes[0].Kinds = []string{"k1"} // s01, s04 and s07 of the nine servers
	b := startBalancer(t, settings, testEndpoints(9))
	eligible := map[string]bool{"s01": true, "s04": true, "s07": true}
	for i, code := range []Code{ServerError, Overloaded, ConnectFailed} {
		id := fmt.Sprint(i)
		s := sentServer(t, b.Handle(ms, testRequest(id, "idempotent")))
		if !eligible[s] {
			t.Fatalf("sent to %s, which is not of kind k1", s)
		}
		if s = sentServer(t, b.Handle(2*ms, testOutcome(id, 0, s, code, ms))); !eligible[s] {
			t.Fatalf("retry sent to %s, which is not of kind k1", s)
		}
		b.Handle(3*ms, testOutcome(id, 1, s, OK, ms))
	}
	for _, id := range []string{"s01", "s04", "s07"} {
		b.servers[id].health.faultScore = 0.6
		b.recordFault(b.servers[id], failureWeight)
	}
	if b.activeClasses[0].eligible.ejectedCount != 1 {
		t.Errorf("%d of the class's 3 servers are ejected, want 1", b.activeClasses[0].eligible.ejectedCount)
	}
	for id := range eligible {
		draining := Endpoint{Server: id, Zone: "a", Kind: "k1", Availability: Draining}
		b.Handle(4*ms, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{draining}})
	}
	acts := slices.Clone(b.Handle(5*ms, testRequest("x", "idempotent")))
	for now := 6 * ms; now < 600*ms; now += queuePollInterval {
		acts = append(acts, b.Handle(now, Timer{Token: queueTimerToken})...)
	}
	if len(actionsOf(acts, Send)) != 0 || len(actionsOf(acts, Reject)) != 1 {
		t.Errorf("with all servers of kind k1 draining: got %+v, want one Reject and no Send", acts)
	}
}

// TestPlacement_PoolRestrictsClass checks that requests of a class that is restricted to a pool are only sent to the
// current servers of the pool.
func TestPlacement_PoolRestrictsClass(t *testing.T) {
	settings := reconfigurableSettings()
	settings.Classes[0].Pool = "rooms"
	b, err := New(settings, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	setPools := func(one, two []string) {
		b.Handle(0, EndpointList{Endpoints: []Endpoint{
			{Server: "one", Zone: "a", Pools: one},
			{Server: "two", Zone: "a", Pools: two},
		}})
	}
	sentTo := func(id string) string {
		for _, a := range handle(b, 0, Request{ID: id, Class: "read", Tenant: "t", ExpiresIn: time.Second}) {
			if a.Kind == Send {
				return a.Server
			}
		}
		return ""
	}
	setPools(nil, []string{"other", "rooms"})
	if s := sentTo("r1"); s != "two" {
		t.Errorf("sent to %q, want two", s)
	}
	setPools([]string{"rooms"}, []string{"other"})
	if s := sentTo("r2"); s != "one" {
		t.Errorf("sent to %q, want one", s)
	}
	setPools(nil, []string{"other"})
	if s := sentTo("r3"); s != "" {
		t.Errorf("sent to %q, which is not in the pool", s)
	}
}
