// Package rollout decides which version of an artifact a process may act on, and when a rollout may put the next one
// into force. It does no I/O and reads no clock: callers pass the time in.
//
// Failures: the package tolerates processes that are stopped, cut off, or started on an old disk, and a consensus
// group that is unavailable. A process whose version lease is not renewed stops acting once it has expired.
//
// Clocks: while a version lease is valid, no monotonic clock may run more than lease.MaxClockDrift faster or slower
// than another. Then at no time do processes act on more than two versions of an artifact.
//
// Missing answers: a process that got no answer to a request can conclude nothing. A version lease counts from
// before it was asked for, so an answer that arrives late is worth less, never more.
package rollout

// UnsafeOptions remove safeguards, one each, so that tests can show that each safeguard is needed. The zero value
// keeps them all.
type UnsafeOptions struct {
	// CountFromResponse has processes count a version lease from the answer, and not from the request.
	CountFromResponse bool
	// GrantAnyVersion has leases granted for whatever version a process asks for. Callers of Allows implement it.
	GrantAnyVersion bool
	// SkipRetirementDelay has a retired version cleared at once.
	SkipRetirementDelay bool
}
