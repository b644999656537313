// Package routes assigns requests a class, a pool and a timeout, by an ordered table: the first route decides of
// which all conditions hold. It does no I/O and reads no clock. A table is compiled once; matching a request
// allocates nothing, and its cost hardly grows with the number of routes.
package routes

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Route is one entry of a table. Empty conditions hold for every request.
type Route struct {
	Line int // in the configuration, for errors and explanations

	Listener string
	Host     string   // rooms.example, or *.example for all names below; without a port
	Methods  []string // any of them
	// At most one of Path, Prefix, Segments and Regexp is set. They are compared to the path as it was received, byte for
	// byte, without decoding or cleaning.
	Path     string // the whole path
	Prefix   string // the path or one below it: /a matches /a and /a/b, not /ab
	Segments string // /rooms/{id}/book: a name in braces stands for one segment that is not empty
	Regexp   string // RE2, of the whole path
	Headers  []Condition
	Query    []Condition
	// Fraction is the part of requests, 0 to 1, that the route takes, by a hash of the tenant, the key or the ID, so that
	// a client always gets the same route; 0 counts as 1. Routes with different HashSalt take independent fractions.
	Fraction float64
	HashBy   HashInput
	HashSalt string

	Class   string
	Pool    string
	Timeout time.Duration // of the request; 0: that of its class
}

// HashInput is the attribute of a request by which Route.Fraction selects it.
type HashInput uint8

// The hash inputs. The tenant replaces a missing key, and the ID a missing tenant.
const (
	HashByTenant HashInput = iota
	HashByKey
	HashByID
)

// Condition is a condition on a header or a query parameter.
type Condition struct {
	Name    string
	Value   string // want this value, if neither Present nor Missing is set
	Present bool   // want any value
	Missing bool   // want none
}

// Request holds what a Table reads of a request.
type Request struct {
	Listener string
	Host     string // without a port, in lower case
	Method   string
	Path     string // as received, without the query
	Query    string // as received, without the question mark
	Header   map[string][]string
	Tenant   string
	Key      string
	ID       string
}

// Error says what is wrong with a route, and with which other one it conflicts.
type Error struct {
	RouteIndex, OtherIndex int // OtherIndex is -1 if there is no conflict
	Line, OtherLine        int // in the configuration
	Problem                string
}

// Error implements error.
func (e *Error) Error() string {
	if e.OtherIndex < 0 {
		return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
	}
	return fmt.Sprintf("line %d: %s line %d", e.Line, e.Problem, e.OtherLine)
}

// check returns what is wrong with a route on its own, except for its patterns.
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
				return fmt.Errorf("the condition on %q makes no sense", condition.Name)
			}
		}
	}
	return nil
}

// checkPaths checks that at most one path condition is set, and that it is unambiguous unless it is a regular
// expression.
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
