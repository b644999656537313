package resource

import (
	"errors"
	"fmt"
	"net/netip"

	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// pauseInterval is after how many endpoints the reader of a large assignment may be made to pause.
const pauseInterval = 32

// errMalformed says that bytes are no message of the type that they are for.
var errMalformed = errors.New("not a ClusterLoadAssignment")

// DecodeAssignment reads the endpoints of a cluster from the wire, as ParseAssignment does. Endpoints of
// the plainest form, which nearly all are, are read in place; for any other the generated reader judges
// (FuzzResources holds the two against one another). Where the bytes are no message, the name is empty. pause,
// where it is not nil, is called every few endpoints.
func DecodeAssignment(raw []byte, pause func()) (name string, a *Assignment, err error) {
	rest, localities, err := extractField(raw, 2)
	if err != nil {
		return "", nil, err
	}
	var p xdspb.ClusterLoadAssignment
	if proto.Unmarshal(rest, &p) != nil {
		return "", nil, errMalformed
	}
	parts := make([]rawLocality, len(localities))
	for i, l := range localities {
		head, endpoints, err := extractField(l, 2)
		if err != nil {
			return "", nil, err
		}
		if proto.Unmarshal(head, &parts[i].message) != nil {
			return "", nil, errMalformed
		}
		parts[i].endpoints = endpoints
	}
	a, err = buildAssignment(&p, parts, pause)
	if errors.Is(err, errMalformed) {
		return "", nil, errMalformed
	}
	return p.GetClusterName(), a, err
}

// rawLocality is one of an assignment's, its endpoints still as they came.
type rawLocality struct {
	message   xdspb.LocalityLbEndpoints
	endpoints [][]byte
}

// extractField takes the occurrences of one field, which holds messages, out of a message.
func extractField(raw []byte, field protowire.Number) (rest []byte, taken [][]byte, err error) {
	for len(raw) > 0 {
		num, typ, n := protowire.ConsumeTag(raw)
		if n < 0 {
			return nil, nil, errMalformed
		}
		m := protowire.ConsumeFieldValue(num, typ, raw[n:])
		if m < 0 {
			return nil, nil, errMalformed
		}
		if num == field && typ == protowire.BytesType {
			v, _ := protowire.ConsumeBytes(raw[n:])
			taken = append(taken, v)
		} else {
			rest = append(rest, raw[:n+m]...)
		}
		raw = raw[n+m:]
	}
	return rest, taken, nil
}

// decodeEndpoint reads one endpoint; its error is told with the field.
func decodeEndpoint(raw []byte) (e Endpoint, field string, err error) {
	if e, ok := decodeSimpleEndpoint(raw); ok {
		return e, "", nil
	}
	var p xdspb.LbEndpoint
	if proto.Unmarshal(raw, &p) != nil {
		return e, "", errMalformed
	}
	return parseEndpoint(&p)
}

// decodeSimpleEndpoint reads an endpoint that has an IP address, a port, and at most its health and weight
// beside it, each once. It reports false for all else, good or bad.
func decodeSimpleEndpoint(raw []byte) (e Endpoint, ok bool) {
	var host, health, weight []byte
	if !decodeFields(raw, &host, &health, nil, &weight) {
		return e, false
	}
	var addr, sock, ip, port []byte
	if !decodeFields(host, &addr) || !decodeFields(addr, &sock) || !decodeFields(sock, nil, &ip, &port) {
		return e, false
	}
	at, err := netip.ParseAddr(string(ip))
	n, ok := decodeVarint(port)
	if err != nil || at.Zone() != "" || !ok || n == 0 || n > 65535 {
		return e, false
	}
	e = Endpoint{Addr: netip.AddrPortFrom(at.Unmap(), uint16(n)).String(), Weight: 1}
	if health != nil {
		n, ok := decodeVarint(health)
		if !ok || n > uint64(Degraded) {
			return e, false
		}
		e.Health = Health(n)
	}
	if weight != nil {
		var value []byte
		if !decodeFields(weight, &value) {
			return e, false
		}
		n, ok := decodeVarint(value)
		if !ok || n == 0 || n > 1<<32-1 {
			return e, false
		}
		e.Weight = float64(n)
	}
	return e, true
}

// decodeFields takes the decodeFields numbered from 1 on out of a message. It reports false where it has another, one
// for which there is nil, one twice, or one that is neither bytes nor a varint.
func decodeFields(raw []byte, to ...*[]byte) bool {
	for len(raw) > 0 {
		num, typ, n := protowire.ConsumeTag(raw)
		if n < 0 || int(num) > len(to) || to[num-1] == nil || *to[num-1] != nil {
			return false
		}
		raw = raw[n:]
		var value []byte
		switch typ {
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(raw)
			if n < 0 {
				return false
			}
			value, raw = v, raw[n:]
		case protowire.VarintType:
			_, n := protowire.ConsumeVarint(raw)
			if n < 0 {
				return false
			}
			value, raw = raw[:n], raw[n:]
		default:
			return false
		}
		if len(value) == 0 {
			return false // as if it were not there: the generated reader judges
		}
		*to[num-1] = value
	}
	return true
}

// decodeVarint is a whole varint.
func decodeVarint(raw []byte) (uint64, bool) {
	v, n := protowire.ConsumeVarint(raw)
	return v, n > 0 && n == len(raw)
}

// buildAssignment puts an assignment together, or says by which endpoint and field the whole is refused.
func buildAssignment(p *xdspb.ClusterLoadAssignment, parts []rawLocality, pause func()) (*Assignment, error) {
	if err := checkName("cluster_name", p.GetClusterName()); err != nil {
		return nil, err
	}
	a := &Assignment{Name: p.GetClusterName(), Overprovisioning: defaultOverprovisioningPercent / 100.0}
	fail := func(field string, err error) (*Assignment, error) {
		return nil, fmt.Errorf("assignment %q: %s: %w", a.Name, field, err)
	}
	if err := a.applyPolicy(p.GetPolicy()); err != nil {
		return fail("policy", err)
	}
	total := 0
	for i := range parts {
		total += len(parts[i].endpoints)
	}
	if total > MaxEndpoints {
		return fail("endpoints", fmt.Errorf("%d of them, %d are allowed", total, MaxEndpoints))
	}
	a.Endpoints = make([]Endpoint, 0, total)
	seen := make(map[string]bool, total)
	highest, used := uint32(0), make(map[uint32]bool)
	for i := range parts {
		l, at := &parts[i].message, fmt.Sprintf("endpoints[%d]", i)
		if l.GetPriority() > maxPriority {
			return fail(at+".priority", fmt.Errorf("want at most %d, got %d", maxPriority, l.GetPriority()))
		}
		// Envoy leaves a locality without a weight out where localities are weighed; here the module
		// weighs servers, and zones come by its own order, so the weight of a locality is not read.
		highest, used[l.GetPriority()] = max(highest, l.GetPriority()), true
		for j, raw := range parts[i].endpoints {
			if pause != nil && len(a.Endpoints)%pauseInterval == pauseInterval-1 {
				pause()
			}
			e, field, err := decodeEndpoint(raw)
			if err != nil {
				return fail(fmt.Sprintf("%s.lb_endpoints[%d].%s", at, j, field), err)
			}
			if seen[e.Addr] {
				return fail(fmt.Sprintf("%s.lb_endpoints[%d].endpoint.address", at, j), fmt.Errorf("%s is there twice", e.Addr))
			}
			seen[e.Addr] = true
			e.Zone, e.Priority = zone(l.GetLocality()), l.GetPriority()
			a.Endpoints = append(a.Endpoints, e)
		}
	}
	for n := range highest {
		if !used[n] {
			return fail("endpoints", fmt.Errorf("priority %d is missing, though there is %d", n, highest))
		}
	}
	return a, nil
}
