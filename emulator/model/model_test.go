package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// meanTime offers a server n Poisson arrivals at the given load. It returns their mean time in the system, in units
// of the mean work.
func meanTime(config Config, work Work, load float64, n int) float64 {
	r := rand.New(rand.NewPCG(7, uint64(load*100)))
	server := New(config, nil, 0)
	rate := load * float64(config.Cores) * config.Speed / work.Mean
	arrivedAt := make(map[string]time.Duration)
	at, total, count := time.Duration(0), 0.0, 0
	record := func(all []Completion) {
		for _, e := range all {
			total += (e.At - arrivedAt[e.ID]).Seconds()
			count++
			delete(arrivedAt, e.ID)
		}
	}
	for i := range n {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		record(server.Advance(at))
		id := fmt.Sprint(i)
		arrivedAt[id] = at
		if server.Offer(at, Request{ID: id, Work: work.Draw(3, id)}) != Accepted {
			panic("request rejected")
		}
	}
	record(server.Advance(at + time.Hour))
	return total / float64(count) / work.Mean * config.Speed
}

// erlangC returns the probability that a request waits in an M/M/c queue.
func erlangC(c int, load float64) float64 {
	a, sum, term := load*float64(c), 0.0, 1.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	last := term / (1 - load)
	return last / (sum + last)
}

// TestServer_MeanTimesAgreeWithTheory checks that mean times in the system agree with queueing theory within 12%. The
// environment variable THEORY sets another number of arrivals, and the tolerance is then 2%. More arrivals reduce the
// random variation.
func TestServer_MeanTimesAgreeWithTheory(t *testing.T) {
	n, within := 60_000, 0.12
	if more, err := strconv.Atoi(os.Getenv("THEORY")); err == nil && more > 0 {
		n, within = more, 0.02
	}
	const unbounded = 1 << 30
	for name, test := range map[string]struct {
		config Config
		work   Work
		want   func(load float64) float64
	}{
		"M/M/1": {
			Config{Cores: 1, Speed: 2, Slots: 1, Queue: unbounded},
			Work{Exponential, 0.01, 0},
			func(p float64) float64 { return 1 / (1 - p) },
		},
		"M/D/1": {
			Config{Cores: 1, Speed: 1, Slots: 1, Queue: unbounded},
			Work{Fixed, 0.01, 0},
			func(p float64) float64 { return 1 + p/(2*(1-p)) },
		},
		"M/M/4": {
			Config{Cores: 4, Speed: 1, Slots: 4, Queue: unbounded},
			Work{Exponential, 0.01, 0},
			func(p float64) float64 { return 1 + erlangC(4, p)/(4*(1-p)) },
		},
		"processor sharing": {
			Config{Cores: 1, Speed: 1, Slots: unbounded},
			Work{Lognormal, 0.01, 1.2},
			func(p float64) float64 { return 1 / (1 - p) },
		},
		"M/G/1 by lognormal": {
			Config{Cores: 1, Speed: 1, Slots: 1, Queue: unbounded},
			Work{Lognormal, 0.01, 0.8},
			func(p float64) float64 { return 1 + p*(1+0.64)/(2*(1-p)) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, load := range []float64{0.2, 0.4, 0.6, 0.7, 0.8} {
				got, want := meanTime(test.config, test.work, load, n), test.want(load)
				if math.Abs(got/want-1) > within {
					t.Errorf("load %v: mean time %.4f, theory gives %.4f", load, got, want)
				}
				t.Logf("load %v: mean time %.4f, theory gives %.4f, difference %.2f%%", load, got, want, 100*(got/want-1))
			}
		})
	}
}

// TestWorkDraw_MeanAndVariation checks that each distribution has its configured mean and coefficient of variation. A
// draw must depend only on seed and ID.
func TestWorkDraw_MeanAndVariation(t *testing.T) {
	const n = 400_000
	for _, w := range []Work{{Exponential, 2, 1}, {Lognormal, 0.5, 1.2}, {Pareto, 3, 0.5}, {Fixed, 1, 0}} {
		sum, squares := 0.0, 0.0
		for i := range n {
			x := w.Draw(1, fmt.Sprint(i))
			sum, squares = sum+x, squares+x*x
		}
		mean := sum / n
		cv := math.Sqrt(max(0, squares/n-mean*mean)) / mean
		if math.Abs(mean/w.Mean-1) > 0.02 || math.Abs(cv-w.CV) > 0.05 {
			t.Errorf("%+v: mean %.4f, coefficient of variation %.3f", w, mean, cv)
		}
		if w.Draw(1, "a") != w.Draw(1, "a") || w.Dist != Fixed && w.Draw(1, "a") == w.Draw(2, "a") {
			t.Errorf("%+v: a draw does not depend on seed and ID alone", w)
		}
	}
}

// TestWarmUp_FollowsClosedForm checks that a server that warms up by time or by work follows the closed-form
// solution.
func TestWarmUp_FollowsClosedForm(t *testing.T) {
	const from, warm = 0.4, 4.0
	for byWork, want := range map[bool]func(t float64) float64{
		false: func(t float64) float64 { return from*t + (1-from)*t*t/(2*warm) },
		// dW/dt = from + (1-from) W/warm, with W = 0 at the start
		true: func(t float64) float64 { return from * warm / (1 - from) * math.Expm1((1-from)*t/warm) },
	} {
		c := Config{Cores: 1, Speed: 1, Slots: 1, Queue: 1 << 20}
		c.WarmUp = WarmUp{InitialCapacity: from, Duration: 4 * time.Second, ByWork: byWork}
		s := New(c, nil, time.Minute)
		const each = 0.001
		for i := range 10_000 {
			s.Offer(time.Minute, Request{ID: fmt.Sprint(i), Work: each})
		}
		for _, after := range []float64{0.5, 1, 2, 3} {
			s.Advance(time.Minute + time.Duration(after*float64(time.Second)))
			if math.Abs(s.workDone/want(after)-1) > 0.002 {
				t.Errorf("by work %v, after %v s: %.4f s of work, want %.4f", byWork, after, s.workDone, want(after))
			}
		}
	}
}

// TestOverload_CrashesWarmingServer checks that a warming server crashes when it receives more work than the overload
// factor allows. It must crash at the time that the closed-form solution gives, lose its requests and stay down. At a
// lower rate, or without an overload factor, it must not crash.
func TestOverload_CrashesWarmingServer(t *testing.T) {
	crashTime := func(rate float64, warmUp WarmUp) time.Duration {
		s := New(Config{Cores: 2, Speed: 1, Slots: 2, Queue: 1 << 20, WarmUp: warmUp}, nil, 0)
		const work = 0.001
		for at := time.Duration(0); at < 8*time.Second; at += time.Duration(work / rate * float64(time.Second)) {
			if s.Offer(at, Request{ID: fmt.Sprint(at), Work: work}) == Down {
				if got := s.Advance(at); !got[len(got)-1].Lost || !s.Down() || s.Offer(at+time.Hour, Request{}) != Down {
					t.Errorf("after the crash: last request lost: %v; accepts requests again: %v", got[len(got)-1].Lost, !s.Down())
				}
				return at
			}
		}
		return -1
	}
	warmUp := WarmUp{InitialCapacity: 0.5, Duration: 8 * time.Second, OverloadFactor: 3, OverloadWindow: time.Second}
	// Within the first window of 1 s, the work received by time t at rate r is r·t. It exceeds the limit of
	// 3·(0.5 + t/16)·2·1 s at t = 3/(r - 0.375). After the first window, every window of 1 s contains the
	// work r, while the limit still grows. The server therefore crashes within the first window or not at all.
	for _, rate := range []float64{3.6, 4.5, 9} {
		want := 3 / (rate - 0.375)
		if got := crashTime(rate, warmUp).Seconds(); math.Abs(got/want-1) > 0.01 {
			t.Errorf("rate %v: crashed after %.3f s, the closed form gives %.3f", rate, got, want)
		}
	}
	if got := crashTime(2.9, warmUp); got != -1 {
		t.Errorf("at a rate below the overload factor: crashed after %v", got)
	}
	warmUp.OverloadFactor = 0
	if got := crashTime(20, warmUp); got != -1 {
		t.Errorf("without an overload factor: crashed after %v", got)
	}
}

// TestServer_Slowdowns checks that pauses stop the work for their duration. The duration grows with the requests in
// flight if Growth is set. Thrashing and open connections must slow the server down.
func TestServer_Slowdowns(t *testing.T) {
	lastEnd := func(config Config, requests, conns int) float64 {
		server := New(config, nil, 0)
		for range conns {
			if !server.Connect(0) {
				t.Fatal("a connection within the limit is rejected")
			}
		}
		for i := range requests {
			server.Offer(0, Request{ID: fmt.Sprint(i), Work: 1})
		}
		all := server.Advance(time.Hour)
		return all[len(all)-1].At.Seconds()
	}
	shortPause := Pause{Interval: 2 * time.Second, Duration: 500 * time.Millisecond}
	growingPause := Pause{Interval: 2500 * time.Millisecond, Duration: 500 * time.Millisecond, Growth: 1}
	for name, test := range map[string]struct {
		config          Config
		requests, conns int
		want            float64
	}{
		"no slowdown":       {Config{Slots: 1, Queue: 9}, 3, 0, 3},
		"pause":             {Config{Slots: 1, Queue: 9, Pause: shortPause}, 3, 0, 3.5},
		"growing pause":     {Config{Slots: 1, Queue: 9, Pause: growingPause}, 3, 0, 4},
		"thrashing":         {Config{Slots: 1, Queue: 9, ThrashFactor: 0.5, ThrashThreshold: 1}, 3, 0, 2 + 1.5 + 1},
		"all connections":   {Config{Slots: 1, Queue: 9, MaxConns: 4, ConnOverhead: 0.5}, 3, 4, 6},
		"connections' work": {Config{Slots: 3, Queue: 9, ConnSetupWork: 0.25}, 1, 1, 1.25},
	} {
		if got := lastEnd(test.config, test.requests, test.conns); math.Abs(got-test.want) > 1e-6 {
			t.Errorf("%s: the last request ends after %.6f s, want %v", name, got, test.want)
		}
	}
}

// TestConnect_AtLimit checks that the connection limit holds. A closed connection must no longer count.
func TestConnect_AtLimit(t *testing.T) {
	s := New(Config{MaxConns: 1}, nil, 0)
	if !s.Connect(0) || s.Connect(0) {
		t.Error("the limit on connections does not hold")
	}
	if s.Disconnect(0); !s.Connect(0) {
		t.Error("a closed connection still counts")
	}
}

// TestCancel_RemovesAsConfigured checks that cancellations and expired deadlines remove only the requests that the
// configuration names.
func TestCancel_RemovesAsConfigured(t *testing.T) {
	run := func(cancel Cancel, drop bool) string {
		server := New(Config{Slots: 1, Queue: 2, Cancel: cancel, DropExpired: drop}, nil, 0)
		got := ""
		for _, id := range []string{"a", "b", "c", "d"} {
			if server.Offer(0, Request{ID: id, Work: 1, Deadline: 1500 * time.Millisecond}) == Rejected {
				got += id + " rejected "
			}
		}
		server.Cancel(500*time.Millisecond, "a")
		server.Cancel(500*time.Millisecond, "b")
		for _, e := range server.Advance(time.Minute) {
			got += fmt.Sprintf("%s %.1f ", e.ID, e.At.Seconds())
		}
		return got
	}
	for want, test := range map[string]struct {
		cancel Cancel
		drop   bool
	}{
		"d rejected a 1.0 b 2.0 c 3.0 ": {CancelIgnored, false},
		"d rejected a 1.0 c 2.0 ":       {CancelQueued, false},
		"d rejected c 1.5 ":             {CancelAll, false},
		"d rejected a 1.0 b 2.0 ":       {CancelIgnored, true}, // c's deadline has passed when a slot is free
	} {
		if got := run(test.cancel, test.drop); got != want {
			t.Errorf("%+v: %q, want %q", test, got, want)
		}
	}
}

// TestKeyTable_SharedByServers checks that servers that share a table discard repeats of a key only within the
// window.
func TestKeyTable_SharedByServers(t *testing.T) {
	group := &KeyTable{Window: 4 * time.Second}
	one, other := New(Config{Slots: 9}, group, 0), New(Config{Slots: 9}, group, 0)
	one.Offer(0, Request{ID: "a", Key: "k", Work: 1})
	other.Offer(3999*time.Millisecond, Request{ID: "b", Key: "k", Work: 1})
	one.Offer(4*time.Second, Request{ID: "c", Key: "k", Work: 1})
	var seen []bool
	for _, e := range append(slices.Clone(one.Executions()), other.Executions()...) {
		seen = append(seen, e.Discarded)
	}
	if !slices.Equal(seen, []bool{false, false, true}) { // requests a, c, b
		t.Errorf("discarded: %v, want the third only", seen)
	}
}

// TestServer_EveryAcceptedRequestEnds checks that each accepted request that is not cancelled completes once.
// Executions must be recorded for accepted requests only. Completions must not depend on the steps in which time
// advances.
func TestServer_EveryAcceptedRequestEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkSteps(t, drawConfig(t))
	})
}

// drawConfig draws a server configuration.
func drawConfig(t *rapid.T) Config {
	config := Config{
		Cores: rapid.IntRange(1, 4).Draw(t, "cores"), Speed: rapid.Float64Range(0.5, 2).Draw(t, "speed"),
		Slots: rapid.IntRange(1, 8).Draw(t, "slots"), Queue: rapid.IntRange(0, 5).Draw(t, "queue"),
		ThrashFactor: rapid.Float64Range(0, 0.5).Draw(t, "thrash"), ThrashThreshold: 1,
		Cancel: Cancel(rapid.IntRange(0, 2).Draw(t, "cancel")),
	}
	if rapid.Bool().Draw(t, "pauses") {
		config.Pause = Pause{Interval: 50 * time.Millisecond, Duration: 10 * time.Millisecond, Growth: 0.5}
	}
	if rapid.Bool().Draw(t, "cold") {
		config.WarmUp = WarmUp{
			InitialCapacity: 0.3, Duration: time.Second, OverloadFactor: 3, OverloadWindow: 100 * time.Millisecond,
		}
	}
	return config
}

// checkSteps sends the same requests and cancellations to two servers and compares their completions. The second
// server advances in steps of at most 3 ms.
func checkSteps(t *rapid.T, config Config) {
	coarse, fine := New(config, nil, 0), New(config, nil, 0)
	open, cancelled := make(map[string]bool), make(map[string]bool)
	now, accepted := time.Duration(0), 0
	var coarseEnds, fineEnds []Completion
	for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
		next := now + time.Duration(rapid.IntRange(0, 30_000).Draw(t, "us"))*time.Microsecond
		coarseEnds = append(coarseEnds, coarse.Advance(next)...)
		for now < next {
			now = min(next, now+3*time.Millisecond)
			fineEnds = append(fineEnds, fine.Advance(now)...)
		}
		id := fmt.Sprint(i)
		r := Request{ID: id, Work: rapid.Float64Range(0, 0.1).Draw(t, "work")}
		if rapid.IntRange(0, 4).Draw(t, "cancels") == 0 && i > 0 {
			id := fmt.Sprint(rapid.IntRange(0, i-1).Draw(t, "which"))
			coarse.Cancel(now, id)
			fine.Cancel(now, id)
			cancelled[id] = true
			continue
		}
		got, inFiner := coarse.Offer(now, r), fine.Offer(now, r)
		if got != inFiner {
			t.Fatalf("request %s: %v, but %v in finer steps", id, got, inFiner)
		}
		if got == Accepted {
			open[id] = true
			accepted++
		}
	}
	coarseEnds = append(coarseEnds, coarse.Advance(now+time.Hour)...)
	fineEnds = append(fineEnds, fine.Advance(now+time.Hour)...)
	checkCompletions(t, coarseEnds, fineEnds, open, cancelled)
	if len(coarse.Executions()) > accepted || coarse.InFlight() > 0 {
		t.Fatalf("%d executions of %d accepted, %d still in flight", len(coarse.Executions()), accepted, coarse.InFlight())
	}
}

// checkCompletions compares the completions of both servers. Each accepted request that was not cancelled must
// complete once.
func checkCompletions(t *rapid.T, coarse, fine []Completion, open, cancelled map[string]bool) {
	if len(coarse) != len(fine) {
		t.Fatalf("%d completions, but %d in finer steps", len(coarse), len(fine))
	}
	for i, e := range coarse {
		if f := fine[i]; f.ID != e.ID || f.Lost != e.Lost || (f.At-e.At).Abs() > time.Microsecond {
			t.Fatalf("completion %d: %+v, but %+v in finer steps", i, e, f)
		}
		if !open[e.ID] {
			t.Fatalf("request %s completed twice, or was never accepted", e.ID)
		}
		delete(open, e.ID)
	}
	for id := range open {
		if !cancelled[id] {
			t.Fatalf("request %s was accepted but never completed", id)
		}
	}
}
