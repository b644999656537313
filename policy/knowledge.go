package policy

import (
	"slices"
	"strings"
	"time"
)

// What a balancer has learned, as something that can be kept and taken over; no decisions here. How old or
// foreign knowledge is weighed is decided elsewhere, before Adopt.

// LearnedState is what a balancer has learned. It holds nothing of what is in flight, and nothing of the list.
type LearnedState struct {
	RateScale            float64       `json:"pace"`
	SharedThresholdScale float64       `json:"trust"`
	Servers              []ServerState `json:"servers"` // in id order
	Buckets              []BucketState `json:"buckets"` // by tenant and class
}

// ServerState is what is known of one process of a server.
type ServerState struct {
	Server           string        `json:"server"`
	Uptime           time.Duration `json:"up"` // since its start, where the list tells of that; 0: long ago
	Threshold        float64       `json:"threshold"`
	ThresholdReduced bool          `json:"felt"`
	Latency          float64       `json:"latency"` // seconds
	FaultRate        float64       `json:"faults"`
	FaultScore       float64       `json:"score"`
	Ejected          bool          `json:"out"`   // ejected
	EjectedFor       time.Duration `json:"for"`   // that it stays so before it is tried out; may be over
	Ejections        int           `json:"times"` // ejections in a row
}

// BucketState is the level of one bucket.
type BucketState struct {
	Tenant string        `json:"tenant"`
	Class  string        `json:"class,omitempty"`
	Tokens int64         `json:"tokens"`
	Idle   time.Duration `json:"idle"` // since tokens were last added
}

// Export shows what the balancer has learned, at the moment of its last event.
func (b *Balancer) Export() LearnedState {
	k := LearnedState{RateScale: b.rateScale, SharedThresholdScale: b.sharedThresholdScale}
	for _, s := range b.servers {
		if !s.inService() {
			continue
		}
		e := ServerState{
			Server: s.Server, Threshold: s.threshold, ThresholdReduced: s.thresholdReduced, Latency: s.lastLatency, FaultRate: s.faultRatio,
			FaultScore: s.health.faultScore, Ejected: s.health.ejected, Ejections: s.health.ejections,
		}
		if s.OnlineSince > 0 {
			e.Uptime = max(1, b.now-s.OnlineSince)
		}
		if e.Ejected {
			e.EjectedFor = s.health.ejectedUntil - b.now
		}
		k.Servers = append(k.Servers, e)
	}
	slices.SortFunc(k.Servers, func(a, c ServerState) int { return strings.Compare(a.Server, c.Server) })
	for key, bucket := range b.buckets {
		k.Buckets = append(k.Buckets, BucketState{key.tenant, key.class, bucket.tokens, b.now - bucket.lastRefill})
	}
	slices.SortFunc(k.Buckets, func(a, c BucketState) int {
		return strings.Compare(a.Tenant+"\x00"+a.Class, c.Tenant+"\x00"+c.Class)
	})
	return k
}

// InitialThreshold is what the balancer would first trust a server with, and how long the server's process runs; ok is false
// where it is not in service.
func (b *Balancer) InitialThreshold(id string) (threshold float64, up time.Duration, ok bool) {
	s := b.servers[id]
	if !s.inService() {
		return 0, 0, false
	}
	if s.OnlineSince > 0 {
		up = max(1, b.now-s.OnlineSince)
	}
	return b.initialThreshold(s), up, true
}

// Restore takes knowledge over as it is. Servers that are not in service, and buckets beyond their bound, are left out.
func (b *Balancer) Restore(now Time, k LearnedState) {
	b.now = max(now, b.now)
	if k.RateScale > 0 {
		b.rateScale = k.RateScale
	}
	if k.SharedThresholdScale >= 1 {
		b.sharedThresholdScale = min(maxSharedScale, k.SharedThresholdScale)
	}
	for _, e := range k.Servers {
		s := b.servers[e.Server]
		if !s.inService() {
			continue
		}
		s.threshold, s.thresholdReduced, s.lastLatency, s.faultRatio = e.Threshold, e.ThresholdReduced, e.Latency, e.FaultRate
		ejected := 0
		if e.Ejected != s.health.ejected {
			ejected = 1
			if !e.Ejected {
				ejected = -1
			}
		}
		s.health = health{faultScore: e.FaultScore, ejected: e.Ejected, ejectedUntil: b.now + e.EjectedFor, ejections: e.Ejections}
		b.updateIndex(s, ejected)
	}
	for _, e := range k.Buckets {
		key := bucketKey{e.Tenant, e.Class}
		if b.buckets[key] == nil && len(b.buckets) >= maxBuckets {
			continue
		}
		b.buckets[key] = &bucket{tokens: e.Tokens, lastRefill: b.now - e.Idle}
	}
}
