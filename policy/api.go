// Package policy decides, for one node of a reverse proxy, which requests to admit, which server gets each
// attempt, and when to retry, hedge, reject or fail. It is an event-driven state machine: a host hands each
// event and the current time to Handle, and carries out the returned actions in order. The package does no I/O,
// reads no clock and starts no goroutine; its random choices come from the seed, so that the same events always
// lead to the same actions.
//
// Each of these files implements one part of request handling:
//
//   - admission.go: rate limits by tenant and class, scaled by the available capacity of the servers;
//   - placement.go: the servers that a request is allowed to run on;
//   - selection.go and threshold.go: choosing the server of an attempt, under a learned concurrency limit for
//     each server; index.go: making the same choice faster among many servers;
//   - attempts.go, retry_budget.go and reconnect.go: sending, queueing, retries, hedged requests and outcomes;
//   - connections.go: closing idle connections that were probably dropped by the network;
//   - outlier.go: ejection of failing servers, and the probes that reinstate them;
//   - slow_start.go: limits on the load of servers that have just started;
//   - endpoints.go: the endpoint list, the order of the servers, and this node's subset of them.
//
// policy.go dispatches events and applies settings, state.go and learned_state.go define the state, and this file
// defines the interface: settings, events and actions.
package policy

import "time"

// Time is a point on the host's monotonic clock, as the duration since an arbitrary fixed origin.
type Time = time.Duration

// Idempotency says whether a request may be sent again after an attempt that may have been executed.
type Idempotency uint8

// The zero value is the strictest: requests of a class without this setting are never executed twice.
const (
	NonIdempotent    Idempotency = iota // must never be executed twice
	IdempotencyKeyed                    // servers within DedupScope discard duplicates for DedupWindow
	Idempotent                          // may be executed any number of times
)

// DedupScope says which servers discard duplicates of an IdempotencyKeyed request.
type DedupScope uint8

// The zero value is the narrowest scope.
const (
	DedupCell DedupScope = iota // servers with the same Cell as the first server that may have executed it
	DedupZone                   // servers in the same Zone as that server
	DedupAll                    // all servers
)

// Class describes one kind of request. All numbers must be zero or more.
type Class struct {
	// Name is unique among the classes.
	Name string
	// LatencyObjective is the latency up to which an answer has its full value; 0 means Deadline.
	LatencyObjective time.Duration
	// ObjectiveWorkFactor adds this multiple of Request.CostHint to the objective; 0 adds nothing.
	ObjectiveWorkFactor float64
	// Deadline is the total time that a client waits, over all its retries; must be more than zero.
	Deadline time.Duration
	// Idempotency says whether a request may be sent again after it may have been executed.
	Idempotency Idempotency
	// DedupScope says which servers discard duplicates; only used with IdempotencyKeyed.
	DedupScope DedupScope
	// DedupWindow is how long those servers discard duplicates, counted from the first attempt that may have been
	// executed; only used with IdempotencyKeyed.
	DedupWindow time.Duration
	// LateWeightFraction, from 0 to 1, is the fraction of its value that an answer keeps between objective and
	// deadline. At 0, no attempt is made after the objective.
	LateWeightFraction float64
	// PriorityWeight is the value of one answer relative to answers of other classes. No decision reads it.
	PriorityWeight float64
	// Stream says that answers are streamed; FirstByte reports the start of each.
	Stream bool
	// Kinds are the only kinds of server that requests may be sent to; empty for any.
	Kinds []string
	// Zones are the only zones that requests may be sent to; empty for any.
	Zones []string
	// Pool is the only pool of servers that requests may be sent to; empty for any.
	Pool string
}

// Tenant is a customer with its own request quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all nodes; 0 or more
	Share float64 // fraction of the total traffic, 0 to 1; no decision reads it
}

// Limit is a token bucket limit: the bucket holds up to Burst tokens and gains PerWindow tokens each Window.
type Limit struct {
	PerWindow float64       // requests; 0 or less admits only the initial burst
	Window    time.Duration // refill period; 0 or less disables refill
	Burst     int64         // bucket capacity, in requests
}

// RateLimits holds the rate limits that apply besides the tenants' quotas. All are optional.
type RateLimits struct {
	Default  *Limit           // for tenants without a quota; nil: the smallest quota, or no limit without tenants
	PerClass map[string]Limit // by class, replacing the tenant's limit; each tenant has its own bucket for it
	Max      float64          // upper bound of PerWindow and Burst in every limit; 0 for none
}

// Capabilities says what a node is allowed to do at this site.
type Capabilities struct {
	Cancel     bool // the node may cancel attempts in flight
	Hedge      bool // a second attempt may be sent while the first is in flight
	Probe      bool // the host may probe servers; no decision reads it
	Peers      bool // nodes may send messages to one another; no decision reads it
	RetryAfter bool // clients honor the wait time of a Reject

	MaxAttempts     int           // attempts per request, including the first; 0 means 1
	MaxRetryAfter   time.Duration // longest wait time that clients honor
	ConnIdleTimeout time.Duration // how long a connection may be idle before it is closed; 0 if unknown
}

// RetryBudget limits a node's retries and hedged requests: within any Window it sends at most MinRetries plus
// RetryRatio times the number of requests that it received in that Window.
type RetryBudget struct {
	MinRetries float64       // retries allowed at any request rate; 0 or more
	RetryRatio float64       // further retries allowed per received request; 0 or more
	Window     time.Duration // length of the sliding window; must be more than zero
}

// Rules holds the operating rules that the site sets for a node. All numbers must be zero or more.
type Rules struct {
	AnswerGrace      time.Duration // how long after the deadline a final answer still counts as in time
	DrainGrace       time.Duration // how long attempts may still be sent to a server after it began to drain
	SlowStartShare   float64       // minimum fraction of its capacity that a server has at its start; 0 to 1
	SlowStartWindow  time.Duration // time after its start by which a server has its full capacity
	OverloadFactor   float64       // multiple of its current capacity at which a server in slow start fails
	OverloadDuration time.Duration // how long the load must exceed OverloadFactor for the server to fail
	MaxPollInterval  time.Duration // longest time between polls of the endpoint list without a subscription
	RetryBudget      *RetryBudget  // nil if the site sets none, so that a default applies
}

// Settings is the configuration of a Balancer.
type Settings struct {
	Node         int // index of this node, from 0 to Nodes-1
	Nodes        int // total number of nodes; 1 or more
	Zone         string
	Classes      []Class // at least one
	Tenants      []Tenant
	RateLimits   RateLimits
	Capabilities Capabilities
	Rules        Rules
	Subscribe    bool // the node must subscribe to the endpoint list to get updates
	KeyAffinity  bool // prefer a key's sticky servers, since serving a key again costs a server less
	WeightByWork bool // an answer's value is counted per unit of work, not per request; no decision reads it
	// LoadReportFields names the values in load reports, in their order. No decision reads them.
	LoadReportFields []string
}

// Availability is the state of a server's process according to the endpoint list.
type Availability uint8

// States of a server in the endpoint list.
const (
	Running  Availability = iota
	Draining              // accepts no new attempts
	Removed               // no longer in the list
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server      string // unique name
	Zone        string
	Kind        string
	Pools       []string // pools that the server belongs to
	Cell        int64    // group of servers that share a deduplication table, for DedupCell
	Weight      float64  // relative capacity; no decision reads it
	OnlineSince Time     // when its process started; 0 for long ago
	// SlowStartAt is when slow start begins, by a clock that is never stepped; 0 means at OnlineSince.
	SlowStartAt  Time
	Availability Availability
}

// Event is one of Request, FirstByte, Outcome, ClientGone, Timer, EndpointList, ProbeResult and PeerMessage.
type Event any

// ListKind says how to interpret an EndpointList.
type ListKind uint8

// Kinds of endpoint list updates.
const (
	ListReplace     ListKind = iota // the complete list
	ListUpdate                      // only the changed entries
	ListRestored                    // the last known complete list, possibly stale
	ListUnavailable                 // a poll failed or a watch ended; no entries
)

// EndpointList is an update of the endpoint list. Endpoints is never modified, so that nodes may share it.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
	More      bool // further parts of the same change follow; queued requests wait for the last part
}

// Request is a client's request, which gets exactly one final answer. A request with BodyPending may be sent before
// its whole body has arrived: the body is streamed through to one attempt at a time, and no server can have executed
// the request yet. The host hands the request in again without BodyPending when the last byte of the body has
// arrived; its durations count from then on.
type Request struct {
	ID     string // unique among the requests in flight
	Class  string // name of a Class; a request of an unknown class is never executed twice
	Tenant string
	Key    string // resource that the request concerns, for KeyAffinity; empty for none

	ExpiresIn    time.Duration // time until the client gives up
	CostHint     time.Duration // estimated CPU time of the request; 0 if unknown
	Retry        bool          // the client has sent this request before; no decision reads it
	Write        bool          // the request modifies data; no decision reads it
	BodyPending  bool          // the last byte of the body has not arrived yet
	ZoneLocal    bool          // the request must stay in this node's zone while that zone has a running server
	MaxQueueTime time.Duration // upper bound of the time in the queue; 0 for no bound specific to this request
}

// queueTime returns limit, or MaxQueueTime if that is set and shorter.
func (e Request) queueTime(limit time.Duration) time.Duration {
	if e.MaxQueueTime > 0 {
		return min(limit, e.MaxQueueTime)
	}
	return limit
}

// FirstByte reports the start of a streamed answer, after which no other attempt can answer the client.
type FirstByte struct {
	ID      string
	Server  string
	Attempt int // number of the attempt, from 0
	Latency time.Duration
}

// Code is the result of an attempt.
type Code uint8

// Result codes of attempts. NotExecuted tells which of them prove that the server never executed the request.
const (
	OK            Code = iota
	ServerError        // the server answered with an error of its own
	Overloaded         // the server rejected the request for lack of capacity
	TimedOut           // no answer before the attempt's time-out
	ConnectFailed      // no connection could be established, so nothing was sent
	Reset              // the connection broke during the attempt
	Cancelled          // the node cancelled it with a Cancel action
	Superseded         // the node abandoned it before sending it, which says nothing about the server
	Untrusted          // the server failed to authenticate itself, so nothing was sent
)

// NotExecuted reports whether the code proves that the server never executed the request.
func (c Code) NotExecuted() bool {
	return c == Overloaded || c == ConnectFailed || c == Superseded || c == Untrusted
}

// Outcome reports the end of one attempt.
type Outcome struct {
	ID           string
	Server       string
	Attempt      int // number of the attempt, from 0
	Code         Code
	Latency      time.Duration // time since the attempt was sent
	Answered     bool          // the client has received the final answer
	BodyConsumed bool          // the request's body can't be replayed, so that no further attempt is possible
	LoadReport   []float64     // values in the order of Settings.LoadReportFields; nil for none
}

// ClientGone reports that the client has disconnected and needs no answer.
type ClientGone struct{ ID string }

// Timer reports that the timer set by a SetTimer action has expired.
type Timer struct{ Token uint64 }

// ProbeResult reports the end of one Probe. No decision reads it.
type ProbeResult struct {
	Server     string
	Code       Code
	Latency    time.Duration
	LoadReport []float64
}

// PeerMessage is a message from another node. Such messages can be lost, delayed or corrupted. No decision reads it.
type PeerMessage struct {
	From int
	Body string
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions. Each comment lists the fields of Action that the kind uses.
const (
	Send           ActionKind = iota // ID, Server, Until: send an attempt to the server
	Reject                           // ID, Wait: reject; not executed or safe to duplicate, so the client may retry
	Fail                             // ID: fail the request; it may have been executed, so a retry is unsafe
	Cancel                           // ID, Attempt: cancel the attempt
	SetTimer                         // Wait, Token: hand in a Timer with the token after the wait
	Probe                            // Server: probe the server, and hand in a ProbeResult
	SendToPeer                       // Peer (-1 for all), Text: send the text to another node
	CloseIdle                        // Server: close the idle connections to the server
	Log                              // Text: log the text
	WatchEndpoints                   // On: subscribe to the endpoint list if true
	FetchEndpoints                   // no fields: poll the endpoint list once
)

// Action is an operation that the host must carry out now.
type Action struct {
	Kind    ActionKind
	ID      string // ID of the request
	Server  string
	Until   Time          // when the attempt times out; 0 for the client's deadline
	Wait    time.Duration // time until the timer expires, or the Retry-After of a rejected client; 0 for none
	Token   uint64        // identifies the timer
	Attempt int           // number of the attempt, from 0
	Peer    int
	Text    string
	On      bool
}
