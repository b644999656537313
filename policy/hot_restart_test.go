package policy

import (
	"fmt"
	"testing"
	"time"

	"cobaltward/internal/hotrestart"
)

const (
	hotRestartStart    = 24 * time.Hour // balancer time at which a run starts
	warmingOnlineMS    = 2500           // time in a run at which a server in slow start is added, in ms
	replacementStartMS = 3000           // time in a run at which the second process starts, in ms
)

// hotRestart simulates a node whose process is replaced by a second process. The second process starts with the
// buckets of the first. The fraction of requests that go to the second process grows from 0 to 1. The two processes
// exchange reports every 100 ms. With singleProcess, the first process serves throughout.
type hotRestart struct {
	singleProcess  bool
	processes      [2]*Balancer
	splitters      [2]hotrestart.Splitter
	acceptedCounts [2]uint64
	list           EndpointList
	dueOutcomes    []dueOutcome
	admittedCount  int // number of admitted requests of the tenant "t"
	warmingSends   []Time
	requestCount   int
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

func (h *hotRestart) handleRequest(now Time, process *Balancer, tenant string) {
	h.requestCount++
	id := fmt.Sprint(h.requestCount)
	request := Request{ID: id, Class: "pay", Tenant: tenant, ExpiresIn: 2 * time.Second}
	for _, action := range process.Handle(now, request) {
		if action.Kind != Send {
			continue
		}
		if tenant == "t" {
			h.admittedCount++
		}
		if action.Server == "a-warming" {
			h.warmingSends = append(h.warmingSends, now)
		}
		const latency = 20 * time.Millisecond
		outcome := Outcome{ID: id, Server: action.Server, Code: OK, Latency: latency}
		h.dueOutcomes = append(h.dueOutcomes, dueOutcome{now + latency, process, outcome})
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

// runHotRestart simulates six seconds. The first process starts alone. A server in slow start is added after 2.5 s,
// and the second process starts after 3 s.
func runHotRestart(t *testing.T, perSecond int, tenant string, singleProcess bool) *hotRestart {
	t.Helper()
	run := &hotRestart{singleProcess: singleProcess, list: EndpointList{Kind: ListReplace}}
	for i := range 4 {
		run.list.Endpoints = append(run.list.Endpoints, Endpoint{Server: fmt.Sprint("s", i), Weight: 1})
	}
	run.processes[0] = run.startProcess(t, hotRestartStart, 1)
	for elapsed := range 6000 {
		run.step(t, elapsed)
		for n := elapsed*perSecond/1000 + 1; n <= (elapsed+1)*perSecond/1000; n++ {
			i := 0
			if percent := (elapsed - replacementStartMS) / 10; run.processes[1] != nil && run.requestCount*37%100 < percent {
				i = 1
			}
			run.acceptedCounts[i]++
			run.handleRequest(hotRestartStart+Time(elapsed)*ms, run.processes[i], tenant)
		}
	}
	return run
}

// step passes on the outcomes that are due, and makes the changes scheduled for this millisecond of the run.
func (h *hotRestart) step(t *testing.T, elapsed int) {
	t.Helper()
	now := hotRestartStart + Time(elapsed)*ms
	for len(h.dueOutcomes) > 0 && h.dueOutcomes[0].at <= now {
		h.dueOutcomes[0].process.Handle(now, h.dueOutcomes[0].outcome)
		h.dueOutcomes = h.dueOutcomes[1:]
	}
	switch {
	case elapsed == warmingOnlineMS:
		warming := Endpoint{Server: "a-warming", Weight: 1, OnlineSince: now}
		h.list.Endpoints = append(h.list.Endpoints, warming)
		h.processes[0].Handle(now, h.list)
	case elapsed == replacementStartMS && !h.singleProcess:
		h.processes[1] = h.startProcess(t, now, 2)
		state := h.processes[0].Export()
		state.RateScale, state.SharedThresholdScale, state.Servers = 1, 1, nil
		h.processes[1].Restore(now, state)
	}
	if h.processes[1] != nil && elapsed%100 == 0 {
		limits := hotrestart.Limits{ClientConns: 10, ServerConns: 10}
		first, second := hotrestart.Report{Accepted: h.acceptedCounts[0]}, hotrestart.Report{Accepted: h.acceptedCounts[1]}
		share := h.splitters[0].Split(first, map[string]hotrestart.Report{"b": second}, limits).Traffic
		h.processes[0].SetTrafficShare(now, share)
		share = h.splitters[1].Split(second, map[string]hotrestart.Report{"a": first}, limits).Traffic
		h.processes[1].SetTrafficShare(now, share)
	}
}

// TestTrafficShare_BucketsHoldOverTwoProcesses checks that a tenant over its quota is not admitted much more often
// while one process replaces another than with a single process.
func TestTrafficShare_BucketsHoldOverTwoProcesses(t *testing.T) {
	one, two := runHotRestart(t, 1000, "t", true), runHotRestart(t, 1000, "t", false)
	t.Logf("one process admitted %d of %d requests, two processes %d",
		one.admittedCount, one.requestCount, two.admittedCount)
	if float64(two.admittedCount) > 1.15*float64(one.admittedCount) || two.admittedCount < one.admittedCount/2 {
		t.Errorf("one process admitted %d requests, two processes %d; want half to 1.15 times as many",
			one.admittedCount, two.admittedCount)
	}
}

// TestTrafficShare_SlowStartHoldsOverTwoProcesses checks that both processes together do not overload a server in
// slow start. The full capacity of that server is assumed to be the mean rate per server.
func TestTrafficShare_SlowStartHoldsOverTwoProcesses(t *testing.T) {
	const perSecond = 400
	rules := hotRestartSettings().Rules
	for _, singleProcess := range []bool{true, false} {
		t.Run(fmt.Sprintf("alone=%v", singleProcess), func(t *testing.T) {
			run := runHotRestart(t, perSecond, "u", singleProcess)
			if len(run.warmingSends) == 0 {
				t.Fatal("no request was sent to the server in slow start")
			}
			highest := 0.0
			for i, from := range run.warmingSends {
				sends := 0
				for _, at := range run.warmingSends[i:] {
					if at < from+rules.OverloadDuration {
						sends++
					}
				}
				age := max(0, (from - hotRestartStart - warmingOnlineMS*ms).Seconds())
				fraction := rules.SlowStartShare + (1-rules.SlowStartShare)*age/rules.SlowStartWindow.Seconds()
				capacity := fraction * perSecond / 5
				highest = max(highest, float64(sends)/(capacity*rules.OverloadDuration.Seconds()))
			}
			t.Logf("%d requests to the server in slow start, at most %.2f times its capacity",
				len(run.warmingSends), highest)
			if highest > rules.OverloadFactor {
				t.Errorf("load of %.2f times the capacity, the overload factor is %v", highest, rules.OverloadFactor)
			}
		})
	}
}
