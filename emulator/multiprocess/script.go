package multiprocess

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cobaltward/internal/stricttoml"
)

// Script defines the processes to start and the faults to inject. Replicas are named c1, c2, and so on; nodes are
// named n1, n2, and so on. Each node has an agent. The nodes are spread over zones.
type Script struct {
	Title           string        `toml:"title"`
	Seed            uint64        `toml:"seed"`
	Replicas        int           `toml:"council" need:"1" min:"1" max:"5"`
	Nodes           int           `toml:"nodes" need:"1" min:"1" max:"30"`
	LeaseCandidates int           `toml:"owners" min:"0" max:"30"` // agents that may hold leases, from n1 on; 0: all
	Lease           time.Duration `toml:"lease" min:"500ms" max:"1m"`
	Tick            time.Duration `toml:"tick" min:"10ms" max:"1s"`
	Length          time.Duration `toml:"length" need:"1" min:"1s" max:"1h"`
	MaxUnavailable  int           `toml:"at_once" min:"1"`
	MinCapacity     float64       `toml:"need" min:"0"`
	RequestRate     float64       `toml:"load" min:"0" max:"10000"` // requests/s to real nodes; 0: nodes are stand-ins
	Faults          []Fault       `toml:"fault"`
}

// Fault is one fault, with its start time in the script and its duration.
type Fault struct {
	At       time.Duration `toml:"at" min:"0s"`
	Duration time.Duration `toml:"for" min:"0s" max:"1h"`

	Kind string `toml:"kind" need:"1" one:"cut|one_way|answers|loss|delay|repeat|stall|reset|flap|kill|stop|sync|jump|rate"` //nolint:lll // a tag can't be wrapped

	Targets []string `toml:"on" need:"1"`                     // names of processes or roles
	Peers   []string `toml:"with"`                            // processes at the other ends of links; empty: all others
	Value   float64  `toml:"value" min:"0"`                   // fraction or seconds, depending on Kind
	Disk    string   `toml:"disk" one:"same|older|none|torn"` // state of the disk after a kill
}

// The kinds of faults. The meaning of Value depends on the kind. It is the fraction of messages for FaultLoss and
// FaultDuplicates. It is the mean delay for FaultDelay and the interval for FaultFlapping, both in seconds.
const (
	FaultPartition           = "cut"
	FaultAsymmetricPartition = "one_way"
	FaultResponseLoss        = "answers"
	FaultLoss                = "loss"
	FaultDelay               = "delay"
	FaultDuplicates          = "repeat"
	FaultStall               = "stall"
	FaultReset               = "reset"
	FaultFlapping            = "flap"
	FaultKill                = "kill"
	FaultPause               = "stop"
	FaultDisk                = "sync"
	FaultClockJump           = "jump"
	FaultClockRate           = "rate"
)

// States of the disk after a kill.
const (
	diskSame  = "same"
	diskOlder = "older"
	diskLost  = "none"
	diskTorn  = "torn"
)

// Names of roles, which may appear in place of process names. A role stands for the processes that have the role when
// the fault begins.
const (
	leaseHolderName = "owner" // holder of the rolling-update lease
	leaderName      = "leader"
)

// String describes the fault on one line.
func (f Fault) String() string {
	text := fmt.Sprintf("%v for %v: %s %s", f.At, f.Duration, f.Kind, strings.Join(f.Targets, " "))
	if len(f.Peers) > 0 {
		text += " with " + strings.Join(f.Peers, " ")
	}
	if f.Value > 0 {
		text += fmt.Sprintf(" at %.2f", f.Value)
	}
	if f.Disk != "" {
		text += ", disk " + f.Disk
	}
	return text
}

// TOML returns the fault in the format of a script.
func (f Fault) TOML() string {
	list := func(names []string) string {
		quoted := make([]string, len(names))
		for i, name := range names {
			quoted[i] = fmt.Sprintf("%q", name)
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	}
	text := fmt.Sprintf("[[fault]]\nat = %q\nfor = %q\nkind = %q\non = %s\n", f.At, f.Duration, f.Kind, list(f.Targets))
	if len(f.Peers) > 0 {
		text += "with = " + list(f.Peers) + "\n"
	}
	if f.Value > 0 {
		text += fmt.Sprintf("value = %.3f\n", f.Value)
	}
	if f.Disk != "" {
		text += fmt.Sprintf("disk = %q\n", f.Disk)
	}
	return text
}

// Parse reads a script from TOML. Errors name the line.
func Parse(text []byte) (*Script, error) {
	script := &Script{Lease: time.Second, Tick: 25 * time.Millisecond, MaxUnavailable: 1}
	lines, err := stricttoml.Decode(text, script)
	if err != nil {
		return nil, err
	}
	names := script.Names()
	for i, fault := range script.Faults {
		key := fmt.Sprintf("fault[%d]", i)
		for _, name := range slices.Concat(fault.Targets, fault.Peers) {
			if !slices.Contains(names, name) && name != leaseHolderName && name != leaderName {
				return nil, lines.Errorf(key, "unknown process %q, want one of %s", name, strings.Join(names, " "))
			}
		}
		if fault.Disk != "" && fault.Kind != FaultKill {
			return nil, lines.Errorf(key+".disk", "applies to faults of kind %q only, not %q", FaultKill, fault.Kind)
		}
	}
	return script, nil
}

// Names returns the names of all processes, the replicas first.
func (s *Script) Names() []string { return slices.Concat(s.replicaNames(), s.nodeNames()) }

func (s *Script) replicaNames() []string { return numberedNames("c", s.Replicas) }

func (s *Script) nodeNames() []string { return numberedNames("n", s.Nodes) }

func numberedNames(prefix string, count int) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprintf("%s%d", prefix, i+1))
	}
	return names
}
