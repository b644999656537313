package routes

import (
	"slices"
	"strings"
)

// Match returns the index of the first route that matches a request, or -1 if no route matches.
func (t *Table) Match(req *Request) int {
	search := search{table: t, req: req, best: int32(len(t.routes))}
	if index := t.hosts[req.Host]; index != nil {
		search.searchIndex(index)
	}
	if len(t.wildcards) > 0 {
		search.searchWildcards()
	}
	search.searchIndex(&t.anyHost)
	if search.best == int32(len(t.routes)) {
		return -1
	}
	return int(search.best)
}

// search is the state of one call of Match, which looks for the first route whose conditions all hold.
type search struct {
	table *Table
	req   *Request
	best  int32 // lowest index of a matching route so far; len(table.routes) if there is none
}

// searchWildcards searches the routes of every wildcard host that matches the request's host.
func (s *search) searchWildcards() {
	for rest := s.req.Host; ; {
		dot := strings.IndexByte(rest, '.')
		if dot < 0 {
			return
		}
		rest = rest[dot+1:]
		if index := s.table.wildcards[rest]; index != nil && dot > 0 {
			s.searchIndex(index)
		}
	}
}

func (s *search) searchIndex(index *index) {
	s.matchFirst(index.exact[s.req.Path])
	s.matchFirst(index.other)
	if strings.HasPrefix(s.req.Path, "/") {
		s.searchNode(&index.trie, s.req.Path[1:], false)
	}
}

// searchNode searches the routes of node n, and of those nodes below n that match rest. rest is the part of the path
// after n. done reports whether the whole path has been consumed.
func (s *search) searchNode(n *node, rest string, done bool) {
	s.matchFirst(n.prefixes)
	if done {
		s.matchFirst(n.segments)
		return
	}
	segment, rest, more := strings.Cut(rest, "/")
	if next := n.children[segment]; next != nil {
		s.searchNode(next, rest, !more)
	}
	if n.parameter != nil && segment != "" {
		s.searchNode(n.parameter, rest, !more)
	}
}

// matchFirst finds the first of the listed routes whose remaining conditions hold. The host and the path of the
// listed routes already match, except for regular expressions.
func (s *search) matchFirst(indexes []int32) {
	for _, i := range indexes {
		if i >= s.best {
			return
		}
		if s.table.conditionsHold(int(i), s.req) {
			s.best = i
			return
		}
	}
}

// conditionsHold reports whether req meets those conditions of route i that the index does not check.
func (t *Table) conditionsHold(i int, req *Request) bool {
	route := &t.routes[i]
	if route.Listener != "" && route.Listener != req.Listener {
		return false
	}
	if len(route.Methods) > 0 && !slices.Contains(route.Methods, req.Method) {
		return false
	}
	for k := range route.Headers {
		if !route.Headers[k].matchesHeader(req.Header) {
			return false
		}
	}
	for k := range route.Query {
		if !route.Query[k].matchesQuery(req.Query) {
			return false
		}
	}
	if route.Fraction < 1 && !route.inFraction(req) {
		return false
	}
	return t.regexps[i] == nil || t.regexps[i].MatchString(req.Path)
}

// matchesHeader reports whether a condition holds for a request's headers. A header with several values matches no
// Value, because the server behind the router might use another of the values.
func (c *Condition) matchesHeader(header map[string][]string) bool {
	values, present := header[c.Name]
	switch {
	case c.Missing:
		return !present
	case c.Present:
		return present
	}
	return len(values) == 1 && values[0] == c.Value
}

// matchesQuery reports whether a condition holds for a query string. A parameter that occurs several times matches no
// Value, as with headers.
func (c *Condition) matchesQuery(query string) bool {
	count, equal := 0, false
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		name, value, _ := strings.Cut(pair, "=")
		if decodesTo(name, c.Name) {
			count++
			equal = decodesTo(value, c.Value)
		}
	}
	switch {
	case c.Missing:
		return count == 0
	case c.Present:
		return count > 0
	}
	return count == 1 && equal
}

// decodesTo reports whether a URL-encoded name or value decodes to want. It does not allocate.
func decodesTo(encoded, want string) bool {
	for encoded != "" {
		char := encoded[0]
		size := 1
		switch {
		case char == '+':
			char = ' '
		case char == '%' && len(encoded) >= 3 && isHex(encoded[1]) && isHex(encoded[2]):
			char, size = hexValue(encoded[1])<<4|hexValue(encoded[2]), 3
		}
		if want == "" || want[0] != char {
			return false
		}
		encoded, want = encoded[size:], want[1:]
	}
	return want == ""
}

// inFraction reports whether a request belongs to the fraction of requests that the route matches.
func (r *Route) inFraction(req *Request) bool {
	input := req.Tenant
	switch {
	case r.HashBy == HashByKey && req.Key != "":
		input = req.Key
	case r.HashBy == HashByID || input == "":
		input = req.ID
	}
	return hashFraction(r.HashSalt, input) < r.Fraction
}

// hashFraction hashes salt and input to a number in [0, 1). The number is the same on every node. The hash is FNV-1a
// with the finalizer of MurmurHash3.
func hashFraction(salt, input string) float64 {
	const (
		fnvOffset, fnvPrime = 14695981039346656037, 1099511628211
		mix1, mix2          = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
	)
	hash := uint64(fnvOffset)
	for _, text := range [...]string{salt, "\x00", input} {
		for i := 0; i < len(text); i++ {
			hash = (hash ^ uint64(text[i])) * fnvPrime
		}
	}
	hash = (hash ^ hash>>33) * mix1
	hash = (hash ^ hash>>33) * mix2
	return float64((hash^hash>>33)>>11) / (1 << 53)
}
