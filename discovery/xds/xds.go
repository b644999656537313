// Package xds takes the servers from an Envoy control plane: clusters and endpoints, xDS v3, over the
// Aggregated Discovery Service. Source is a router.EndpointSource. docs/xds.md is its page for operators.
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

	maxMessage    = 64 << 20         // bytes of one response
	backoffFirst  = time.Second      // before the second try in a row, spread by half of it to either side
	backoffMost   = 30 * time.Second // where tries go on failing
	answerWithin  = 15 * time.Second // the first response of a stream; else the control plane only seems to be there
	sendWithin    = 15 * time.Second // a request, towards a control plane that reads nothing
	pingAfter     = 30 * time.Second // of silence
	pongWithin    = 10 * time.Second
	preferAgainIn = time.Minute // a control plane in use that is not the first choice is left for a better one
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
	// Dir, where it is not empty, is where the last whole list is kept, and where a start begins.
	Dir string
	Log *slog.Logger
	// Secrets hear of the certificates and authorities of their names, each time that one is accepted. They must not wait.
	// What goes from the control plane goes on here: the last good one holds.
	Secrets map[string]func(*keys.Set)

	// For tests: what the defaults above say otherwise.
	backoffFirst, backoffMost, answerWithin, preferAgainIn time.Duration
}

// Source takes the servers from control planes, of which it uses one at a time. What the last of them
// made whole goes on serving whatever becomes of them.
type Source struct {
	c   Config
	log *slog.Logger

	mu      sync.Mutex // over what Status reads; Run alone writes
	machine *ads.Machine
	book    *book
	kept    kept // from Dir, until the first list is whole
	keeper  *keeper
	at      int // the server in use
	open    bool
	since   time.Time // the stream's state
	last    error     // why the last stream ended
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
		{&c.backoffFirst, ptr(backoffFirst)},
		{&c.backoffMost, ptr(backoffMost)},
		{&c.answerWithin, ptr(answerWithin)},
		{&c.preferAgainIn, ptr(preferAgainIn)},
	} {
		if *d.field == 0 {
			*d.field = *d.value
		}
	}
	v := ads.SotW
	if c.Delta {
		v = ads.Delta
	}
	s := &Source{c: c, log: c.Log, machine: ads.New(v, slices.Collect(maps.Keys(c.Secrets))...), book: newBook(), since: time.Now()}
	if c.Dir != "" {
		s.keeper = &keeper{c.Dir, make(chan kept, 1)}
		k, err := load(c.Dir)
		switch {
		case err == nil:
			s.kept = k
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
	if s.keeper != nil {
		var writing sync.WaitGroup
		writing.Go(func() {
			s.keeper.run(func(err error) { s.log.Error("xds: the list could not be kept", "dir", s.c.Dir, "err", err) })
		})
		defer writing.Wait()
		defer close(s.keeper.next)
	}
	s.mu.Lock()
	begin := s.changed()
	s.mu.Unlock()
	if begin != nil {
		tell(*begin)
	}
	conns := make([]*grpc.ClientConn, len(s.c.Servers))
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
			if conn, err = s.dial(s.c.Servers[at]); err != nil {
				s.log.Error("xds: a control plane can't be called", "address", s.c.Servers[at].Addr, "err", err)
			}
			conns[at] = conn
		}
		answered, err := false, errors.New("it can't be called")
		if conn != nil {
			answered, err = s.follow(ctx, conn, conns[0], at, tell)
		}
		if ctx.Err() != nil {
			return
		}
		s.closed(err)
		switch {
		case errors.Is(err, errBetter):
			at, failures = 0, 0
			continue
		case answered:
			failures = 0
		}
		failures++
		s.log.Warn("xds: the control plane is out of reach, keeping the last list", "address", s.c.Servers[at].Addr, "err", err, "tries", failures)
		at = (at + 1) % len(s.c.Servers)
		if at != 0 && failures < len(s.c.Servers) {
			continue // the next in order of preference is asked at once
		}
		s.pause(ctx, failures)
	}
}

// pause waits before another round of tries. All who lost the same control plane must not come back
// together, so the wait is drawn from half to one and a half times what is due.
func (s *Source) pause(ctx context.Context, failures int) {
	t := time.NewTimer(backoff(s.c.backoffFirst, s.c.backoffMost, failures, rand.Float64()))
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
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pongWithin}))
}

var (
	errBetter = errors.New("a control plane of higher preference may be back")
	errSilent = errors.New("it accepts, and does not answer")
	errStuck  = errors.New("it does not read")
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

// follow runs one stream to its end, and tells whether anything came on it.
func (s *Source) follow(ctx context.Context, conn, preferred *grpc.ClientConn, at int, tell func(router.EndpointUpdate)) (answered bool, _ error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	desc, method := &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, sotwMethod
	if s.c.Delta {
		method = deltaMethod
	}
	// A control plane that accepts and never answers must not hold the source: there may be another.
	silent := time.AfterFunc(s.c.answerWithin, func() { cancel(errSilent) })
	defer silent.Stop()
	raw, err := conn.NewStream(ctx, desc, method)
	if err != nil {
		return false, because(ctx, err)
	}
	st := stream{raw, s.c.Delta, s.c.Node}
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
	s.at, s.open, s.since = at, true, time.Now()
	s.mu.Unlock()
	if err := sendAll(ctx, cancel, st, first); err != nil {
		return false, because(ctx, err)
	}
	var better <-chan time.Time
	if at != 0 && preferred != nil {
		t := time.NewTicker(s.c.preferAgainIn)
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
				s.log.Info("xds: the control plane answers", "address", s.c.Servers[at].Addr)
			}
			answered = true
			requests, change, refused := s.take(r)
			if refused != "" {
				s.log.Error("xds: refused", "type", urls[r.Type], "version", r.Version, "reason", refused)
			}
			if change != nil {
				tell(*change)
			}
			if err := sendAll(ctx, cancel, st, requests); err != nil {
				return answered, because(ctx, err)
			}
			expiry.Reset(0)
		case <-expiry.C:
			change, next := s.expire()
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
				return answered, errBetter
			}
			preferred.Connect()
		case err := <-failed:
			return answered, because(ctx, err)
		case <-ctx.Done():
			return answered, because(ctx, ctx.Err())
		}
	}
}

// sendAll sends requests, and gives a control plane up that reads none of them.
func sendAll(ctx context.Context, cancel context.CancelCauseFunc, st stream, requests []ads.Request) error {
	stuck := time.AfterFunc(sendWithin, func() { cancel(errStuck) })
	defer stuck.Stop()
	for _, r := range requests {
		if err := st.send(r); err != nil {
			return err
		}
	}
	return nil
}

// because prefers the reason that this side has for a stream's end.
func because(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// take has the machine handle a response, and returns what to send, what to tell and what was refused.
func (s *Source) take(r ads.Response) ([]ads.Request, *router.EndpointUpdate, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := s.machine.Handle(time.Now(), r)
	if r.Type == ads.Secrets && len(requests) > 0 && r.Err == nil {
		for _, in := range r.Resources {
			if set, ok := in.Value.(*keys.Set); ok && in.Err == nil && s.c.Secrets[in.Name] != nil {
				s.c.Secrets[in.Name](set)
				s.log.Info("xds: a new secret is in force", "name", in.Name)
			}
		}
	}
	refused := ""
	if len(requests) > 0 {
		refused = requests[0].Error
	}
	return requests, s.changed(), refused
}

// expire drops what has outlived its TTL.
func (s *Source) expire() (*router.EndpointUpdate, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, next := s.machine.Tick(time.Now())
	if !changed {
		return nil, next
	}
	return s.changed(), next
}

// changed is what the servers' list lacks of what is in force; nil for nothing.
func (s *Source) changed() *router.EndpointUpdate {
	had := len(s.book.members) > 0
	applied, whole := s.machine.Applied(), s.machine.Whole()
	if whole {
		s.kept = kept{}
	} else if len(s.kept.Clusters) > 0 {
		applied = s.kept.under(applied)
	}
	change := s.book.change(s.book.update(applied))
	if change == nil {
		return nil
	}
	if whole && s.keeper != nil {
		k := kept{Saved: time.Now(), Clusters: make(map[string]*resource.Assignment, len(applied))}
		for name, a := range applied {
			k.Clusters[name] = a.Assignment
		}
		s.keeper.offer(k)
	}
	if had && len(s.book.members) == 0 {
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

func (s *Source) closed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Disconnected()
	s.open, s.last, s.since = false, err, time.Now()
}

// Status is how a source stands.
type Status struct {
	Server  string // in use, or last tried
	Open    bool
	Since   time.Time // of Open, or of its end
	Last    error     // why the last stream ended
	Whole   bool
	Types   [3]ads.Status // by ads.Type
	Members []router.Endpoint
	Drops   dropoverload.Fractions // of the requests of classes bound to a cluster, by cluster
	// Endpoints are those of all clusters, in order of cluster and address.
	Endpoints []EndpointStatus
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
		Server: s.c.Servers[s.at].Addr, Open: s.open, Since: s.since, Last: s.last, Whole: s.machine.Whole(),
		Types:   [3]ads.Status{s.machine.Status(ads.Clusters), s.machine.Status(ads.Endpoints), s.machine.Status(ads.Secrets)},
		Members: s.book.whole(), Drops: s.book.drops, Endpoints: s.book.endpoints(),
	}
}

// String is for logs.
func (s Status) String() string {
	return fmt.Sprintf("%s, open %v since %v, %d servers", s.Server, s.Open, s.Since.Format(time.RFC3339), len(s.Members))
}
