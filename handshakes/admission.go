package handshakes

import "time"

const (
	// maxActiveClients limits the client handshakes that compete for the CPU at the same time.
	maxActiveClients = 4
	// maxWaitingFraction limits the handshakes that wait for their client, as a fraction of the maximum of client
	// connections.
	maxWaitingFraction = 0.25
	// SilentAfter is the time without a reply after which a client counts as distant or silent.
	SilentAfter = 20 * time.Millisecond
)

// AdmitClient reports whether another client connection may be accepted. active is the number of handshakes that
// compete for the CPU, waiting the number of those that wait for their client, and maxConns the maximum of client
// connections. Since the two are limited separately, distant and stalled clients delay no others until there are many
// of them. Clients that are not admitted stay in the accept queue. crowded reports that the connection would be
// accepted if fewer handshakes were waiting.
func AdmitClient(active, waiting, maxConns int) (admit, crowded bool) {
	maxWaiting := max(maxActiveClients, int(maxWaitingFraction*float64(maxConns)))
	hasCPU := active < maxActiveClients
	crowded = hasCPU && waiting >= maxWaiting
	return hasCPU && !crowded, crowded
}
