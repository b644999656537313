package resource

import (
	"fmt"

	"cobaltward/discovery/xds/xdspb"
)

// Cluster is a cluster that the router can use. Its endpoints come from EDS, under ServiceName, or are contained in
// Static.
type Cluster struct {
	Name        string
	EDS         bool
	ServiceName string      // name of the assignment; only with EDS
	Static      *Assignment // endpoints of the cluster; only without EDS
}

// ParseCluster validates a cluster. The error names the rejected field.
func ParseCluster(message *xdspb.Cluster) (*Cluster, error) {
	if err := checkName("name", message.GetName()); err != nil {
		return nil, err
	}
	cluster := &Cluster{Name: message.GetName()}
	if err := cluster.parseType(message); err != nil {
		return nil, fmt.Errorf("cluster %q: %w", cluster.Name, err)
	}
	return cluster, nil
}

// parseType reads the discovery type of the cluster, which determines the origin of its endpoints.
func (c *Cluster) parseType(message *xdspb.Cluster) error {
	if custom := message.GetClusterType(); custom != nil {
		return rejectField("cluster_type", "custom types are not taken, got %q", custom.GetName())
	}
	switch message.GetType() {
	case xdspb.Cluster_EDS:
		return c.parseEDS(message)
	case xdspb.Cluster_STATIC:
		return c.parseStatic(message)
	case xdspb.Cluster_STRICT_DNS, xdspb.Cluster_LOGICAL_DNS:
		return rejectField("type", "%v is refused: names are not looked up", message.GetType())
	default:
		return rejectField("type", "%v is not taken", message.GetType())
	}
}

func (c *Cluster) parseEDS(message *xdspb.Cluster) error {
	c.EDS, c.ServiceName = true, message.GetEdsClusterConfig().GetServiceName()
	if c.ServiceName == "" {
		c.ServiceName = c.Name
	}
	if len(c.ServiceName) > maxNameLength {
		return rejectField("eds_cluster_config.service_name", "over %d bytes", maxNameLength)
	}
	if message.GetLoadAssignment() != nil {
		return rejectField("load_assignment", "a cluster of type EDS has none")
	}
	return nil
}

func (c *Cluster) parseStatic(message *xdspb.Cluster) error {
	if message.GetLoadAssignment() == nil {
		return rejectField("load_assignment", "missing from a cluster of type STATIC")
	}
	assignment, err := ParseAssignment(message.GetLoadAssignment())
	if err != nil {
		return &fieldError{"load_assignment", err}
	}
	c.Static = assignment
	return nil
}
