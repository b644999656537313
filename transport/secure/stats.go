package secure

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cobaltward/handshakes"
)

// counts are under the layer's mutex.
type counts struct {
	full, resumed handshakes.Histogram
	busy, waited  uint64
	failures      map[string]uint64
}

func newCounts() counts { return counts{failures: make(map[string]uint64)} }

func (c *counts) failed(why string) { c.failures[why]++ } // of few reasons

func (c *counts) shaken(resumed bool, took, worked time.Duration) {
	if resumed {
		c.resumed.Observe(took, worked)
	} else {
		c.full.Observe(took, worked)
	}
}

// Peer is what a server showed last.
type Peer struct {
	Server string    `json:"server"`
	Serial string    `json:"serial,omitempty"`
	Ends   time.Time `json:"ends,omitzero"`
	Why    string    `json:"refused,omitempty"` // why it gets nothing
	Looks  int       `json:"looks,omitempty"`
	ForMs  int64     `json:"refused_for_ms,omitempty"`
}

// Stats is how the layer stands.
type Stats struct {
	Full     handshakes.Histogram `json:"full"`
	Resumed  handshakes.Histogram `json:"resumed"`
	Failures map[string]uint64    `json:"failures,omitempty"` // by reason
	Going    int                  `json:"going"`              // handshakes
	Waiting  int                  `json:"waiting"`
	Waited   uint64               `json:"waited"`      // handshakes that had to
	Busy     uint64               `json:"turned_away"` // since too many waited
	Sessions int                  `json:"sessions"`    // kept
	Refused  int                  `json:"refused"`     // servers that get nothing
	Peers    []Peer               `json:"peers,omitempty"`
}

// Reuse is the part of the handshakes that took a session up again.
func (s Stats) Reuse() float64 {
	if s.Full.Count+s.Resumed.Count == 0 {
		return 0
	}
	return float64(s.Resumed.Count) / float64(s.Full.Count+s.Resumed.Count)
}

// Stats tells how the layer stands, with every server that was spoken to.
func (l *Layer) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{Full: l.stats.full.Clone(), Resumed: l.stats.resumed.Clone(), Failures: maps.Clone(l.stats.failures), Busy: l.stats.busy, Waited: l.stats.waited}
	s.Going, s.Waiting = l.gate.Usage()
	why := make(map[string]handshakes.UntrustedServer)
	for _, r := range l.refused.List() {
		why[r.Server] = r
	}
	s.Refused = len(why)
	for id, p := range l.peers {
		x := Peer{Server: id, Serial: p.shown, Ends: p.ends}
		if r, ok := why[id]; ok {
			x.Why, x.Looks, x.ForMs = r.Reason, r.Rechecks, (l.now() - r.Since).Milliseconds()
		}
		p.kept.mu.Lock()
		if p.kept.session != nil {
			s.Sessions++
		}
		p.kept.mu.Unlock()
		s.Peers = append(s.Peers, x)
	}
	slices.SortFunc(s.Peers, func(a, b Peer) int { return cmp.Compare(a.Server, b.Server) })
	return s
}
