package policy

import (
	"slices"
	"strings"
	"time"
)

// What a balancer has learned, in a form that can be stored and restored; no decision is in this file. How old
// or foreign state is discounted is decided elsewhere, before Restore.

// LearnedState is the state that a balancer has learned. It holds no requests in flight, and nothing of the endpoint
// list. The keys are those of stored data.
type LearnedState struct {
	RateScale            float64       `json:"pace"`    // scale of all bucket rates
	SharedThresholdScale float64       `json:"trust"`   // of servers that other nodes mostly use; 1 or more
	Servers              []ServerState `json:"servers"` // in id order
	Buckets              []BucketState `json:"buckets"` // by tenant and class
}

// ServerState is the learned state of one process of a server.
type ServerState struct {
	Server           string        `json:"server"`
	Uptime           time.Duration `json:"up"`        // since its start; 0: long ago
	Threshold        float64       `json:"threshold"` // learned concurrency limit, in attempts in flight
	ThresholdReduced bool          `json:"felt"`      // the threshold was reduced at least once
	Latency          float64       `json:"latency"`   // of its last answer, in seconds
	FaultRate        float64       `json:"faults"`    // moving average: errors and resets among its outcomes
	FaultScore       float64       `json:"score"`     // of its circuit breaker
	Ejected          bool          `json:"out"`
	EjectedFor       time.Duration `json:"for"`   // until it is probed; negative where that is due
	Ejections        int           `json:"times"` // in a row
}

// BucketState is the level of one token bucket.
type BucketState struct {
	Tenant string        `json:"tenant"`
	Class  string        `json:"class,omitempty"` // empty for the bucket of all classes
	Tokens int64         `json:"tokens"`
	Idle   time.Duration `json:"idle"` // since tokens were last added
}

// Export returns what the balancer has learned, as of its last event.
func (b *Balancer) Export() LearnedState {
	state := LearnedState{RateScale: b.rateScale, SharedThresholdScale: b.sharedThresholdScale}
	for _, s := range b.servers {
		if s.inService() {
			state.Servers = append(state.Servers, b.exportServer(s))
		}
	}
	slices.SortFunc(state.Servers, func(s, other ServerState) int {
		return strings.Compare(s.Server, other.Server)
	})
	for key, bucket := range b.buckets {
		idle := b.now - bucket.lastRefill
		state.Buckets = append(state.Buckets, BucketState{key.tenant, key.class, bucket.tokens, idle})
	}
	slices.SortFunc(state.Buckets, func(k, other BucketState) int {
		return strings.Compare(k.Tenant+"\x00"+k.Class, other.Tenant+"\x00"+other.Class)
	})
	return state
}

func (b *Balancer) exportServer(source *server) ServerState {
	state := ServerState{
		Server:           source.Server,
		Uptime:           b.uptime(source),
		Threshold:        source.threshold,
		ThresholdReduced: source.thresholdReduced,
		Latency:          source.lastLatency,
		FaultRate:        source.faultRatio,
		FaultScore:       source.health.faultScore,
		Ejected:          source.health.ejected,
		Ejections:        source.health.ejections,
	}
	if source.health.ejected {
		state.EjectedFor = source.health.ejectedUntil - b.now
	}
	return state
}

// uptime is the time since a server's start, or 0 where it is not known.
func (b *Balancer) uptime(s *server) time.Duration {
	if s.OnlineSince <= 0 {
		return 0
	}
	return max(1, b.now-s.OnlineSince)
}

// InitialThreshold returns the threshold that the balancer gives a server at first, and the uptime of the
// server's process; ok is false where the server is not in service.
func (b *Balancer) InitialThreshold(id string) (threshold float64, uptime time.Duration, ok bool) {
	s := b.servers[id]
	if !s.inService() {
		return 0, 0, false
	}
	return b.initialThreshold(s), b.uptime(s), true
}

// Restore takes state over as it is. Servers that are not in service, and buckets beyond their bound, are left out.
func (b *Balancer) Restore(now Time, state LearnedState) {
	b.now = max(now, b.now)
	if state.RateScale > 0 {
		b.rateScale = state.RateScale
	}
	if state.SharedThresholdScale >= 1 {
		b.sharedThresholdScale = min(maxSharedScale, state.SharedThresholdScale)
	}
	for _, serverState := range state.Servers {
		if s := b.servers[serverState.Server]; s.inService() {
			b.restoreServer(s, serverState)
		}
	}
	for _, bucketState := range state.Buckets {
		key := bucketKey{bucketState.Tenant, bucketState.Class}
		if b.buckets[key] == nil && len(b.buckets) >= maxBuckets {
			continue
		}
		b.buckets[key] = &bucket{tokens: bucketState.Tokens, lastRefill: b.now - bucketState.Idle}
	}
}

func (b *Balancer) restoreServer(target *server, state ServerState) {
	wasEjected := target.health.ejected
	target.threshold = state.Threshold
	target.thresholdReduced = state.ThresholdReduced
	target.lastLatency = state.Latency
	target.faultRatio = state.FaultRate
	target.health = health{
		faultScore:   state.FaultScore,
		ejected:      state.Ejected,
		ejectedUntil: b.now + state.EjectedFor,
		ejections:    state.Ejections,
	}
	switch {
	case state.Ejected && !wasEjected:
		b.updateIndex(target, 1)
	case !state.Ejected && wasEjected:
		b.updateIndex(target, -1)
	default:
		b.updateIndex(target, 0)
	}
}
