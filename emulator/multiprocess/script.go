// Package multiprocess is a rig: it starts many real processes of the program on loopback, puts a relay on each link
// between two of them, does to them what a script says, and lets stand-ins that received effects tell what happened.
//
// It stands processes that end by themselves. It trusts the machine's monotonic clock alone. From a process that
// does not answer nothing follows until the script is over, its faults are gone and the time to heal has passed.
package multiprocess

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cobaltward/internal/stricttoml"
)

// Script is what is started and what goes wrong. Council members are c1, c2, ...; nodes, each with its follower, are
// n1, n2, ... in zones by turns.
type Script struct {
	Title   string        `toml:"title"`
	Seed    uint64        `toml:"seed"`
	Council int           `toml:"council" need:"1" min:"1" max:"5"`
	Nodes   int           `toml:"nodes" need:"1" min:"1" max:"30"`
	Owners  int           `toml:"owners" min:"0" max:"30"` // the first so many nodes' followers may own work; 0: all
	Lease   time.Duration `toml:"lease" min:"500ms" max:"1m"`
	Tick    time.Duration `toml:"tick" min:"10ms" max:"1s"`
	Length  time.Duration `toml:"length" need:"1" min:"1s" max:"1h"`
	AtOnce  int           `toml:"at_once" min:"1"`
	Need    float64       `toml:"need" min:"0"`
	Load    float64       `toml:"load" min:"0" max:"10000"` // requests a second to real nodes; 0: nodes are stand-ins
	Faults  []Fault       `toml:"fault"`
}

// Fault is one thing that goes wrong, from At for For.
type Fault struct {
	At    time.Duration `toml:"at" min:"0s"`
	For   time.Duration `toml:"for" min:"0s" max:"1h"`
	Kind  string        `toml:"kind" need:"1" one:"cut|one_way|answers|loss|delay|repeat|stall|reset|flap|kill|stop|sync|jump|rate"`
	On    []string      `toml:"on" need:"1"`                     // processes
	With  []string      `toml:"with"`                            // of faults of links: the other side; none: all others
	Value float64       `toml:"value" min:"0"`                   // a part, or seconds
	Disk  string        `toml:"disk" one:"same|older|none|torn"` // of kill: what the process finds at its restart
}

func (f Fault) String() string {
	s := fmt.Sprintf("%v for %v: %s %s", f.At, f.For, f.Kind, strings.Join(f.On, " "))
	if len(f.With) > 0 {
		s += " with " + strings.Join(f.With, " ")
	}
	if f.Value > 0 {
		s += fmt.Sprintf(" at %.2f", f.Value)
	}
	if f.Disk != "" {
		s += ", disk " + f.Disk
	}
	return s
}

// TOML is a fault as scripts have it.
func (f Fault) TOML() string {
	list := func(all []string) string {
		quoted := make([]string, len(all))
		for i, s := range all {
			quoted[i] = fmt.Sprintf("%q", s)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	}
	s := fmt.Sprintf("[[fault]]\nat = %q\nfor = %q\nkind = %q\non = %s\n", f.At, f.For, f.Kind, list(f.On))
	if len(f.With) > 0 {
		s += "with = " + list(f.With) + "\n"
	}
	if f.Value > 0 {
		s += fmt.Sprintf("value = %.3f\n", f.Value)
	}
	if f.Disk != "" {
		s += fmt.Sprintf("disk = %q\n", f.Disk)
	}
	return s
}

// These stand among processes for whichever has the round, or leads the council, when the fault begins.
const (
	theOwner  = "owner"
	theLeader = "leader"
)

// Parse reads a script. Errors name the line.
func Parse(text []byte) (*Script, error) {
	s := &Script{Lease: time.Second, Tick: 25 * time.Millisecond, AtOnce: 1}
	lines, err := stricttoml.Decode(text, s)
	if err != nil {
		return nil, err
	}
	names := s.Names()
	for i, f := range s.Faults {
		at := fmt.Sprintf("fault[%d]", i)
		for _, n := range slices.Concat(f.On, f.With) {
			if !slices.Contains(names, n) && n != theOwner && n != theLeader {
				return nil, lines.Errorf(at, "there is no process %q; there are %s", n, strings.Join(names, " "))
			}
		}
		if f.Disk != "" && f.Kind != "kill" {
			return nil, lines.Errorf(at+".disk", "is of kill alone")
		}
	}
	return s, nil
}

// Names are all processes.
func (s *Script) Names() (all []string) {
	for i := range s.Council {
		all = append(all, fmt.Sprintf("c%d", i+1))
	}
	for i := range s.Nodes {
		all = append(all, fmt.Sprintf("n%d", i+1))
	}
	return all
}

// Draw is a script of mixed faults from a seed: the same for the same seed.
func Draw(seed uint64, council, nodes int, length time.Duration) *Script {
	r := rand.New(rand.NewPCG(seed, 0x77a7))
	s := &Script{
		Title: fmt.Sprintf("drawn from seed %d", seed), Seed: seed, Council: council, Nodes: nodes, Lease: time.Second, Tick: 25 * time.Millisecond,
		Length: length, AtOnce: 1 + r.IntN(2), Need: float64(nodes / 2),
	}
	names := s.Names()
	members, followers := names[:council], names[council:]
	pick := func(from []string, most int) []string {
		n := 1 + r.IntN(min(most, len(from)))
		var out []string
		for _, i := range r.Perm(len(from))[:n] {
			out = append(out, from[i])
		}
		slices.Sort(out)
		return out
	}
	between := func(lo, hi float64) time.Duration {
		return time.Duration((lo + (hi-lo)*r.Float64()) * float64(time.Second)).Round(time.Millisecond)
	}
	lost := false
	for at := between(0.5, 3); at < length-2*time.Second; at += between(0.3, 2.5) {
		f := Fault{At: at, For: between(0.5, 6)}
		switch r.IntN(14) {
		case 0:
			f.Kind, f.On = "cut", pick(members, 2)
		case 1:
			f.Kind, f.On, f.With = "cut", pick(names, 2), pick(names, 3)
		case 2:
			f.Kind, f.On, f.With = "one_way", pick(members, 1), pick(names, len(names))
		case 3:
			f.Kind, f.On = "answers", pick(followers, 2)
		case 4:
			f.Kind, f.On, f.Value = "loss", pick(names, len(names)), 0.05+0.35*r.Float64()
		case 5:
			f.Kind, f.On, f.Value = "delay", pick(names, len(names)), 0.02+0.4*r.Float64()
		case 6:
			f.Kind, f.On, f.Value = "repeat", pick(names, len(names)), 0.1+0.5*r.Float64()
		case 7:
			f.Kind, f.On = []string{"stall", "reset"}[r.IntN(2)], pick(names, 2)
		case 8:
			f.Kind, f.On, f.Value = "flap", pick(names, 2), 0.1+0.6*r.Float64()
		case 9:
			f.Kind, f.On, f.Disk = "kill", pick(members, 2), []string{"same", "same", "torn", "none"}[r.IntN(4)]
			if f.Disk == "none" {
				if f.On = f.On[:1]; lost || council < 3 {
					f.Disk = "same"
				}
				lost = true
			}
		case 10, 11:
			f.Kind, f.On, f.Disk = "kill", pick(followers, 2), []string{"same", "same", "older"}[r.IntN(3)]
		case 12:
			f.Kind, f.On, f.For = "stop", pick(names, 2), between(0.3, 8)
		case 13:
			switch r.IntN(3) {
			case 0:
				f.Kind, f.On = "jump", pick(names, 1)
			case 1:
				f.Kind, f.On = "rate", pick(names, 1)
			case 2:
				f.Kind, f.On = "sync", pick(members, 1)
			}
		}
		f.Value = math.Round(f.Value*1000) / 1000
		s.Faults = append(s.Faults, f)
	}
	return s
}

// Smaller leaves faults out, one after another, as long as the script fails without them.
func Smaller(s *Script, fails func(*Script) bool) *Script {
	for i := len(s.Faults) - 1; i >= 0; i-- {
		less := *s
		less.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1)
		if fails(&less) {
			s = &less
		}
	}
	return s
}
