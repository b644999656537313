// Package standin is a control plane for tests and rehearsals, written from the public specification: both variants of
// the Aggregated Discovery Service over gRPC, with the faults that real control planes have. Only tests and tools link
// it.
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
	maxResponseSize = 256 << 20 // bytes
	awaitInterval   = 2 * time.Millisecond
	// versionsPerInstance keeps the versions of control planes of one process apart. In the incremental variant a
	// client names the versions that it holds, and one that restarts and counts from 1 again would take other content
	// for its own.
	versionsPerInstance = 1_000_000
)

// instances counts the control planes of the process.
var instances atomic.Int64

// ControlPlane holds resources and serves them. Its methods are safe for concurrent use.
type ControlPlane struct {
	Addr string // IP:port on which it listens

	server *grpc.Server
	served chan struct{} // closed once the server has ended

	mu        sync.Mutex
	version   int
	resources map[string]map[string]versionedResource // by type URL and name
	changed   chan struct{}                           // closed and replaced at each change
	nacks     []string                                // reasons, the last maxRecorded
	requests  []RecordedRequest                       // the last maxRecorded
	onRequest func(RecordedRequest)
	faults    faults

	Streams atomic.Int64 // opened so far
	Acks    atomic.Int64 // received so far
}

type versionedResource struct {
	version int
	body    *anypb.Any
}

// Start serves on addr, or on a free port of the loopback interface where it is empty, until Stop.
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
		_ = controlPlane.server.Serve(listener) // ends with Stop
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

// Stop ends the server and all streams.
func (p *ControlPlane) Stop() {
	p.server.Stop()
	<-p.served
}

// Set puts clusters, assignments and secrets in force, all at once. It panics on other messages.
func (p *ControlPlane) Set(messages ...proto.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	for _, message := range messages {
		url, name := identify(message)
		body, err := proto.Marshal(message)
		if err != nil {
			panic(err)
		}
		p.resources[url][name] = versionedResource{p.version, &anypb.Any{TypeUrl: url, Value: body}}
	}
	p.notify()
}

// identify is the type URL and the name of a resource.
func identify(message proto.Message) (url, name string) {
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

// Remove takes a resource out of force.
func (p *ControlPlane) Remove(url, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	delete(p.resources[url], name)
	p.notify()
}

// notify tells the streams of a change. The lock is held.
func (p *ControlPlane) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Await waits until a condition holds, and reports whether it did within the time.
func (p *ControlPlane) Await(within time.Duration, condition func(*ControlPlane) bool) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		if condition(p) {
			return true
		}
	}
	return condition(p)
}
