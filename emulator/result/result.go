// Package result is what a rehearsal comes to: the verdict, the service by class, workspace and zone, what it
// cost, and how it went second by second. A Book gathers it while the rehearsal runs.
package result

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"time"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/plan"
	"cobaltward/policy"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// overShareWorth is what a request beyond its workspace's share is worth.
const overShareWorth = 0.05

// End is what became of a request, with all its tries.
type End uint8

// The ends.
const (
	Served End = iota
	Refused
	Failed  // it may have run
	Missed  // its last try found no node, or lost it
	GaveUp  // its client left
	endsNum // how many there are
)

var endNames = [endsNum]string{"served", "refused", "failed", "missed", "gave up"}

// String names the end as reports do.
func (e End) String() string { return endNames[e] }

// Service is the service of a part of the requests.
type Service struct {
	Offered  int     `json:"offered"`
	InAim    int     `json:"served_in_aim"`
	Late     int     `json:"served_late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Missed   int     `json:"missed"`
	GaveUp   int     `json:"gave_up"`
	Within   int     `json:"within_share"`
	WithinOK int     `json:"within_share_in_aim"`
	Worth    float64 `json:"worth"`
	Asked    float64 `json:"worth_offered"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`

	latency histogram
}

// Share is the part of the worth asked for that was earned.
func (s *Service) Share() float64 {
	if s.Asked == 0 {
		return 1
	}
	return s.Worth / s.Asked
}

// Second is one second of a rehearsal.
type Second struct {
	Offered  int `json:"offered"`
	Served   int `json:"served"` // by the second in which they came, as the next two
	Refused  int `json:"refused"`
	Failed   int `json:"failed"` // and missed, and given up
	InFlight int `json:"in_flight"`
	Attempts int `json:"attempts"`
	Crossing int `json:"crossing"` // attempts to another zone
}

// Sample is what the first node has learned of a server at a moment.
type Sample struct {
	Server    string  `json:"server"`
	Inflight  int     `json:"in_flight"`
	Threshold float64 `json:"threshold"`
	Ejected   bool    `json:"ejected,omitempty"`
}

// Level is the level of service at a node, and what it goes by.
type Level struct {
	Level  int     `json:"level"`
	Demand float64 `json:"demand"`
	Slow   float64 `json:"slow"`
}

// Fault is one fault of the script and what it did.
type Fault struct {
	Label   string        `json:"label"`
	Kind    string        `json:"kind"`
	From    time.Duration `json:"from"`
	To      time.Duration `json:"to"`
	Hit     []string      `json:"hit,omitempty"` // servers and nodes
	Met     int           `json:"requests_met"`  // requests that met it
	Served  int           `json:"of_them_served"`
	Alone   int           `json:"met_it_alone"` // and no other
	AloneOK int           `json:"met_it_alone_and_served"`
}

// Result is a whole rehearsal.
type Result struct {
	Title    string              `json:"title"`
	Seed     uint64              `json:"seed"`
	Clock    string              `json:"clock"` // virtual or real
	Length   time.Duration       `json:"length"`
	Servers  int                 `json:"servers"`
	Nodes    int                 `json:"nodes"`
	Zones    []string            `json:"zones"`
	Void     string              `json:"void,omitempty"` // why the rehearsal counts for nothing
	Verdict  *checker.Verdict    `json:"verdict"`
	All      *Service            `json:"all"`
	Classes  map[string]*Service `json:"classes"`
	Tenants  map[string]*Service `json:"tenants"`
	ByZone   map[string]*Service `json:"by_zone"`
	Tries    int                 `json:"tries"`
	Attempts int                 `json:"attempts"`
	Repeats  int                 `json:"repeats"`   // attempts beyond a try's first
	Crossing int                 `json:"crossings"` // attempts to another zone
	Conns    int                 `json:"connections"`
	Work     float64             `json:"work_s"`  // of servers, begun
	Waste    float64             `json:"waste_s"` // of it, for nobody
	Offered  float64             `json:"work_offered_s"`
	Seconds  []Second            `json:"seconds"`
	Samples  [][]Sample          `json:"samples"`          // of the first node, by the second
	Levels   []Level             `json:"levels,omitempty"` // of service at the first node, by the second
	Faults   []Fault             `json:"faults"`
	Digest   string              `json:"digest"` // of what became of every request
	LagMax   time.Duration       `json:"generator_lag_max"`
}

// Outcome is what a request came to.
type Outcome struct {
	End      End
	Took     time.Duration // from the moment at which it was to be sent
	Tries    int
	Attempts int
	Met      []int // faults, by number, ascending
}

// Book gathers a result. It isn't safe for concurrent use.
type Book struct {
	p       *plan.Plan
	r       *Result
	digest  hash.Hash
	flying  int
	useful  float64
	detail  func(r *plan.Request, o Outcome)
	scratch []byte
}

// NewBook begins a result. detail, where it is not nil, is told what becomes of each request.
func NewBook(p *plan.Plan, clock string, detail func(*plan.Request, Outcome)) *Book {
	s := p.Script
	r := &Result{
		Title: s.Title, Seed: p.Seed, Clock: clock, Length: s.Duration, Servers: len(p.Servers), Nodes: len(p.Nodes), Zones: s.Network.Zones,
		All: newService(), Classes: make(map[string]*Service), Tenants: make(map[string]*Service), ByZone: make(map[string]*Service),
	}
	for _, c := range s.Classes {
		r.Classes[c.Name] = newService()
	}
	for _, t := range s.Tenants {
		r.Tenants[t.Name] = newService()
	}
	for _, z := range s.Network.Zones {
		r.ByZone[z] = newService()
	}
	for i := range p.Faults {
		f := &p.Faults[i]
		var hit []string
		for _, n := range f.Servers {
			hit = append(hit, p.Servers[n].ID)
		}
		for _, n := range f.Nodes {
			hit = append(hit, p.Nodes[n].Name)
		}
		r.Faults = append(r.Faults, Fault{Label: f.Label(), Kind: f.Kind, From: f.At, To: f.End(), Hit: hit})
	}
	return &Book{p: p, r: r, digest: sha256.New(), detail: detail}
}

// at is the second of a moment.
func (b *Book) at(now time.Duration) *Second {
	n := int(max(0, now) / time.Second)
	for len(b.r.Seconds) <= n {
		b.r.Seconds = append(b.r.Seconds, Second{InFlight: b.flying})
	}
	return &b.r.Seconds[n]
}

// Offered books a request that comes.
func (b *Book) Offered(r *plan.Request) {
	b.at(r.At).Offered++
	b.flying++
	b.at(r.At).InFlight = max(b.at(r.At).InFlight, b.flying)
	b.r.Offered += b.p.Work(r)
}

// Try books one try at a node.
func (b *Book) Try() { b.r.Tries++ }

// Attempt books an attempt at a server.
func (b *Book) Attempt(now time.Duration, n int, crossing bool) {
	b.r.Attempts++
	if n > 0 {
		b.r.Repeats++
	}
	s := b.at(now)
	s.Attempts++
	if crossing {
		b.r.Crossing++
		s.Crossing++
	}
}

// Connect books a new connection to a server.
func (b *Book) Connect() { b.r.Conns++ }

// Work books work that a server begins; Useful that an answer of it has reached its client.
func (b *Book) Work(work float64) { b.r.Work += work }

// Useful books work whose answer has reached the client.
func (b *Book) Useful(work float64) { b.useful += work }

// Done books what became of a request.
func (b *Book) Done(now time.Duration, r *plan.Request, o Outcome) {
	b.flying--
	s := b.p.Script
	class := s.Classes[r.Class]
	second := b.at(r.At)
	switch o.End {
	case Served:
		second.Served++
	case Refused:
		second.Refused++
	default:
		second.Failed++
	}
	worth := 1.0
	if r.OverQuota {
		worth = overShareWorth
	}
	inAim := o.End == Served && o.Took <= class.LatencyObjective
	for _, v := range []*Service{b.r.All, b.r.Classes[class.Name], b.r.Tenants[s.Tenants[r.Tenant].Name], b.r.ByZone[r.Zone]} {
		v.Offered++
		v.Asked += worth
		if !r.OverQuota {
			v.Within++
		}
		switch o.End {
		case Served:
			v.latency.add(o.Took)
			if inAim {
				v.InAim++
				v.Worth += worth
				if !r.OverQuota {
					v.WithinOK++
				}
			} else {
				v.Late++
				v.Worth += worth * class.LateWeightFraction
			}
		case Refused:
			v.Refused++
		case Failed:
			v.Failed++
		case Missed:
			v.Missed++
		case GaveUp:
			v.GaveUp++
		}
	}
	for _, f := range o.Met {
		m := &b.r.Faults[f]
		m.Met++
		if o.End == Served {
			m.Served++
		}
		if len(o.Met) == 1 {
			m.Alone++
			if o.End == Served {
				m.AloneOK++
			}
		}
	}
	b.scratch = fmt.Appendf(b.scratch[:0], "%s %d %d %d %d %v\n", r.ID, o.End, o.Took, o.Tries, o.Attempts, o.Met)
	b.digest.Write(b.scratch)
	if b.detail != nil {
		b.detail(r, o)
	}
}

// Sample books what a node has learned.
func (b *Book) Sample(views []policy.View) {
	row := make([]Sample, 0, len(views))
	for _, v := range views {
		row = append(row, Sample{v.Server, v.InFlight, math.Round(v.Threshold*100) / 100, v.Ejected})
	}
	b.r.Samples = append(b.r.Samples, row)
}

// Level books a node's level of service.
func (b *Book) Level(l Level) { b.r.Levels = append(b.r.Levels, l) }

// Lag books how late the traffic was sent.
func (b *Book) Lag(d time.Duration) { b.r.LagMax = max(b.r.LagMax, d) }

// Void says that the rehearsal counts for nothing, and why.
func (b *Book) Void(why string) { b.r.Void = why }

// End returns the result.
func (b *Book) End(v *checker.Verdict) *Result {
	b.r.Verdict = v
	b.r.Waste = max(0, b.r.Work-b.useful)
	b.r.Digest = hex.EncodeToString(b.digest.Sum(nil))
	all := []*Service{b.r.All}
	for _, m := range []map[string]*Service{b.r.Classes, b.r.Tenants, b.r.ByZone} {
		for _, s := range m {
			all = append(all, s)
		}
	}
	for _, s := range all {
		s.P50, s.P99 = s.latency.quantile(0.5), s.latency.quantile(0.99)
	}
	return b.r
}

// histogram holds latencies, in microseconds, to two figures: bounded, however many.
type histogram struct{ *hdrhistogram.Histogram }

const longestLatency = int64(time.Hour / time.Microsecond)

func newService() *Service {
	return &Service{latency: histogram{hdrhistogram.New(1, longestLatency, 2)}}
}

func (h histogram) add(d time.Duration) {
	_ = h.RecordValue(min(longestLatency, max(1, d.Microseconds()))) // within its bounds
}

// quantile is that of the times, in milliseconds; 0 where there are none.
func (h histogram) quantile(q float64) float64 {
	return float64(h.ValueAtQuantile(100*q)) / 1000
}
