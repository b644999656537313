package ads

import (
	"slices"
	"time"

	"cobaltward/discovery/xds/resource"
)

// Machine is the state machine of the subscriptions to a control plane. It is not safe for concurrent use.
type Machine struct {
	variant       Variant
	connected     bool // whether a stream is open
	nodeUnsent    bool // whether no request has been sent on the stream; the next request must then identify the node
	subscriptions [NumTypes]subscription
	applied       map[string]AppliedCluster // replaced at each change, never modified
}

// New returns a machine without any resources. The machine subscribes to all clusters, to the endpoints of these
// clusters, and to the secrets in secretNames.
func New(variant Variant, secretNames ...string) *Machine {
	m := &Machine{variant: variant, applied: make(map[string]AppliedCluster)}
	for t := range m.subscriptions {
		m.subscriptions[t] = newSubscription()
	}
	m.subscriptions[Secrets].resourceNames = slices.Sorted(slices.Values(secretNames))
	return m
}

// Connected starts a new stream and returns the first requests to send on the stream.
func (m *Machine) Connected() []Request {
	m.connected, m.nodeUnsent = true, true
	for t := range m.subscriptions {
		m.subscriptions[t].nonce, m.subscriptions[t].requested = "", false
	}
	requests := []Request{m.initialRequest(Clusters)}
	for _, t := range []Type{Endpoints, Secrets} {
		if len(m.subscriptions[t].resourceNames) > 0 {
			requests = append(requests, m.initialRequest(t))
		}
	}
	return requests
}

// Disconnected ends the stream. All resources stay in effect.
func (m *Machine) Disconnected() { m.connected = false }

// initialRequest returns the first request for type t on the stream.
func (m *Machine) initialRequest(t Type) Request {
	s := &m.subscriptions[t]
	s.requested = true
	request := Request{Type: t, IncludeNode: m.nodeUnsent}
	m.nodeUnsent = false
	if m.variant == SotW {
		request.Version, request.ResourceNames = s.version, slices.Clone(s.resourceNames)
		return request
	}
	request.Subscribe = slices.Clone(s.resourceNames)
	request.InitialVersions = s.initialVersions()
	return request
}

// HandleResponse applies the valid resources of a response and returns the requests to send. The ACK or NACK comes
// first, followed by changes of subscriptions. A response of a type that was not requested on this stream is ignored.
func (m *Machine) HandleResponse(now time.Time, response Response) []Request {
	if !m.connected || response.Type >= NumTypes {
		return nil
	}
	s := &m.subscriptions[response.Type]
	if !s.requested {
		return nil
	}
	s.nonce, s.nackReason = response.Nonce, ""
	if response.Err != nil {
		s.nackReason = response.Err.Error()
	} else {
		m.acceptResources(now, s, response)
	}
	requests := []Request{m.answer(s, response)}
	if response.Type == Clusters && response.Err == nil {
		requests = append(requests, m.updateEndpointSubscription()...)
	}
	m.recomputeApplied()
	return requests
}

// acceptResources stores the valid resources of a response and deletes the resources that the response lists as
// removed.
func (m *Machine) acceptResources(now time.Time, s *subscription, response Response) {
	s.updatedAt = now
	for _, r := range response.Resources {
		s.accept(now, r)
	}
	for _, name := range response.Removed {
		s.remove(name)
		s.absent[name] = response.Type == Endpoints && slices.Contains(s.resourceNames, name)
	}
	if m.variant == SotW && response.Type == Clusters { // the response lists all clusters
		s.removeUnlisted(response.Resources)
	}
}

// answer returns the ACK or NACK for a response whose resources have been handled.
func (m *Machine) answer(s *subscription, response Response) Request {
	request := Request{Type: response.Type, Nonce: response.Nonce, ErrorDetail: s.nackReason}
	if m.variant == SotW {
		if s.nackReason == "" {
			s.version = response.Version
		}
		request.Version, request.ResourceNames = s.version, slices.Clone(s.resourceNames)
	}
	return request
}

// updateEndpointSubscription subscribes to the endpoints of the current clusters. An assignment that is no longer
// subscribed to stays in effect as long as recomputeApplied needs the assignment.
func (m *Machine) updateEndpointSubscription() []Request {
	s := &m.subscriptions[Endpoints]
	former, names := s.resourceNames, m.endpointNames()
	if slices.Equal(names, former) {
		return nil
	}
	s.setNames(names)
	if !s.requested {
		return []Request{m.initialRequest(Endpoints)}
	}
	request := Request{Type: Endpoints}
	if m.variant == SotW {
		request.Version, request.Nonce, request.ResourceNames = s.version, s.nonce, slices.Clone(names)
	} else {
		request.Subscribe, request.Unsubscribe = difference(names, former), difference(former, names)
	}
	return []Request{request}
}

// endpointNames returns the sorted names of the assignments of all clusters with EDS.
func (m *Machine) endpointNames() []string {
	var names []string
	for _, accepted := range m.subscriptions[Clusters].accepted {
		if cluster := accepted.value.(*resource.Cluster); cluster.EDS {
			names = append(names, cluster.ServiceName)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// ExpireResources removes resources whose TTL has passed. changed reports whether any resource was removed. next is
// the time at which to call ExpireResources again. If next is zero, no further call is needed.
func (m *Machine) ExpireResources(now time.Time) (changed bool, next time.Time) {
	for t := range m.subscriptions {
		s := &m.subscriptions[t]
		expired, earliest := s.expire(now)
		for _, name := range expired {
			s.absent[name] = Type(t) == Endpoints
			changed = true
		}
		if next.IsZero() || !earliest.IsZero() && earliest.Before(next) {
			next = earliest
		}
	}
	if changed {
		m.recomputeApplied()
	}
	return changed, next
}

// Status returns the state of the subscription to type t.
func (m *Machine) Status(t Type) Status { return m.subscriptions[t].status() }
