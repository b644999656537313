// Package abusetest contains only tests. They run a node as a separate process at the resource limits of its
// configuration, with one core, while some clients and servers misbehave. The tests check the node's peak memory, and
// what other clients and the servers observed. In CI other tests share the host; by hand, -abuse.pinned, -abuse.clients
// and the other flags make the plays harder.
package abusetest
