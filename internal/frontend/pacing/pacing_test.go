package pacing

import (
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
