// Package knowledge weighs what a node has learned and kept, or what another hands it: how much of it still holds
// after a while, and what is never believed. It does no I/O and reads no clock. Its form on disk carries a version
// and a checksum: what is torn or foreign is refused whole.
package knowledge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"time"

	"cobaltward/policy"
)

// Version is that of the form. Others are refused.
const Version = 1

// MaxSize bounds a snapshot, in bytes.
const MaxSize = 64 << 20

// Snapshot is what one node knew at a moment.
type Snapshot struct {
	Version   int                 `json:"version"`
	Node      string              `json:"node"`
	At        time.Time           `json:"at"`
	Knowledge policy.LearnedState `json:"knowledge"`
}

var table = crc32.MakeTable(crc32.Castagnoli)

// Encode is a snapshot as it is kept: a line with the checksum of what follows, and JSON.
func Encode(s Snapshot) ([]byte, error) {
	s.Version = Version
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return append(fmt.Appendf(nil, "wayhold-knowledge %08x\n", crc32.Checksum(raw, table)), raw...), nil
}

// What Decode refuses a snapshot for, beside what json says.
var (
	ErrForeign = errors.New("it is no snapshot of a node's knowledge")
	ErrTorn    = errors.New("it is torn: its checksum does not fit")
)

// Decode reads what Encode has made.
func Decode(raw []byte) (Snapshot, error) {
	head, body, ok := bytes.Cut(raw, []byte{'\n'})
	var sum uint32
	if _, err := fmt.Sscanf(string(head), "wayhold-knowledge %08x", &sum); !ok || err != nil || len(raw) > MaxSize {
		return Snapshot{}, ErrForeign
	}
	if crc32.Checksum(body, table) != sum {
		return Snapshot{}, ErrTorn
	}
	var s Snapshot
	if err := json.Unmarshal(body, &s); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrForeign, err)
	}
	if s.Version != Version {
		return Snapshot{}, fmt.Errorf("%w: version %d, want %d", ErrForeign, s.Version, Version)
	}
	return s, nil
}

// Config says how knowledge ages.
type Config struct {
	Half time.Duration // after which half of it is believed; 0: 1m
	Most time.Duration // beyond which none is; 0: 10m
	Out  float64       // part of the servers that may begin ejected at the most; 0: 0.5
	// Foreign is knowledge of another node: its buckets are not this one's, and its thresholds count for half.
	Foreign bool
	// Brief takes over which servers are ejected, and the buckets, alone: what a process has learned in a busy moment
	// of its end would hold its successor down.
	Brief bool
}

// Report says what became of a snapshot.
type Report struct {
	Age      time.Duration
	Weight   float64 // that its figures had, 0 to 1
	Servers  int     // taken over
	Unknown  int     // not in the list any more
	Replaced int     // another process runs there by now
	Ejected  int     // taken over as ejected
	Spared   int     // ejected in the snapshot, and not taken over as such, for there were too many
	Buckets  int
	Refused  string // why none of it was taken; empty where some was
}

// Prior is what a node would first trust a server with, and for how long the server's process runs (0: long ago);
// ok is false where the server is not in service.
type Prior func(server string) (threshold float64, up time.Duration, ok bool)

// slackUp is how far two nodes' views of a process's start may lie apart.
const slackUp = 2 * time.Second

// Weigh makes of a snapshot what a node may adopt at a moment. What is false of it is refused: figures that no node
// can have, times ahead of the clock. Thresholds go back to what the node would start with as the snapshot ages;
// a server that was ejected begins ejected, for what is left of its time, and is tried out before it is trusted.
func Weigh(s Snapshot, now time.Time, prior Prior, c Config) (policy.LearnedState, Report) {
	half, most, out := c.Half, c.Most, c.Out
	if half == 0 {
		half = time.Minute
	}
	if most == 0 {
		most = 10 * time.Minute
	}
	if out == 0 {
		out = 0.5
	}
	r := Report{Age: now.Sub(s.At)}
	switch {
	case r.Age < -slackUp:
		r.Refused = "it is from the future"
	case r.Age > most:
		r.Refused = fmt.Sprintf("it is older than %v", most)
	}
	if r.Refused != "" {
		return policy.LearnedState{}, r
	}
	r.Age = max(0, r.Age)
	r.Weight = math.Exp2(-r.Age.Seconds() / half.Seconds())
	if c.Foreign {
		r.Weight /= 2
	}
	k := policy.LearnedState{RateScale: 1 + r.Weight*(sane(s.Knowledge.RateScale, 0.01, 100, 1)-1), SharedThresholdScale: 1 + r.Weight*(sane(s.Knowledge.SharedThresholdScale, 1, 100, 1)-1)}
	for _, e := range s.Knowledge.Servers {
		start, up, ok := prior(e.Server)
		switch was := e.Uptime + r.Age; {
		case !ok:
			r.Unknown++
			continue
		case (e.Uptime == 0) != (up == 0) || e.Uptime > 0 && (up-was > slackUp || was-up > slackUp):
			r.Replaced++ // nothing that was learned of the one before holds for it
			continue
		}
		e.Threshold = start + r.Weight*(sane(e.Threshold, 0, 1e6, start)-start)
		e.Latency = r.Weight * sane(e.Latency, 0, 3600, 0)
		e.FaultRate, e.FaultScore = r.Weight*sane(e.FaultRate, 0, 1, 0), r.Weight*sane(e.FaultScore, 0, 1e6, 0)
		e.Ejections, e.Uptime = min(max(0, e.Ejections), 10), 0
		if e.EjectedFor = min(max(0, e.EjectedFor), most); e.Ejected {
			e.EjectedFor = max(0, e.EjectedFor-r.Age)
		} else {
			e.EjectedFor = 0
		}
		k.Servers = append(k.Servers, e)
	}
	if c.Brief {
		k.RateScale, k.SharedThresholdScale = 1, 1
		k.Servers = slices.DeleteFunc(k.Servers, func(e policy.ServerState) bool { return !e.Ejected })
	}
	r.Servers = len(k.Servers)
	r.spare(k.Servers, out)
	if !c.Foreign {
		for _, b := range s.Knowledge.Buckets {
			if b.Tokens < 0 || b.Idle < 0 || b.Idle > 24*time.Hour {
				continue
			}
			b.Idle += r.Age // it has filled since
			k.Buckets = append(k.Buckets, b)
		}
	}
	r.Buckets = len(k.Buckets)
	return k, r
}

// spare takes servers that are about to be tried out anyway out of the ejected, where there are too many: a node
// that begins with most of its servers ejected serves nobody.
func (r *Report) spare(all []policy.ServerState, part float64) {
	var out []int
	for i := range all {
		if all[i].Ejected {
			out = append(out, i)
		}
	}
	may := int(part * float64(len(all)))
	slices.SortFunc(out, func(a, b int) int { return int(all[b].EjectedFor - all[a].EjectedFor) }) // those that stay longest first
	for n, i := range out {
		if n >= may {
			all[i].Ejected, all[i].EjectedFor, all[i].Ejections = false, 0, 0
			r.Spared++
			continue
		}
		r.Ejected++
	}
}

// sane is a figure within its bounds, or what stands in for one that can't be.
func sane(v, least, most, otherwise float64) float64 {
	if math.IsNaN(v) || v < least || v > most {
		return otherwise
	}
	return v
}
