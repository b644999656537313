package policy

import (
	"testing"
	"time"
)

func TestBucketRefillsInWholeTokens(t *testing.T) {
	const ms = time.Millisecond
	k := bucket{tokens: 0, lastRefill: 0}
	k.refill(599*ms, 1.667, 100)
	if k.tokens != 0 || k.lastRefill != 0 {
		t.Fatalf("under one token: got %+v, want nothing added and the refill time kept", k)
	}
	k.refill(1100*ms, 1.667, 100) // 1.83 tokens: one is added, the fraction is lost
	if k.tokens != 1 || k.lastRefill != 1100*ms {
		t.Fatalf("1.83 tokens: got %+v, want one token and the refill time reset", k)
	}
	k.refill(time.Hour, 1.667, 100)
	if k.tokens != 100 {
		t.Fatalf("after an hour: got %d tokens, want the burst of 100", k.tokens)
	}
}

func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		limit Limit
		want  time.Duration
	}{
		{Limit{PerWindow: 100, Window: time.Minute}, time.Second},
		{Limit{PerWindow: 1, Window: time.Minute}, time.Minute},
		{Limit{PerWindow: 2, Window: 5 * time.Second}, 3 * time.Second},
		{Limit{PerWindow: 5000, Window: time.Second}, time.Second},
		{Limit{PerWindow: 0, Window: 30 * time.Second}, 30 * time.Second},
		{Limit{PerWindow: -1, Window: 30 * time.Second}, 30 * time.Second},
	} {
		if got := c.limit.retryAfter(); got != c.want {
			t.Errorf("%+v: retry-after %v, want %v", c.limit, got, c.want)
		}
	}
}
