// Package safeguards names what the engine guards the rules by, so that a rehearsal can take one away and see
// whether its verdict finds out. Nothing outside this module can: the type is internal.
package safeguards

import "cobaltward/policy"

// Guards is some of the guards.
type Guards uint16

// The guards that can be taken away.
const (
	SingleAnswer         Guards = 1 << iota // an answered request is not answered again
	NoAttemptAfterAnswer                    // nothing goes out for a request that has its answer
	UniqueID                                // an id that is in use, or was lately, is refused
	BackstopAnswer                          // what the module leaves unanswered is answered before the client's time is up
	AnswerDeadline                          // an answer comes in time for the way back
	DedupWindow                             // a repeat of a key is not written once servers may have forgotten it
	NoRejectionAfterRun                     // what may have run is not refused
	ClientGone                              // nothing goes out for a request whose caller has left
)

// Policy is what decides.
type Policy interface {
	Handle(now policy.Time, ev policy.Event) []policy.Action
	Reconfigure(now policy.Time, set policy.Settings) ([]policy.Action, error)
}

// Overrides is an engine with some of its guards gone, and with a module that is told other settings, or that
// hears and says other things. The zero value is whole.
type Overrides struct {
	Disabled   Guards
	Settings   func(policy.Settings) policy.Settings
	WrapModule func(Policy) Policy
}

// Enforces tells whether guard g is in force.
func (w *Overrides) Enforces(g Guards) bool { return w.Disabled&g == 0 }
