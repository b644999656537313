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

// Bounds of what Decay believes of a snapshot.
const (
	maxClockSkew    = 2 * time.Second // between two nodes' views of when a process started
	maxThreshold    = 1e6
	maxFaultScore   = 1e6
	maxLatency      = 3600 // seconds
	minScale        = 0.01
	maxScale        = 100
	maxEjections    = 10
	maxBucketIdle   = 24 * time.Hour
	otherNodeWeight = 0.5 // of what another node has learned
)

// Config says how a snapshot loses weight.
type Config struct {
	HalfLife        time.Duration // after which learned values count half; 0: DefaultHalfLife
	MaxAge          time.Duration // beyond which nothing is; 0: DefaultMaxAge
	MaxEjectedShare float64       // of the servers that may start ejected; 0: DefaultMaxEjectedShare
	// OtherNode marks a snapshot of another node: its buckets are left out, and its weight is halved.
	OtherNode bool
	// SuccessorOnly takes over the ejections and the buckets alone. What a process has learned in the busy moments of
	// its end would hold its successor down.
	SuccessorOnly bool
	// Boot is the moment of Decay as processes of one machine can compare it, so that the age of a snapshot does not
	// hang on the wall clock; zero: unknown.
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

// Report says what became of a snapshot.
type Report struct {
	Age       time.Duration
	Weight    float64 // of the learned state, 0 to 1
	Restored  int     // servers whose state was taken over
	NotListed int     // servers that are no longer listed
	Restarted int     // servers where another process runs by now
	Ejected   int     // servers that start ejected
	Unejected int     // servers that were ejected and start in service, since too many were
	Buckets   int     // taken over
	Rejected  string  // why nothing was taken over; empty where something was
}

// InitialThreshold returns the threshold at which a node would start a server, and for how long the server's process
// has been running (0: long ago); ok is false where the server is not in service.
type InitialThreshold func(server string) (threshold float64, uptime time.Duration, ok bool)

// Decay returns what a node may take over of a snapshot at a moment. Values that no node can have are replaced, and a
// snapshot from the future is rejected. Thresholds move back towards the node's own initial ones as the snapshot ages.
// A server that was ejected starts ejected for the rest of its time, and is health-checked before it is used.
func Decay(
	snapshot Snapshot, now time.Time, initial InitialThreshold, config Config,
) (policy.LearnedState, Report) {
	config = config.withDefaults()
	report := Report{Age: snapshot.age(now, config.Boot)}
	switch {
	case report.Age < -maxClockSkew:
		report.Rejected = "it is from the future"
	case report.Age > config.MaxAge:
		report.Rejected = fmt.Sprintf("it is older than %v", config.MaxAge)
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

// age is how old a snapshot is at a moment.
func (s Snapshot) age(now time.Time, boot bootclock.Time) time.Duration {
	if s.Boot != nil {
		if age, ok := boot.Sub(*s.Boot); ok {
			return age
		}
	}
	return now.Sub(s.At)
}

// decayScale moves a scale back towards 1.
func (r *Report) decayScale(scale, least float64) float64 {
	return 1 + r.Weight*(boundedOr(scale, least, maxScale, 1)-1)
}

// decayServers returns the decayed states of the servers that still run the process that was learned of.
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

// sameProcess reports whether a process with an uptime, so long ago, may be the one whose uptime is current. An uptime
// of 0 means that the process started long ago.
func sameProcess(stored, age, current time.Duration) bool {
	if stored <= 0 || current == 0 {
		return (stored == 0) == (current == 0)
	}
	expected := stored + age
	return (current - expected).Abs() <= maxClockSkew
}

// decayServer returns the decayed state of one server, whose initial threshold is given.
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

// decayBuckets returns the buckets that a node can have had, with the time that has passed since.
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

// limitEjected puts servers back in service where too many would start ejected, first those whose ejection ends
// soonest: a node that starts with most of its servers ejected serves nobody.
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

// boundedOr returns a value that is within its bounds, or a default for one that is not, or is not a number.
func boundedOr(value, least, most, otherwise float64) float64 {
	if math.IsNaN(value) || value < least || value > most {
		return otherwise
	}
	return value
}
