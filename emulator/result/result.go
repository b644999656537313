// Package result holds the result of a rehearsal: the verdict, the service by class, tenant and zone, its cost, and the
// figures of each second. A Recorder collects it during the rehearsal.
package result

import (
	"time"

	"cobaltward/emulator/checker"
)

// Result is the result of a rehearsal.
type Result struct {
	Title          string              `json:"title"`
	Seed           uint64              `json:"seed"`
	Clock          string              `json:"clock"` // virtual or real
	Duration       time.Duration       `json:"length"`
	Servers        int                 `json:"servers"`
	Nodes          int                 `json:"nodes"`
	Zones          []string            `json:"zones"`
	InvalidReason  string              `json:"void,omitempty"` // why the rehearsal is invalid; empty: it is valid
	Verdict        *checker.Verdict    `json:"verdict"`
	All            *Service            `json:"all"`
	Classes        map[string]*Service `json:"classes"`
	Tenants        map[string]*Service `json:"tenants"`
	ByZone         map[string]*Service `json:"by_zone"`
	ClientAttempts int                 `json:"tries"`
	ServerAttempts int                 `json:"attempts"`
	Retries        int                 `json:"repeats"`   // server attempts beyond the first of a client attempt
	CrossZone      int                 `json:"crossings"` // server attempts to another zone than the node's
	Connections    int                 `json:"connections"`
	Work           float64             `json:"work_s"`  // started by servers, in seconds of a core of speed 1
	WastedWork     float64             `json:"waste_s"` // part of Work whose answer reached no client
	OfferedWork    float64             `json:"work_offered_s"`
	Seconds        []Second            `json:"seconds"`
	Samples        [][]Sample          `json:"samples"`          // of the first node, by second
	Levels         []Level             `json:"levels,omitempty"` // of the first node, by second
	Faults         []Fault             `json:"faults"`
	Digest         string              `json:"digest"` // SHA-256 of the outcomes of all requests
	MaxLag         time.Duration       `json:"generator_lag_max"`
}

// Second holds the figures of one second of a rehearsal.
type Second struct {
	Offered   int `json:"offered"`
	Served    int `json:"served"` // by the second of arrival, like Rejected and Failed
	Rejected  int `json:"refused"`
	Failed    int `json:"failed"` // neither served nor rejected
	InFlight  int `json:"in_flight"`
	Attempts  int `json:"attempts"`
	CrossZone int `json:"crossing"` // attempts to another zone
}

// Sample is the learned state of a server at a node.
type Sample struct {
	Server    string  `json:"server"`
	InFlight  int     `json:"in_flight"`
	Threshold float64 `json:"threshold"`
	Ejected   bool    `json:"ejected,omitempty"`
}

// Level is the degradation level of a node with its inputs.
type Level struct {
	Level  int     `json:"level"`
	Demand float64 `json:"demand"`
	Slow   float64 `json:"slow"`
}

// Fault summarizes the effect of a fault on requests.
type Fault struct {
	Label               string        `json:"label"`
	Kind                string        `json:"kind"`
	From                time.Duration `json:"from"`
	To                  time.Duration `json:"to"`
	Targets             []string      `json:"hit,omitempty"` // servers and nodes
	Affected            int           `json:"requests_met"`
	AffectedServed      int           `json:"of_them_served"`
	AffectedAlone       int           `json:"met_it_alone"` // requests that no other fault affected
	AffectedAloneServed int           `json:"met_it_alone_and_served"`
}

// add records a request that the fault affected, alone or with other faults.
func (f *Fault) add(served, alone bool) {
	f.Affected++
	if served {
		f.AffectedServed++
	}
	if !alone {
		return
	}
	f.AffectedAlone++
	if served {
		f.AffectedAloneServed++
	}
}
