package learnedstate

import (
	"fmt"
	"math"
	"slices"
	"time"

	"cobaltward/internal/bootclock"
	"cobaltward/policy"
)

// Defaults of Config.
const (
	DefaultHalfLife        = time.Minute
	DefaultMaxAge          = 10 * time.Minute
	DefaultMaxEjectedShare = 0.5
)

// Limits of the values that Decay takes over from a snapshot.
const (
	maxClockSkew    = 2 * time.Second // between two nodes' estimates of when a process started
	maxThreshold    = 1e6
	maxFaultScore   = 1e6
	maxLatency      = 3600 // seconds
	minScale        = 0.01
	maxScale        = 100
	maxEjections    = 10
	maxBucketIdle   = 24 * time.Hour
	otherNodeWeight = 0.5 // factor for the weight of a snapshot of another node
)

// Config says how a snapshot loses weight, and which parts of it are taken over.
type Config struct {
	HalfLife        time.Duration // time in which the weight of learned values halves; 0: DefaultHalfLife
	MaxAge          time.Duration // age beyond which a snapshot is rejected; 0: DefaultMaxAge
	MaxEjectedShare float64       // largest share of servers that start ejected; 0: DefaultMaxEjectedShare
	// OtherNode says that the snapshot is of another node: its buckets are left out, and its weight is halved.
	OtherNode bool
	// SuccessorOnly takes over only the ejections and the buckets, for the successor in a hot restart. Thresholds and
	// scales that a process learned while it was busy shutting down would limit its successor.
	SuccessorOnly bool
	// Boot is the time of the call of Decay since the start of the machine. Within one machine, the age of a snapshot
	// is computed from it, so that steps of the wall clock don't matter; zero: unknown.
	Boot bootclock.Time
}

func (c Config) withDefaults() Config {
	if c.HalfLife == 0 {
		c.HalfLife = DefaultHalfLife
	}
	if c.MaxAge == 0 {
		c.MaxAge = DefaultMaxAge
	}
	if c.MaxEjectedShare == 0 {
		c.MaxEjectedShare = DefaultMaxEjectedShare
	}
	return c
}

// Report says what was taken over from a snapshot.
type Report struct {
	Age       time.Duration
	Weight    float64 // with which the learned values count, 0 to 1
	Restored  int     // servers whose state was taken over
	NotListed int     // servers that are no longer in service
	Restarted int     // servers whose process is another one by now
	Ejected   int     // servers that start ejected
	Unejected int     // ejected servers that start in service, since too many were ejected
	Buckets   int     // quota buckets that were taken over
	Rejected  string  // why the snapshot was rejected; empty if it was not
}

// InitialThreshold returns the threshold with which a node starts using a server, and for how long the server's
// process has been running (0: since long ago). ok is false if the server is not in service.
type InitialThreshold func(server string) (threshold float64, uptime time.Duration, ok bool)

// Decay returns the part of a snapshot that a node may take over at the time now. Values that no node can have are
// replaced by defaults, and a snapshot from the future is rejected. The older the snapshot, the closer a threshold is
// to the node's own initial one. A server that was ejected starts ejected for the rest of its time, and is
// health-checked before it is used.
func Decay(
	snapshot Snapshot, now time.Time, initial InitialThreshold, config Config,
) (policy.LearnedState, Report) {
	config = config.withDefaults()
	report := Report{Age: snapshot.age(now, config.Boot)}
	switch {
	case report.Age < -maxClockSkew:
		report.Rejected = "the snapshot is from the future"
	case report.Age > config.MaxAge:
		report.Rejected = fmt.Sprintf("the snapshot is older than %v", config.MaxAge)
	}
	if report.Rejected != "" {
		return policy.LearnedState{}, report
	}
	report.Age = max(0, report.Age)
	report.Weight = math.Exp2(-report.Age.Seconds() / config.HalfLife.Seconds())
	if config.OtherNode {
		report.Weight *= otherNodeWeight
	}
	state := policy.LearnedState{
		RateScale:            report.decayScale(snapshot.State.RateScale, minScale),
		SharedThresholdScale: report.decayScale(snapshot.State.SharedThresholdScale, 1),
		Servers:              report.decayServers(snapshot.State.Servers, initial, config.MaxAge),
	}
	if config.SuccessorOnly {
		state.RateScale, state.SharedThresholdScale = 1, 1
		state.Servers = slices.DeleteFunc(state.Servers, func(s policy.ServerState) bool { return !s.Ejected })
	}
	report.Restored = len(state.Servers)
	report.limitEjected(state.Servers, config.MaxEjectedShare)
	if !config.OtherNode {
		state.Buckets = report.decayBuckets(snapshot.State.Buckets)
	}
	report.Buckets = len(state.Buckets)
	return state, report
}

// age returns the age of a snapshot, from the boot clock if both times are of the same start of the machine, else
// from the wall clock.
func (s Snapshot) age(now time.Time, boot bootclock.Time) time.Duration {
	if s.Boot != nil {
		if age, ok := boot.Sub(*s.Boot); ok {
			return age
		}
	}
	return now.Sub(s.At)
}

// decayScale returns a scale that is moved towards 1 according to the weight.
func (r *Report) decayScale(scale, minimum float64) float64 {
	return 1 + r.Weight*(boundedOr(scale, minimum, maxScale, 1)-1)
}

// decayServers returns the decayed states of the servers that still run the process of the stored state.
func (r *Report) decayServers(
	stored []policy.ServerState, initial InitialThreshold, maxAge time.Duration,
) (servers []policy.ServerState) {
	for _, server := range stored {
		threshold, uptime, listed := initial(server.Server)
		switch {
		case !listed:
			r.NotListed++
		case !sameProcess(server.Uptime, r.Age, uptime):
			r.Restarted++
		default:
			servers = append(servers, r.decayServer(server, threshold, maxAge))
		}
	}
	return servers
}

// sameProcess reports whether a process whose uptime was stored, as long ago as age, may be the one whose uptime is
// current. An uptime of 0 means that the process started long ago.
func sameProcess(stored, age, current time.Duration) bool {
	if stored <= 0 || current == 0 {
		return (stored == 0) == (current == 0)
	}
	expected := stored + age
	return (current - expected).Abs() <= maxClockSkew
}

// decayServer returns the decayed state of one server. threshold is its initial threshold.
func (r *Report) decayServer(server policy.ServerState, threshold float64, maxAge time.Duration) policy.ServerState {
	learned := boundedOr(server.Threshold, 0, maxThreshold, threshold)
	server.Threshold = threshold + r.Weight*(learned-threshold)
	server.Latency = r.Weight * boundedOr(server.Latency, 0, maxLatency, 0)
	server.FaultRate = r.Weight * boundedOr(server.FaultRate, 0, 1, 0)
	server.FaultScore = r.Weight * boundedOr(server.FaultScore, 0, maxFaultScore, 0)
	server.Ejections = min(max(0, server.Ejections), maxEjections)
	server.Uptime = 0
	if !server.Ejected {
		server.EjectedFor = 0
		return server
	}
	ejectedFor := min(max(0, server.EjectedFor), maxAge)
	server.EjectedFor = max(0, ejectedFor-r.Age)
	return server
}

// decayBuckets returns the buckets with plausible values, and adds the age of the snapshot to their idle time.
func (r *Report) decayBuckets(stored []policy.BucketState) (buckets []policy.BucketState) {
	for _, bucket := range stored {
		if bucket.Tokens < 0 || bucket.Idle < 0 || bucket.Idle > maxBucketIdle {
			continue
		}
		bucket.Idle += r.Age
		buckets = append(buckets, bucket)
	}
	return buckets
}

// limitEjected puts servers back in service if too many would start ejected, beginning with those whose ejection ends
// soonest. A node that starts with most of its servers ejected could serve almost no requests.
func (r *Report) limitEjected(servers []policy.ServerState, share float64) {
	var ejected []int // indexes
	for i := range servers {
		if servers[i].Ejected {
			ejected = append(ejected, i)
		}
	}
	limit := int(share * float64(len(servers)))
	slices.SortFunc(ejected, func(a, b int) int { return int(servers[b].EjectedFor - servers[a].EjectedFor) })
	for n, i := range ejected {
		if n < limit {
			r.Ejected++
			continue
		}
		servers[i].Ejected, servers[i].EjectedFor, servers[i].Ejections = false, 0, 0
		r.Unejected++
	}
}

// boundedOr returns the value if it is within the limits, and the fallback if it is outside or not a number.
func boundedOr(value, minimum, maximum, fallback float64) float64 {
	if math.IsNaN(value) || value < minimum || value > maximum {
		return fallback
	}
	return value
}
