package script

import (
	"fmt"
	"slices"
	"strings"
)

// checkFault returns an error if the fault with the given index is invalid or contradicts an earlier fault.
func (s *Script) checkFault(index int) error {
	fault, at := &s.Faults[index], fmt.Sprintf("fault[%d]", index)
	kind, ok := faultKinds[fault.Kind]
	if !ok {
		return s.lines.Errorf(at+".kind", "want one of %s, got %q", strings.Join(sortedKeys(faultKinds), ", "), fault.Kind)
	}
	for _, check := range []func(*Fault, string, faultKind) error{
		s.checkFaultKeys, s.checkFaultValues, s.checkFaultNames, s.checkFaultSelection,
	} {
		if err := check(fault, at, kind); err != nil {
			return err
		}
	}
	for i := range index {
		if err := s.checkFaultOverlap(fault, &s.Faults[i], at, kind); err != nil {
			return err
		}
	}
	return nil
}

// checkFaultKeys checks that a fault has all required keys of its kind, and only allowed keys.
func (s *Script) checkFaultKeys(fault *Fault, at string, kind faultKind) error {
	for _, key := range faultKeys {
		_, present := s.lines[at+"."+key]
		if present && key != "for" && !slices.Contains(kind.allowed, key) {
			allowed := append([]string{"name", "at", "for"}, kind.allowed...)
			return s.lines.Errorf(at+"."+key, "not allowed for %s; allowed are %s", fault.Kind, strings.Join(allowed, ", "))
		}
		if !present && slices.Contains(kind.required, key) {
			return s.lines.Errorf(at, "%s: missing; %s needs it", key, fault.Kind)
		}
	}
	return nil
}

func (s *Script) checkFaultValues(fault *Fault, at string, kind faultKind) error {
	switch {
	case fault.At >= s.Duration:
		return s.lines.Errorf(at+".at", "want before the end at %v, got %v", s.Duration, fault.At)
	case fault.Duration <= 0:
		return s.lines.Errorf(at+".for", "want a time above 0s")
	case 2*fault.RampDuration > fault.Duration:
		return s.lines.Errorf(at+".rise", "want at most half of for, got %v", fault.RampDuration)
	case fault.Factor == 0 && slices.Contains(kind.required, "factor"):
		return s.lines.Errorf(at+".factor", "want above 0")
	}
	return nil
}

// checkFaultNames checks that the script contains every zone, class, tenant, server and node that the fault names.
func (s *Script) checkFaultNames(fault *Fault, at string, _ faultKind) error {
	for _, check := range []struct {
		key, what, name string
		names           []string
	}{
		{".zone", "zone", fault.Zone, s.Network.Zones},
		{".class", "class", fault.Class, s.classNames()},
		{".tenant", "tenant", fault.Tenant, s.tenantNames()},
		{".of", "kind of server", fault.ServerKind, s.kindNames()},
	} {
		if err := s.checkKnown(at+check.key, check.what, check.name, check.names); err != nil {
			return err
		}
	}
	for i, name := range fault.Servers {
		if err := s.checkKnown(fmt.Sprintf("%s.servers[%d]", at, i), "server", name, s.ServerNames()); err != nil {
			return err
		}
	}
	for i, name := range fault.Nodes {
		if err := s.checkKnown(fmt.Sprintf("%s.nodes[%d]", at, i), "node", name, s.NodeNames()); err != nil {
			return err
		}
	}
	return nil
}

// checkFaultSelection checks that a fault of servers or nodes uses exactly one way to select them. It also checks
// that a delay of the endpoint list is above 0.
func (s *Script) checkFaultSelection(fault *Fault, at string, kind faultKind) error {
	if kind.target == targetServers || kind.target == targetNodes {
		selections := 0
		for _, set := range []bool{len(fault.Servers)+len(fault.Nodes) > 0, fault.Count > 0, fault.Share > 0} {
			if set {
				selections++
			}
		}
		if selections != 1 {
			return s.lines.Errorf(at, "select %s by exactly one of %s, count and share", kind.target, kind.target)
		}
	}
	if fault.Kind == FaultListLate && fault.Delay == 0 {
		return s.lines.Errorf(at+".delay", "want above 0s")
	}
	return nil
}

// checkFaultOverlap returns an error if fault overlaps the earlier fault other and both can't be active at the same
// time. It compares only servers that the script names, because the random selection of servers avoids conflicts.
func (s *Script) checkFaultOverlap(fault, other *Fault, at string, kind faultKind) error {
	if !fault.overlaps(other) {
		return nil
	}
	for _, name := range fault.Servers {
		if fault.EndsProcess() && other.EndsProcess() && slices.Contains(other.Servers, name) {
			return s.lines.Errorf(at+".servers", "%s at %s overlaps %s of line %d, from %v to %v",
				fault.Kind, name, other.Kind, other.line, other.At, other.End())
		}
	}
	sameZoneCut := fault.Kind == FaultZoneCut && fault.Zone == other.Zone
	if fault.Kind == other.Kind && (kind.target == targetDiscovery || sameZoneCut) {
		return s.lines.Errorf(at, "overlaps %s of line %d, from %v to %v", fault.Kind, other.line, other.At, other.End())
	}
	for _, name := range fault.Nodes {
		if fault.Kind == FaultNodeCrash && other.Kind == FaultNodeCrash && slices.Contains(other.Nodes, name) {
			return s.lines.Errorf(at+".nodes", "%s at %s overlaps line %d, from %v to %v",
				fault.Kind, name, other.line, other.At, other.End())
		}
	}
	return nil
}
