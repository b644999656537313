package routes

import (
	"slices"
	"strings"
)

// checkShadowed returns an *Error for the first shadowed route. No request can reach a shadowed route, because an
// earlier route matches all its requests. Routes with different fixed first segments cannot shadow each other. Each
// route is therefore compared only with earlier routes that have the same first segment or a variable first segment.
func (t *Table) checkShadowed() error {
	bySegment := make(map[string][]int32) // routes by their fixed first segment
	var anySegment []int32                // routes without a fixed first segment
	for later := range t.routes {
		route := &t.routes[later]
		candidates := anySegment
		if segment, fixed := route.firstSegment(); fixed {
			candidates = mergeSorted(anySegment, bySegment[segment])
			bySegment[segment] = append(bySegment[segment], int32(later))
		} else {
			anySegment = append(anySegment, int32(later))
		}
		for _, earlier := range candidates {
			if t.routes[earlier].covers(route) {
				return t.shadowedError(later, int(earlier))
			}
		}
	}
	return nil
}

// shadowedError returns the error for the route later, which the route earlier covers.
func (t *Table) shadowedError(later, earlier int) error {
	route, other := &t.routes[later], &t.routes[earlier]
	problem := "unreachable: all its requests match the route of"
	sameResult := route.Class == other.Class && route.Pool == other.Pool && route.Timeout == other.Timeout
	if route.covers(other) && !sameResult {
		problem = "same conditions, but another result, as the route of"
	}
	return &Error{RouteIndex: later, OtherIndex: earlier, Line: route.Line, OtherLine: other.Line, Problem: problem}
}

// mergeSorted merges two ascending lists into a new one.
func mergeSorted(a, b []int32) []int32 {
	merged := append(slices.Clone(a), b...)
	slices.Sort(merged)
	return merged
}

// firstSegment returns the first segment of the paths that a route matches. fixed is false if the first segments of
// these paths differ.
func (r *Route) firstSegment() (segment string, fixed bool) {
	path := r.Path + r.Prefix + r.Segments
	if len(path) < 2 {
		return "", r.Path == "/"
	}
	segment, _, _ = strings.Cut(path[1:], "/")
	return segment, segment[0] != '{'
}

// covers reports whether r matches every request that other matches. It may return false for a route that r covers,
// because different regular expressions are not compared.
func (r *Route) covers(other *Route) bool {
	if r.Fraction < 1 && (r.Fraction < other.Fraction || r.HashBy != other.HashBy || r.HashSalt != other.HashSalt) {
		return false
	}
	if r.Listener != "" && r.Listener != other.Listener {
		return false
	}
	return hostCovers(r.Host, other.Host) && r.pathCovers(other) && methodsCover(r.Methods, other.Methods) &&
		conditionsCover(r.Headers, other.Headers) && conditionsCover(r.Query, other.Query)
}

func hostCovers(host, other string) bool {
	if host == "" || host == other {
		return true
	}
	suffix, wildcard := strings.CutPrefix(host, "*")
	return wildcard && strings.HasSuffix(other, suffix) && len(other) > len(suffix)
}

func methodsCover(methods, other []string) bool {
	if len(methods) == 0 {
		return true
	}
	isMissing := func(method string) bool { return !slices.Contains(methods, method) }
	return len(other) > 0 && !slices.ContainsFunc(other, isMissing)
}

// conditionsCover reports whether every request that meets all conditions in other also meets all in conditions.
func conditionsCover(conditions, other []Condition) bool {
	for _, condition := range conditions {
		implied := func(o Condition) bool {
			return condition == o || condition.Name == o.Name && condition.Present && !o.Missing
		}
		if !slices.ContainsFunc(other, implied) {
			return false
		}
	}
	return true
}

func (r *Route) pathCovers(other *Route) bool {
	switch {
	case r.Path+r.Prefix+r.Segments+r.Regexp == "" || r.Prefix == "/":
		return true
	case r.Path != "":
		return r.Path == other.Path
	case r.Regexp != "":
		return r.Regexp == other.Regexp
	case r.Prefix != "":
		path := other.Path + other.Prefix + other.Segments
		return path == r.Prefix || strings.HasPrefix(path, r.Prefix+"/")
	}
	return segmentsCover(r.Segments, other.Path+other.Segments)
}

// segmentsCover reports whether pattern, a value of Route.Segments, matches path. If path is also a pattern, every
// request path that matches path must also match pattern. path is empty for a route with Prefix or Regexp. Such a
// route is not covered, because it may match paths of any length.
func segmentsCover(pattern, path string) bool {
	if path == "" {
		return false
	}
	want, got := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(want) != len(got) {
		return false
	}
	for i := range want {
		if strings.HasPrefix(want[i], "{") {
			if got[i] == "" {
				return false
			}
		} else if want[i] != got[i] {
			return false
		}
	}
	return true
}
