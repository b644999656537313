package ads

import (
	"maps"
	"slices"
	"time"

	"cobaltward/discovery/xds/resource"
)

// acceptedResource is the newest valid version of a resource.
type acceptedResource struct {
	version   string
	value     any
	expiresAt time.Time // zero: never
}

// subscription is the state of one type.
type subscription struct {
	version       string   // state of the world: the version that was accepted last
	nonce         string   // of the last response on this stream
	requested     bool     // subscribed to on this stream
	resourceNames []string // sorted
	accepted      map[string]acceptedResource
	absent        map[string]bool   // subscribed to, and known not to exist
	rejected      map[string]string // reasons, by name; until a valid version comes or the resource is removed
	nackReason    string            // why the last response was answered with a NACK
	updatedAt     time.Time         // of the last response that could be read
}

func newSubscription() subscription {
	return subscription{
		accepted: make(map[string]acceptedResource),
		absent:   make(map[string]bool),
		rejected: make(map[string]string),
	}
}

// accept takes over one resource of a response. A rejected one keeps its former version.
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

// timeToLive is the shorter of a resource's TTL and, for an assignment, its endpoint_stale_after; 0 for none.
func timeToLive(r Resource) time.Duration {
	assignment, ok := r.Value.(*resource.Assignment)
	if ok && assignment.StaleAfter > 0 && (r.TTL <= 0 || assignment.StaleAfter < r.TTL) {
		return assignment.StaleAfter
	}
	return r.TTL
}

// expiryTime is when a TTL that begins now ends; zero for never.
func expiryTime(now time.Time, ttl time.Duration) time.Time {
	if ttl <= 0 {
		return time.Time{}
	}
	return now.Add(ttl)
}

// remove forgets a resource.
func (s *subscription) remove(name string) {
	delete(s.accepted, name)
	delete(s.rejected, name)
}

// removeUnlisted forgets the resources that a list of the state of the world lacks.
func (s *subscription) removeUnlisted(listed []Resource) {
	names := make(map[string]bool, len(listed))
	for _, r := range listed {
		names[r.Name] = true
	}
	maps.DeleteFunc(s.accepted, func(name string, _ acceptedResource) bool { return !names[name] })
	maps.DeleteFunc(s.rejected, func(name, _ string) bool { return !names[name] })
}

// setNames replaces the names subscribed to, which are sorted, and forgets the resources of others.
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

// difference is what a has and b has not; both are sorted.
func difference(a, b []string) []string {
	var rest []string
	for _, name := range a {
		if _, found := slices.BinarySearch(b, name); !found {
			rest = append(rest, name)
		}
	}
	return rest
}

// expire removes resources past their TTL. next is the earliest end of a TTL that is left, zero for none.
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

// initialVersions is the versions held from earlier streams; nil for none.
func (s *subscription) initialVersions() map[string]string {
	if len(s.accepted) == 0 {
		return nil
	}
	return s.versions()
}

// versions is the versions of accepted resources, by name.
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
