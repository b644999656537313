package handshakes

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	initialBackoff = 500 * time.Millisecond // backoff before the first recheck; doubled after each failed recheck
	maxBackoff     = 4 * time.Second
	jitterFraction = 0.25 // maximum deviation of a backoff, as a fraction; spreads the rechecks
	// After a change of the trust store, the rechecks of all servers are due within recheckAllWithin.
	recheckAllWithin = time.Second
	maxBackoffShift  = 16 // maximum number of doublings; prevents an overflow
	// MaxConcurrentRechecks is the maximum number of rechecks that run at once.
	MaxConcurrentRechecks = 4
	// MaxUntrustedServers is the maximum number of servers in an UntrustedBackoff. Further untrusted servers are not
	// recorded, so each attempt at such a server fails in its own handshake.
	MaxUntrustedServers = 10_000
)

// UntrustedServer is a server that failed verification. It gets no requests.
type UntrustedServer struct {
	Server   string        `json:"server"`
	Reason   string        `json:"why"`
	Since    time.Duration `json:"-"`
	Rechecks int           `json:"looks"` // number of failed rechecks since time Since, or since the last RecheckAll

	nextRecheck time.Duration
	rechecking  bool
}

// UntrustedBackoff holds the servers that failed verification. These servers get no requests. Each server is
// rechecked by a handshake without a request, with an exponential backoff. UntrustedBackoff is not safe for
// concurrent use.
type UntrustedBackoff struct {
	servers    map[string]*UntrustedServer
	rechecking int // number of running rechecks
}

// NewUntrustedBackoff returns an UntrustedBackoff without servers.
func NewUntrustedBackoff() *UntrustedBackoff {
	return &UntrustedBackoff{servers: make(map[string]*UntrustedServer)}
}

// Reason reports whether server is untrusted, and the reason.
func (b *UntrustedBackoff) Reason(server string) (reason string, untrusted bool) {
	if entry := b.servers[server]; entry != nil {
		return entry.Reason, true
	}
	return "", false
}

// RecordFailure records that server failed verification. It reports whether server is newly recorded as untrusted. It
// returns false for a server beyond MaxUntrustedServers.
func (b *UntrustedBackoff) RecordFailure(now time.Duration, server, reason string) (first bool) {
	entry := b.servers[server]
	if entry == nil {
		if len(b.servers) >= MaxUntrustedServers {
			return false
		}
		entry = &UntrustedServer{Server: server, Since: now}
		b.servers[server] = entry
		first = true
	} else if entry.rechecking {
		entry.Rechecks++
	}
	b.endRecheck(entry)
	entry.Reason = reason
	// Handshakes that were already running when the server became untrusted do not postpone the recheck of the
	// server.
	if first || now >= entry.nextRecheck {
		backoff := min(maxBackoff, initialBackoff<<min(entry.Rechecks, maxBackoffShift))
		entry.nextRecheck = now + withJitter(server, backoff)
	}
	return first
}

// endRecheck ends the running recheck of a server, if any.
func (b *UntrustedBackoff) endRecheck(entry *UntrustedServer) {
	if entry.rechecking {
		entry.rechecking = false
		b.rechecking--
	}
}

// RecordSuccess records that server passed verification. It reports whether server was recorded as untrusted.
func (b *UntrustedBackoff) RecordSuccess(server string) (recovered bool) {
	entry := b.servers[server]
	if entry == nil {
		return false
	}
	b.endRecheck(entry)
	delete(b.servers, server)
	return true
}

// RecordInconclusive ends a recheck without a result. It is called if the server did not answer, or the handshake was
// not admitted.
func (b *UntrustedBackoff) RecordInconclusive(now time.Duration, server string) {
	if entry := b.servers[server]; entry != nil && entry.rechecking {
		b.endRecheck(entry)
		entry.nextRecheck = now + withJitter(server, initialBackoff)
	}
}

// Forget removes server without a result. It is called after the server was removed from the endpoint list or has
// restarted.
func (b *UntrustedBackoff) Forget(server string) { b.RecordSuccess(server) }

// RecheckAll resets the backoff of all servers and spreads their rechecks over a short time. It is called after a
// change of the trust store.
func (b *UntrustedBackoff) RecheckAll(now time.Duration) {
	for _, entry := range b.servers {
		entry.Rechecks = 0
		recheckAt := now + withJitter(entry.Server, recheckAllWithin) - recheckAllWithin/2
		entry.nextRecheck = min(entry.nextRecheck, recheckAt)
	}
}

// StartDue marks the rechecks that are due as running and returns their servers, the longest overdue first. At most
// MaxConcurrentRechecks run at once. The caller must end each recheck with RecordFailure, RecordSuccess,
// RecordInconclusive or Forget.
func (b *UntrustedBackoff) StartDue(now time.Duration) (servers []string) {
	if b.rechecking >= MaxConcurrentRechecks {
		return nil
	}
	var due []*UntrustedServer
	for _, entry := range b.servers {
		if !entry.rechecking && now >= entry.nextRecheck {
			due = append(due, entry)
		}
	}
	slices.SortFunc(due, func(a, b *UntrustedServer) int {
		return cmp.Or(cmp.Compare(a.nextRecheck, b.nextRecheck), cmp.Compare(a.Server, b.Server))
	})
	slots := MaxConcurrentRechecks - b.rechecking
	for _, entry := range due[:min(len(due), slots)] {
		entry.rechecking = true
		b.rechecking++
		servers = append(servers, entry.Server)
	}
	return servers
}

// List returns all untrusted servers, sorted by name.
func (b *UntrustedBackoff) List() []UntrustedServer {
	list := make([]UntrustedServer, 0, len(b.servers))
	for _, entry := range b.servers {
		list = append(list, *entry)
	}
	slices.SortFunc(list, func(a, b UntrustedServer) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// hashFraction maps the name of a server to a fixed value in [0, 1) by a hash.
func hashFraction(server string) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(server))
	return float64(hash.Sum32()) / (1 << 32)
}

// withJitter returns d, lengthened or shortened by up to jitterFraction. The amount depends on a hash of server.
func withJitter(server string, d time.Duration) time.Duration {
	return d + time.Duration(jitterFraction*(2*hashFraction(server)-1)*float64(d))
}
