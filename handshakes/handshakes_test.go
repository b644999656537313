package handshakes

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever comes and goes, no bound is passed, nobody waits where there is room, and who came first goes first.
func TestGateKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{MaxConcurrent: rapid.IntRange(1, 6).Draw(t, "all"), MaxPerServer: rapid.IntRange(1, 3).Draw(t, "each"), MaxPerWarmingServer: 1, MaxQueued: rapid.IntRange(1, 8).Draw(t, "waiting")}
		g := NewLimiter(l)
		var going, waiting []*Reservation
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			if all := append(slices.Clone(going), waiting...); len(all) > 0 && rapid.Bool().Draw(t, "leave") {
				x := rapid.SampledFrom(all).Draw(t, "who")
				now := g.Release(x)
				if g.Release(x) != nil {
					t.Fatal("a turn was given back twice")
				}
				same := func(y *Reservation) bool { return x == y }
				going, waiting = slices.DeleteFunc(going, same), slices.DeleteFunc(waiting, same)
				for _, n := range now {
					if i := slices.Index(waiting, n); i < 0 || slices.ContainsFunc(waiting[:i], func(w *Reservation) bool { return w.Server == n.Server && w.WarmingUp == n.WarmingUp }) {
						t.Fatal("a turn out of order")
					}
					waiting = slices.DeleteFunc(waiting, func(y *Reservation) bool { return n == y })
					going = append(going, n)
				}
			} else {
				s := rapid.IntRange(0, 3).Draw(t, "server")
				x := &Reservation{Server: fmt.Sprint(s), WarmingUp: s == 0, Speculative: rapid.Bool().Draw(t, "spare")}
				switch g.Acquire(x) {
				case Proceed:
					if x.Speculative && len(waiting) > 0 {
						t.Fatal("what nobody waits for went ahead of who waits")
					}
					going = append(going, x)
				case Queue:
					if x.Speculative {
						t.Fatal("what nobody waits for waits")
					}
					waiting = append(waiting, x)
				}
			}
			out := make(map[string]int)
			for _, x := range going {
				out[x.Server]++
			}
			most := func(x *Reservation) int {
				if x.WarmingUp {
					return 1
				}
				return l.MaxPerServer
			}
			for _, x := range going {
				if out[x.Server] > most(x) {
					t.Fatalf("%d towards one server", out[x.Server])
				}
			}
			if n, w := g.Usage(); n != len(going) || n > l.MaxConcurrent || w != len(waiting) || w > l.MaxQueued {
				t.Fatalf("%d going and %d waiting of %d and %d", n, w, len(going), len(waiting))
			}
			for _, x := range waiting {
				if len(going) < l.MaxConcurrent && out[x.Server] < most(x) {
					t.Fatal("somebody waits though there is room")
				}
			}
		}
	})
}

// While requests are in flight, arithmetic that none waits for has its share of the time and no more; else, and where
// a request waits for it, it has all of it.
func TestPaceKeepsToItsShare(t *testing.T) {
	for _, c := range []struct {
		inFlight, urgent bool
		least, most      time.Duration // until 100 pieces of 2 ms are done, at a share of a quarter
	}{{true, false, 790 * time.Millisecond, 810 * time.Millisecond}, {false, false, 200 * time.Millisecond, 200 * time.Millisecond}, {true, true, 200 * time.Millisecond, 200 * time.Millisecond}} {
		p := NewCPUBudget(0.25, 1)
		now := time.Duration(0)
		var all []*Task
		for range 100 {
			x := &Task{Urgent: c.urgent}
			all = append(all, x)
			p.Enqueue(x)
		}
		for _, x := range all {
			begin, wait := p.Next(now, c.inFlight)
			if wait > 0 {
				now += wait
				begin, _ = p.Next(now, c.inFlight)
			}
			if len(begin) != 1 || begin[0] != x {
				t.Fatalf("%d began, want the next one alone", len(begin))
			}
			if more, _ := p.Next(now, c.inFlight); more != nil {
				t.Fatal("two pieces at once on one core")
			}
			now += 2 * time.Millisecond
			p.Finish(now, x, 2*time.Millisecond)
		}
		if now < c.least || now > c.most {
			t.Errorf("in flight %v, urgent %v: %v", c.inFlight, c.urgent, now)
		}
	}
	p := NewCPUBudget(0.01, 1)
	first, second, urgent := &Task{}, &Task{}, &Task{Urgent: true}
	p.Enqueue(first)
	p.Enqueue(second)
	_, _ = p.Next(0, true)
	p.Finish(time.Second, first, time.Second)
	if _, wait := p.Next(time.Second, true); wait <= 0 || wait > maxPause {
		t.Errorf("a host that kept the process from running holds handshakes up for %v", wait)
	}
	p.Enqueue(urgent)
	if begin, _ := p.Next(time.Second, true); len(begin) != 1 || begin[0] != urgent {
		t.Error("what a request waits for rests, or waits behind what none does")
	}
	if p.Cancel(second) || !p.Cancel(urgent) {
		t.Error("one that waited had its turn, or one that had its turn did not")
	}
	p.Finish(time.Second, urgent, 0)
	if begin, _ := p.Next(2*time.Second, true); begin != nil {
		t.Error("who has left has a turn")
	}
}

// However many servers are wrong, and for how long: few are looked at together, each again within seconds, and none
// sooner than its schedule has it.
func TestRefusedAreLookedAtByASchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, n := NewUntrustedBackoff(), rapid.IntRange(1, 40).Draw(t, "servers")
		last := make(map[string]time.Duration)
		for i := range n {
			id := fmt.Sprint("s", i)
			if !r.RecordFailure(0, id, "expired") || r.RecordFailure(0, id, "expired") {
				t.Fatal("the first failure, and it alone, is the first")
			}
			last[id] = 0
		}
		looks := make(map[string]int)
		for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
			due := r.StartDue(now)
			if len(due) > MaxConcurrentRechecks {
				t.Fatalf("%d at once", len(due))
			}
			for _, id := range due {
				least := withJitter(id, min(maxBackoff, initialBackoff<<looks[id]))
				if gap := now - last[id]; gap < least || gap > least+time.Second+time.Duration(n)*50*time.Millisecond {
					t.Fatalf("look %d at %s after %v, want about %v", looks[id], id, gap, least)
				}
				looks[id]++
				last[id] = now
				r.RecordFailure(now, id, "expired")
			}
		}
		r.RecheckAll(time.Minute)
		seen := make(map[string]bool)
		for now := time.Minute; now < time.Minute+3*time.Second; now += 50 * time.Millisecond {
			for _, id := range r.StartDue(now) {
				if seen[id] = true; !r.RecordSuccess(id) {
					t.Fatal("it was not refused")
				}
			}
		}
		if len(seen) != n || len(r.List()) != 0 {
			t.Fatalf("%d of %d were looked at once trust had changed", len(seen), n)
		}
		if _, is := r.Reason("s0"); is || r.RecordSuccess("s0") {
			t.Fatal("a server that has proved who it is, is refused")
		}
	})
}

// Connections are made ahead only to servers that will need them, and never into the room that requests need.
func TestWarm(t *testing.T) {
	now := time.Minute
	asked := PoolState{Used: true, LastUsed: now - time.Second}
	with := func(id string, change func(*PoolState)) PoolState {
		p := asked
		p.Server = id
		change(&p)
		return p
	}
	pools := []PoolState{
		with("a", func(*PoolState) {}), with("b", func(p *PoolState) { p.LastUsed = now }), with("idle", func(p *PoolState) { p.Idle = 1 }),
		with("never", func(p *PoolState) { p.Used = false }), with("long ago", func(p *PoolState) { p.LastUsed = now - recentUse }),
		with("closed", func(p *PoolState) { p.Unavailable = true }), with("opening", func(p *PoolState) { p.Connecting = 1 }),
	}
	if got := PreconnectTargets(now, pools, 0, 100); !slices.Equal(got, []string{"b", "a"}) {
		t.Errorf("got %v", got)
	}
	if got := PreconnectTargets(now, pools, 50, 100); got != nil {
		t.Errorf("with half of the room taken: %v", got)
	}
	early := 0
	for i := range 100 {
		id := fmt.Sprint("s", i)
		if ShouldReplace(id, replacementWindow/2) {
			early++
		}
		if !ShouldReplace(id, replacementWindow) {
			t.Errorf("%s is never renewed", id)
		}
	}
	if early < 30 || early > 70 {
		t.Errorf("%d of 100 are renewed in the first half", early)
	}
}
