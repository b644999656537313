// Package script reads the scripts of rehearsals: a site, its traffic, and what goes wrong in it and when.
// docs/rehearse.md describes them.
package script

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cobaltward/internal/stricttoml"

	"github.com/pelletier/go-toml/v2"
)

// Script is a whole script. Times count from the first request on.
type Script struct {
	Title     string        `toml:"title"`
	Base      string        `toml:"base"` // a script that this one changes: tables key by key, lists as a whole
	Seed      uint64        `toml:"seed"`
	Length    time.Duration `toml:"length" need:"1" min:"100ms" max:"1h"` // in which requests come
	Net       Net           `toml:"net"`
	Nodes     Nodes         `toml:"nodes"`
	Discovery Discovery     `toml:"discovery"`
	Kinds     []Kind        `toml:"kind" need:"1"`
	Classes   []Class       `toml:"class" need:"1"`
	Tenants   []Tenant      `toml:"tenant" need:"1"`
	Traffic   Traffic       `toml:"traffic" need:"1"`
	Clients   Clients       `toml:"clients"`
	Reports   []string      `toml:"reports" one:"inflight|queue|util"` // figures of load reports, in real time
	Allow     Allow         `toml:"allow"`
	Rules     Rules         `toml:"rules"`
	Faults    []Fault       `toml:"fault"`

	lines stricttoml.Lines
	path  string
}

// Net is the network. Delays are one way.
type Net struct {
	Zones   []string      `toml:"zones"`
	Same    time.Duration `toml:"same" min:"0s" max:"1s"`
	Cross   time.Duration `toml:"cross" min:"0s" max:"1s"`
	Client  time.Duration `toml:"client" min:"0s" max:"1s"`
	Jitter  float64       `toml:"jitter" min:"0" max:"1"`      // part of a delay that it may be longer
	Connect time.Duration `toml:"connect" min:"1ms" max:"10s"` // a connection that does not come up by then is given up
	RTTs    int           `toml:"handshake_rtts" min:"1" max:"4"`
}

// Nodes are the instances of the router.
type Nodes struct {
	Count    int           `toml:"count" min:"1" max:"200"`
	Notice   time.Duration `toml:"notice" min:"0s" max:"1m"` // how long the front goes on sending to a dead one
	MaxConns int           `toml:"max_conns" min:"1"`        // of one to all servers
	MaxOpen  int           `toml:"max_open" min:"1"`
}

// Discovery is how news of servers reaches the nodes.
type Discovery struct {
	Delay  time.Duration `toml:"delay" min:"0s" max:"1m"`
	Spread time.Duration `toml:"spread" min:"0s" max:"1m"` // a node's may be longer by so much
	Form   string        `toml:"form" one:"own|xds"`       // in real time; own: the protocol's
	Silent time.Duration `toml:"silent" min:"0s" max:"1h"` // after which a machine that says nothing is taken off the list; 0: never
}

// Kind is one kind of server.
type Kind struct {
	Name        string             `toml:"name" need:"1"`
	Count       int                `toml:"count" need:"1" min:"1" max:"5000"`
	Zones       map[string]float64 `toml:"zones" min:"0"` // weights; none: evenly
	Cores       int                `toml:"cores" min:"1" max:"256"`
	Speed       stricttoml.Range   `toml:"speed" min:"0.001" max:"1000"`
	Slots       stricttoml.Range   `toml:"slots" min:"0.01" max:"1000"`    // a core
	Queue       stricttoml.Range   `toml:"queue" min:"0" max:"10000"`      // a core
	Thrash      float64            `toml:"thrash" min:"0" max:"10"`        // capacity is divided by 1 + this for each request a core
	ThrashAt    float64            `toml:"thrash_at" min:"0" max:"10000"`  // held beyond this
	ColdFrom    stricttoml.Range   `toml:"cold_from" min:"0" max:"1"`      // part of its capacity at a start; 0: warm at once
	ColdFor     time.Duration      `toml:"cold_for" min:"0s" max:"10m"`    // until it is warm
	ColdBy      string             `toml:"cold_by" one:"time|work"`        //
	PauseEvery  time.Duration      `toml:"pause_every" min:"0s" max:"10m"` // 0s: never
	Pause       time.Duration      `toml:"pause" min:"0s" max:"1m"`        //
	PauseGrow   float64            `toml:"pause_grow" min:"0" max:"10"`    // part longer for each request a core held
	Cancel      string             `toml:"cancel" one:"nothing|waiting|all"`
	DropExpired bool               `toml:"drop_expired"`
	ConnWork    time.Duration      `toml:"conn_work" min:"0s" max:"1s"`
	ConnCap     int                `toml:"conn_cap" min:"0"` // a core; 0: no bound
	FullTax     float64            `toml:"full_tax" min:"0" max:"0.9"`
	ErrorRate   float64            `toml:"error_rate" min:"0" max:"1"`
	Protocol    string             `toml:"protocol" one:"http|msgpack"` // in real time
}

// Class is one class of requests.
type Class struct {
	Name      string        `toml:"name" need:"1"`
	Share     float64       `toml:"share" need:"1" min:"0"`
	Work      time.Duration `toml:"work" need:"1" min:"1us" max:"1h"` // mean, of a core of speed 1
	Dist      string        `toml:"dist" one:"fixed|exponential|lognormal|pareto"`
	CV        float64       `toml:"cv" min:"0.01" max:"20"`
	Aim       time.Duration `toml:"aim" need:"1" min:"1ms"`
	Deadline  time.Duration `toml:"deadline" need:"1" min:"10ms" max:"10m"`
	LateWorth float64       `toml:"late_worth" min:"0" max:"1"`
	Repeat    string        `toml:"repeat" need:"1" one:"free|guarded|never"`
	Group     string        `toml:"group" one:"all|zone|cell"`
	Window    time.Duration `toml:"window" min:"0s" max:"1h"`
}

// Tenant is one workspace.
type Tenant struct {
	Name  string  `toml:"name" need:"1"`
	Share float64 `toml:"share" need:"1" min:"0" max:"1"`
	Usage float64 `toml:"usage" min:"0" max:"1000"` // what it sends, in shares of its own; 0: 1
}

// Traffic is what the clients send, open loop.
type Traffic struct {
	Rate  float64            `toml:"rate" need:"1" min:"0.1" max:"1000000"` // first tries a second, by all
	Quota float64            `toml:"quota" min:"0"`                         // a second that the shares are of; 0: the rate
	Zones map[string]float64 `toml:"zones" min:"0"`                         // weights; none: evenly
	Shape string             `toml:"shape" one:"steady|wave|ramp|square"`
	// Period is that of a wave or a square; 0: half of the script.
	Period time.Duration `toml:"period" min:"100ms" max:"1h"`
	Swing  float64       `toml:"swing" min:"0" max:"1"` // of the wave and the square: part by which the rate goes up and down; of the ramp: from 1 - swing to 1 + swing
}

// Clients are what they do when they are not served.
type Clients struct {
	Retries       int           `toml:"retries" min:"0" max:"10"`
	TryShare      float64       `toml:"try_share" min:"0.05" max:"1"` // of the deadline, after which a try is given up
	Backoff       string        `toml:"backoff" one:"none|fixed|exponential"`
	Wait          time.Duration `toml:"wait" min:"0s" max:"1m"`        // of the backoff
	Honour        float64       `toml:"honour" min:"0" max:"1"`        // part of them that keep to Retry-After
	MaxRetryAfter time.Duration `toml:"max_retry_after" min:"0s"`      // that they keep to
	Impatient     float64       `toml:"impatient" min:"0" max:"1"`     // part of tries that leave early
	DuplicateIDs  float64       `toml:"duplicate_ids" min:"0" max:"1"` // part of requests that come twice under one id
}

// Allow is what the site lets nodes do.
type Allow struct {
	Cancel      bool          `toml:"cancel"`
	Hedge       bool          `toml:"second_copies"`
	RetryAfter  bool          `toml:"retry_after"`
	MaxAttempts int           `toml:"max_attempts" min:"1" max:"100"`
	ConnIdle    time.Duration `toml:"conn_idle" min:"1s" max:"1h"`
}

// Rules are the figures of the four rules.
type Rules struct {
	DrainGrace   time.Duration `toml:"drain_grace" min:"0s"`
	FallMultiple float64       `toml:"fall_multiple" min:"1"`
	FallFor      time.Duration `toml:"fall_for" min:"1ms"`
	AnswerGrace  time.Duration `toml:"answer_grace" min:"0s"`
}

// Fault is one thing that goes wrong. Which of its keys count depends on its kind.
type Fault struct {
	Name string        `toml:"name"`
	Kind string        `toml:"kind" need:"1"`
	At   time.Duration `toml:"at" need:"1" min:"0s"`
	For  time.Duration `toml:"for" min:"0s"`

	Servers []string `toml:"servers"` // by name; else a draw
	Count   int      `toml:"count" min:"1"`
	Share   float64  `toml:"share" min:"0" max:"1"`
	Zone    string   `toml:"zone"`
	Of      string   `toml:"of"` // a kind of server

	Part   float64       `toml:"part" min:"0" max:"1"` // of requests
	Factor float64       `toml:"factor" min:"0" max:"1000"`
	Delay  time.Duration `toml:"delay" min:"0s" max:"10m"`
	Class  string        `toml:"class"`
	Tenant string        `toml:"tenant"`
	Nodes  []string      `toml:"nodes"`
	Rise   time.Duration `toml:"rise" min:"0s"` // of traffic: until it is at its full factor, and again at its end

	line int
}

// what a kind of fault is about, and the keys that it takes beside name, kind, at and for.
type faultKind struct {
	about string // servers, nodes, traffic, discovery, zone
	takes []string
	needs []string
}

var (
	which = []string{"servers", "count", "share", "zone", "of"}
	kinds = map[string]faultKind{
		"fast-errors":    {"servers", append([]string{"part"}, which...), []string{"for", "part"}},
		"hung":           {"servers", which, []string{"for"}},
		"silent":         {"servers", which, []string{"for"}},
		"slow":           {"servers", append([]string{"factor"}, which...), []string{"for", "factor"}},
		"reset":          {"servers", append([]string{"part"}, which...), []string{"for", "part"}},
		"half-answer":    {"servers", append([]string{"part"}, which...), []string{"for", "part"}},
		"garbled":        {"servers", append([]string{"part"}, which...), []string{"for", "part"}},
		"crash":          {"servers", which, []string{"for"}},
		"replaced":       {"servers", which, []string{"for"}},
		"drain":          {"servers", which, []string{"for"}},
		"list-wrong":     {"servers", which, []string{"for"}},
		"discovery-down": {"discovery", nil, []string{"for"}},
		"list-late":      {"discovery", []string{"delay"}, []string{"for", "delay"}},
		"node-crash":     {"nodes", []string{"nodes", "count", "share"}, []string{"for"}},
		"zone-cut":       {"zone", []string{"zone"}, []string{"for", "zone"}},
		"tenant-burst":   {"traffic", []string{"tenant", "factor", "rise"}, []string{"for", "tenant", "factor"}},
		"hot-node":       {"nodes", []string{"nodes", "count", "share", "part", "rise"}, []string{"for", "part"}},
		"costly":         {"traffic", []string{"class", "part", "factor"}, []string{"for", "class", "part", "factor"}},
		"surge":          {"traffic", []string{"factor", "rise"}, []string{"for", "factor"}},
	}
)

// process tells whether a fault ends or drains server processes: two such can't meet at one server.
func (f *Fault) process() bool {
	return f.Kind == "crash" || f.Kind == "replaced" || f.Kind == "drain" || f.Kind == "list-wrong"
}

// Until is when the fault ends.
func (f *Fault) Until() time.Duration { return f.At + f.For }

// Label names the fault in reports.
func (f *Fault) Label() string {
	if f.Name != "" {
		return f.Name
	}
	return fmt.Sprintf("%s at %v", f.Kind, f.At)
}

// Line is where the fault stands in the script.
func (f *Fault) Line() int { return f.line }

// Load reads the script at path. Errors are one line that names the file, the line and what is allowed.
func Load(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(filepath.ToSlash(path), text)
}

// Parse reads a script's text; path names it in errors.
func Parse(path string, text []byte) (*Script, error) {
	s := &Script{
		Title: strings.TrimSuffix(filepath.Base(path), ".toml"), Seed: 1, path: path,
		Net: Net{
			Zones: []string{"bystrica", "presov", "nitra"}, Same: 200 * time.Microsecond, Cross: 8 * time.Millisecond,
			Client: 600 * time.Microsecond, Jitter: 0.2, Connect: 250 * time.Millisecond, RTTs: 1,
		},
		Nodes:     Nodes{Count: 3, Notice: 2 * time.Second, MaxConns: 512, MaxOpen: 1 << 14},
		Discovery: Discovery{Delay: time.Second, Spread: 500 * time.Millisecond, Silent: 8 * time.Second},
		Clients:   Clients{TryShare: 1, Backoff: "fixed", Wait: 100 * time.Millisecond, Honour: 0.6, MaxRetryAfter: 2 * time.Second},
		Allow:     Allow{Cancel: true, Hedge: true, RetryAfter: true, MaxAttempts: 5, ConnIdle: time.Minute},
		Rules:     Rules{DrainGrace: 500 * time.Millisecond, FallMultiple: 3, FallFor: time.Second, AnswerGrace: 50 * time.Millisecond},
	}
	title := s.Title
	if base := baseOf(text); base != "" {
		at := filepath.FromSlash(base)
		if !filepath.IsAbs(at) {
			at = filepath.Join(filepath.Dir(path), at)
		}
		under, err := os.ReadFile(at)
		if err != nil {
			return nil, fmt.Errorf("%s:1: base: %w", path, err)
		}
		if baseOf(under) != "" {
			return nil, fmt.Errorf("%s:1: base: %s has a base itself, which is one too many", path, base)
		}
		if _, err := Parse(filepath.ToSlash(at), under); err != nil {
			return nil, err
		}
		if _, err := stricttoml.Decode(under, s); err != nil {
			return nil, fmt.Errorf("%s:%w", filepath.ToSlash(at), err)
		}
		s.Title, s.Faults = title, nil
	}
	lines, err := stricttoml.Decode(text, s)
	if err == nil {
		s.lines = lines
		s.defaults()
		err = s.check()
	}
	if err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return s, nil
}

// baseOf is the base that a script names, if any.
func baseOf(text []byte) string {
	var b struct {
		Base string `toml:"base"`
	}
	_ = toml.Unmarshal(text, &b) // what is wrong comes out when the whole is read
	return b.Base
}

func (s *Script) defaults() {
	for i := range s.Kinds {
		k := &s.Kinds[i]
		k.Cores = max(1, k.Cores)
		for _, d := range []struct {
			r *stricttoml.Range
			v float64
		}{{&k.Speed, 1}, {&k.Slots, 8}, {&k.Queue, 20}} {
			if *d.r == (stricttoml.Range{}) {
				*d.r = stricttoml.Range{Lo: d.v, Hi: d.v}
			}
		}
		if k.Cancel == "" {
			k.Cancel = "all"
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Dist == "" {
			c.Dist = "lognormal"
		}
		if c.CV == 0 {
			c.CV = 1
		}
		if c.Group == "" {
			c.Group = "all"
		}
	}
	for i := range s.Tenants {
		if s.Tenants[i].Usage == 0 {
			s.Tenants[i].Usage = 1
		}
	}
	if s.Traffic.Quota == 0 {
		s.Traffic.Quota = s.Traffic.Rate
	}
	for i := range s.Faults {
		s.Faults[i].line = s.lines.At(fmt.Sprintf("fault[%d]", i))
	}
}

// check says what in the script makes no sense.
func (s *Script) check() error {
	if len(s.Net.Zones) == 0 {
		return s.lines.Errorf("net.zones", "want one zone or more")
	}
	if err := s.names("net.zones", "", s.Net.Zones); err != nil {
		return err
	}
	names := make([]string, 0, len(s.Kinds))
	for i, k := range s.Kinds {
		names = append(names, k.Name)
		at := fmt.Sprintf("kind[%d]", i)
		if err := s.zones(at+".zones", k.Zones); err != nil {
			return err
		}
		if k.ColdFrom.Lo > 0 && k.ColdFor == 0 {
			return s.lines.Errorf(at+".cold_from", "cold_for says for how long, and is missing")
		}
	}
	if err := s.names("kind", ".name", names); err != nil {
		return err
	}
	names, share := nil, 0.0
	for i, c := range s.Classes {
		names, share = append(names, c.Name), share+c.Share
		at := fmt.Sprintf("class[%d]", i)
		if c.Aim > c.Deadline {
			return s.lines.Errorf(at+".aim", "want at most the deadline, %v, got %v", c.Deadline, c.Aim)
		}
		if c.Repeat == "guarded" && c.Window == 0 {
			return s.lines.Errorf(at, "window: missing: for how long do servers drop the repeats of a key?")
		}
	}
	if math.Abs(share-1) > 1e-6 {
		return s.lines.Errorf("class[0].share", "the shares of all classes add up to %.4g, want 1", share)
	}
	if err := s.names("class", ".name", names); err != nil {
		return err
	}
	names, share = nil, 0
	for _, t := range s.Tenants {
		names, share = append(names, t.Name), share+t.Share
	}
	if share > 1+1e-6 {
		return s.lines.Errorf("tenant[0].share", "the shares of all tenants add up to %.4g, want at most 1", share)
	}
	if err := s.names("tenant", ".name", names); err != nil {
		return err
	}
	if err := s.zones("traffic.zones", s.Traffic.Zones); err != nil {
		return err
	}
	for i := range s.Faults {
		if err := s.checkFault(i); err != nil {
			return err
		}
	}
	return nil
}

// names says which of several names is empty or there twice.
func (s *Script) names(at, field string, names []string) error {
	for i, n := range names {
		key := fmt.Sprintf("%s[%d]%s", at, i, field)
		if n == "" || strings.ContainsFunc(n, func(r rune) bool { return r <= ' ' || r > '~' || r == ',' }) {
			return s.lines.Errorf(key, "want a name of printable ASCII without blanks and commas, got %q", n)
		}
		if slices.Index(names, n) < i {
			return s.lines.Errorf(key, "%q is there twice", n)
		}
	}
	return nil
}

func (s *Script) zones(at string, weights map[string]float64) error {
	sum := 0.0
	for _, z := range sorted(weights) {
		if !slices.Contains(s.Net.Zones, z) {
			return s.lines.Errorf(at+"."+z, "unknown zone; there are %s", strings.Join(s.Net.Zones, ", "))
		}
		sum += weights[z]
	}
	if len(weights) > 0 && sum <= 0 {
		return s.lines.Errorf(at, "want a weight above 0")
	}
	return nil
}

// ServerNames are the names that scripts call servers by.
func (s *Script) ServerNames() (all []string) {
	for _, k := range s.Kinds {
		for range k.Count {
			all = append(all, fmt.Sprintf("s-%04d", len(all)+1))
		}
	}
	return all
}

// NodeNames are the names that scripts call nodes by.
func (s *Script) NodeNames() (all []string) {
	for i := range s.Nodes.Count {
		all = append(all, fmt.Sprintf("n%d", i+1))
	}
	return all
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// oneOf says that a name is none of those that there are.
func (s *Script) oneOf(key, what, name string, names []string) error {
	if name == "" || slices.Contains(names, name) {
		return nil
	}
	if len(names) > 12 {
		names = []string{names[0], names[1], "...", names[len(names)-1]}
	}
	return s.lines.Errorf(key, "there is no %s %q; there are %s", what, name, strings.Join(names, ", "))
}

func (s *Script) checkFault(i int) error {
	f, at := &s.Faults[i], fmt.Sprintf("fault[%d]", i)
	kind, ok := kinds[f.Kind]
	if !ok {
		return s.lines.Errorf(at+".kind", "want one of %s, got %q", strings.Join(sorted(kinds), ", "), f.Kind)
	}
	for _, key := range []string{"servers", "count", "share", "zone", "of", "part", "factor", "delay", "class", "tenant", "nodes", "rise", "for"} {
		_, there := s.lines[at+"."+key]
		if there && key != "for" && !slices.Contains(kind.takes, key) {
			return s.lines.Errorf(at+"."+key, "means nothing to %s; it takes name, at, for%s", f.Kind, list(kind.takes))
		}
		if !there && slices.Contains(kind.needs, key) {
			return s.lines.Errorf(at, "%s: missing; %s needs it", key, f.Kind)
		}
	}
	if f.At >= s.Length {
		return s.lines.Errorf(at+".at", "want before the end at %v, got %v", s.Length, f.At)
	}
	if f.For <= 0 {
		return s.lines.Errorf(at+".for", "want a time above 0s")
	}
	if 2*f.Rise > f.For {
		return s.lines.Errorf(at+".rise", "want at most half of for, got %v", f.Rise)
	}
	if f.Factor == 0 && slices.Contains(kind.needs, "factor") {
		return s.lines.Errorf(at+".factor", "want above 0")
	}
	classes, tenants, ofs := make([]string, 0), make([]string, 0), make([]string, 0)
	for _, c := range s.Classes {
		classes = append(classes, c.Name)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, t.Name)
	}
	for _, k := range s.Kinds {
		ofs = append(ofs, k.Name)
	}
	for _, check := range []struct {
		key, what, name string
		names           []string
	}{{".zone", "zone", f.Zone, s.Net.Zones}, {".class", "class", f.Class, classes}, {".tenant", "tenant", f.Tenant, tenants}, {".of", "kind of server", f.Of, ofs}} {
		if err := s.oneOf(at+check.key, check.what, check.name, check.names); err != nil {
			return err
		}
	}
	for j, name := range f.Servers {
		if err := s.oneOf(fmt.Sprintf("%s.servers[%d]", at, j), "server", name, s.ServerNames()); err != nil {
			return err
		}
	}
	for j, name := range f.Nodes {
		if err := s.oneOf(fmt.Sprintf("%s.nodes[%d]", at, j), "node", name, s.NodeNames()); err != nil {
			return err
		}
	}
	if kind.about == "servers" || kind.about == "nodes" {
		said := 0
		for _, b := range []bool{len(f.Servers)+len(f.Nodes) > 0, f.Count > 0, f.Share > 0} {
			if b {
				said++
			}
		}
		if said != 1 {
			return s.lines.Errorf(at, "say which %s by one of %s, count and share", kind.about, kind.about)
		}
	}
	if f.Kind == "list-late" && f.Delay == 0 {
		return s.lines.Errorf(at+".delay", "want above 0s")
	}
	// Two ends of one process can't overlap. Drawn servers avoid one another; named ones can't.
	for j := range i {
		g := &s.Faults[j]
		meet := f.At < g.Until() && g.At < f.Until()
		for _, n := range f.Servers {
			if meet && f.process() && g.process() && slices.Contains(g.Servers, n) {
				return s.lines.Errorf(at+".servers", "%s can't be hit by %s while %s of line %d goes on, from %v to %v",
					n, f.Kind, g.Kind, g.line, g.At, g.Until())
			}
		}
		if meet && f.Kind == g.Kind && (kind.about == "discovery" || f.Kind == "zone-cut" && f.Zone == g.Zone) {
			return s.lines.Errorf(at, "%s goes on already, by line %d, from %v to %v", f.Kind, g.line, g.At, g.Until())
		}
		for _, n := range f.Nodes {
			if meet && f.Kind == "node-crash" && g.Kind == "node-crash" && slices.Contains(g.Nodes, n) {
				return s.lines.Errorf(at+".nodes", "%s is down already, by line %d, from %v to %v", n, g.line, g.At, g.Until())
			}
		}
	}
	return nil
}

func list(keys []string) string {
	if len(keys) == 0 {
		return ""
	}
	return ", " + strings.Join(keys, ", ")
}

// Errorf is an error at a fault, for what only its draw shows.
func (s *Script) Errorf(f *Fault, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s: %s", s.path, f.line, f.Label(), fmt.Sprintf(format, args...))
}

// PeriodOf is the period of a wave or a square in a script of a length.
func (t Traffic) PeriodOf(length time.Duration) time.Duration {
	if t.Period > 0 {
		return t.Period
	}
	return length / 2
}
