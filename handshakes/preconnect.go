package handshakes

import (
	"cmp"
	"slices"
	"time"
)

const (
	recentUseWindow = 10 * time.Second // a server with a request in this time is expected to get another one
	// replacementWindow is the time over which connections that presented an old certificate of this node are
	// replaced after a certificate change, so that they are not all reopened at once. Replacing them is not urgent,
	// since servers still accept them.
	replacementWindow = 30 * time.Second
	maxPreconnects    = 4   // connections that one call of PreconnectTargets may start
	maxOpenFraction   = 0.5 // fraction of the connection limit beyond which none are opened ahead of requests
)

// PoolState is the state of a transport's connection pool for one server.
type PoolState struct {
	Server      string
	Idle        int           // connections that could take a request now
	LastUsed    time.Duration // time of the last request
	EverUsed    bool          // the server has received a request, so LastUsed is valid
	Unavailable bool          // the server is draining or untrusted
	Connecting  int           // connections that are being opened ahead of requests
}

// PreconnectTargets returns the servers to which a connection should be opened ahead of requests: those that were
// used recently and have no idle connection, the most recently used first. open is the number of the transport's open
// connections, maxConns their maximum.
func PreconnectTargets(now time.Duration, pools []PoolState, open, maxConns int) (servers []string) {
	slots := min(maxPreconnects, int(maxOpenFraction*float64(maxConns))-open)
	if slots <= 0 {
		return nil
	}
	var candidates []PoolState
	for _, pool := range pools {
		isReady := pool.Idle > 0 || pool.Connecting > 0
		isExpected := pool.EverUsed && !pool.Unavailable && now-pool.LastUsed < recentUseWindow
		if isExpected && !isReady {
			candidates = append(candidates, pool)
		}
	}
	slices.SortFunc(candidates, func(a, b PoolState) int {
		return cmp.Or(cmp.Compare(b.LastUsed, a.LastUsed), cmp.Compare(a.Server, b.Server))
	})
	for _, pool := range candidates[:min(slots, len(candidates))] {
		servers = append(servers, pool.Server)
	}
	return servers
}

// ShouldReplace reports whether a connection to a server should be replaced by now. sinceChange is the time since the
// certificate that this node presented on the connection was replaced. Each server has its own fixed point in time
// within replacementWindow, derived from its hash.
func ShouldReplace(server string, sinceChange time.Duration) bool {
	return sinceChange >= time.Duration(hashFraction(server)*float64(replacementWindow))
}
