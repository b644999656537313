package handshakes

import (
	"cmp"
	"slices"
	"time"
)

const (
	wantedFor = 10 * time.Second // a server that had a request within it will have the next
	// renewOver is the time over which connections that showed a former certificate of ours are given up, so that not
	// all of them are made anew at once. Nothing is wrong with them: the servers took them.
	renewOver = 30 * time.Second
	mostWarm  = 4   // connections begun in one go
	roomPart  = 0.5 // of the connections that may be open: beyond it, none is made ahead
)

// Pooled is what a transport holds for one server.
type Pooled struct {
	Server  string
	Idle    int           // connections that could take a request now
	Last    time.Duration // when it last had a request
	Asked   bool          // it ever had one
	Closed  bool          // it drains, or is refused
	Opening int           // connections that are being made
}

// Warm names the servers to which a connection is to be made ahead: those that lately had requests and have none idle,
// the last used in front. open and most are the transport's connections in all.
func Warm(now time.Duration, pools []Pooled, open, most int) (servers []string) {
	room := min(mostWarm, int(roomPart*float64(most))-open)
	if room <= 0 {
		return nil
	}
	var want []Pooled
	for _, p := range pools {
		if p.Asked && !p.Closed && p.Idle == 0 && p.Opening == 0 && now-p.Last < wantedFor {
			want = append(want, p)
		}
	}
	slices.SortFunc(want, func(a, b Pooled) int { return cmp.Or(cmp.Compare(b.Last, a.Last), cmp.Compare(a.Server, b.Server)) })
	for _, p := range want[:min(room, len(want))] {
		servers = append(servers, p.Server)
	}
	return servers
}

// Renew tells whether a connection to a server is to be given up that showed a certificate of ours which was replaced
// so long ago: each server has a moment of its own.
func Renew(server string, since time.Duration) bool {
	return since >= time.Duration(part(server)*float64(renewOver))
}
