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
	set      Settings
	now      Time
	rng      *rand.Rand
	out      []Action
	classes  map[string]*class
	tenants  map[string]Limit
	ranked   []*class // in the order of the settings
	retired  []*class // of former settings, with requests in hand
	token    uint64   // of the next class's timer
	other    *Limit   // for tenants without a quota; nil: no limit
	buckets  map[bucketKey]*bucket
	pace     float64 // scale of all bucket rates
	portion  float64 // of the node's buckets that this process has, where another serves beside it
	trust    float64 // scale of the thresholds of servers that other nodes mostly use
	fullPart float64 // part of full answers among the bad ones lately
	bad      float64 // part of bad answers lately
	blame    float64 // part of its weight that an error or a reset has, as others have them too
	lost     float64 // part of time-outs among all but full answers lately
	refused  bool    // a bucket refused since the last choice
	servers  map[string]*server
	pool                    // all servers in service
	zones    int            // zones that have servers
	running  map[string]int // their number in each zone
	ownUntil int            // servers of the order at the start of the own walk
	plain    bool           // of tests: walk over all servers, and make the order anew each time
	reqs     map[string]*request
	held     []*request  // waiting for a usable server, oldest first
	holding  bool        // the hold timer is set
	budget   RetryBudget // of attempts beyond the first of each request
	owed     float64     // part of an attempt not yet booked
	took     []Time      // requests taken in the span of the budget of attempts, oldest first
	extra    []Time      // attempts beyond a request's first in it
	older    []Time      // those that have left it lately
	done     float64     // answers a second, as of doneAt
	doneAt   Time
	silent   [6]float64 // part of sends unanswered, by how long the connection was idle, in octaves
}

// pool is a set of servers in packing order: all of them, or those that a class is bound to.
type pool struct {
	class   *class       // that is bound to it
	parts   [2][]*server // in id order: those of the own zone, and all others
	turns   [2]int       // where the walk through each part begins
	order   []*server    // own zone first, each part from its turn on
	spare   []*server    // memory for the next order
	zoned   int          // servers of order in the own zone
	ejected int          // servers of order that are ejected
	blocks  []block      // of order, where it is long
}

// class is a request class with what was learned of it.
type class struct {
	Class
	allowed Capabilities  // as the settings were that it came with
	open    *pool         // the servers that it may be sent to
	token   uint64        // of its timer; 0 for a class that is not in the settings
	tail    time.Duration // estimate of a high quantile of its latency
	watched []watch       // attempts to look at when they are slow, oldest first
	armed   bool          // the timer for the head of watched is set
}

// server is one listed server as this node sees it.
type server struct {
	Endpoint
	hash      uint64
	safest    Idempotency // of the classes that it is open to: those give the trials
	inflight  int         // this node's attempts out
	threshold float64     // packing threshold, in attempts in flight
	own       bool        // at the start of this node's own walk
	felt      bool        // the threshold was cut at least once
	mark      bool        // of fit
	used      []Time      // when so many connections were last in use
	lastSend  Time
	lastDone  Time    // when it last answered anything
	latency   float64 // of its last answer, in seconds
	faults    float64 // part of errors and resets among its outcomes lately
	health    health
	cold      coldBudget
}

// inService tells whether s is listed and runs.
func (s *server) inService() bool { return s != nil && s.Availability == Running }

// request is one client request until its answer is given and its attempts are over.
type request struct {
	id       string
	class    *class
	deadline Time
	worthTo  Time   // later answers earn nothing
	giveUp   Time   // when it is refused if still held
	key      uint64 // hash of what the request is about; 0 for none
	attempts []attempt
	pending  int
	ranOn    *attempt // the first attempt that may have run
	ended    bool     // the final answer is given
	stream   bool     // the answer has begun
	held     bool     // it waited for a server at least once
	arriving bool     // its last byte has not come yet
	once     bool     // its body passes through: there can be no second copy
	near     bool     // it is not to cross zones while this node's own has a server
}

type attempt struct {
	server *server
	sent   Time
	over   bool
	notRun bool // an outcome proved that it never ran
	trial  bool
	idle   int // octave of the time that its connection was idle; 0 for one in use
}

type bucketKey struct{ tenant, class string }

// bucket holds whole tokens and the time they were last added.
type bucket struct {
	tokens int64
	last   Time
}

// watch is one attempt to look at when it has been out for long.
type watch struct {
	req     *request
	attempt int
	due     Time
}

// health is the state of one server's circuit breaker.
type health struct {
	score    float64
	out      bool // ejected, or half-open once until has passed
	until    Time
	times    int // ejections in a row
	trials   int // good trials in a row
	trialOut bool
}

// coldBudget is a token bucket in fractions, which fills as fast as this node may send.
type coldBudget struct {
	tokens float64
	last   Time
}

// track moves the part of hits lately by one more.
func track(part *float64, gain float64, hit bool) {
	*part -= gain * *part
	if hit {
		*part += gain
	}
}

// since drops the times before from, which come first.
func since(times []Time, from Time) []Time {
	for len(times) > 0 && times[0] < from {
		times = times[1:]
	}
	return times
}

// hash is the same at every node.
func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// seconds turns a number of seconds into a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// doneRate is how many answers a second came lately.
func (b *Balancer) doneRate() float64 {
	return b.done * math.Exp(-(b.now-b.doneAt).Seconds()/doneSpan.Seconds())
}

// fault tells whether an attempt ended by an error, or by a connection that broke or never came up.
func (c Code) fault() bool { return c == ServerError || c == Reset || c == ConnectFailed }

// tried tells whether an attempt of r went to s.
func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// far tells whether r would cross zones to s, and is not to.
func (b *Balancer) far(r *request, s *server) bool {
	return r.near && s.Zone != b.set.Zone && b.running[b.set.Zone] > 0
}

// View is what this node has learned of a server.
type View struct {
	Server    string
	Inflight  int // attempts of this node that are out
	Threshold float64
	Ejected   bool
}

// Views shows all servers in service, in the order of their ids.
func (b *Balancer) Views() []View {
	var all []View
	for _, s := range b.servers {
		if s.inService() {
			all = append(all, View{s.Server, s.inflight, s.threshold, s.health.out})
		}
	}
	slices.SortFunc(all, func(a, c View) int { return strings.Compare(a.Server, c.Server) })
	return all
}

// UnavailableEndpoints is the number of listed servers that get no ordinary work now: they drain, or are ejected.
func (b *Balancer) UnavailableEndpoints() int { return len(b.servers) - len(b.order) + b.ejected }

// SetTrafficShare says which part of the node's work comes to this process, where two are one node: its part of the buckets.
func (b *Balancer) SetTrafficShare(now Time, part float64) {
	b.now = max(now, b.now)
	b.portion = min(1, max(0, part))
}
