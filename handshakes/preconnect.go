package handshakes

import (
	"cmp"
	"slices"
	"time"
)

const (
	recentUse = 10 * time.Second // a server that had a request within it will have the next
	// replacementWindow is the time over which connections that showed a former certificate of ours are given up, so that not
	// all of them are made anew at once. Nothing is wrong with them: the servers took them.
	replacementWindow = 30 * time.Second
	maxPreconnects  = 4   // connections begun in one go
	maxOpenFraction  = 0.5 // of the connections that may be open: beyond it, none is made ahead
)

// PoolState is what a transport holds for one server.
type PoolState struct {
	Server  string
	Idle    int           // connections that could take a request now
	LastUsed    time.Duration // when it last had a request
	Used   bool          // it ever had one
	Unavailable  bool          // it drains, or is refused
	Connecting int           // connections that are being made
}

// PreconnectTargets names the servers to which a connection is to be made ahead: those that lately had requests and have none idle,
// the last used in front. open and most are the transport's connections in all.
func PreconnectTargets(now time.Duration, pools []PoolState, open, most int) (servers []string) {
	room := min(maxPreconnects, int(maxOpenFraction*float64(most))-open)
	if room <= 0 {
		return nil
	}
	var want []PoolState
	for _, p := range pools {
		if p.Used && !p.Unavailable && p.Idle == 0 && p.Connecting == 0 && now-p.LastUsed < recentUse {
			want = append(want, p)
		}
	}
	slices.SortFunc(want, func(a, b PoolState) int { return cmp.Or(cmp.Compare(b.LastUsed, a.LastUsed), cmp.Compare(a.Server, b.Server)) })
	for _, p := range want[:min(room, len(want))] {
		servers = append(servers, p.Server)
	}
	return servers
}

// ShouldReplace tells whether a connection to a server is to be given up that showed a certificate of ours which was replaced
// so long ago: each server has a moment of its own.
func ShouldReplace(server string, since time.Duration) bool {
	return since >= time.Duration(hashFraction(server)*float64(replacementWindow))
}
