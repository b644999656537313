package standin

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// maxNumberBits limits numbers in options to those that are exact as doubles.
const maxNumberBits = 53

// ParseAssignment returns the assignment of the cluster with the given name. Each text is an endpoint in the syntax
// of the step "endpoints", which docs/xds.md describes.
func ParseAssignment(name string, texts []string) (*xdspb.ClusterLoadAssignment, error) {
	type localityKey struct {
		zone     string
		priority uint32
	}
	assignment := &xdspb.ClusterLoadAssignment{ClusterName: name}
	localities := make(map[localityKey]*xdspb.LocalityLbEndpoints)
	for _, text := range texts {
		parsed, err := parseEndpoint(text)
		if err != nil {
			return nil, err
		}
		key := localityKey{parsed.zone, parsed.priority}
		locality := localities[key]
		if locality == nil {
			locality = &xdspb.LocalityLbEndpoints{Locality: &xdspb.Locality{Zone: key.zone}, Priority: key.priority}
			localities[key] = locality
			assignment.Endpoints = append(assignment.Endpoints, locality)
		}
		locality.LbEndpoints = append(locality.LbEndpoints, parsed.message)
	}
	return assignment, nil
}

// parsedEndpoint is an endpoint with the zone and the priority of its locality.
type parsedEndpoint struct {
	message  *xdspb.LbEndpoint
	zone     string
	priority uint32
	metadata map[string]any // under the router's namespace
}

// parseEndpoint parses an endpoint of the form ADDRESS[/key=value,...].
func parseEndpoint(text string) (parsedEndpoint, error) {
	host, options, _ := strings.Cut(text, "/")
	addr, err := netip.ParseAddrPort(host)
	if err != nil {
		return parsedEndpoint{}, fmt.Errorf("want IP:port, got %q", host)
	}
	parsed := parsedEndpoint{message: newEndpoint(addr), metadata: make(map[string]any)}
	for option := range strings.FieldsFuncSeq(options, func(c rune) bool { return c == ',' }) {
		key, value, _ := strings.Cut(option, "=")
		if err := parsed.setOption(key, value); err != nil {
			return parsedEndpoint{}, fmt.Errorf("%s: %w", host, err)
		}
	}
	if len(parsed.metadata) == 0 {
		return parsed, nil
	}
	fields, err := structpb.NewStruct(parsed.metadata)
	if err != nil {
		return parsedEndpoint{}, err
	}
	parsed.message.Metadata = &xdspb.Metadata{
		FilterMetadata: map[string]*structpb.Struct{resource.MetadataNamespace: fields},
	}
	return parsed, nil
}

func newEndpoint(addr netip.AddrPort) *xdspb.LbEndpoint {
	socket := &xdspb.SocketAddress{
		Address:       addr.Addr().String(),
		PortSpecifier: &xdspb.SocketAddress_PortValue{PortValue: uint32(addr.Port())},
	}
	address := &xdspb.Address{Address: &xdspb.Address_SocketAddress{SocketAddress: socket}}
	return &xdspb.LbEndpoint{HostIdentifier: &xdspb.LbEndpoint_Endpoint{Endpoint: &xdspb.Endpoint{Address: address}}}
}

// setOption sets the option key to value.
func (e *parsedEndpoint) setOption(key, value string) error {
	switch key {
	case "zone":
		e.zone = value
		return nil
	case "kind":
		e.metadata["kind"] = value
		return nil
	case "health":
		health, ok := xdspb.HealthStatus_value[value]
		if !ok {
			return fmt.Errorf("health: no such status: %q", value)
		}
		e.message.HealthStatus = xdspb.HealthStatus(health)
		return nil
	}
	return e.setNumber(key, value)
}

// setNumber sets the option key to a number.
func (e *parsedEndpoint) setNumber(key, value string) error {
	number, err := strconv.ParseUint(value, 10, maxNumberBits)
	if err != nil {
		return fmt.Errorf("want a number for %s, got %q", key, value)
	}
	switch key {
	case "priority":
		e.priority = uint32(number)
	case "weight":
		e.message.LoadBalancingWeight = wrapperspb.UInt32(uint32(number))
	case "cell":
		e.metadata["cell"] = float64(number)
	case "started":
		e.metadata["started_ms"] = float64(number)
	default:
		return fmt.Errorf("no such option: %q", key)
	}
	return nil
}
