package policy

import (
	"testing"
	"time"
)

// TestInitialThreshold_WhereNodesOutnumberServers checks that servers outside a node's subset start at a reduced
// threshold if nodes outnumber servers and each attempt would need a new connection. An attempt needs a new
// connection if an idle connection is closed before its next use.
func TestInitialThreshold_WhereNodesOutnumberServers(t *testing.T) {
	const (
		objective             = 250 * ms // shortest latency objective in testSettings
		fleetThreshold        = initialThresholdOutsideSubset
		reducedFleetThreshold = initialThresholdOutnumbered
	)
	for _, test := range []struct {
		name           string
		nodes, servers int
		idle           time.Duration
		want           float64
	}{
		{"reused before the idle timeout", 36, 24, 60 * time.Second, fleetThreshold},
		{"closed as idle before reuse", 36, 24, 36 * objective, reducedFleetThreshold},
		{"reused just before the idle timeout", 36, 24, 36*objective + ms, fleetThreshold},
		{"many nodes", 300, 200, 10 * time.Second, reducedFleetThreshold},
		{"idle timeout unknown", 36, 24, 0, reducedFleetThreshold},
		{"no more nodes than servers", 300, 300, 10 * time.Second, fleetThreshold},
	} {
		settings := testSettings(test.nodes)
		settings.Capabilities.ConnIdleTimeout = test.idle
		b := startBalancer(t, settings, testEndpoints(test.servers))
		for _, s := range b.order {
			if want := test.want / float64(test.nodes); !s.inSubset && b.initialThreshold(s) != want {
				t.Errorf("%s: initial threshold of %s is %v, want %v", test.name, s.Server, b.initialThreshold(s), want)
				break
			}
		}
	}
}
