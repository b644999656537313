package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// world plays random legal events at one node and checks the rules that a node keeps alone: one final
// answer in time, no forbidden repeat or refusal, no late send to a draining server, placement, and
// the budget of attempts. It keeps its own books and shares no code with the module.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	set   Settings
	b     *Balancer
	now   Time
	list  map[string]Endpoint
	told  map[string]Time // when a server was said to drain or be gone
	open  map[string]*play
	ids   int
	tasks []task // outcomes, timers, probe results to come
	log   []string
	// One attempt in faulty/5 fails, all take up to slowest ms, and requests come every so often.
	faulty, slowest, every int

	took  []Time // all requests taken
	extra []Time // all attempts beyond a request's first
}

type play struct {
	Request
	class    Class
	deadline Time
	tries    []try
	ended    bool
}

type try struct {
	server Endpoint
	sent   Time
	over   bool
	notRun bool
}

type task struct {
	at Time
	do func()
}

func newWorld(t *testing.T, seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	set := site([]int{1, 3, 12, 60}[seed%4])
	set.Node = rng.IntN(set.Nodes)
	set.Subscribe, set.KeyAffinity = seed%5 == 0, seed%3 == 0
	set.Capabilities.Probe, set.LoadReportFields = seed%2 == 0, []string{"inflight"}
	set.Capabilities.Cancel, set.Capabilities.Hedge = seed%7 != 0, seed%6 != 0
	if seed%8 == 0 {
		set.Tenants = nil
	}
	if seed%2 == 1 {
		set.Rules.RetryBudget = &RetryBudget{MinRetries: float64(rng.IntN(3)), RetryRatio: 0.05, Window: 5 * time.Second}
	}
	for i := range set.Classes { // windows shorter than the time a request is worth another attempt
		set.Classes[i].DedupWindow = time.Duration(20+rng.IntN(150)) * ms
	}
	switch seed % 3 {
	case 1:
		set.Classes[seed%5].Kinds = []string{"k1", "k2"}
	case 2:
		set.Classes[seed%5].Zones = []string{"b"}
		set.Classes[(seed+1)%5].Kinds = []string{"k0"}
	}
	b, err := New(set, 0, seed)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, rng: rng, set: set, b: b, list: map[string]Endpoint{}, told: map[string]Time{}, open: map[string]*play{},
		faulty: []int{8, 20, 60}[seed/3%3], slowest: []int{300, 50}[seed/2%2], every: []int{1, 8}[seed/4%2],
	}
	for _, m := range members(1 + rng.IntN(9)) {
		if rng.IntN(4) == 0 {
			m.OnlineSince = 1
		}
		w.list[m.Server] = m
	}
	w.event(EndpointList{Kind: ListRestored, Endpoints: w.members()})
	return w
}

func (w *world) members() []Endpoint {
	var out []Endpoint
	for i := range 10 {
		if m, ok := w.list[fmt.Sprintf("s%02d", i)]; ok {
			out = append(out, m)
		}
	}
	return out
}

func (w *world) later(d time.Duration, do func()) { w.tasks = append(w.tasks, task{w.now + d, do}) }

func (w *world) event(ev Event) {
	for _, a := range slices.Clone(w.b.Handle(w.now, ev)) {
		w.log = append(w.log, fmt.Sprintf("%v %+v", w.now, a))
		w.act(a)
	}
}

func (w *world) act(a Action) {
	p := w.open[a.ID]
	switch a.Kind {
	case Send:
		w.send(p, a)
	case Reject, Fail:
		w.answer(p, a)
	case Cancel:
		if !w.set.Capabilities.Cancel || a.Attempt >= len(p.tries) {
			w.t.Errorf("cancel of an unknown attempt, or where it is not allowed: %+v", a)
		}
	case SetTimer:
		w.later(max(a.Wait, ms), func() { w.event(Timer{Token: a.Token}) })
	case Probe:
		code, load := OK, float64(w.rng.IntN(6))
		if !w.set.Capabilities.Probe {
			w.t.Errorf("probe where it is not allowed")
		}
		if w.rng.IntN(3) > 0 {
			w.later(ms*time.Duration(w.rng.IntN(30)), func() {
				w.event(ProbeResult{Server: a.Server, Code: code, LoadReport: []float64{load}})
			})
		}
	case WatchEndpoints:
		if w.rng.IntN(2) == 0 {
			w.later(ms, func() { w.event(EndpointList{Kind: ListUnavailable}) })
		}
	}
}

func (w *world) send(p *play, a Action) {
	m, listed := w.list[a.Server]
	if told, ok := w.told[a.Server]; ok && w.now > told+w.set.Rules.DrainGrace {
		w.t.Errorf("%s drains since %v, sent to at %v", a.Server, told, w.now)
	}
	if !listed && w.told[a.Server] == 0 {
		w.t.Errorf("unknown server %q", a.Server)
	}
	if p == nil || p.ended || w.now >= p.deadline {
		w.t.Fatalf("send after the end: %+v", a)
	}
	pending := 0
	for _, x := range p.tries {
		if !x.over {
			pending++
		}
		if x.notRun {
			continue
		}
		switch p.class.Idempotency {
		case NonIdempotent:
			w.t.Errorf("%s sent again though it may have run", p.class.Name)
		case IdempotencyKeyed:
			g := p.class.DedupScope
			if w.now > x.sent+p.class.DedupWindow || g == DedupZone && m.Zone != x.server.Zone ||
				g == DedupCell && m.Cell != x.server.Cell {
				w.t.Errorf("%s sent again outside its group or window", p.class.Name)
			}
		}
	}
	if pending > 0 && !w.set.Capabilities.Hedge || len(p.tries) >= w.set.Capabilities.MaxAttempts {
		w.t.Errorf("a second copy or an attempt too many: %+v", a)
	}
	if c := p.class; len(c.Kinds) > 0 && !slices.Contains(c.Kinds, m.Kind) ||
		len(c.Zones) > 0 && !slices.Contains(c.Zones, m.Zone) {
		w.t.Errorf("%s sent to %s of kind %s in zone %s", c.Name, a.Server, m.Kind, m.Zone)
	}
	if len(p.tries) > 0 {
		w.ration()
	}
	n := len(p.tries)
	p.tries = append(p.tries, try{server: m, sent: w.now})
	until := p.deadline
	if a.Until > 0 {
		until = min(until, a.Until)
	}
	code, took := OK, time.Duration(w.rng.IntN(w.slowest))*ms
	if w.rng.IntN(w.faulty) < 5 {
		code = []Code{ServerError, Overloaded, ConnectFailed, Reset, TimedOut}[w.rng.IntN(5)]
	}
	if code == TimedOut || w.now+took > until {
		code, took = TimedOut, until-w.now
	}
	w.later(took, func() {
		p.tries[n].over, p.tries[n].notRun = true, code.NotExecuted()
		if code == OK {
			p.ended = true
		}
		ev := Outcome{ID: p.ID, Attempt: n, Server: a.Server, Code: code, Latency: took, Answered: p.ended}
		w.event(ev)
		if w.rng.IntN(20) == 0 {
			w.event(ev) // twice
		}
	})
}

// ration checks the budget of attempts by its own count.
func (w *world) ration() {
	w.extra = append(w.extra, w.now)
	q := w.set.Rules.RetryBudget
	if q == nil {
		return
	}
	within := func(all []Time) (n int) {
		for _, at := range all {
			if at > w.now-q.Window {
				n++
			}
		}
		return n
	}
	if n, most := within(w.extra), q.MinRetries+q.RetryRatio*float64(within(w.took)); float64(n) > most {
		w.t.Errorf("%d attempts beyond the first in %v, at most %v allowed", n, q.Window, most)
	}
}

func (w *world) answer(p *play, a Action) {
	if p == nil || p.ended {
		w.t.Fatalf("answered twice: %+v", a)
	}
	p.ended = true
	for _, x := range p.tries {
		safe := p.class.Idempotency == Idempotent || p.class.Idempotency == IdempotencyKeyed && p.class.DedupScope == DedupAll
		if a.Kind == Reject && !x.notRun && !safe {
			w.t.Errorf("%s refused though it may have run", p.class.Name)
		}
	}
}

func (w *world) step() {
	w.now += time.Duration(1+w.rng.IntN(4)) * ms
	stall := w.rng.IntN(400) == 0 // the node gets no turn, and then all that came meanwhile at once
	if stall {
		w.now += time.Duration(w.rng.IntN(900)) * ms
	}
	due := w.tasks
	w.tasks = nil
	slices.SortStableFunc(due, func(x, y task) int { return int(x.at - y.at) })
	for _, k := range due {
		if k.at > w.now {
			w.tasks = append(w.tasks, k)
			continue
		}
		k.do()
	}
	for id, p := range w.open { // order is irrelevant: only checked and dropped
		if !p.ended && w.now > p.deadline+5*ms && !stall {
			w.t.Fatalf("%s (%s) has no answer in time", id, p.class.Name)
		}
		if p.ended && w.now > p.deadline+time.Second {
			delete(w.open, id)
		}
	}
	switch w.rng.IntN(60) {
	case 0:
		w.change()
	case 1:
		w.event(Timer{Token: w.rng.Uint64()})
		w.event(ClientGone{ID: "nobody"})
		w.event(Outcome{ID: "nobody", Server: "nowhere"})
		w.event(ProbeResult{Server: "nowhere"})
		w.event(PeerMessage{From: 99, Body: "\x00"})
	}
	if w.rng.IntN(w.every) == 0 {
		for range w.rng.IntN(3) {
			w.arrive()
		}
	}
}

func (w *world) arrive() {
	w.ids++
	c := Class{Name: "stranger"}
	if w.rng.IntN(10) > 0 {
		c = w.set.Classes[w.rng.IntN(len(w.set.Classes))]
	}
	r := Request{
		ID: fmt.Sprint("r", w.ids), Class: c.Name, Tenant: []string{"t", "t", "u", "?", ""}[w.rng.IntN(5)],
		ExpiresIn: time.Duration(1+w.rng.IntN(600)) * ms, Key: fmt.Sprint(w.rng.IntN(30)),
	}
	p := &play{Request: r, class: c, deadline: w.now + r.ExpiresIn}
	w.open[r.ID] = p
	w.took = append(w.took, w.now)
	w.event(r)
	if !p.ended && w.rng.IntN(40) == 0 {
		w.later(ms, func() {
			if !p.ended {
				p.ended = true
				w.event(ClientGone{ID: r.ID})
			}
		})
	}
}

// change drains, removes, restarts or adds a server, or sends the whole list.
func (w *world) change() {
	id := fmt.Sprintf("s%02d", w.rng.IntN(10))
	m, listed := w.list[id]
	switch {
	case !listed:
		m = members(10)[w.rng.IntN(10)]
		m.OnlineSince = w.now
		w.list[m.Server] = m
		delete(w.told, m.Server)
	case w.rng.IntN(3) == 0:
		m.OnlineSince, m.Availability = w.now, Running
		w.list[id] = m
		delete(w.told, id)
	case m.Availability == Running:
		m.Availability = Draining
		w.list[id] = m
		w.told[id] = w.now
	default:
		m.Availability = Removed
		delete(w.list, id)
	}
	if w.rng.IntN(2) == 0 {
		w.event(EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{m}})
		return
	}
	w.event(EndpointList{Kind: ListReplace, Endpoints: w.members()})
}

func TestBalancer_KeepsInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(t, seed)
		for range 1500 {
			w.step()
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func TestBalancer_IsDeterministic(t *testing.T) {
	run := func() []string {
		w := newWorld(t, 12)
		for range 800 {
			w.step()
		}
		return w.log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("the same events led to other actions")
	}
}

// What is kept for a request goes once it is over.
func TestBalancer_ForgetsFinishedRequests(t *testing.T) {
	w := newWorld(t, 4)
	for range 3000 {
		w.step()
	}
	if n := len(w.b.requests); n > 600 {
		t.Errorf("%d requests kept", n)
	}
}
