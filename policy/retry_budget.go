package policy

import "time"

const (
	sheddingRetryCost = 0.15        // cost of a retry while servers shed load
	retryHistory      = time.Minute // time for which retries are kept, in case new settings have a longer window
)

var defaultRetryBudget = RetryBudget{MinRetries: 20, RetryRatio: 0.2, Window: 10 * time.Second}

// retryBudgetAllows reports whether the retry budget allows another retry. The budget prevents retry storms. Requests
// and retries are counted exactly over the sliding window.
func (b *Balancer) retryBudgetAllows() bool {
	from := b.now - b.retryBudget.Window
	retries := dropBefore(b.retries, from)
	expired := b.retries[:len(b.retries)-len(retries)]
	b.expiredRetries = append(dropBefore(b.expiredRetries, b.now-retryHistory), expired...)
	b.accepted, b.retries = dropBefore(b.accepted, from+1), retries
	allowed := b.retryBudget.MinRetries + b.retryBudget.RetryRatio*float64(len(b.accepted))
	return float64(len(b.retries)+1) <= allowed-roundingSlack
}

// chargeRetry charges a retry or hedged request of r to the retry budget. It charges only sheddingRetryCost if
// servers shed load, no attempt of r may have been executed, and the site sets no retry budget.
func (b *Balancer) chargeRetry(r *request) {
	b.retryDebt++
	if b.settings.Rules.RetryBudget == nil && r.firstMaybeExecuted == nil && b.serversShedLoad() {
		b.retryDebt -= 1 - sheddingRetryCost
	}
	if b.retryDebt >= 1 {
		b.retryDebt--
		b.retries = append(b.retries, b.now)
	}
}
