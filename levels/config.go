// Package levels chooses the level of reduced service (degradation level) of a node whose servers can't handle all of
// the offered load. A level defines the fraction of each class that is shed, and limits how the remaining requests
// are served. The package is a state machine without I/O or a clock: callers pass in counts and times, and get the
// level and the reason for it. A level is applied before the rate limits of package policy, and does not change them.
package levels

import (
	"fmt"
	"time"
)

// Signal identifies a measured value that conditions compare with a threshold.
type Signal uint8

// The signals. Each signal is computed from the counts of every second and smoothed exponentially.
const (
	// Demand is the offered work, including shed work, divided by the estimated capacity. The capacity is the work
	// that servers have recently completed within the latency objectives. Shedding does not lower Demand, so no level
	// ends because of its own effect.
	Demand Signal = iota
	// SlowAnswers is the fraction of requests whose response missed its latency objective, or that got no response.
	SlowAnswers
	// Queued is the fraction of open requests that are waiting for a server.
	Queued
)

var signalNames = [...]string{"demand", "slow", "held"}

// String returns the name of the signal in the settings.
func (s Signal) String() string { return signalNames[s] }

// Condition compares a signal with a threshold. An entry condition holds once the signal has been above the threshold
// for the whole duration For. An exit condition holds once the signal has been below the threshold for that duration.
type Condition struct {
	Signal    Signal
	Class     string // class whose signal is compared; empty: all classes together
	Threshold float64
	For       time.Duration
}

// String returns the condition as text, for errors and as a map key.
func (c Condition) String() string {
	return fmt.Sprintf("%s %.4g for %v", c.label(), c.Threshold, c.For)
}

// label returns the name of the signal, with the class if there is one.
func (c Condition) label() string {
	if c.Class == "" {
		return c.Signal.String()
	}
	return c.Signal.String() + " of " + c.Class
}

// Measure describes how a level restricts the requests of a class.
type Measure struct {
	Class        string
	Tenants      []string      // tenants whose requests are restricted; nil: all
	Shed         float64       // fraction of requests that are rejected immediately, 0 to 1
	NoHedging    bool          // whether hedged requests are forbidden
	MaxAttempts  int           // maximum attempts per request; 0: no limit by this measure
	WithinQuota  bool          // whether requests beyond a tenant's quota are rejected
	MaxQueueTime time.Duration // maximum time that a request waits for a server; 0: no limit by this measure
	ZoneLocal    bool          // whether requests must stay in the node's zone while the zone has a running server
	// FollowDemand makes Shed an upper limit. Each second, the measure sheds the load that exceeds the capacity of the
	// servers and that no earlier measure sheds. Demand includes shed work, so the shed fraction does not oscillate.
	FollowDemand bool
}

// Level is one level of reduced service: the conditions to enter and leave it, and its restrictions.
type Level struct {
	Name     string
	Enter    []Condition // the level is entered when any of these conditions holds
	Exit     []Condition // the level is left when all of these conditions hold
	Measures []Measure   // measures in addition to those of the levels before this level
}

// Class is a class of requests that levels may restrict.
type Class struct {
	Name     string
	ShedLast bool // if true, no level may shed more of this class than of a class without ShedLast
}

// Config is a sequence of levels. Level 0 is full service. The measures of each level apply in addition to those of
// the levels before it.
type Config struct {
	Levels  []Level
	Classes []Class
	DryRun  bool // if true, levels are decided and counted, but not applied to requests
	// MinInterval is the minimum time between two changes of the level; default: 30 s. The minimum time in force of a
	// level doubles when the level is entered again within 2 minutes after it was left. The minimum time in force
	// grows to at most eight times MinInterval. These rules prevent the level from oscillating at a load near a
	// threshold.
	MinInterval time.Duration
}

// Event records one change of the level.
type Event struct {
	At       time.Duration
	From, To int
	Name     string // name of the level To; "full" for level 0
	Reason   string
}

// Window holds the counts of one class in one second.
type Window struct {
	Offered float64 // requests received, including shed requests
	Shed    float64 // requests shed by a level
	Work    float64 // mean work per request, in any unit that is the same for all classes
	OnTime  float64 // responses within their latency objective
	Late    float64 // late responses, and requests failed or rejected for lack of a server
	Queued  float64 // requests waiting for a server at the end of the second
	Open    float64 // requests without a response at the end of the second
}
