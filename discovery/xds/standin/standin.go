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

	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// ControlPlane holds resources and serves them. Its methods may be called at once from many goroutines.
type ControlPlane struct {
	Addr string

	server *grpc.Server
	served chan struct{}

	mu              sync.Mutex
	version         int
	resources       map[string]map[string]versioned // by type URL and name
	changed         chan struct{}                   // closed at each change
	nacks           []string
	receiveRequests []RecordedRequest
	onRequest       func(RecordedRequest)
	faults          faults

	Streams atomic.Int64 // begun
	Acks    atomic.Int64
}

// faults is how a plane answers; the zero value is as it should be.
type faults struct {
	rejectCode     codes.Code      // streams end with it
	muted          map[string]bool // by type URL: nothing of it is sent
	closeCount     int             // how often all streams were ended
	closeCode      codes.Code      // and with what
	resendCount    int             // how often the last response was to be sent once more
	endpointsFirst bool            // endpoints before clusters
	shownVersion   string          // shown in place of its own
	nextNonce      string          // of the next response
}

// RecordedRequest is one request that a client sent.
type RecordedRequest struct {
	At          time.Time
	Stream      int64
	Type        string
	Nonce       string            `json:",omitempty"`
	Version     string            `json:",omitempty"` // state of the world
	Names       []string          `json:",omitempty"` // state of the world
	Subscribe   []string          `json:",omitempty"` // incremental, as the next two
	Unsubscribe []string          `json:",omitempty"`
	Initial     map[string]string `json:",omitempty"`
	Node        string            `json:",omitempty"` // its id, where the node is there
	Error       string            `json:",omitempty"` // of a NACK
}

// maxRecorded bounds the requests and the refusals that a plane remembers.
const maxRecorded = 10_000

// startedCount counts planes, so that each has versions of its own.
var startedCount atomic.Int64

type versioned struct {
	version int
	body    *anypb.Any
}

// Start serves on loopback, or on addr where it is not empty.
func Start(addr string, options ...grpc.ServerOption) (*ControlPlane, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	// Versions of one plane are not those of another: in the incremental variant a client names what it
	// holds, and a restarted plane that counts from one again would take other content for its own.
	p := &ControlPlane{
		version: int(startedCount.Add(1)) * 1_000_000, Addr: ln.Addr().String(), served: make(chan struct{}), changed: make(chan struct{}),
		resources: map[string]map[string]versioned{resource.ClusterURL: {}, resource.AssignmentURL: {}, resource.SecretURL: {}},
		server:    grpc.NewServer(append(options, grpc.MaxSendMsgSize(256<<20))...),
	}
	p.server.RegisterService(&grpc.ServiceDesc{
		ServiceName: "envoy.service.discovery.v3.AggregatedDiscoveryService",
		HandlerType: (*any)(nil),
		Streams: []grpc.StreamDesc{
			{
				StreamName: "StreamAggregatedResources", ServerStreams: true, ClientStreams: true,
				Handler: func(_ any, s grpc.ServerStream) error { return p.serve(s, false) },
			},
			{
				StreamName: "DeltaAggregatedResources", ServerStreams: true, ClientStreams: true,
				Handler: func(_ any, s grpc.ServerStream) error { return p.serve(s, true) },
			},
		},
	}, p)
	go func() {
		_ = p.server.Serve(ln) // ends with Stop
		close(p.served)
	}()
	return p, nil
}

// Stop ends it with all its streams.
func (p *ControlPlane) Stop() {
	p.server.Stop()
	<-p.served
}

// Set puts resources in force, all at once. Their type tells what they are.
func (p *ControlPlane) Set(all ...proto.Message) {
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
		case *xdspb.Secret:
			url, name = resource.SecretURL, r.GetName()
		default:
			panic(fmt.Sprintf("standin: not a resource: %T", m))
		}
		body, err := proto.Marshal(m)
		if err != nil {
			panic(err)
		}
		p.resources[url][name] = versioned{p.version, &anypb.Any{TypeUrl: url, Value: body}}
	}
	p.notify()
}

// Remove takes a resource out of force.
func (p *ControlPlane) Remove(url, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	delete(p.resources[url], name)
	p.notify()
}

// SetMuted has it accept streams and answer nothing, or answer again; of the types named alone, or of all.
func (p *ControlPlane) SetMuted(on bool, types ...string) {
	if len(types) == 0 {
		types = []string{resource.ClusterURL, resource.AssignmentURL}
	}
	p.changeFaults(func(b *faults) {
		mute := maps.Clone(b.muted)
		if mute == nil {
			mute = make(map[string]bool)
		}
		for _, t := range types {
			mute[t] = on
		}
		b.muted = mute
	})
}

// RejectStreams has it end streams with a code; codes.OK ends that.
func (p *ControlPlane) RejectStreams(code codes.Code) {
	p.changeFaults(func(b *faults) { b.rejectCode = code })
}

// CloseStreams ends the streams that are open, with a code.
func (p *ControlPlane) CloseStreams(code codes.Code) {
	p.changeFaults(func(b *faults) { b.closeCount, b.closeCode = b.closeCount+1, code })
}

// ResendLast has every stream send its last response once more.
func (p *ControlPlane) ResendLast() { p.changeFaults(func(b *faults) { b.resendCount++ }) }

func (p *ControlPlane) changeFaults(change func(*faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
	p.notify()
}

// Nacks are the reasons that clients refused for.
func (p *ControlPlane) Nacks() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.nacks)
}

// Requests are the last of those that clients sent.
func (p *ControlPlane) Requests() []RecordedRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.receiveRequests)
}

// OnRequest has every request handed to f, one after the other. f must not wait for the plane.
func (p *ControlPlane) OnRequest(f func(RecordedRequest)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onRequest = f
}

func (p *ControlPlane) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// currentFaults is how the plane behaves, and what tells of the next change.
func (p *ControlPlane) currentFaults() (faults, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}

// record notes a request.
func (p *ControlPlane) record(r RecordedRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.receiveRequests = append(p.receiveRequests[max(0, len(p.receiveRequests)+1-maxRecorded):], r)
	if p.onRequest != nil {
		p.onRequest(r)
	}
	if r.Error != "" {
		p.nacks = append(p.nacks[max(0, len(p.nacks)+1-maxRecorded):], r.Error)
	} else if r.Nonce != "" {
		p.Acks.Add(1)
	}
}

// requests passes on what a stream brings, until it ends.
func requests(s grpc.ServerStream, delta bool) <-chan RecordedRequest {
	out := make(chan RecordedRequest)
	receive := func() (RecordedRequest, error) {
		var r xdspb.DiscoveryRequest
		err := s.RecvMsg(&r)
		return RecordedRequest{
			Type: r.GetTypeUrl(), Nonce: r.GetResponseNonce(), Version: r.GetVersionInfo(), Names: r.GetResourceNames(),
			Node: r.GetNode().GetId(), Error: r.GetErrorDetail().GetMessage(),
		}, err
	}
	if delta {
		receive = func() (RecordedRequest, error) {
			var r xdspb.DeltaDiscoveryRequest
			err := s.RecvMsg(&r)
			return RecordedRequest{
				Type: r.GetTypeUrl(), Nonce: r.GetResponseNonce(), Subscribe: r.GetResourceNamesSubscribe(),
				Unsubscribe: r.GetResourceNamesUnsubscribe(), Initial: r.GetInitialResourceVersions(),
				Node: r.GetNode().GetId(), Error: r.GetErrorDetail().GetMessage(),
			}, err
		}
	}
	go func() {
		defer close(out)
		for {
			r, err := receive()
			if err != nil {
				return
			}
			r.At = time.Now()
			select {
			case out <- r:
			case <-s.Context().Done():
				return
			}
		}
	}()
	return out
}

// serve is one stream of either variant.
func (p *ControlPlane) serve(s grpc.ServerStream, delta bool) error {
	id := p.Streams.Add(1)
	subs := map[string]*subscription{resource.ClusterURL: {sent: make(map[string]int)}, resource.AssignmentURL: {sent: make(map[string]int)}, resource.SecretURL: {sent: make(map[string]int)}}
	in, count, last := requests(s, delta), 0, make(map[string]string)
	var before proto.Message
	began, _ := p.currentFaults()
	for {
		b, changed := p.currentFaults()
		switch {
		case b.rejectCode != codes.OK:
			return status.Error(b.rejectCode, "as the script has it")
		case b.closeCount != began.closeCount:
			return status.Error(b.closeCode, "as the script has it")
		}
		if b.resendCount != began.resendCount && before != nil {
			if err := s.SendMsg(before); err != nil {
				return err
			}
		}
		began.resendCount = b.resendCount
		order := []string{resource.ClusterURL, resource.AssignmentURL, resource.SecretURL}
		if b.endpointsFirst {
			slices.Reverse(order)
		}
		for _, url := range order {
			if b.muted[url] { // what it does not send is not sent, and goes out once it answers again
				continue
			}
			r := p.nextResponse(url, subs[url], delta)
			if r == nil {
				continue
			}
			count++
			last[url] = p.stampResponse(r, fmt.Sprint(count))
			before = r
			if err := s.SendMsg(r); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case r, ok := <-in:
			if !ok {
				return nil
			}
			r.Stream = id
			p.record(r)
			sub := subs[r.Type]
			if sub == nil || !delta && r.Nonce != "" && r.Nonce != last[r.Type] && r.Type == resource.ClusterURL {
				continue // it is of a response before the last
			}
			sub.update(r, delta)
		}
	}
}

// nextResponse is the response that a subscription lacks; nil where it lacks none.
func (p *ControlPlane) nextResponse(url string, sub *subscription, delta bool) proto.Message {
	if delta {
		if r := p.deltaResponse(url, sub); r != nil {
			return r
		}
	} else if r := p.sotwResponse(url, sub); r != nil {
		return r
	}
	return nil
}

// stampResponse gives a response its nonce, and the version that the plane is to show.
func (p *ControlPlane) stampResponse(m proto.Message, nonce string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := &p.faults
	if b.nextNonce != "" {
		nonce, b.nextNonce = b.nextNonce, ""
	}
	switch r := m.(type) {
	case *xdspb.DiscoveryResponse:
		r.Nonce = nonce
		if b.shownVersion != "" {
			r.VersionInfo = b.shownVersion
		}
	case *xdspb.DeltaDiscoveryResponse:
		r.Nonce = nonce
		if b.shownVersion != "" {
			r.SystemVersionInfo = b.shownVersion
		}
	}
	return nonce
}

// subscription is what a stream has asked for and been sent, of one type.
type subscription struct {
	requested bool
	names     map[string]bool // nil: all
	sent      map[string]int  // versions
	responses int             // SotW: the version of the last response
}

// update follows what a request asks for.
func (sub *subscription) update(r RecordedRequest, delta bool) {
	sub.requested = true
	if r.Type == resource.AssignmentURL && (sub.names == nil || !delta) {
		sub.names = make(map[string]bool)
	}
	for _, n := range append(r.Names, r.Subscribe...) {
		if sub.names != nil {
			sub.names[n] = true
		}
	}
	for _, n := range r.Unsubscribe {
		delete(sub.names, n)
		delete(sub.sent, n)
	}
	if !delta && sub.names != nil {
		maps.DeleteFunc(sub.sent, func(n string, _ int) bool { return !sub.names[n] })
	}
	for name, v := range r.Initial {
		n := 0
		if _, err := fmt.Sscan(v, &n); err == nil {
			sub.sent[name] = n
		}
	}
}

// sotwResponse is the response of the state of the world that a subscription lacks; nil where it lacks none.
func (p *ControlPlane) sotwResponse(url string, sub *subscription) *xdspb.DiscoveryResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !sub.requested {
		return nil
	}
	r := &xdspb.DiscoveryResponse{VersionInfo: fmt.Sprint(p.version), TypeUrl: url}
	stale := url == resource.ClusterURL && sub.responses == 0
	for _, name := range slices.Sorted(maps.Keys(p.resources[url])) {
		v := p.resources[url][name]
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
		if _, ok := p.resources[url][name]; !ok {
			delete(sub.sent, name)
			stale = stale || url == resource.ClusterURL
		}
	}
	if !stale {
		return nil
	}
	sub.responses++
	return r
}

// deltaResponse is the incremental response that a subscription lacks; nil where it lacks none.
func (p *ControlPlane) deltaResponse(url string, sub *subscription) *xdspb.DeltaDiscoveryResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !sub.requested {
		return nil
	}
	r := &xdspb.DeltaDiscoveryResponse{SystemVersionInfo: fmt.Sprint(p.version), TypeUrl: url}
	for _, name := range slices.Sorted(maps.Keys(p.resources[url])) {
		v := p.resources[url][name]
		if (sub.names == nil || sub.names[name]) && sub.sent[name] != v.version {
			r.Resources = append(r.Resources, &xdspb.Resource{Name: name, Version: fmt.Sprint(v.version), Resource: v.body})
			sub.sent[name] = v.version
		}
	}
	for name := range sub.sent {
		if _, ok := p.resources[url][name]; !ok {
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
func (p *ControlPlane) Await(within time.Duration, ok func(*ControlPlane) bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok(p) {
			return true
		}
	}
	return ok(p)
}
