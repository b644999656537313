// Package plan draws a script: which server is how fast, which of them a fault hits, which requests come
// when, and what each costs. The same script and seed give the same plan, wherever it is played.
package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/script"
	"cobaltward/policy"
)

// Streams of random numbers, one for each matter, so that a change of one moves no other.
const (
	streamServers = iota + 1
	streamFaults
	streamTraffic
	streamDelays
)

// Plan is a script with its draws made. It is only read.
type Plan struct {
	Script  *script.Script
	Seed    uint64
	Servers []Server
	Nodes   []Node
	Faults  []Fault
	// Settings are those of every node; only the number of the node and its zone differ.
	Settings policy.Settings
	works    map[string]model.Work
}

// Server is one server as the script has it at the start.
type Server struct {
	ID        string
	Zone      string
	Kind      string
	Cell      int64
	Weight    float64
	Config    model.Config
	ErrorRate float64
	Msgpack   bool // it speaks MessagePack-RPC, in real time
}

// Node is one instance of the router.
type Node struct {
	Name  string
	Zone  string
	Delay time.Duration // of the news of servers
}

// Fault is one thing that goes wrong, with what it hits.
type Fault struct {
	*script.Fault
	Index   int
	Servers []int // of Plan.Servers
	Nodes   []int // of Plan.Nodes
}

const cellSize = 6

// New draws a script. seed 0 means the script's own.
func New(s *script.Script, seed uint64) (*Plan, error) {
	if seed == 0 {
		seed = s.Seed
	}
	p := &Plan{Script: s, Seed: seed, works: make(map[string]model.Work)}
	p.drawServers()
	p.drawNodes()
	for _, c := range s.Classes {
		p.works[c.Name] = model.Work{Dist: map[string]model.Dist{
			"fixed": model.Fixed, "exponential": model.Exponential,
			"lognormal": model.Lognormal, "pareto": model.Pareto,
		}[c.Dist], Mean: c.Work.Seconds(), CV: c.CV}
	}
	p.Settings = settings(s)
	if err := p.drawFaults(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Plan) stream(n uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, n)) }

func (p *Plan) drawServers() {
	s, rng := p.Script, p.stream(streamServers)
	names := s.ServerNames()
	inZone := make(map[string]int64)
	cells := make(map[string]int64)
	for _, k := range s.Kinds {
		zones := apportion(k.Count, s.Net.Zones, k.Zones)
		for range k.Count {
			i := len(p.Servers)
			speed := k.Speed.Interpolate(rng.Float64())
			cores := float64(k.Cores)
			zone := zones[0]
			zones = zones[1:]
			if inZone[zone]%cellSize == 0 {
				cells[zone] = int64(len(cells)*1000) + inZone[zone]/cellSize
			}
			inZone[zone]++
			c := model.Config{
				Cores: k.Cores, Speed: speed,
				Slots: max(1, int(math.Round(k.Slots.Interpolate(rng.Float64())*cores))), Queue: int(math.Round(k.Queue.Interpolate(rng.Float64()) * cores)),
				ThrashFactor: k.Thrash, ThrashThreshold: k.ThrashAt,
				WarmUp: model.WarmUp{
					InitialCapacity: k.ColdFrom.Interpolate(rng.Float64()), Duration: k.ColdFor, ByWork: k.ColdBy == "work",
					OverloadFactor: s.Rules.FallMultiple, OverloadWindow: s.Rules.FallFor,
				},
				Pause:  model.Pause{Interval: k.PauseEvery, Duration: k.Pause, Growth: k.PauseGrow},
				Cancel: map[string]model.Cancel{"nothing": model.CancelIgnored, "waiting": model.CancelQueued, "all": model.CancelAll}[k.Cancel],

				DropExpired: k.DropExpired, ConnSetupWork: k.ConnWork.Seconds(), MaxConns: k.ConnCap * k.Cores, ConnOverhead: k.FullTax,
			}
			p.Servers = append(p.Servers, Server{ID: names[i], Zone: zone, Kind: k.Name, Cell: cells[zone], Weight: cores, Config: c, ErrorRate: k.ErrorRate, Msgpack: k.Protocol == "msgpack"})
		}
	}
}

// apportion deals n among zones by weight, spread evenly along the list.
func apportion(n int, zones []string, weights map[string]float64) []string {
	got := make([]float64, len(zones))
	all := make([]string, 0, n)
	for range n {
		best := -1
		for z, name := range zones {
			w := 1.0
			if len(weights) > 0 {
				w = weights[name]
			}
			if w > 0 && (best < 0 || (got[z]+1)/w < (got[best]+1)/weight(weights, zones[best])) {
				best = z
			}
		}
		got[best]++
		all = append(all, zones[best])
	}
	return all
}

func weight(weights map[string]float64, zone string) float64 {
	if len(weights) == 0 {
		return 1
	}
	return weights[zone]
}

func (p *Plan) drawNodes() {
	s, rng := p.Script, p.stream(streamDelays)
	zones := apportion(s.Nodes.Count, s.Net.Zones, nil)
	for i, name := range s.NodeNames() {
		p.Nodes = append(p.Nodes, Node{
			Name: name, Zone: zones[i],
			Delay: s.Discovery.Delay + time.Duration(rng.Float64()*float64(s.Discovery.Spread)),
		})
	}
}

// settings are those that a node of this site would be told.
func settings(s *script.Script) policy.Settings {
	set := policy.Settings{
		Nodes: s.Nodes.Count, LoadReportFields: s.Reports,
		Capabilities: policy.Capabilities{
			Cancel: s.Allow.Cancel, Hedge: s.Allow.Hedge, RetryAfter: s.Allow.RetryAfter,
			MaxAttempts: s.Allow.MaxAttempts, MaxRetryAfter: s.Clients.MaxRetryAfter, ConnIdleTimeout: s.Allow.ConnIdle,
		},
		Rules: policy.Rules{DrainGrace: s.Rules.DrainGrace, OverloadFactor: s.Rules.FallMultiple, OverloadDuration: s.Rules.FallFor, AnswerGrace: s.Rules.AnswerGrace},
	}
	for _, c := range s.Classes {
		set.Classes = append(set.Classes, policy.Class{
			Name: c.Name, LatencyObjective: c.Aim, Deadline: c.Deadline, PriorityWeight: 1, LateWeightFraction: c.LateWorth, DedupWindow: c.Window,
			Idempotency: map[string]policy.Idempotency{"free": policy.Idempotent, "guarded": policy.IdempotencyKeyed, "never": policy.NonIdempotent}[c.Repeat],
			DedupScope:  map[string]policy.DedupScope{"all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell}[c.Group],
		})
	}
	for _, t := range s.Tenants {
		set.Tenants = append(set.Tenants, policy.Tenant{Name: t.Name, Quota: t.Share * s.Traffic.Quota, Share: t.Share})
	}
	set.Rules.SlowStartShare = 1
	for _, k := range s.Kinds {
		if k.ColdFrom.Lo > 0 {
			set.Rules.SlowStartShare = min(set.Rules.SlowStartShare, k.ColdFrom.Lo)
			set.Rules.SlowStartWindow = max(set.Rules.SlowStartWindow, k.ColdFor)
		}
	}
	return set
}

// SettingsOf are those of one node.
func (p *Plan) SettingsOf(node int) policy.Settings {
	set := p.Settings
	set.Node, set.Zone = node, p.Nodes[node].Zone
	return set
}

// drawFaults draws what the faults hit. Two that end processes avoid each other's servers.
func (p *Plan) drawFaults() error {
	type use struct{ from, to time.Duration }
	taken := make(map[int][]use)
	ends := func(f *script.Fault) bool {
		return f.Kind == "crash" || f.Kind == "replaced" || f.Kind == "drain" || f.Kind == "list-wrong"
	}
	busy := func(i int, f *script.Fault) bool {
		return ends(f) && slices.ContainsFunc(taken[i], func(u use) bool { return f.At < u.to && u.from < f.Until() })
	}
	take := func(f *script.Fault, all []int) {
		for _, i := range all {
			if ends(f) {
				taken[i] = append(taken[i], use{f.At, f.Until()})
			}
		}
	}
	faults := p.Script.Faults
	p.Faults = make([]Fault, len(faults))
	for i := range faults { // named ones first: a draw makes room for them
		f := &faults[i]
		p.Faults[i] = Fault{Fault: f, Index: i}
		for _, name := range f.Servers {
			p.Faults[i].Servers = append(p.Faults[i].Servers, slices.IndexFunc(p.Servers, func(s Server) bool { return s.ID == name }))
		}
		for _, name := range f.Nodes {
			p.Faults[i].Nodes = append(p.Faults[i].Nodes, slices.IndexFunc(p.Nodes, func(n Node) bool { return n.Name == name }))
		}
		take(f, p.Faults[i].Servers)
	}
	for i := range faults {
		f, rng := &faults[i], rand.New(rand.NewPCG(p.Seed, streamFaults<<32|uint64(i)))
		switch {
		case len(f.Servers)+len(f.Nodes) > 0 || f.Count == 0 && f.Share == 0:
		case f.Kind == "node-crash" || f.Kind == "hot-node":
			n := f.Count
			if n == 0 {
				n = max(1, int(f.Share*float64(len(p.Nodes))))
			}
			if n > len(p.Nodes) {
				return p.Script.Errorf(f, "wants %d nodes, there are %d", n, len(p.Nodes))
			}
			p.Faults[i].Nodes = rng.Perm(len(p.Nodes))[:n]
		default:
			var can []int
			for j, s := range p.Servers {
				if (f.Zone == "" || s.Zone == f.Zone) && (f.Of == "" || s.Kind == f.Of) {
					can = append(can, j)
				}
			}
			n := f.Count
			if n == 0 {
				n = max(1, int(f.Share*float64(len(can))))
			}
			can = slices.DeleteFunc(can, func(j int) bool { return busy(j, f) })
			if n > len(can) {
				return p.Script.Errorf(f, "wants %d servers, %d are there that no other fault ends or drains at that time", n, len(can))
			}
			rng.Shuffle(len(can), func(a, b int) { can[a], can[b] = can[b], can[a] })
			p.Faults[i].Servers = can[:n]
			take(f, can[:n])
		}
		slices.Sort(p.Faults[i].Servers)
		slices.Sort(p.Faults[i].Nodes)
	}
	return nil
}

// Request is one of a client's, with what its draws have made of it.
type Request struct {
	N         int
	At        time.Duration
	ID        string // of its first try
	Class     int    // of Script.Classes
	Tenant    int    // of Script.Tenants
	Zone      string // of the client
	Node      int    // that it is bound for by a fault; -1: the front chooses
	Key       string // idempotency key; empty where the class has none
	Costly    float64
	CostlyBy  int // the fault; -1: none
	OverShare bool
}

// Try is the id of a request's n-th try, 0 for its first.
func (r *Request) Try(n int) string {
	if n == 0 {
		return r.ID
	}
	return fmt.Sprintf("%s.%d", r.ID, n)
}

// Arrivals draws the requests in the order in which they come, whatever becomes of them. It isn't safe for
// concurrent use.
type Arrivals struct {
	p     *Plan
	rng   *rand.Rand
	at    time.Duration
	n     int
	spent []float64 // of each tenant's share: tokens of a bucket of one second
	last  []time.Duration
	peak  float64
}

// Arrivals begins the plan's traffic.
func (p *Plan) Arrivals() *Arrivals {
	a := &Arrivals{p: p, rng: p.stream(streamTraffic), spent: make([]float64, len(p.Script.Tenants)), last: make([]time.Duration, len(p.Script.Tenants))}
	for i := range a.spent {
		a.spent[i] = p.Settings.Tenants[i].Quota
	}
	a.peak = (1 + p.Script.Traffic.Swing)
	for i := range p.Faults {
		f := &p.Faults[i]
		if f.Kind == "surge" || f.Kind == "tenant-burst" {
			a.peak *= max(1, f.Factor)
		}
	}
	return a
}

// factor is how far a traffic fault has risen at a moment: 1 outside of it.
func factor(f *script.Fault, at time.Duration) float64 {
	if at < f.At || at >= f.Until() {
		return 1
	}
	part := 1.0
	if f.Rise > 0 {
		part = min(1, min(at-f.At, f.Until()-at).Seconds()/f.Rise.Seconds())
	}
	return 1 + (f.Factor-1)*part
}

// usage is what a tenant sends at a moment, relative to the others, and the rate of all.
func (a *Arrivals) usage(at time.Duration) (each []float64, rate float64) {
	s := a.p.Script
	base := 0.0
	for _, t := range s.Tenants {
		each = append(each, t.Share*t.Usage)
		base += t.Share * t.Usage
	}
	rate = s.Traffic.Rate / base
	for i := range a.p.Faults {
		f := &a.p.Faults[i]
		switch f.Kind {
		case "surge":
			rate *= factor(f.Fault, at)
		case "tenant-burst":
			t := slices.IndexFunc(s.Tenants, func(t script.Tenant) bool { return t.Name == f.Tenant })
			each[t] *= factor(f.Fault, at)
		}
	}
	sum := 0.0
	for _, u := range each {
		sum += u
	}
	x := at.Seconds() / s.Length.Seconds()
	switch s.Traffic.Shape {
	case "wave":
		rate *= 1 + s.Traffic.Swing*math.Sin(2*math.Pi*at.Seconds()/s.Traffic.PeriodOf(s.Length).Seconds())
	case "square":
		if math.Mod(at.Seconds()/s.Traffic.PeriodOf(s.Length).Seconds(), 1) < 0.5 {
			rate *= 1 + s.Traffic.Swing
		} else {
			rate *= 1 - s.Traffic.Swing
		}
	case "ramp":
		rate *= 1 - s.Traffic.Swing + 2*s.Traffic.Swing*x
	}
	return each, rate * sum
}

// Next is the next request; ok is false once there are no more.
func (a *Arrivals) Next() (r Request, ok bool) {
	s := a.p.Script
	for {
		// Thinning: at the highest rate that there can be, of which the part of the moment's rate is kept.
		a.at += time.Duration(a.rng.ExpFloat64() / (s.Traffic.Rate * a.peak) * float64(time.Second))
		if a.at >= s.Length {
			return Request{}, false
		}
		each, rate := a.usage(a.at)
		if a.rng.Float64()*s.Traffic.Rate*a.peak >= rate {
			continue
		}
		r = Request{N: a.n, At: a.at, Node: -1, Costly: 1, CostlyBy: -1}
		a.n++
		r.ID = fmt.Sprintf("q%08x-%d", uint32(a.p.Seed*2654435761), r.N)
		r.Tenant = choose(a.rng, each)
		r.Class = chooseBy(a.rng, s.Classes, func(c script.Class) float64 { return c.Share })
		r.Zone = s.Net.Zones[chooseBy(a.rng, s.Net.Zones, func(z string) float64 { return weight(s.Traffic.Zones, z) })]
		if s.Classes[r.Class].Repeat == "guarded" {
			r.Key = "k-" + r.ID
		}
		for i := range a.p.Faults {
			f := &a.p.Faults[i]
			if r.At < f.At || r.At >= f.Until() {
				continue
			}
			switch {
			case f.Kind == "costly" && f.Class == s.Classes[r.Class].Name && a.rng.Float64() < f.Part:
				r.Costly, r.CostlyBy = r.Costly*f.Factor, i
			case f.Kind == "hot-node" && a.rng.Float64() < f.Part:
				r.Node = f.Nodes[a.rng.IntN(len(f.Nodes))]
				r.Zone = a.p.Nodes[r.Node].Zone
			}
		}
		quota := a.p.Settings.Tenants[r.Tenant].Quota
		a.spent[r.Tenant] = min(quota, a.spent[r.Tenant]+quota*(r.At-a.last[r.Tenant]).Seconds())
		a.last[r.Tenant] = r.At
		if r.OverShare = a.spent[r.Tenant] < 1; !r.OverShare {
			a.spent[r.Tenant]--
		}
		return r, true
	}
}

func choose(rng *rand.Rand, weights []float64) int {
	return chooseBy(rng, weights, func(w float64) float64 { return w })
}

func chooseBy[T any](rng *rand.Rand, all []T, weight func(T) float64) int {
	sum := 0.0
	for _, v := range all {
		sum += weight(v)
	}
	x := rng.Float64() * sum
	for i, v := range all {
		if x -= weight(v); x < 0 {
			return i
		}
	}
	return len(all) - 1
}

// Work is what a request costs a server of speed 1, in seconds: the same for each of its tries, at every
// server and at every replay.
func (p *Plan) Work(r *Request) float64 {
	return p.works[p.Script.Classes[r.Class].Name].Draw(p.Seed, r.ID) * r.Costly
}

// Chance draws a number above 0 and below 1 for a matter and an id, the same at every replay.
func (p *Plan) Chance(matter, id string) float64 { return model.Uniform(p.Seed, matter+"\x00"+id) }

// Client is the behaviour of a request's client: whether it keeps to Retry-After, and after which part of its
// try it leaves early; 0: it stays.
func (p *Plan) Client(r *Request) (honours bool, leaves float64) {
	c := p.Script.Clients
	honours = p.Chance("honour", r.ID) < c.Honour
	if p.Chance("impatient", r.ID) < c.Impatient {
		leaves = p.Chance("leaves", r.ID)
	}
	return honours, leaves
}

// Wait is how long a client waits before its n-th retry.
func (p *Plan) Wait(n int) time.Duration {
	switch c := p.Script.Clients; c.Backoff {
	case "none":
		return 0
	case "exponential":
		return c.Wait << (n - 1)
	default:
		return c.Wait
	}
}

// ShortestTry is the time below which a client does not try again.
const ShortestTry = 50 * time.Millisecond

// Again is what a client does after its n-th try: whether it tries again, and after which wait. refused says
// that the node did; mayHaveRun, that the client can't know. spent is the time since the request came.
func (p *Plan) Again(r *Request, n int, refused, mayHaveRun bool, retryAfter, spent time.Duration) (wait time.Duration, again bool) {
	class := &p.Script.Classes[r.Class]
	if n > p.Script.Clients.Retries || mayHaveRun && class.Repeat == "never" {
		return 0, false
	}
	wait = p.Wait(n)
	if honours, _ := p.Client(r); refused && honours && retryAfter > 0 {
		wait = max(wait, min(retryAfter, p.Script.Clients.MaxRetryAfter))
	}
	return wait, class.Deadline-spent-wait > ShortestTry
}

// Patience is how long a client waits for a try that it begins when so much time is spent.
func (p *Plan) Patience(r *Request, spent time.Duration) time.Duration {
	deadline := p.Script.Classes[r.Class].Deadline
	return min(time.Duration(p.Script.Clients.TryShare*float64(deadline)), deadline-spent)
}

// Front deals clients out among the nodes of their zone. It isn't safe for concurrent use.
type Front struct {
	p     *Plan
	turn  map[string]int
	zones map[string][]int
	dead  []bool // and known to be
}

// Front returns a front that takes all nodes for alive.
func (p *Plan) Front() *Front {
	f := &Front{p: p, turn: make(map[string]int), zones: make(map[string][]int), dead: make([]bool, len(p.Nodes))}
	for i, n := range p.Nodes {
		f.zones[n.Zone] = append(f.zones[n.Zone], i)
		f.zones[""] = append(f.zones[""], i)
	}
	return f
}

// Notice has the front learn that a node is dead, or alive.
func (f *Front) Notice(node int, dead bool) { f.dead[node] = dead }

// Next is the node for a client of a zone: one of its own zone, else any; -1 where all are dead.
func (f *Front) Next(zone string) int {
	for _, z := range []string{zone, ""} {
		for range f.zones[z] {
			f.turn[z]++
			if n := f.zones[z][f.turn[z]%len(f.zones[z])]; !f.dead[n] {
				return n
			}
		}
	}
	return -1
}

// KeyScope names the table in which a server looks up the repeats of a class's keys.
func (p *Plan) KeyScope(class string, s *Server) (scope string, window time.Duration) {
	for _, c := range p.Settings.Classes {
		if c.Name != class {
			continue
		}
		switch c.DedupScope {
		case policy.DedupZone:
			class += "/" + s.Zone
		case policy.DedupCell:
			class += fmt.Sprintf("/%s/%d", s.Zone, s.Cell)
		}
		return class, c.DedupWindow
	}
	return class, 0
}
