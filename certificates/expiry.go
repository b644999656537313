package certificates

import (
	"cmp"
	"slices"
	"time"
)

// ExpiryWarning reports that a certificate expires soon, or has expired.
type ExpiryWarning struct {
	Summary
	Remaining time.Duration // zero or negative after expiry
}

// ExpiryWarnings decides when to warn of a certificate's expiry: once at each of several lead times, and once after
// the expiry. It is not safe for concurrent use.
type ExpiryWarnings struct {
	leadTimes []time.Duration // descending
	passed    map[string]int  // number of lead times that have passed, by certificate
}

// NewExpiryWarnings returns ExpiryWarnings that warn when the remaining validity falls to one of leadTimes.
func NewExpiryWarnings(leadTimes []time.Duration) *ExpiryWarnings {
	leadTimes = slices.Clone(leadTimes)
	slices.SortFunc(leadTimes, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return &ExpiryWarnings{leadTimes: leadTimes, passed: make(map[string]int)}
}

// Due returns the warnings that have become due since the last call. current lists all certificates in use. Due
// deletes the state of certificates that are missing from current.
func (w *ExpiryWarnings) Due(now time.Time, current []Summary) (due []ExpiryWarning) {
	passed := make(map[string]int, len(current))
	for _, cert := range current {
		key := cert.Source + " " + cert.Serial + " " + cert.ExpiresAt.String()
		remaining := cert.ExpiresAt.Sub(now)
		count := w.countPassed(remaining)
		if count > w.passed[key] && passed[key] == 0 {
			due = append(due, ExpiryWarning{cert, remaining})
		}
		passed[key] = max(count, w.passed[key])
	}
	w.passed = passed
	return due
}

// countPassed returns the number of lead times that have passed. The expiry itself counts as a further lead time.
func (w *ExpiryWarnings) countPassed(remaining time.Duration) int {
	if remaining <= 0 {
		return len(w.leadTimes) + 1
	}
	count := 0
	for _, leadTime := range w.leadTimes {
		if remaining <= leadTime {
			count++
		}
	}
	return count
}
