// Package script reads the scripts of rehearsals. A script describes a site, its traffic and its faults.
// docs/rehearse.md describes the format.
package script

import (
	"fmt"
	"time"

	"cobaltward/internal/stricttoml"
)

// Script is the script of a rehearsal. Its times count from the start of the traffic.
type Script struct {
	Title        string        `toml:"title"`
	Base         string        `toml:"base"` // path of a script to override: tables by key, lists as a whole
	Seed         uint64        `toml:"seed"`
	Duration     time.Duration `toml:"length" need:"1" min:"100ms" max:"1h"` // time during which requests arrive
	Network      Network       `toml:"net"`
	Nodes        Nodes         `toml:"nodes"`
	Discovery    Discovery     `toml:"discovery"`
	ServerKinds  []ServerKind  `toml:"kind" need:"1"`
	Classes      []Class       `toml:"class" need:"1"`
	Tenants      []Tenant      `toml:"tenant" need:"1"`
	Traffic      Traffic       `toml:"traffic" need:"1"`
	Clients      Clients       `toml:"clients"`
	LoadFields   []string      `toml:"reports" one:"inflight|queue|util"` // fields of load reports; real time only
	Capabilities Capabilities  `toml:"allow"`
	Rules        Rules         `toml:"rules"`
	Faults       []Fault       `toml:"fault"`

	lines stricttoml.Lines
	path  string
}

// Network describes the network. All delays are one-way.
type Network struct {
	Zones          []string      `toml:"zones"`
	SameZoneDelay  time.Duration `toml:"same" min:"0s" max:"1s"`
	CrossZoneDelay time.Duration `toml:"cross" min:"0s" max:"1s"`
	ClientDelay    time.Duration `toml:"client" min:"0s" max:"1s"`
	Jitter         float64       `toml:"jitter" min:"0" max:"1"` // maximum extra delay, as a fraction of the delay
	ConnectTimeout time.Duration `toml:"connect" min:"1ms" max:"10s"`
	HandshakeRTTs  int           `toml:"handshake_rtts" min:"1" max:"4"`
}

// Nodes describes the instances of the router.
type Nodes struct {
	Count            int           `toml:"count" min:"1" max:"200"`
	FailureDetection time.Duration `toml:"notice" min:"0s" max:"1m"` // time until the load balancer avoids a dead node
	MaxConns         int           `toml:"max_conns" min:"1"`        // connections of one node to all servers
	MaxOpen          int           `toml:"max_open" min:"1"`         // requests in flight at one node
}

// Discovery describes how changes of the endpoint list reach the nodes.
type Discovery struct {
	Delay    time.Duration `toml:"delay" min:"0s" max:"1m"`
	Spread   time.Duration `toml:"spread" min:"0s" max:"1m"` // maximum random extra delay of a node
	Protocol string        `toml:"form" one:"own|xds"`       // real time only; own: the platform's protocol
	// SilenceTimeout is the time after which a silent server is removed from the endpoint list. 0 means never.
	SilenceTimeout time.Duration `toml:"silent" min:"0s" max:"1h"`
}

// ServerKind describes servers of one kind.
type ServerKind struct {
	Name            string             `toml:"name" need:"1"`
	Count           int                `toml:"count" need:"1" min:"1" max:"5000"`
	Zones           map[string]float64 `toml:"zones" min:"0"` // weight of each zone; empty: equal weights
	Cores           int                `toml:"cores" min:"1" max:"256"`
	Speed           stricttoml.Range   `toml:"speed" min:"0.001" max:"1000"`
	Slots           stricttoml.Range   `toml:"slots" min:"0.01" max:"1000"`   // limit of running requests per core
	Queue           stricttoml.Range   `toml:"queue" min:"0" max:"10000"`     // limit of queued requests per core
	ThrashFactor    float64            `toml:"thrash" min:"0" max:"10"`       // see model.Config
	ThrashThreshold float64            `toml:"thrash_at" min:"0" max:"10000"` // requests in flight per core
	InitialCapacity stricttoml.Range   `toml:"cold_from" min:"0" max:"1"`     // fraction of the capacity; 0: no warm-up
	WarmUpDuration  time.Duration      `toml:"cold_for" min:"0s" max:"10m"`
	WarmUpBy        string             `toml:"cold_by" one:"time|work"`
	PauseInterval   time.Duration      `toml:"pause_every" min:"0s" max:"10m"` // 0s: never
	PauseDuration   time.Duration      `toml:"pause" min:"0s" max:"1m"`
	PauseGrowth     float64            `toml:"pause_grow" min:"0" max:"10"` // see model.Pause
	Cancel          string             `toml:"cancel" one:"nothing|waiting|all"`
	DropExpired     bool               `toml:"drop_expired"`
	ConnSetupWork   time.Duration      `toml:"conn_work" min:"0s" max:"1s"`
	MaxConnsPerCore int                `toml:"conn_cap" min:"0"` // 0: unlimited
	ConnOverhead    float64            `toml:"full_tax" min:"0" max:"0.9"`
	ErrorRate       float64            `toml:"error_rate" min:"0" max:"1"`
	Protocol        string             `toml:"protocol" one:"http|msgpack"` // real time only
}

// Class describes a class of requests: their work, their time limits, and the conditions for retries.
type Class struct {
	Name               string        `toml:"name" need:"1"`
	Share              float64       `toml:"share" need:"1" min:"0"`
	Work               time.Duration `toml:"work" need:"1" min:"1us" max:"1h"` // mean time on a core of speed 1
	Dist               string        `toml:"dist" one:"fixed|exponential|lognormal|pareto"`
	CV                 float64       `toml:"cv" min:"0.01" max:"20"` // coefficient of variation
	LatencyObjective   time.Duration `toml:"aim" need:"1" min:"1ms"`
	Deadline           time.Duration `toml:"deadline" need:"1" min:"10ms" max:"10m"`
	LateWeightFraction float64       `toml:"late_worth" min:"0" max:"1"`
	Idempotency        string        `toml:"repeat" need:"1" one:"free|guarded|never"`
	DedupScope         string        `toml:"group" one:"all|zone|cell"`
	DedupWindow        time.Duration `toml:"window" min:"0s" max:"1h"`
}

// Values of Class.Idempotency.
const (
	Idempotent       = "free"
	IdempotencyKeyed = "guarded"
	NonIdempotent    = "never"
)

// Tenant describes the quota and the load of a tenant.
type Tenant struct {
	Name  string  `toml:"name" need:"1"`
	Share float64 `toml:"share" need:"1" min:"0" max:"1"`
	Usage float64 `toml:"usage" min:"0" max:"1000"` // offered load as a multiple of the tenant's share; unset or 0: 1
}

// Traffic describes the open-loop load that clients offer.
type Traffic struct {
	Rate float64 `toml:"rate" need:"1" min:"0.1" max:"1000000"` // first attempts per second of all tenants
	// Quota is the sum of all quotas in requests per second. A tenant's share determines the tenant's part of Quota.
	// 0 means the same as Rate.
	Quota float64            `toml:"quota" min:"0"`
	Zones map[string]float64 `toml:"zones" min:"0"` // weight of each zone; empty: equal weights
	Shape string             `toml:"shape" one:"steady|wave|ramp|square"`
	// Period is the period of the shapes wave and square. 0 means half the script's duration.
	Period time.Duration `toml:"period" min:"100ms" max:"1h"`
	// Amplitude is the maximum relative change of the rate in the shapes wave and square. In the shape ramp, the
	// factor of the rate grows from 1 - Amplitude to 1 + Amplitude.
	Amplitude float64 `toml:"swing" min:"0" max:"1"`
}

// PeriodOf returns the period of the shapes wave and square in a script of the given duration.
func (t Traffic) PeriodOf(duration time.Duration) time.Duration {
	if t.Period > 0 {
		return t.Period
	}
	return duration / 2
}

// Clients describes the timeouts and the retries of clients. Fractions are between 0 and 1.
type Clients struct {
	Retries                int           `toml:"retries" min:"0" max:"10"`
	AttemptTimeoutFraction float64       `toml:"try_share" min:"0.05" max:"1"` // timeout as a fraction of the deadline
	Backoff                string        `toml:"backoff" one:"none|fixed|exponential"`
	BackoffDelay           time.Duration `toml:"wait" min:"0s" max:"1m"`
	HonorFraction          float64       `toml:"honour" min:"0" max:"1"`        // fraction that obeys Retry-After
	MaxRetryAfter          time.Duration `toml:"max_retry_after" min:"0s"`      // maximum Retry-After that clients obey
	EarlyLeaveFraction     float64       `toml:"impatient" min:"0" max:"1"`     // requests whose client disconnects early
	DuplicateIDFraction    float64       `toml:"duplicate_ids" min:"0" max:"1"` // attempts sent twice with the same ID
}

// Capabilities lists the actions that the site allows nodes to take.
type Capabilities struct {
	Cancel      bool          `toml:"cancel"`
	Hedge       bool          `toml:"second_copies"`
	RetryAfter  bool          `toml:"retry_after"`
	MaxAttempts int           `toml:"max_attempts" min:"1" max:"100"`
	ConnIdle    time.Duration `toml:"conn_idle" min:"1s" max:"1h"`
}

// Rules holds the parameters of the platform's four rules. The checker checks each run against these rules.
type Rules struct {
	DrainGrace       time.Duration `toml:"drain_grace" min:"0s"`
	OverloadFactor   float64       `toml:"fall_multiple" min:"1"`
	OverloadDuration time.Duration `toml:"fall_for" min:"1ms"`
	AnswerGrace      time.Duration `toml:"answer_grace" min:"0s"`
}

// ServerNames returns the server names that faults can select: s-0001, s-0002 and so on.
func (s *Script) ServerNames() (all []string) {
	for _, kind := range s.ServerKinds {
		for range kind.Count {
			all = append(all, fmt.Sprintf("s-%04d", len(all)+1))
		}
	}
	return all
}

// NodeNames returns the node names that faults can select: n1, n2 and so on.
func (s *Script) NodeNames() (all []string) {
	for i := range s.Nodes.Count {
		all = append(all, fmt.Sprintf("n%d", i+1))
	}
	return all
}
