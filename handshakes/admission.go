package handshakes

import "time"

const (
	// maxActiveClients is the maximum number of client handshakes that compete for the CPU at the same time.
	maxActiveClients = 4
	// maxWaitingFraction is the maximum number of handshakes that wait for their client, as a fraction of the maximum
	// number of client connections.
	maxWaitingFraction = 0.25
	// SilentAfter is the time without a reply after which a client counts as distant or silent.
	SilentAfter = 20 * time.Millisecond
)

// AdmitClient reports whether another client connection may be accepted. active is the number of handshakes that
// compete for the CPU. waiting is the number of handshakes that wait for their client. maxConns is the maximum number
// of client connections. active and waiting are limited separately, so distant and stalled clients delay other
// clients only when there are many of them. Clients that are not admitted stay in the accept queue. crowded reports
// whether the connection was not admitted only because too many handshakes are waiting.
func AdmitClient(active, waiting, maxConns int) (admit, crowded bool) {
	maxWaiting := max(maxActiveClients, int(maxWaitingFraction*float64(maxConns)))
	hasCPU := active < maxActiveClients
	crowded = hasCPU && waiting >= maxWaiting
	return hasCPU && !crowded, crowded
}
