package policy

import (
	"slices"
	"strings"
	"time"
)

// This file exports and restores the learned state of a Balancer. It makes no decisions. The caller must discount old
// state and the state of another node before it calls Restore.

// LearnedState is the state that a Balancer has learned. It contains neither requests in flight nor the endpoint
// list. The JSON keys are part of the stored format.
type LearnedState struct {
	RateScale            float64       `json:"pace"`    // factor applied to the refill rates of all buckets
	SharedThresholdScale float64       `json:"trust"`   // factor applied to the thresholds of shared servers; 1 or more
	Servers              []ServerState `json:"servers"` // sorted by server ID
	Buckets              []BucketState `json:"buckets"` // sorted by tenant and class
}

// ServerState is what a Balancer has learned about one process of a listed server.
type ServerState struct {
	Server           string        `json:"server"`
	Uptime           time.Duration `json:"up"`        // time since the process started; 0: long ago
	Threshold        float64       `json:"threshold"` // learned concurrency limit, in attempts in flight
	ThresholdReduced bool          `json:"felt"`      // whether the threshold has been reduced at least once
	Latency          float64       `json:"latency"`   // latency of the last answer or time-out, in seconds
	FaultRate        float64       `json:"faults"`    // moving average of the fraction of outcomes that are faults
	FaultScore       float64       `json:"score"`     // fault score of the circuit breaker
	Ejected          bool          `json:"out"`       // whether the server is ejected, or half-open and waiting for probes
	EjectedFor       time.Duration `json:"for"`       // time until the server may be probed; negative: already possible
	Ejections        int           `json:"times"`     // number of consecutive ejections
}

// BucketState is the level of one token bucket.
type BucketState struct {
	Tenant string        `json:"tenant"`
	Class  string        `json:"class,omitempty"` // empty: the bucket shared by all classes without their own limit
	Tokens int64         `json:"tokens"`
	Idle   time.Duration `json:"idle"` // time since tokens were last added
}

// Export returns the learned state as of the last event.
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

// uptime returns the time since the start of s, or 0 if the start is unknown or long ago.
func (b *Balancer) uptime(s *server) time.Duration {
	if s.OnlineSince <= 0 {
		return 0
	}
	return max(1, b.now-s.OnlineSince)
}

// InitialThreshold returns the initial threshold of the server id at this Balancer, and the uptime of the server's
// process. ok is false if the server is not in service.
func (b *Balancer) InitialThreshold(id string) (threshold float64, uptime time.Duration, ok bool) {
	s := b.servers[id]
	if !s.inService() {
		return 0, 0, false
	}
	return b.initialThreshold(s), b.uptime(s), true
}

// Restore adopts state without discounting it. It ignores servers that are not in service, and new buckets beyond
// maxBuckets.
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
