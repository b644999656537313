// Package standalone reads what a node needs to stand alone from the operator's own file: where it listens, its classes,
// tenants and servers, the routes that turn requests into classes, and the layers by which it knows tenants. With
// it a node needs no platform.
package standalone

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"cobaltward/internal/identity"
	"cobaltward/internal/routes"
	"cobaltward/internal/stricttoml"
	"cobaltward/levels"
	"cobaltward/policy"
	"cobaltward/router"
)

// File is the part of the operator's own file that this package reads. What other subsystems read is left to them.
type File struct {
	Node         Node         `toml:"node"`
	Listen       []Listen     `toml:"listen"`
	Limits       Limits       `toml:"limits"`
	Classes      []Class      `toml:"class"`
	Tenants      []Tenant     `toml:"tenant"`
	Buckets      Buckets      `toml:"buckets"`
	Servers      []Server     `toml:"server"`
	ServerSource ServerSource `toml:"servers"`
	Routes       []Route      `toml:"route"`
	Identity     Identity     `toml:"identity"`
	Service      Service      `toml:"service"` // also where the platform tells the rest
	Levels       []Level      `toml:"level"`
	State        State        `toml:"state"`
	TLS          *TLS         `toml:"tls"`
	Fleet        *Fleet       `toml:"fleet"`

	Log     any `toml:"log"`
	Drain   any `toml:"drain"`
	XDS     any `toml:"xds"`
	Msgpack any `toml:"msgpack"`
	Door    any `toml:"door"`

	lines stricttoml.Lines
	path  string
}

// Node is this node among others.
type Node struct {
	Name  string `toml:"name"`
	Zone  string `toml:"zone"`
	Index int    `toml:"place" min:"0"`          // among the nodes, from 0
	Count int    `toml:"of" min:"1" max:"10000"` // how many nodes there are; 0: 1
}

// Listen is one listener for HTTP/1.1.
type Listen struct {
	Name    string `toml:"name"`
	Address string `toml:"address" need:"1"`
}

// Limits are those of the process.
type Limits struct {
	Sockets         int           `toml:"sockets" min:"64" max:"1000000"` // descriptors; 0: 1024
	MemoryMB        int           `toml:"memory_mb" min:"16"`             // 0: 192
	Cores           float64       `toml:"cores" min:"0.1" max:"1024"`     // 0: 1
	MaxOpen         int           `toml:"open" min:"1"`                   // unanswered requests
	ConnectTimeout  time.Duration `toml:"connect" min:"1ms" max:"1m"`     // for a new connection to a server; 0: 250ms
	MaxAttempts     int           `toml:"attempts" min:"1" max:"100"`     // of one request; 0: 4
	MaxRetryAfter   time.Duration `toml:"retry_after" min:"0s" max:"1h"`  // the longest that clients are told; 0: 10s
	Hedging         bool          `toml:"second_copies"`
	ConnIdleTimeout time.Duration `toml:"conn_idle" min:"1s" max:"1h"` // servers close connections after this; 0: 60s
	DrainGrace      time.Duration `toml:"drain_grace" min:"0s" max:"1m"`
}

// Class is one class of requests.
type Class struct {
	Name               string        `toml:"name" need:"1"`
	LatencyObjective   time.Duration `toml:"aim" min:"1ms" max:"1h"`
	Deadline           time.Duration `toml:"deadline" need:"1" min:"10ms" max:"1h"`
	Idempotency        string        `toml:"repeat" need:"1" one:"free|guarded|never"`
	DedupScope         string        `toml:"group" one:"all|zone|cell"`
	DedupWindow        time.Duration `toml:"window" min:"0s" max:"24h"`
	PriorityWeight     float64       `toml:"worth" min:"0"`
	LateWeightFraction float64       `toml:"late_worth" min:"0" max:"1"`
	Zones              []string      `toml:"zones"`
	Kinds              []string      `toml:"kinds"`
	Pool               string        `toml:"pool"`
}

// Tenant is one customer.
type Tenant struct {
	Name  string  `toml:"name" need:"1"`
	Quota float64 `toml:"quota" min:"0"` // requests a second, over all nodes
	Share float64 `toml:"share" min:"0" max:"1"`
}

// Buckets are the layers of limits.
type Buckets struct {
	Default *Bucket           `toml:"default"` // of tenants without a quota
	Classes map[string]Bucket `toml:"classes"`
	Max     float64           `toml:"max" min:"0"` // the platform's ceiling for rates and bursts; 0: none
}

// Bucket is a rate and a burst.
type Bucket struct {
	Rate  float64       `toml:"rate" need:"1" min:"0"` // each Per
	Per   time.Duration `toml:"per" min:"1ms" max:"24h"`
	Burst int64         `toml:"burst" need:"1" min:"1"`
}

// Server is one app server.
type Server struct {
	ID       string   `toml:"id"` // none: its address
	Address  string   `toml:"address" need:"1"`
	Zone     string   `toml:"zone"`
	Kind     string   `toml:"kind"`
	Cell     int64    `toml:"cell"`
	Weight   float64  `toml:"weight" min:"0.001"`
	Pools    []string `toml:"pools"`
	Draining bool     `toml:"drain"`
}

// ServerSource is where more servers come from.
type ServerSource struct {
	File string `toml:"file"` // TOML with [[server]]; read again where it has changed
}

// Route is one line of the table of routes.
type Route struct {
	Listener string            `toml:"listener"`
	Host     string            `toml:"host"`
	Methods  []string          `toml:"methods" one:"GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS"`
	Path     string            `toml:"path"`
	Prefix   string            `toml:"prefix"`
	Segments string            `toml:"segments"`
	Regexp   string            `toml:"regexp"`
	Headers  map[string]string `toml:"headers"` // "*": it need only be there; "!": it must not be
	Query    map[string]string `toml:"query"`
	Fraction float64           `toml:"share" min:"0" max:"1"`
	HashBy   string            `toml:"by" one:"tenant|key|id"`
	HashSalt string            `toml:"salt"`
	Class    string            `toml:"class" need:"1"`
	Timeout  time.Duration     `toml:"budget" min:"0s" max:"1h"`
}

// Identity is how tenants are known.
type Identity struct {
	Trusted   []string `toml:"trusted"`
	Forwarded string   `toml:"forwarded" one:"X-Forwarded-For|Forwarded"`
	Layers    []Layer  `toml:"layer"`
	Anonymous int      `toml:"anonymous" min:"16" max:"1000000"` // names for clients that nobody listed; 0: 10000
}

// Layer is one way to know a tenant.
type Layer struct {
	By      string            `toml:"by" need:"1" one:"header|cookie|bearer|api_key|address|certificate"`
	Name    string            `toml:"name"`
	Secrets map[string]string `toml:"secrets"` // SHA-256 in hexadecimal to tenant
	Nets    map[string]string `toml:"nets"`
	Names   map[string]string `toml:"names"` // of the client's certificate to tenant
}

// Service is what levels of reduced service have in common.
type Service struct {
	ShedLast    []string      `toml:"guarded"`                 // classes that are shed last
	MinInterval time.Duration `toml:"least" min:"1s" max:"1h"` // between two changes of the level; 0: 30s
	DryRun      bool          `toml:"dry_run"`                 // levels are decided on and counted, and change nothing
}

// State is where a node keeps what it has learned, for its next start.
type State struct {
	File         string        `toml:"file"`
	SaveInterval time.Duration `toml:"every" min:"100ms" max:"1h"` // 0: 2s
	HalfLife     time.Duration `toml:"half" min:"1s" max:"24h"`    // after which half of it is believed; 0: 1m
	MaxAge       time.Duration `toml:"most" min:"1s" max:"24h"`    // beyond which none is; 0: 10m
}

// Level is one level of reduced service.
type Level struct {
	Name     string      `toml:"name" need:"1"`
	Enter    []Condition `toml:"enter" need:"1"`
	Exit     []Condition `toml:"exit" need:"1"`
	Measures []Measure   `toml:"measure" need:"1"`
}

// Condition is one on a signal.
type Condition struct {
	Signal    string        `toml:"signal" need:"1" one:"demand|slow|held"`
	Class     string        `toml:"class"`
	Threshold float64       `toml:"bound" need:"1" min:"0"`
	For       time.Duration `toml:"for" min:"0s" max:"1h"`
}

// Measure is what a level does to a class.
type Measure struct {
	Class       string   `toml:"class" need:"1"`
	Tenants     []string `toml:"tenants"`
	Shed        float64  `toml:"shed" min:"0" max:"1"`
	NoHedging   bool     `toml:"no_copies"`
	MaxAttempts int      `toml:"attempts" min:"1"`
	WithinQuota bool     `toml:"in_share"`

	MaxQueueTime time.Duration `toml:"hold" min:"1ms" max:"1h"` // the longest wait for a server
	ZoneLocal    bool          `toml:"own_zone"`
	FollowDemand bool          `toml:"follow"` // shed is the most: so much is shed as demand lacks
}

// LevelsConfig is the ladder of levels over a site's classes; nil where the file has none. Errors name the line.
func (f *File) LevelsConfig(classes []policy.Class) (*levels.Config, error) {
	if len(f.Levels) == 0 {
		return nil, nil
	}
	c := &levels.Config{MinInterval: f.Service.MinInterval, DryRun: f.Service.DryRun}
	for _, k := range classes {
		c.Classes = append(c.Classes, levels.Class{Name: k.Name, ShedLast: slices.Contains(f.Service.ShedLast, k.Name)})
	}
	for i, g := range f.Service.ShedLast {
		if !slices.ContainsFunc(classes, func(k policy.Class) bool { return k.Name == g }) {
			return nil, f.lines.Errorf("service.guarded", "there is no class %q (guarded[%d])", g, i)
		}
	}
	conditions := func(all []Condition) (out []levels.Condition) {
		for _, k := range all {
			out = append(out, levels.Condition{
				Class: k.Class, Threshold: k.Threshold, For: k.For,
				Signal: map[string]levels.Signal{"demand": levels.Demand, "slow": levels.SlowAnswers, "held": levels.Queued}[k.Signal],
			})
		}
		return out
	}
	for _, l := range f.Levels {
		level := levels.Level{Name: l.Name, Enter: conditions(l.Enter), Exit: conditions(l.Exit)}
		for _, m := range l.Measures {
			level.Measures = append(level.Measures, levels.Measure{
				Class: m.Class, Tenants: m.Tenants, Shed: m.Shed, NoHedging: m.NoHedging, MaxAttempts: m.MaxAttempts,
				WithinQuota: m.WithinQuota, MaxQueueTime: m.MaxQueueTime, ZoneLocal: m.ZoneLocal, FollowDemand: m.FollowDemand,
			})
		}
		c.Levels = append(c.Levels, level)
	}
	if _, err := levels.New(*c); err != nil {
		var invalid *levels.ConfigError
		if !errors.As(err, &invalid) {
			return nil, err
		}
		return nil, f.lines.Errorf(fmt.Sprintf("level[%d]", max(0, invalid.Level)), "%s", invalid.Problem)
	}
	return c, nil
}

// Path is where the file was read from.
func (f *File) Path() string { return f.path }

// Equal tells whether two files say the same.
func (f *File) Equal(o *File) bool {
	a, b := *f, *o
	a.lines, a.path, b.lines, b.path = nil, "", nil, ""
	return reflect.DeepEqual(a, b)
}

// Standalone tells whether the file has a node stand alone.
func (f *File) Standalone() bool { return len(f.Listen) > 0 }

// Load reads the file at path. Errors are one line that names file, line and key.
func Load(path string) (*File, error) {
	if path == "" {
		return &File{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &File{path: path}
	if f.lines, err = stricttoml.Decode(text, f); err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return f, nil
}

func (f *File) check() error {
	if err := f.Fleet.check(f); err != nil {
		return err
	}
	if !f.Standalone() {
		for key, set := range map[string]bool{
			"class": len(f.Classes) > 0, "tenant": len(f.Tenants) > 0, "server": len(f.Servers) > 0, "route": len(f.Routes) > 0,
			"identity": len(f.Identity.Layers) > 0, "servers": f.ServerSource != (ServerSource{}), "node": f.Node != (Node{}), "limits": f.Limits != (Limits{}),
		} {
			if set {
				return f.lines.Errorf(key, "is for a node that stands alone: name a listener by [[listen]], or leave this to the platform")
			}
		}
		return nil
	}
	if len(f.Listen) > 1 {
		return f.lines.Errorf("listen[1]", "one listener is taken so far")
	}
	names := make([]string, 0, len(f.Classes))
	for i, c := range f.Classes {
		at := fmt.Sprintf("class[%d]", i)
		if slices.Contains(names, c.Name) {
			return f.lines.Errorf(at+".name", "%q is there twice", c.Name)
		}
		names = append(names, c.Name)
		if c.Idempotency == "guarded" && c.DedupWindow == 0 {
			return f.lines.Errorf(at, "window: missing: for how long do servers drop the repeats of a key?")
		}
		if c.LatencyObjective > c.Deadline {
			return f.lines.Errorf(at+".aim", "want at most the deadline, %v, got %v", c.Deadline, c.LatencyObjective)
		}
	}
	if len(names) == 0 {
		return f.lines.Errorf("class", "there are none: a node that stands alone wants one [[class]] or more")
	}
	if len(f.Servers) == 0 && f.ServerSource.File == "" && f.XDS == nil {
		return f.lines.Errorf("server", "there are none: name them by [[server]], by servers.file or by [xds]")
	}
	for i, r := range f.Routes {
		if !slices.Contains(names, r.Class) {
			return f.lines.Errorf(fmt.Sprintf("route[%d].class", i), "there is no class %q; there are %s", r.Class, strings.Join(names, ", "))
		}
	}
	for class := range f.Buckets.Classes {
		if !slices.Contains(names, class) {
			return f.lines.Errorf("buckets.classes."+class, "there is no such class; there are %s", strings.Join(names, ", "))
		}
	}
	if _, err := f.RouteTable(); err != nil {
		return err
	}
	for i, l := range f.Identity.Layers {
		if l.By == "certificate" && (f.TLS == nil || f.TLS.Clients == nil || f.TLS.Clients.Trust+f.TLS.Clients.TrustSDS == "") {
			return f.lines.Errorf(fmt.Sprintf("identity.layer[%d]", i), "nobody checks certificates of clients: tls.clients.trust names no authorities")
		}
	}
	if _, err := f.IdentityFinder(); err != nil {
		return f.lines.Errorf("identity", "%s", err)
	}
	if _, err := f.Endpoints(); err != nil {
		return err
	}
	if _, err := policy.New(f.Settings(), 0, 0); err != nil {
		return f.lines.Errorf("class", "%s", err)
	}
	_, err := f.LevelsConfig(f.Settings().Classes)
	return err
}

// RouteTable is the compiled table of routes. Without routes every request is of the first class.
func (f *File) RouteTable() (*routes.Table, error) {
	all := make([]routes.Route, 0, len(f.Routes))
	for i, r := range f.Routes {
		at := fmt.Sprintf("route[%d]", i)
		class := f.class(r.Class)
		methods := r.Methods
		if len(methods) == 0 { // the method that the class takes
			methods = []string{router.Method(class)}
		}
		for _, m := range methods {
			if m != router.Method(class) {
				return nil, f.lines.Errorf(at+".methods", "class %s takes %s alone, since its repeat is %q; got %s", r.Class, router.Method(class), f.repeat(r.Class), m)
			}
		}
		all = append(all, routes.Route{
			Line: f.lines.At(at), Listener: r.Listener, Host: r.Host, Methods: methods, Path: r.Path, Prefix: r.Prefix, Segments: r.Segments,
			Regexp: r.Regexp, Headers: conditions(r.Headers), Query: conditions(r.Query), Share: r.Fraction, Salt: r.HashSalt,
			By: map[string]routes.By{"key": routes.ByKey, "id": routes.ByID}[r.HashBy], Class: r.Class, Budget: r.Timeout,
		})
	}
	if len(all) == 0 {
		all = []routes.Route{{Class: f.Classes[0].Name}}
	}
	t, err := routes.New(all)
	if err != nil {
		var e *routes.Error
		if !errors.As(err, &e) {
			return nil, err
		}
		what := e.What
		if e.Other >= 0 {
			what += fmt.Sprintf(" line %d", e.Before)
		}
		return nil, &stricttoml.Error{Line: e.Line, Key: fmt.Sprintf("route[%d]", e.Route), Message: what}
	}
	return t, nil
}

func conditions(m map[string]string) (all []routes.Field) {
	for name, v := range m {
		c := routes.Field{Name: name, Is: v}
		switch v {
		case "*":
			c = routes.Field{Name: name, Any: true}
		case "!":
			c = routes.Field{Name: name, Missing: true}
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b routes.Field) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (f *File) repeat(class string) string {
	for _, c := range f.Classes {
		if c.Name == class {
			return c.Idempotency
		}
	}
	return ""
}

func (f *File) class(name string) policy.Class {
	for _, c := range f.Settings().Classes {
		if c.Name == name {
			return c
		}
	}
	return policy.Class{}
}

// IdentityFinder is the compiled order of identities.
func (f *File) IdentityFinder() (*identity.Finder, error) {
	c := identity.Config{Trusted: f.Identity.Trusted, Forwarded: f.Identity.Forwarded}
	for _, t := range f.Tenants {
		c.Tenants = append(c.Tenants, t.Name)
	}
	for _, l := range f.Identity.Layers {
		c.Layers = append(c.Layers, identity.Layer{
			Name: l.Name, Secrets: l.Secrets, Nets: l.Nets, Names: l.Names,
			Kind: map[string]identity.Kind{"header": identity.Header, "cookie": identity.Cookie, "bearer": identity.Bearer, "api_key": identity.APIKey, "address": identity.Address, "certificate": identity.Certificate}[l.By],
		})
	}
	return identity.New(c)
}

// AnonymousNames is how many names there are for clients that nobody listed.
func (f *File) AnonymousNames() int {
	if f.Identity.Anonymous == 0 {
		return 10_000
	}
	return f.Identity.Anonymous
}

func or[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}

// Settings are those that the module goes by.
func (f *File) Settings() policy.Settings {
	s := policy.Settings{
		Node: f.Node.Index, Nodes: or(f.Node.Count, 1), Zone: f.Node.Zone,
		Capabilities: policy.Capabilities{
			Cancel: true, Hedge: f.Limits.Hedging, RetryAfter: true, MaxAttempts: or(f.Limits.MaxAttempts, 4),
			MaxRetryAfter: or(f.Limits.MaxRetryAfter, 10*time.Second), ConnIdleTimeout: or(f.Limits.ConnIdleTimeout, time.Minute),
		},
		Rules: policy.Rules{AnswerGrace: 50 * time.Millisecond, DrainGrace: or(f.Limits.DrainGrace, 500*time.Millisecond), SlowStartShare: 1, OverloadFactor: 3, OverloadDuration: time.Second},
	}
	for _, c := range f.Classes {
		s.Classes = append(s.Classes, policy.Class{
			Name: c.Name, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, DedupWindow: c.DedupWindow, PriorityWeight: or(c.PriorityWeight, 1), LateWeightFraction: c.LateWeightFraction,
			Zones: c.Zones, Kinds: c.Kinds, Pool: c.Pool,
			Idempotency: map[string]policy.Idempotency{"free": policy.Idempotent, "guarded": policy.IdempotencyKeyed, "never": policy.NonIdempotent}[c.Idempotency],
			DedupScope:  map[string]policy.DedupScope{"": policy.DedupAll, "all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell}[c.DedupScope],
		})
	}
	for _, t := range f.Tenants {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Quota: t.Quota, Share: t.Share})
	}
	limit := func(b Bucket) policy.Limit {
		return policy.Limit{PerWindow: b.Rate, Window: or(b.Per, time.Second), Burst: b.Burst}
	}
	if f.Buckets.Default != nil {
		l := limit(*f.Buckets.Default)
		s.RateLimits.Default = &l
	}
	for class, b := range f.Buckets.Classes {
		if s.RateLimits.PerClass == nil {
			s.RateLimits.PerClass = make(map[string]policy.Limit)
		}
		s.RateLimits.PerClass[class] = limit(b)
	}
	s.RateLimits.Max = f.Buckets.Max
	return s
}

// Endpoints is the servers of the file, and of the one that it names.
func (f *File) Endpoints() ([]router.Endpoint, error) {
	members, err := list(f.lines, f.Servers)
	if err != nil || f.ServerSource.File == "" {
		return members, err
	}
	more, err := ReadServers(f.ServersPath())
	if err != nil {
		return nil, f.lines.Errorf("servers.file", "%s", err)
	}
	for _, m := range more {
		if slices.ContainsFunc(members, func(o router.Endpoint) bool { return o.ID == m.ID }) {
			return nil, f.lines.Errorf("servers.file", "server %q is there and in this file", m.ID)
		}
	}
	return append(members, more...), nil
}

// ServersPath is the file of servers; empty where there is none. A relative name counts from the operator's file.
func (f *File) ServersPath() string {
	if f.ServerSource.File == "" || filepath.IsAbs(f.ServerSource.File) {
		return f.ServerSource.File
	}
	return filepath.Join(filepath.Dir(f.path), f.ServerSource.File)
}

// ReadServers reads a file of [[server]] tables.
func ReadServers(path string) ([]router.Endpoint, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f struct {
		Servers []Server `toml:"server"`
	}
	lines, err := stricttoml.Decode(text, &f)
	if err == nil {
		var members []router.Endpoint
		if members, err = list(lines, f.Servers); err == nil {
			return members, nil
		}
	}
	return nil, fmt.Errorf("%s:%w", path, err)
}

func list(lines stricttoml.Lines, servers []Server) ([]router.Endpoint, error) {
	var all []router.Endpoint
	for i, s := range servers {
		id := or(s.ID, s.Address)
		if slices.ContainsFunc(all, func(m router.Endpoint) bool { return m.ID == id }) {
			return nil, lines.Errorf(fmt.Sprintf("server[%d]", i), "server %q is there twice", id)
		}
		m := router.Endpoint{ID: id, Addr: s.Address, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, Weight: or(s.Weight, 1), Pools: s.Pools}
		if s.Draining {
			m.Availability = policy.Draining
		}
		all = append(all, m)
	}
	return all, nil
}
