package resource

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"cobaltward/discovery/xds/xdspb"
	"cobaltward/policy"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

func address(host string, port uint32) *xdspb.Address {
	return &xdspb.Address{Address: &xdspb.Address_SocketAddress{SocketAddress: &xdspb.SocketAddress{
		Address: host, PortSpecifier: &xdspb.SocketAddress_PortValue{PortValue: port},
	}}}
}

func endpoint(host string, port uint32) *xdspb.LbEndpoint {
	return &xdspb.LbEndpoint{
		HostIdentifier: &xdspb.LbEndpoint_Endpoint{Endpoint: &xdspb.Endpoint{Address: address(host, port)}},
	}
}

func validAssignment() *xdspb.ClusterLoadAssignment {
	return &xdspb.ClusterLoadAssignment{ClusterName: "rooms", Endpoints: []*xdspb.LocalityLbEndpoints{
		{
			Locality:    &xdspb.Locality{Region: "sk", Zone: "nitra"},
			LbEndpoints: []*xdspb.LbEndpoint{endpoint("10.0.0.1", 9000), endpoint("fd00::1", 9000)},
		},
		{
			Locality:    &xdspb.Locality{Region: "sk"},
			Priority:    1,
			LbEndpoints: []*xdspb.LbEndpoint{endpoint("10.0.0.2", 9000)},
		},
	}}
}

// setMetadata sets the metadata of an endpoint to keys, under the router's own namespace.
func setMetadata(t *testing.T, e *xdspb.LbEndpoint, keys map[string]any) {
	t.Helper()
	s, err := structpb.NewStruct(keys)
	if err != nil {
		t.Fatal(err)
	}
	e.Metadata = &xdspb.Metadata{FilterMetadata: map[string]*structpb.Struct{MetadataNamespace: s}}
}

func TestParseAssignment(t *testing.T) {
	p := validAssignment()
	e := p.Endpoints[0].LbEndpoints[0]
	setMetadata(t, e, map[string]any{"kind": "vykonny-4j", "cell": 3, "started_ms": "1700000000000"})
	e.HealthStatus, e.LoadBalancingWeight = xdspb.HealthStatus_DRAINING, wrapperspb.UInt32(7)
	p.Policy = &xdspb.ClusterLoadAssignment_Policy{
		OverprovisioningFactor: wrapperspb.UInt32(200), EndpointStaleAfter: durationpb.New(time.Minute),
		DropOverloads: []*xdspb.ClusterLoadAssignment_Policy_DropOverload{
			{DropPercentage: &xdspb.FractionalPercent{Numerator: 50}},
			{DropPercentage: &xdspb.FractionalPercent{Numerator: 500_000, Denominator: xdspb.FractionalPercent_MILLION}},
		},
	}
	parsed, err := ParseAssignment(p)
	if err != nil {
		t.Fatal(err)
	}
	if parsed.Name != "rooms" || parsed.Drop != 0.75 || parsed.Overprovisioning != 2 || parsed.StaleAfter != time.Minute ||
		len(parsed.Endpoints) != 3 {
		t.Errorf("unexpected assignment %+v", parsed)
	}
	want := Endpoint{
		Addr:    "10.0.0.1:9000",
		Zone:    "nitra",
		Weight:  7,
		Health:  Draining,
		Kind:    "vykonny-4j",
		Cell:    3,
		Started: time.UnixMilli(1700000000000),
	}
	if parsed.Endpoints[0] != want {
		t.Errorf("first endpoint %+v, want %+v", parsed.Endpoints[0], want)
	}
	if e := parsed.Endpoints[1]; e.Addr != "[fd00::1]:9000" || e.Weight != 1 || e.Health != Unknown ||
		!e.Started.IsZero() {
		t.Errorf("unexpected IPv6 endpoint %+v", e)
	}
	if e := parsed.Endpoints[2]; e.Zone != "sk" || e.Priority != 1 {
		t.Errorf("unexpected endpoint of the second locality %+v", e)
	}
	withDefaults, err := ParseAssignment(validAssignment())
	if err != nil || withDefaults.Overprovisioning != 1.4 || withDefaults.Drop != 0 {
		t.Errorf("unexpected defaults: %+v, %v", withDefaults, err)
	}
}

// TestEndpoint_KnownCell guards against duplicate effects: a cell that the control plane leaves out is unknown, and not
// the cell with the number 0. The same holds for cells in a cached list.
func TestEndpoint_KnownCell(t *testing.T) {
	for _, test := range []struct {
		metadata map[string]any
		want     policy.Cell
	}{
		{map[string]any{"kind": "k"}, policy.Cell{}},
		{map[string]any{"cell": nil}, policy.Cell{}},
		{map[string]any{"cell": 0}, policy.NewCell(0)},
		{map[string]any{"cell": 3}, policy.NewCell(3)},
		{map[string]any{"cell": "3"}, policy.NewCell(3)},
	} {
		p := validAssignment()
		setMetadata(t, firstEndpoint(p), test.metadata)
		parsed, err := ParseAssignment(p)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := json.Marshal(parsed.Endpoints[0])
		if err != nil {
			t.Fatal(err)
		}
		var cached Endpoint
		if err := json.Unmarshal(raw, &cached); err != nil {
			t.Fatal(err)
		}
		if got, gotCached := parsed.Endpoints[0].KnownCell(), cached.KnownCell(); got != test.want || gotCached != test.want {
			t.Errorf("%v: got cell %v, and %v after caching, want %v", test.metadata, got, gotCached, test.want)
		}
	}
}

// Paths in an assignment: its first endpoint, that endpoint's socket address, and that endpoint's metadata under the
// router's namespace.
const (
	endpointPath = "endpoints[0].lb_endpoints[0]."
	socketPath   = endpointPath + "endpoint.address.socket_address."
	metadataPath = endpointPath + "metadata.filter_metadata.wayhold."
)

func firstEndpoint(p *xdspb.ClusterLoadAssignment) *xdspb.LbEndpoint {
	return p.Endpoints[0].LbEndpoints[0]
}

func firstSocket(p *xdspb.ClusterLoadAssignment) *xdspb.SocketAddress {
	return firstEndpoint(p).GetEndpoint().Address.GetSocketAddress()
}

// checkRejected applies each change to a valid assignment and checks that the result is rejected. The error must
// contain the key of the change, which names the endpoint and the field. There is a case for each reason for
// rejection in the mapping in docs/xds.md.
func checkRejected(t *testing.T, changes map[string]func(*xdspb.ClusterLoadAssignment)) {
	t.Helper()
	for want, change := range changes {
		t.Run(want, func(t *testing.T) {
			p := validAssignment()
			change(p)
			if _, err := ParseAssignment(p); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got error %v, want one with %q", err, want)
			}
		})
	}
}

// TestParseAssignment_RejectsInvalidAddress checks that an endpoint with an unusable address rejects the whole
// assignment.
func TestParseAssignment_RejectsInvalidAddress(t *testing.T) {
	checkRejected(t, map[string]func(*xdspb.ClusterLoadAssignment){
		socketPath + "port_value: want 1": func(p *xdspb.ClusterLoadAssignment) {
			firstEndpoint(p).HostIdentifier = endpoint("10.0.0.1", 0).HostIdentifier
		},
		socketPath + "port_value: want 1 to": func(p *xdspb.ClusterLoadAssignment) {
			firstEndpoint(p).HostIdentifier = endpoint("10.0.0.1", 70000).HostIdentifier
		},
		socketPath + "address: want an IP address, got \"rooms.svc\"": func(p *xdspb.ClusterLoadAssignment) {
			firstSocket(p).Address = "rooms.svc"
		},
		socketPath + "address: want an IP address, got \"fe80::1%eth0\"": func(p *xdspb.ClusterLoadAssignment) {
			firstSocket(p).Address = "fe80::1%eth0"
		},
		socketPath + "named_port": func(p *xdspb.ClusterLoadAssignment) {
			firstSocket(p).PortSpecifier = &xdspb.SocketAddress_NamedPort{NamedPort: "http"}
		},
		socketPath + "protocol": func(p *xdspb.ClusterLoadAssignment) {
			firstSocket(p).Protocol = xdspb.SocketAddress_UDP
		},
		socketPath + "resolver_name": func(p *xdspb.ClusterLoadAssignment) {
			firstSocket(p).ResolverName = "dns"
		},
		endpointPath + "endpoint.address.pipe": func(p *xdspb.ClusterLoadAssignment) {
			pipe := &xdspb.Address_Pipe{Pipe: &xdspb.Pipe{Path: "/run/a"}}
			firstEndpoint(p).GetEndpoint().Address = &xdspb.Address{Address: pipe}
		},
		endpointPath + "endpoint.address: missing": func(p *xdspb.ClusterLoadAssignment) {
			firstEndpoint(p).GetEndpoint().Address = nil
		},
		endpointPath + "endpoint_name": func(p *xdspb.ClusterLoadAssignment) {
			firstEndpoint(p).HostIdentifier = &xdspb.LbEndpoint_EndpointName{EndpointName: "x"}
		},
	})
}

// TestParseAssignment_RejectsInvalidEndpoint checks that an endpoint with an invalid option rejects the whole
// assignment.
func TestParseAssignment_RejectsInvalidEndpoint(t *testing.T) {
	checkRejected(t, map[string]func(*xdspb.ClusterLoadAssignment){
		endpointPath + "load_balancing_weight": func(p *xdspb.ClusterLoadAssignment) {
			firstEndpoint(p).LoadBalancingWeight = wrapperspb.UInt32(0)
		},
		endpointPath + "health_status": func(p *xdspb.ClusterLoadAssignment) {
			firstEndpoint(p).HealthStatus = 17
		},
		metadataPath + "kindd: unknown key": func(p *xdspb.ClusterLoadAssignment) {
			setMetadata(t, firstEndpoint(p), map[string]any{"kindd": "x"})
		},
		metadataPath + "kind": func(p *xdspb.ClusterLoadAssignment) {
			setMetadata(t, firstEndpoint(p), map[string]any{"kind": 3})
		},
		metadataPath + "cell": func(p *xdspb.ClusterLoadAssignment) {
			setMetadata(t, firstEndpoint(p), map[string]any{"cell": 1.5})
		},
		metadataPath + "started_ms: want Unix": func(p *xdspb.ClusterLoadAssignment) {
			setMetadata(t, firstEndpoint(p), map[string]any{"started_ms": -1})
		},
		metadataPath + "started_ms": func(p *xdspb.ClusterLoadAssignment) {
			setMetadata(t, firstEndpoint(p), map[string]any{"started_ms": "soon"})
		},
	})
}

// TestParseAssignment_RejectsNonNumericMetadata guards against duplicate effects and overloaded servers: a cell or a
// start time that is not a number must not pass for cell 0 or for a server that started long ago.
func TestParseAssignment_RejectsNonNumericMetadata(t *testing.T) {
	for _, key := range []string{metadataCell, metadataStarted} {
		for _, value := range []any{true, false, "", "x", []any{1}, map[string]any{"value": 1}, "NaN"} {
			t.Run(fmt.Sprintf("%s=%v", key, value), func(t *testing.T) {
				checkRejected(t, map[string]func(*xdspb.ClusterLoadAssignment){
					metadataPath + key: func(p *xdspb.ClusterLoadAssignment) {
						setMetadata(t, firstEndpoint(p), map[string]any{key: value})
					},
				})
			})
		}
	}
}

// TestParseAssignment_RejectsInvalid checks that invalid options of an assignment or of its localities reject the
// assignment.
func TestParseAssignment_RejectsInvalid(t *testing.T) {
	checkRejected(t, map[string]func(*xdspb.ClusterLoadAssignment){
		"cluster_name: missing": func(p *xdspb.ClusterLoadAssignment) {
			p.ClusterName = ""
		},
		"cluster_name: over 512 bytes": func(p *xdspb.ClusterLoadAssignment) {
			p.ClusterName = strings.Repeat("x", 513)
		},
		"endpoints[1].lb_endpoints[0].endpoint.address: 10.0.0.1:9000 is there twice": func(p *xdspb.ClusterLoadAssignment) {
			p.Endpoints[1].LbEndpoints[0] = endpoint("::ffff:10.0.0.1", 9000)
		},
		"endpoints[1].priority: want at most 127": func(p *xdspb.ClusterLoadAssignment) {
			p.Endpoints[1].Priority = 128
		},
		"priority 1 is missing, though there is 2": func(p *xdspb.ClusterLoadAssignment) {
			p.Endpoints[1].Priority = 2
		},
		"policy: overprovisioning_factor": func(p *xdspb.ClusterLoadAssignment) {
			p.Policy = &xdspb.ClusterLoadAssignment_Policy{OverprovisioningFactor: wrapperspb.UInt32(0)}
		},
		"policy: endpoint_stale_after: want above 0": func(p *xdspb.ClusterLoadAssignment) {
			p.Policy = &xdspb.ClusterLoadAssignment_Policy{EndpointStaleAfter: durationpb.New(-1)}
		},
		"policy: drop_overloads[0]": func(p *xdspb.ClusterLoadAssignment) {
			p.Policy = &xdspb.ClusterLoadAssignment_Policy{DropOverloads: []*xdspb.ClusterLoadAssignment_Policy_DropOverload{
				{DropPercentage: &xdspb.FractionalPercent{Numerator: 1, Denominator: 9}},
			}}
		},
	})
}

func TestParseCluster(t *testing.T) {
	typed := func(d xdspb.Cluster_DiscoveryType) *xdspb.Cluster {
		return &xdspb.Cluster{Name: "rooms", ClusterDiscoveryType: &xdspb.Cluster_Type{Type: d}}
	}
	withServiceName := typed(xdspb.Cluster_EDS)
	withServiceName.EdsClusterConfig = &xdspb.Cluster_EdsClusterConfig{ServiceName: "rooms-v2"}
	static := typed(xdspb.Cluster_STATIC)
	static.LoadAssignment = validAssignment()
	for want, p := range map[string]*xdspb.Cluster{"rooms": typed(xdspb.Cluster_EDS), "rooms-v2": withServiceName} {
		if c, err := ParseCluster(p); err != nil || !c.EDS || c.ServiceName != want || c.Static != nil {
			t.Errorf("unexpected EDS cluster %+v, error %v", c, err)
		}
	}
	if c, err := ParseCluster(static); err != nil || c.EDS || len(c.Static.Endpoints) != 3 {
		t.Errorf("unexpected static cluster %+v, error %v", c, err)
	}
	edsWithAssignment, staticWithoutAssignment, staticInvalid :=
		typed(xdspb.Cluster_EDS), typed(xdspb.Cluster_STATIC), typed(xdspb.Cluster_STATIC)
	edsWithAssignment.LoadAssignment, staticInvalid.LoadAssignment = validAssignment(), validAssignment()
	staticInvalid.LoadAssignment.Endpoints[0].LbEndpoints[1] = endpoint("10.0.0.1", 0)
	for want, cluster := range map[string]*xdspb.Cluster{
		"name: missing":                      {},
		"type: STRICT_DNS is refused":        typed(xdspb.Cluster_STRICT_DNS),
		"type: LOGICAL_DNS is refused":       typed(xdspb.Cluster_LOGICAL_DNS),
		"type: ORIGINAL_DST is not taken":    typed(xdspb.Cluster_ORIGINAL_DST),
		"load_assignment: a cluster of type": edsWithAssignment,
		"load_assignment: missing":           staticWithoutAssignment,
		"endpoints[0].lb_endpoints[1].endpoint.address.socket_address.port_value": staticInvalid,
		"cluster_type: custom types": {Name: "x", ClusterDiscoveryType: &xdspb.Cluster_ClusterType{
			ClusterType: &xdspb.Cluster_CustomClusterType{Name: "envoy.clusters.aggregate"},
		}},
	} {
		t.Run(want, func(t *testing.T) {
			if _, err := ParseCluster(cluster); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got error %v, want one with %q", err, want)
			}
		})
	}
}

// FuzzResources checks that the decoders do not panic on any input. decodeSimpleEndpoint must give the same result as
// the generated code.
func FuzzResources(f *testing.F) {
	for _, m := range []proto.Message{
		validAssignment(), &xdspb.Cluster{Name: "c", LoadAssignment: validAssignment()},
		validAssignment().Endpoints[0].LbEndpoints[0],
	} {
		raw, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var a xdspb.ClusterLoadAssignment
		decodable := proto.Unmarshal(raw, &a) == nil
		name, got, err := DecodeAssignment(raw, nil)
		if err == nil && (!decodable || name != a.GetClusterName() || got.Name == "" || got.Drop < 0 || got.Drop > 1) {
			t.Errorf("inconsistent assignment %q: %+v", name, got)
		}
		if decodable && err != nil && errors.Is(err, errMalformed) {
			t.Errorf("got error %v for bytes that the generated code accepts", err)
		}
		var e xdspb.LbEndpoint
		if simple, ok := decodeSimpleEndpoint(raw); ok {
			if err := proto.Unmarshal(raw, &e); err != nil {
				t.Fatalf("got %+v for bytes that the generated code rejects: %v", simple, err)
			}
			if want, err := parseEndpoint(&e); err != nil || simple != want {
				t.Errorf("got %+v, but %+v with the generated code, %v", simple, want, err)
			}
		}
		var c xdspb.Cluster
		if proto.Unmarshal(raw, &c) == nil {
			if got, err := ParseCluster(&c); err == nil && got.EDS == (got.Static != nil) {
				t.Errorf("the cluster must have either EDS or a static assignment: %+v", got)
			}
		}
	})
}
