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

// queue runs so many Poisson arrivals at a load against a server, and returns their mean time there in means
// of work.
func queue(c Config, w Work, load float64, n int) float64 {
	r := rand.New(rand.NewPCG(7, uint64(load*100)))
	s := New(c, nil, 0)
	rate := load * float64(c.Cores) * c.Speed / w.Mean
	came := make(map[string]time.Duration)
	at, total, count := time.Duration(0), 0.0, 0
	took := func(all []Completion) {
		for _, e := range all {
			total += (e.At - came[e.ID]).Seconds()
			count++
			delete(came, e.ID)
		}
	}
	for i := range n {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		took(s.Advance(at))
		id := fmt.Sprint(i)
		came[id] = at
		if s.Offer(at, Request{ID: id, Work: w.Draw(3, id)}) != Accepted {
			panic("turned away")
		}
	}
	took(s.Advance(at + time.Hour))
	return total / float64(count) / w.Mean * c.Speed
}

// erlangC is the part of requests that wait in M/M/c.
func erlangC(c int, load float64) float64 {
	a, sum, term := load*float64(c), 0.0, 1.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	last := term / (1 - load)
	return last / (sum + last)
}

// The model against theory: mean times in the system. THEORY in the environment is a number of arrivals, and
// 2% are allowed then; the short run's bound is wider, for chance.
func TestTheory(t *testing.T) {
	n, within := 60_000, 0.12
	if more, err := strconv.Atoi(os.Getenv("THEORY")); err == nil && more > 0 {
		n, within = more, 0.02
	}
	const many = 1 << 30
	for name, c := range map[string]struct {
		c    Config
		w    Work
		want func(load float64) float64
	}{
		"M/M/1":              {Config{Cores: 1, Speed: 2, Slots: 1, Queue: many}, Work{Exponential, 0.01, 0}, func(p float64) float64 { return 1 / (1 - p) }},
		"M/D/1":              {Config{Cores: 1, Speed: 1, Slots: 1, Queue: many}, Work{Fixed, 0.01, 0}, func(p float64) float64 { return 1 + p/(2*(1-p)) }},
		"M/M/4":              {Config{Cores: 4, Speed: 1, Slots: 4, Queue: many}, Work{Exponential, 0.01, 0}, func(p float64) float64 { return 1 + erlangC(4, p)/(4*(1-p)) }},
		"processor sharing":  {Config{Cores: 1, Speed: 1, Slots: many}, Work{Lognormal, 0.01, 1.2}, func(p float64) float64 { return 1 / (1 - p) }},
		"M/G/1 by lognormal": {Config{Cores: 1, Speed: 1, Slots: 1, Queue: many}, Work{Lognormal, 0.01, 0.8}, func(p float64) float64 { return 1 + p*(1+0.64)/(2*(1-p)) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, load := range []float64{0.2, 0.4, 0.6, 0.7, 0.8} {
				got, want := queue(c.c, c.w, load, n), c.want(load)
				if math.Abs(got/want-1) > within {
					t.Errorf("at a load of %v: %.4f, theory has %.4f", load, got, want)
				}
				t.Logf("load %v: %.4f, theory %.4f, off by %.2f%%", load, got, want, 100*(got/want-1))
			}
		})
	}
}

// The distributions have the mean and the spread that they are told, and a draw is the same every time.
func TestDraws(t *testing.T) {
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
			t.Errorf("%+v: not by seed and id", w)
		}
	}
}

// A server that warms by time does the work of the closed form, and so does one that warms by work.
func TestWarmth(t *testing.T) {
	const from, warm = 0.4, 4.0
	for byWork, want := range map[bool]func(t float64) float64{
		false: func(t float64) float64 { return from*t + (1-from)*t*t/(2*warm) },
		// dW/dt = from + (1-from) W/warm, from W = 0 on
		true: func(t float64) float64 { return from * warm / (1 - from) * math.Expm1((1-from)*t/warm) },
	} {
		c := Config{Cores: 1, Speed: 1, Slots: 1, Queue: 1 << 20, WarmUp: WarmUp{InitialCapacity: from, Duration: 4 * time.Second, ByWork: byWork}}
		s := New(c, nil, time.Minute)
		const each = 0.001
		for i := range 10_000 {
			s.Offer(time.Minute, Request{ID: fmt.Sprint(i), Work: each})
		}
		for _, after := range []float64{0.5, 1, 2, 3} {
			s.Advance(time.Minute + time.Duration(after*float64(time.Second)))
			if math.Abs(s.workDone/want(after)-1) > 0.002 {
				t.Errorf("by work %v, after %v s: %.4f s of work, the closed form has %.4f", byWork, after, s.workDone, want(after))
			}
		}
	}
}

// A cold server that is sent more than the multiple of what it can do falls over at the moment that the
// closed form has, loses what it holds, and stays down; under it, it does not, and a warm one never.
func TestFallsOver(t *testing.T) {
	fallen := func(rate float64, cold WarmUp) time.Duration {
		s := New(Config{Cores: 2, Speed: 1, Slots: 2, Queue: 1 << 20, WarmUp: cold}, nil, 0)
		const work = 0.001
		for at := time.Duration(0); at < 8*time.Second; at += time.Duration(work / rate * float64(time.Second)) {
			if s.Offer(at, Request{ID: fmt.Sprint(at), Work: work}) == Down {
				if got := s.Advance(at); !got[len(got)-1].Lost || !s.Down() || s.Offer(at+time.Hour, Request{}) != Down {
					t.Errorf("it fell, lost its last: %v, and takes requests again: %v", got[len(got)-1].Lost, !s.Down())
				}
				return at
			}
		}
		return -1
	}
	cold := WarmUp{InitialCapacity: 0.5, Duration: 8 * time.Second, OverloadFactor: 3, OverloadWindow: time.Second}
	// At a rate r from the start, r·t passes 3·(0.5 + t/16)·2·1 s at t = 3/(r - 0.375), if that is within the
	// window; later the window's work is r.
	for _, rate := range []float64{3.6, 4.5, 9} {
		want := 3 / (rate - 0.375)
		if got := fallen(rate, cold).Seconds(); math.Abs(got/want-1) > 0.01 {
			t.Errorf("at %v: it fell after %.3f s, the closed form has %.3f", rate, got, want)
		}
	}
	if got := fallen(2.9, cold); got != -1 {
		t.Errorf("under the multiple it fell after %v", got)
	}
	cold.OverloadFactor = 0
	if got := fallen(20, cold); got != -1 {
		t.Errorf("one that never falls fell after %v", got)
	}
}

// Pauses stop the work for their time, and grow with what is held; thrash and a full table of connections
// slow it.
func TestSlowdowns(t *testing.T) {
	end := func(c Config, held int, conns int) float64 {
		s := New(c, nil, 0)
		for range conns {
			if !s.Connect(0) {
				t.Fatal("no connection")
			}
		}
		for i := range held {
			s.Offer(0, Request{ID: fmt.Sprint(i), Work: 1})
		}
		all := s.Advance(time.Hour)
		return all[len(all)-1].At.Seconds()
	}
	for name, c := range map[string]struct {
		c           Config
		held, conns int
		want        float64
	}{
		"as it is":          {Config{Slots: 1, Queue: 9}, 3, 0, 3},
		"a pause":           {Config{Slots: 1, Queue: 9, Pause: Pause{Interval: 2 * time.Second, Duration: 500 * time.Millisecond}}, 3, 0, 3.5},
		"one that grows":    {Config{Slots: 1, Queue: 9, Pause: Pause{Interval: 2500 * time.Millisecond, Duration: 500 * time.Millisecond, Growth: 1}}, 3, 0, 4},
		"thrash":            {Config{Slots: 1, Queue: 9, ThrashFactor: 0.5, ThrashThreshold: 1}, 3, 0, 2 + 1.5 + 1},
		"a full table":      {Config{Slots: 1, Queue: 9, MaxConns: 4, ConnOverhead: 0.5}, 3, 4, 6},
		"connections' work": {Config{Slots: 3, Queue: 9, ConnSetupWork: 0.25}, 1, 1, 1.25},
	} {
		if got := end(c.c, c.held, c.conns); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("%s: the last ends after %.6f s, want %v", name, got, c.want)
		}
	}
	s := New(Config{MaxConns: 1}, nil, 0)
	if !s.Connect(0) || s.Connect(0) {
		t.Error("the cap on connections does not hold")
	}
	if s.Disconnect(0); !s.Connect(0) {
		t.Error("a connection that was closed is still counted")
	}
}

// What is given up, what nobody waits for, and what repeats a key.
func TestCancelsAndKeys(t *testing.T) {
	run := func(cancel Cancel, drop bool) string {
		s := New(Config{Slots: 1, Queue: 2, Cancel: cancel, DropExpired: drop}, nil, 0)
		got := ""
		for _, id := range []string{"a", "b", "c", "d"} {
			if s.Offer(0, Request{ID: id, Work: 1, Deadline: 1500 * time.Millisecond}) == Rejected {
				got += id + " full "
			}
		}
		s.Cancel(500*time.Millisecond, "a")
		s.Cancel(500*time.Millisecond, "b")
		for _, e := range s.Advance(time.Minute) {
			got += fmt.Sprintf("%s %.1f ", e.ID, e.At.Seconds())
		}
		return got
	}
	for want, c := range map[string]struct {
		cancel Cancel
		drop   bool
	}{
		"d full a 1.0 b 2.0 c 3.0 ": {CancelIgnored, false},
		"d full a 1.0 c 2.0 ":       {CancelQueued, false},
		"d full c 1.5 ":             {CancelAll, false},
		"d full a 1.0 b 2.0 ":       {CancelIgnored, true}, // c's time is over when its turn comes
	} {
		if got := run(c.cancel, c.drop); got != want {
			t.Errorf("%+v: %q, want %q", c, got, want)
		}
	}
	group := &KeyTable{Window: 4 * time.Second}
	one, other := New(Config{Slots: 9}, group, 0), New(Config{Slots: 9}, group, 0)
	one.Offer(0, Request{ID: "a", Key: "k", Work: 1})
	other.Offer(3999*time.Millisecond, Request{ID: "b", Key: "k", Work: 1})
	one.Offer(4*time.Second, Request{ID: "c", Key: "k", Work: 1})
	var seen []bool
	for _, e := range append(slices.Clone(one.Executions()), other.Executions()...) {
		seen = append(seen, e.Discarded)
	}
	if !slices.Equal(seen, []bool{false, false, true}) { // a, c, b
		t.Errorf("discarded: %v", seen)
	}
}

// Whatever it is sent, every request that is taken ends once, or was given up, or the server fell; the
// ledger has each that began; and how time is cut into steps changes nothing.
func TestEveryRequestEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{
			Cores: rapid.IntRange(1, 4).Draw(t, "cores"), Speed: rapid.Float64Range(0.5, 2).Draw(t, "speed"),
			Slots: rapid.IntRange(1, 8).Draw(t, "slots"), Queue: rapid.IntRange(0, 5).Draw(t, "queue"),
			ThrashFactor: rapid.Float64Range(0, 0.5).Draw(t, "thrash"), ThrashThreshold: 1, Cancel: Cancel(rapid.IntRange(0, 2).Draw(t, "cancel")),
		}
		if rapid.Bool().Draw(t, "pauses") {
			c.Pause = Pause{Interval: 50 * time.Millisecond, Duration: 10 * time.Millisecond, Growth: 0.5}
		}
		if rapid.Bool().Draw(t, "cold") {
			c.WarmUp = WarmUp{InitialCapacity: 0.3, Duration: time.Second, OverloadFactor: 3, OverloadWindow: 100 * time.Millisecond}
		}
		coarse, fine := New(c, nil, 0), New(c, nil, 0)
		open, given := make(map[string]bool), make(map[string]bool)
		now, taken := time.Duration(0), 0
		var ends [2][]Completion
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			next := now + time.Duration(rapid.IntRange(0, 30_000).Draw(t, "us"))*time.Microsecond
			ends[0] = append(ends[0], coarse.Advance(next)...)
			for now < next {
				now = min(next, now+3*time.Millisecond)
				ends[1] = append(ends[1], fine.Advance(now)...)
			}
			id := fmt.Sprint(i)
			r := Request{ID: id, Work: rapid.Float64Range(0, 0.1).Draw(t, "work")}
			if rapid.IntRange(0, 4).Draw(t, "cancels") == 0 && i > 0 {
				id := fmt.Sprint(rapid.IntRange(0, i-1).Draw(t, "which"))
				coarse.Cancel(now, id)
				fine.Cancel(now, id)
				given[id] = true
				continue
			}
			v, w := coarse.Offer(now, r), fine.Offer(now, r)
			if v != w {
				t.Fatalf("%s: %v, and in finer steps %v", id, v, w)
			}
			if v == Accepted {
				open[id] = true
				taken++
			}
		}
		ends[0], ends[1] = append(ends[0], coarse.Advance(now+time.Hour)...), append(ends[1], fine.Advance(now+time.Hour)...)
		if len(ends[0]) != len(ends[1]) {
			t.Fatalf("%d ends, and in finer steps %d", len(ends[0]), len(ends[1]))
		}
		for i, e := range ends[0] {
			if f := ends[1][i]; f.ID != e.ID || f.Lost != e.Lost || (f.At-e.At).Abs() > time.Microsecond {
				t.Fatalf("end %d: %+v, and in finer steps %+v", i, e, f)
			}
			if !open[e.ID] {
				t.Fatalf("%s ended twice, or was never taken", e.ID)
			}
			delete(open, e.ID)
		}
		for id := range open {
			if !given[id] {
				t.Fatalf("%s was taken and never ended", id)
			}
		}
		if len(coarse.Executions()) > taken || coarse.InFlight() > 0 {
			t.Fatalf("%d executions of %d taken, %d still held", len(coarse.Executions()), taken, coarse.InFlight())
		}
	})
}
