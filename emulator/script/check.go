package script

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// shareTolerance is the allowed rounding error in a sum of shares.
const shareTolerance = 1e-6

// check returns an error if a value of the script is invalid or contradicts another value.
func (s *Script) check() error {
	if len(s.Network.Zones) == 0 {
		return s.lines.Errorf("net.zones", "want one zone or more")
	}
	if err := s.checkNames("net.zones", "", s.Network.Zones); err != nil {
		return err
	}
	for _, check := range []func() error{s.checkServerKinds, s.checkClasses, s.checkTenants} {
		if err := check(); err != nil {
			return err
		}
	}
	if err := s.checkZones("traffic.zones", s.Traffic.Zones); err != nil {
		return err
	}
	for i := range s.Faults {
		if err := s.checkFault(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Script) checkServerKinds() error {
	for i, kind := range s.ServerKinds {
		at := fmt.Sprintf("kind[%d]", i)
		if err := s.checkZones(at+".zones", kind.Zones); err != nil {
			return err
		}
		if kind.InitialCapacity.Lo > 0 && kind.WarmUpDuration == 0 {
			return s.lines.Errorf(at+".cold_from", "cold_for, the time until the server is warm, is missing")
		}
	}
	return s.checkNames("kind", ".name", s.kindNames())
}

func (s *Script) checkClasses() error {
	share := 0.0
	for i, class := range s.Classes {
		share += class.Share
		at := fmt.Sprintf("class[%d]", i)
		if class.LatencyObjective > class.Deadline {
			return s.lines.Errorf(at+".aim", "want at most the deadline, %v, got %v", class.Deadline, class.LatencyObjective)
		}
		if class.Idempotency == IdempotencyKeyed && class.DedupWindow == 0 {
			return s.lines.Errorf(at, "window: missing; repeat = %q needs it", class.Idempotency)
		}
	}
	if math.Abs(share-1) > shareTolerance {
		return s.lines.Errorf("class[0].share", "the shares of all classes add up to %.4g, want 1", share)
	}
	return s.checkNames("class", ".name", s.classNames())
}

func (s *Script) checkTenants() error {
	share := 0.0
	for _, tenant := range s.Tenants {
		share += tenant.Share
	}
	if share > 1+shareTolerance {
		return s.lines.Errorf("tenant[0].share", "the shares of all tenants add up to %.4g, want at most 1", share)
	}
	return s.checkNames("tenant", ".name", s.tenantNames())
}

func (s *Script) kindNames() (names []string) {
	for _, kind := range s.ServerKinds {
		names = append(names, kind.Name)
	}
	return names
}

func (s *Script) classNames() (names []string) {
	for _, class := range s.Classes {
		names = append(names, class.Name)
	}
	return names
}

func (s *Script) tenantNames() (names []string) {
	for _, tenant := range s.Tenants {
		names = append(names, tenant.Name)
	}
	return names
}

// checkNames returns an error for the first invalid or duplicate name.
func (s *Script) checkNames(at, field string, names []string) error {
	for i, name := range names {
		key := fmt.Sprintf("%s[%d]%s", at, i, field)
		invalid := func(r rune) bool { return r <= ' ' || r > '~' || r == ',' }
		if name == "" || strings.ContainsFunc(name, invalid) {
			return s.lines.Errorf(key, "want a name of printable ASCII without blanks and commas, got %q", name)
		}
		if slices.Index(names, name) < i {
			return s.lines.Errorf(key, "duplicate name %q", name)
		}
	}
	return nil
}

// checkZones returns an error if a weight belongs to an unknown zone, or if there are weights but none is above 0.
func (s *Script) checkZones(at string, weights map[string]float64) error {
	sum := 0.0
	for _, zone := range sortedKeys(weights) {
		if !slices.Contains(s.Network.Zones, zone) {
			return s.lines.Errorf(at+"."+zone, "unknown zone; there are %s", strings.Join(s.Network.Zones, ", "))
		}
		sum += weights[zone]
	}
	if len(weights) > 0 && sum <= 0 {
		return s.lines.Errorf(at, "want a weight above 0")
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// checkKnown returns an error if name is neither empty nor in names. what describes the named thing in the error.
func (s *Script) checkKnown(key, what, name string, names []string) error {
	if name == "" || slices.Contains(names, name) {
		return nil
	}
	if len(names) > 12 {
		names = []string{names[0], names[1], "...", names[len(names)-1]}
	}
	return s.lines.Errorf(key, "there is no %s %q; there are %s", what, name, strings.Join(names, ", "))
}
