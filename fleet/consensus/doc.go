// Package consensus runs the replicas that agree on the log of a fleet, by raft.
//
// Failures: the package tolerates the loss of less than half of the replicas, in any way but one: storage that
// forgets data reported as synced. No cluster is created by itself; ForceNewCluster is an operator's decision.
//
// Clocks: none is trusted for the agreed state. For the expiry of leases the leader's monotonic clock is trusted by
// lease.MaxClockDrift.
//
// Missing answers: a client whose proposal got no answer can conclude nothing. The entry may be in the log, or come
// into it later.
//
// A Core is one replica as a state machine, without I/O. A Replica runs a Core on its Storage and its links.
package consensus
