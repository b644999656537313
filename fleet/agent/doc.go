// Package agent is the process beside a node that connects it to the fleet. It follows the state that the consensus
// group agrees on, disables servers at its node, carries out the effects that holders of leases ask for, and may hold
// leases itself.
//
// Failures: an agent tolerates a consensus group that is unavailable: it continues with the last state it knows. It
// tolerates its own death: the state that it must remember is stored before it acts.
//
// Clocks: its own monotonic clock is trusted for its leases, as package lease says, and its wall clock for the end of
// disable orders.
//
// Missing answers: from a proposal without an answer an agent concludes nothing. It proposes again, which is harmless
// twice.
package agent
