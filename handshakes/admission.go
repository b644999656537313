package handshakes

import "time"

const (
	// maxActiveClients bounds the handshakes of clients that compete for the CPU.
	maxActiveClients = 4
	// maxWaitingFraction is the fraction of the client connections that handshakes waiting for their client may hold.
	maxWaitingFraction = 0.25
	// SilentAfter is the time without an answer after which a client counts as distant or silent.
	SilentAfter = 20 * time.Millisecond
)

// AdmitClient reports whether another client connection is accepted beside active handshakes, which compete for the
// CPU, and waiting ones, which wait for their client, of maxConns connections. Distant and stalled clients thus block
// nobody until there are many of them; further clients stay in the accept queue. crowded reports that a connection
// would be accepted if there were fewer waiting handshakes.
func AdmitClient(active, waiting, maxConns int) (admit, crowded bool) {
	maxWaiting := max(maxActiveClients, int(maxWaitingFraction*float64(maxConns)))
	hasCPU := active < maxActiveClients
	crowded = hasCPU && waiting >= maxWaiting
	return hasCPU && !crowded, crowded
}
