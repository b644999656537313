// Package standin provides a control plane for tests and rehearsals, implemented from the public specification. It
// serves both variants of the Aggregated Discovery Service (ADS) over gRPC and can simulate faults of real control
// planes. Only tests and tools use it.
package standin

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

const (
	maxResponseSize = 256 << 20 // maximum size of a response, in bytes
	awaitInterval   = 2 * time.Millisecond
	// versionsPerInstance is the number of versions reserved for each control plane in a process. In the incremental
	// variant, a client reports the versions of its resources. If a restarted control plane counted from 1 again, a
	// reported version could be the same although the content differs.
	versionsPerInstance = 1_000_000
)

// instances is the number of control planes started in this process.
var instances atomic.Int64

// ControlPlane stores resources and serves them over ADS. Its methods are safe for concurrent use.
type ControlPlane struct {
	Addr string // IP:port of the listener

	server *grpc.Server
	served chan struct{} // closed after the server has ended

	mu        sync.Mutex
	version   int
	resources map[string]map[string]versionedResource // by type URL and name
	changed   chan struct{}                           // closed and replaced at each change
	nacks     []string                                // reasons of the last maxRecorded NACKs
	requests  []RecordedRequest                       // last maxRecorded requests
	onRequest func(RecordedRequest)
	faults    faults

	Streams atomic.Int64 // number of streams opened so far
	Acks    atomic.Int64 // number of ACKs received so far
}

type versionedResource struct {
	version int
	body    *anypb.Any
}

// Start starts a control plane on addr, or on a free port of the loopback interface if addr is empty. It serves until
// Stop is called.
func Start(addr string, options ...grpc.ServerOption) (*ControlPlane, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	controlPlane := &ControlPlane{
		Addr:    listener.Addr().String(),
		server:  grpc.NewServer(append(options, grpc.MaxSendMsgSize(maxResponseSize))...),
		served:  make(chan struct{}),
		version: int(instances.Add(1)) * versionsPerInstance,
		resources: map[string]map[string]versionedResource{
			resource.ClusterURL: {}, resource.AssignmentURL: {}, resource.SecretURL: {},
		},
		changed: make(chan struct{}),
	}
	controlPlane.server.RegisterService(controlPlane.serviceDesc(), controlPlane)
	go func() {
		_ = controlPlane.server.Serve(listener) // returns after Stop
		close(controlPlane.served)
	}()
	return controlPlane, nil
}

func (p *ControlPlane) serviceDesc() *grpc.ServiceDesc {
	streamDesc := func(name string, delta bool) grpc.StreamDesc {
		return grpc.StreamDesc{
			StreamName: name, ServerStreams: true, ClientStreams: true,
			Handler: func(_ any, s grpc.ServerStream) error { return p.serve(s, delta) },
		}
	}
	return &grpc.ServiceDesc{
		ServiceName: "envoy.service.discovery.v3.AggregatedDiscoveryService",
		HandlerType: (*any)(nil),
		Streams: []grpc.StreamDesc{
			streamDesc("StreamAggregatedResources", false),
			streamDesc("DeltaAggregatedResources", true),
		},
	}
}

// Stop stops the server and ends all streams.
func (p *ControlPlane) Stop() {
	p.server.Stop()
	<-p.served
}

// Set adds or replaces clusters, assignments and secrets in one atomic change. It panics on other messages.
func (p *ControlPlane) Set(messages ...proto.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	for _, message := range messages {
		url, name := resourceKey(message)
		body, err := proto.Marshal(message)
		if err != nil {
			panic(err)
		}
		p.resources[url][name] = versionedResource{p.version, &anypb.Any{TypeUrl: url, Value: body}}
	}
	p.notify()
}

// resourceKey returns the type URL and the name of a resource.
func resourceKey(message proto.Message) (url, name string) {
	switch m := message.(type) {
	case *xdspb.Cluster:
		return resource.ClusterURL, m.GetName()
	case *xdspb.ClusterLoadAssignment:
		return resource.AssignmentURL, m.GetClusterName()
	case *xdspb.Secret:
		return resource.SecretURL, m.GetName()
	default:
		panic(fmt.Sprintf("standin: not a resource: %T", message))
	}
}

// Remove removes the resource with the given type URL and name.
func (p *ControlPlane) Remove(url, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	delete(p.resources[url], name)
	p.notify()
}

// notify wakes the streams after a change. The caller holds the lock.
func (p *ControlPlane) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Await waits until condition holds and returns true. If the condition does not hold within the given time, it
// returns false.
func (p *ControlPlane) Await(within time.Duration, condition func(*ControlPlane) bool) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		if condition(p) {
			return true
		}
	}
	return condition(p)
}
