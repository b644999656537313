// Package consensus runs the replicas that agree on the log of a fleet, using raft.
//
// Failures: the package tolerates the loss of less than half of the replicas, whatever the cause. It does not
// tolerate storage that loses data reported as synced. No cluster is created automatically: only an operator forces a
// new cluster (see ForceNewCluster).
//
// Clocks: none is trusted for the agreed state. For the expiry of leases, the monotonic clock of the leader is
// trusted to drift by at most lease.MaxClockDrift.
//
// Missing answers: a client whose proposal got no answer can conclude nothing. The entry may be in the log, or may be
// added to the log later.
//
// A Core is one replica as a state machine, without I/O. A Replica runs a Core with its Storage and its network
// transport.
package consensus
