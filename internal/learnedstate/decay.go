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
	maxClockSkew    = 2 * time.Second // tolerance for snapshot times and for estimates of process starts
	maxThreshold    = 1e6
	maxFaultScore   = 1e6
	maxLatency      = 3600 // seconds
	minScale        = 0.01
	maxScale        = 100
	maxEjections    = 10
	maxBucketIdle   = 24 * time.Hour
	otherNodeWeight = 0.5 // factor for the weight of another node's snapshot
)

// Config configures how a snapshot loses weight and which parts of it Decay takes over.
type Config struct {
	HalfLife        time.Duration // age at which learned values have half their weight; default: DefaultHalfLife
	MaxAge          time.Duration // maximum age of an accepted snapshot; default: DefaultMaxAge
	MaxEjectedShare float64       // maximum share of servers that start ejected; default: DefaultMaxEjectedShare
	// OtherNode marks a snapshot of another node: its buckets are left out, and its weight is halved.
	OtherNode bool
	// SuccessorOnly limits Decay to ejections and buckets, for the successor in a hot restart. A predecessor that shuts
	// down learns thresholds and scales that would limit its successor.
	SuccessorOnly bool
	// Boot is the boot-clock time of the call of Decay; the zero value means unknown. If the machine has not been
	// rebooted since the snapshot, the age of the snapshot is computed from Boot. Steps of the wall clock then have no
	// effect.
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

// Report describes what Decay took over from a snapshot.
type Report struct {
	Age       time.Duration
	Weight    float64 // weight of the learned values, 0 to 1
	Restored  int     // number of servers whose state was taken over
	NotListed int     // number of servers that are no longer in service
	Restarted int     // number of servers that have been restarted since the snapshot
	Ejected   int     // number of servers that start ejected
	Unejected int     // number of ejected servers put back in service by MaxEjectedShare
	Buckets   int     // number of quota buckets that were taken over
	Rejected  string  // reason for rejecting the snapshot; empty: not rejected
}

// InitialThreshold returns the threshold with which a node starts using a server, and the uptime of the server's
// process. An uptime of 0 means that the process started long ago. ok is false if the server is not in service.
type InitialThreshold func(server string) (threshold float64, uptime time.Duration, ok bool)

// Decay returns the part of a snapshot that a node may take over at the time now. A snapshot that is too old or from
// the future is rejected. Server values that no node can have are replaced by defaults, and buckets with such values
// are left out. The older the snapshot, the closer a threshold is to the node's own initial threshold. An ejected
// server starts ejected for the remainder of its ejection, unless too many servers would start ejected. An ejected
// server is health-checked before it is used.
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

// age returns the age of a snapshot. It uses the boot clock if the machine has not been rebooted since the snapshot,
// and otherwise the wall clock.
func (s Snapshot) age(now time.Time, boot bootclock.Time) time.Duration {
	if s.Boot != nil {
		if age, ok := boot.Sub(*s.Boot); ok {
			return age
		}
	}
	return now.Sub(s.At)
}

// decayScale returns scale, moved toward 1. The lower the weight, the closer the result is to 1. A scale outside
// minimum and maxScale counts as 1.
func (r *Report) decayScale(scale, minimum float64) float64 {
	return 1 + r.Weight*(boundedOr(scale, minimum, maxScale, 1)-1)
}

// decayServers returns the decayed states of the servers whose stored process still runs.
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

// sameProcess reports whether two uptimes of a server can be of the same process. stored is the uptime in a snapshot
// of the given age; current is the uptime now. An uptime of 0 means that the process started long ago.
func sameProcess(stored, age, current time.Duration) bool {
	if stored <= 0 || current == 0 {
		return (stored == 0) == (current == 0)
	}
	expected := stored + age
	return (current - expected).Abs() <= maxClockSkew
}

// decayServer returns the decayed state of a server. threshold is the server's initial threshold.
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

// decayBuckets returns the buckets with plausible values, with the age of the snapshot added to their idle time.
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

// limitEjected puts ejected servers back in service until at most the given share of servers is ejected. It begins
// with the servers whose ejection ends soonest. A node that starts with most of its servers ejected could serve almost
// no requests.
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

// boundedOr returns value if it is between minimum and maximum, and fallback if it is outside or not a number.
func boundedOr(value, minimum, maximum, fallback float64) float64 {
	if math.IsNaN(value) || value < minimum || value > maximum {
		return fallback
	}
	return value
}
