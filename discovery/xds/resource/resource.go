// Package resource holds Envoy's clusters and endpoints as the router uses them, and says what of them
// it refuses. docs/xds.md has the mapping, field by field.
package resource

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"time"

	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/protobuf/proto"
)

// The type URLs of the resources that the router subscribes to.
const (
	ClusterURL    = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	AssignmentURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// MetadataNamespace is that of the router's own keys in an endpoint's filter_metadata.
const MetadataNamespace = "wayhold"

const (
	// MaxEndpoints bounds the endpoints of one assignment.
	MaxEndpoints                   = 200_000
	maxNameLength                  = 512
	maxPriority                    = 127
	defaultOverprovisioningPercent = 140 // overprovisioning factor, as Envoy has it
	maxMetadataInt                 = 1 << 53
)

// Cluster is a cluster that can be used: its endpoints come by EDS, under the name Service, or with it.
type Cluster struct {
	Name        string
	EDS         bool
	ServiceName string
	Static      *Assignment
}

// Assignment is the endpoints of a cluster.
type Assignment struct {
	Name             string
	Endpoints        []Endpoint // each address once
	Drop             float64    // part of the requests to be refused, 0 to 1
	Overprovisioning float64    // as a factor: 1.4
	StaleAfter       time.Duration
}

// Health is what the control plane says of an endpoint.
type Health uint8

// The states of health, as envoy.config.core.v3.HealthStatus has them.
const (
	Unknown Health = iota
	Healthy
	Unhealthy
	Draining
	Timeout
	Degraded
)

func (h Health) String() string {
	return [...]string{"UNKNOWN", "HEALTHY", "UNHEALTHY", "DRAINING", "TIMEOUT", "DEGRADED"}[h]
}

// Endpoint is one server.
type Endpoint struct {
	Addr     string // IP:port
	Zone     string
	Priority uint32
	Weight   float64 // of the endpoint, 1 where it has none
	Health   Health
	Kind     string
	Cell     int64
	Started  time.Time // zero: long ago
}

// ParseCluster reads a cluster, or says by which field it is refused.
func ParseCluster(p *xdspb.Cluster) (*Cluster, error) {
	if err := checkName("name", p.GetName()); err != nil {
		return nil, err
	}
	c := &Cluster{Name: p.GetName()}
	bad := func(field, format string, args ...any) (*Cluster, error) {
		return nil, fmt.Errorf("cluster %q: %s: %s", c.Name, field, fmt.Sprintf(format, args...))
	}
	if custom := p.GetClusterType(); custom != nil {
		return bad("cluster_type", "custom types are not taken, got %q", custom.GetName())
	}
	switch p.GetType() {
	case xdspb.Cluster_EDS:
		c.EDS, c.ServiceName = true, p.GetEdsClusterConfig().GetServiceName()
		if c.ServiceName == "" {
			c.ServiceName = c.Name
		}
		if len(c.ServiceName) > maxNameLength {
			return bad("eds_cluster_config.service_name", "over %d bytes", maxNameLength)
		}
		if p.GetLoadAssignment() != nil {
			return bad("load_assignment", "a cluster of type EDS has none")
		}
	case xdspb.Cluster_STATIC:
		if p.GetLoadAssignment() == nil {
			return bad("load_assignment", "missing from a cluster of type STATIC")
		}
		a, err := ParseAssignment(p.GetLoadAssignment())
		if err != nil {
			return bad("load_assignment", "%v", err)
		}
		c.Static = a
	case xdspb.Cluster_STRICT_DNS, xdspb.Cluster_LOGICAL_DNS:
		return bad("type", "%v is refused: names are not looked up", p.GetType())
	default:
		return bad("type", "%v is not taken", p.GetType())
	}
	return c, nil
}

// ParseAssignment reads the endpoints of a cluster, or says by which endpoint and field the whole is
// refused.
func ParseAssignment(p *xdspb.ClusterLoadAssignment) (*Assignment, error) {
	raw, err := proto.Marshal(p)
	if err != nil {
		return nil, errMalformed
	}
	_, a, err := DecodeAssignment(raw, nil)
	return a, err
}

// applyPolicy reads what holds for the whole assignment.
func (a *Assignment) applyPolicy(p *xdspb.ClusterLoadAssignment_Policy) error {
	keep := 1.0
	for i, d := range p.GetDropOverloads() {
		of := map[xdspb.FractionalPercent_DenominatorType]float64{
			xdspb.FractionalPercent_HUNDRED:      100,
			xdspb.FractionalPercent_TEN_THOUSAND: 1e4, xdspb.FractionalPercent_MILLION: 1e6,
		}[d.GetDropPercentage().GetDenominator()]
		if of == 0 {
			return fmt.Errorf("drop_overloads[%d].drop_percentage.denominator: unknown", i)
		}
		keep *= 1 - min(1, float64(d.GetDropPercentage().GetNumerator())/of)
	}
	a.Drop = 1 - keep
	if f := p.GetOverprovisioningFactor(); f != nil {
		if f.GetValue() == 0 {
			return fmt.Errorf("overprovisioning_factor: want above 0")
		}
		a.Overprovisioning = float64(f.GetValue()) / 100
	}
	if d := p.GetEndpointStaleAfter(); d != nil {
		if err := d.CheckValid(); err != nil || d.AsDuration() <= 0 {
			return fmt.Errorf("endpoint_stale_after: want above 0")
		}
		a.StaleAfter = d.AsDuration()
	}
	return nil
}

// zone is a locality's zone, or its region where it names none.
func zone(l *xdspb.Locality) string {
	if z := l.GetZone(); z != "" {
		return z
	}
	return l.GetRegion()
}

// parseEndpoint reads one endpoint; its error is told with the field.
func parseEndpoint(lb *xdspb.LbEndpoint) (e Endpoint, field string, err error) {
	if lb.GetEndpointName() != "" {
		return e, "endpoint_name", fmt.Errorf("named endpoints are not taken, got %q", lb.GetEndpointName())
	}
	addr := lb.GetEndpoint().GetAddress()
	sock := addr.GetSocketAddress()
	switch {
	case addr.GetPipe() != nil:
		return e, "endpoint.address.pipe", fmt.Errorf("Unix sockets are not taken, got %q", addr.GetPipe().GetPath())
	case sock == nil:
		return e, "endpoint.address", fmt.Errorf("missing")
	case sock.GetProtocol() != xdspb.SocketAddress_TCP:
		return e, "endpoint.address.socket_address.protocol", fmt.Errorf("want TCP, got %v", sock.GetProtocol())
	case sock.GetResolverName() != "":
		return e, "endpoint.address.socket_address.resolver_name", fmt.Errorf("names are not looked up, got %q", sock.GetResolverName())
	case sock.GetNamedPort() != "":
		return e, "endpoint.address.socket_address.named_port", fmt.Errorf("want port_value, got %q", sock.GetNamedPort())
	case sock.GetPortValue() == 0 || sock.GetPortValue() > math.MaxUint16:
		return e, "endpoint.address.socket_address.port_value", fmt.Errorf("want 1 to 65535, got %d", sock.GetPortValue())
	}
	ip, err := netip.ParseAddr(sock.GetAddress())
	if err != nil || ip.Zone() != "" {
		return e, "endpoint.address.socket_address.address", fmt.Errorf("want an IP address, got %q", sock.GetAddress())
	}
	e.Addr = netip.AddrPortFrom(ip.Unmap(), uint16(sock.GetPortValue())).String()
	e.Weight = 1
	if w := lb.GetLoadBalancingWeight(); w != nil {
		if w.GetValue() == 0 {
			return e, "load_balancing_weight", fmt.Errorf("want 1 or more")
		}
		e.Weight = float64(w.GetValue())
	}
	if lb.GetHealthStatus() < 0 || int(lb.GetHealthStatus()) > int(Degraded) {
		return e, "health_status", fmt.Errorf("unknown: %d", lb.GetHealthStatus())
	}
	e.Health = Health(lb.GetHealthStatus())
	for key, v := range lb.GetMetadata().GetFilterMetadata()[MetadataNamespace].GetFields() {
		at := "metadata.filter_metadata." + MetadataNamespace + "." + key
		switch key {
		case "kind":
			e.Kind = v.GetStringValue()
			if e.Kind == "" {
				return e, at, fmt.Errorf("want a text")
			}
		case "cell":
			n := v.GetNumberValue()
			if n != math.Trunc(n) || math.Abs(n) >= maxMetadataInt {
				return e, at, fmt.Errorf("want a whole number, got %v", v.AsInterface())
			}
			e.Cell = int64(n)
		case "started_ms":
			n := v.GetNumberValue()
			if s := v.GetStringValue(); s != "" { // large numbers may be written as text
				if n, err = strconv.ParseFloat(s, 64); err != nil {
					return e, at, fmt.Errorf("want Unix milliseconds, got %q", s)
				}
			}
			if !(n >= 0 && n < maxMetadataInt) {
				return e, at, fmt.Errorf("want Unix milliseconds, got %v", v.AsInterface())
			}
			if n > 0 {
				e.Started = time.UnixMilli(int64(n))
			}
		default: // a misspelt key would lose a start time, and push a cold server over
			return e, at, fmt.Errorf("unknown key")
		}
	}
	return e, "", nil
}

func checkName(field, name string) error {
	if name == "" {
		return fmt.Errorf("%s: missing", field)
	}
	if len(name) > maxNameLength {
		return fmt.Errorf("%s: over %d bytes", field, maxNameLength)
	}
	return nil
}
