package handshakes

import (
	"cmp"
	"slices"
	"time"
)

const (
	recentUse = 10 * time.Second // a server with a request within it is expected to get another
	// replacementWindow is the time over which connections that presented a replaced certificate of this node are
	// replaced, so that they are not all opened anew at once. Replacing them is not urgent, since servers accept them.
	replacementWindow = 30 * time.Second
	maxPreconnects    = 4   // connections started by one call of PreconnectTargets
	maxOpenFraction   = 0.5 // of the maximum of open connections; none is opened ahead of requests beyond it
)

// PoolState is the state of a transport's connection pool for one server.
type PoolState struct {
	Server      string
	Idle        int           // connections that could take a request now
	LastUsed    time.Duration // time of the last request
	EverUsed    bool          // it has got a request
	Unavailable bool          // the server is draining or untrusted
	Connecting  int           // connections that are being opened ahead of requests
}

// PreconnectTargets returns the servers to which a connection is to be opened ahead of requests: those used recently
// that have no idle connection, the last used first. open and maxConns are the transport's open connections and their
// maximum.
func PreconnectTargets(now time.Duration, pools []PoolState, open, maxConns int) (servers []string) {
	slots := min(maxPreconnects, int(maxOpenFraction*float64(maxConns))-open)
	if slots <= 0 {
		return nil
	}
	var candidates []PoolState
	for _, pool := range pools {
		isReady := pool.Idle > 0 || pool.Connecting > 0
		isExpected := pool.EverUsed && !pool.Unavailable && now-pool.LastUsed < recentUse
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

// ShouldReplace reports whether a connection to a server is to be replaced, given the time since the certificate that
// this node presented on it was replaced. Each server has its own moment within the replacement window.
func ShouldReplace(server string, sinceChange time.Duration) bool {
	return sinceChange >= time.Duration(hashFraction(server)*float64(replacementWindow))
}
