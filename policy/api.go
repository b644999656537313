// Package policy decides, for one node of a reverse proxy, which requests to admit, which server
// gets each attempt, and when to retry, hedge, refuse or fail. It is an event-driven state machine:
// time and the random seed are handed in, and it starts no goroutines and does no I/O.
//
// This file is the interface (settings, events, actions); policy.go holds every decision.
package policy

import "time"

// Time is a moment on the host's monotonic clock, measured from any fixed origin.
type Time = time.Duration

// Idempotency says how far a request of a class may be sent again once it may have run.
type Idempotency uint8

// The zero value is the strictest: a class nobody described is never repeated.
const (
	NonIdempotent    Idempotency = iota // must never run twice
	IdempotencyKeyed                    // a group of servers drops repeats for a window
	Idempotent                          // safe to repeat
)

// DedupScope names the servers that drop the repeats of a Guarded request.
type DedupScope uint8

// The zero value is the narrowest group.
const (
	DedupCell DedupScope = iota
	DedupZone
	DedupAll
)

// Class describes one kind of request.
type Class struct {
	Name                string
	LatencyObjective    time.Duration // an answer within Aim earns the full worth
	ObjectiveWorkFactor float64       // Aim grows by this multiple of the request's own work; 0 for none
	Deadline            time.Duration // how long a client waits in all, over all its tries
	Idempotency         Idempotency
	DedupScope          DedupScope    // for Guarded
	DedupWindow         time.Duration // for Guarded: counted from the first attempt that may have run
	LateWeightFraction  float64       // part of the worth left between Aim and Deadline
	PriorityWeight      float64
	Stream              bool     // the answer is a stream, announced by FirstByte
	Kinds               []string // the only kinds of server it may be sent to; empty for any
	Zones               []string // the only zones it may be sent to; empty for any
	Pool                string   // the only pool it may be sent to; empty for any
}

// Tenant is one customer with its agreed share, over all nodes.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over the whole fleet of nodes
	Share float64 // part of the service, 0 to 1
}

// Limit is one layer of rate limits: PerWindow requests each Window, and a burst on top.
type Limit struct {
	PerWindow float64
	Window    time.Duration
	Burst     int64
}

// RateLimits holds the layers that apply to every tenant. All are optional.
type RateLimits struct {
	Default  *Limit           // for tenants without a quota; nil: the smallest quota, or no limit
	PerClass map[string]Limit // override; such a class has a bucket of its own for each tenant
	Max      float64          // platform maximum for PerWindow and Burst; 0 for none
}

// Capabilities says what the site lets a node do.
type Capabilities struct {
	Cancel, Hedge, Probe, Peers, RetryAfter bool
	MaxAttempts                             int           // for one request; 0 counts as 1
	MaxRetryAfter                           time.Duration // longest wait a client follows
	ConnIdleTimeout                         time.Duration // idle connections are closed after this; 0 if not told
}

// RetryBudget rations a node's attempts beyond each request's first: in any Span they number at most
// Least plus Share of the requests that the node took in it.
type RetryBudget struct {
	MinRetries float64
	RetryRatio float64
	Window     time.Duration
}

// Rules holds the figures of the rules.
type Rules struct {
	AnswerGrace      time.Duration // a final answer is still in time this long after the deadline
	DrainGrace       time.Duration // sends to a draining server must end within this time
	SlowStartShare   float64       // a server starts at this part of its capacity or more
	SlowStartWindow  time.Duration // and is warm within this time
	OverloadFactor   float64       // sent more than this multiple of its present capacity
	OverloadDuration time.Duration // for this long, a cold server falls over
	MaxPollInterval  time.Duration // an unsubscribed node must ask for the list this often
	RetryBudget      *RetryBudget  // of further attempts; nil where none is stated
}

// Settings is what a node is told at its start.
type Settings struct {
	Node, Nodes  int // this node's number, and how many there are
	Zone         string
	Classes      []Class
	Tenants      []Tenant
	RateLimits   RateLimits
	Capabilities Capabilities
	Rules        Rules
	Subscribe    bool // the list of servers must be asked for
	KeyAffinity  bool // a server that lately served a key serves it with less work
	WeightByWork bool // worth is counted for each unit of work, not for each request
	// LoadReportFields names the values in load reports, in order. No decision reads them.
	LoadReportFields []string
}

// Availability is what the list says of a server's process.
type Availability uint8

// States of a listed server.
const (
	Running Availability = iota
	Draining
	Removed
)

// Endpoint is one entry of the list of servers.
type Endpoint struct {
	Server       string
	Zone         string
	Kind         string
	Pools        []string
	Cell         int64
	Weight       float64
	OnlineSince  Time // when it last started; 0: long ago
	Availability Availability
}

// Event is anything a node can be told. The types below are all there are.
type Event any

// ListKind says how a MemberList is to be read.
type ListKind uint8

// Kinds of list events.
const (
	ListReplace     ListKind = iota // the whole list
	ListUpdate                      // only what changed
	ListRestored                    // the whole list as last seen, perhaps stale
	ListUnavailable                 // a call failed or a subscription dropped; no entries
)

// EndpointList is news of the servers. Members may be shared between nodes: it is only read.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// Request is a client's request; the node owes it exactly one final answer. One that is Arriving may be sent, but
// can't have run: its body passes through as it comes, and one attempt at a time can have it. It is told once more,
// not Arriving, when its last byte has come, and its time counts from then.
type Request struct {
	ID, Class, Tenant, Key    string
	ExpiresIn                 time.Duration // until the client gives this try up
	CostHint                  time.Duration // guess of its cost in core time; 0 if unknown
	Retry, Write, BodyPending bool
	ZoneLocal                 bool          // it is not to cross zones while this node's own has a server
	MaxQueueTime              time.Duration // it is refused after so long without a server, if not sooner; 0: as ever
}

// queueTime is for how long a request is held that would be held for d.
func (e Request) queueTime(d time.Duration) time.Duration {
	if e.MaxQueueTime > 0 {
		return min(d, e.MaxQueueTime)
	}
	return d
}

// FirstByte says that a streamed answer has begun: the attempt now belongs to the client.
type FirstByte struct {
	ID, Server string
	Attempt    int
	Latency    time.Duration
}

// Code says how an attempt ended.
type Code uint8

// The outcome codes. NotRun tells which of them prove that the request never ran.
const (
	OK Code = iota
	ServerError
	Overloaded
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Superseded
	Untrusted // the server could not prove who it is, so nothing was sent
)

// NotExecuted reports whether the code proves that the request never ran.
func (c Code) NotExecuted() bool {
	return c == Overloaded || c == ConnectFailed || c == Superseded || c == Untrusted
}

// Outcome is the end of one attempt. Ended tells that the request has its final answer.
type Outcome struct {
	ID, Server   string
	Attempt      int
	Code         Code
	Latency      time.Duration
	Answered     bool
	BodyConsumed bool      // the request's body is no longer held: no further attempt could send it
	LoadReport   []float64 // load report in the order of Settings.Report; nil for none
}

// ClientGone says that the client has left; no answer is owed any more.
type ClientGone struct{ ID string }

// Timer is a timer that came due.
type Timer struct{ Token uint64 }

// ProbeResult is the end of one Probe.
type ProbeResult struct {
	Server     string
	Code       Code
	Latency    time.Duration
	LoadReport []float64
}

// PeerMessage is bytes from another node; they may be lost, old or broken.
type PeerMessage struct {
	From int
	Body string
}

// ActionKind names what an Action does.
type ActionKind uint8

// What a node can do; the comments name the fields of Action that count.
const (
	Send           ActionKind = iota // ID, Server, Until
	Reject                           // ID, Wait: the client may safely come again
	Fail                             // ID: promises nothing
	Cancel                           // ID, Attempt
	SetTimer                         // Wait, Token
	Probe                            // Server
	SendToPeer                       // Peer (-1 for all), Text
	CloseIdle                        // Server
	Log                              // Text
	WatchEndpoints                   // On
	FetchEndpoints                   // no fields
)

// Action is one thing the node wants done now.
type Action struct {
	Kind    ActionKind
	ID      string
	Server  string
	Until   Time // when the attempt times out; 0: with the client's deadline
	Wait    time.Duration
	Token   uint64
	Attempt int
	Peer    int
	Text    string
	On      bool
}
