package resource

import (
	"errors"
	"math"
	"net/netip"

	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Numbers of the fields that are extracted from encoded messages.
const (
	assignmentEndpointsField protowire.Number = 2 // ClusterLoadAssignment.endpoints
	localityEndpointsField   protowire.Number = 2 // LocalityLbEndpoints.lb_endpoints
)

// errMalformed is returned for bytes that are not a valid encoding of a ClusterLoadAssignment.
var errMalformed = errors.New("not a ClusterLoadAssignment")

// rawLocality is a locality of an assignment with endpoints that are not decoded yet.
type rawLocality struct {
	message   xdspb.LocalityLbEndpoints // with empty lb_endpoints
	endpoints [][]byte                  // encoded LbEndpoint messages
}

// DecodeAssignment decodes and validates the endpoints of a cluster, as ParseAssignment does. Nearly all endpoints
// have the simplest form. A faster decoder handles the simplest form, and the generated code handles all other forms.
// FuzzResources checks that both decoders give the same result. name is empty if raw is not a ClusterLoadAssignment.
// If pause is not nil, it is called every yieldInterval endpoints.
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

// extractField splits an encoded message. values contains the values of one field, whose type is a message. rest is
// the encoding without this field.
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

// decodeEndpoint decodes and validates one endpoint. The error is errMalformed or a *fieldError.
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

// decodeSimpleEndpoint decodes an endpoint of the simplest form: an IP address and a port, optionally with a health
// status and a weight. Each field occurs at most once. ok is false for all other endpoints, valid or not.
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
		var wrapped []byte // value in the UInt32Value
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

// decodeSimpleAddress decodes an Endpoint message that contains only an IP address and a port.
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

// decodeFields splits a message into its fields and stores field number i in targets[i-1]. It returns false for a
// field with no target or a nil target, and for a second occurrence of a field. It also returns false for an empty
// field, and for a field that is neither bytes nor a varint.
func decodeFields(raw []byte, targets ...*[]byte) bool {
	for len(raw) > 0 {
		number, wireType, n := protowire.ConsumeTag(raw)
		if n < 0 || int(number) > len(targets) || targets[number-1] == nil || *targets[number-1] != nil {
			return false
		}
		value, rest, ok := consumeValue(raw[n:], wireType)
		if !ok || len(value) == 0 { // the generated code treats an empty field as missing
			return false
		}
		*targets[number-1] = value
		raw = rest
	}
	return true
}

// consumeValue splits a value, bytes or a varint, off the beginning of raw.
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

// decodeVarint decodes a varint. ok is false unless raw is exactly one varint.
func decodeVarint(raw []byte) (value uint64, ok bool) {
	value, n := protowire.ConsumeVarint(raw)
	return value, n > 0 && n == len(raw)
}
