package policy

import (
	"slices"
	"strings"
	"time"
)

// What a balancer has learned, as something that can be kept and taken over; no decisions here. How old or
// foreign knowledge is weighed is decided elsewhere, before Adopt.

// Knowledge is what a balancer has learned. It holds nothing of what is in flight, and nothing of the list.
type Knowledge struct {
	Pace    float64           `json:"pace"`
	Trust   float64           `json:"trust"`
	Servers []ServerKnowledge `json:"servers"` // in id order
	Buckets []BucketKnowledge `json:"buckets"` // by tenant and class
}

// ServerKnowledge is what is known of one process of a server.
type ServerKnowledge struct {
	Server    string        `json:"server"`
	Up        time.Duration `json:"up"` // since its start, where the list tells of that; 0: long ago
	Threshold float64       `json:"threshold"`
	Felt      bool          `json:"felt"`
	Latency   float64       `json:"latency"` // seconds
	Faults    float64       `json:"faults"`
	Score     float64       `json:"score"`
	Out       bool          `json:"out"`   // ejected
	For       time.Duration `json:"for"`   // that it stays so before it is tried out; may be over
	Times     int           `json:"times"` // ejections in a row
}

// BucketKnowledge is the level of one bucket.
type BucketKnowledge struct {
	Tenant string        `json:"tenant"`
	Class  string        `json:"class,omitempty"`
	Tokens int64         `json:"tokens"`
	Idle   time.Duration `json:"idle"` // since tokens were last added
}

// Export shows what the balancer has learned, at the moment of its last event.
func (b *Balancer) Export() Knowledge {
	k := Knowledge{Pace: b.pace, Trust: b.trust}
	for _, s := range b.servers {
		if !s.inService() {
			continue
		}
		e := ServerKnowledge{Server: s.Server, Threshold: s.threshold, Felt: s.felt, Latency: s.latency, Faults: s.faults,
			Score: s.health.score, Out: s.health.out, Times: s.health.times}
		if s.OnlineSince > 0 {
			e.Up = max(1, b.now-s.OnlineSince)
		}
		if e.Out {
			e.For = s.health.until - b.now
		}
		k.Servers = append(k.Servers, e)
	}
	slices.SortFunc(k.Servers, func(a, c ServerKnowledge) int { return strings.Compare(a.Server, c.Server) })
	for key, bucket := range b.buckets {
		k.Buckets = append(k.Buckets, BucketKnowledge{key.tenant, key.class, bucket.tokens, b.now - bucket.last})
	}
	slices.SortFunc(k.Buckets, func(a, c BucketKnowledge) int {
		return strings.Compare(a.Tenant+"\x00"+a.Class, c.Tenant+"\x00"+c.Class)
	})
	return k
}

// Prior is what the balancer would first trust a server with, and how long the server's process runs; ok is false
// where it is not in service.
func (b *Balancer) Prior(id string) (threshold float64, up time.Duration, ok bool) {
	s := b.servers[id]
	if !s.inService() {
		return 0, 0, false
	}
	if s.OnlineSince > 0 {
		up = max(1, b.now-s.OnlineSince)
	}
	return b.start(s), up, true
}

// Adopt takes knowledge over as it is. Servers that are not in service, and buckets beyond their bound, are left out.
func (b *Balancer) Adopt(now Time, k Knowledge) {
	b.now = max(now, b.now)
	if k.Pace > 0 {
		b.pace = k.Pace
	}
	if k.Trust >= 1 {
		b.trust = min(trustMost, k.Trust)
	}
	for _, e := range k.Servers {
		s := b.servers[e.Server]
		if !s.inService() {
			continue
		}
		s.threshold, s.felt, s.latency, s.faults = e.Threshold, e.Felt, e.Latency, e.Faults
		ejected := 0
		if e.Out != s.health.out {
			ejected = 1
			if !e.Out {
				ejected = -1
			}
		}
		s.health = health{score: e.Score, out: e.Out, until: b.now + e.For, times: e.Times}
		b.touch(s, ejected)
	}
	for _, e := range k.Buckets {
		key := bucketKey{e.Tenant, e.Class}
		if b.buckets[key] == nil && len(b.buckets) >= maxBuckets {
			continue
		}
		b.buckets[key] = &bucket{tokens: e.Tokens, last: b.now - e.Idle}
	}
}
