// Package routes matches requests against an ordered table of routes. The first route whose conditions all hold
// determines the request's class, pool and timeout. The package does no I/O and reads no clock. A table is compiled
// once. Matching a request allocates nothing, and the cost hardly grows with the number of routes.
package routes

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Route is one entry of a table. A condition that is not set holds for every request.
type Route struct {
	Line int // line in the configuration, for error messages and explanations

	Listener string
	Host     string   // exact, as in rooms.example, or *.example for all subdomains; without a port
	Methods  []string // allowed methods; empty: all
	// At most one of Path, Prefix, Segments and Regexp is set. The path is compared byte by byte as received, neither
	// decoded nor cleaned.
	Path     string // whole path
	Prefix   string // whole segments: /a matches /a and /a/b, but not /ab
	Segments string // for example /rooms/{id}/book; a name in braces matches one segment that is not empty
	Regexp   string // RE2 syntax; matches the whole path
	Headers  []Condition
	Query    []Condition
	// Fraction is the fraction of requests, from 0 to 1, that the route matches. 0 means 1. A hash of the tenant, the
	// key or the ID selects the requests. A client therefore always gets the same route. Routes with different values
	// of HashSalt select requests independently.
	Fraction float64
	HashBy   HashInput
	HashSalt string

	Class   string
	Pool    string
	Timeout time.Duration // timeout of the request; 0: the deadline of its class
}

// HashInput is the attribute of a request that is hashed for Route.Fraction.
type HashInput uint8

// The hash inputs. A request without a key is hashed by its tenant. A request without a tenant is hashed by its ID.
const (
	HashByTenant HashInput = iota
	HashByKey
	HashByID
)

// Condition is a condition on a header or a query parameter.
type Condition struct {
	Name    string
	Value   string // required value if neither Present nor Missing is set
	Present bool   // whether any value is accepted
	Missing bool   // whether the header or parameter must be absent
}

// Request contains the attributes of a request that routes match.
type Request struct {
	Listener string
	Host     string // without a port, in lower case
	Method   string
	Path     string // path as received, without the query
	Query    string // query as received, without the question mark
	Header   map[string][]string
	Tenant   string
	Key      string
	ID       string
}

// Error describes an invalid route or two routes that conflict.
type Error struct {
	RouteIndex, OtherIndex int // OtherIndex is -1 without a conflict
	Line, OtherLine        int // lines of the two routes in the configuration
	Problem                string
}

// Error returns the problem and the lines of the routes.
func (e *Error) Error() string {
	if e.OtherIndex < 0 {
		return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
	}
	return fmt.Sprintf("line %d: %s line %d", e.Line, e.Problem, e.OtherLine)
}

// check validates a route without regard to other routes. The syntax of Segments and Regexp is checked later, when
// the route is added to an index.
func (r *Route) check() error {
	if err := r.checkPaths(); err != nil {
		return err
	}
	switch {
	case r.Class == "":
		return errors.New("class: missing")
	case strings.ContainsAny(r.Prefix, "{}"):
		return fmt.Errorf("prefix: want no braces (segments has them), got %q", r.Prefix)
	case r.Fraction < 0 || r.Fraction > 1:
		return fmt.Errorf("share: want 0 to 1, got %v", r.Fraction)
	case !validHost(r.Host):
		return fmt.Errorf("host: want a name in lower case without a port, or *.name, got %q", r.Host)
	}
	for _, conditions := range [...][]Condition{r.Headers, r.Query} {
		for _, condition := range conditions {
			if !condition.valid() {
				return fmt.Errorf("contradictory condition on %q", condition.Name)
			}
		}
	}
	return nil
}

// checkPaths checks that at most one path condition is set. CheckPath must accept the condition, unless it is a
// regular expression.
func (r *Route) checkPaths() error {
	count := 0
	for _, condition := range [...]struct{ key, value string }{
		{"path", r.Path}, {"prefix", r.Prefix}, {"segments", r.Segments}, {"regexp", r.Regexp},
	} {
		if condition.value == "" {
			continue
		}
		if count++; count > 1 {
			return errors.New("want one of path, prefix, segments and regexp, got several")
		}
		if condition.key == "regexp" {
			continue
		}
		if err := CheckPath(condition.value); err != nil {
			return fmt.Errorf("%s: %w", condition.key, err)
		}
	}
	return nil
}

func validHost(host string) bool {
	return host == strings.ToLower(host) && !strings.ContainsAny(host, " :/") &&
		!strings.Contains(strings.TrimPrefix(host, "*."), "*")
}

func (c *Condition) valid() bool {
	if c.Name == "" || c.Present && c.Missing {
		return false
	}
	return c.Value == "" || !c.Present && !c.Missing
}
