// Package fleet is the replicated state machine of a fleet: the leases, jobs, versions and disable orders on which
// its processes agree. It applies the entries of a replicated log to a state. The package does no I/O and reads no
// clock, so every process that has applied the same entries has the same state.
//
// Failures: the package tolerates whatever the log tolerates, since the log alone decides which entries exist and in
// which order (see package consensus).
//
// Clocks: none is trusted. The expiry of a lease is itself an entry, proposed by a process that has waited until the
// lease has expired for certain (see package lease).
//
// Missing answers: a client that got no answer to a proposal can conclude nothing. The entry may be applied later or
// never, so every kind of entry is harmless when it is applied twice or late.
package fleet
