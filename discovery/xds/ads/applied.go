package ads

import "cobaltward/discovery/xds/resource"

// Applied is the clusters in force, by name. The map must not be changed.
func (m *Machine) Applied() map[string]AppliedCluster { return m.applied }

// Complete reports whether everything that the newest list of clusters names has come.
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

// recomputeApplied derives the clusters in force: make before break. A cluster whose endpoints have not come serves
// with those that it had. While the newest list is incomplete, clusters that it lacks keep serving if no other cluster
// would serve without them.
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

// applyCluster is a cluster with the newest assignment that it can have.
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
