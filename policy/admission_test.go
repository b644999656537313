package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestAdmission_RejectsOverQuotaWithRetryAfter(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(4))
	b.settings.Capabilities.RetryAfter = true
	for i := 0; ; i++ {
		r := testRequest(fmt.Sprint(i), "idempotent")
		r.Tenant = "u"
		if rejects := actionsOf(b.Handle(ms, r), Reject); len(rejects) == 1 {
			if i != 8 { // the burst is half a second at 10 requests/s, divided by ln 2
				t.Errorf("first rejection after %d requests, want after 8", i)
			}
			if rejects[0].Wait != time.Second {
				t.Errorf("retry-after %v, want 1 s", rejects[0].Wait)
			}
			break
		}
	}
}

func TestAdmission_ClassOverrideHasOwnBucketAndMaximum(t *testing.T) {
	settings := testSettings(1)
	override := Limit{PerWindow: 50, Window: time.Second, Burst: 50}
	settings.RateLimits = RateLimits{PerClass: map[string]Limit{"idempotent": override}, Max: 2}
	b := startBalancer(t, settings, testEndpoints(8))
	rejected := 0
	for i := range 5 {
		rejected += len(actionsOf(b.Handle(ms, testRequest(fmt.Sprint("f", i), "idempotent")), Reject))
	}
	if rejected != 3 {
		t.Errorf("rejected %d of 5 requests, want 3, as Max limits the burst to 2", rejected)
	}
	if len(actionsOf(b.Handle(ms, testRequest("x", "single")), Reject)) != 0 {
		t.Error("request of a class without an override was rejected by the override's bucket")
	}
}

func TestRateScale_FollowsCapacity(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	for range 100 {
		b.adjustRateScale(false)
	}
	if b.rateScale >= 0.5 || b.rateScale < minRateScale {
		t.Errorf("after 100 selections without capacity, rateScale is %v, want from minRateScale to below 0.5",
			b.rateScale)
	}
	before := b.rateScale
	b.adjustRateScale(true)
	if b.rateScale != before {
		t.Error("rateScale changed though no bucket rejected a request")
	}
	b.rateLimited = true
	b.adjustRateScale(true)
	if b.rateScale <= before {
		t.Error("rateScale did not rise though a bucket rejected a request and there was capacity")
	}
}

// TestRateScale_QueuedRequestMovesItOnce checks that a queued request lowers rateScale only once, not at each search
// for a server.
func TestRateScale_QueuedRequestMovesItOnce(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(1))
	s := b.order[0]
	s.threshold, s.thresholdReduced, s.inFlight = 1, true, 3
	b.Handle(ms, testRequest("x", "idempotent"))
	before := b.rateScale
	for now := 2 * ms; now < 80*ms; now += queuePollInterval {
		b.Handle(now, Timer{Token: queueTimerToken})
	}
	if len(b.queued) != 1 || before >= 1 || b.rateScale != before {
		t.Errorf("%d requests queued, rateScale went from %v to %v; want 1 queued, and no change from a value below 1",
			len(b.queued), before, b.rateScale)
	}
}

// TestRateScale_FarOverQuotasNeedsGoodAnswers checks that traffic far beyond the quotas is admitted only while almost
// no answer is bad, because other nodes may lack capacity.
func TestRateScale_FarOverQuotasNeedsGoodAnswers(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	grow := func() {
		for range 200 {
			b.rateLimited = true
			b.adjustRateScale(true)
		}
	}
	grow()
	if b.rateScale != maxRateScale {
		t.Errorf("with good answers only, rateScale is %v, want %v", b.rateScale, maxRateScale)
	}
	for range 20 {
		b.updateThreshold(b.order[0], b.activeClasses[0], Outcome{Code: TimedOut, Latency: ms})
	}
	grow()
	if b.rateScale > cautiousRateScale*(1+rateScaleStep) {
		t.Errorf("with bad answers, rateScale is %v, want at most about %v", b.rateScale, cautiousRateScale)
	}
}

func TestBucket_RefillsWholeTokens(t *testing.T) {
	k := bucket{tokens: 0, lastRefill: 0}
	k.refill(599*ms, 1.667, 100)
	if k.tokens != 0 || k.lastRefill != 0 {
		t.Fatalf("time for less than one token: bucket is %+v, want no token and the refill time unchanged", k)
	}
	k.refill(1100*ms, 1.667, 100) // 1.83 tokens accrued: one token is added, the fraction is lost
	if k.tokens != 1 || k.lastRefill != 1100*ms {
		t.Fatalf("time for 1.83 tokens: bucket is %+v, want one token and the refill time updated", k)
	}
	k.refill(time.Hour, 1.667, 100)
	if k.tokens != 100 {
		t.Fatalf("after an hour: %d tokens, want the burst of 100", k.tokens)
	}
}

func TestLimit_RetryAfter(t *testing.T) {
	for _, test := range []struct {
		name  string
		limit Limit
		want  time.Duration
	}{
		{"less than a second is rounded up", Limit{PerWindow: 100, Window: time.Minute}, time.Second},
		{"one a minute", Limit{PerWindow: 1, Window: time.Minute}, time.Minute},
		{"fractions are rounded up", Limit{PerWindow: 2, Window: 5 * time.Second}, 3 * time.Second},
		{"many a second", Limit{PerWindow: 5000, Window: time.Second}, time.Second},
		{"none", Limit{PerWindow: 0, Window: 30 * time.Second}, 30 * time.Second},
		{"negative", Limit{PerWindow: -1, Window: 30 * time.Second}, 30 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.limit.retryAfter(); got != test.want {
				t.Errorf("%+v: retry-after %v, want %v", test.limit, got, test.want)
			}
		})
	}
}
