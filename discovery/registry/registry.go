// Package registry provides the endpoint source for wayhold's own registry. It watches the list of endpoints by HTTP
// long polling: the registry holds each call until something changes.
//
// Config.Subscribe distinguishes two kinds of registry. If Subscribe is false, an agent on the node's machine pushes
// the list. The source then watches all the time and retries failed calls by itself. If Subscribe is true, one
// registry serves all nodes. The source then watches only after a request by SetPolling, and reports each failure to
// the router. The router decides when to ask again.
package registry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

const dialTimeout = 2 * time.Second // for a connection to the registry

// Config configures a Source.
type Config struct {
	Addr      string // host:port of the registry
	Revision  int64  // revision of the list that the router starts with
	Subscribe bool   // watch only at the router's request, and report failures to the router
	// DrainGrace is the time for which a server may still get work after its drain is known; 0: unknown. It bounds
	// the pauses after failed calls.
	DrainGrace time.Duration
	Log        *slog.Logger // nil: nothing is logged
}

// Source watches the list of endpoints over a separate connection.
type Source struct {
	client       *http.Client
	log          *slog.Logger
	subscribe    bool
	maxBackoff   time.Duration
	pollRequests chan bool // buffers the newest value passed to SetPolling
	publish      func(router.EndpointUpdate)

	// Only the goroutine of Run uses the following fields.
	addr          string
	revision      int64
	fullRequested bool // whether the next call asks for the complete list
	polling       bool // last value received from pollRequests
	outage        outage

	mu         sync.Mutex
	newAddr    string             // address from SetAddress that Run does not use yet; empty: none
	cancelCall context.CancelFunc // cancels the call in flight or the pause between two calls
}

var _ router.EndpointSource = (*Source)(nil)

// New returns a source that makes no calls until Run is called.
func New(config Config) *Source {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Source{
		addr:         config.Addr,
		revision:     config.Revision,
		subscribe:    config.Subscribe,
		maxBackoff:   backoffLimit(config.DrainGrace),
		log:          config.Log,
		pollRequests: make(chan bool, 1),
		cancelCall:   func() {},
		client:       newClient(),
	}
}

// newClient returns a client with a separate transport. The client uses no proxy, and no other requests share its
// connection.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableCompression: true,
			MaxConnsPerHost:    1,
			DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// SetPolling tells the source whether the router wants to be notified of changes. A new value replaces a value that
// Run has not handled yet. Only the router calls SetPolling. It does not block.
func (s *Source) SetPolling(on bool) {
	select {
	case <-s.pollRequests:
	default:
	}
	s.pollRequests <- on
}

// SetAddress makes the source switch to another registry immediately. It cancels a call in flight, because the former
// registry may never answer.
func (s *Source) SetAddress(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newAddr = addr
	s.cancelCall()
}

// Run watches the list until ctx ends.
func (s *Source) Run(ctx context.Context, publish func(router.EndpointUpdate)) {
	s.publish = publish
	s.outage.lastAnswer = time.Now()
	defer s.client.CloseIdleConnections()
	watching := !s.subscribe
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		roundCtx, cancel, moved := s.beginRound(ctx)
		if moved { // a failure at the former address says nothing about the new address
			backoff = 0
			watching = watching || s.polling
		}
		if s.subscribe {
			watching = s.pollingRequested(roundCtx, watching)
		}
		if watching && roundCtx.Err() == nil {
			watching, backoff = s.poll(roundCtx, backoff)
		}
		cancel()
	}
}

// beginRound switches to the address that SetAddress has set, if any. It returns the context of the next call or
// pause. moved reports whether the address has changed.
func (s *Source) beginRound(ctx context.Context) (roundCtx context.Context, cancel context.CancelFunc, moved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	moved = s.newAddr != ""
	if moved {
		s.log.Info("discovery: moved", "address", s.newAddr)
		s.addr, s.newAddr = s.newAddr, ""
		s.fullRequested = true // revisions of two registries cannot be compared
		s.client.CloseIdleConnections()
	}
	roundCtx, s.cancelCall = context.WithCancel(ctx)
	return roundCtx, s.cancelCall, moved
}

// poll makes one call and, if the call fails, pauses. watching reports whether to continue watching. nextPause is the
// length of the pause, or 0 if there was none.
func (s *Source) poll(ctx context.Context, backoff time.Duration) (watching bool, nextPause time.Duration) {
	list, err := s.watch(ctx)
	switch {
	case err == nil:
		s.apply(list)
		return true, 0
	case ctx.Err() != nil: // SetAddress was called, or the source is stopping
		return true, 0
	}
	s.outage.inProgress = true
	switch {
	case errors.Is(err, errWatchTimeout): // the registry may still be up, so the call is repeated without a pause
		s.log.Warn("discovery: registry watch idle, reopening")
		return true, 0
	case s.subscribe: // the router decides when to try again
		s.log.Warn("discovery: a watch failed", "err", err)
		s.publish(router.EndpointUpdate{Kind: policy.ListUnavailable})
		return false, 0
	}
	// The list is pushed, so the last list stays in effect. The failure is not reported to the router.
	if backoff == 0 {
		s.log.Warn("discovery: registry unreachable, keeping the last endpoint list", "err", err)
	}
	backoff = nextBackoff(backoff, s.maxBackoff)
	sleep(ctx, backoff)
	return true, backoff
}

// outage records the time since the last answer while calls fail or time out.
type outage struct {
	lastAnswer time.Time // initially the start of Run
	inProgress bool      // whether a call has failed since the last answer
}

// end records an answer and returns the length of the outage that ended. Without an outage, it returns 0.
func (o *outage) end(answered time.Time) time.Duration {
	length := answered.Sub(o.lastAnswer)
	if !o.inProgress {
		length = 0
	}
	o.lastAnswer, o.inProgress = answered, false
	return length
}

// pollingRequested returns whether the router wants the source to watch. If the source is not watching, it waits for
// the next request of the router.
func (s *Source) pollingRequested(ctx context.Context, watching bool) bool {
	if watching {
		select {
		case on := <-s.pollRequests:
			return on
		default:
			return true
		}
	}
	select {
	case on := <-s.pollRequests:
		s.polling = on
		return on
	case <-ctx.Done():
		return false
	}
}

// apply publishes a list. An empty change is published only if the router waits for an answer. A change with a
// revision below the current one means that the registry has restarted its revisions. The list that such a change
// applies to is unknown, so the source requests the complete list.
func (s *Source) apply(list List) {
	if !list.Full && list.Revision < s.revision {
		s.log.Warn("discovery: registry restarted its revisions, requesting the complete list",
			"held", s.revision, "told", list.Revision)
		s.fullRequested = true
		return
	}
	s.revision = list.Revision
	s.fullRequested = false
	update := router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: list.Endpoints, Outage: s.outage.end(time.Now())}
	if list.Full {
		update.Kind = policy.ListReplace
	}
	if list.Full || len(list.Endpoints) > 0 || s.subscribe {
		s.publish(update)
	}
}
