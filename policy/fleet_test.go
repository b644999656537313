package policy

import (
	"fmt"
	"testing"
	"time"
)

// Where nodes outnumber servers, none has a server of its own: each trusts several with its part of what all
// nodes do, over time. Were it to trust the first of its walk with two attempts, that server would get all
// that a node sends, times however many nodes begin there, while others stand idle.
func TestNodesThatOutnumberServersSpreadOverThem(t *testing.T) {
	const requests = 40
	b := start(t, site(80), members(40))
	sent := make(map[string]int)
	for i := range requests { // one after another, 10 a second, before much is learned
		now, id := time.Duration(i)*100*ms, fmt.Sprint(i)
		server := sentTo(t, b.Handle(now, ask(id, "free")))
		sent[server]++
		b.Handle(now+50*ms, outcome(id, 0, server, OK, 50*ms))
	}
	for server, n := range sent {
		if n > requests*3/4 {
			t.Errorf("%s got %d of %d requests; its walk has %d servers of its own", server, n, requests, b.subsetSize)
		}
	}
}

// A node that sends little to each of many servers must not need many answers to see that one has slowed
// down: all nodes would go on filling it until each has had them.
func TestSlowServerGetsLessFromTheFirstSlowAnswer(t *testing.T) {
	b := start(t, site(80), members(40))
	const from = 10 * time.Second // all have room by then
	slow := sentTo(t, b.Handle(from, ask("slow", "free")))
	b.Handle(from+time.Second, outcome("slow", 0, slow, OK, time.Second))
	part := b.effectiveThreshold(b.servers[slow])
	for now := from + time.Second; now < from+3500*ms; now += 100 * ms {
		id := fmt.Sprint(now)
		server := sentTo(t, b.Handle(now, ask(id, "free")))
		if server == slow {
			t.Fatalf("trusted with an attempt for %.2f of the time, which took 1s, and sent another after %v", part, now-from)
		}
		b.Handle(now+20*ms, outcome(id, 0, server, OK, 20*ms))
	}
}

// An answer in no time at all, as a transport in memory gives, must not make a server's crowding no number: then
// nothing would compare with it any more.
func TestAnswerInNoTimeLeavesCrowdingANumber(t *testing.T) {
	b := start(t, site(80), members(40))
	server := sentTo(t, b.Handle(ms, ask("1", "free")))
	b.Handle(ms, outcome("1", 0, server, OK, 0))
	if c := b.projectedLoad(b.servers[server]); !(c >= 0) {
		t.Errorf("crowding %v", c)
	}
}
