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
	// silentClientTimeout is the minimum age at which a connection may be ended without a byte of its handshake.
	silentClientTimeout = 250 * time.Millisecond
	// stalledClientTimeout is the minimum time for which a handshake has waited for its client before it may be ended.
	stalledClientTimeout = time.Second
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

// IsClientLate reports whether a handshake that is waiting for its client may be ended in favor of another client.
// silent reports whether the client has sent nothing. age is the time since its connection was accepted. waited is the
// total time for which the handshake has waited for the client. The time that the server itself takes does not make a
// client late.
func IsClientLate(silent bool, age, waited time.Duration) bool {
	if silent {
		return age > silentClientTimeout
	}
	return waited > stalledClientTimeout
}
