package policy

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// The state that the decisions in policy.go keep; no decisions here.

// Balancer is one node's decisions. It isn't safe for concurrent use. Make one with New.
type Balancer struct {
	settings             Settings
	now                  Time
	rng                  *rand.Rand
	actions              []Action
	classes              map[string]*class
	tenantLimits         map[string]Limit
	activeClasses        []*class // in the order of the settings
	retiredClasses       []*class // of former settings, with requests in hand
	nextTimerToken       uint64   // of the next class's timer
	defaultLimit         *Limit   // for tenants without a quota; nil: no limit
	buckets              map[bucketKey]*bucket
	rateScale            float64 // scale of all bucket rates
	trafficShare         float64 // of the node's buckets that this process has, where another serves beside it
	sharedThresholdScale float64 // scale of the thresholds of servers that other nodes mostly use
	overloadRatio        float64 // part of full answers among the bad ones lately
	badRatio             float64 // part of bad answers lately
	faultWeight          float64 // part of its weight that an error or a reset has, as others have them too
	timeoutRatio         float64 // part of time-outs among all but full answers lately
	rateLimited          bool    // a bucket refused since the last choice
	servers              map[string]*server
	pool                                // all servers in service
	zoneCount            int            // zones that have servers
	runningByZone        map[string]int // their number in each zone
	subsetSize           int            // servers of the order at the start of the own walk
	linearScan           bool           // of tests: walk over all servers, and make the order anew each time
	requests             map[string]*request
	queued               []*request  // waiting for a usable server, oldest first
	queueTimerSet        bool        // the hold timer is set
	retryBudget          RetryBudget // of attempts beyond the first of each request
	retryDebt            float64     // part of an attempt not yet booked
	accepted             []Time      // requests taken in the span of the budget of attempts, oldest first
	retries              []Time      // attempts beyond a request's first in it
	expiredRetries       []Time      // those that have left it lately
	completionRate       float64     // answers a second, as of doneAt
	completionRateAt     Time
	unansweredRatio      [6]float64 // part of sends unanswered, by how long the connection was idle, in octaves
}

// pool is a set of servers in packing order: all of them, or those that a class is bound to.
type pool struct {
	class        *class       // that is bound to it
	partitions   [2][]*server // in id order: those of the own zone, and all others
	offsets      [2]int       // where the walk through each part begins
	order        []*server    // own zone first, each part from its turn on
	spareOrder   []*server    // memory for the next order
	localCount   int          // servers of order in the own zone
	ejectedCount int          // servers of order that are ejected
	blocks       []block      // of order, where it is long
}

// class is a request class with what was learned of it.
type class struct {
	Class
	capabilities Capabilities  // as the settings were that it came with
	eligible     *pool         // the servers that it may be sent to
	timerToken   uint64        // of its timer; 0 for a class that is not in the settings
	tailLatency  time.Duration // estimate of a high quantile of its latency
	slowChecks   []slowCheck   // attempts to look at when they are slow, oldest first
	slowTimerSet bool          // the timer for the head of watched is set
}

// server is one listed server as this node sees it.
type server struct {
	Endpoint
	nameHash           uint64
	probeIdempotency   Idempotency // of the classes that it is open to: those give the trials
	inFlight           int         // this node's attempts out
	threshold          float64     // packing threshold, in attempts in flight
	inSubset           bool        // at the start of this node's own walk
	thresholdReduced   bool        // the threshold was cut at least once
	inNewSubset        bool        // of fit
	connectionLastUsed []Time      // when so many connections were last in use
	lastSend           Time
	lastAnswer         Time    // when it last answered anything
	lastLatency        float64 // of its last answer, in seconds
	faultRatio         float64 // part of errors and resets among its outcomes lately
	health             health
	slowStart          slowStartBucket
}

// inService tells whether s is listed and runs.
func (s *server) inService() bool { return s != nil && s.Availability == Running }

// request is one client request until its answer is given and its attempts are over.
type request struct {
	id            string
	class         *class
	deadline      Time
	valueDeadline Time   // later answers earn nothing
	queueDeadline Time   // when it is refused if still held
	keyHash       uint64 // hash of what the request is about; 0 for none
	attempts      []attempt
	pending       int
	mayHaveRun    *attempt // the first attempt that may have run
	answered      bool     // the final answer is given
	streaming     bool     // the answer has begun
	wasQueued     bool     // it waited for a server at least once
	bodyPending   bool     // its last byte has not come yet
	notReplayable bool     // its body passes through: there can be no second copy
	zoneLocal     bool     // it is not to cross zones while this node's own has a server
}

type attempt struct {
	server      *server
	sentAt      Time
	done        bool
	notExecuted bool // an outcome proved that it never ran
	probe       bool
	idleOctave  int // octave of the time that its connection was idle; 0 for one in use
}

type bucketKey struct{ tenant, class string }

// bucket holds whole tokens and the time they were last added.
type bucket struct {
	tokens     int64
	lastRefill Time
}

// slowCheck is one attempt to look at when it has been out for long.
type slowCheck struct {
	request *request
	attempt int
	due     Time
}

// health is the state of one server's circuit breaker.
type health struct {
	faultScore    float64
	ejected       bool // ejected, or half-open once until has passed
	ejectedUntil  Time
	ejections     int // ejections in a row
	goodProbes    int // good trials in a row
	probeInFlight bool
}

// slowStartBucket is a token bucket in fractions, which fills as fast as this node may send.
type slowStartBucket struct {
	tokens     float64
	lastRefill Time
}

// updateRatio moves the part of hits lately by one more.
func updateRatio(part *float64, gain float64, hit bool) {
	*part -= gain * *part
	if hit {
		*part += gain
	}
}

// dropBefore drops the times before from, which come first.
func dropBefore(times []Time, from Time) []Time {
	for len(times) > 0 && times[0] < from {
		times = times[1:]
	}
	return times
}

// hashString is the same at every node.
func hashString(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// durationFromSeconds turns a number of durationFromSeconds into a Duration.
func durationFromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// currentCompletionRate is how many answers a second came lately.
func (b *Balancer) currentCompletionRate() float64 {
	return b.completionRate * math.Exp(-(b.now-b.completionRateAt).Seconds()/completionRateWindow.Seconds())
}

// isFault tells whether an attempt ended by an error, or by a connection that broke or never came up.
func (c Code) isFault() bool { return c == ServerError || c == Reset || c == ConnectFailed }

// hasAttemptedOn tells whether an attempt of r went to s.
func (r *request) hasAttemptedOn(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// leavesZone tells whether r would cross zones to s, and is not to.
func (b *Balancer) leavesZone(r *request, s *server) bool {
	return r.zoneLocal && s.Zone != b.settings.Zone && b.runningByZone[b.settings.Zone] > 0
}

// View is what this node has learned of a server.
type View struct {
	Server    string
	InFlight  int // attempts of this node that are out
	Threshold float64
	Ejected   bool
}

// Views shows all servers in service, in the order of their ids.
func (b *Balancer) Views() []View {
	var all []View
	for _, s := range b.servers {
		if s.inService() {
			all = append(all, View{s.Server, s.inFlight, s.threshold, s.health.ejected})
		}
	}
	slices.SortFunc(all, func(a, c View) int { return strings.Compare(a.Server, c.Server) })
	return all
}

// UnavailableEndpoints is the number of listed servers that get no ordinary work now: they drain, or are ejected.
func (b *Balancer) UnavailableEndpoints() int { return len(b.servers) - len(b.order) + b.ejectedCount }

// SetTrafficShare says which part of the node's work comes to this process, where two are one node: its part of the buckets.
func (b *Balancer) SetTrafficShare(now Time, part float64) {
	b.now = max(now, b.now)
	b.trafficShare = min(1, max(0, part))
}
