package script

import (
	"fmt"
	"slices"
	"time"
)

// Fault describes one fault. The kind of the fault determines the allowed keys.
type Fault struct {
	Name     string        `toml:"name"`
	Kind     string        `toml:"kind" need:"1"`
	At       time.Duration `toml:"at" need:"1" min:"0s"`
	Duration time.Duration `toml:"for" min:"0s"`

	Servers    []string `toml:"servers"` // names of servers; empty: random selection
	Count      int      `toml:"count" min:"1"`
	Share      float64  `toml:"share" min:"0" max:"1"`
	Zone       string   `toml:"zone"`
	ServerKind string   `toml:"of"`

	Fraction     float64       `toml:"part" min:"0" max:"1"` // fraction of affected requests
	Factor       float64       `toml:"factor" min:"0" max:"1000"`
	Delay        time.Duration `toml:"delay" min:"0s" max:"10m"`
	Class        string        `toml:"class"`
	Tenant       string        `toml:"tenant"`
	Nodes        []string      `toml:"nodes"`
	RampDuration time.Duration `toml:"rise" min:"0s"` // duration of the change to the full factor, and of the change back

	line int
}

// faultTarget is the part of a site that a kind of fault affects.
type faultTarget string

const (
	targetServers   faultTarget = "servers"
	targetNodes     faultTarget = "nodes"
	targetTraffic   faultTarget = "traffic"
	targetDiscovery faultTarget = "discovery"
	targetZone      faultTarget = "zone"
)

// The kinds of faults, as described in docs/rehearse.md.
const (
	FaultFastErrors    = "fast-errors"
	FaultHung          = "hung"
	FaultSilent        = "silent"
	FaultSlow          = "slow"
	FaultReset         = "reset"
	FaultHalfAnswer    = "half-answer"
	FaultGarbled       = "garbled"
	FaultCrash         = "crash"
	FaultReplaced      = "replaced"
	FaultDrain         = "drain"
	FaultListWrong     = "list-wrong"
	FaultDiscoveryDown = "discovery-down"
	FaultListLate      = "list-late"
	FaultNodeCrash     = "node-crash"
	FaultZoneCut       = "zone-cut"
	FaultTenantBurst   = "tenant-burst"
	FaultHotNode       = "hot-node"
	FaultCostly        = "costly"
	FaultSurge         = "surge"
)

// faultKind describes the target of a kind of fault, and its allowed and required keys. The keys name, kind, at and
// for are always allowed.
type faultKind struct {
	target   faultTarget
	allowed  []string
	required []string
}

// faultKeys are the keys that depend on the kind of a fault, in the order of their checks.
var faultKeys = []string{
	"servers", "count", "share", "zone", "of", "part", "factor", "delay", "class", "tenant", "nodes", "rise", "for",
}

// serverSelectors are the keys that select servers.
var serverSelectors = []string{"servers", "count", "share", "zone", "of"}

var faultKinds = map[string]faultKind{
	FaultFastErrors:    serverFault("part"),
	FaultHung:          serverFault(),
	FaultSilent:        serverFault(),
	FaultSlow:          serverFault("factor"),
	FaultReset:         serverFault("part"),
	FaultHalfAnswer:    serverFault("part"),
	FaultGarbled:       serverFault("part"),
	FaultCrash:         serverFault(),
	FaultReplaced:      serverFault(),
	FaultDrain:         serverFault(),
	FaultListWrong:     serverFault(),
	FaultDiscoveryDown: {targetDiscovery, nil, []string{"for"}},
	FaultListLate:      {targetDiscovery, []string{"delay"}, []string{"for", "delay"}},
	FaultNodeCrash:     {targetNodes, []string{"nodes", "count", "share"}, []string{"for"}},
	FaultZoneCut:       {targetZone, []string{"zone"}, []string{"for", "zone"}},
	FaultTenantBurst:   {targetTraffic, []string{"tenant", "factor", "rise"}, []string{"for", "tenant", "factor"}},
	FaultHotNode:       {targetNodes, []string{"nodes", "count", "share", "part", "rise"}, []string{"for", "part"}},
	FaultCostly:        {targetTraffic, []string{"class", "part", "factor"}, []string{"for", "class", "part", "factor"}},
	FaultSurge:         {targetTraffic, []string{"factor", "rise"}, []string{"for", "factor"}},
}

// serverFault returns a kind of fault that affects servers and requires the given parameters.
func serverFault(parameters ...string) faultKind {
	return faultKind{
		target:   targetServers,
		allowed:  append(slices.Clone(parameters), serverSelectors...),
		required: append([]string{"for"}, parameters...),
	}
}

// EndsProcess reports whether the fault ends a server's process, drains the server, or removes the server from the
// endpoint list. Two such faults can't overlap at one server.
func (f *Fault) EndsProcess() bool {
	return f.Kind == FaultCrash || f.Kind == FaultReplaced || f.Kind == FaultDrain || f.Kind == FaultListWrong
}

// End returns the time at which the fault ends, counted from the start of the traffic.
func (f *Fault) End() time.Duration { return f.At + f.Duration }

// overlaps reports whether f and other are active at the same time at any point.
func (f *Fault) overlaps(other *Fault) bool { return f.At < other.End() && other.At < f.End() }

// Label returns the name of the fault in reports.
func (f *Fault) Label() string {
	if f.Name != "" {
		return f.Name
	}
	return fmt.Sprintf("%s at %v", f.Kind, f.At)
}

// Line returns the number of the line at which the fault starts in the script.
func (f *Fault) Line() int { return f.line }

// Errorf returns an error with the path of the script and the line and label of the fault. It is for errors found
// after the script was read.
func (s *Script) Errorf(f *Fault, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s: %s", s.path, f.line, f.Label(), fmt.Sprintf(format, args...))
}
