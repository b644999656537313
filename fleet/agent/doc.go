// Package agent implements the agent, a process that runs beside a node and connects the node to the fleet. An agent
// follows the state of the consensus group and disables servers at its node. It carries out the actions (effects) that
// lease holders request, such as draining the node. It may hold leases itself.
//
// Failures: while the consensus group is unavailable, an agent continues with the last known state. An agent may
// crash at any time: before it acts, it stores the state that it needs after a restart.
//
// Clocks: an agent relies on its monotonic clock for its leases, as package lease describes. It relies on its wall
// clock for the end of disable orders.
//
// Missing responses: after a proposal without a response, an agent assumes nothing about the outcome. It proposes the
// entry again, because applying the same entry twice is harmless.
package agent
