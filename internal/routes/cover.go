package routes

import (
	"slices"
	"strings"
)

// unreachable finds the first route that an earlier one leaves nothing to.
func (t *Table) unreachable() error {
	// Routes can only cover one another where their paths meet, so each is held against those before it that
	// have the same first segment, or none.
	type group struct{ all []int32 }
	groups := make(map[string]*group)
	var open []int32 // whose first segment can be any
	for j := range t.routes {
		r := &t.routes[j]
		first, fixed := r.first()
		against := open
		if fixed {
			g := groups[first]
			if g == nil {
				g = &group{}
				groups[first] = g
			}
			against = merged(open, g.all)
			g.all = append(g.all, int32(j))
		} else {
			open = append(open, int32(j))
		}
		for _, i := range against {
			if !t.routes[i].covers(r) {
				continue
			}
			e := &Error{RouteIndex: j, OtherIndex: int(i), Line: r.Line, OtherLine: t.routes[i].Line, Problem: "no request reaches it: all that it would take is taken by"}
			if r.covers(&t.routes[i]) && (r.Class != t.routes[i].Class || r.Pool != t.routes[i].Pool || r.Timeout != t.routes[i].Timeout) {
				e.Problem = "it has the conditions of another route, and another end:"
			}
			return e
		}
	}
	return nil
}

// merged is two ascending lists as one.
func merged(a, b []int32) []int32 {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return all
}

// first is the first segment of all paths that a route takes, if they have the same.
func (r *Route) first() (seg string, fixed bool) {
	path := r.Path + r.Prefix + r.Segments
	if len(path) < 2 {
		return "", r.Path == "/"
	}
	seg, _, _ = strings.Cut(path[1:], "/")
	return seg, seg[0] != '{'
}

// covers tells whether a takes every request that b would take. It may say no where it does: of regular
// expressions it knows only those that are the same.
func (a *Route) covers(b *Route) bool {
	if a.Fraction < 1 && (a.Fraction < b.Fraction || a.HashBy != b.HashBy || a.HashSalt != b.HashSalt) {
		return false
	}
	if a.Listener != "" && a.Listener != b.Listener || !hostCovers(a.Host, b.Host) || !a.pathCovers(b) {
		return false
	}
	if len(a.Methods) > 0 && (len(b.Methods) == 0 || slices.ContainsFunc(b.Methods, func(m string) bool { return !slices.Contains(a.Methods, m) })) {
		return false
	}
	return fieldsCover(a.Headers, b.Headers) && fieldsCover(a.Query, b.Query)
}

func hostCovers(a, b string) bool {
	if a == "" || a == b {
		return true
	}
	below, wild := strings.CutPrefix(a, "*")
	return wild && strings.HasSuffix(b, below) && len(b) > len(below)
}

// fieldsCover tells whether b's conditions bring each of a's with them.
func fieldsCover(a, b []Condition) bool {
	return !slices.ContainsFunc(a, func(f Condition) bool {
		return !slices.ContainsFunc(b, func(g Condition) bool {
			return f == g || f.Name == g.Name && f.Present && !g.Missing
		})
	})
}

func (a *Route) pathCovers(b *Route) bool {
	switch {
	case a.Path+a.Prefix+a.Segments+a.Regexp == "" || a.Prefix == "/":
		return true
	case a.Path != "":
		return a.Path == b.Path
	case a.Regexp != "":
		return a.Regexp == b.Regexp
	case a.Prefix != "":
		p := b.Path + b.Prefix + b.Segments
		return p == a.Prefix || strings.HasPrefix(p, a.Prefix+"/")
	}
	p := b.Path + b.Segments // a prefix takes more than one pattern of segments does
	if p == "" {
		return false
	}
	as, bs := strings.Split(a.Segments, "/"), strings.Split(p, "/")
	if len(as) != len(bs) {
		return false
	}
	for i := range as {
		if param := strings.HasPrefix(as[i], "{"); !param && as[i] != bs[i] || param && bs[i] == "" {
			return false
		}
	}
	return true
}
