package routes

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Table is a compiled table of routes. It is immutable and safe for concurrent use.
type Table struct {
	routes    []Route
	regexps   []*regexp.Regexp  // compiled Regexp of each route, by index; nil: the route has no Regexp
	hosts     map[string]*index // index for each exact host
	wildcards map[string]*index // index for each wildcard host, by the part after "*."
	anyHost   index
}

// index finds the routes that may match a path. Each list contains indexes of routes in ascending order.
type index struct {
	exact map[string][]int32
	trie  node
	other []int32 // routes without a path condition, and those whose Regexp has no literal prefix of whole segments
}

// node is a node of a trie. The edges of the trie are path segments.
type node struct {
	children  map[string]*node
	parameter *node   // child for any segment that is not empty
	segments  []int32 // routes whose Segments end here
	prefixes  []int32 // routes whose Prefix, or whose Regexp's literal prefix, ends here
}

// New compiles a table. It returns an *Error for an invalid route and for two routes with the same conditions but
// different results. It also returns an *Error for a route that no request can reach because an earlier route matches
// all its requests.
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

// Route returns the route with index n, as returned by Match.
func (t *Table) Route(n int) *Route { return &t.routes[n] }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// add validates and normalizes route number i, and adds the route to the index of the route's host.
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

// hostIndex returns the index of a host. It creates a missing index.
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

// addPath adds route number i to index, in the list for the route's path condition.
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

// addRegexp compiles a route's regular expression. If the expression begins with whole literal segments, the route is
// added to the node of these segments. Only paths below this node are then matched against the expression.
func (t *Table) addRegexp(index *index, text string, number int32) error {
	anchored, err := regexp.Compile(`\A(?:` + text + `)\z`)
	if err != nil {
		return fmt.Errorf("regexp: %s", strings.TrimPrefix(err.Error(), "error parsing regexp: "))
	}
	t.regexps[number] = anchored
	plain, err := regexp.Compile(text) // LiteralPrefix returns nothing for an anchored expression
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

// descend returns the node of a path. It creates missing nodes on the way.
func (n *node) descend(path string) *node {
	for _, segment := range strings.Split(path[1:], "/") {
		if strings.HasPrefix(segment, "{") {
			if n.parameter == nil {
				n.parameter = &node{}
			}
			n = n.parameter
			continue
		}
		if n.children == nil {
			n.children = make(map[string]*node)
		}
		if n.children[segment] == nil {
			n.children[segment] = &node{}
		}
		n = n.children[segment]
	}
	return n
}
