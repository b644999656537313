package policy

import (
	"cmp"
	"time"
)

const (
	slowStartMargin  = 0.7 // of the overload factor beyond one: that one is left to chance and unequal servers
	minSlowStartRate = 1.0 // requests a second by all nodes to a server that warms up when nothing is known yet

	completionRateWindow = 3 * time.Second // time constant of the completion rate
)

// slowStartFraction is the part of its capacity that s has at least, or 1 once it is warm.
func (b *Balancer) slowStartFraction(s *server) float64 {
	started, rules := cmp.Or(s.SlowStartAt, s.OnlineSince), &b.settings.Rules
	age := b.now - started
	if started <= 0 || age >= rules.SlowStartWindow {
		return 1
	}
	return rules.SlowStartShare + (1-rules.SlowStartShare)*max(0, age.Seconds())/rules.SlowStartWindow.Seconds()
}

// hasSlowStartCapacity guards against pushing a server over that warms up. This node's mean rate per server,
// summed over the nodes, is that of a warm one; it may get at most its present part of that.
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
