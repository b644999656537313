package resource

import (
	"errors"
	"math"
	"net/netip"

	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Field numbers of the messages that are taken apart on the wire.
const (
	assignmentEndpointsField protowire.Number = 2 // ClusterLoadAssignment.endpoints
	localityEndpointsField   protowire.Number = 2 // LocalityLbEndpoints.lb_endpoints
)

// errMalformed says that bytes are no valid ClusterLoadAssignment on the wire.
var errMalformed = errors.New("not a ClusterLoadAssignment")

// rawLocality is a locality of an assignment whose endpoints are not decoded yet.
type rawLocality struct {
	message   xdspb.LocalityLbEndpoints // without lb_endpoints
	endpoints [][]byte
}

// DecodeAssignment decodes and validates the endpoints of a cluster, as ParseAssignment does. Endpoints of the simplest
// form, which nearly all have, are decoded in place, all others by the generated code; FuzzResources checks that both
// give the same. name is empty where the bytes are no ClusterLoadAssignment. pause, if not nil, is called every few
// endpoints.
func DecodeAssignment(raw []byte, pause func()) (name string, assignment *Assignment, err error) {
	rest, rawLocalities, err := extractField(raw, assignmentEndpointsField)
	if err != nil {
		return "", nil, err
	}
	var message xdspb.ClusterLoadAssignment
	if proto.Unmarshal(rest, &message) != nil {
		return "", nil, errMalformed
	}
	localities := make([]rawLocality, len(rawLocalities))
	for i, rawLocality := range rawLocalities {
		if err := localities[i].decode(rawLocality); err != nil {
			return "", nil, err
		}
	}
	assignment, err = buildAssignment(&message, localities, pause)
	if errors.Is(err, errMalformed) {
		return "", nil, errMalformed
	}
	return message.GetClusterName(), assignment, err
}

// decode decodes a locality without its endpoints.
func (l *rawLocality) decode(raw []byte) error {
	rest, endpoints, err := extractField(raw, localityEndpointsField)
	if err != nil {
		return err
	}
	if proto.Unmarshal(rest, &l.message) != nil {
		return errMalformed
	}
	l.endpoints = endpoints
	return nil
}

// extractField takes the values of one field, which holds messages, out of a message. rest is the other fields.
func extractField(raw []byte, field protowire.Number) (rest []byte, values [][]byte, err error) {
	for len(raw) > 0 {
		number, wireType, tagLength := protowire.ConsumeTag(raw)
		if tagLength < 0 {
			return nil, nil, errMalformed
		}
		valueLength := protowire.ConsumeFieldValue(number, wireType, raw[tagLength:])
		if valueLength < 0 {
			return nil, nil, errMalformed
		}
		if number == field && wireType == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(raw[tagLength:])
			values = append(values, value)
		} else {
			rest = append(rest, raw[:tagLength+valueLength]...)
		}
		raw = raw[tagLength+valueLength:]
	}
	return rest, values, nil
}

// decodeEndpoint decodes and validates one endpoint. An error is errMalformed or a *fieldError.
func decodeEndpoint(raw []byte) (Endpoint, error) {
	if endpoint, ok := decodeSimpleEndpoint(raw); ok {
		return endpoint, nil
	}
	var message xdspb.LbEndpoint
	if proto.Unmarshal(raw, &message) != nil {
		return Endpoint{}, errMalformed
	}
	return parseEndpoint(&message)
}

// decodeSimpleEndpoint decodes an endpoint that has an IP address, a port and at most a health and a weight besides,
// each once. ok is false for everything else, valid or not.
func decodeSimpleEndpoint(raw []byte) (endpoint Endpoint, ok bool) {
	var host, health, weight []byte
	if !decodeFields(raw, &host, &health, nil, &weight) {
		return Endpoint{}, false
	}
	addr, ok := decodeSimpleAddress(host)
	if !ok {
		return Endpoint{}, false
	}
	endpoint = Endpoint{Addr: addr, Weight: 1}
	if health != nil {
		value, ok := decodeVarint(health)
		if !ok || value > uint64(Degraded) {
			return Endpoint{}, false
		}
		endpoint.Health = Health(value)
	}
	if weight != nil {
		var wrapped []byte // in a UInt32Value
		if !decodeFields(weight, &wrapped) {
			return Endpoint{}, false
		}
		value, ok := decodeVarint(wrapped)
		if !ok || value == 0 || value > math.MaxUint32 {
			return Endpoint{}, false
		}
		endpoint.Weight = float64(value)
	}
	return endpoint, true
}

// decodeSimpleAddress decodes an Endpoint message that has an IP address and a port alone.
func decodeSimpleAddress(raw []byte) (addr string, ok bool) {
	var address, socket, ip, port []byte
	if !decodeFields(raw, &address) || !decodeFields(address, &socket) || !decodeFields(socket, nil, &ip, &port) {
		return "", false
	}
	parsed, err := netip.ParseAddr(string(ip))
	number, ok := decodeVarint(port)
	if err != nil || parsed.Zone() != "" || !ok || number == 0 || number > math.MaxUint16 {
		return "", false
	}
	return netip.AddrPortFrom(parsed.Unmap(), uint16(number)).String(), true
}

// decodeFields decodes the fields of a message, numbered from 1 on, each into its target. It reports false for a field
// beyond the targets or with a nil target, a field that is there twice or empty, and one that is neither bytes nor a
// varint.
func decodeFields(raw []byte, targets ...*[]byte) bool {
	for len(raw) > 0 {
		number, wireType, n := protowire.ConsumeTag(raw)
		if n < 0 || int(number) > len(targets) || targets[number-1] == nil || *targets[number-1] != nil {
			return false
		}
		value, rest, ok := consumeValue(raw[n:], wireType)
		if !ok || len(value) == 0 { // the generated code takes an empty field for a missing one
			return false
		}
		*targets[number-1] = value
		raw = rest
	}
	return true
}

// consumeValue splits a message into the value that it begins with, bytes or a varint, and the rest.
func consumeValue(raw []byte, wireType protowire.Type) (value, rest []byte, ok bool) {
	switch wireType {
	case protowire.BytesType:
		value, n := protowire.ConsumeBytes(raw)
		if n < 0 {
			return nil, nil, false
		}
		return value, raw[n:], true
	case protowire.VarintType:
		_, n := protowire.ConsumeVarint(raw)
		if n < 0 {
			return nil, nil, false
		}
		return raw[:n], raw[n:], true
	default:
		return nil, nil, false
	}
}

// decodeVarint decodes bytes that are exactly one varint.
func decodeVarint(raw []byte) (value uint64, ok bool) {
	value, n := protowire.ConsumeVarint(raw)
	return value, n > 0 && n == len(raw)
}
