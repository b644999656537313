package pacing

import (
	"slices"
	"testing"
	"time"
)

// answersWithin returns how many local answers the connections get in the given time if their clients send at full
// speed.
func answersWithin(limiter *Limiter, conns int, total time.Duration) (answers int) {
	start := time.Unix(0, 0)
	buckets, readyAt := make([]*Conn, conns), make([]time.Time, conns)
	for i := range buckets {
		buckets[i], readyAt[i] = limiter.NewConn(), start
	}
	for now := start; now.Sub(start) < total; now = now.Add(time.Millisecond) {
		for i, bucket := range buckets {
			for !readyAt[i].After(now) && answers < 1_000_000 {
				answers++
				bucket.CountLocalAnswer()
				readyAt[i] = now.Add(bucket.Delay(now, MaxDelay))
				if readyAt[i].Equal(now) {
					readyAt[i] = now.Add(100 * time.Microsecond) // the work for a request
				}
			}
		}
	}
	return answers
}

// TestDelay_BoundsLocalAnswers checks that the number of local answers is bounded for each connection and for all of
// them together.
func TestDelay_BoundsLocalAnswers(t *testing.T) {
	const seconds = 10
	for _, conns := range []int{1, 6, 100, 400} {
		got := answersWithin(new(Limiter), conns, seconds*time.Second)
		most := conns*(connBurst+1) + seconds*min(conns*connRate, totalRate) + int(seconds*time.Second/MaxDelay)*conns
		if got > most {
			t.Errorf("%d connections: %d local answers in %d s, want at most %d", conns, got, seconds, most)
		}
	}
}

// TestDelay_NoneForUsualClients checks that a connection is not delayed below connRate, nor by its requests that
// servers answer.
func TestDelay_NoneForUsualClients(t *testing.T) {
	limiter := new(Limiter)
	conn, now := limiter.NewConn(), time.Unix(0, 0)
	for range 1000 {
		conn.CountLocalAnswer()
		now = now.Add(time.Second / connRate)
		for range 10 { // answered by servers
			if delay := conn.Delay(now, MaxDelay); delay != 0 {
				t.Fatalf("delayed by %v at %v", delay, now)
			}
		}
	}
	if limiter.Delayed() != 0 {
		t.Errorf("%d delays counted, want none", limiter.Delayed())
	}
}

// TestDelay_Bounded checks that no single request waits longer than MaxDelay or the limit of the caller.
func TestDelay_Bounded(t *testing.T) {
	conn, now := new(Limiter).NewConn(), time.Unix(0, 0)
	for _, limit := range []time.Duration{time.Millisecond, MaxDelay, time.Hour} {
		for range 100_000 {
			conn.CountLocalAnswer()
		}
		if delay, want := conn.Delay(now, limit), min(limit, MaxDelay); delay != want {
			t.Errorf("limit %v: delayed by %v, want %v", limit, delay, want)
		}
	}
}

// TestCatchUpDelay_SharesCPU checks that connections that catch up are served for their share of the time, however many
// they are, that each of them is served, and that a connection without many local answers is not delayed.
func TestCatchUpDelay_SharesCPU(t *testing.T) {
	const step, steps = 20 * time.Microsecond, 20_000
	for _, count := range []int{1, 8, 64} {
		limiter, now := new(Limiter), time.Unix(0, 0)
		conns, readyAt, served := make([]*Conn, count), make([]time.Time, count), make([]int, count)
		for i := range conns {
			conns[i] = limiter.NewConn()
			for range 2 * steps {
				conns[i].CountLocalAnswer()
			}
		}
		total := 0
		for range steps {
			now = now.Add(step)
			for i, conn := range conns {
				if readyAt[i].After(now) {
					continue
				}
				delay := conn.CatchUpDelay(now)
				readyAt[i] = now.Add(delay)
				if delay == 0 {
					total++
					served[i]++
				}
			}
		}
		// each burst may last for a step more than catchUpBurst
		most := int(1.2 * steps * float64(catchUpBurst) / float64(catchUpInterval))
		if total > most || slices.Min(served) < total/count/2 {
			t.Errorf("%d connections: served in %d of %d steps, want at most %d; each: %v", count, total, steps, most, served)
		}
		if delay := limiter.NewConn().CatchUpDelay(now); delay != 0 {
			t.Errorf("a connection without local answers is delayed by %v", delay)
		}
	}
}
