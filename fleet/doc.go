// Package fleet is the replicated state machine of a fleet. Its state has the leases, jobs, versions and disable
// orders on which the processes of the fleet agree. The package applies the entries of a replicated log to the state.
// It does no I/O and reads no clock, so every process that has applied the same entries has the same state.
//
// Failures: the package tolerates whatever the log tolerates. The log alone decides which entries exist and in which
// order (see package consensus).
//
// Clocks: none is trusted. The expiry of a lease is itself an entry. A process proposes the entry after it has waited
// until the lease has expired for certain (see package lease).
//
// Missing answers: a client that got no answer to a proposal can conclude nothing. The entry may be applied later or
// never. An entry of any kind is therefore harmless when it is applied twice or late.
package fleet
