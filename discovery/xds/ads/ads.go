// Package ads is the client's side of Envoy's Aggregated Discovery Service as a state machine: what
// comes from the control plane goes in, requests come out, and what is held can be asked for at any
// time. It does no I/O, knows no clock and reads no bytes.
//
// Sources: the xDS protocol page of Envoy's documentation ("xDS REST and gRPC protocol"), for both the
// state-of-the-world and the incremental variant.
package ads

import (
	"maps"
	"slices"
	"time"

	"cobaltward/discovery/xds/resource"
)

// Type is a type of resources.
type Type uint8

// The types that a router subscribes to, in the order in which a control plane should send them.
const (
	Clusters Type = iota
	Endpoints
	Secrets // certificates and authorities, by the names that the operator gives
	types
)

// Variant is a form of the protocol.
type Variant uint8

// The variants.
const (
	SotW Variant = iota
	Delta
)

// Resource is one resource of a response as it was read.
type Resource struct {
	Name    string
	Version string        // Delta
	TTL     time.Duration // 0: it does not expire
	// Value is a *resource.Cluster, a *resource.Assignment or a *keys.Set; nil for a heartbeat, which only renews the
	// TTL, and for one that could not be read.
	Value any
	Err   error // why it was refused
}

// Response is one response.
type Response struct {
	Type      Type
	Version   string // SotW
	Nonce     string
	Resources []Resource
	Removed   []string // Delta
	Err       error    // why none of it could be read
}

// Request is one request that is to be sent.
type Request struct {
	Type    Type
	Node    bool   // the first of a stream, which says who asks
	Version string // SotW: last accepted
	Nonce   string // of the response that it answers; "" where it answers none
	Error   string // a NACK, with its reason
	Names   []string
	// Delta only. Names is then empty.
	Subscribe, Unsubscribe []string
	Initial                map[string]string // versions held, by name
}

// held is a resource that was accepted.
type held struct {
	version string
	value   any
	expires time.Time // zero: never
}

// subscription is what the machine knows of one type.
type subscription struct {
	version string // SotW: last accepted
	nonce   string // of the last response on this stream
	asked   bool   // on this stream
	names   []string
	held    map[string]held
	absent  map[string]bool   // named, and known not to exist
	refused map[string]string // reasons, by name; until it is accepted or gone
	failure string            // why the last response was refused as a whole, or in part
	updated time.Time
}

// Machine is the state of one subscription to a control plane. It isn't safe for concurrent use.
type Machine struct {
	variant Variant
	open    bool // a stream is there
	first   bool // nothing was sent on it yet
	subs    [types]subscription
	applied map[string]Applied
}

// Applied is a cluster as it is in force.
type Applied struct {
	Cluster    *resource.Cluster
	Assignment *resource.Assignment // nil while it has never come
	Warming    bool                 // what the newest cluster wants has not come yet; what was before serves
	Leaving    bool                 // it is in the newest list no more, and serves until that list is whole
}

// New returns a machine that holds nothing, and will ask for these secrets.
func New(v Variant, secrets ...string) *Machine {
	m := &Machine{variant: v, applied: make(map[string]Applied)}
	for t := range m.subs {
		m.subs[t] = subscription{held: make(map[string]held), absent: make(map[string]bool), refused: make(map[string]string)}
	}
	m.subs[Secrets].names = slices.Sorted(slices.Values(secrets))
	return m
}

// Connected says that a stream is open, and returns what is to be sent on it first.
func (m *Machine) Connected() []Request {
	m.open, m.first = true, true
	for t := range m.subs {
		m.subs[t].nonce, m.subs[t].asked = "", false
	}
	out := []Request{m.ask(Clusters)}
	if len(m.subs[Endpoints].names) > 0 {
		out = append(out, m.ask(Endpoints))
	}
	if len(m.subs[Secrets].names) > 0 {
		out = append(out, m.ask(Secrets))
	}
	return out
}

// Disconnected says that the stream is gone. What is held stays.
func (m *Machine) Disconnected() { m.open = false }

// ask is the first request of a type on a stream.
func (m *Machine) ask(t Type) Request {
	s := &m.subs[t]
	s.asked = true
	r := Request{Type: t, Node: m.first}
	m.first = false
	if m.variant == SotW {
		r.Version, r.Names = s.version, slices.Clone(s.names)
		return r
	}
	r.Subscribe = slices.Clone(s.names)
	if len(s.held) > 0 {
		r.Initial = make(map[string]string, len(s.held))
		for name, h := range s.held {
			r.Initial[name] = h.version
		}
	}
	return r
}

// Handle takes a response in at a time, and returns the requests that answer it. What it brought is in
// force when Handle returns.
func (m *Machine) Handle(now time.Time, r Response) []Request {
	if !m.open || r.Type >= types {
		return nil
	}
	s := &m.subs[r.Type]
	if !s.asked {
		return nil // nobody asked for it on this stream
	}
	s.nonce, s.failure = r.Nonce, ""
	if r.Err != nil {
		s.failure = r.Err.Error()
	} else {
		m.take(now, s, r)
	}
	ack := Request{Type: r.Type, Nonce: r.Nonce, Error: s.failure}
	if m.variant == SotW {
		if s.failure == "" {
			s.version = r.Version
		}
		ack.Version, ack.Names = s.version, slices.Clone(s.names)
	}
	out := []Request{ack}
	if r.Type == Clusters && r.Err == nil {
		out = append(out, m.resubscribe()...)
	}
	m.apply()
	return out
}

// take puts the good resources of a response in force. A bad one keeps what it was before.
func (m *Machine) take(now time.Time, s *subscription, r Response) {
	s.updated = now
	named := make(map[string]bool, len(r.Resources))
	for _, in := range r.Resources {
		named[in.Name] = true
		switch {
		case in.Err != nil:
			s.refused[in.Name] = in.Err.Error()
			if s.failure == "" {
				s.failure = in.Err.Error()
			}
		case in.Value == nil: // a heartbeat
			if h, ok := s.held[in.Name]; ok {
				h.expires = expiry(now, in.TTL)
				s.held[in.Name] = h
			}
		default:
			ttl := in.TTL
			if a, ok := in.Value.(*resource.Assignment); ok && a.StaleAfter > 0 && (ttl <= 0 || a.StaleAfter < ttl) {
				ttl = a.StaleAfter
			}
			s.held[in.Name] = held{in.Version, in.Value, expiry(now, ttl)}
			delete(s.refused, in.Name)
			delete(s.absent, in.Name)
		}
	}
	for _, name := range r.Removed {
		s.forget(name)
		s.absent[name] = r.Type == Endpoints && slices.Contains(s.names, name)
	}
	if m.variant == SotW && r.Type == Clusters { // what the whole list lacks is gone
		for name := range s.held {
			if !named[name] {
				s.forget(name)
			}
		}
		for name := range s.refused {
			if !named[name] {
				delete(s.refused, name)
			}
		}
	}
}

func (s *subscription) forget(name string) {
	delete(s.held, name)
	delete(s.refused, name)
}

func expiry(now time.Time, ttl time.Duration) time.Time {
	if ttl <= 0 {
		return time.Time{}
	}
	return now.Add(ttl)
}

// resubscribe follows the clusters with what is asked of endpoints.
func (m *Machine) resubscribe() []Request {
	s := &m.subs[Endpoints]
	var want []string
	for _, h := range m.subs[Clusters].held {
		if c := h.value.(*resource.Cluster); c.EDS {
			want = append(want, c.Service)
		}
	}
	slices.Sort(want)
	want = slices.Compact(want)
	if slices.Equal(want, s.names) {
		return nil
	}
	old := s.names
	s.names = want
	for _, name := range old {
		if !slices.Contains(want, name) { // what is in force of it stays in m.applied
			s.forget(name)
		}
	}
	maps.DeleteFunc(s.absent, func(name string, _ bool) bool { return !slices.Contains(want, name) })
	if !s.asked {
		return []Request{m.ask(Endpoints)}
	}
	r := Request{Type: Endpoints}
	if m.variant == SotW {
		r.Version, r.Nonce, r.Names = s.version, s.nonce, slices.Clone(want)
		return []Request{r}
	}
	r.Subscribe, r.Unsubscribe = without(want, old), without(old, want)
	return []Request{r}
}

// without returns those of a that are not in b; both are sorted.
func without(a, b []string) (rest []string) {
	for _, name := range a {
		if _, found := slices.BinarySearch(b, name); !found {
			rest = append(rest, name)
		}
	}
	return rest
}

// Tick drops what has outlived its TTL, and reports whether anything changed; next is when to call it
// again, zero for never.
func (m *Machine) Tick(now time.Time) (changed bool, next time.Time) {
	for t := range m.subs {
		s := &m.subs[t]
		for name, h := range s.held {
			switch {
			case h.expires.IsZero():
			case !now.Before(h.expires):
				s.forget(name)
				s.absent[name] = Type(t) == Endpoints
				changed = true
			case next.IsZero() || h.expires.Before(next):
				next = h.expires
			}
		}
	}
	if changed {
		m.apply()
	}
	return changed, next
}

// apply works out what is in force: make before break. A cluster whose endpoints have not come serves
// with those that it had; and while the newest list is not whole, clusters that it lacks go on serving
// where without them nobody would.
func (m *Machine) apply() {
	next := make(map[string]Applied, len(m.applied))
	whole, some := true, false
	for name, h := range m.subs[Clusters].held {
		c := h.value.(*resource.Cluster)
		a := Applied{Cluster: c, Assignment: c.Static}
		if c.EDS {
			eds := &m.subs[Endpoints]
			if e, ok := eds.held[c.Service]; ok {
				a.Assignment = e.value.(*resource.Assignment)
			} else if eds.absent[c.Service] {
				a.Assignment = &resource.Assignment{Name: c.Service}
			} else {
				a.Assignment, a.Warming, whole = m.applied[name].Assignment, true, false
			}
		}
		some = some || a.Assignment != nil && len(a.Assignment.Endpoints) > 0
		next[name] = a
	}
	if !whole && !some {
		for name, a := range m.applied {
			if _, listed := next[name]; !listed {
				a.Leaving = true
				next[name] = a
			}
		}
	}
	m.applied = next
}

// Applied is what is in force, by the name of the cluster. It must not be changed.
func (m *Machine) Applied() map[string]Applied { return m.applied }

// Whole tells whether everything that the newest list of clusters names has come.
func (m *Machine) Whole() bool {
	if m.subs[Clusters].updated.IsZero() {
		return false
	}
	for _, a := range m.applied {
		if a.Warming || a.Leaving {
			return false
		}
	}
	return true
}

// Status is what operators ask of a type.
type Status struct {
	Version string
	Nonce   string
	Updated time.Time // the last response that could be read
	Failure string    // why the last response was refused; "" where it was accepted
	Refused map[string]string
	Names   []string
	Held    map[string]string // versions, by name
}

// Status tells of one type.
func (m *Machine) Status(t Type) Status {
	s := &m.subs[t]
	st := Status{
		Version: s.version, Nonce: s.nonce, Updated: s.updated, Failure: s.failure,
		Refused: maps.Clone(s.refused), Names: slices.Clone(s.names), Held: make(map[string]string, len(s.held)),
	}
	for name, h := range s.held {
		st.Held[name] = h.version
	}
	return st
}
