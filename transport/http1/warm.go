package http1

import (
	"time"

	"cobaltward/handshakes"
	"cobaltward/policy"
)

// warmEvery is how often connections are made ahead of requests.
const warmEvery = 100 * time.Millisecond

// warm makes connections to servers that will soon need them, where a request would have to wait for a handshake.
func (u *Transport) warm() {
	from := time.Now()
	tick := time.NewTicker(warmEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-u.stop:
			return
		}
		for _, id := range u.cold(from) {
			p, c, err := u.reserve(id, false)
			if err != nil {
				continue
			}
			if c != nil { // one has come back meanwhile
				u.release(c, id, true)
				continue
			}
			u.mu.Lock()
			p.Pool.opening++
			u.mu.Unlock()
			u.ahead.Go(func() { u.spare(p, id) })
		}
	}
}

// spare makes one connection that nobody waits for.
func (u *Transport) spare(p *pool, id string) {
	c, err := u.connect(u.life, u.life, p, false)
	u.mu.Lock()
	p.Pool.opening--
	u.mu.Unlock()
	if err != nil {
		u.unreserve()
		return
	}
	u.release(c, id, true)
}

// cold is the servers to which a connection is to be made.
func (u *Transport) cold(from time.Time) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	pools := make([]handshakes.PoolState, 0, len(u.pools.All()))
	for id, p := range u.pools.All() {
		if !u.secure.For(&p.Listed) {
			continue
		}
		pools = append(pools, handshakes.PoolState{
			Server: id, Idle: len(p.Pool.idle), LastUsed: p.Pool.asked.Sub(from), Used: !p.Pool.asked.IsZero(),
			Unavailable: p.Listed.Availability != policy.Running || u.secure.Refused(&p.Listed) != nil, Connecting: p.Pool.opening,
		})
	}
	return handshakes.PreconnectTargets(time.Since(from), pools, u.open, u.most)
}
