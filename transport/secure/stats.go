package secure

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cobaltward/handshakes"
)

// counters are under the layer's mutex.
type counters struct {
	full, resumed    handshakes.Histogram
	rejected, queued uint64
	failures         map[string]uint64
}

func newCounters() counters { return counters{failures: make(map[string]uint64)} }

func (c *counters) countFailure(why string) { c.failures[why]++ } // of few reasons

func (c *counters) countHandshake(resumed bool, took, worked time.Duration) {
	if resumed {
		c.resumed.Observe(took, worked)
	} else {
		c.full.Observe(took, worked)
	}
}

// ServerStatus is what a server showed last.
type ServerStatus struct {
	Server            string    `json:"server"`
	CertificateSerial string    `json:"serial,omitempty"`
	CertificateExpiry time.Time `json:"ends,omitzero"`
	UntrustedReason   string    `json:"refused,omitempty"` // why it gets nothing
	Rechecks          int       `json:"looks,omitempty"`
	UntrustedMs       int64     `json:"refused_for_ms,omitempty"`
}

// Stats is how the layer stands.
type Stats struct {
	Full        handshakes.Histogram `json:"full"`
	Resumed     handshakes.Histogram `json:"resumed"`
	Failures    map[string]uint64    `json:"failures,omitempty"` // by reason
	Running     int                  `json:"going"`              // handshakes
	Queued      int                  `json:"waiting"`
	TotalQueued uint64               `json:"waited"`      // handshakes that had to
	Rejected    uint64               `json:"turned_away"` // since too many waited
	Sessions    int                  `json:"sessions"`    // kept
	Untrusted   int                  `json:"refused"`     // servers that get nothing
	Servers     []ServerStatus       `json:"peers,omitempty"`
}

// ResumptionRate is the part of the handshakes that took a session up again.
func (s Stats) ResumptionRate() float64 {
	if s.Full.Count+s.Resumed.Count == 0 {
		return 0
	}
	return float64(s.Resumed.Count) / float64(s.Full.Count+s.Resumed.Count)
}

// Stats tells how the layer stands, with every server that was spoken to.
func (l *ClientTLS) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{Full: l.counters.full.Clone(), Resumed: l.counters.resumed.Clone(), Failures: maps.Clone(l.counters.failures), Rejected: l.counters.rejected, TotalQueued: l.counters.queued}
	s.Running, s.Queued = l.limiter.Usage()
	why := make(map[string]handshakes.UntrustedServer)
	for _, r := range l.untrusted.List() {
		why[r.Server] = r
	}
	s.Untrusted = len(why)
	for id, p := range l.servers {
		x := ServerStatus{Server: id, CertificateSerial: p.certificateSerial, CertificateExpiry: p.certificateExpiry}
		if r, ok := why[id]; ok {
			x.UntrustedReason, x.Rechecks, x.UntrustedMs = r.Reason, r.Rechecks, (l.now() - r.Since).Milliseconds()
		}
		p.tickets.mu.Lock()
		if p.tickets.session != nil {
			s.Sessions++
		}
		p.tickets.mu.Unlock()
		s.Servers = append(s.Servers, x)
	}
	slices.SortFunc(s.Servers, func(a, b ServerStatus) int { return cmp.Compare(a.Server, b.Server) })
	return s
}
