// Package routes turns a request into a class, a pool and a budget of time, by an ordered table: the first route
// whose conditions all hold decides. It does no I/O and reads no clock. A table is compiled once; matching a
// request allocates nothing, and costs little more in a table of ten thousand routes than in one of ten.
package routes

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Route is one line of the table. Conditions that are empty hold for every request.
type Route struct {
	Line int // of the configuration, for errors and explanations

	Listener string
	Host     string   // as in rooms.example, or *.example for all below; without a port
	Methods  []string // any of them
	// Of Path, Prefix, Segments and Regexp one at most is set. All are held against the path as it came, byte
	// for byte: nothing is decoded or cleaned.
	Path     string // the whole path
	Prefix   string // the path, or one below it: /a is /a and /a/b, but not /ab
	Segments string // as in /rooms/{id}/book: a name in braces stands for one segment that is not empty
	Regexp   string // RE2, of the whole path
	Headers  []Condition
	Query    []Condition
	// Fraction is the part of requests, 0 to 1, that the route takes by a hash of the tenant, the key or the id, so
	// that one client stays on one side; 0 counts as 1. Salt keeps the shares of different routes apart, where
	// they are to be.
	Fraction float64
	HashBy   HashInput
	HashSalt string

	Class   string
	Pool    string
	Timeout time.Duration // that the request may take; 0: its class's own
}

// HashInput says what a share goes by.
type HashInput uint8

// What shares go by.
const (
	HashByTenant HashInput = iota
	HashByKey
	HashByID
)

// Condition is a condition on a header or a parameter of the query: that it is there, and what it is.
type Condition struct {
	Name    string
	Value   string // its value, where Any is false
	Present bool   // it need only be there
	Missing bool   // it must not be there
}

// Request is what is looked at of a request. It is only read.
type Request struct {
	Listener string
	Host     string // without a port, in lower case
	Method   string
	Path     string // as it came, without the query
	Query    string // as it came, without the question mark
	Header   map[string][]string
	Tenant   string
	Key      string
	ID       string
}

// Table is a compiled table. It is only read, and may be used by many goroutines.
type Table struct {
	routes  []Route
	regexps []*regexp.Regexp
	hosts   map[string]*index // by exact host
	below   map[string]*index // by what stands behind *.
	any     index
}

// index holds routes by their paths.
type index struct {
	exact map[string][]int32
	trie  node
	other []int32 // any path, and regular expressions without a literal beginning
}

// node is one segment of paths.
type node struct {
	next  map[string]*node
	param *node
	ends  []int32 // patterns that end here
	under []int32 // prefixes that end here
}

// Error names the route to blame, and the other one where there are two.
type Error struct {
	RouteIndex, OtherIndex int // numbers; Other is -1 where there is none
	Line, OtherLine        int // lines of the configuration
	Problem                string
}

func (e *Error) Error() string {
	if e.OtherIndex < 0 {
		return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
	}
	return fmt.Sprintf("line %d: %s line %d", e.Line, e.Problem, e.OtherLine)
}

// New compiles a table. Errors are *Error: a route that makes no sense, one that no request can reach since an
// earlier one takes all that it would, and two with the same conditions and different ends.
func New(all []Route) (*Table, error) {
	t := &Table{routes: slices.Clone(all), regexps: make([]*regexp.Regexp, len(all)), hosts: make(map[string]*index), below: make(map[string]*index)}
	for i := range t.routes {
		if err := t.add(i); err != nil {
			return nil, &Error{RouteIndex: i, OtherIndex: -1, Line: all[i].Line, Problem: err.Error()}
		}
	}
	if err := t.unreachable(); err != nil {
		return nil, err
	}
	return t, nil
}

// add checks a route and puts it into the index.
func (t *Table) add(i int) error {
	r := &t.routes[i]
	set := 0
	for _, p := range []struct{ key, v string }{{"path", r.Path}, {"prefix", r.Prefix}, {"segments", r.Segments}, {"regexp", r.Regexp}} {
		if p.v == "" {
			continue
		}
		if set++; set > 1 {
			return errors.New("want one of path, prefix, segments and regexp, got several")
		}
		if p.key != "regexp" {
			if err := CheckPath(p.v); err != nil {
				return fmt.Errorf("%s: %w", p.key, err)
			}
		}
	}
	switch {
	case r.Class == "":
		return errors.New("class: missing")
	case strings.ContainsAny(r.Prefix, "{}"):
		return fmt.Errorf("prefix: want no braces (segments has them), got %q", r.Prefix)
	case r.Fraction < 0 || r.Fraction > 1:
		return fmt.Errorf("share: want 0 to 1, got %v", r.Fraction)
	case r.Host != strings.ToLower(r.Host) || strings.ContainsAny(r.Host, " :/") || strings.Contains(strings.TrimPrefix(r.Host, "*."), "*"):
		return fmt.Errorf("host: want a name in lower case without a port, or *.name, got %q", r.Host)
	}
	for _, f := range slices.Concat(r.Headers, r.Query) {
		if f.Name == "" || f.Present && f.Missing || f.Value != "" && (f.Present || f.Missing) {
			return fmt.Errorf("the condition on %q makes no sense", f.Name)
		}
	}
	if r.Fraction == 0 {
		r.Fraction = 1
	}
	if r.Prefix != "" && r.Prefix != "/" {
		r.Prefix = strings.TrimSuffix(r.Prefix, "/")
	}
	x := &t.any
	switch below, wild := strings.CutPrefix(r.Host, "*."); {
	case wild:
		x = at(t.below, below)
	case r.Host != "":
		x = at(t.hosts, r.Host)
	}
	n := int32(i)
	switch {
	case r.Path != "":
		if x.exact == nil {
			x.exact = make(map[string][]int32)
		}
		x.exact[r.Path] = append(x.exact[r.Path], n)
	case r.Prefix == "/":
		x.trie.under = append(x.trie.under, n)
	case r.Prefix != "":
		e := x.trie.walk(r.Prefix)
		e.under = append(e.under, n)
	case r.Segments != "":
		if err := checkSegments(r.Segments); err != nil {
			return err
		}
		e := x.trie.walk(r.Segments)
		e.ends = append(e.ends, n)
	case r.Regexp != "":
		re, err := regexp.Compile(`\A(?:` + r.Regexp + `)\z`)
		if err != nil {
			return fmt.Errorf("regexp: %s", strings.TrimPrefix(err.Error(), "error parsing regexp: "))
		}
		t.regexps[i] = re
		x.other = append(x.other, n)
		// What begins with whole segments is found by them.
		plain, err := regexp.Compile(r.Regexp)
		if err != nil {
			return fmt.Errorf("regexp: %w", err)
		}
		literal, _ := plain.LiteralPrefix()
		if cut := strings.LastIndexByte(literal, '/'); cut > 0 && literal[0] == '/' {
			x.other = x.other[:len(x.other)-1]
			e := x.trie.walk(literal[:cut])
			e.under = append(e.under, n)
		}
	default:
		x.other = append(x.other, n)
	}
	return nil
}

func at(m map[string]*index, key string) *index {
	if m[key] == nil {
		m[key] = &index{}
	}
	return m[key]
}

// walk makes the way to a path's node.
func (n *node) walk(path string) *node {
	for _, seg := range strings.Split(path[1:], "/") {
		if seg != "" && seg[0] == '{' {
			if n.param == nil {
				n.param = &node{}
			}
			n = n.param
			continue
		}
		if n.next == nil {
			n.next = make(map[string]*node)
		}
		if n.next[seg] == nil {
			n.next[seg] = &node{}
		}
		n = n.next[seg]
	}
	return n
}

func checkSegments(path string) error {
	names := make(map[string]bool)
	for _, seg := range strings.Split(path[1:], "/") {
		name, param := strings.CutPrefix(seg, "{")
		if param {
			name, param = strings.CutSuffix(name, "}")
		}
		switch {
		case !param && strings.ContainsAny(seg, "{}"):
			return fmt.Errorf("segments: want a name in braces, or no braces, got %q", seg)
		case param && (name == "" || strings.ContainsAny(name, "{}") || names[name]):
			return fmt.Errorf("segments: want names that are not empty and there once, got %q", seg)
		}
		names[name] = names[name] || param
	}
	return nil
}

// ErrAmbiguousPath says that a path can be read in two ways: by one server as it stands, by another cleaned or decoded.
var ErrAmbiguousPath = errors.New("the path can be read in two ways")

// CheckPath refuses paths that others may read otherwise than this table does: empty segments, dot segments
// also where they are encoded, encoded slashes and backslashes, bytes that have no place in a path. What passes
// is matched, and sent on, as it is.
func CheckPath(path string) error {
	if path == "" || path[0] != '/' {
		return fmt.Errorf("want a path from /, got %q", path)
	}
	for i := 0; i < len(path); i++ {
		switch c := path[i]; {
		case c <= ' ' || c >= 0x7f || c == '\\' || c == '?' || c == '#':
			return fmt.Errorf("%w: byte %q", ErrAmbiguousPath, c)
		case c == '%':
			if i+2 >= len(path) || !hex(path[i+1]) || !hex(path[i+2]) {
				return fmt.Errorf("%w: a %% without two digits", ErrAmbiguousPath)
			}
			switch strings.ToLower(path[i+1 : i+3]) {
			case "2f", "5c", "00", "25":
				return fmt.Errorf("%w: %s", ErrAmbiguousPath, path[i:i+3])
			}
		case c == '/' && i+1 < len(path) && path[i+1] == '/':
			return fmt.Errorf("%w: //", ErrAmbiguousPath)
		}
	}
	for rest, more := path[1:], true; more; {
		var seg string
		seg, rest, more = strings.Cut(rest, "/")
		if dots(seg) {
			return fmt.Errorf("%w: %q", ErrAmbiguousPath, seg)
		}
	}
	return nil
}

// dots tells whether a segment is . or .., in any coding.
func dots(seg string) bool {
	n := 0
	for seg != "" {
		switch {
		case seg[0] == '.':
			seg = seg[1:]
		case len(seg) >= 3 && (seg[:3] == "%2e" || seg[:3] == "%2E"):
			seg = seg[3:]
		default:
			return false
		}
		n++
	}
	return n == 1 || n == 2
}

func hex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// Match is the number of the route that takes a request; -1 where none does.
func (t *Table) Match(r *Request) int {
	m := match{t: t, r: r, best: int32(len(t.routes))}
	if x := t.hosts[r.Host]; x != nil {
		m.in(x)
	}
	if len(t.below) > 0 {
		for rest := r.Host; ; {
			i := strings.IndexByte(rest, '.')
			if i < 0 {
				break
			}
			rest = rest[i+1:]
			if x := t.below[rest]; x != nil && i > 0 {
				m.in(x)
			}
		}
	}
	m.in(&t.any)
	if m.best == int32(len(t.routes)) {
		return -1
	}
	return int(m.best)
}

// Route is a route of the table by its number.
func (t *Table) Route(n int) *Route { return &t.routes[n] }

// Len is the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// match is a search for the first route.
type match struct {
	t    *Table
	r    *Request
	best int32
}

func (m *match) in(x *index) {
	m.try(x.exact[m.r.Path])
	m.try(x.other)
	if len(m.r.Path) > 0 && m.r.Path[0] == '/' {
		m.down(&x.trie, m.r.Path[1:], false)
	}
}

// down goes through the trie, by all ways that the path fits. done says that nothing of the path is left.
func (m *match) down(n *node, rest string, done bool) {
	m.try(n.under)
	if done {
		m.try(n.ends)
		return
	}
	seg, more, last := rest, "", true
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		seg, more, last = rest[:i], rest[i+1:], false
	}
	if next := n.next[seg]; next != nil {
		m.down(next, more, last)
	}
	if n.param != nil && seg != "" {
		m.down(n.param, more, last)
	}
}

// try looks at routes whose paths fit, or may where they are regular expressions.
func (m *match) try(routes []int32) {
	for _, i := range routes {
		if i >= m.best {
			return
		}
		if m.t.holds(int(i), m.r) {
			m.best = i
			return
		}
	}
}

// holds tells whether the conditions of a route beside host and path hold, and the regular expression.
func (t *Table) holds(i int, q *Request) bool {
	r := &t.routes[i]
	if r.Listener != "" && r.Listener != q.Listener || len(r.Methods) > 0 && !slices.Contains(r.Methods, q.Method) {
		return false
	}
	for k := range r.Headers {
		if !r.Headers[k].header(q.Header) {
			return false
		}
	}
	for k := range r.Query {
		if !r.Query[k].query(q.Query) {
			return false
		}
	}
	if r.Fraction < 1 && !r.takes(q) {
		return false
	}
	return t.regexps[i] == nil || t.regexps[i].MatchString(q.Path)
}

// header holds a condition against all values of a header.
func (f *Condition) header(h map[string][]string) bool {
	values, there := h[f.Name]
	switch {
	case f.Missing:
		return !there
	case f.Present:
		return there
	}
	return len(values) == 1 && values[0] == f.Value // of two, another server may take the other
}

// query holds a condition against the query as it came.
func (f *Condition) query(raw string) bool {
	n, is := 0, false
	for raw != "" {
		var pair string
		pair, raw, _ = strings.Cut(raw, "&")
		name, value, _ := strings.Cut(pair, "=")
		if decodedIs(name, f.Name) {
			n++
			is = decodedIs(value, f.Value)
		}
	}
	switch {
	case f.Missing:
		return n == 0
	case f.Present:
		return n > 0
	}
	return n == 1 && is
}

// decodedIs tells whether a part of a query means want.
func decodedIs(raw, want string) bool {
	for raw != "" {
		c := raw[0]
		step := 1
		switch {
		case c == '+':
			c = ' '
		case c == '%' && len(raw) >= 3 && hex(raw[1]) && hex(raw[2]):
			c, step = unhex(raw[1])<<4|unhex(raw[2]), 3
		}
		if want == "" || want[0] != c {
			return false
		}
		raw, want = raw[step:], want[1:]
	}
	return want == ""
}

func unhex(c byte) byte {
	switch {
	case c <= '9':
		return c - '0'
	case c <= 'F':
		return c - 'A' + 10
	}
	return c - 'a' + 10
}

// takes tells whether a request is in the route's share.
func (r *Route) takes(q *Request) bool {
	by := q.Tenant
	switch {
	case r.HashBy == HashByKey && q.Key != "":
		by = q.Key
	case r.HashBy == HashByID || by == "":
		by = q.ID
	}
	return part(r.HashSalt, by) < r.Fraction
}

// part is a number from 0 to below 1, the same for the same texts at every node (FNV-1a, mixed).
func part(salt, text string) float64 {
	h := uint64(14695981039346656037)
	for _, s := range [...]string{salt, "\x00", text} {
		for i := 0; i < len(s); i++ {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return float64((h^h>>33)>>11) / (1 << 53)
}
