// Package sim plays a plan in virtual time: the engine and its module as they are, around them models of the
// servers, the network, discovery, the front and the clients. One goroutine, no clock, no socket: the same
// plan comes to the same end every time, byte for byte.
package sim

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
	"cobaltward/emulator/script"
	"cobaltward/internal/learnedstate"
	"cobaltward/internal/safeguards"
	"cobaltward/levels"
	"cobaltward/policy"
	"cobaltward/router"
)

// epoch is the wall clock at a rehearsal's beginning.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// Options are what a rehearsal may be told beside its plan.
type Options struct {
	// Without is what the engines lack, by node; nil for nothing. Each engine has a module of its own.
	Without func() safeguards.Overrides
	// Careless transports send to drained servers, and Lying ones take every reset for proof that nothing ran.
	Careless, Lying bool
	Levels          *levels.Config // of every node; nil: full service always
	Remember        time.Duration  // how often nodes keep what they know, for their restart; 0: they do not
	Progress        func(at time.Duration)
	Detail          func(*plan.Request, result.Outcome)

	sent func(at time.Duration, node, server string) // of tests: an attempt goes out
}

// world is everything that there is.
type world struct {
	p     *plan.Plan
	o     Options
	q     queue
	now   time.Duration
	judge *checker.Checker
	book  *result.Recorder

	servers []*server
	byID    map[string]*server
	nodes   []*node
	front   *plan.Balancer
	cut     map[string]int // zones that are cut off
	keys    keyTables

	unheard  int                 // faults that keep discovery silent
	late     []time.Duration     // delays that the list has on top
	flying   int                 // requests without their end
	traffic  bool                // more is to come
	requests map[string]*request // by the id of a try
	engines  error
}

// Run plays a plan to its end.
func Run(ctx context.Context, p *plan.Plan, o Options) (*result.Result, error) {
	w := &world{
		p: p, o: o, byID: make(map[string]*server), front: p.NewBalancer(),
		cut: make(map[string]int), book: result.NewRecorder(p, "virtual", o.Detail), traffic: true,
	}
	w.keys.world = w
	w.judge = checker.New(Rulebook(p, w.place))
	for i := range p.Servers {
		w.addServer(&p.Servers[i], p.Servers[i].ID, i, true)
	}
	for i := range p.Nodes {
		if err := w.addNode(i); err != nil {
			return nil, err
		}
	}
	for i := range p.Faults {
		w.schedule(&p.Faults[i])
	}
	w.arrive(p.Arrivals())
	w.sample()
	if o.Remember > 0 {
		w.remember()
	}
	var progress time.Duration
	for n := 0; len(w.q.heap) > 0; n++ {
		if !w.traffic && w.flying == 0 && w.now > p.Script.Duration+longest(p) {
			break
		}
		e := w.q.take()
		w.now = max(w.now, e.at)
		e.do()
		if w.engines != nil {
			return nil, w.engines
		}
		if n&0xfff == 0 {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			if o.Progress != nil && w.now >= progress {
				o.Progress(w.now)
				progress = w.now + time.Second
			}
		}
	}
	return w.book.Finish(w.judge.Finish()), nil
}

// Rulebook is what a judge must know of a plan.
func Rulebook(p *plan.Plan, place func(server string) (string, int64)) checker.Config {
	b := checker.Config{Classes: make(map[string]checker.Class), AnswerGrace: p.Settings.Rules.AnswerGrace, DrainGrace: p.Settings.Rules.DrainGrace, Place: place}
	for _, c := range p.Settings.Classes {
		b.Classes[c.Name] = checker.Class{Idempotency: c.Idempotency, DedupScope: c.DedupScope, DedupWindow: c.DedupWindow}
	}
	return b
}

func longest(p *plan.Plan) (d time.Duration) {
	for _, c := range p.Settings.Classes {
		d = max(d, c.Deadline+c.DedupWindow)
	}
	return d
}

func (w *world) after(d time.Duration, do func()) { w.q.put(w.now+d, do) }

// delay is a one-way delay, drawn for an id and a matter.
func (w *world) delay(base time.Duration, matter, id string) time.Duration {
	if w.p.Script.Network.Jitter == 0 {
		return base
	}
	return base + time.Duration(float64(base)*w.p.Script.Network.Jitter*w.p.Chance(matter, id))
}

func (w *world) between(a, b string) time.Duration {
	if a == b {
		return w.p.Script.Network.SameZoneDelay
	}
	return w.p.Script.Network.CrossZoneDelay
}

// parted tells whether nothing passes between two zones.
func (w *world) parted(a, b string) bool { return a != b && (w.cut[a] > 0 || w.cut[b] > 0) }

func (w *world) place(id string) (string, int64) {
	if s := w.byID[id]; s != nil {
		return s.spec.Zone, s.spec.Cell
	}
	return "", 0
}

// sample books what the first node has learned, by the second.
func (w *world) sample() {
	if n := w.nodes[0]; n.engine != nil {
		w.book.Sample(n.engine.Views())
		if st, err := n.engine.Level(); err == nil {
			w.book.Level(result.Level{Level: st.Level, Demand: st.Demand, Slow: st.Slow})
		}
	} else {
		w.book.Sample(nil)
	}
	if w.now < w.p.Script.Duration {
		w.after(time.Second, w.sample)
	}
}

// remember has each node keep what it knows, now and then.
func (w *world) remember() {
	for _, n := range w.nodes {
		if n.engine == nil {
			continue
		}
		k, err := n.engine.ExportState()
		if err != nil {
			w.engines = err
			return
		}
		n.kept = learnedstate.Snapshot{Version: learnedstate.Version, Node: n.spec.Name, At: epoch.Add(w.now), State: k}
	}
	if w.now < w.p.Script.Duration {
		w.after(w.o.Remember, w.remember)
	}
}

// schedule puts a fault on the timeline.
func (w *world) schedule(f *plan.Fault) {
	w.q.put(f.At, func() { w.begin(f) })
	w.q.put(f.End(), func() { w.end(f) })
}

func (w *world) begin(f *plan.Fault) {
	for _, i := range f.Servers {
		s := w.servers[i]
		switch f.Kind {
		case script.FaultCrash, script.FaultReplaced:
			s.crash()
			s.heard(policy.Removed)
		case script.FaultDrain:
			s.heard(policy.Draining)
		case script.FaultListWrong:
			s.heard(policy.Removed)
		case script.FaultSilent:
			s.silence(f)
		default:
			s.faults = append(s.faults, f)
		}
	}
	switch f.Kind {
	case script.FaultDiscoveryDown:
		w.unheard++
	case script.FaultListLate:
		w.late = append(w.late, f.Delay)
	case script.FaultZoneCut:
		w.cut[f.Zone]++
	case script.FaultNodeCrash:
		for _, i := range f.Nodes {
			w.nodes[i].crash(f)
		}
	}
}

func (w *world) end(f *plan.Fault) {
	for _, i := range f.Servers {
		s := w.servers[i]
		switch f.Kind {
		case script.FaultCrash:
			s.restart()
		case script.FaultReplaced:
			w.servers[i] = w.addServer(s.spec, s.id+"r", i, false)
			w.servers[i].heard(policy.Running)
		case script.FaultDrain:
			s.crash()
			s.restart()
		case script.FaultListWrong:
			s.heard(policy.Running)
		case script.FaultSilent:
			s.speak(f)
		default:
			s.faults = slices.DeleteFunc(s.faults, func(g *plan.Fault) bool { return g == f })
		}
	}
	switch f.Kind {
	case script.FaultDiscoveryDown:
		if w.unheard--; w.unheard == 0 {
			for _, n := range w.nodes {
				n.listen()
			}
		}
	case script.FaultListLate:
		w.late = slices.Delete(w.late, slices.Index(w.late, f.Delay), slices.Index(w.late, f.Delay)+1)
	case script.FaultZoneCut:
		if w.cut[f.Zone]--; w.cut[f.Zone] == 0 {
			for _, n := range w.nodes {
				n.unstick()
			}
		}
	case script.FaultNodeCrash:
		for _, i := range f.Nodes {
			if err := w.nodes[i].restart(); err != nil {
				w.engines = fmt.Errorf("sim: %s: %w", w.nodes[i].spec.Name, err)
			}
		}
	}
}

// memberOf is what discovery tells of a server.
func (s *server) member(state policy.Availability) router.Endpoint {
	m := router.Endpoint{ID: s.id, Addr: s.addr, Zone: s.spec.Zone, Kind: s.spec.Kind, Cell: s.spec.Cell, Weight: s.spec.Weight, Availability: state}
	if s.started > 0 {
		m.Started = epoch.Add(s.started)
	}
	return m
}
