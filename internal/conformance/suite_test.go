// Package conformance contains a test suite that runs unchanged against every build that serves clients: the daemon
// with and without TLS, the net/http middleware and the gin middleware.
package conformance

import "testing"

// TestSuite checks every build with every case, except the cases that a build excludes with a reason. The cases run
// in parallel because they mostly wait.
func TestSuite(t *testing.T) {
	cases := []struct {
		name string
		run  func(*testing.T, build)
	}{
		{"ServesEachClass", testServesEachClass},
		{"InvalidRequestsReachNoServer", testInvalidRequestsReachNoServer},
		{"RejectionHasRetryAfter", testRejectionHasRetryAfter},
		{"NonIdempotentRequestIsNotRetried", testNonIdempotentRequestIsNotRetried},
		{"ClientDisconnectCancelsAttempt", testClientDisconnectCancelsAttempt},
		{"IdleConnectionsAreEvicted", testIdleConnectionsAreEvicted},
		{"HeaderTimeoutBoundsRequestsOnly", testHeaderTimeoutBoundsRequestsOnly},
		{"GracefulShutdown", testGracefulShutdown},
		{"MalformedInput", testMalformedInput},
		{"SmuggledRequestsReachNoServer", testSmuggledRequestsReachNoServer},
	}
	for _, b := range builds {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			for _, c := range cases {
				t.Run(c.name, func(t *testing.T) {
					if why := b.exceptions[c.name]; why != "" {
						t.Skip(why)
					}
					t.Parallel()
					c.run(t, b)
				})
			}
		})
	}
}
