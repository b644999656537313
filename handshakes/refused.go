package handshakes

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	firstLook = 500 * time.Millisecond // after a refusal, doubled each time
	mostLook  = 4 * time.Second        // up to this: a server that is mended is back within seconds
	lookPart  = 0.25                   // of that time by which servers are spread, so that they are not all looked at together
	allOver   = time.Second            // in which all are looked at again once what is trusted has changed
	// MostLooks is how many servers are looked at at once.
	MostLooks = 4
	// MostRefused bounds the servers that are kept. One more fails each time by its handshake.
	MostRefused = 10_000
)

// Refusal is why a server gets nothing.
type Refusal struct {
	Server string        `json:"server"`
	Why    string        `json:"why"`
	Since  time.Duration `json:"-"`
	Looks  int           `json:"looks"` // handshakes since, all in vain

	next    time.Duration
	looking bool
}

// Refused keeps the servers that could not prove who they are. Requests do not go near them; each is looked at again
// on a schedule of its own, by a handshake without a request. It isn't safe for concurrent use.
type Refused struct {
	all     map[string]*Refusal
	looking int
}

// NewRefused returns one without servers.
func NewRefused() *Refused { return &Refused{all: make(map[string]*Refusal)} }

// Is tells whether a server is refused, and why.
func (r *Refused) Is(server string) (why string, refused bool) {
	if x := r.all[server]; x != nil {
		return x.Why, true
	}
	return "", false
}

// Fail notes that a server could not prove who it is; first tells that it got requests until now.
func (r *Refused) Fail(now time.Duration, server, why string) (first bool) {
	x := r.all[server]
	if x == nil {
		if len(r.all) >= MostRefused {
			return false
		}
		x = &Refusal{Server: server, Since: now}
		r.all[server] = x
		first = true
	} else if x.looking {
		x.Looks++
	}
	r.looked(x)
	x.Why = why
	if first || now >= x.next { // who failed meanwhile was on its way already: that puts nothing off
		x.next = now + spread(server, min(mostLook, firstLook<<min(x.Looks, 16)))
	}
	return first
}

// looked ends a look, if one goes on.
func (r *Refused) looked(x *Refusal) {
	if x.looking {
		x.looking = false
		r.looking--
	}
}

// Proved notes that a server has proved who it is; back tells that it was refused until now.
func (r *Refused) Proved(server string) (back bool) {
	x := r.all[server]
	if x == nil {
		return false
	}
	r.looked(x)
	delete(r.all, server)
	return true
}

// Unknown ends a look that came to nothing: there was no answer, or no room to ask.
func (r *Refused) Unknown(now time.Duration, server string) {
	if x := r.all[server]; x != nil && x.looking {
		r.looked(x)
		x.next = now + spread(server, firstLook)
	}
}

// Forget drops a server that is gone, or another process.
func (r *Refused) Forget(server string) { r.Proved(server) }

// Again has all be looked at anew, spread over a while: what is trusted has changed.
func (r *Refused) Again(now time.Duration) {
	for _, x := range r.all {
		x.Looks = 0
		x.next = min(x.next, now+spread(x.Server, allOver)-allOver/2)
	}
}

// Due begins the looks that are due, the longest overdue in front, as many as there is room for.
func (r *Refused) Due(now time.Duration) (servers []string) {
	if r.looking >= MostLooks {
		return nil
	}
	var due []*Refusal
	for _, x := range r.all {
		if !x.looking && now >= x.next {
			due = append(due, x)
		}
	}
	slices.SortFunc(due, func(a, b *Refusal) int { return cmp.Or(cmp.Compare(a.next, b.next), cmp.Compare(a.Server, b.Server)) })
	for _, x := range due[:min(len(due), MostLooks-r.looking)] {
		x.looking = true
		r.looking++
		servers = append(servers, x.Server)
	}
	return servers
}

// List is all refusals by server.
func (r *Refused) List() []Refusal {
	list := make([]Refusal, 0, len(r.all))
	for _, x := range r.all {
		list = append(list, *x)
	}
	slices.SortFunc(list, func(a, b Refusal) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// part is a server's place in a spread: 0 to 1, the same at every time and another for each.
func part(server string) float64 {
	h := fnv.New32a()
	h.Write([]byte(server))
	return float64(h.Sum32()) / (1 << 32)
}

func spread(server string, d time.Duration) time.Duration {
	return d + time.Duration(lookPart*(2*part(server)-1)*float64(d))
}
