// Package levels decides at which level of reduced service (degradation level) a node works while its servers can't
// carry all of the offered load: the part shed of each class, and the limits on the rest. It is a state machine
// without I/O or a clock: counts and times in, a level with its reason out. A level is applied before the rate limits
// of package policy, which stay as they are.
package levels

import (
	"fmt"
	"time"
)

// Signal is a measured value that conditions compare to a threshold.
type Signal uint8

// The signals. Each is of the last second, smoothed exponentially.
const (
	// Demand is the work offered, shed work included, over the work that servers have lately been seen to complete
	// in time. What a level sheds does not lower it, so that no level ends by its own effect.
	Demand Signal = iota
	// SlowAnswers is the fraction of answers that missed their latency objective, or never came.
	SlowAnswers
	// Queued is the fraction of the open requests that wait for a server.
	Queued
)

var signalNames = [...]string{"demand", "slow", "held"}

// String names the signal as configurations do.
func (s Signal) String() string { return signalNames[s] }

// Condition holds once a signal has been beyond a threshold for a while.
type Condition struct {
	Signal    Signal
	Class     string // of this class alone; empty: of all classes together
	Threshold float64
	For       time.Duration
}

// String describes the condition.
func (c Condition) String() string {
	return fmt.Sprintf("%s %.4g for %v", c.label(), c.Threshold, c.For)
}

// label names what the condition compares.
func (c Condition) label() string {
	if c.Class == "" {
		return c.Signal.String()
	}
	return c.Signal.String() + " of " + c.Class
}

// Measure is what a level does to the requests of a class.
type Measure struct {
	Class        string
	Tenants      []string      // of these tenants alone; nil: of all
	Shed         float64       // fraction that is rejected at once, 0 to 1
	NoHedging    bool          // no hedged requests
	MaxAttempts  int           // for one request; 0: as the settings allow
	WithinQuota  bool          // what a tenant sends beyond its quota is rejected
	MaxQueueTime time.Duration // that a request waits for a server; 0: as the policy decides
	ZoneLocal    bool          // no request crosses zones while the node's own zone has a server
	// FollowDemand makes Shed the most that is shed: each second, as much of the class is shed as servers can't carry
	// after the measures before this one. Demand counts shed work, so this does not oscillate.
	FollowDemand bool
}

// Level is one level of reduced service.
type Level struct {
	Name     string
	Enter    []Condition // the level is entered when any of them is above its threshold
	Exit     []Condition // and left when all of them are below theirs
	Measures []Measure   // added to those of the levels before it
}

// Class has the attributes of a class that the check of a configuration needs.
type Class struct {
	Name     string
	ShedLast bool // no level may shed more of it than of a class without this mark
}

// Config is a sequence of levels. Level 0 is full service; each further level adds its measures to those before it.
type Config struct {
	Levels  []Level
	Classes []Class
	DryRun  bool // levels are decided on and counted, and change nothing for requests
	// MinInterval is the time between two changes of the level; 0: 30 s. A level that is entered again within
	// 2 minutes of its end then stays twice as long, up to eight times, so that load near a threshold does not make the
	// level oscillate.
	MinInterval time.Duration
}

// Event is one change of the level.
type Event struct {
	At       time.Duration
	From, To int
	Name     string // of To; "full" for 0
	Reason   string
}

// Window is what a node has counted for one class in one second.
type Window struct {
	Offered float64 // requests, shed ones included
	Shed    float64 // requests shed by a level
	Work    float64 // mean of a request, in any unit that is the same for all classes
	OnTime  float64 // answers within their latency objective
	Late    float64 // answers after it, and requests that failed or were rejected because there was no server
	Queued  float64 // requests that wait for a server, at the end of the second
	Open    float64 // requests without their answer, at the end of the second
}
