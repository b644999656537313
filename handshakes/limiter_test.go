package handshakes

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// limiterModel records the reservations that a Limiter is expected to have running and queued.
type limiterModel struct {
	limits  Limits
	limiter *Limiter
	running []*Reservation
	queued  []*Reservation
}

// TestLimiter_StaysWithinLimits checks that no random sequence of calls makes a Limiter exceed a limit. No
// reservation stays queued while there is capacity for the reservation. Queued reservations of the same kind start in
// order of arrival.
func TestLimiter_StaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			MaxConcurrent:       rapid.IntRange(1, 6).Draw(t, "all"),
			MaxPerServer:        rapid.IntRange(1, 3).Draw(t, "each"),
			MaxPerWarmingServer: 1,
			MaxQueued:           rapid.IntRange(1, 8).Draw(t, "waiting"),
		}
		model := &limiterModel{limits: limits, limiter: NewLimiter(limits)}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			open := append(slices.Clone(model.running), model.queued...)
			if len(open) > 0 && rapid.Bool().Draw(t, "leave") {
				model.release(t, rapid.SampledFrom(open).Draw(t, "who"))
			} else {
				model.acquire(t)
			}
			model.checkBounds(t)
		}
	})
}

func (m *limiterModel) release(t *rapid.T, released *Reservation) {
	admitted := m.limiter.Release(released)
	if m.limiter.Release(released) != nil {
		t.Fatal("releasing a reservation a second time admitted others")
	}
	isReleased := func(r *Reservation) bool { return r == released }
	m.running = slices.DeleteFunc(m.running, isReleased)
	m.queued = slices.DeleteFunc(m.queued, isReleased)
	for _, next := range admitted {
		sameKind := func(r *Reservation) bool { return r.Server == next.Server && r.WarmingUp == next.WarmingUp }
		i := slices.Index(m.queued, next)
		if i < 0 || slices.ContainsFunc(m.queued[:i], sameKind) {
			t.Fatal("a reservation was admitted out of order, or was not queued")
		}
		m.queued = slices.DeleteFunc(m.queued, func(r *Reservation) bool { return r == next })
		m.running = append(m.running, next)
	}
}

func (m *limiterModel) acquire(t *rapid.T) {
	server := rapid.IntRange(0, 3).Draw(t, "server")
	reservation := &Reservation{
		Server:      fmt.Sprint(server),
		WarmingUp:   server == 0,
		Speculative: rapid.Bool().Draw(t, "spare"),
	}
	switch m.limiter.Acquire(reservation) {
	case Proceed:
		if reservation.Speculative && len(m.queued) > 0 {
			t.Fatal("a speculative handshake overtook a queued one")
		}
		m.running = append(m.running, reservation)
	case Queue:
		if reservation.Speculative {
			t.Fatal("a speculative handshake was queued")
		}
		m.queued = append(m.queued, reservation)
	}
}

func (m *limiterModel) checkBounds(t *rapid.T) {
	perServer := make(map[string]int)
	for _, r := range m.running {
		perServer[r.Server]++
	}
	limitOf := func(r *Reservation) int {
		if r.WarmingUp {
			return 1
		}
		return m.limits.MaxPerServer
	}
	for _, r := range m.running {
		if perServer[r.Server] > limitOf(r) {
			t.Fatalf("%d handshakes are running with server %s, more than its limit", perServer[r.Server], r.Server)
		}
	}
	running, queued := m.limiter.Usage()
	if running != len(m.running) || running > m.limits.MaxConcurrent {
		t.Fatalf("usage: %d running, model has %d, limit %d", running, len(m.running), m.limits.MaxConcurrent)
	}
	if queued != len(m.queued) || queued > m.limits.MaxQueued {
		t.Fatalf("usage: %d queued, model has %d, limit %d", queued, len(m.queued), m.limits.MaxQueued)
	}
	for _, r := range m.queued {
		if len(m.running) < m.limits.MaxConcurrent && perServer[r.Server] < limitOf(r) {
			t.Fatalf("a handshake with server %s is queued though there is capacity for it", r.Server)
		}
	}
}
