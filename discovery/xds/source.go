package xds

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"cobaltward/certificates"
	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/resource"
	"cobaltward/router"
)

// Source is an endpoint source that subscribes to one control plane at a time. While no control plane is available,
// the last complete list stays in effect.
type Source struct {
	config Config
	log    *slog.Logger

	mu          sync.Mutex // guards the fields below; only the goroutine of Run writes them
	machine     *ads.Machine
	snapshot    *snapshot
	cached      cachedList   // read from CacheDir; empty after the first list is complete
	cacheWriter *cacheWriter // nil: nothing is cached
	serverIndex int          // index of the control plane in use
	connected   bool         // whether a stream is open
	stateSince  time.Time    // time of the last change of connected
	lastErr     error        // why the last stream ended
}

var _ router.EndpointSource = (*Source)(nil)

// New returns a source that connects to no control plane until Run is called. If the cached list cannot be read, New
// logs the error and ignores the cache.
func New(config Config) (*Source, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	variant := ads.SotW
	if config.Delta {
		variant = ads.Delta
	}
	s := &Source{
		config:     config,
		log:        config.Log,
		machine:    ads.New(variant, slices.Collect(maps.Keys(config.Secrets))...),
		snapshot:   newSnapshot(),
		stateSince: time.Now(),
	}
	if config.CacheDir != "" {
		s.cacheWriter = newCacheWriter(config.CacheDir)
		s.loadCache()
	}
	return s, nil
}

// loadCache reads the cached list, which is in effect at the start.
func (s *Source) loadCache() {
	cached, err := readCache(s.config.CacheDir)
	switch {
	case err == nil:
		s.cached = cached
		s.log.Info("xds: starting with the cached list",
			"clusters", len(cached.Clusters), "age", time.Since(cached.Saved).Round(time.Second))
	case !errors.Is(err, fs.ErrNotExist):
		s.log.Error("xds: the list that was kept is refused", "err", err)
	}
}

// SetPolling does nothing. A control plane pushes changes without a request from the router.
func (s *Source) SetPolling(bool) {}

// Run keeps a stream to a control plane open until ctx ends, and publishes the received changes. It returns after all
// goroutines that it has started have ended.
func (s *Source) Run(ctx context.Context, publish func(router.EndpointUpdate)) {
	defer s.startCacheWriter()()
	s.publishCached(publish)
	conns := newConnections(s.config.Servers)
	defer conns.close()
	failures := 0
	for index := 0; ctx.Err() == nil; {
		answered, err := s.streamFrom(ctx, conns, index, publish)
		if ctx.Err() != nil {
			return
		}
		s.streamEnded(err)
		if errors.Is(err, errPreferredAvailable) {
			index, failures = 0, 0
			continue
		}
		if answered {
			failures = 0
		}
		failures++
		s.log.Warn("xds: control plane unreachable, keeping the last endpoint list",
			"address", s.config.Servers[index].Addr, "err", err, "failures", failures)
		index = (index + 1) % len(s.config.Servers)
		if index != 0 && failures < len(s.config.Servers) {
			continue // try the next control plane in order of preference without a pause
		}
		s.waitBackoff(ctx, failures)
	}
}

// startCacheWriter starts the goroutine that writes the cache, if there is a cache. stop finishes a pending write and
// ends the goroutine.
func (s *Source) startCacheWriter() (stop func()) {
	if s.cacheWriter == nil {
		return func() {}
	}
	var writing sync.WaitGroup
	writing.Go(func() {
		s.cacheWriter.run(func(err error) {
			s.log.Error("xds: the list could not be kept", "dir", s.config.CacheDir, "err", err)
		})
	})
	return func() {
		close(s.cacheWriter.pending)
		writing.Wait()
	}
}

// publishCached publishes the cached list if there is one.
func (s *Source) publishCached(publish func(router.EndpointUpdate)) {
	s.mu.Lock()
	update := s.pendingUpdate()
	s.mu.Unlock()
	if update != nil {
		publish(*update)
	}
}

// streamFrom runs one stream to the control plane with the given index until the stream ends. answered reports
// whether any response was received on the stream.
func (s *Source) streamFrom(
	ctx context.Context, conns *connections, index int, publish func(router.EndpointUpdate),
) (answered bool, _ error) {
	conn, err := conns.get(index)
	if err != nil {
		s.log.Error("xds: no connection to the control plane", "address", s.config.Servers[index].Addr, "err", err)
		return false, err
	}
	preferred := conns.preferred()
	if index == 0 {
		preferred = nil
	}
	return s.runStream(ctx, conn, preferred, index, publish)
}

// streamOpened records that a stream to the control plane with the given index is open. It returns the first requests
// to send on the stream.
func (s *Source) streamOpened(index int) []ads.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverIndex, s.connected, s.stateSince = index, true, time.Now()
	return s.machine.Connected()
}

// streamEnded records the end of a stream or of a failed attempt to open a stream.
func (s *Source) streamEnded(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Disconnected()
	s.connected, s.lastErr, s.stateSince = false, err, time.Now()
}

// responseResult contains the requests and the update that result from a response.
type responseResult struct {
	requests   []ads.Request
	update     *router.EndpointUpdate // nil: nothing to publish
	nackReason string                 // reason of the NACK; empty: the answer is an ACK
}

// handleResponse applies a response and returns the data to send and to publish.
func (s *Source) handleResponse(response ads.Response) responseResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := responseResult{requests: s.machine.HandleResponse(time.Now(), response)}
	if len(result.requests) > 0 {
		result.nackReason = result.requests[0].ErrorDetail
		if response.Type == ads.Secrets && response.Err == nil {
			s.deliverSecrets(response.Resources)
		}
	}
	result.update = s.pendingUpdate()
	return result
}

// deliverSecrets passes each accepted secret to its function in Config.Secrets.
func (s *Source) deliverSecrets(secrets []ads.Resource) {
	for _, secret := range secrets {
		set, ok := secret.Value.(*certificates.Set)
		update := s.config.Secrets[secret.Name]
		if ok && secret.Err == nil && update != nil {
			update(set)
			s.log.Info("xds: secret updated", "name", secret.Name)
		}
	}
}

// expireResources removes resources whose TTL has passed. next is the time at which to call expireResources again. If
// next is zero, no further call is needed.
func (s *Source) expireResources() (update *router.EndpointUpdate, next time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, next := s.machine.ExpireResources(time.Now())
	if !changed {
		return nil, next
	}
	return s.pendingUpdate(), next
}

// pendingUpdate applies the current clusters to the snapshot. It returns the update to publish, or nil if nothing has
// changed. The caller holds the lock.
func (s *Source) pendingUpdate() *router.EndpointUpdate {
	hadEndpoints := len(s.snapshot.published) > 0
	applied, complete := s.machine.Applied(), s.machine.Complete()
	if complete {
		s.cached = cachedList{}
	} else if len(s.cached.Clusters) > 0 {
		applied = s.cached.fillMissingAssignments(applied)
	}
	update := s.snapshot.endpointUpdate(s.snapshot.apply(applied))
	if update == nil {
		return nil
	}
	if complete && s.cacheWriter != nil {
		s.cacheWriter.enqueue(newCachedList(applied))
	}
	if hadEndpoints && len(s.snapshot.published) == 0 {
		s.log.Error("xds: the control plane has taken every server away")
	}
	s.logDrops(update)
	return update
}

// newCachedList returns the applied clusters as a list for the cache.
func newCachedList(applied map[string]ads.AppliedCluster) cachedList {
	list := cachedList{Saved: time.Now(), Clusters: make(map[string]*resource.Assignment, len(applied))}
	for name, cluster := range applied {
		list.Clusters[name] = cluster.Assignment
	}
	return list
}

func (s *Source) logDrops(update *router.EndpointUpdate) {
	switch {
	case len(update.Drops) > 0:
		s.log.Warn("xds: the control plane asks for requests to be dropped", "fractions", update.Drops)
	case update.Drops != nil:
		s.log.Info("xds: the control plane no longer asks for requests to be dropped")
	}
}
