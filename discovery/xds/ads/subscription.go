package ads

import (
	"maps"
	"slices"
	"time"

	"cobaltward/discovery/xds/resource"
)

// acceptedResource is the last valid version of a resource.
type acceptedResource struct {
	version   string
	value     any
	expiresAt time.Time // zero: never
}

// subscription is the state of the subscription to one type.
type subscription struct {
	version       string   // last accepted version; state-of-the-world variant only
	nonce         string   // nonce of the last response on this stream
	requested     bool     // whether the type has been requested on this stream
	resourceNames []string // sorted
	accepted      map[string]acceptedResource
	absent        map[string]bool   // set of subscribed names that do not exist at the control plane or have expired
	rejected      map[string]string // rejection reasons, by name; kept until a valid version or a removal
	nackReason    string            // reason of the NACK for the last response; empty: the answer was an ACK
	updatedAt     time.Time         // time of the last readable response
}

func newSubscription() subscription {
	return subscription{
		accepted: make(map[string]acceptedResource),
		absent:   make(map[string]bool),
		rejected: make(map[string]string),
	}
}

// accept stores one resource of a response. If the resource is rejected, its former version is kept.
func (s *subscription) accept(now time.Time, r Resource) {
	if r.Err != nil {
		s.rejected[r.Name] = r.Err.Error()
		if s.nackReason == "" {
			s.nackReason = r.Err.Error()
		}
		return
	}
	if r.Value == nil { // a heartbeat
		if accepted, ok := s.accepted[r.Name]; ok {
			accepted.expiresAt = expiryTime(now, r.TTL)
			s.accepted[r.Name] = accepted
		}
		return
	}
	s.accepted[r.Name] = acceptedResource{r.Version, r.Value, expiryTime(now, timeToLive(r))}
	delete(s.rejected, r.Name)
	delete(s.absent, r.Name)
}

// timeToLive returns the TTL of a resource, or 0 if the resource does not expire. For an assignment, it returns
// endpoint_stale_after if that is shorter.
func timeToLive(r Resource) time.Duration {
	assignment, ok := r.Value.(*resource.Assignment)
	if ok && assignment.StaleAfter > 0 && (r.TTL <= 0 || assignment.StaleAfter < r.TTL) {
		return assignment.StaleAfter
	}
	return r.TTL
}

// expiryTime returns the end of a TTL that starts at now, or the zero time if ttl is not positive.
func expiryTime(now time.Time, ttl time.Duration) time.Time {
	if ttl <= 0 {
		return time.Time{}
	}
	return now.Add(ttl)
}

// remove deletes the resource with the given name, and the reason for its rejection if it was rejected.
func (s *subscription) remove(name string) {
	delete(s.accepted, name)
	delete(s.rejected, name)
}

// removeUnlisted deletes the resources that are missing from a state-of-the-world response.
func (s *subscription) removeUnlisted(listed []Resource) {
	names := make(map[string]bool, len(listed))
	for _, r := range listed {
		names[r.Name] = true
	}
	maps.DeleteFunc(s.accepted, func(name string, _ acceptedResource) bool { return !names[name] })
	maps.DeleteFunc(s.rejected, func(name, _ string) bool { return !names[name] })
}

// setNames replaces the names subscribed to, and deletes the resources of all other names. names must be sorted.
func (s *subscription) setNames(names []string) {
	for _, name := range difference(s.resourceNames, names) {
		s.remove(name)
	}
	maps.DeleteFunc(s.absent, func(name string, _ bool) bool {
		_, found := slices.BinarySearch(names, name)
		return !found
	})
	s.resourceNames = names
}

// difference returns the names that are in a but not in b. Both must be sorted.
func difference(a, b []string) []string {
	var rest []string
	for _, name := range a {
		if _, found := slices.BinarySearch(b, name); !found {
			rest = append(rest, name)
		}
	}
	return rest
}

// expire removes resources whose TTL has passed and returns their names. next is the earliest end of the remaining
// TTLs, or zero if no TTL remains.
func (s *subscription) expire(now time.Time) (expired []string, next time.Time) {
	for name, accepted := range s.accepted {
		switch {
		case accepted.expiresAt.IsZero():
		case !now.Before(accepted.expiresAt):
			s.remove(name)
			expired = append(expired, name)
		case next.IsZero() || accepted.expiresAt.Before(next):
			next = accepted.expiresAt
		}
	}
	return expired, next
}

// initialVersions returns the versions of the resources from earlier streams, by name, or nil if there are none.
func (s *subscription) initialVersions() map[string]string {
	if len(s.accepted) == 0 {
		return nil
	}
	return s.versions()
}

// versions returns the versions of the accepted resources, by name.
func (s *subscription) versions() map[string]string {
	versions := make(map[string]string, len(s.accepted))
	for name, accepted := range s.accepted {
		versions[name] = accepted.version
	}
	return versions
}

func (s *subscription) status() Status {
	return Status{
		Version:       s.version,
		Nonce:         s.nonce,
		UpdatedAt:     s.updatedAt,
		NACKReason:    s.nackReason,
		Rejected:      maps.Clone(s.rejected),
		ResourceNames: slices.Clone(s.resourceNames),
		Versions:      s.versions(),
	}
}
