package policy

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// The state that the decisions keep; no decision is in this file.

// Balancer makes one node's decisions. It isn't safe for concurrent use. Make one with New.
type Balancer struct {
	settings Settings
	now      Time
	rng      *rand.Rand
	actions  []Action // of the present event

	classes        map[string]*class
	activeClasses  []*class // in the order of the settings
	retiredClasses []*class // of former settings, with requests in flight
	nextTimerToken uint64   // of the next class

	tenantLimits map[string]Limit
	defaultLimit *Limit // for tenants without a quota; nil: no limit
	buckets      map[bucketKey]*bucket
	rateScale    float64 // scale of all bucket rates
	trafficShare float64 // part of the node's buckets that this process has, where another serves beside it
	rateLimited  bool    // a bucket rejected since the last selection

	sharedThresholdScale float64 // scale of the thresholds of servers that other nodes mostly use
	faultWeight          float64 // weight of an error or a reset, less than 1 where all servers have them
	overloadRatio        float64 // moving average: overload answers among the bad ones
	badRatio             float64 // moving average: bad answers among all
	timeoutRatio         float64 // moving average: time-outs among all but overload answers

	servers           map[string]*server // listed, in service or not
	pool                                 // all servers in service
	runningByZone     map[string]int     // servers in service in each zone
	zoneCount         int                // zones that have servers in service
	shortestObjective time.Duration      // of the classes in force
	subsetSize        int                // servers at the start of the order that are this node's subset
	linearScan        bool               // of tests: scan all servers, and rebuild the order each time

	requests      map[string]*request
	queued        []*request // waiting for a usable server, oldest first
	queueTimerSet bool

	retryBudget    RetryBudget
	retryDebt      float64 // part of a retry not yet charged
	accepted       []Time  // requests received in the window of the retry budget, oldest first
	retries        []Time  // attempts beyond a request's first in it
	expiredRetries []Time  // those that have left it lately

	completionRate   float64 // answers a second, as of completionRateAt
	completionRateAt Time
	unansweredRatio  [6]float64 // moving averages: sends unanswered, by idle octave of the connection
}

// pool is a set of servers in order: all of them, or those that a class is restricted to.
type pool struct {
	class        *class       // that is restricted to it; nil for all servers
	partitions   [2][]*server // by id: those of the own zone, and all others
	offsets      [2]int       // where the order starts in each partition
	order        []*server    // the partitions, each from its offset on
	spareOrder   []*server    // memory for the next order
	localCount   int          // servers of order in the own zone
	ejectedCount int          // servers of order that are ejected
	blocks       []block      // of order, where it is long
}

// class is a request class and its learned state.
type class struct {
	Class
	capabilities Capabilities  // of the settings that it came with
	eligible     *pool         // the servers that it may be sent to
	timerToken   uint64        // 0 for a class that is not in the settings
	tailLatency  time.Duration // estimate of the tailQuantile of its latency
	slowChecks   []slowCheck   // of its attempts, by the time they are due
	slowTimerSet bool          // the timer for the head of slowChecks is set
}

// server is one listed server as this node sees it.
type server struct {
	Endpoint
	nameHash           uint64
	probeIdempotency   Idempotency // the highest of the classes that it is open to: these give the probes
	inFlight           int         // this node's attempts
	threshold          float64     // learned concurrency limit, in attempts in flight
	thresholdReduced   bool        // it was at least once
	inSubset           bool        // it is in this node's subset
	inNewSubset        bool        // scratch of replaceSubset
	connectionLastUsed []Time      // when so many connections were last in use
	lastSend           Time
	lastAnswer         Time    // when it last answered anything
	lastLatency        float64 // of its last answer, in seconds
	faultRatio         float64 // moving average: errors and resets among its outcomes
	health             health
	slowStart          slowStartBucket
}

// inService tells whether s is listed and runs.
func (s *server) inService() bool { return s != nil && s.Availability == Running }

// request is one client request until its answer is given and its attempts are done.
type request struct {
	id            string
	class         *class
	deadline      Time   // of the client
	valueDeadline Time   // later answers have no value
	queueDeadline Time   // when it is rejected if still queued
	keyHash       uint64 // hash of its key; 0 for none
	attempts      []attempt
	pending       int      // attempts in flight
	mayHaveRun    *attempt // the first attempt that may have run
	answered      bool     // the final answer is given
	streaming     bool     // the answer has begun
	wasQueued     bool     // it waited for a server at least once
	bodyPending   bool     // its last byte has not come yet
	notReplayable bool     // its body passes through: it can't be hedged
	zoneLocal     bool     // it is not to leave the zone while that has a server
	reconnectAt   Time     // end of the backoff after a failed connect; 0 for none
	reconnecting  bool     // while a server is selected: one that could not be connected to may get another attempt
}

// attempt is one send of a request to a server.
type attempt struct {
	server        *server
	sentAt        Time
	done          bool
	notExecuted   bool // an outcome proved that it never ran
	connectFailed bool // nothing was sent
	probe         bool // it probes an ejected server
	idleOctave    int  // of its connection's idle time; 0 for a connection in use
}

type bucketKey struct{ tenant, class string }

// bucket is a token bucket of whole tokens.
type bucket struct {
	tokens     int64
	lastRefill Time
}

// slowCheck is one attempt to check once it counts as slow.
type slowCheck struct {
	request *request
	attempt int
	due     Time
}

// health is the circuit breaker of one server.
type health struct {
	faultScore    float64
	ejected       bool // or half-open, from ejectedUntil on
	ejectedUntil  Time
	ejections     int // in a row
	goodProbes    int // in a row
	probeInFlight bool
}

// slowStartBucket is a token bucket in fractions, filled as fast as this node may send.
type slowStartBucket struct {
	tokens     float64
	lastRefill Time
}

// updateRatio moves an exponential moving average of hits by one more.
func updateRatio(ratio *float64, gain float64, hit bool) {
	*ratio -= gain * *ratio
	if hit {
		*ratio += gain
	}
}

// dropBefore drops the times before a moment; they are in ascending order.
func dropBefore(times []Time, moment Time) []Time {
	for len(times) > 0 && times[0] < moment {
		times = times[1:]
	}
	return times
}

// hashString returns the same hash at every node.
func hashString(text string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(text)) // it never fails
	return digest.Sum64()
}

func durationFromSeconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// currentCompletionRate returns the answers a second, decayed since the last one.
func (b *Balancer) currentCompletionRate() float64 {
	return b.completionRate * math.Exp(-(b.now-b.completionRateAt).Seconds()/completionRateWindow.Seconds())
}

// isFault tells whether an attempt ended by an error, or by a connection that broke or never came up.
func (c Code) isFault() bool { return c == ServerError || c == Reset || c == ConnectFailed }

// leavesZone tells whether r would cross zones to s, and is not to.
func (b *Balancer) leavesZone(r *request, s *server) bool {
	return r.zoneLocal && s.Zone != b.settings.Zone && b.runningByZone[b.settings.Zone] > 0
}

// View is what this node has learned of a server.
type View struct {
	Server    string
	InFlight  int     // attempts of this node
	Threshold float64 // learned concurrency limit, in attempts in flight
	Ejected   bool
}

// Views returns a View of each server in service, in the order of their ids.
func (b *Balancer) Views() []View {
	var views []View
	for _, s := range b.servers {
		if s.inService() {
			views = append(views, View{s.Server, s.inFlight, s.threshold, s.health.ejected})
		}
	}
	slices.SortFunc(views, func(v, other View) int { return strings.Compare(v.Server, other.Server) })
	return views
}

// UnavailableEndpoints is the number of listed servers that get no ordinary work now: they drain or are ejected.
func (b *Balancer) UnavailableEndpoints() int { return len(b.servers) - len(b.order) + b.ejectedCount }

// SetTrafficShare says which part of the node's work, from 0 to 1, comes to this process where two processes are
// one node, as in a hot restart: it admits by that part of each bucket.
func (b *Balancer) SetTrafficShare(now Time, share float64) {
	b.now = max(now, b.now)
	b.trafficShare = min(1, max(0, share))
}
