package policy

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestSelection_FillsOwnZoneInIDOrder(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(4))
	for _, s := range b.order {
		s.threshold = 1
	}
	var got []string
	for i := range 4 {
		got = append(got, sentServer(t, b.Handle(ms, testRequest(fmt.Sprint(i), "idempotent"))))
	}
	if want := []string{"s00", "s02", "s01", "s03"}; !reflect.DeepEqual(got, want) {
		t.Errorf("with a threshold of one: sent to %v, want %v", got, want)
	}
}

// Nodes begin their walks apart, and a key has the same sticky server for all nodes of a zone.
func TestSelection_StaggersNodesAndSharesStickyServers(t *testing.T) {
	firsts := map[string]bool{}
	homes := map[string]bool{}
	for n := range 6 {
		settings := testSettings(6)
		settings.Node, settings.KeyAffinity = n, true
		b := startBalancer(t, settings, testEndpoints(24))
		firsts[b.order[0].Server] = true
		homes[b.stickyServers(&request{class: b.activeClasses[0], keyHash: hashString("acct/1")})[0].Server] = true
	}
	if len(firsts) < 5 {
		t.Errorf("6 nodes begin at only %d servers", len(firsts))
	}
	if len(homes) != 1 {
		t.Errorf("one key has %d sticky servers", len(homes))
	}
}

// A key's second sticky server takes over in the same order at every node of a zone.
func TestStickyServers_SecondTakesOverAtAllNodes(t *testing.T) {
	seen := map[string]bool{}
	for n := range 6 {
		settings := testSettings(6)
		settings.Node, settings.KeyAffinity = n, true
		b := startBalancer(t, settings, testEndpoints(24))
		homes := b.stickyServers(&request{class: b.activeClasses[0], keyHash: hashString("acct/1")})
		homes[0].health.ejected = true
		r := testRequest("x", "idempotent")
		r.Key = "acct/1"
		seen[sentServer(t, b.Handle(time.Second, r))] = true
		if homes[0] == homes[1] || homes[1] == homes[2] {
			t.Error("a server is sticky twice")
		}
	}
	if len(seen) != 1 {
		t.Errorf("without its first sticky server the key goes to %d servers, want one", len(seen))
	}
}

// Where nodes outnumber servers, none has a server of its own: each trusts several with its part of what all
// nodes do, over time. Were it to trust the first of its walk with two attempts, that server would get all
// that a node sends, times however many nodes begin there, while others stand idle.
func TestSelection_SpreadsWhereNodesOutnumberServers(t *testing.T) {
	const requests = 40
	b := startBalancer(t, testSettings(80), testEndpoints(40))
	sent := make(map[string]int)
	for i := range requests { // one after another, 10 a second, before much is learned
		now, id := time.Duration(i)*100*ms, fmt.Sprint(i)
		server := sentServer(t, b.Handle(now, testRequest(id, "idempotent")))
		sent[server]++
		b.Handle(now+50*ms, testOutcome(id, 0, server, OK, 50*ms))
	}
	for server, n := range sent {
		if n > requests*3/4 {
			t.Errorf("%s got %d of %d requests; its walk has %d servers of its own", server, n, requests, b.subsetSize)
		}
	}
}

// A node that sends little to each of many servers must not need many answers to see that one has slowed
// down: all nodes would go on filling it until each has had them.
func TestSelection_SendsLessAfterFirstSlowAnswer(t *testing.T) {
	b := startBalancer(t, testSettings(80), testEndpoints(40))
	const from = 10 * time.Second // all have capacity by then
	slow := sentServer(t, b.Handle(from, testRequest("slow", "idempotent")))
	b.Handle(from+time.Second, testOutcome("slow", 0, slow, OK, time.Second))
	part := b.effectiveThreshold(b.servers[slow])
	for now := from + time.Second; now < from+3500*ms; now += 100 * ms {
		id := fmt.Sprint(now)
		server := sentServer(t, b.Handle(now, testRequest(id, "idempotent")))
		if server == slow {
			t.Fatalf("trusted with an attempt for %.2f of the time, which took 1s, and sent another after %v", part, now-from)
		}
		b.Handle(now+20*ms, testOutcome(id, 0, server, OK, 20*ms))
	}
}

// An answer in no time at all, as a transport in memory gives, must not make a server's crowding no number: then
// nothing would compare with it any more.
func TestProjectedLoad_IsNumberAfterZeroLatency(t *testing.T) {
	b := startBalancer(t, testSettings(80), testEndpoints(40))
	server := sentServer(t, b.Handle(ms, testRequest("1", "idempotent")))
	b.Handle(ms, testOutcome("1", 0, server, OK, 0))
	if c := b.projectedLoad(b.servers[server]); !(c >= 0) {
		t.Errorf("crowding %v", c)
	}
}
