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
		t.Errorf("with thresholds of 1: sent to %v, want %v", got, want)
	}
}

// TestSelection_StaggersNodesAndSharesStickyServers checks that nodes start at different servers, but that all nodes
// of a zone use the same sticky server for a key.
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
		t.Errorf("6 nodes start at only %d different servers", len(firsts))
	}
	if len(sticky) != 1 {
		t.Errorf("6 nodes use %d different sticky servers for one key, want 1", len(sticky))
	}
}

// TestStickyServers_SecondTakesOverAtAllNodes checks that all nodes of a zone use the same second sticky server for a
// key if the first is ejected.
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
			t.Error("a server is listed twice among the sticky servers")
		}
	}
	if len(seen) != 1 {
		t.Errorf("with its first sticky server ejected, the key is sent to %d different servers, want one", len(seen))
	}
}

// TestSelection_SpreadsWhereNodesOutnumberServers checks that each node spreads its requests over several servers if
// nodes outnumber servers. If a node allowed two attempts in flight at the first server of its order, it would send
// all requests to that server. Other servers would be idle.
func TestSelection_SpreadsWhereNodesOutnumberServers(t *testing.T) {
	const requests = 40
	b := startBalancer(t, testSettings(80), testEndpoints(40))
	sent := make(map[string]int)
	for i := range requests { // one at a time, 10 per second, before the node has learned much
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

// TestSelection_SendsLessAfterFirstSlowAnswer checks that a node that sends little to each of many servers reacts to
// a single slow answer. Without this reaction, all nodes would keep overloading a slow server until each node has seen
// many slow answers.
func TestSelection_SendsLessAfterFirstSlowAnswer(t *testing.T) {
	b := startBalancer(t, testSettings(80), testEndpoints(40))
	const from = 10 * time.Second // all servers have capacity by then
	slow := sentServer(t, b.Handle(from, testRequest("slow", "idempotent")))
	b.Handle(from+time.Second, testOutcome("slow", 0, slow, OK, time.Second))
	threshold := b.effectiveThreshold(b.servers[slow])
	for now := from + time.Second; now < from+3500*ms; now += 100 * ms {
		id := fmt.Sprint(now)
		server := sentServer(t, b.Handle(now, testRequest(id, "idempotent")))
		if server == slow {
			t.Fatalf("threshold allows an attempt for %.2f of the time, but one that took 1s was followed by another after %v",
				threshold, now-from)
		}
		b.Handle(now+20*ms, testOutcome(id, 0, server, OK, 20*ms))
	}
}

// TestProjectedLoad_IsNumberAfterZeroLatency checks that an answer with a latency of zero, as from an in-memory
// transport, does not make the projected load NaN. Comparisons with NaN are always false.
func TestProjectedLoad_IsNumberAfterZeroLatency(t *testing.T) {
	b := startBalancer(t, testSettings(80), testEndpoints(40))
	server := sentServer(t, b.Handle(ms, testRequest("1", "idempotent")))
	b.Handle(ms, testOutcome("1", 0, server, OK, 0))
	if load := b.projectedLoad(b.servers[server]); math.IsNaN(load) || load < 0 {
		t.Errorf("projected load is %v, want a number of 0 or more", load)
	}
}
