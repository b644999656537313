package policy

import (
	"cmp"
	"time"
)

const (
	slowStartMargin  = 0.7 // used fraction of OverloadFactor-1; the rest absorbs random variation
	minSlowStartRate = 1.0 // assumed rate of a server before a rate is known, in requests/s over all nodes

	completionRateWindow = 3 * time.Second // time constant of the moving average completionRate
)

// slowStartFraction returns the minimum capacity of s now, as a fraction of its full capacity. It returns 1 after
// slow start.
func (b *Balancer) slowStartFraction(s *server) float64 {
	started, rules := cmp.Or(s.SlowStartAt, s.OnlineSince), &b.settings.Rules
	age := b.now - started
	if started <= 0 || age >= rules.SlowStartWindow {
		return 1
	}
	return rules.SlowStartShare + (1-rules.SlowStartShare)*max(0, age.Seconds())/rules.SlowStartWindow.Seconds()
}

// hasSlowStartCapacity reports whether s may get an attempt without being overloaded during slow start. A server at
// full capacity is assumed to get the mean rate per server from each node. This node therefore limits its rate to s
// to a fraction of its own mean rate per server.
func (b *Balancer) hasSlowStartCapacity(s *server) bool {
	fraction := b.slowStartFraction(s)
	if fraction >= 1 {
		return true
	}
	rules, bucket := &b.settings.Rules, &s.slowStart
	mean := b.currentCompletionRate() / float64(max(1, len(b.order)))
	mean = max(mean, minSlowStartRate/float64(b.settings.Nodes))
	rate := slowStartMargin * max(0.5, rules.OverloadFactor-1) * fraction * mean
	burst := max(1, rate*rules.OverloadDuration.Seconds()/4)
	bucket.tokens, bucket.lastRefill = min(burst, bucket.tokens+rate*(b.now-bucket.lastRefill).Seconds()), b.now
	return bucket.tokens >= 1
}
