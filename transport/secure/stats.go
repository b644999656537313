package secure

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cobaltward/handshakes"
)

// counters counts handshakes by result. The mutex of its ClientTLS guards it.
type counters struct {
	full, resumed    handshakes.Histogram
	rejected, queued uint64
	failures         map[string]uint64 // failed handshakes by reason
}

func newCounters() counters { return counters{failures: make(map[string]uint64)} }

func (c *counters) countFailure(reason string) { c.failures[reason]++ }

func (c *counters) countHandshake(resumed bool, duration, computeTime time.Duration) {
	if resumed {
		c.resumed.Observe(duration, computeTime)
	} else {
		c.full.Observe(duration, computeTime)
	}
}

// ServerStatus describes the certificate and the trust state of one server.
type ServerStatus struct {
	Server            string    `json:"server"`
	CertificateSerial string    `json:"serial,omitempty"` // hexadecimal serial in the last successful handshake
	CertificateExpiry time.Time `json:"ends,omitzero"`
	UntrustedReason   string    `json:"refused,omitempty"` // empty: trusted
	Rechecks          int       `json:"looks,omitempty"`   // number of failed rechecks since the server became untrusted
	UntrustedMs       int64     `json:"refused_for_ms,omitempty"`
}

// Stats is a snapshot of a ClientTLS.
type Stats struct {
	Full        handshakes.Histogram `json:"full"`
	Resumed     handshakes.Histogram `json:"resumed"`
	Failures    map[string]uint64    `json:"failures,omitempty"` // failed handshakes by reason
	Running     int                  `json:"going"`              // number of handshakes now running
	Queued      int                  `json:"waiting"`            // number of handshakes now queued
	TotalQueued uint64               `json:"waited"`             // number of handshakes queued since the start
	Rejected    uint64               `json:"turned_away"`        // number of handshakes rejected when the queue was full
	Sessions    int                  `json:"sessions"`           // number of servers with a resumable session
	Untrusted   int                  `json:"refused"`            // number of servers that are now untrusted
	Servers     []ServerStatus       `json:"peers,omitempty"`    // sorted by server ID
}

// ResumptionRate returns the fraction of handshakes that resumed a session.
func (s Stats) ResumptionRate() float64 {
	total := s.Full.Count + s.Resumed.Count
	if total == 0 {
		return 0
	}
	return float64(s.Resumed.Count) / float64(total)
}

// Stats returns a snapshot of the counts and of all servers.
func (l *ClientTLS) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	untrusted := make(map[string]handshakes.UntrustedServer)
	for _, entry := range l.untrusted.List() {
		untrusted[entry.Server] = entry
	}
	stats := Stats{
		Full:        l.counters.full.Clone(),
		Resumed:     l.counters.resumed.Clone(),
		Failures:    maps.Clone(l.counters.failures),
		TotalQueued: l.counters.queued,
		Rejected:    l.counters.rejected,
		Untrusted:   len(untrusted),
	}
	stats.Running, stats.Queued = l.limiter.Usage()
	for id, srv := range l.servers {
		status := ServerStatus{
			Server:            id,
			CertificateSerial: srv.certificateSerial,
			CertificateExpiry: srv.certificateExpiry,
		}
		if entry, ok := untrusted[id]; ok {
			status.UntrustedReason = entry.Reason
			status.Rechecks = entry.Rechecks
			status.UntrustedMs = (l.now() - entry.Since).Milliseconds()
		}
		if srv.sessions.hasSession() {
			stats.Sessions++
		}
		stats.Servers = append(stats.Servers, status)
	}
	slices.SortFunc(stats.Servers, func(a, b ServerStatus) int { return cmp.Compare(a.Server, b.Server) })
	return stats
}
