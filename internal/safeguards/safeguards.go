// Package safeguards names the checks by which the engine enforces the rules towards clients and servers whatever the
// policy decides, so that a rehearsal can disable one and show that its checker notices. The package is internal, so
// that no outside program can disable any.
package safeguards

import "cobaltward/policy"

// Guards is a set of safeguards.
type Guards uint16

// The safeguards that can be disabled.
const (
	SingleAnswer         Guards = 1 << iota // an answered request is not answered again
	NoAttemptAfterAnswer                    // no attempt starts for an answered request
	UniqueID                                // an ID that is in use, or was recently, is rejected
	BackstopAnswer                          // a request without an answer by the policy gets one before its deadline
	AnswerDeadline                          // an answer is given early enough to reach the client in time
	DedupWindow                             // no retry is sent once servers may have forgotten the idempotency key
	NoRejectionAfterRun                     // a request that may have been executed is not rejected
	ClientGone                              // no attempt starts for a request whose client has disconnected
)

// Policy decides about requests, as policy.Balancer does.
type Policy interface {
	Handle(now policy.Time, ev policy.Event) []policy.Action
	Reconfigure(now policy.Time, set policy.Settings) ([]policy.Action, error)
}

// Overrides changes an engine for a rehearsal. The zero value changes nothing.
type Overrides struct {
	Disabled   Guards                                // safeguards that are not enforced
	Settings   func(policy.Settings) policy.Settings // changes the settings that the policy gets; nil: unchanged
	WrapPolicy func(Policy) Policy                   // changes the policy's events and actions; nil: unchanged
}

// Enforces reports whether a safeguard is enforced.
func (o *Overrides) Enforces(guard Guards) bool { return o.Disabled&guard == 0 }
