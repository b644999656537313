// Package registry is the endpoint source for wayhold's own registry: it watches the list of endpoints over HTTP by
// calls that the registry holds until something changes.
//
// Two kinds of registry are told apart by Config.Subscribe. Without it an agent on the node's machine pushes the list:
// the source watches all the time and rides out failures by itself. With it one registry serves all nodes: the source
// watches only while the router has asked for it (SetPolling), and reports each failure, after which the router
// decides when to ask again.
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

const dialTimeout = 2 * time.Second

// Config is what a Source needs.
type Config struct {
	Addr      string // host:port of the registry
	Revision  int64  // of the list that the router starts with
	Subscribe bool   // watch only while the router asks for it, and report failures to it
	// DrainGrace is for how long after a drain is known a server may still get work; 0: not told. It bounds the pauses
	// after failures.
	DrainGrace time.Duration
	Log        *slog.Logger // nil: nothing is logged
}

// Source watches the list of endpoints over one connection of its own.
type Source struct {
	client       *http.Client
	log          *slog.Logger
	subscribe    bool
	maxBackoff   time.Duration
	pollRequests chan bool // holds the newest value of SetPolling
	publish      func(router.EndpointUpdate)

	// Only the goroutine of Run uses these.
	addr          string
	revision      int64
	fullRequested bool // the next call asks for the whole list
	polling       bool // the last value of SetPolling that was seen
	outage        outage

	mu         sync.Mutex
	newAddr    string             // of SetAddress, until Run has taken it up
	cancelCall context.CancelFunc // ends the call in flight, or the pause between two
}

var _ router.EndpointSource = (*Source)(nil)

// New returns a source that makes no call before Run.
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

// newClient returns a client whose transport is used for nothing else: neither a proxy nor other requests share its
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

// SetPolling tells whether the router wants to be notified of changes. A newer call replaces one not handled yet.
// Only the router calls it; it does not block.
func (s *Source) SetPolling(on bool) {
	select {
	case <-s.pollRequests:
	default:
	}
	s.pollRequests <- on
}

// SetAddress makes the source continue at another registry at once. A call in flight is cancelled: the former registry
// may never answer it.
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
		if moved { // a failure at the former address says nothing of the new one
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

// beginRound takes up a new address, if one was set, and returns the context of the next call or pause.
func (s *Source) beginRound(ctx context.Context) (roundCtx context.Context, cancel context.CancelFunc, moved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	moved = s.newAddr != ""
	if moved {
		s.log.Info("discovery: moved", "address", s.newAddr)
		s.addr, s.newAddr = s.newAddr, ""
		s.fullRequested = true // revisions of two registries can't be compared
		s.client.CloseIdleConnections()
	}
	roundCtx, s.cancelCall = context.WithCancel(ctx)
	return roundCtx, s.cancelCall, moved
}

// poll makes one call, and pauses after one that failed. It returns whether to continue watching, and the backoff.
func (s *Source) poll(ctx context.Context, backoff time.Duration) (watching bool, nextPause time.Duration) {
	list, err := s.watch(ctx)
	switch {
	case err == nil:
		s.apply(list)
		return true, 0
	case ctx.Err() != nil: // another address, or the end
		return true, 0
	}
	s.outage.inProgress = true
	switch {
	case errors.Is(err, errWatchSilent): // the registry has not failed, and no time is to be lost
		s.log.Warn("discovery: registry watch idle, reopening")
		return true, 0
	case s.subscribe: // the router decides when to try again
		s.log.Warn("discovery: a watch failed", "err", err)
		s.publish(router.EndpointUpdate{Kind: policy.ListUnavailable})
		return false, 0
	}
	// A pushed list: the last one stays in force, and the router need not know.
	if backoff == 0 {
		s.log.Warn("discovery: registry unreachable, keeping the last endpoint list", "err", err)
	}
	backoff = nextBackoff(backoff, s.maxBackoff)
	sleep(ctx, backoff)
	return true, backoff
}

// outage is a time without an answer because calls failed or fell silent.
type outage struct {
	lastAnswer time.Time // or the start of Run
	inProgress bool
}

// end takes in an answer and returns how long the outage was that it ends; 0 where there was none.
func (o *outage) end(answered time.Time) time.Duration {
	length := answered.Sub(o.lastAnswer)
	if !o.inProgress {
		length = 0
	}
	o.lastAnswer, o.inProgress = answered, false
	return length
}

// pollingRequested is the router's newest wish. It waits for one only where there is nothing to watch.
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

// apply publishes a list. An empty change is published only where the router waits for an answer. A change whose
// revision is below the present one means that the registry's revisions have started over: whatever the change
// builds on is not known here, so the whole list is asked for.
func (s *Source) apply(list List) {
	if !list.Full && list.Revision < s.revision {
		s.log.Warn("discovery: its revisions have begun again", "held", s.revision, "told", list.Revision)
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
