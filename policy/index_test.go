package policy

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The index and the small changes of the list choose as a walk over all servers and a list made anew
// do: two nodes with one seed, one of them plain, are told the same and must want the same, always.
func TestIndex_SelectsAsLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := reconfigurable()
		set.Tenants = nil
		set.Nodes = rapid.SampledFrom([]int{1, 2, 3, 4, 9, 40}).Draw(t, "nodes")
		set.Node = rapid.IntRange(0, set.Nodes-1).Draw(t, "node")
		set.Capabilities.Hedge, set.Capabilities.MaxAttempts = true, 3
		set.Rules.SlowStartShare, set.Rules.SlowStartWindow, set.Rules.OverloadFactor, set.Rules.OverloadDuration = 0.3, 5*time.Second, 3, time.Second
		set.KeyAffinity = rapid.Bool().Draw(t, "keys")
		if rapid.Bool().Draw(t, "bound") {
			set.Classes[1].Kinds = []string{"k1"}
		}
		quick, _ := New(set, 0, 7)
		plain, _ := New(set, 0, 7)
		plain.linearScan = true
		most := rapid.SampledFrom([]int{10, 130, 400}).Draw(t, "servers")
		now := 10 * time.Second
		var out []Action // sends without their outcome
		attempts := make(map[string]int)
		requests := 0
		tell := func(ev Event) {
			got, want := handled(quick, now, ev), handled(plain, now, ev)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("after %#v:\n%+v, and by a walk over all\n%+v", ev, got, want)
			}
			for _, a := range got {
				if a.Kind == Send {
					a.Attempt = attempts[a.ID]
					attempts[a.ID]++
					out = append(out, a)
				}
			}
		}
		member := func(i int) Endpoint {
			m := Endpoint{
				Server: fmt.Sprintf("s%04d", i), Zone: rapid.SampledFrom([]string{"a", "a", "b", "c"}).Draw(t, "zone"),
				Kind: rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "kind"), Weight: 1,
			}
			if rapid.IntRange(0, 9).Draw(t, "young") == 0 {
				m.OnlineSince = now - time.Second
			}
			m.Availability = rapid.SampledFrom([]Availability{Running, Running, Running, Draining, Removed}).Draw(t, "state")
			return m
		}
		var all []Endpoint
		for i := range most {
			m := Endpoint{Server: fmt.Sprintf("s%04d", i), Zone: string("aabc"[i%4]), Kind: fmt.Sprint("k", 1+i%2), Weight: 1}
			all = append(all, m)
		}
		tell(EndpointList{Endpoints: all})
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				var some []Endpoint
				for range rapid.IntRange(1, 4).Draw(t, "changes") {
					some = append(some, member(rapid.IntRange(0, most+5).Draw(t, "server")))
				}
				tell(EndpointList{Kind: ListUpdate, Endpoints: some})
			case 1:
				if rapid.IntRange(0, 9).Draw(t, "whole") == 0 {
					tell(EndpointList{Endpoints: all[rapid.IntRange(0, most/2).Draw(t, "from"):]})
				}
			case 2:
				tell(Timer{Token: rapid.SampledFrom([]uint64{queueTimerToken, firstClassTimerToken, firstClassTimerToken + 1}).Draw(t, "timer")})
			case 3, 4, 5: // a burst: enough to fill servers up
				for range rapid.IntRange(1, most/4+2).Draw(t, "burst") {
					requests++
					tell(Request{
						ID: fmt.Sprint("r", requests), Class: rapid.SampledFrom([]string{"read", "pay"}).Draw(t, "class"),
						Tenant: "t", ExpiresIn: time.Second, Key: fmt.Sprint(requests % 7),
					})
				}
			default:
				for range min(len(out), rapid.IntRange(1, most/4+2).Draw(t, "outcomes")) {
					i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
					a := out[i]
					out = append(out[:i], out[i+1:]...)
					code := rapid.SampledFrom([]Code{OK, OK, OK, OK, ServerError, Overloaded, TimedOut, ConnectFailed, Reset}).Draw(t, "code")
					tell(Outcome{
						ID: a.ID, Attempt: a.Attempt, Server: a.Server, Code: code, Answered: code == OK,
						Latency: time.Duration(rapid.IntRange(1, 300).Draw(t, "latency")) * ms,
					})
				}
			}
		}
		if quick.pool.ejectedCount != plain.pool.ejectedCount || quick.localCount != plain.localCount || quick.zoneCount != plain.zoneCount {
			t.Fatalf("ejected %d and %d, zoned %d and %d", quick.pool.ejectedCount, plain.pool.ejectedCount, quick.localCount, plain.localCount)
		}
		for i, s := range quick.order {
			if p := plain.order[i]; s.Server != p.Server || s.inSubset != p.inSubset || s.threshold != p.threshold || s.probeIdempotency != p.probeIdempotency {
				t.Fatalf("place %d: %+v, and by a list made anew %+v", i, s, p)
			}
		}
	})
}
