package policy

import (
	"fmt"
	"testing"
	"time"

	"cobaltward/handover"
)

// twin is one node made of two processes, the second of which takes the place of the first: requests go to the second
// in a part that grows from 0 to 1, both look at each other each 100 ms, and what the first has learned of its buckets
// goes to the second. alone leaves the first to itself.
type twin struct {
	a, b    *Balancer
	sa, sb  handover.Splitter
	taken   [2]uint64
	due     []twinOutcome
	admits  int
	toCold  []Time
	arrived int
}

type twinOutcome struct {
	at Time
	by *Balancer
	o  Outcome
}

func twinSettings() Settings {
	return Settings{
		Nodes: 1, Classes: []Class{{Name: "pay", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Tenants:      []Tenant{{Name: "t", Quota: 100, Share: 0.5}, {Name: "u", Quota: 400, Share: 0.5}},
		Capabilities: Capabilities{Cancel: true, RetryAfter: true, MaxAttempts: 3},
		Rules:        Rules{DrainGrace: 500 * time.Millisecond, SlowStartShare: 0.34, SlowStartWindow: 8400 * time.Millisecond, OverloadFactor: 3, OverloadDuration: time.Second},
	}
}

func (w *twin) offer(now Time, to *Balancer, tenant string) {
	w.arrived++
	id := fmt.Sprint(w.arrived)
	for _, a := range to.Handle(now, Request{ID: id, Class: "pay", Tenant: tenant, ExpiresIn: 2 * time.Second}) {
		if a.Kind == Send {
			if tenant == "t" {
				w.admits++
			}
			if a.Server == "cold" {
				w.toCold = append(w.toCold, now)
			}
			w.due = append(w.due, twinOutcome{now + 20*time.Millisecond, to, Outcome{ID: id, Server: a.Server, Code: OK, Latency: 20 * time.Millisecond}})
		}
	}
}

// play runs six seconds: the first process alone, a server that starts cold at 2.5 s, the replacement from 3 s on.
func playTwin(t *testing.T, perSecond int, tenant string, alone bool) *twin {
	t.Helper()
	w := new(twin)
	list := EndpointList{Kind: ListReplace}
	for i := range 4 {
		list.Endpoints = append(list.Endpoints, Endpoint{Server: fmt.Sprint("s", i), Weight: 1})
	}
	start := func(now Time, seed uint64) *Balancer {
		b, err := New(twinSettings(), now, seed)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(now, list)
		return b
	}
	const step = time.Millisecond
	begin := 24 * time.Hour
	w.a = start(begin, 1)
	whole := handover.Limits{Clients: 10, Servers: 10}
	for ms := range 6000 {
		now := begin + Time(ms)*step
		for len(w.due) > 0 && w.due[0].at <= now {
			w.due[0].by.Handle(now, w.due[0].o)
			w.due = w.due[1:]
		}
		switch {
		case ms == 2500:
			list.Endpoints = append(list.Endpoints, Endpoint{Server: "cold", Weight: 1, OnlineSince: now})
			w.a.Handle(now, list)
		case ms == 3000 && !alone:
			w.b = start(now, 2)
			k := w.a.Export()
			k.RateScale, k.SharedThresholdScale, k.Servers = 1, 1, nil
			w.b.Restore(now, k)
		}
		if w.b != nil && ms%100 == 0 {
			ra, rb := handover.Report{Taken: w.taken[0]}, handover.Report{Taken: w.taken[1]}
			w.a.SetTrafficShare(now, w.sa.Split(ra, map[string]handover.Report{"b": rb}, whole).Part)
			w.b.SetTrafficShare(now, w.sb.Split(rb, map[string]handover.Report{"a": ra}, whole).Part)
		}
		for n := ms*perSecond/1000 + 1; n <= (ms+1)*perSecond/1000; n++ {
			to, i := w.a, 0
			if moved := (ms - 3000) / 10; w.b != nil && w.arrived*37%100 < moved {
				to, i = w.b, 1
			}
			w.taken[i]++
			w.offer(now, to, tenant)
		}
	}
	return w
}

// While one process takes the place of another, a tenant over its share passes hardly more than with one process.
func TestTrafficShare_BucketsHoldOverTwoProcesses(t *testing.T) {
	one, two := playTwin(t, 1000, "t", true), playTwin(t, 1000, "t", false)
	t.Logf("%d of %d admitted by one process, %d by two", one.admits, one.arrived, two.admits)
	if float64(two.admits) > 1.15*float64(one.admits) || two.admits < one.admits/2 {
		t.Errorf("%d admitted by one process, %d by two", one.admits, two.admits)
	}
}

// And a cold server gets from both together less than pushes it over: a warm one takes the mean rate of a server.
func TestTrafficShare_SlowStartHoldsOverTwoProcesses(t *testing.T) {
	const perSecond = 400
	set := twinSettings().Rules
	for _, alone := range []bool{true, false} {
		w := playTwin(t, perSecond, "u", alone)
		if len(w.toCold) == 0 {
			t.Fatal("nothing goes to the cold server")
		}
		most := 0.0
		for i, from := range w.toCold {
			n := 0
			for _, at := range w.toCold[i:] {
				if at < from+set.OverloadDuration {
					n++
				}
			}
			age := max(0, (from - 24*time.Hour - 2500*time.Millisecond).Seconds())
			capacity := (set.SlowStartShare + (1-set.SlowStartShare)*age/set.SlowStartWindow.Seconds()) * perSecond / 5
			most = max(most, float64(n)/(capacity*set.OverloadDuration.Seconds()))
		}
		t.Logf("alone %v: %d to the cold server, %.2f of its capacity at most", alone, len(w.toCold), most)
		if most > set.OverloadFactor {
			t.Errorf("alone %v: %.2f of its capacity, %v push it over", alone, most, set.OverloadFactor)
		}
	}
}
