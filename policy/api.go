// Package policy decides, for one node of a reverse proxy, which requests to admit, which server gets each
// attempt, and when to retry, hedge, reject or fail. It is an event-driven state machine: a host hands each
// event in by Handle, with the time, and carries out the actions that it returns, in order. The package does
// no I/O, reads no clock and starts no goroutine; its random choices come from the seed, so that the same
// events always lead to the same actions.
//
// A request passes these files, each with the decisions of one concern:
//
//   - admission.go: rate limits by tenant and class, and their scale by the capacity of the servers;
//   - selection.go and threshold.go: which server is sent an attempt, under a learned concurrency limit for
//     each; placement.go: where it may run at all; index.go: the same choice among many servers;
//   - attempts.go and retry_budget.go: sending, queueing, retries, hedged requests and their outcomes;
//   - connections.go: idle connections that were dropped unseen;
//   - outlier.go: ejection of servers that fail, and the probes that take them back;
//   - slow_start.go: the load of servers that warm up;
//   - endpoints.go: the endpoint list, the order of the servers and this node's subset of them.
//
// policy.go takes events and settings in, state.go and learned_state.go hold the state, and this file is the
// interface: settings, events and actions.
package policy

import "time"

// Time is a moment on the host's monotonic clock, as the duration since any fixed origin.
type Time = time.Duration

// Idempotency says whether a request may be sent again once an attempt of it may have run.
type Idempotency uint8

// The zero value is the strictest: a class without a setting is never executed twice.
const (
	NonIdempotent    Idempotency = iota // must never run twice
	IdempotencyKeyed                    // servers in DedupScope drop duplicates for DedupWindow
	Idempotent                          // may run any number of times
)

// DedupScope names the servers that drop duplicates of an IdempotencyKeyed request.
type DedupScope uint8

// The zero value is the narrowest scope.
const (
	DedupCell DedupScope = iota // servers of the same Cell as the first that may have run it
	DedupZone                   // servers of the same Zone
	DedupAll                    // all servers
)

// Class describes one kind of request. All figures are zero or more.
type Class struct {
	// Name is unique among the classes.
	Name string
	// LatencyObjective is the latency within which an answer has its full value; 0 means Deadline.
	LatencyObjective time.Duration
	// ObjectiveWorkFactor adds this multiple of Request.CostHint to the objective; 0 adds nothing.
	ObjectiveWorkFactor float64
	// Deadline is how long a client waits in all, over all its tries; more than zero.
	Deadline time.Duration
	// Idempotency says whether it may be sent again once it may have run.
	Idempotency Idempotency
	// DedupScope names the servers that drop duplicates; for IdempotencyKeyed.
	DedupScope DedupScope
	// DedupWindow is for how long they do, from the first attempt that may have run; for IdempotencyKeyed.
	DedupWindow time.Duration
	// LateWeightFraction, from 0 to 1, is the part of the value left between objective and deadline. At 0
	// no attempt is made after the objective.
	LateWeightFraction float64
	// PriorityWeight is the value of one answer in relation to those of other classes. No decision reads it.
	PriorityWeight float64
	// Stream says that the answer is a stream, announced by FirstByte.
	Stream bool
	// Kinds are the only kinds of server it may be sent to; empty for any.
	Kinds []string
	// Zones are the only zones it may be sent to; empty for any.
	Zones []string
	// Pool is the only pool of servers it may be sent to; empty for any.
	Pool string
}

// Tenant is one customer and the quota agreed with it.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all nodes; 0 or more
	Share float64 // part of the service, 0 to 1; no decision reads it
}

// Limit is one layer of rate limits: a token bucket that holds Burst and gains PerWindow each Window.
type Limit struct {
	PerWindow float64       // requests; 0 or less admits the burst only
	Window    time.Duration // 0 or less means no refill
	Burst     int64         // requests
}

// RateLimits holds the layers that apply to every tenant. All are optional.
type RateLimits struct {
	Default  *Limit           // for tenants without a quota; nil: the smallest quota, or no limit
	PerClass map[string]Limit // by class, in place of the tenant's; it has a bucket of its own for each tenant
	Max      float64          // platform maximum for PerWindow and Burst; 0 for none
}

// Capabilities says what the site lets a node do.
type Capabilities struct {
	Cancel     bool // attempts in flight may be cancelled
	Hedge      bool // a second attempt may be sent while the first is in flight
	Probe      bool // servers may be probed by the host; no decision reads it
	Peers      bool // nodes may send messages to one another; no decision reads it
	RetryAfter bool // clients follow the wait of a Reject

	MaxAttempts     int           // for one request, the first included; 0 counts as 1
	MaxRetryAfter   time.Duration // longest wait a client follows
	ConnIdleTimeout time.Duration // idle connections are closed after this; 0 if not known
}

// RetryBudget limits a node's attempts beyond each request's first: in any Window they number at most
// MinRetries plus RetryRatio of the requests that the node received in it.
type RetryBudget struct {
	MinRetries float64       // attempts; 0 or more
	RetryRatio float64       // attempts for each request; 0 or more
	Window     time.Duration // more than zero
}

// Rules holds the figures of the rules that the site sets for a node. All are zero or more.
type Rules struct {
	AnswerGrace      time.Duration // a final answer is still in time this long after the deadline
	DrainGrace       time.Duration // sends to a draining server must end within this time
	SlowStartShare   float64       // a server starts at this part of its capacity or more; 0 to 1
	SlowStartWindow  time.Duration // and is warm within this time
	OverloadFactor   float64       // sent more than this multiple of its present capacity
	OverloadDuration time.Duration // for this long, a server that warms up falls over
	MaxPollInterval  time.Duration // an unsubscribed node must ask for the list this often
	RetryBudget      *RetryBudget  // nil where the site states none: a default is in force
}

// Settings is the configuration of a node.
type Settings struct {
	Node         int // this node's number, from 0
	Nodes        int // how many nodes there are; 1 or more
	Zone         string
	Classes      []Class // 1 or more
	Tenants      []Tenant
	RateLimits   RateLimits
	Capabilities Capabilities
	Rules        Rules
	Subscribe    bool // the endpoint list must be asked for
	KeyAffinity  bool // a server that lately served a key serves it with less work
	WeightByWork bool // weight is counted for each unit of work, not for each request; no decision reads it
	// LoadReportFields names the values in load reports, in order. No decision reads them.
	LoadReportFields []string
}

// Availability is what the endpoint list says of a server's process.
type Availability uint8

// States of a listed server.
const (
	Running  Availability = iota
	Draining              // it takes no new attempts
	Removed               // absent from the list
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server      string // unique name
	Zone        string
	Kind        string
	Pools       []string // that it belongs to
	Cell        int64    // the group of servers that it drops duplicates with
	Weight      float64  // relative capacity; no decision reads it
	OnlineSince Time     // when its process started; 0: long ago
	// SlowStartAt is when slow start begins, by a clock that is never stepped; 0: at OnlineSince.
	SlowStartAt  Time
	Availability Availability
}

// Event is one of Request, FirstByte, Outcome, ClientGone, Timer, EndpointList, ProbeResult and PeerMessage.
type Event any

// ListKind says how an EndpointList is to be read.
type ListKind uint8

// Kinds of list events.
const (
	ListReplace     ListKind = iota // the complete list
	ListUpdate                      // only what changed
	ListRestored                    // the complete list as last seen, perhaps stale
	ListUnavailable                 // a poll failed or a watch ended; no entries
)

// EndpointList is an update of the endpoint list. Endpoints may be shared between nodes: it is only read.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
	More      bool // the rest of the same change follows: queued requests wait for it
}

// Request is a client's request, which gets exactly one final answer. One with BodyPending may be sent, but can't
// have run: its body passes through as it comes, and one attempt at a time can have it. It is handed in once more,
// without BodyPending, when its last byte has come, and its times count from then.
type Request struct {
	ID     string // unique among the requests in flight
	Class  string // of the settings; another is never executed twice
	Tenant string
	Key    string // what the request is about, for KeyAffinity; empty for nothing

	ExpiresIn    time.Duration // until the client gives up
	CostHint     time.Duration // estimate of its work in core time; 0 if unknown
	Retry        bool          // the client has sent it before; no decision reads it
	Write        bool          // it changes something; no decision reads it
	BodyPending  bool          // the last byte of its body has not come yet
	ZoneLocal    bool          // it is not to leave this node's zone while that has a server
	MaxQueueTime time.Duration // it is rejected after so long without a server, if not sooner; 0: no bound of its own
}

// queueTime bounds the time that a request is queued by its own maximum.
func (e Request) queueTime(limit time.Duration) time.Duration {
	if e.MaxQueueTime > 0 {
		return min(limit, e.MaxQueueTime)
	}
	return limit
}

// FirstByte says that a streamed answer has begun: no other attempt can answer the client any more.
type FirstByte struct {
	ID      string
	Server  string
	Attempt int // number of the attempt, from 0
	Latency time.Duration
}

// Code says how an attempt ended.
type Code uint8

// The outcome codes. NotExecuted tells which of them prove that the request never ran.
const (
	OK            Code = iota
	ServerError        // an answer that says that the server failed
	Overloaded         // the server rejected it for lack of capacity
	TimedOut           // no answer in time
	ConnectFailed      // no connection, so nothing was sent
	Reset              // the connection broke
	Cancelled          // by the node's own Cancel
	Superseded         // given up by the node itself before it was sent: it says nothing of the server
	Untrusted          // the server could not prove who it is, so nothing was sent
)

// NotExecuted reports whether the code proves that the request never ran.
func (c Code) NotExecuted() bool {
	return c == Overloaded || c == ConnectFailed || c == Superseded || c == Untrusted
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID           string
	Server       string
	Attempt      int // number of the attempt, from 0
	Code         Code
	Latency      time.Duration // since the attempt was sent
	Answered     bool          // the request has its final answer
	BodyConsumed bool          // the request's body is gone: no further attempt could send it
	LoadReport   []float64     // in the order of Settings.LoadReportFields; nil for none
}

// ClientGone says that the client has left and needs no answer any more.
type ClientGone struct{ ID string }

// Timer says that the timer of a SetTimer is due.
type Timer struct{ Token uint64 }

// ProbeResult is the end of one Probe. No decision reads it.
type ProbeResult struct {
	Server     string
	Code       Code
	Latency    time.Duration
	LoadReport []float64
}

// PeerMessage is a message from another node; it may be lost, old or broken. No decision reads it.
type PeerMessage struct {
	From int
	Body string
}

// ActionKind names what an Action asks for.
type ActionKind uint8

// The kinds of action; the comments name the fields of Action that count.
const (
	Send           ActionKind = iota // ID, Server, Until: send an attempt
	Reject                           // ID, Wait: nothing ran, or it may run twice: the client may safely retry
	Fail                             // ID: it may have run
	Cancel                           // ID, Attempt
	SetTimer                         // Wait, Token: hand a Timer in
	Probe                            // Server
	SendToPeer                       // Peer (-1 for all), Text
	CloseIdle                        // Server: close its idle connections
	Log                              // Text
	WatchEndpoints                   // On: subscribe to the endpoint list
	FetchEndpoints                   // no fields: poll the endpoint list once
)

// Action is one thing that the host has to do now.
type Action struct {
	Kind    ActionKind
	ID      string // of the request
	Server  string
	Until   Time          // when the attempt times out; 0: with the client's deadline
	Wait    time.Duration // until the timer is due, or the Retry-After of a rejected client; 0 for none
	Token   uint64        // of the timer
	Attempt int           // number of the attempt, from 0
	Peer    int
	Text    string
	On      bool
}
