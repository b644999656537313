package model

import (
	"math"
	"slices"
	"time"
)

// warmUpStep is the interval at which the capacity of a warming server is recomputed. The steps count from the
// server's start, so the capacity doesn't depend on when the caller advances the server.
const warmUpStep = time.Millisecond

// arrival is the work of a request and the time at which it arrived.
type arrival struct {
	at   time.Duration
	work float64
	id   string
}

// Capacity returns the fraction of the server's full capacity that is currently available. Warming up, thrashing,
// open connections and pauses reduce the fraction.
func (s *Server) Capacity() float64 {
	if s.down || s.now < s.pauseEnd {
		return 0
	}
	fraction := s.warmFraction
	excess := float64(s.InFlight())/float64(s.config.Cores) - s.config.ThrashThreshold
	if s.config.ThrashFactor > 0 && excess > 0 {
		fraction /= 1 + s.config.ThrashFactor*excess
	}
	if s.config.MaxConns > 0 {
		fraction *= 1 - s.config.ConnOverhead*float64(s.conns)/float64(s.config.MaxConns)
	}
	return fraction
}

// updateWarmFraction recomputes the fraction of the capacity that warm-up makes available. If the server is still
// warming up, it also sets the time of the next step.
func (s *Server) updateWarmFraction() {
	warmUp := &s.config.WarmUp
	s.nextWarmUpdate = math.MaxInt64
	if s.warmFraction = 1; warmUp.InitialCapacity <= 0 || warmUp.Duration <= 0 {
		return
	}
	progress := (s.now - s.startedAt + warmUpStep/2).Seconds() / warmUp.Duration.Seconds()
	if warmUp.ByWork {
		progress = s.workDone / (s.fullRate() * warmUp.Duration.Seconds())
	}
	s.warmFraction = min(1, warmUp.InitialCapacity+(1-warmUp.InitialCapacity)*progress)
	if s.warmFraction < 1 {
		s.nextWarmUpdate = s.now + warmUpStep
	}
}

// fullRate returns the work per second of a warm server at full load.
func (s *Server) fullRate() float64 { return float64(s.config.Cores) * s.config.Speed }

// rate returns the work per second that the server does for each running request.
func (s *Server) rate() float64 {
	if len(s.running) == 0 {
		return 0
	}
	return s.Capacity() * s.config.Speed * min(1, float64(s.config.Cores)/float64(len(s.running)))
}

// recordArrival records the work that a warming server receives. It crashes the server if the work received within
// the overload window exceeds the limit described at WarmUp. Without an overload factor it records nothing.
func (s *Server) recordArrival(r Request) {
	warmUp := &s.config.WarmUp
	if warmUp.OverloadFactor <= 0 || s.warmFraction >= 1 {
		s.recentArrivals, s.recentWork = nil, 0
		return
	}
	s.recentArrivals = append(s.recentArrivals, arrival{s.now, r.Work, r.ID})
	s.recentWork += r.Work
	expired := 0
	for ; expired < len(s.recentArrivals) && s.recentArrivals[expired].at <= s.now-warmUp.OverloadWindow; expired++ {
		s.recentWork -= s.recentArrivals[expired].work
	}
	s.recentArrivals = slices.Delete(s.recentArrivals, 0, expired)
	if s.recentWork > warmUp.OverloadFactor*s.warmFraction*s.fullRate()*warmUp.OverloadWindow.Seconds() {
		for _, a := range s.recentArrivals {
			s.overloading = append(s.overloading, a.id)
		}
		s.crash()
	}
}
