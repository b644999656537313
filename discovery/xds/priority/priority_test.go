package priority

import (
	"fmt"
	"strings"
	"testing"

	"cobaltward/discovery/xds/resource"

	"pgregory.net/rapid"
)

// assignment returns the assignment that text describes. Each letter is an endpoint: H healthy, K unknown, U
// unhealthy, T timed out, D draining, G degraded. Spaces separate the priority levels.
func assignment(factor float64, text string) *resource.Assignment {
	states := map[rune]resource.Health{
		'H': resource.Healthy, 'K': resource.Unknown, 'U': resource.Unhealthy,
		'T': resource.Timeout, 'D': resource.Draining, 'G': resource.Degraded,
	}
	parsed := &resource.Assignment{Overprovisioning: factor}
	for priority, level := range strings.Split(text, " ") {
		for _, letter := range level {
			addr := fmt.Sprint(len(parsed.Endpoints))
			endpoint := resource.Endpoint{Addr: addr, Priority: uint32(priority), Health: states[letter]}
			parsed.Endpoints = append(parsed.Endpoints, endpoint)
		}
	}
	return parsed
}

func TestEligible(t *testing.T) {
	for _, test := range []struct {
		factor     float64
		text, want string
	}{
		{1.4, "HHHH HH", "xxxx .."},
		{1.4, "HHHU HH", "xxx. .."}, // 3/4 healthy times 1.4 is full availability
		{1.4, "HHUU HH", "xx.. xx"}, // 2/4 healthy times 1.4 is less than full availability
		{1.4, "HHHHHUU H", "xxxxx.. ."},
		{1, "HHHU H", "xxx. x"},
		{1.4, "UTD HH H", "... xx ."},
		{1.4, "UUUU UU HH", ".... .. xx"},
		{1.4, "UUUU UU", ".... .."},
		{1.4, "KKKK H", "xxxx ."},
		{1.4, "HHHG H", "xxx. ."},
		{1.4, "HUGU", "x.x."}, // too few healthy endpoints in all levels, so the degraded endpoint is eligible
		{1.4, "GGG HH", "... xx"},
		{1.4, "GGG", "xxx"},
		{1.4, "", ""},
	} {
		t.Run(fmt.Sprintf("%q at %v", test.text, test.factor), func(t *testing.T) {
			eligible := Eligible(assignment(test.factor, test.text))
			var got strings.Builder
			i := 0
			for _, r := range test.text {
				if r == ' ' {
					got.WriteByte(' ')
					continue
				}
				got.WriteByte(map[bool]byte{true: 'x', false: '.'}[eligible[i]])
				i++
			}
			if got.String() != test.want {
				t.Errorf("levels %q, factor %v: eligible endpoints %q, want %q", test.text, test.factor, got.String(), test.want)
			}
		})
	}
}

// TestEligible_Invariants checks three invariants for random endpoints. No unhealthy or draining endpoint is
// eligible. If any endpoint is healthy, at least one endpoint is eligible. An endpoint that recovers makes no
// non-degraded endpoint of its own or a higher priority level ineligible.
func TestEligible_Invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(
			rapid.SliceOfN(rapid.StringOfN(rapid.SampledFrom([]rune("HKUTDG")), 1, 6, -1), 1, 4).Draw(t, "levels"),
			" ",
		)
		cluster := assignment(rapid.SampledFrom([]float64{1, 1.4, 2}).Draw(t, "factor"), text)
		eligible := Eligible(cluster)
		healthy, anyEligible := 0, false
		for i, e := range cluster.Endpoints {
			anyEligible = anyEligible || eligible[i]
			if isHealthy(e.Health) {
				healthy++
			} else if eligible[i] && e.Health != resource.Degraded {
				t.Fatalf("%q: endpoint %d is eligible although it is %v", text, i, e.Health)
			}
		}
		if healthy > 0 && !anyEligible {
			t.Fatalf("%q: no endpoint is eligible", text)
		}
		recovered := rapid.IntRange(0, len(cluster.Endpoints)-1).Draw(t, "recovers")
		cluster.Endpoints[recovered].Health = resource.Healthy
		for i, stillEligible := range Eligible(cluster) {
			if e := cluster.Endpoints[i]; eligible[i] && !stillEligible && e.Health != resource.Degraded &&
				e.Priority <= cluster.Endpoints[recovered].Priority {
				t.Fatalf("%q: endpoint %d becomes ineligible when %d recovers", text, i, recovered)
			}
		}
	})
}
