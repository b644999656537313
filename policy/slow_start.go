package policy

import (
	"cmp"
	"time"
)

const (
	slowStartMargin  = 0.7 // part of the overload factor above 1 that is used; the rest absorbs variation
	minSlowStartRate = 1.0 // requests/s of all nodes to a server in slow start, before a rate is known

	completionRateWindow = 3 * time.Second // time constant of the completion rate
)

// slowStartFraction returns the minimum fraction of its full capacity that s has now; 1 after slow start.
func (b *Balancer) slowStartFraction(s *server) float64 {
	started, rules := cmp.Or(s.SlowStartAt, s.OnlineSince), &b.settings.Rules
	age := b.now - started
	if started <= 0 || age >= rules.SlowStartWindow {
		return 1
	}
	return rules.SlowStartShare + (1-rules.SlowStartShare)*max(0, age.Seconds())/rules.SlowStartWindow.Seconds()
}

// hasSlowStartCapacity tells whether s may be sent an attempt without being overloaded during slow start. A server at
// full capacity gets this node's mean rate per server, summed over all nodes, so that s may get a fraction of that
// rate.
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
