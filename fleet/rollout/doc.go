// Package rollout decides which versions of artifacts a process may act on, and when a rollout may introduce the next
// version. It does no I/O and reads no clock: callers pass the time in.
//
// Failures: the package tolerates processes that are stopped, partitioned or restarted with old stored data. It also
// tolerates a consensus group that is unavailable. A process stops acting once its version lease has expired without
// a renewal.
//
// Clocks: while a version lease is valid, no monotonic clock may run more than lease.MaxClockDrift faster or slower
// than another. Under that assumption, processes never act on more than two versions of an artifact at the same time.
//
// Missing answers: a process that got no answer to a request can conclude nothing. The duration of a version lease
// counts from a moment before the request. A late answer therefore shortens the time left to act and never extends
// it.
package rollout

// UnsafeOptions disables safeguards in tests, one for each option, to show that each safeguard is needed. The zero
// value keeps all safeguards.
type UnsafeOptions struct {
	// CountFromResponse makes processes count the duration of a version lease from the response instead of the request.
	CountFromResponse bool
	// GrantAnyVersion grants leases for any version that a process requests. The callers of Allows implement this
	// option.
	GrantAnyVersion bool
	// SkipRetirementDelay clears a retired version at once.
	SkipRetirementDelay bool
}
