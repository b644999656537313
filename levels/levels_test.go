package levels

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"cobaltward/dropoverload"

	"pgregory.net/rapid"
)

var classes = []Class{{Name: "hladanie"}, {Name: "rezervacia", ShedLast: true}, {Name: "zrusenie"}}

// ladder sheds searches first, then cancellations with them, and bookings never.
func ladder() Config {
	slow := func(bound float64, d time.Duration) []Condition {
		return []Condition{{Signal: SlowAnswers, Threshold: bound, For: d}}
	}
	calm := []Condition{{Signal: SlowAnswers, Threshold: 0.05, For: 10 * time.Second}}
	return Config{Classes: classes, Levels: []Level{
		{Name: "fewer searches", Enter: slow(0.15, 3*time.Second), Exit: calm, Measures: []Measure{{Class: "hladanie", Shed: 0.4, NoHedging: true}}},
		{Name: "bookings first", Enter: slow(0.2, 3*time.Second), Exit: calm, Measures: []Measure{{Class: "hladanie", Shed: 0.8}, {Class: "zrusenie", Shed: 0.3, MaxAttempts: 1}}},
	}}
}

// plant is servers that carry so much work a second: what is more comes late, whichever class it is of, and leaves a
// backlog that makes what follows late as well.
type plant struct{ carries, backlog float64 }

// second plays one second of load, in requests of each class, under a ladder; nil: without one.
func (p *plant) second(l *Controller, load map[string]float64, work map[string]float64) map[string]Window {
	out, asked := make(map[string]Window), p.backlog
	for _, c := range classes {
		s := Window{Offered: load[c.Name], Work: work[c.Name]}
		if l != nil {
			s.Shed = s.Offered * l.Effect(c.Name, "t").Shed
		}
		asked += (s.Offered - s.Shed) * s.Work
		out[c.Name] = s
	}
	late := math.Max(0, 1-p.carries/math.Max(asked, 1e-9))
	p.backlog = math.Min(math.Max(0, asked-p.carries), p.carries) // deadlines bound it
	for name, s := range out {
		n := s.Offered - s.Shed
		s.OnTime, s.Late, s.Open = n*(1-late), n*late, n
		out[name] = s
	}
	return out
}

func load(total float64) map[string]float64 {
	return map[string]float64{"hladanie": total * 0.5, "rezervacia": total * 0.3, "zrusenie": total * 0.2}
}

var work = map[string]float64{"hladanie": 1, "rezervacia": 1, "zrusenie": 1}

// play plays seconds of a load, and returns the part of bookings and of all requests that were served in time.
func play(l *Controller, seconds int, of func(i int) (map[string]float64, map[string]float64)) (booked, all float64) {
	p := plant{carries: 100}
	var onTime, offered, total, ever float64
	for i := range seconds {
		amount, cost := of(i)
		s := p.second(l, amount, cost)
		for name, x := range s {
			total, ever = total+x.OnTime, ever+x.Offered
			if name == "rezervacia" {
				onTime, offered = onTime+x.OnTime, offered+x.Offered
			}
		}
		if l != nil {
			l.Step(time.Duration(i+1)*time.Second, s)
		}
	}
	return onTime / offered, total / ever
}

// Loads that hover at the bound, that swing across it, and that hold far beyond it, for twenty minutes: never more
// than one change in 30 s, ever fewer where it swings, and bookings are served better than without levels.
func TestDoesNotSwing(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for name, of := range map[string]func(i int) float64{
		"hovers":           func(int) float64 { return 100 + 10*rng.Float64() },
		"slow swing":       func(i int) float64 { return 100 + 25*math.Sin(2*math.Pi*float64(i)/60) },
		"fast swing":       func(i int) float64 { return 110 + 30*math.Sin(2*math.Pi*float64(i)/7) },
		"square":           func(i int) float64 { return 85 + 60*float64(i/45%2) },
		"far beyond":       func(int) float64 { return 180 },
		"a long Monday":    func(i int) float64 { return 80 + 60*math.Sin(math.Pi*float64(i)/1200) },
		"hovers just over": func(int) float64 { return 118 },
	} {
		t.Run(name, func(t *testing.T) {
			l, err := New(ladder())
			if err != nil {
				t.Fatal(err)
			}
			with := func(i int) (map[string]float64, map[string]float64) { return load(of(i)), work }
			booked, all := play(l, 1200, with)
			without, allWithout := play(nil, 1200, with)
			last := -time.Hour
			for _, e := range l.Events() {
				if e.At-last < 30*time.Second {
					t.Errorf("%v after the change before: %+v", e.At-last, e)
				}
				last = e.At
			}
			t.Logf("%d changes; bookings in time %.3f (%.3f without levels), all %.3f (%.3f)", len(l.Events()), booked, without, all, allWithout)
			if booked < without-0.005 {
				t.Errorf("bookings in time %.3f, %.3f without levels", booked, without)
			}
			if len(l.Events()) > 24 { // twenty minutes of one change each 50 s
				t.Errorf("%d changes", len(l.Events()))
			}
		})
	}
}

// One class becomes costly while the number of requests is as ever: the level is entered for what the work is, and
// left once it is over.
func TestCostlyClass(t *testing.T) {
	l, err := New(ladder())
	if err != nil {
		t.Fatal(err)
	}
	dear := map[string]float64{"hladanie": 3, "rezervacia": 1, "zrusenie": 1}
	of := func(i int) (map[string]float64, map[string]float64) {
		if i >= 60 && i < 240 {
			return load(70), dear
		}
		return load(70), work
	}
	booked, _ := play(l, 600, of)
	without, _ := play(nil, 600, of)
	if len(l.Events()) == 0 || l.Events()[0].At < time.Minute || l.Events()[0].At > 80*time.Second {
		t.Errorf("not entered when searches became costly: %+v", l.Events())
	}
	if n, _, why := l.Level(); n != 0 {
		t.Errorf("at level %d at the end: %s", n, why)
	}
	if booked < without+0.05 {
		t.Errorf("bookings in time %.3f, %.3f without levels", booked, without)
	}
	t.Logf("bookings in time %.3f (%.3f without levels), %+v", booked, without, l.Events())
}

// Whatever is counted: one step at a time, no two changes within the least time but by hand, each an event that says
// why, guarded classes never shed more than others, and the level by hand holds while it is to.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, err := New(ladder())
		if err != nil {
			t.Fatal(err)
		}
		last, events := -time.Hour, 0
		var hand time.Duration
		for i := range rapid.IntRange(1, 300).Draw(t, "seconds") {
			now := time.Duration(i+1) * time.Second
			before, _, _ := l.Level()
			byHand := rapid.IntRange(0, 40).Draw(t, "hand") == 0
			if byHand {
				d := time.Duration(rapid.IntRange(1, 60).Draw(t, "for")) * time.Second
				if err := l.SetManual(now, rapid.IntRange(0, 2).Draw(t, "level"), d, "x", "y"); err != nil {
					t.Fatal(err)
				}
				hand = now + d
			} else {
				s := make(map[string]Window)
				for _, c := range classes {
					n := rapid.Float64Range(0, 100).Draw(t, "n")
					s[c.Name] = Window{Offered: n, Work: 1, OnTime: n * rapid.Float64Range(0, 1).Draw(t, "on time"), Late: n * rapid.Float64Range(0, 1).Draw(t, "late"), Open: n}
				}
				l.Step(now, s)
			}
			after, name, why := l.Level()
			switch {
			case !byHand && (after > before+1 || after < before-1):
				t.Fatalf("from %d to %d in one step", before, after)
			case !byHand && after != before && now < hand:
				t.Fatalf("moved to %d, though a level by hand holds until %v", after, hand)
			case !byHand && after != before && now-last < 30*time.Second:
				t.Fatalf("moved %v after the change before", now-last)
			case why == "" || name == "":
				t.Fatal("no reason")
			}
			if after != before {
				last = now
				events++
				if e := l.Events()[len(l.Events())-1]; e.To != after || e.From != before || e.Reason != why || e.Name != name {
					t.Fatalf("%+v", e)
				}
			}
			if e := l.Effect("x", "t"); e != (Effect{}) {
				t.Fatalf("a class without a measure: %+v", e)
			}
			if l.Effect("rezervacia", "t").Shed > min(l.Effect("hladanie", "t").Shed, l.Effect("zrusenie", "t").Shed) {
				t.Fatal("bookings are shed first")
			}
		}
	})
}

func TestErrors(t *testing.T) {
	enter, exit := []Condition{{Signal: SlowAnswers, Threshold: 0.2}}, []Condition{{Signal: SlowAnswers, Threshold: 0.1}}
	measure := []Measure{{Class: "hladanie", Shed: 0.5}}
	good := Level{"a", enter, exit, measure}
	change := func(f func(*Level)) []Level { l := good; f(&l); return []Level{l} }
	for says, all := range map[string][]Level{
		"level 2: name: \"a\" is there twice": {good, good},
		"name: want one of its own":           change(func(l *Level) { l.Name = "full" }),
		"it is never entered":                 change(func(l *Level) { l.Enter = nil }),
		"it is never left":                    change(func(l *Level) { l.Exit = nil }),
		"it does nothing":                     change(func(l *Level) { l.Measures = nil }),
		"want the exit below the entry":       change(func(l *Level) { l.Exit = enter }),
		"there is no such class":              change(func(l *Level) { l.Enter = []Condition{{Class: "x", Threshold: 1}} }),
		`a measure for class "x"`:             change(func(l *Level) { l.Measures = []Measure{{Class: "x", Shed: 1}} }),
		"shed: want 0 to 1":                   change(func(l *Level) { l.Measures = []Measure{{Class: "hladanie", Shed: 2}} }),
		"the measure does nothing":            change(func(l *Level) { l.Measures = []Measure{{Class: "hladanie"}} }),
		"0.5 of rezervacia, which is guarded": change(func(l *Level) {
			l.Measures = []Measure{{Class: "rezervacia", Shed: 0.5}, {Class: "hladanie", Shed: 0.9}}
		}),
		"it can't be reached on its own": {good, {"b", []Condition{{Signal: SlowAnswers, Threshold: 0.15}}, exit, measure}},
	} {
		if _, err := New(Config{Levels: all, Classes: classes}); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%v, want %q", err, says)
		}
	}
	if _, err := New(ladder()); err != nil {
		t.Error(err)
	}
}

// A reload in the midst of a level: the level goes on if the new ladder has one of its name, else the nearest below it
// does; nothing is shed that neither ladder sheds, what is set by hand goes with its level, and the time between two
// changes is kept across it.
func TestAdopt(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(what string) Config {
			c := Config{Classes: []Class{{Name: "x"}}, MinInterval: 30 * time.Second}
			for i, n := range rapid.Permutation(names).Draw(rt, what)[:rapid.IntRange(1, len(names)).Draw(rt, what+" levels")] {
				c.Levels = append(c.Levels, Level{
					Name: n, Enter: []Condition{{Signal: Demand, Threshold: 1.1 + 0.1*float64(i)}}, Exit: []Condition{{Signal: Demand, Threshold: 0.9}},
					Measures: []Measure{{Class: "x", Shed: 0.1 * float64(i+1)}},
				})
			}
			return c
		}
		c := draw("first")
		l, err := New(c)
		if err != nil {
			rt.Skip(err)
		}
		now, last := time.Duration(0), -time.Hour
		for range rapid.IntRange(1, 60).Draw(rt, "seconds") {
			now += time.Second
			before, name, _ := l.Level()
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0:
				next := draw("next")
				moved, err := l.Reconfigure(now, next)
				if err != nil {
					if n, same, _ := l.Level(); n != before || same != name {
						rt.Fatal("a ladder that was refused has changed the level")
					}
					continue
				}
				want := 0
				for n := before; n > 0 && want == 0; n-- {
					want = slices.IndexFunc(next.Levels, func(x Level) bool { return x.Name == c.Levels[n-1].Name }) + 1
				}
				n, now2, _ := l.Level()
				if n != want || moved != (before > 0 && now2 != name) {
					rt.Fatalf("from %d, %s, to %d, %s; want %d; moved %v", before, name, n, now2, want, moved)
				}
				if c = next; moved {
					last = now
				}
			case 1:
				if err := l.SetManual(now, rapid.IntRange(0, len(c.Levels)).Draw(rt, "by hand"), 5*time.Second, "w", "y"); err != nil {
					rt.Fatal(err)
				}
				if n, _, _ := l.Level(); n != before {
					last = now
				}
			default:
				work := rapid.Float64Range(0, 200).Draw(rt, "offered")
				l.Step(now, map[string]Window{"x": {Offered: work, Work: 1, OnTime: min(work, 50), Late: max(0, work-50)}})
				if n, _, _ := l.Level(); n != before {
					if now-last < 30*time.Second {
						rt.Fatalf("changed %v after the change before", now-last)
					}
					last = now
				}
			}
		}
	})
}

// The way out is tried with half of what the level adds: where that brings the signal back over its bound, the level stays
// without a change; and what is forbidden is not entered.
func TestWayOutIsTried(t *testing.T) {
	c := Config{Classes: []Class{{Name: "x"}}, MinInterval: time.Second, Levels: []Level{{
		Name: "less", Enter: []Condition{{Signal: SlowAnswers, Threshold: 0.2}},
		Exit: []Condition{{Signal: SlowAnswers, Threshold: 0.1}}, Measures: []Measure{{Class: "x", Shed: 0.8}},
	}}}
	for _, bears := range []bool{false, true} { // the half that is let in
		l, err := New(c)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.SetMaxLevel(0, 0, "who", "why"); err != nil {
			t.Fatal(err)
		}
		tried, left := 0, false
		for i := range 120 {
			now := time.Duration(i+1) * time.Second
			if i == 30 {
				if n, _, _ := l.Level(); n != 0 {
					t.Fatal("a level that is forbidden was entered")
				}
				if err := l.SetMaxLevel(now, -1, "who", "why"); err != nil {
					t.Fatal(err)
				}
			}
			late := 0.5
			if e := l.Effect("x", ""); e.Shed > 0.7 || bears && e.Shed > 0 || left {
				late = 0
			}
			was := l.ExitProbing()
			l.Step(now, map[string]Window{"x": {Offered: 10, Work: 1, OnTime: 10 * (1 - late), Late: 10 * late}})
			if l.ExitProbing() && !was {
				if tried++; l.Effect("x", "").Shed != 0.4 {
					t.Errorf("sheds %v while its end is tried, want 0.4", l.Effect("x", "").Shed)
				}
			}
			n, _, _ := l.Level()
			left = left || i > 60 && n == 0
		}
		if bears != left || tried == 0 || !bears && (tried < 2 || len(l.Events()) != 1) {
			t.Errorf("half is borne: %v; left: %v, after %d tries, %v", bears, left, tried, l.Events())
		}
	}
}

func BenchmarkEffect(b *testing.B) {
	l, err := New(ladder())
	if err != nil {
		b.Fatal(err)
	}
	if err := l.SetManual(0, 2, 0, "who", "why"); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if l.Effect("hladanie", "t").Shed == 0 {
			b.Fatal("nothing is shed")
		}
	}
}

// Load that swings round what servers carry, sinusoidal with noise, at every period from 1 s to 120 s and from 20 seeds: never
// two changes within 30 s, never two levels at once, and who is let in is the same part of each tenant's requests.
func TestEveryPeriod(t *testing.T) {
	for _, period := range []float64{1, 2, 5, 10, 20, 30, 45, 60, 90, 120} {
		most := 0
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 1))
			l, err := New(ladder())
			if err != nil {
				t.Fatal(err)
			}
			phase := 2 * math.Pi * rng.Float64()
			play(l, 1200, func(i int) (map[string]float64, map[string]float64) {
				return load(105 + 25*math.Sin(2*math.Pi*float64(i)/period+phase) + 8*rng.NormFloat64()), work
			})
			last := -time.Hour
			for _, e := range l.Events() {
				if e.At-last < 30*time.Second || e.To > e.From+1 || e.To < e.From-1 {
					t.Fatalf("period %v, seed %d: %+v, %v after the change before", period, seed, e, e.At-last)
				}
				last = e.At
			}
			most = max(most, len(l.Events()))
		}
		if most > 40 {
			t.Errorf("period %v s: %d changes in 1200 s", period, most)
		}
		t.Logf("period %v s: at most %d changes in 20 minutes", period, most)
	}
	// By id: Jain's index of the parts of 20 tenants' requests that are let in.
	var sum, squares float64
	for tenant := range 20 {
		in := 0
		for i := range 2000 {
			if dropoverload.Fraction(fmt.Sprintf("t%d-%d", tenant, i)) >= 0.5 {
				in++
			}
		}
		part := float64(in) / 2000
		sum, squares = sum+part, squares+part*part
	}
	if jain := sum * sum / (20 * squares); jain < 0.99 {
		t.Errorf("Jain's index %.4f", jain)
	}
}

// A measure that follows sheds what demand lacks, each second: nothing while servers carry all, never more than its most,
// and the next one what is left.
func TestFollow(t *testing.T) {
	at := func(shed float64, class string) Measure { return Measure{Class: class, Shed: shed, FollowDemand: true} }
	c := Config{Classes: []Class{{Name: "a"}, {Name: "b"}}, Levels: []Level{
		{Name: "one", Enter: []Condition{{Threshold: 1.1}}, Exit: []Condition{{Threshold: 0.5}}, Measures: []Measure{at(0.5, "a")}},
		{Name: "two", Enter: []Condition{{Threshold: 1.2}}, Exit: []Condition{{Threshold: 0.5}}, Measures: []Measure{at(0.8, "a"), at(0.4, "b")}},
	}}
	l, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	if err := l.SetManual(0, 2, 0, "who", "why"); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ total, a, b, shedA, shedB float64 }{
		{0.9, 0.5, 0.4, 0, 0}, {1.2, 0.8, 0.4, 0.25, 0}, {1.5, 0.8, 0.7, 0.625, 0}, {1.7, 0.8, 0.9, 0.8, 0.06 / 0.9}, {3, 1, 2, 0.8, 0.4},
	} {
		l.signals = map[signalKey]float64{{Demand, ""}: x.total, {Demand, "a"}: x.a, {Demand, "b"}: x.b}
		l.updateShed()
		if a, b := l.Effect("a", "").Shed, l.Effect("b", "").Shed; math.Abs(a-x.shedA) > 1e-9 || math.Abs(b-x.shedB) > 1e-9 {
			t.Errorf("%+v: sheds %.3f and %.3f", x, a, b)
		}
	}
}
