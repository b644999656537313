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
	seen    []Seen
	sink    func(Seen)
	behaves behaviour

	Streams atomic.Int64 // begun
	Acks    atomic.Int64
}

// behaviour is how a plane answers; the zero value is as it should be.
type behaviour struct {
	fail     codes.Code      // streams end with it
	mute     map[string]bool // by type URL: nothing of it is sent
	closed   int             // how often all streams were ended
	closing  codes.Code      // and with what
	again    int             // how often the last response was to be sent once more
	backward bool            // endpoints before clusters
	version  string          // shown in place of its own
	nonce    string          // of the next response
}

// Seen is one request that a client sent.
type Seen struct {
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

// maxSeen bounds the requests and the refusals that a plane remembers.
const maxSeen = 10_000

// started counts planes, so that each has versions of its own.
var started atomic.Int64

type versioned struct {
	version int
	body    *anypb.Any
}

// Start serves on loopback, or on addr where it is not empty.
func Start(addr string, options ...grpc.ServerOption) (*Plane, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	// Versions of one plane are not those of another: in the incremental variant a client names what it
	// holds, and a restarted plane that counts from one again would take other content for its own.
	p := &Plane{
		version: int(started.Add(1)) * 1_000_000, Addr: ln.Addr().String(), served: make(chan struct{}), changed: make(chan struct{}),
		all:    map[string]map[string]versioned{resource.ClusterURL: {}, resource.AssignmentURL: {}, resource.SecretURL: {}},
		server: grpc.NewServer(append(options, grpc.MaxSendMsgSize(256<<20))...),
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
		case *xdspb.Secret:
			url, name = resource.SecretURL, r.GetName()
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

// Mute has it accept streams and answer nothing, or answer again; of the types named alone, or of all.
func (p *Plane) Mute(on bool, types ...string) {
	if len(types) == 0 {
		types = []string{resource.ClusterURL, resource.AssignmentURL}
	}
	p.behave(func(b *behaviour) {
		mute := maps.Clone(b.mute)
		if mute == nil {
			mute = make(map[string]bool)
		}
		for _, t := range types {
			mute[t] = on
		}
		b.mute = mute
	})
}

// Fail has it end streams with a code; codes.OK ends that.
func (p *Plane) Fail(code codes.Code) { p.behave(func(b *behaviour) { b.fail = code }) }

// Close ends the streams that are open, with a code.
func (p *Plane) Close(code codes.Code) {
	p.behave(func(b *behaviour) { b.closed, b.closing = b.closed+1, code })
}

// Again has every stream send its last response once more.
func (p *Plane) Again() { p.behave(func(b *behaviour) { b.again++ }) }

func (p *Plane) behave(change func(*behaviour)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.behaves)
	p.notify()
}

// Nacks are the reasons that clients refused for.
func (p *Plane) Nacks() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.nacks)
}

// Requests are the last of those that clients sent.
func (p *Plane) Requests() []Seen {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.seen)
}

// Record has every request handed to f, one after the other. f must not wait for the plane.
func (p *Plane) Record(f func(Seen)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sink = f
}

func (p *Plane) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// now is how the plane behaves, and what tells of the next change.
func (p *Plane) now() (behaviour, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.behaves, p.changed
}

// hear notes a request.
func (p *Plane) hear(r Seen) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = append(p.seen[max(0, len(p.seen)+1-maxSeen):], r)
	if p.sink != nil {
		p.sink(r)
	}
	if r.Error != "" {
		p.nacks = append(p.nacks[max(0, len(p.nacks)+1-maxSeen):], r.Error)
	} else if r.Nonce != "" {
		p.Acks.Add(1)
	}
}

// requests passes on what a stream brings, until it ends.
func requests(s grpc.ServerStream, delta bool) <-chan Seen {
	out := make(chan Seen)
	receive := func() (Seen, error) {
		var r xdspb.DiscoveryRequest
		err := s.RecvMsg(&r)
		return Seen{
			Type: r.GetTypeUrl(), Nonce: r.GetResponseNonce(), Version: r.GetVersionInfo(), Names: r.GetResourceNames(),
			Node: r.GetNode().GetId(), Error: r.GetErrorDetail().GetMessage(),
		}, err
	}
	if delta {
		receive = func() (Seen, error) {
			var r xdspb.DeltaDiscoveryRequest
			err := s.RecvMsg(&r)
			return Seen{
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
func (p *Plane) serve(s grpc.ServerStream, delta bool) error {
	id := p.Streams.Add(1)
	subs := map[string]*subscription{resource.ClusterURL: {sent: make(map[string]int)}, resource.AssignmentURL: {sent: make(map[string]int)}, resource.SecretURL: {sent: make(map[string]int)}}
	in, count, last := requests(s, delta), 0, make(map[string]string)
	var before proto.Message
	began, _ := p.now()
	for {
		b, changed := p.now()
		switch {
		case b.fail != codes.OK:
			return status.Error(b.fail, "as the script has it")
		case b.closed != began.closed:
			return status.Error(b.closing, "as the script has it")
		}
		if b.again != began.again && before != nil {
			if err := s.SendMsg(before); err != nil {
				return err
			}
		}
		began.again = b.again
		order := []string{resource.ClusterURL, resource.AssignmentURL, resource.SecretURL}
		if b.backward {
			slices.Reverse(order)
		}
		for _, url := range order {
			if b.mute[url] { // what it does not send is not sent, and goes out once it answers again
				continue
			}
			r := p.lacking(url, subs[url], delta)
			if r == nil {
				continue
			}
			count++
			last[url] = p.label(r, fmt.Sprint(count))
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
			p.hear(r)
			sub := subs[r.Type]
			if sub == nil || !delta && r.Nonce != "" && r.Nonce != last[r.Type] && r.Type == resource.ClusterURL {
				continue // it is of a response before the last
			}
			sub.take(r, delta)
		}
	}
}

// lacking is the response that a subscription lacks; nil where it lacks none.
func (p *Plane) lacking(url string, sub *subscription, delta bool) proto.Message {
	if delta {
		if r := p.part(url, sub); r != nil {
			return r
		}
	} else if r := p.whole(url, sub); r != nil {
		return r
	}
	return nil
}

// label gives a response its nonce, and the version that the plane is to show.
func (p *Plane) label(m proto.Message, nonce string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := &p.behaves
	if b.nonce != "" {
		nonce, b.nonce = b.nonce, ""
	}
	switch r := m.(type) {
	case *xdspb.DiscoveryResponse:
		r.Nonce = nonce
		if b.version != "" {
			r.VersionInfo = b.version
		}
	case *xdspb.DeltaDiscoveryResponse:
		r.Nonce = nonce
		if b.version != "" {
			r.SystemVersionInfo = b.version
		}
	}
	return nonce
}

// subscription is what a stream has asked for and been sent, of one type.
type subscription struct {
	asked bool
	names map[string]bool // nil: all
	sent  map[string]int  // versions
	whole int             // SotW: the version of the last response
}

// take follows what a request asks for.
func (sub *subscription) take(r Seen, delta bool) {
	sub.asked = true
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
