package http1

import (
	"time"

	"cobaltward/handshakes"
	"cobaltward/policy"
)

// preconnectInterval is the time between two rounds of preconnects.
const preconnectInterval = 100 * time.Millisecond

// preconnect opens TLS connections to servers ahead of requests, so that requests do not wait for handshakes. It runs
// until the transport is closed.
func (t *Transport) preconnect() {
	startedAt := time.Now()
	ticker := time.NewTicker(preconnectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-t.stop:
			return
		}
		for _, id := range t.preconnectTargets(startedAt) {
			t.preconnectTo(id)
		}
	}
}

// preconnectTo starts to open a connection to the server with the given ID, unless a connection is idle by now.
func (t *Transport) preconnectTo(id string) {
	s, c, err := t.reserve(id, false)
	if err != nil {
		return
	}
	if c != nil {
		t.release(c, id, true)
		return
	}
	t.mu.Lock()
	s.State.connecting++
	t.mu.Unlock()
	t.dials.Go(func() { t.openAhead(s, id) })
}

// openAhead opens a connection to s, without a request that waits for it.
func (t *Transport) openAhead(s *server, id string) {
	c, err := t.open(t.ctx, t.ctx, s, false)
	t.mu.Lock()
	s.State.connecting--
	t.mu.Unlock()
	if err != nil {
		t.unreserve()
		return
	}
	t.release(c, id, true)
}

// preconnectTargets returns the IDs of the servers to which a connection should be opened now. The times in PoolState
// are relative to startedAt.
func (t *Transport) preconnectTargets(startedAt time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	pools := make([]handshakes.PoolState, 0, len(t.servers.All()))
	for id, s := range t.servers.All() {
		if !t.tls.UsesTLS(&s.Endpoint) {
			continue
		}
		pools = append(pools, handshakes.PoolState{
			Server:      id,
			Idle:        len(s.State.idle),
			LastUsed:    s.State.lastRequest.Sub(startedAt),
			EverUsed:    !s.State.lastRequest.IsZero(),
			Unavailable: s.Endpoint.Availability != policy.Running || t.tls.CheckTrusted(&s.Endpoint) != nil,
			Connecting:  s.State.connecting,
		})
	}
	return handshakes.PreconnectTargets(time.Since(startedAt), pools, t.openConns, t.maxConns)
}
