package routes

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Table is a compiled table of routes. It is immutable, and safe for concurrent use.
type Table struct {
	routes    []Route
	regexps   []*regexp.Regexp  // by index of the route; nil for routes without one
	hosts     map[string]*index // by exact host
	wildcards map[string]*index // by the part of the host after *.
	anyHost   index
}

// index finds the routes for a path. Each list is in ascending order.
type index struct {
	exact map[string][]int32
	trie  node
	other []int32 // routes for any path, and regular expressions without a literal prefix of whole segments
}

// node is a segment of paths in a trie.
type node struct {
	next     map[string]*node
	param    *node   // any segment that is not empty
	segments []int32 // routes whose Segments end here
	prefixes []int32 // routes whose Prefix, or literal prefix, ends here
}

// New compiles a table. Errors are of type *Error: an invalid route, a route that no request can reach because of an
// earlier one, or two with the same conditions and different results.
func New(all []Route) (*Table, error) {
	table := &Table{
		routes:    slices.Clone(all),
		regexps:   make([]*regexp.Regexp, len(all)),
		hosts:     make(map[string]*index),
		wildcards: make(map[string]*index),
	}
	for i := range table.routes {
		if err := table.add(i); err != nil {
			return nil, &Error{RouteIndex: i, OtherIndex: -1, Line: all[i].Line, Problem: err.Error()}
		}
	}
	if err := table.checkShadowed(); err != nil {
		return nil, err
	}
	return table, nil
}

// Route returns a route by its index.
func (t *Table) Route(n int) *Route { return &t.routes[n] }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// add checks and normalizes a route, and adds it to the index of its host.
func (t *Table) add(i int) error {
	route := &t.routes[i]
	if err := route.check(); err != nil {
		return err
	}
	if route.Fraction == 0 {
		route.Fraction = 1
	}
	if route.Prefix != "" && route.Prefix != "/" {
		route.Prefix = strings.TrimSuffix(route.Prefix, "/")
	}
	return t.addPath(t.hostIndex(route.Host), route, i)
}

// hostIndex returns the index of a host, and creates it if there is none.
func (t *Table) hostIndex(host string) *index {
	if host == "" {
		return &t.anyHost
	}
	byName := t.hosts
	name, wildcard := strings.CutPrefix(host, "*.")
	if wildcard {
		byName = t.wildcards
	}
	if byName[name] == nil {
		byName[name] = &index{}
	}
	return byName[name]
}

// addPath adds a route to an index by its path condition.
func (t *Table) addPath(index *index, route *Route, i int) error {
	number := int32(i)
	switch {
	case route.Path != "":
		if index.exact == nil {
			index.exact = make(map[string][]int32)
		}
		index.exact[route.Path] = append(index.exact[route.Path], number)
	case route.Prefix == "/":
		index.trie.prefixes = append(index.trie.prefixes, number)
	case route.Prefix != "":
		index.trie.addPrefix(route.Prefix, number)
	case route.Segments != "":
		if err := checkSegments(route.Segments); err != nil {
			return err
		}
		end := index.trie.descend(route.Segments)
		end.segments = append(end.segments, number)
	case route.Regexp != "":
		return t.addRegexp(index, route.Regexp, number)
	default:
		index.other = append(index.other, number)
	}
	return nil
}

// addRegexp compiles a regular expression. If it begins with literal whole segments, these select it.
func (t *Table) addRegexp(index *index, text string, number int32) error {
	anchored, err := regexp.Compile(`\A(?:` + text + `)\z`)
	if err != nil {
		return fmt.Errorf("regexp: %s", strings.TrimPrefix(err.Error(), "error parsing regexp: "))
	}
	t.regexps[number] = anchored
	plain, err := regexp.Compile(text) // an anchored expression has no LiteralPrefix
	if err != nil {
		return fmt.Errorf("regexp: %w", err)
	}
	literal, _ := plain.LiteralPrefix()
	if end := strings.LastIndexByte(literal, '/'); end > 0 && literal[0] == '/' {
		index.trie.addPrefix(literal[:end], number)
		return nil
	}
	index.other = append(index.other, number)
	return nil
}

func (n *node) addPrefix(path string, number int32) {
	end := n.descend(path)
	end.prefixes = append(end.prefixes, number)
}

// descend returns the node of a path, and creates the nodes on the way to it.
func (n *node) descend(path string) *node {
	for _, segment := range strings.Split(path[1:], "/") {
		if strings.HasPrefix(segment, "{") {
			if n.param == nil {
				n.param = &node{}
			}
			n = n.param
			continue
		}
		if n.next == nil {
			n.next = make(map[string]*node)
		}
		if n.next[segment] == nil {
			n.next[segment] = &node{}
		}
		n = n.next[segment]
	}
	return n
}
