package policy

import (
	"fmt"
	"math"
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

// Nodes start at different servers, and a key has the same sticky server for all nodes of a zone.
func TestSelection_StaggersNodesAndSharesStickyServers(t *testing.T) {
	firsts := map[string]bool{}
	sticky := map[string]bool{}
	for n := range 6 {
		settings := testSettings(6)
		settings.Node, settings.KeyAffinity = n, true
		b := startBalancer(t, settings, testEndpoints(24))
		firsts[b.order[0].Server] = true
		sticky[b.stickyServers(&request{class: b.activeClasses[0], keyHash: hashString("acct/1")})[0].Server] = true
	}
	if len(firsts) < 5 {
		t.Errorf("6 nodes begin at only %d servers", len(firsts))
	}
	if len(sticky) != 1 {
		t.Errorf("one key has %d sticky servers", len(sticky))
	}
}

// A key's second sticky server takes over in the same order at every node of a zone.
func TestStickyServers_SecondTakesOverAtAllNodes(t *testing.T) {
	seen := map[string]bool{}
	for n := range 6 {
		settings := testSettings(6)
		settings.Node, settings.KeyAffinity = n, true
		b := startBalancer(t, settings, testEndpoints(24))
		sticky := b.stickyServers(&request{class: b.activeClasses[0], keyHash: hashString("acct/1")})
		sticky[0].health.ejected = true
		r := testRequest("x", "idempotent")
		r.Key = "acct/1"
		seen[sentServer(t, b.Handle(time.Second, r))] = true
		if sticky[0] == sticky[1] || sticky[1] == sticky[2] {
			t.Error("a server is sticky twice")
		}
	}
	if len(seen) != 1 {
		t.Errorf("without its first sticky server the key goes to %d servers, want one", len(seen))
	}
}

// Where nodes outnumber servers, each sends several servers its part of what all nodes do, over time. Were the
// first in its order to get two attempts at once, that server would get all that a node sends, times however
// many nodes start there, while others stand idle.
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
			t.Errorf("%s got %d of %d requests; its subset has %d servers", server, n, requests, b.subsetSize)
		}
	}
}

// A node that sends little to each of many servers must not need many answers to see that one has slowed
// down: all nodes would keep filling it until each has seen them.
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
			t.Fatalf("allowed an attempt for %.2f of the time, which took 1s, and sent another after %v", part, now-from)
		}
		b.Handle(now+20*ms, testOutcome(id, 0, server, OK, 20*ms))
	}
}

// An answer in no time at all, as a transport in memory gives, must not make a server's projected load NaN: then
// nothing would compare with it any more.
func TestProjectedLoad_IsNumberAfterZeroLatency(t *testing.T) {
	b := startBalancer(t, testSettings(80), testEndpoints(40))
	server := sentServer(t, b.Handle(ms, testRequest("1", "idempotent")))
	b.Handle(ms, testOutcome("1", 0, server, OK, 0))
	if load := b.projectedLoad(b.servers[server]); math.IsNaN(load) || load < 0 {
		t.Errorf("projected load %v", load)
	}
}
