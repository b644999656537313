package handshakes

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	initialBackoff = 500 * time.Millisecond // after a refusal, doubled each time
	maxBackoff  = 4 * time.Second        // up to this: a server that is mended is back within seconds
	jitterFraction  = 0.25                   // of that time by which servers are spread, so that they are not all looked at together
	recheckAllWithin   = time.Second            // in which all are looked at again once what is trusted has changed
	// MaxConcurrentRechecks is how many servers are looked at at once.
	MaxConcurrentRechecks = 4
	// MaxUntrustedServers bounds the servers that are kept. One more fails each time by its handshake.
	MaxUntrustedServers = 10_000
)

// UntrustedServer is why a server gets nothing.
type UntrustedServer struct {
	Server string        `json:"server"`
	Reason    string        `json:"why"`
	Since  time.Duration `json:"-"`
	Rechecks  int           `json:"looks"` // handshakes since, all in vain

	nextRecheck    time.Duration
	rechecking bool
}

// UntrustedBackoff keeps the servers that could not prove who they are. Requests do not go near them; each is looked at again
// on a schedule of its own, by a handshake without a request. It isn't safe for concurrent use.
type UntrustedBackoff struct {
	servers     map[string]*UntrustedServer
	rechecking int
}

// NewUntrustedBackoff returns one without servers.
func NewUntrustedBackoff() *UntrustedBackoff { return &UntrustedBackoff{servers: make(map[string]*UntrustedServer)} }

// Reason tells whether a server is refused, and why.
func (r *UntrustedBackoff) Reason(server string) (why string, refused bool) {
	if x := r.servers[server]; x != nil {
		return x.Reason, true
	}
	return "", false
}

// RecordFailure notes that a server could not prove who it is; first tells that it got requests until now.
func (r *UntrustedBackoff) RecordFailure(now time.Duration, server, why string) (first bool) {
	x := r.servers[server]
	if x == nil {
		if len(r.servers) >= MaxUntrustedServers {
			return false
		}
		x = &UntrustedServer{Server: server, Since: now}
		r.servers[server] = x
		first = true
	} else if x.rechecking {
		x.Rechecks++
	}
	r.endRecheck(x)
	x.Reason = why
	if first || now >= x.nextRecheck { // who failed meanwhile was on its way already: that puts nothing off
		x.nextRecheck = now + withJitter(server, min(maxBackoff, initialBackoff<<min(x.Rechecks, 16)))
	}
	return first
}

// endRecheck ends a look, if one goes on.
func (r *UntrustedBackoff) endRecheck(x *UntrustedServer) {
	if x.rechecking {
		x.rechecking = false
		r.rechecking--
	}
}

// RecordSuccess notes that a server has proved who it is; back tells that it was refused until now.
func (r *UntrustedBackoff) RecordSuccess(server string) (back bool) {
	x := r.servers[server]
	if x == nil {
		return false
	}
	r.endRecheck(x)
	delete(r.servers, server)
	return true
}

// RecordInconclusive ends a look that came to nothing: there was no answer, or no room to ask.
func (r *UntrustedBackoff) RecordInconclusive(now time.Duration, server string) {
	if x := r.servers[server]; x != nil && x.rechecking {
		r.endRecheck(x)
		x.nextRecheck = now + withJitter(server, initialBackoff)
	}
}

// Forget drops a server that is gone, or another process.
func (r *UntrustedBackoff) Forget(server string) { r.RecordSuccess(server) }

// RecheckAll has all be looked at anew, spread over a while: what is trusted has changed.
func (r *UntrustedBackoff) RecheckAll(now time.Duration) {
	for _, x := range r.servers {
		x.Rechecks = 0
		x.nextRecheck = min(x.nextRecheck, now+withJitter(x.Server, recheckAllWithin)-recheckAllWithin/2)
	}
}

// StartDue begins the looks that are due, the longest overdue in front, as many as there is room for.
func (r *UntrustedBackoff) StartDue(now time.Duration) (servers []string) {
	if r.rechecking >= MaxConcurrentRechecks {
		return nil
	}
	var due []*UntrustedServer
	for _, x := range r.servers {
		if !x.rechecking && now >= x.nextRecheck {
			due = append(due, x)
		}
	}
	slices.SortFunc(due, func(a, b *UntrustedServer) int { return cmp.Or(cmp.Compare(a.nextRecheck, b.nextRecheck), cmp.Compare(a.Server, b.Server)) })
	for _, x := range due[:min(len(due), MaxConcurrentRechecks-r.rechecking)] {
		x.rechecking = true
		r.rechecking++
		servers = append(servers, x.Server)
	}
	return servers
}

// List is all refusals by server.
func (r *UntrustedBackoff) List() []UntrustedServer {
	list := make([]UntrustedServer, 0, len(r.servers))
	for _, x := range r.servers {
		list = append(list, *x)
	}
	slices.SortFunc(list, func(a, b UntrustedServer) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// hashFraction is a server's place in a spread: 0 to 1, the same at every time and another for each.
func hashFraction(server string) float64 {
	h := fnv.New32a()
	h.Write([]byte(server))
	return float64(h.Sum32()) / (1 << 32)
}

func withJitter(server string, d time.Duration) time.Duration {
	return d + time.Duration(jitterFraction*(2*hashFraction(server)-1)*float64(d))
}
