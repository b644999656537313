// Package xds takes the servers from an Envoy control plane: clusters and endpoints, xDS v3, over the
// Aggregated Discovery Service. Source is a router.Membership. docs/xds.md is its page for operators.
package xds

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/dropoverload"
	"cobaltward/keys"
	"cobaltward/router"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	sotwMethod  = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
	deltaMethod = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"

	maxResponseSize    = 64 << 20         // bytes of one response
	defaultBackoffBase  = time.Second      // before the second try in a row, spread by half of it to either side
	defaultBackoffMax   = 30 * time.Second // where tries go on failing
	defaultResponseTimeout  = 15 * time.Second // the first response of a stream; else the control plane only seems to be there
	sendTimeout    = 15 * time.Second // a request, towards a control plane that reads nothing
	keepaliveTime     = 30 * time.Second // of silence
	keepaliveTimeout    = 10 * time.Second
	defaultFailbackInterval = time.Minute // a control plane in use that is not the first choice is left for a better one
)

// Server is one control plane.
type Server struct {
	Addr string                           // host:port
	TLS  credentials.TransportCredentials // nil: plain
}

// Config is what a Source is told at its start.
type Config struct {
	Servers []Server // in order of preference
	Node    *xdspb.Node
	Delta   bool // the incremental variant
	// CacheDir, where it is not empty, is where the last whole list is kept, and where a start begins.
	CacheDir string
	Log *slog.Logger
	// Secrets hear of the certificates and authorities of their names, each time that one is accepted. They must not wait.
	// What goes from the control plane goes on here: the last good one holds.
	Secrets map[string]func(*keys.Set)

	// For tests: what the defaults above say otherwise.
	backoffBase, backoffMax, responseTimeout, failbackInterval time.Duration
}

// Source takes the servers from control planes, of which it uses one at a time. What the last of them
// made whole goes on serving whatever becomes of them.
type Source struct {
	config   Config
	log *slog.Logger

	mu      sync.Mutex // over what Status reads; Run alone writes
	machine *ads.Machine
	snapshot    *snapshot
	cached    cachedList // from Dir, until the first list is whole
	cacheWriter  *cacheWriter
	serverIndex      int // the server in use
	connected    bool
	stateSince   time.Time // the stream's state
	lastErr    error     // why the last stream ended
}

var _ router.EndpointSource = (*Source)(nil)

// New returns a source that calls nobody before Run.
func New(c Config) (*Source, error) {
	if len(c.Servers) == 0 {
		return nil, errors.New("xds: no control plane is named")
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	for _, d := range []struct{ field, value *time.Duration }{
		{&c.backoffBase, ptr(defaultBackoffBase)},
		{&c.backoffMax, ptr(defaultBackoffMax)},
		{&c.responseTimeout, ptr(defaultResponseTimeout)},
		{&c.failbackInterval, ptr(defaultFailbackInterval)},
	} {
		if *d.field == 0 {
			*d.field = *d.value
		}
	}
	v := ads.SotW
	if c.Delta {
		v = ads.Delta
	}
	s := &Source{config: c, log: c.Log, machine: ads.New(v, slices.Collect(maps.Keys(c.Secrets))...), snapshot: newSnapshot(), stateSince: time.Now()}
	if c.CacheDir != "" {
		s.cacheWriter = &cacheWriter{c.CacheDir, make(chan cachedList, 1)}
		k, err := readCache(c.CacheDir)
		switch {
		case err == nil:
			s.cached = k
			c.Log.Info("xds: beginning with the list that was kept", "clusters", len(k.Clusters), "age", time.Since(k.Saved).Round(time.Second))
		case !errors.Is(err, fs.ErrNotExist):
			c.Log.Error("xds: the list that was kept is refused", "err", err)
		}
	}
	return s, nil
}

func ptr[T any](v T) *T { return &v }

// SetPolling has nothing to ask: a control plane tells by itself.
func (s *Source) SetPolling(bool) {}

// Run follows the control planes until ctx ends.
func (s *Source) Run(ctx context.Context, tell func(router.EndpointUpdate)) {
	if s.cacheWriter != nil {
		var writing sync.WaitGroup
		writing.Go(func() {
			s.cacheWriter.run(func(err error) { s.log.Error("xds: the list could not be kept", "dir", s.config.CacheDir, "err", err) })
		})
		defer writing.Wait()
		defer close(s.cacheWriter.pending)
	}
	s.mu.Lock()
	begin := s.pendingUpdate()
	s.mu.Unlock()
	if begin != nil {
		tell(*begin)
	}
	conns := make([]*grpc.ClientConn, len(s.config.Servers))
	defer func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close() // it is in use no more
			}
		}
	}()
	failures := 0
	for at := 0; ctx.Err() == nil; {
		conn := conns[at]
		if conn == nil {
			var err error
			if conn, err = s.dial(s.config.Servers[at]); err != nil {
				s.log.Error("xds: a control plane can't be called", "address", s.config.Servers[at].Addr, "err", err)
			}
			conns[at] = conn
		}
		answered, err := false, errors.New("it can't be called")
		if conn != nil {
			answered, err = s.runStream(ctx, conn, conns[0], at, tell)
		}
		if ctx.Err() != nil {
			return
		}
		s.streamEnded(err)
		switch {
		case errors.Is(err, errPreferredAvailable):
			at, failures = 0, 0
			continue
		case answered:
			failures = 0
		}
		failures++
		s.log.Warn("xds: the control plane is out of reach, keeping the last list", "address", s.config.Servers[at].Addr, "err", err, "tries", failures)
		at = (at + 1) % len(s.config.Servers)
		if at != 0 && failures < len(s.config.Servers) {
			continue // the next in order of preference is asked at once
		}
		s.waitBackoff(ctx, failures)
	}
}

// waitBackoff waits before another round of tries. All who lost the same control plane must not come back
// together, so the wait is drawn from half to one and a half times what is due.
func (s *Source) waitBackoff(ctx context.Context, failures int) {
	t := time.NewTimer(backoff(s.config.backoffBase, s.config.backoffMax, failures, rand.Float64()))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// backoff is the wait after so many failures in a row, for a draw from 0 to 1.
func backoff(first, most time.Duration, failures int, draw float64) time.Duration {
	due := first << min(max(0, failures-1), 20)
	if due > most || due <= 0 {
		due = most
	}
	return time.Duration((0.5 + draw) * float64(due))
}

func (s *Source) dial(to Server) (*grpc.ClientConn, error) {
	creds := to.TLS
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return grpc.NewClient("passthrough:///"+to.Addr, grpc.WithTransportCredentials(creds),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseSize)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}))
}

var (
	errPreferredAvailable = errors.New("a control plane of higher preference may be back")
	errNoResponse = errors.New("it accepts, and does not answer")
	errSendTimeout  = errors.New("it does not read")
)

// stream is one call of either variant.
type stream struct {
	grpc.ClientStream
	delta bool
	node  *xdspb.Node
}

func (st stream) send(r ads.Request) error {
	if st.delta {
		return st.SendMsg(encodeDelta(r, st.node))
	}
	return st.SendMsg(encodeSotW(r, st.node))
}

// receive returns the next response of a type that is known.
func (st stream) receive() (ads.Response, error) {
	for {
		var r ads.Response
		var ok bool
		if st.delta {
			var p xdspb.DeltaDiscoveryResponse
			if err := st.RecvMsg(&p); err != nil {
				return r, err
			}
			r, ok = decodeDelta(&p)
		} else {
			var p xdspb.DiscoveryResponse
			if err := st.RecvMsg(&p); err != nil {
				return r, err
			}
			r, ok = decodeSotW(&p)
		}
		if ok { // what nobody subscribed to is passed over
			return r, nil
		}
	}
}

// runStream runs one stream to its end, and tells whether anything came on it.
func (s *Source) runStream(ctx context.Context, conn, preferred *grpc.ClientConn, at int, tell func(router.EndpointUpdate)) (answered bool, _ error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	desc, method := &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, sotwMethod
	if s.config.Delta {
		method = deltaMethod
	}
	// A control plane that accepts and never answers must not hold the source: there may be another.
	silent := time.AfterFunc(s.config.responseTimeout, func() { cancel(errNoResponse) })
	defer silent.Stop()
	raw, err := conn.NewStream(ctx, desc, method)
	if err != nil {
		return false, streamError(ctx, err)
	}
	st := stream{raw, s.config.Delta, s.config.Node}
	responses, failed := make(chan ads.Response), make(chan error, 1)
	var receiving sync.WaitGroup
	defer receiving.Wait()
	defer cancel(nil)
	receiving.Go(func() {
		for {
			r, err := st.receive()
			if err != nil {
				failed <- err
				return
			}
			select {
			case responses <- r:
			case <-ctx.Done():
				return
			}
		}
	})
	s.mu.Lock()
	first := s.machine.Connected()
	s.serverIndex, s.connected, s.stateSince = at, true, time.Now()
	s.mu.Unlock()
	if err := sendRequests(ctx, cancel, st, first); err != nil {
		return false, streamError(ctx, err)
	}
	var better <-chan time.Time
	if at != 0 && preferred != nil {
		t := time.NewTicker(s.config.failbackInterval)
		defer t.Stop()
		better = t.C
	}
	expiry := time.NewTimer(0)
	defer expiry.Stop()
	for {
		select {
		case r := <-responses:
			silent.Stop()
			if !answered {
				s.log.Info("xds: the control plane answers", "address", s.config.Servers[at].Addr)
			}
			answered = true
			requests, change, refused := s.handleResponse(r)
			if refused != "" {
				s.log.Error("xds: refused", "type", typeURLs[r.Type], "version", r.Version, "reason", refused)
			}
			if change != nil {
				tell(*change)
			}
			if err := sendRequests(ctx, cancel, st, requests); err != nil {
				return answered, streamError(ctx, err)
			}
			expiry.Reset(0)
		case <-expiry.C:
			change, next := s.expireResources()
			if change != nil {
				s.log.Error("xds: resources were not renewed within their TTL", "servers", len(change.Endpoints))
				tell(*change)
			}
			if !next.IsZero() {
				expiry.Reset(time.Until(next))
			}
		case <-better:
			// A stream that works is not left for one that may not come up: until the preferred control
			// plane is connected, drains would not be heard of from either.
			if preferred.GetState() == connectivity.Ready {
				return answered, errPreferredAvailable
			}
			preferred.Connect()
		case err := <-failed:
			return answered, streamError(ctx, err)
		case <-ctx.Done():
			return answered, streamError(ctx, ctx.Err())
		}
	}
}

// sendRequests sends requests, and gives a control plane up that reads none of them.
func sendRequests(ctx context.Context, cancel context.CancelCauseFunc, st stream, requests []ads.Request) error {
	stuck := time.AfterFunc(sendTimeout, func() { cancel(errSendTimeout) })
	defer stuck.Stop()
	for _, r := range requests {
		if err := st.send(r); err != nil {
			return err
		}
	}
	return nil
}

// streamError prefers the reason that this side has for a stream's end.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// handleResponse has the machine handle a response, and returns what to send, what to tell and what was refused.
func (s *Source) handleResponse(r ads.Response) ([]ads.Request, *router.EndpointUpdate, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := s.machine.HandleResponse(time.Now(), r)
	if r.Type == ads.Secrets && len(requests) > 0 && r.Err == nil {
		for _, in := range r.Resources {
			if set, ok := in.Value.(*keys.Set); ok && in.Err == nil && s.config.Secrets[in.Name] != nil {
				s.config.Secrets[in.Name](set)
				s.log.Info("xds: a new secret is in force", "name", in.Name)
			}
		}
	}
	refused := ""
	if len(requests) > 0 {
		refused = requests[0].ErrorDetail
	}
	return requests, s.pendingUpdate(), refused
}

// expireResources drops what has outlived its TTL.
func (s *Source) expireResources() (*router.EndpointUpdate, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, next := s.machine.ExpireResources(time.Now())
	if !changed {
		return nil, next
	}
	return s.pendingUpdate(), next
}

// pendingUpdate is what the servers' list lacks of what is in force; nil for nothing.
func (s *Source) pendingUpdate() *router.EndpointUpdate {
	had := len(s.snapshot.published) > 0
	applied, whole := s.machine.Applied(), s.machine.Complete()
	if whole {
		s.cached = cachedList{}
	} else if len(s.cached.Clusters) > 0 {
		applied = s.cached.mergeUnder(applied)
	}
	change := s.snapshot.endpointUpdate(s.snapshot.apply(applied))
	if change == nil {
		return nil
	}
	if whole && s.cacheWriter != nil {
		k := cachedList{Saved: time.Now(), Clusters: make(map[string]*resource.Assignment, len(applied))}
		for name, a := range applied {
			k.Clusters[name] = a.Assignment
		}
		s.cacheWriter.enqueue(k)
	}
	if had && len(s.snapshot.published) == 0 {
		s.log.Error("xds: the control plane has taken every server away")
	}
	switch {
	case len(change.Drops) > 0:
		s.log.Warn("xds: the control plane asks for requests to be dropped", "parts", change.Drops)
	case change.Drops != nil:
		s.log.Info("xds: the control plane asks for no requests to be dropped any more")
	}
	return change
}

func (s *Source) streamEnded(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Disconnected()
	s.connected, s.lastErr, s.stateSince = false, err, time.Now()
}

// Status is how a source stands.
type Status struct {
	Server  string // in use, or last tried
	Connected    bool
	Since   time.Time // of Open, or of its end
	LastError    error     // why the last stream ended
	Complete   bool
	Types   [3]ads.Status // by ads.Type
	Endpoints []router.Endpoint
	Drops   dropoverload.Fractions // of the requests of classes bound to a cluster, by cluster
	// EndpointStatuses are those of all clusters, in order of cluster and address.
	EndpointStatuses []EndpointStatus
}

// EndpointStatus is an endpoint in a cluster, and whether it is used.
type EndpointStatus struct {
	Cluster string
	resource.Endpoint
	Use string // "yes", or why not
}

// Status tells how the source stands. It may be called at any time.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Server: s.config.Servers[s.serverIndex].Addr, Connected: s.connected, Since: s.stateSince, LastError: s.lastErr, Complete: s.machine.Complete(),
		Types:   [3]ads.Status{s.machine.Status(ads.Clusters), s.machine.Status(ads.Endpoints), s.machine.Status(ads.Secrets)},
		Endpoints: s.snapshot.endpoints(), Drops: s.snapshot.drops, EndpointStatuses: s.snapshot.endpointStatuses(),
	}
}

// String is for logs.
func (s Status) String() string {
	return fmt.Sprintf("%s, open %v since %v, %d servers", s.Server, s.Connected, s.Since.Format(time.RFC3339), len(s.Endpoints))
}
