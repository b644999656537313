// Package safeguards names the checks with which the engine enforces its guarantees to clients and servers, whatever
// the policy decides. A rehearsal can disable a safeguard to show that the checker detects the violation. The package
// is internal, so that other programs cannot disable safeguards.
package safeguards

import "cobaltward/policy"

// Guards is a set of safeguards.
type Guards uint16

// The safeguards that can be disabled.
const (
	SingleAnswer             Guards = 1 << iota // no answered request is answered again
	NoAttemptAfterAnswer                        // no attempt starts for an answered request
	UniqueID                                    // a request ID that is in use, or was recently in use, is rejected
	BackstopAnswer                              // the engine answers before the deadline if the policy has not
	AnswerDeadline                              // an answer is sent early enough to reach the client by the deadline
	DedupWindow                                 // no retry is sent once servers may have forgotten the idempotency key
	NoRejectionAfterRun                         // a request that may have run is not rejected
	NoAttemptAfterDisconnect                    // no attempt starts for a request whose client has disconnected
)

// Policy decides how requests are handled. policy.Balancer is a Policy.
type Policy interface {
	Handle(now policy.Time, ev policy.Event) []policy.Action
	Reconfigure(now policy.Time, set policy.Settings) ([]policy.Action, error)
}

// Overrides modifies an engine for a rehearsal. The zero value modifies nothing.
type Overrides struct {
	Disabled   Guards                                // safeguards that are not enforced
	Settings   func(policy.Settings) policy.Settings // returns the policy's settings; nil: unchanged
	WrapPolicy func(Policy) Policy                   // wraps the policy to alter its events and actions; nil: unchanged
}

// Enforces reports whether a safeguard is enforced.
func (o *Overrides) Enforces(guard Guards) bool { return o.Disabled&guard == 0 }
