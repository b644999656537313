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

// The NumTypes that a router subscribes to, in the order in which a control plane should send them.
const (
	Clusters Type = iota
	Endpoints
	Secrets // certificates and authorities, by the names that the operator gives
	NumTypes
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
	Type          Type
	IncludeNode   bool   // the first of a stream, which says who asks
	Version       string // SotW: last accepted
	Nonce         string // of the response that it answers; "" where it answers none
	ErrorDetail   string // a NACK, with its reason
	ResourceNames []string
	// Delta only. Names is then empty.
	Subscribe, Unsubscribe []string
	InitialVersions        map[string]string // versions held, by name
}

// acceptedResource is a resource that was accepted.
type acceptedResource struct {
	version   string
	value     any
	expiresAt time.Time // zero: never
}

// subscription is what the machine knows of one type.
type subscription struct {
	version       string // SotW: last accepted
	nonce         string // of the last response on this stream
	requested     bool   // on this stream
	resourceNames []string
	accepted      map[string]acceptedResource
	absent        map[string]bool   // named, and known not to exist
	rejected      map[string]string // reasons, by name; until it is accepted or gone
	nackReason    string            // why the last response was refused as a whole, or in part
	updatedAt     time.Time
}

// Machine is the state of one subscription to a control plane. It isn't safe for concurrent use.
type Machine struct {
	variant       Variant
	connected     bool // a stream is there
	nodeUnsent    bool // nothing was sent on it yet
	subscriptions [NumTypes]subscription
	applied       map[string]AppliedCluster
}

// AppliedCluster is a cluster as it is in force.
type AppliedCluster struct {
	Cluster        *resource.Cluster
	Assignment     *resource.Assignment // nil while it has never come
	Warming        bool                 // what the newest cluster wants has not come yet; what was before serves
	PendingRemoval bool                 // it is in the newest list no more, and serves until that list is whole
}

// New returns a machine that holds nothing, and will ask for these secrets.
func New(v Variant, secrets ...string) *Machine {
	m := &Machine{variant: v, applied: make(map[string]AppliedCluster)}
	for t := range m.subscriptions {
		m.subscriptions[t] = subscription{accepted: make(map[string]acceptedResource), absent: make(map[string]bool), rejected: make(map[string]string)}
	}
	m.subscriptions[Secrets].resourceNames = slices.Sorted(slices.Values(secrets))
	return m
}

// Connected says that a stream is open, and returns what is to be sent on it first.
func (m *Machine) Connected() []Request {
	m.connected, m.nodeUnsent = true, true
	for t := range m.subscriptions {
		m.subscriptions[t].nonce, m.subscriptions[t].requested = "", false
	}
	out := []Request{m.initialRequest(Clusters)}
	if len(m.subscriptions[Endpoints].resourceNames) > 0 {
		out = append(out, m.initialRequest(Endpoints))
	}
	if len(m.subscriptions[Secrets].resourceNames) > 0 {
		out = append(out, m.initialRequest(Secrets))
	}
	return out
}

// Disconnected says that the stream is gone. What is held stays.
func (m *Machine) Disconnected() { m.connected = false }

// initialRequest is the first request of a type on a stream.
func (m *Machine) initialRequest(t Type) Request {
	s := &m.subscriptions[t]
	s.requested = true
	r := Request{Type: t, IncludeNode: m.nodeUnsent}
	m.nodeUnsent = false
	if m.variant == SotW {
		r.Version, r.ResourceNames = s.version, slices.Clone(s.resourceNames)
		return r
	}
	r.Subscribe = slices.Clone(s.resourceNames)
	if len(s.accepted) > 0 {
		r.InitialVersions = make(map[string]string, len(s.accepted))
		for name, h := range s.accepted {
			r.InitialVersions[name] = h.version
		}
	}
	return r
}

// HandleResponse takes a response in at a time, and returns the requests that answer it. What it brought is in
// force when HandleResponse returns.
func (m *Machine) HandleResponse(now time.Time, r Response) []Request {
	if !m.connected || r.Type >= NumTypes {
		return nil
	}
	s := &m.subscriptions[r.Type]
	if !s.requested {
		return nil // nobody asked for it on this stream
	}
	s.nonce, s.nackReason = r.Nonce, ""
	if r.Err != nil {
		s.nackReason = r.Err.Error()
	} else {
		m.acceptResources(now, s, r)
	}
	ack := Request{Type: r.Type, Nonce: r.Nonce, ErrorDetail: s.nackReason}
	if m.variant == SotW {
		if s.nackReason == "" {
			s.version = r.Version
		}
		ack.Version, ack.ResourceNames = s.version, slices.Clone(s.resourceNames)
	}
	out := []Request{ack}
	if r.Type == Clusters && r.Err == nil {
		out = append(out, m.updateEndpointSubscription()...)
	}
	m.recomputeApplied()
	return out
}

// acceptResources puts the good resources of a response in force. A bad one keeps what it was before.
func (m *Machine) acceptResources(now time.Time, s *subscription, r Response) {
	s.updatedAt = now
	named := make(map[string]bool, len(r.Resources))
	for _, in := range r.Resources {
		named[in.Name] = true
		switch {
		case in.Err != nil:
			s.rejected[in.Name] = in.Err.Error()
			if s.nackReason == "" {
				s.nackReason = in.Err.Error()
			}
		case in.Value == nil: // a heartbeat
			if h, ok := s.accepted[in.Name]; ok {
				h.expiresAt = expiryTime(now, in.TTL)
				s.accepted[in.Name] = h
			}
		default:
			ttl := in.TTL
			if a, ok := in.Value.(*resource.Assignment); ok && a.StaleAfter > 0 && (ttl <= 0 || a.StaleAfter < ttl) {
				ttl = a.StaleAfter
			}
			s.accepted[in.Name] = acceptedResource{in.Version, in.Value, expiryTime(now, ttl)}
			delete(s.rejected, in.Name)
			delete(s.absent, in.Name)
		}
	}
	for _, name := range r.Removed {
		s.remove(name)
		s.absent[name] = r.Type == Endpoints && slices.Contains(s.resourceNames, name)
	}
	if m.variant == SotW && r.Type == Clusters { // what the whole list lacks is gone
		for name := range s.accepted {
			if !named[name] {
				s.remove(name)
			}
		}
		for name := range s.rejected {
			if !named[name] {
				delete(s.rejected, name)
			}
		}
	}
}

func (s *subscription) remove(name string) {
	delete(s.accepted, name)
	delete(s.rejected, name)
}

func expiryTime(now time.Time, ttl time.Duration) time.Time {
	if ttl <= 0 {
		return time.Time{}
	}
	return now.Add(ttl)
}

// updateEndpointSubscription follows the clusters with what is asked of endpoints.
func (m *Machine) updateEndpointSubscription() []Request {
	s := &m.subscriptions[Endpoints]
	var want []string
	for _, h := range m.subscriptions[Clusters].accepted {
		if c := h.value.(*resource.Cluster); c.EDS {
			want = append(want, c.ServiceName)
		}
	}
	slices.Sort(want)
	want = slices.Compact(want)
	if slices.Equal(want, s.resourceNames) {
		return nil
	}
	old := s.resourceNames
	s.resourceNames = want
	for _, name := range old {
		if !slices.Contains(want, name) { // what is in force of it stays in m.applied
			s.remove(name)
		}
	}
	maps.DeleteFunc(s.absent, func(name string, _ bool) bool { return !slices.Contains(want, name) })
	if !s.requested {
		return []Request{m.initialRequest(Endpoints)}
	}
	r := Request{Type: Endpoints}
	if m.variant == SotW {
		r.Version, r.Nonce, r.ResourceNames = s.version, s.nonce, slices.Clone(want)
		return []Request{r}
	}
	r.Subscribe, r.Unsubscribe = difference(want, old), difference(old, want)
	return []Request{r}
}

// difference returns those of a that are not in b; both are sorted.
func difference(a, b []string) (rest []string) {
	for _, name := range a {
		if _, found := slices.BinarySearch(b, name); !found {
			rest = append(rest, name)
		}
	}
	return rest
}

// ExpireResources drops what has outlived its TTL, and reports whether anything changed; next is when to call it
// again, zero for never.
func (m *Machine) ExpireResources(now time.Time) (changed bool, next time.Time) {
	for t := range m.subscriptions {
		s := &m.subscriptions[t]
		for name, h := range s.accepted {
			switch {
			case h.expiresAt.IsZero():
			case !now.Before(h.expiresAt):
				s.remove(name)
				s.absent[name] = Type(t) == Endpoints
				changed = true
			case next.IsZero() || h.expiresAt.Before(next):
				next = h.expiresAt
			}
		}
	}
	if changed {
		m.recomputeApplied()
	}
	return changed, next
}

// recomputeApplied works out what is in force: make before break. A cluster whose endpoints have not come serves
// with those that it had; and while the newest list is not whole, clusters that it lacks go on serving
// where without them nobody would.
func (m *Machine) recomputeApplied() {
	next := make(map[string]AppliedCluster, len(m.applied))
	whole, some := true, false
	for name, h := range m.subscriptions[Clusters].accepted {
		c := h.value.(*resource.Cluster)
		a := AppliedCluster{Cluster: c, Assignment: c.Static}
		if c.EDS {
			eds := &m.subscriptions[Endpoints]
			if e, ok := eds.accepted[c.ServiceName]; ok {
				a.Assignment = e.value.(*resource.Assignment)
			} else if eds.absent[c.ServiceName] {
				a.Assignment = &resource.Assignment{Name: c.ServiceName}
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
				a.PendingRemoval = true
				next[name] = a
			}
		}
	}
	m.applied = next
}

// Applied is what is in force, by the name of the cluster. It must not be changed.
func (m *Machine) Applied() map[string]AppliedCluster { return m.applied }

// Complete tells whether everything that the newest list of clusters names has come.
func (m *Machine) Complete() bool {
	if m.subscriptions[Clusters].updatedAt.IsZero() {
		return false
	}
	for _, a := range m.applied {
		if a.Warming || a.PendingRemoval {
			return false
		}
	}
	return true
}

// Status is what operators ask of a type.
type Status struct {
	Version       string
	Nonce         string
	UpdatedAt     time.Time // the last response that could be read
	NACKReason    string    // why the last response was refused; "" where it was accepted
	Rejected      map[string]string
	ResourceNames []string
	Versions      map[string]string // versions, by name
}

// Status tells of one type.
func (m *Machine) Status(t Type) Status {
	s := &m.subscriptions[t]
	st := Status{
		Version: s.version, Nonce: s.nonce, UpdatedAt: s.updatedAt, NACKReason: s.nackReason,
		Rejected: maps.Clone(s.rejected), ResourceNames: slices.Clone(s.resourceNames), Versions: make(map[string]string, len(s.accepted)),
	}
	for name, h := range s.accepted {
		st.Versions[name] = h.version
	}
	return st
}
