package ads

import "cobaltward/discovery/xds/resource"

// Applied returns the clusters in effect, by name. The caller must not change the map.
func (m *Machine) Applied() map[string]AppliedCluster { return m.applied }

// Complete reports whether the endpoints of all clusters in the newest list have been received.
func (m *Machine) Complete() bool {
	if m.subscriptions[Clusters].updatedAt.IsZero() {
		return false
	}
	for _, cluster := range m.applied {
		if cluster.Warming || cluster.PendingRemoval {
			return false
		}
	}
	return true
}

// recomputeApplied derives the clusters in effect, make before break. A cluster keeps its former endpoints until its
// new endpoints have been received. If the newest list is incomplete and none of its clusters has endpoints, clusters
// that are missing from the list stay in effect.
func (m *Machine) recomputeApplied() {
	next := make(map[string]AppliedCluster, len(m.applied))
	warming, hasEndpoints := false, false
	for name, accepted := range m.subscriptions[Clusters].accepted {
		cluster := m.applyCluster(name, accepted.value.(*resource.Cluster))
		warming = warming || cluster.Warming
		hasEndpoints = hasEndpoints || cluster.Assignment != nil && len(cluster.Assignment.Endpoints) > 0
		next[name] = cluster
	}
	if warming && !hasEndpoints {
		for name, cluster := range m.applied {
			if _, listed := next[name]; !listed {
				cluster.PendingRemoval = true
				next[name] = cluster
			}
		}
	}
	m.applied = next
}

// applyCluster returns a cluster with its newest available assignment.
func (m *Machine) applyCluster(name string, cluster *resource.Cluster) AppliedCluster {
	if !cluster.EDS {
		return AppliedCluster{Cluster: cluster, Assignment: cluster.Static}
	}
	endpoints := &m.subscriptions[Endpoints]
	if accepted, ok := endpoints.accepted[cluster.ServiceName]; ok {
		return AppliedCluster{Cluster: cluster, Assignment: accepted.value.(*resource.Assignment)}
	}
	if endpoints.absent[cluster.ServiceName] {
		return AppliedCluster{Cluster: cluster, Assignment: &resource.Assignment{Name: cluster.ServiceName}}
	}
	return AppliedCluster{Cluster: cluster, Assignment: m.applied[name].Assignment, Warming: true}
}
