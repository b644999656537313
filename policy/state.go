package policy

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// This file defines the state of a Balancer. It makes no decisions.

// Balancer makes the decisions of one node. It is not safe for concurrent use. New creates a Balancer.
type Balancer struct {
	settings Settings
	now      Time
	rng      *rand.Rand
	actions  []Action // actions that result from the current event

	classes        map[string]*class
	activeClasses  []*class // in the order of the settings
	retiredClasses []*class // classes removed by Reconfigure that may still have requests
	nextTimerToken uint64   // timer token for the next class

	tenantLimits map[string]Limit
	defaultLimit *Limit // limit for tenants without a quota; nil: no limit
	buckets      map[bucketKey]*bucket
	rateScale    float64 // factor applied to the refill rates of all buckets
	trafficShare float64 // this process's share of each bucket, 0 to 1; below 1 during a hot restart
	rateLimited  bool    // a bucket rejected a request since the last selection of a server

	sharedThresholdScale float64 // factor applied to the thresholds of shared servers (see isShared)
	faultWeight          float64 // weight of a fault; below 1 while most servers have faults
	overloadRatio        float64 // moving average of the fraction of bad outcomes that are overload answers
	badRatio             float64 // moving average of the fraction of outcomes that are bad
	timeoutRatio         float64 // moving average of the fraction of time-outs; overload answers are not counted

	servers           map[string]*server // all listed servers, including those not in service
	pool                                 // servers in service
	runningByZone     map[string]int     // number of servers in service in each zone
	zoneCount         int                // number of zones with servers in service
	shortestObjective time.Duration      // shortest latency objective of the active classes
	subsetSize        int                // size of this node's subset, at the start of the order
	linearScan        bool               // set by tests: scan all servers and rebuild the order at each change

	requests      map[string]*request
	queued        []*request // requests that wait for a usable server, oldest first
	queueTimerSet bool

	retryBudget    RetryBudget
	retryDebt      float64 // retries not charged yet, as a fraction of one retry
	accepted       []Time  // times of the requests received within the window of the budget, oldest first
	retries        []Time  // times of the retries and hedged requests charged within the window, oldest first
	expiredRetries []Time  // retries before the window, kept for new settings with a longer window

	completionRate   float64 // successful answers per second, as of completionRateAt
	completionRateAt Time
	unansweredRatio  [6]float64 // by idle octave (see prepareConnection): moving average of unanswered sends
}

// pool is an ordered set of servers in service: all servers in service, or those that a class is restricted to.
type pool struct {
	class        *class       // class whose requests are restricted to this pool; nil: pool of all servers
	partitions   [2][]*server // servers in this node's zone, and all other servers; each sorted by ID
	offsets      [2]int       // index in each partition at which the order starts
	order        []*server    // both partitions in turn, each rotated to start at its offset
	spareOrder   []*server    // buffer reused for the next order
	localCount   int          // number of servers in this node's zone
	ejectedCount int          // number of ejected servers
	blocks       []block      // index of order; used only if order is long
}

// class is a request class and its learned state.
type class struct {
	Class
	capabilities Capabilities  // capabilities in the settings that defined this class
	eligible     *pool         // servers that requests of the class may be sent to
	timerToken   uint64        // token of the timer for slow checks; 0: no slow checks (unknown class)
	tailLatency  time.Duration // estimated tailQuantile of the latency of the class
	slowChecks   []slowCheck   // pending checks for slow attempts, earliest first
	slowTimerSet bool          // whether the timer for the first of slowChecks is set
}

// server is a listed server, with its load from this node and its learned state.
type server struct {
	Endpoint
	group              *dedupGroup // of Endpoint; never nil
	nameHash           uint64      // hash of the server's name, for sticky servers
	probeIdempotency   Idempotency // highest Idempotency of its classes; only classes with this value probe it
	inFlight           int         // this node's attempts in flight
	threshold          float64     // learned concurrency limit, in attempts in flight
	thresholdReduced   bool        // the threshold was reduced at least once
	inSubset           bool        // the server is in this node's subset
	inNewSubset        bool        // temporary mark used by replaceSubset
	connectionLastUsed []Time      // element i: last time at which more than i connections were in use
	runningSince       Time        // when the list last began to name the process as running
	lastSend           Time
	lastAnswer         Time    // time of the last answer, of any kind
	lastLatency        float64 // latency of the last answer or time-out, in seconds
	faultRatio         float64 // moving average of the fraction of outcomes that are faults
	health             health
	slowStart          slowStartBucket
}

// inService reports whether s is listed as running. It is false for a nil server.
func (s *server) inService() bool { return s != nil && s.Availability == Running }

// request is a client request that is unanswered or still has attempts in flight.
type request struct {
	id                 string
	class              *class
	deadline           Time   // time at which the client gives up
	valueDeadline      Time   // time after which an answer has no value
	queueDeadline      Time   // time at which a queued request is rejected
	keyHash            uint64 // hash of the key; 0: no key
	attempts           []attempt
	pending            int      // number of attempts in flight
	firstMaybeExecuted *attempt // first attempt that a server may have executed; nil: none
	answered           bool     // the request has its final answer
	streaming          bool     // a streamed answer has begun
	wasQueued          bool     // the request has waited in the queue
	bodyPending        bool     // the last byte of the body has not arrived yet
	notReplayable      bool     // the body is streamed, so the request can't be hedged
	zoneLocal          bool     // the request must stay in this node's zone while that zone has a running server
	reconnectAt        Time     // end of the backoff after a failed connect; 0: none
	reconnecting       bool     // set during a selection in which servers that failed to connect are allowed
}

// attempt is one attempt of a request at a server.
type attempt struct {
	server        *server
	group         *dedupGroup // of the server when the attempt was sent
	sentAt        Time
	done          bool
	notExecuted   bool // the outcome proves that the server never executed the request
	connectFailed bool // no connection was established, so nothing was sent
	probe         bool // the attempt probes an ejected server
	idleOctave    int  // idle octave of the connection that was used (see prepareConnection)
}

type bucketKey struct{ tenant, class string }

// bucket is a token bucket that only counts whole tokens.
type bucket struct {
	tokens     int64
	lastRefill Time
}

// slowCheck is a scheduled check of an attempt. It is due when the attempt counts as slow.
type slowCheck struct {
	request *request
	attempt int
	due     Time
}

// health is the circuit breaker state of a server.
type health struct {
	faultScore    float64
	ejected       bool // ejected, or half-open once ejectedUntil has passed
	ejectedUntil  Time
	ejections     int // number of consecutive ejections
	goodProbes    int // number of consecutive successful probes
	probeInFlight bool
}

// slowStartBucket is a token bucket with fractional tokens. It limits the rate at which this node sends to a server
// in slow start.
type slowStartBucket struct {
	tokens     float64
	lastRefill Time
}

// updateRatio adds one observation, hit or not, to an exponential moving average of the fraction of hits.
func updateRatio(ratio *float64, gain float64, hit bool) {
	*ratio -= gain * *ratio
	if hit {
		*ratio += gain
	}
}

// dropBefore returns times without its elements before moment. times must be in ascending order.
func dropBefore(times []Time, moment Time) []Time {
	for len(times) > 0 && times[0] < moment {
		times = times[1:]
	}
	return times
}

// hashString returns the 64-bit FNV-1a hash of text. The hash is the same at every node.
func hashString(text string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(text)) // a hash never returns a write error
	return digest.Sum64()
}

func durationFromSeconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// currentCompletionRate returns the rate of successful answers per second, decayed since the last answer.
func (b *Balancer) currentCompletionRate() float64 {
	return b.completionRate * math.Exp(-(b.now-b.completionRateAt).Seconds()/completionRateWindow.Seconds())
}

// isFault reports whether c is an error answer, a broken connection or a failed connect.
func (c Code) isFault() bool { return c == ServerError || c == Reset || c == ConnectFailed }

// violatesZoneLocal reports whether r is ZoneLocal, s is in another zone, and this node's zone has a running server.
func (b *Balancer) violatesZoneLocal(r *request, s *server) bool {
	return r.zoneLocal && s.Zone != b.settings.Zone && b.runningByZone[b.settings.Zone] > 0
}

// View is a snapshot of this node's learned state of a server.
type View struct {
	Server    string
	InFlight  int     // attempts of this node in flight
	Threshold float64 // learned concurrency limit, in attempts in flight
	Ejected   bool
}

// Views returns a View of each server in service, sorted by server ID.
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

// UnavailableEndpoints returns the number of listed servers that get no regular requests because they are draining or
// ejected.
func (b *Balancer) UnavailableEndpoints() int { return len(b.servers) - len(b.order) + b.ejectedCount }

// SetTrafficShare sets the fraction (0 to 1) of the node's traffic that this process gets while two processes serve
// as one node, as in a hot restart. The process then admits requests at that fraction of the rate and burst of each
// bucket.
func (b *Balancer) SetTrafficShare(now Time, share float64) {
	b.now = max(now, b.now)
	b.trafficShare = min(1, max(0, share))
}
