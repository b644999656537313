package policy

import (
	"fmt"
	"testing"
	"time"

	"cobaltward/internal/hotrestart"
)

const (
	hotRestartOrigin = 24 * time.Hour // when a run begins
	warmingOnline    = 2500           // ms of a run after which the server that warms up comes
	replacementStart = 3000           // ms of a run after which the second process takes over
)

// hotRestart is one node of two processes. The second replaces the first: requests go to the second
// in a part that grows from 0 to 1, both see each other's reports each 100 ms, and the first hands its buckets
// over. With alone, the first process is left to itself.
type hotRestart struct {
	alone     bool
	processes [2]*Balancer
	splitters [2]hotrestart.Splitter
	taken     [2]uint64
	list      EndpointList
	due       []dueOutcome
	admitted  int // requests of tenant t
	toWarming []Time
	arrived   int
}

type dueOutcome struct {
	at      Time
	process *Balancer
	outcome Outcome
}

func hotRestartSettings() Settings {
	return Settings{
		Nodes:        1,
		Classes:      []Class{{Name: "pay", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Tenants:      []Tenant{{Name: "t", Quota: 100, Share: 0.5}, {Name: "u", Quota: 400, Share: 0.5}},
		Capabilities: Capabilities{Cancel: true, RetryAfter: true, MaxAttempts: 3},
		Rules: Rules{
			DrainGrace: 500 * time.Millisecond, SlowStartShare: 0.34, SlowStartWindow: 8400 * time.Millisecond,
			OverloadFactor: 3, OverloadDuration: time.Second,
		},
	}
}

func (h *hotRestart) offer(now Time, process *Balancer, tenant string) {
	h.arrived++
	id := fmt.Sprint(h.arrived)
	request := Request{ID: id, Class: "pay", Tenant: tenant, ExpiresIn: 2 * time.Second}
	for _, action := range process.Handle(now, request) {
		if action.Kind != Send {
			continue
		}
		if tenant == "t" {
			h.admitted++
		}
		if action.Server == "a-warming" {
			h.toWarming = append(h.toWarming, now)
		}
		const latency = 20 * time.Millisecond
		outcome := Outcome{ID: id, Server: action.Server, Code: OK, Latency: latency}
		h.due = append(h.due, dueOutcome{now + latency, process, outcome})
	}
}

func (h *hotRestart) startProcess(t *testing.T, now Time, seed uint64) *Balancer {
	t.Helper()
	b, err := New(hotRestartSettings(), now, seed)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(now, h.list)
	return b
}

// runHotRestart plays six seconds: the first process alone, a server that warms up from 2.5 s on, the replacement
// from 3 s on.
func runHotRestart(t *testing.T, perSecond int, tenant string, alone bool) *hotRestart {
	t.Helper()
	run := &hotRestart{alone: alone, list: EndpointList{Kind: ListReplace}}
	for i := range 4 {
		run.list.Endpoints = append(run.list.Endpoints, Endpoint{Server: fmt.Sprint("s", i), Weight: 1})
	}
	run.processes[0] = run.startProcess(t, hotRestartOrigin, 1)
	for elapsed := range 6000 {
		run.step(t, elapsed)
		for n := elapsed*perSecond/1000 + 1; n <= (elapsed+1)*perSecond/1000; n++ {
			i := 0
			if moved := (elapsed - replacementStart) / 10; run.processes[1] != nil && run.arrived*37%100 < moved {
				i = 1
			}
			run.taken[i]++
			run.offer(hotRestartOrigin+Time(elapsed)*ms, run.processes[i], tenant)
		}
	}
	return run
}

// step hands in the outcomes that are due, and carries out what the run has for this millisecond.
func (h *hotRestart) step(t *testing.T, elapsed int) {
	t.Helper()
	now := hotRestartOrigin + Time(elapsed)*ms
	for len(h.due) > 0 && h.due[0].at <= now {
		h.due[0].process.Handle(now, h.due[0].outcome)
		h.due = h.due[1:]
	}
	switch {
	case elapsed == warmingOnline:
		warming := Endpoint{Server: "a-warming", Weight: 1, OnlineSince: now}
		h.list.Endpoints = append(h.list.Endpoints, warming)
		h.processes[0].Handle(now, h.list)
	case elapsed == replacementStart && !h.alone:
		h.processes[1] = h.startProcess(t, now, 2)
		state := h.processes[0].Export()
		state.RateScale, state.SharedThresholdScale, state.Servers = 1, 1, nil
		h.processes[1].Restore(now, state)
	}
	if h.processes[1] != nil && elapsed%100 == 0 {
		limits := hotrestart.Limits{ClientConns: 10, ServerConns: 10}
		first, second := hotrestart.Report{Accepted: h.taken[0]}, hotrestart.Report{Accepted: h.taken[1]}
		share := h.splitters[0].Split(first, map[string]hotrestart.Report{"b": second}, limits).Traffic
		h.processes[0].SetTrafficShare(now, share)
		share = h.splitters[1].Split(second, map[string]hotrestart.Report{"a": first}, limits).Traffic
		h.processes[1].SetTrafficShare(now, share)
	}
}

// While one process replaces another, a tenant over its quota passes hardly more than with one process.
func TestTrafficShare_BucketsHoldOverTwoProcesses(t *testing.T) {
	one, two := runHotRestart(t, 1000, "t", true), runHotRestart(t, 1000, "t", false)
	t.Logf("%d of %d admitted by one process, %d by two", one.admitted, one.arrived, two.admitted)
	if float64(two.admitted) > 1.15*float64(one.admitted) || two.admitted < one.admitted/2 {
		t.Errorf("%d admitted by one process, %d by two", one.admitted, two.admitted)
	}
}

// A server that warms up gets less from both together than overloads it: a warm one serves the mean rate.
func TestTrafficShare_SlowStartHoldsOverTwoProcesses(t *testing.T) {
	const perSecond = 400
	rules := hotRestartSettings().Rules
	for _, alone := range []bool{true, false} {
		t.Run(fmt.Sprintf("alone=%v", alone), func(t *testing.T) {
			run := runHotRestart(t, perSecond, "u", alone)
			if len(run.toWarming) == 0 {
				t.Fatal("nothing goes to the server that warms up")
			}
			highest := 0.0
			for i, from := range run.toWarming {
				sends := 0
				for _, at := range run.toWarming[i:] {
					if at < from+rules.OverloadDuration {
						sends++
					}
				}
				age := max(0, (from - hotRestartOrigin - warmingOnline*ms).Seconds())
				fraction := rules.SlowStartShare + (1-rules.SlowStartShare)*age/rules.SlowStartWindow.Seconds()
				capacity := fraction * perSecond / 5
				highest = max(highest, float64(sends)/(capacity*rules.OverloadDuration.Seconds()))
			}
			t.Logf("%d to the server that warms up, %.2f of its capacity at most", len(run.toWarming), highest)
			if highest > rules.OverloadFactor {
				t.Errorf("%.2f of its capacity, %v overload it", highest, rules.OverloadFactor)
			}
		})
	}
}
