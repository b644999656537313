package handshakes

import (
	"cmp"
	"slices"
	"time"
)

const (
	recentUseWindow = 10 * time.Second // maximum time since the last request to a server that is expected to get another
	// replacementWindow is the time after a certificate change in which connections that presented the old certificate
	// of this node are replaced. Spreading the replacements avoids reopening all connections at once. The replacement
	// is not urgent, because servers still accept these connections.
	replacementWindow = 30 * time.Second
	maxPreconnects    = 4   // maximum number of connections that one call of PreconnectTargets may start
	maxOpenFraction   = 0.5 // maximum open connections for a preconnect, as a fraction of their limit
)

// PoolState is the state of a transport's connection pool for one server.
type PoolState struct {
	Server      string
	Idle        int           // number of connections that could take a request now
	LastUsed    time.Duration // time of the last request
	EverUsed    bool          // whether the server has received a request; if false, LastUsed is not valid
	Unavailable bool          // whether the server is draining or untrusted
	Connecting  int           // number of preconnects in progress
}

// PreconnectTargets returns the servers to which a connection should be opened ahead of requests. These servers are
// available, were used recently, and have neither an idle connection nor a preconnect in progress. The most recently
// used server comes first. open is the number of open connections of the transport, and maxConns is their maximum.
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

// ShouldReplace reports whether it is time to replace a connection to server that presented the former certificate of
// this node. sinceChange is the time since the certificate change. For each server, the replacement is due at a fixed
// time within replacementWindow, derived from a hash of the server's name.
func ShouldReplace(server string, sinceChange time.Duration) bool {
	return sinceChange >= time.Duration(hashFraction(server)*float64(replacementWindow))
}
