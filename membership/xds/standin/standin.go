// Package standin is a control plane for tests and rehearsals, written from the public specification:
// both variants of the Aggregated Discovery Service over gRPC, with the faults that real ones have. It
// is linked by tests and tools only.
package standin

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"cobaltward/membership/xds/resource"
	"cobaltward/membership/xds/xdspb"
)

// Plane holds resources and serves them. Its methods may be called at once from many goroutines.
type Plane struct {
	Addr string

	server *grpc.Server
	served chan struct{}

	mu      sync.Mutex
	version int
	all     map[string]map[string]versioned // by type URL and name
	changed chan struct{}                   // closed at each change
	nacks   []string
	mute    bool // accept streams, and answer nothing
	fail    codes.Code

	Streams atomic.Int64 // begun
	Acks    atomic.Int64
}

// started counts planes, so that each has versions of its own.
var started atomic.Int64

type versioned struct {
	version int
	body    *anypb.Any
}

// Start serves on loopback, or on addr where it is not empty.
func Start(addr string) (*Plane, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	// Versions of one plane are not those of another: in the incremental variant a client names what it
	// holds, and a restarted plane that counts from one again would take other content for its own.
	p := &Plane{version: int(started.Add(1)) * 1_000_000, Addr: ln.Addr().String(), served: make(chan struct{}), changed: make(chan struct{}),
		all:    map[string]map[string]versioned{resource.ClusterURL: {}, resource.AssignmentURL: {}},
		server: grpc.NewServer(grpc.MaxSendMsgSize(256 << 20))}
	p.server.RegisterService(&grpc.ServiceDesc{
		ServiceName: "envoy.service.discovery.v3.AggregatedDiscoveryService",
		HandlerType: (*any)(nil),
		Streams: []grpc.StreamDesc{
			{StreamName: "StreamAggregatedResources", ServerStreams: true, ClientStreams: true,
				Handler: func(_ any, s grpc.ServerStream) error { return p.sotw(s) }},
			{StreamName: "DeltaAggregatedResources", ServerStreams: true, ClientStreams: true,
				Handler: func(_ any, s grpc.ServerStream) error { return p.delta(s) }},
		},
	}, p)
	go func() {
		_ = p.server.Serve(ln) // ends with Stop
		close(p.served)
	}()
	return p, nil
}

// Stop ends it with all its streams.
func (p *Plane) Stop() {
	p.server.Stop()
	<-p.served
}

// Set puts resources in force, all at once. Their type tells what they are.
func (p *Plane) Set(all ...proto.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	for _, m := range all {
		url, name := resource.ClusterURL, ""
		switch r := m.(type) {
		case *xdspb.Cluster:
			name = r.GetName()
		case *xdspb.ClusterLoadAssignment:
			url, name = resource.AssignmentURL, r.GetClusterName()
		default:
			panic(fmt.Sprintf("standin: not a resource: %T", m))
		}
		body, err := proto.Marshal(m)
		if err != nil {
			panic(err)
		}
		p.all[url][name] = versioned{p.version, &anypb.Any{TypeUrl: url, Value: body}}
	}
	p.notify()
}

// Remove takes a resource out of force.
func (p *Plane) Remove(url, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	delete(p.all[url], name)
	p.notify()
}

// Mute has it accept streams and answer nothing, or answer again.
func (p *Plane) Mute(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mute = on
	p.notify()
}

// Fail has it end streams with a code; codes.OK ends that.
func (p *Plane) Fail(code codes.Code) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fail = code
	p.notify()
}

// Nacks are the reasons that clients refused for.
func (p *Plane) Nacks() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.nacks)
}

func (p *Plane) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// begin says what a stream is to do, and what tells of the next change.
func (p *Plane) begin() (changed chan struct{}, mute bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fail != codes.OK {
		err = status.Error(p.fail, "as the script has it")
	}
	return p.changed, p.mute, err
}

func (p *Plane) acknowledged(nonce string, bad *xdspb.Status) {
	if bad != nil {
		p.mu.Lock()
		p.nacks = append(p.nacks, bad.GetMessage())
		p.mu.Unlock()
	} else if nonce != "" {
		p.Acks.Add(1)
	}
}

// requests passes on what a stream brings, until it ends.
func requests[T any, M interface {
	*T
	proto.Message
}](s grpc.ServerStream) <-chan M {
	out := make(chan M)
	go func() {
		defer close(out)
		for {
			m := M(new(T))
			if s.RecvMsg(m) != nil {
				return
			}
			select {
			case out <- m:
			case <-s.Context().Done():
				return
			}
		}
	}()
	return out
}

// subscription is what a stream has asked for and been sent, of one type.
type subscription struct {
	asked bool
	names map[string]bool // nil: all
	sent  map[string]int  // versions
	whole int             // SotW: the version of the last response
}

func newSubscriptions() map[string]*subscription {
	return map[string]*subscription{resource.ClusterURL: {sent: make(map[string]int)}, resource.AssignmentURL: {sent: make(map[string]int)}}
}

func (p *Plane) sotw(s grpc.ServerStream) error {
	p.Streams.Add(1)
	subs, in, nonce := newSubscriptions(), requests[xdspb.DiscoveryRequest](s), 0
	for {
		changed, mute, err := p.begin()
		if err != nil {
			return err
		}
		for _, url := range []string{resource.ClusterURL, resource.AssignmentURL} {
			if mute { // what it does not send is not sent, and goes out once it answers again
				continue
			}
			if r := p.whole(url, subs[url]); r != nil {
				nonce++
				r.Nonce = fmt.Sprint(nonce)
				if err := s.SendMsg(r); err != nil {
					return err
				}
			}
		}
		select {
		case <-changed:
		case r, ok := <-in:
			if !ok {
				return nil
			}
			p.acknowledged(r.GetResponseNonce(), r.GetErrorDetail())
			sub := subs[r.GetTypeUrl()]
			if sub == nil || r.GetResponseNonce() != "" && r.GetResponseNonce() != fmt.Sprint(nonce) && r.GetTypeUrl() == resource.ClusterURL {
				continue
			}
			if r.GetTypeUrl() == resource.AssignmentURL {
				names := make(map[string]bool)
				for _, n := range r.GetResourceNames() {
					names[n] = true
				}
				maps.DeleteFunc(sub.sent, func(n string, _ int) bool { return !names[n] })
				sub.names = names
			}
			sub.asked = true
		}
	}
}

// whole is the response of the state of the world that a subscription lacks; nil where it lacks none.
func (p *Plane) whole(url string, sub *subscription) *xdspb.DiscoveryResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !sub.asked {
		return nil
	}
	r := &xdspb.DiscoveryResponse{VersionInfo: fmt.Sprint(p.version), TypeUrl: url}
	stale := url == resource.ClusterURL && sub.whole == 0
	for _, name := range slices.Sorted(maps.Keys(p.all[url])) {
		v := p.all[url][name]
		if sub.names != nil && !sub.names[name] {
			continue
		}
		if url == resource.ClusterURL || sub.sent[name] != v.version {
			r.Resources = append(r.Resources, v.body)
		}
		stale = stale || sub.sent[name] != v.version
		sub.sent[name] = v.version
	}
	for name := range sub.sent {
		if _, ok := p.all[url][name]; !ok {
			delete(sub.sent, name)
			stale = stale || url == resource.ClusterURL
		}
	}
	if !stale {
		return nil
	}
	sub.whole++
	return r
}

func (p *Plane) delta(s grpc.ServerStream) error {
	p.Streams.Add(1)
	subs, in, nonce := newSubscriptions(), requests[xdspb.DeltaDiscoveryRequest](s), 0
	for {
		changed, mute, err := p.begin()
		if err != nil {
			return err
		}
		for _, url := range []string{resource.ClusterURL, resource.AssignmentURL} {
			if mute {
				continue
			}
			if r := p.part(url, subs[url]); r != nil {
				nonce++
				r.Nonce = fmt.Sprint(nonce)
				if err := s.SendMsg(r); err != nil {
					return err
				}
			}
		}
		select {
		case <-changed:
		case r, ok := <-in:
			if !ok {
				return nil
			}
			p.acknowledged(r.GetResponseNonce(), r.GetErrorDetail())
			sub := subs[r.GetTypeUrl()]
			if sub == nil {
				continue
			}
			for name, v := range r.GetInitialResourceVersions() {
				n := 0
				if _, err := fmt.Sscan(v, &n); err == nil {
					sub.sent[name] = n
				}
			}
			if r.GetTypeUrl() == resource.AssignmentURL && sub.names == nil {
				sub.names = make(map[string]bool)
			}
			for _, n := range r.GetResourceNamesUnsubscribe() {
				delete(sub.names, n)
				delete(sub.sent, n)
			}
			for _, n := range r.GetResourceNamesSubscribe() {
				sub.names[n] = true
			}
			sub.asked = true
		}
	}
}

// part is the incremental response that a subscription lacks; nil where it lacks none.
func (p *Plane) part(url string, sub *subscription) *xdspb.DeltaDiscoveryResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !sub.asked {
		return nil
	}
	r := &xdspb.DeltaDiscoveryResponse{SystemVersionInfo: fmt.Sprint(p.version), TypeUrl: url}
	for _, name := range slices.Sorted(maps.Keys(p.all[url])) {
		v := p.all[url][name]
		if (sub.names == nil || sub.names[name]) && sub.sent[name] != v.version {
			r.Resources = append(r.Resources, &xdspb.Resource{Name: name, Version: fmt.Sprint(v.version), Resource: v.body})
			sub.sent[name] = v.version
		}
	}
	for name := range sub.sent {
		if _, ok := p.all[url][name]; !ok {
			r.RemovedResources = append(r.RemovedResources, name)
			delete(sub.sent, name)
		}
	}
	if len(r.Resources)+len(r.RemovedResources) == 0 {
		return nil
	}
	return r
}

// Await waits for a condition of the plane's.
func (p *Plane) Await(within time.Duration, ok func(*Plane) bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok(p) {
			return true
		}
	}
	return ok(p)
}
