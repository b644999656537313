package policy

import "time"

const (
	sheddingRetryCost = 0.15        // of an attempt after overload answers where servers shed load
	retryHistory      = time.Minute // memory of retries, for a new budget over a longer window
)

var defaultRetryBudget = RetryBudget{MinRetries: 20, RetryRatio: 0.2, Window: 10 * time.Second}

// retryBudgetAllows guards against retry storms, by an exact count over a sliding window.
func (b *Balancer) retryBudgetAllows() bool {
	from := b.now - b.retryBudget.Window
	retries := dropBefore(b.retries, from)
	expired := b.retries[:len(b.retries)-len(retries)]
	b.expiredRetries = append(dropBefore(b.expiredRetries, b.now-retryHistory), expired...)
	b.accepted, b.retries = dropBefore(b.accepted, from+1), retries
	allowed := b.retryBudget.MinRetries + b.retryBudget.RetryRatio*float64(len(b.accepted))
	return float64(len(b.retries)+1) <= allowed-roundingSlack
}

// chargeRetry charges a further attempt of r: in part only where nothing ran and the site states no budget.
func (b *Balancer) chargeRetry(r *request) {
	b.retryDebt++
	if b.settings.Rules.RetryBudget == nil && r.mayHaveRun == nil && b.serversShedLoad() {
		b.retryDebt -= 1 - sheddingRetryCost
	}
	if b.retryDebt >= 1 {
		b.retryDebt--
		b.retries = append(b.retries, b.now)
	}
}
