// Package policy decides, for one node of a reverse proxy, which requests to admit, which server gets each attempt,
// and when to retry, hedge, reject or fail. It is an event-driven state machine: a host passes each event and the
// current time to Handle, and carries out the returned actions in order. The package does no I/O, reads no clock and
// starts no goroutine. Its random choices come from a seed, so the same events always lead to the same actions.
//
// Each of these files implements one part of request handling:
//
//   - admission.go: rate limits by tenant and class, scaled by the available capacity of the servers;
//   - placement.go: the servers that a request is allowed to run on;
//   - selection.go and threshold.go: selection of the server for an attempt, under a learned concurrency limit for
//     each server;
//   - index.go: an index that makes the same selection faster among many servers;
//   - attempts.go, retry_budget.go and reconnect.go: sending, queueing, retries, hedged requests and outcomes;
//   - connections.go: closing idle connections that were probably dropped by the network;
//   - outlier.go: ejection of failing servers, and the probes that reinstate them;
//   - slow_start.go: limits on the load of servers that have just started;
//   - endpoints.go: the endpoint list, the order of the servers, and this node's subset of them.
//
// policy.go dispatches events and applies settings. state.go and learned_state.go define the state. This file defines
// the interface: settings, events and actions.
package policy

import "time"

// Time is a point on the host's monotonic clock, as the duration since an arbitrary fixed origin.
type Time = time.Duration

// Idempotency says whether a request may be sent again after an attempt that may have been executed.
type Idempotency uint8

// The zero value is the strictest. A request of a class without this setting is never executed twice.
const (
	NonIdempotent    Idempotency = iota // must never be executed twice
	IdempotencyKeyed                    // servers within DedupScope discard duplicates for DedupWindow
	Idempotent                          // may be executed any number of times
)

// DedupScope says which servers discard duplicates of an IdempotencyKeyed request.
type DedupScope uint8

// The zero value is the narrowest scope.
const (
	DedupCell DedupScope = iota // servers in the Cell of the first server that may have executed the request
	DedupZone                   // servers in the Zone of the first server that may have executed the request
	DedupAll                    // all servers
)

// Class describes one kind of request. All numbers must be zero or more.
type Class struct {
	// Name is unique among the classes.
	Name string
	// LatencyObjective is the maximum latency at which an answer has its full value; 0 means Deadline.
	LatencyObjective time.Duration
	// ObjectiveWorkFactor is the multiple of Request.CostHint that is added to the objective; 0 adds nothing.
	ObjectiveWorkFactor float64
	// Deadline is the total time that a client waits, including its own retries. It must be more than zero.
	Deadline time.Duration
	// Idempotency says whether a request may be sent again after it may have been executed.
	Idempotency Idempotency
	// DedupScope says which servers discard duplicates; only used with IdempotencyKeyed.
	DedupScope DedupScope
	// DedupWindow is the time for which servers in DedupScope discard duplicates. It starts at the first attempt that
	// may have been executed. Only used with IdempotencyKeyed.
	DedupWindow time.Duration
	// LateWeightFraction is the value of an answer between objective and deadline, as a fraction (0 to 1) of its full
	// value. At 0, no attempt is sent after the objective.
	LateWeightFraction float64
	// PriorityWeight is the value of one answer relative to answers of other classes. It is not used in decisions.
	PriorityWeight float64
	// Stream is true if answers are streamed. A FirstByte event then reports the start of each streamed answer.
	Stream bool
	// Kinds lists the kinds of servers that requests may be sent to; empty: any kind.
	Kinds []string
	// Zones lists the zones that requests may be sent to; empty: any zone.
	Zones []string
	// Pool is the pool of servers that requests may be sent to; empty: any server.
	Pool string
}

// Tenant is a customer with its own request quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all nodes; 0 or more
	Share float64 // fraction of the total traffic, 0 to 1; not used in decisions
}

// Limit defines a token bucket. The bucket holds up to Burst tokens and gains PerWindow tokens each Window.
type Limit struct {
	PerWindow float64       // tokens per Window; 0 or less: only the initial burst is admitted
	Window    time.Duration // refill period; 0 or less: no refill
	Burst     int64         // bucket capacity, in tokens
}

// RateLimits holds the rate limits in addition to the quotas of the tenants. Each field is optional.
type RateLimits struct {
	Default  *Limit           // limit for tenants without a quota; nil: smallest quota, or no limit without tenants
	PerClass map[string]Limit // by class: limit used instead of the quota; each tenant has its own bucket
	Max      float64          // maximum of PerWindow and Burst in every limit; 0: none
}

// Capabilities says what a node is allowed to do at this site.
type Capabilities struct {
	Cancel     bool // the node may cancel attempts in flight
	Hedge      bool // a second attempt may be sent while the first is in flight
	Probe      bool // the host may probe servers; not used in decisions
	Peers      bool // nodes may send messages to each other; not used in decisions
	RetryAfter bool // clients honor the wait time of a Reject; not used in decisions

	MaxAttempts     int           // attempts per request, including the first; 0 means 1
	MaxRetryAfter   time.Duration // maximum wait time that clients honor; not used in decisions
	ConnIdleTimeout time.Duration // idle time after which a connection is closed; 0: unknown
}

// RetryBudget limits the retries and hedged requests of a node. Within any Window, the node may send at most
// MinRetries plus RetryRatio times the number of requests received in that Window.
type RetryBudget struct {
	MinRetries float64       // retries allowed per Window at any request rate; 0 or more
	RetryRatio float64       // additional retries allowed per received request; 0 or more
	Window     time.Duration // length of the sliding window; must be more than zero
}

// Rules holds the operating rules that the site sets for a node. All numbers must be zero or more.
type Rules struct {
	AnswerGrace      time.Duration // time after the deadline in which an answer still counts; not used in decisions
	DrainGrace       time.Duration // time after the start of a drain in which sends are allowed; not used in decisions
	SlowStartShare   float64       // minimum capacity of a server at its start, as a fraction of its full capacity
	SlowStartWindow  time.Duration // time from the start of a server until it has full capacity
	OverloadFactor   float64       // load at which a server in slow start fails, as a multiple of its current capacity
	OverloadDuration time.Duration // time above OverloadFactor after which the server fails
	MaxPollInterval  time.Duration // maximum time between polls of the endpoint list without a subscription
	RetryBudget      *RetryBudget  // nil: default budget
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
	Subscribe    bool // whether the node must subscribe to get updates of the endpoint list
	KeyAffinity  bool // whether to prefer the sticky servers of a key; a server serves a repeated key at a lower cost
	WeightByWork bool // whether the value of an answer is proportional to its work; not used in decisions
	// LoadReportFields lists the names of the values in load reports, in their order. It is not used in decisions.
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
	Server      string   // unique name
	Zone        string   // empty: unknown
	Kind        string   // empty: unknown
	Pools       []string // pools that contain the server
	Cell        Cell     // group of servers that share a deduplication table, for DedupCell
	Weight      float64  // relative capacity; not used in decisions
	OnlineSince Time     // start time of the process; 0: long ago
	// SlowStartAt is the start time of slow start, by a clock that is never stepped; 0 means OnlineSince.
	SlowStartAt  Time
	Availability Availability
	// ZoneUncertain is whether the process may be in another zone, because reports contradict each other or describe an
	// earlier process. Zone is then used for placement, but not to find servers that discard duplicates.
	ZoneUncertain bool
	// StartUnknown is whether the start time of the process is unknown. Without a start time, the process otherwise
	// started long ago.
	StartUnknown bool
}

// Event is a Request, FirstByte, Outcome, ClientGone, Timer, EndpointList, ProbeResult or PeerMessage.
type Event any

// ListKind says how to interpret an EndpointList.
type ListKind uint8

// Kinds of endpoint list updates.
const (
	ListReplace     ListKind = iota // the complete list
	ListUpdate                      // only the changed entries
	ListRestored                    // the complete list as last known, possibly stale
	ListUnavailable                 // a poll failed or a watch ended; the list has no entries
)

// EndpointList is an update of the endpoint list. Endpoints is never modified, so nodes may share the slice.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
	More      bool // whether more parts of the same change follow; queued requests wait for the last part
}

// Request is a client's request. Each request gets exactly one final answer.
//
// A request with BodyPending may be sent before its whole body has arrived. Until the last byte arrives, the body is
// streamed to one attempt at a time, and no server can have executed the request. When the last byte of the body
// arrives, the host passes the request again without BodyPending. The durations in the request count from that second
// event.
type Request struct {
	ID     string // unique among the requests in flight
	Class  string // name of a Class; a request of an unknown class is never executed twice
	Tenant string
	Key    string // resource that the request concerns, for KeyAffinity; empty: none

	ExpiresIn    time.Duration // time until the client gives up
	CostHint     time.Duration // estimated CPU time of the request; 0: unknown
	Retry        bool          // whether the client has sent this request before; not used in decisions
	Write        bool          // whether the request modifies data; not used in decisions
	BodyPending  bool          // whether the last byte of the body has not arrived yet
	ZoneLocal    bool          // whether the request must stay in this node's zone while that zone has a running server
	MaxQueueTime time.Duration // maximum time in the queue; 0: the default of the policy
}

// queueTime returns the smaller of limit and MaxQueueTime. A MaxQueueTime of 0 is ignored.
func (e Request) queueTime(limit time.Duration) time.Duration {
	if e.MaxQueueTime > 0 {
		return min(limit, e.MaxQueueTime)
	}
	return limit
}

// FirstByte reports the start of a streamed answer. After a FirstByte, no other attempt can answer the client.
type FirstByte struct {
	ID      string
	Server  string
	Attempt int // number of the attempt, from 0
	Latency time.Duration
}

// Code is the result of an attempt.
type Code uint8

// Result codes of attempts. NotExecuted reports which codes prove that the server never executed the request.
const (
	OK            Code = iota
	ServerError        // the server answered with an error
	Overloaded         // the server rejected the request for lack of capacity
	TimedOut           // no answer before the time-out of the attempt
	ConnectFailed      // no connection could be established, so nothing was sent
	Reset              // the connection failed during the attempt
	Cancelled          // the node cancelled the attempt with a Cancel action
	Superseded         // the node abandoned the attempt before sending it; no fault of the server
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
	Answered     bool          // whether the client has received the final answer
	BodyConsumed bool          // whether the body can no longer be read from its start, which rules out further attempts
	LoadReport   []float64     // values in the order of Settings.LoadReportFields; nil: no report
}

// ClientGone reports that the client has disconnected and needs no answer.
type ClientGone struct{ ID string }

// Timer reports that the timer set by a SetTimer action has expired.
type Timer struct{ Token uint64 }

// ProbeResult reports the end of a probe. It is not used in decisions.
type ProbeResult struct {
	Server     string
	Code       Code
	Latency    time.Duration
	LoadReport []float64
}

// PeerMessage is a message from another node. Messages can be lost, delayed or corrupted. They are not used in
// decisions.
type PeerMessage struct {
	From int
	Body string
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions. Each comment lists the fields of Action that are set.
const (
	Send           ActionKind = iota // ID, Server, Until: send an attempt to the server
	Reject                           // ID, Wait: reject the request; the client may retry it safely
	Fail                             // ID: fail the request; a retry is unsafe, because a server may have executed it
	Cancel                           // ID, Attempt: cancel the attempt
	SetTimer                         // Wait, Token: pass a Timer with the token to Handle after the wait
	Probe                            // Server: probe the server, and pass a ProbeResult to Handle
	SendToPeer                       // Peer, Text: send the text to the node Peer; -1: to all nodes
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
	Until   Time          // time at which the attempt times out; default: the client's deadline
	Wait    time.Duration // time until the timer expires, or Retry-After of a rejected request; 0: none
	Token   uint64        // identifies the timer
	Attempt int           // number of the attempt, from 0
	Peer    int
	Text    string
	On      bool
}
