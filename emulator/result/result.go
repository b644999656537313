// Package result holds the result of a rehearsal: the verdict, the outcomes by class, tenant and zone, the attempts
// and their work, and the figures of each second. A Recorder collects the result during the rehearsal.
package result

import (
	"time"

	"cobaltward/emulator/checker"
)

// Result is the result of a rehearsal. It is encoded as JSON in reports.
type Result struct {
	Title          string              `json:"title"`
	Seed           uint64              `json:"seed"`
	Clock          string              `json:"clock"` // "virtual" or "real"
	Duration       time.Duration       `json:"length"`
	Servers        int                 `json:"servers"`
	Nodes          int                 `json:"nodes"`
	Zones          []string            `json:"zones"`
	InvalidReason  string              `json:"void,omitempty"` // reason why the rehearsal is invalid; empty: valid
	Verdict        *checker.Verdict    `json:"verdict"`
	All            *Service            `json:"all"`
	Classes        map[string]*Service `json:"classes"`
	Tenants        map[string]*Service `json:"tenants"`
	ByZone         map[string]*Service `json:"by_zone"`
	ClientAttempts int                 `json:"tries"`
	ServerAttempts int                 `json:"attempts"`
	Retries        int                 `json:"repeats"`   // server attempts after the first for each client attempt
	CrossZone      int                 `json:"crossings"` // server attempts at servers outside the node's zone
	Connections    int                 `json:"connections"`
	Work           float64             `json:"work_s"`  // work started by servers, in seconds on a core of speed 1
	WastedWork     float64             `json:"waste_s"` // part of Work whose answers reached no client
	OfferedWork    float64             `json:"work_offered_s"`
	Seconds        []Second            `json:"seconds"`
	Samples        [][]Sample          `json:"samples"`          // learned state of the first node, by second
	Levels         []Level             `json:"levels,omitempty"` // level of the first node, by second
	Faults         []Fault             `json:"faults"`
	Digest         string              `json:"digest"` // SHA-256 of the outcomes of all requests
	MaxLag         time.Duration       `json:"generator_lag_max"`
}

// Second holds the figures of one second of a rehearsal.
type Second struct {
	Offered   int `json:"offered"`
	Served    int `json:"served"` // served requests among those that arrived in this second; likewise Rejected and Failed
	Rejected  int `json:"refused"`
	Failed    int `json:"failed"` // requests neither served nor rejected
	InFlight  int `json:"in_flight"`
	Attempts  int `json:"attempts"`
	CrossZone int `json:"crossing"` // attempts at servers outside the node's zone
}

// Sample is the state that a node has learned about a server.
type Sample struct {
	Server    string  `json:"server"`
	InFlight  int     `json:"in_flight"`
	Threshold float64 `json:"threshold"`
	Ejected   bool    `json:"ejected,omitempty"`
}

// Level is a node's level of reduced service with the signals that determine the level.
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
	Targets             []string      `json:"hit,omitempty"` // names of the affected servers and nodes
	Affected            int           `json:"requests_met"`
	AffectedServed      int           `json:"of_them_served"`
	AffectedAlone       int           `json:"met_it_alone"` // requests that only this fault affected
	AffectedAloneServed int           `json:"met_it_alone_and_served"`
}

// add counts a request that the fault affected. alone reports whether no other fault affected the request.
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
