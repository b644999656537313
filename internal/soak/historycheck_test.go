package soak

import (
	"testing"
	"time"
)

// TestHistory_AttemptAfterRejection checks that an attempt after the rejection of its request counts as a violation.
// The attempt does not count if it arrived in the kernel before the rejection and the server read it late.
func TestHistory_AttemptAfterRejection(t *testing.T) {
	const long = 150 * time.Millisecond
	for _, test := range []struct {
		name             string
		attempt, respond time.Duration // time between the arrival in the kernel and the read
		violates         bool
	}{
		{"both read at once", 0, 0, true},
		{"attempt read late, arrived before", long, 0, false},
		{"both read late, attempt arrived before", 2 * long, long, false},
		{"both read late, attempt arrived after", long, 2 * long, true},
		{"rejection read late", 0, long, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHistory()
			h.recordRequest("r1", "hladanie", time.Second)
			h.recordResponse("r1", 503, test.respond)
			h.recordAttempt("r1", 0, test.attempt)
			if violates := len(h.violations) > 0; violates != test.violates {
				t.Errorf("violations %v, want a violation: %v", h.violations, test.violates)
			}
		})
	}
}
