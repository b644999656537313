package xds

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/resource"
	"cobaltward/dropoverload"
	"cobaltward/policy"
	"cobaltward/router"
)

// Status describes the state of a Source.
type Status struct {
	Server    string    // address of the current or last control plane
	Connected bool      // whether a stream is open
	Since     time.Time // time of the last change of Connected
	LastError error     // why the last stream ended; nil: no stream has ended yet
	Complete  bool      // whether all endpoints of the newest list of clusters have been received
	Types     [ads.NumTypes]ads.Status
	Endpoints []router.Endpoint      // endpoints as last published, sorted by id
	Drops     dropoverload.Fractions // fraction of requests to drop in classes bound to a cluster, by cluster
	// EndpointStatuses contains the endpoints of all clusters, sorted by cluster and then by address.
	EndpointStatuses []EndpointStatus
}

// EndpointStatus is an endpoint of a cluster and records whether the endpoint gets new work.
type EndpointStatus struct {
	Cluster string
	resource.Endpoint
	Use string // "yes", or "no: " followed by the reason
}

// Values of EndpointStatus.Use. If health excludes an endpoint, the health status follows useNoPrefix.
const (
	useYes                = "yes"
	useNoPrefix           = "no: "
	useNoOtherCluster     = useNoPrefix + "another cluster excludes it"
	useNoDegradedUnneeded = useNoPrefix + "enough others are healthy"
	useNoPriorityUnneeded = useNoPrefix + "a higher priority has enough"
)

// Status returns the current state of the source. It is safe for concurrent use.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{
		Server:           s.config.Servers[s.serverIndex].Addr,
		Connected:        s.connected,
		Since:            s.stateSince,
		LastError:        s.lastErr,
		Complete:         s.machine.Complete(),
		Endpoints:        s.snapshot.endpoints(),
		Drops:            s.snapshot.drops,
		EndpointStatuses: s.snapshot.endpointStatuses(),
	}
	for t := range ads.NumTypes {
		status.Types[t] = s.machine.Status(t)
	}
	return status
}

// String returns a one-line summary.
func (s Status) String() string {
	return fmt.Sprintf("%s, connected %v since %v, %d servers",
		s.Server, s.Connected, s.Since.Format(time.RFC3339), len(s.Endpoints))
}

// endpointStatuses returns the status of the endpoints of all clusters, sorted by cluster and then by address.
func (s *snapshot) endpointStatuses() []EndpointStatus {
	var statuses []EndpointStatus
	for _, listings := range s.listings {
		for _, listing := range listings {
			statuses = append(statuses, EndpointStatus{listing.cluster, listing.endpoint, s.useOf(listing)})
		}
	}
	slices.SortFunc(statuses, func(x, y EndpointStatus) int {
		return cmp.Or(cmp.Compare(x.Cluster, y.Cluster), cmp.Compare(x.Addr, y.Addr))
	})
	return statuses
}

// useOf returns the value of EndpointStatus.Use for an endpoint.
func (s *snapshot) useOf(listing clusterListing) string {
	switch {
	case listing.excluded():
		return useNoPrefix + listing.endpoint.Health.String()
	case listing.eligible && s.published[listing.endpoint.Addr].Availability == policy.Draining:
		return useNoOtherCluster
	case listing.eligible:
		return useYes
	case listing.endpoint.Health == resource.Degraded:
		return useNoDegradedUnneeded
	default:
		return useNoPriorityUnneeded
	}
}
