// Package safeguards names what the engine guards the rules by, so that a rehearsal can take one away and see
// whether its verdict finds out. Nothing outside this module can: the type is internal.
package safeguards

import "cobaltward/policy"

// Set is some of the guards.
type Set uint16

// The guards that can be taken away.
const (
	OneAnswer  Set = 1 << iota // an answered request is not answered again
	AfterEnd                   // nothing goes out for a request that has its answer
	FreshID                    // an id that is in use, or was lately, is refused
	Backstop                   // what the module leaves unanswered is answered before the client's time is up
	AnswerTime                 // an answer comes in time for the way back
	KeyWindow                  // a repeat of a key is not written once servers may have forgotten it
	RefuseRan                  // what may have run is not refused
	Departure                  // nothing goes out for a request whose caller has left
)

// Module is what decides.
type Module interface {
	Handle(now policy.Time, ev policy.Event) []policy.Action
	Reconfigure(now policy.Time, set policy.Settings) ([]policy.Action, error)
}

// Without is an engine with some of its guards gone, and with a module that is told other settings, or that
// hears and says other things. The zero value is whole.
type Without struct {
	Set      Set
	Settings func(policy.Settings) policy.Settings
	Wrap     func(Module) Module
}

// Has tells whether guard g is in force.
func (w *Without) Has(g Set) bool { return w.Set&g == 0 }
