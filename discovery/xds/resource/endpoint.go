package resource

import (
	"errors"
	"math"
	"net/netip"
	"time"

	"cobaltward/discovery/xds/xdspb"
	"cobaltward/policy"

	"google.golang.org/protobuf/types/known/structpb"
)

// MetadataNamespace is the key of the router's own options in an endpoint's filter_metadata.
const MetadataNamespace = "wayhold"

// Keys of the options under MetadataNamespace.
const (
	metadataKind    = "kind"
	metadataCell    = "cell"
	metadataStarted = "started_ms"
)

// Health is the health status that the control plane reports for an endpoint.
type Health uint8

// The health statuses. The numbers are those of envoy.config.core.v3.HealthStatus.
const (
	Unknown Health = iota
	Healthy
	Unhealthy
	Draining
	Timeout
	Degraded
)

// String returns the name of the status in envoy.config.core.v3.HealthStatus.
func (h Health) String() string {
	return [...]string{"UNKNOWN", "HEALTHY", "UNHEALTHY", "DRAINING", "TIMEOUT", "DEGRADED"}[h]
}

// Endpoint is one server of a cluster. The field names are keys in the cached list on disk.
type Endpoint struct {
	Addr     string  // IP:port
	Zone     string  // empty: unknown
	Priority uint32  // priority level; 0 is the highest
	Weight   float64 // 1 if the control plane sends no weight
	Health   Health
	ZeroCell bool `json:",omitempty"` // whether the control plane sent cell 0; else a Cell of 0 is unknown
	Kind     string
	Cell     int64
	Started  time.Time // zero: unknown
}

// KnownCell returns the cell of the endpoint. The cell is unknown if the control plane did not send it.
func (e *Endpoint) KnownCell() policy.Cell {
	if e.Cell == 0 && !e.ZeroCell {
		return policy.Cell{}
	}
	return policy.NewCell(e.Cell)
}

// parseEndpoint validates one endpoint. The error is a *fieldError.
func parseEndpoint(message *xdspb.LbEndpoint) (Endpoint, error) {
	if message.GetEndpointName() != "" {
		return Endpoint{}, rejectField("endpoint_name", "named endpoints are not taken, got %q", message.GetEndpointName())
	}
	addr, err := parseAddress(message.GetEndpoint().GetAddress())
	if err != nil {
		return Endpoint{}, err
	}
	endpoint := Endpoint{Addr: addr, Weight: 1}
	if weight := message.GetLoadBalancingWeight(); weight != nil {
		if weight.GetValue() == 0 {
			return Endpoint{}, rejectField("load_balancing_weight", "want 1 or more")
		}
		endpoint.Weight = float64(weight.GetValue())
	}
	health := message.GetHealthStatus()
	if health < 0 || int(health) > int(Degraded) {
		return Endpoint{}, rejectField("health_status", "unknown: %d", health)
	}
	endpoint.Health = Health(health)
	for key, value := range message.GetMetadata().GetFilterMetadata()[MetadataNamespace].GetFields() {
		if err := endpoint.applyMetadata(key, value); err != nil {
			return Endpoint{}, &fieldError{"metadata.filter_metadata." + MetadataNamespace + "." + key, err}
		}
	}
	return endpoint, nil
}

// parseAddress validates an address and returns it as IP:port.
func parseAddress(address *xdspb.Address) (string, error) {
	if pipe := address.GetPipe(); pipe != nil {
		return "", rejectField("endpoint.address.pipe", "Unix sockets are not taken, got %q", pipe.GetPath())
	}
	socket := address.GetSocketAddress()
	if socket == nil {
		return "", rejectField("endpoint.address", "missing")
	}
	const field = "endpoint.address.socket_address."
	switch {
	case socket.GetProtocol() != xdspb.SocketAddress_TCP:
		return "", rejectField(field+"protocol", "want TCP, got %v", socket.GetProtocol())
	case socket.GetResolverName() != "":
		return "", rejectField(field+"resolver_name", "names are not looked up, got %q", socket.GetResolverName())
	case socket.GetNamedPort() != "":
		return "", rejectField(field+"named_port", "want port_value, got %q", socket.GetNamedPort())
	case socket.GetPortValue() == 0 || socket.GetPortValue() > math.MaxUint16:
		return "", rejectField(field+"port_value", "want 1 to 65535, got %d", socket.GetPortValue())
	}
	ip, err := netip.ParseAddr(socket.GetAddress())
	if err != nil || ip.Zone() != "" {
		return "", rejectField(field+"address", "want an IP address, got %q", socket.GetAddress())
	}
	return netip.AddrPortFrom(ip.Unmap(), uint16(socket.GetPortValue())).String(), nil
}

// applyMetadata sets the option that key names in the router's own metadata. Unknown keys are rejected. If a
// misspelled started_ms were ignored, a server that has just started would get its full load at once.
func (e *Endpoint) applyMetadata(key string, value *structpb.Value) error {
	_, isNull := value.GetKind().(*structpb.Value_NullValue)
	if isNull && (key == metadataCell || key == metadataStarted) {
		return nil // left out
	}
	var err error
	switch key {
	case metadataKind:
		e.Kind, err = parseKind(value)
	case metadataCell:
		e.Cell, err = parseCell(value)
		e.ZeroCell = err == nil && e.Cell == 0
	case metadataStarted:
		e.Started, err = parseStarted(value)
	default:
		err = errors.New("unknown key")
	}
	return err
}
