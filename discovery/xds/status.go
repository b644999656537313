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

// Status is the state of a Source.
type Status struct {
	Server    string    // address of the control plane in use, or last tried
	Connected bool      // a stream is open
	Since     time.Time // when Connected last changed
	LastError error     // why the last stream ended; nil: none has
	Complete  bool      // everything that the newest list of clusters names has come
	Types     [ads.NumTypes]ads.Status
	Endpoints []router.Endpoint      // as published, in order of id
	Drops     dropoverload.Fractions // of the requests of classes bound to a cluster, by cluster
	// EndpointStatuses has the endpoints of all clusters, in order of cluster and address.
	EndpointStatuses []EndpointStatus
}

// EndpointStatus is an endpoint of a cluster and whether it takes new work.
type EndpointStatus struct {
	Cluster string
	resource.Endpoint
	Use string // "yes", or "no: " and the reason
}

// Values of EndpointStatus.Use. A rejection by health has the state of health in place of the rest.
const (
	useYes                = "yes"
	useNoPrefix           = "no: "
	useNoOtherCluster     = useNoPrefix + "another cluster bars it"
	useNoDegradedUnneeded = useNoPrefix + "enough others are healthy"
	useNoPriorityUnneeded = useNoPrefix + "a higher priority has enough"
)

// Status is the source's state. It is safe for concurrent use.
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

// String is a summary on one line.
func (s Status) String() string {
	return fmt.Sprintf("%s, connected %v since %v, %d servers",
		s.Server, s.Connected, s.Since.Format(time.RFC3339), len(s.Endpoints))
}

// endpointStatuses is the status of each endpoint of each cluster, in order of cluster and address.
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

// useOf tells whether an endpoint takes new work, or why not.
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
