package routes

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// linearMatch is the reference implementation of Table.Match. It checks the routes one by one.
func linearMatch(all []Route, req *Request) int {
	return slices.IndexFunc(all, func(route Route) bool {
		return linearHostMatches(route.Host, req.Host) &&
			(route.Listener == "" || route.Listener == req.Listener) &&
			(len(route.Methods) == 0 || slices.Contains(route.Methods, req.Method)) &&
			linearPathMatches(&route, req.Path) &&
			linearConditionsHold(&route, req) &&
			linearInFraction(&route, req)
	})
}

func linearHostMatches(host, got string) bool {
	suffix, wildcard := strings.CutPrefix(host, "*")
	if wildcard {
		return strings.HasSuffix(got, suffix) && len(got) > len(suffix)
	}
	return host == "" || host == got
}

func linearPathMatches(route *Route, path string) bool {
	var pattern string
	switch {
	case route.Path != "":
		pattern = regexp.QuoteMeta(route.Path)
	case route.Prefix != "":
		pattern = regexp.QuoteMeta(strings.TrimSuffix(route.Prefix, "/")) + "(/.*)?"
	case route.Segments != "":
		pattern = regexp.MustCompile(`\\\{[^/]*\\\}`).ReplaceAllString(regexp.QuoteMeta(route.Segments), "[^/]+")
	default:
		if pattern = route.Regexp; pattern == "" {
			pattern = ".*"
		}
	}
	return regexp.MustCompile(`(?s)\A(?:` + pattern + `)\z`).MatchString(path)
}

func linearConditionsHold(route *Route, req *Request) bool {
	query, _ := url.ParseQuery(req.Query) // despite an error, the result contains the parameters that could be parsed
	return linearAllHold(route.Headers, req.Header) && linearAllHold(route.Query, query)
}

func linearAllHold(conditions []Condition, got map[string][]string) bool {
	for _, condition := range conditions {
		values, present := got[condition.Name]
		if condition.Missing == present {
			return false
		}
		if !condition.Missing && !condition.Present && (len(values) != 1 || values[0] != condition.Value) {
			return false
		}
	}
	return true
}

func linearInFraction(route *Route, req *Request) bool {
	input := req.Tenant
	if route.HashBy == HashByKey && req.Key != "" {
		input = req.Key
	}
	if route.HashBy == HashByID || input == "" {
		input = req.ID
	}
	return route.Fraction == 0 || route.Fraction == 1 || hashFraction(route.HashSalt, input) < route.Fraction
}

var (
	segments     = []string{"a", "b", "rooms", "x1"}
	hosts        = []string{"", "h.example", "*.example", "*.b.example", "b.example"}
	requestHosts = []string{"h.example", "b.example", "c.b.example", "example", "other"}
)

func randomPath(rng *rand.Rand, params bool) string {
	var path strings.Builder
	for n := range 1 + rng.IntN(3) {
		if params && rng.IntN(3) == 0 {
			fmt.Fprintf(&path, "/{p%d}", n)
		} else {
			path.WriteString("/" + segments[rng.IntN(len(segments))])
		}
	}
	return path.String()
}

func randomRoute(rng *rand.Rand, line int) Route {
	route := Route{Line: line, Class: fmt.Sprint("c", line), Host: hosts[rng.IntN(len(hosts))]}
	switch rng.IntN(6) {
	case 0, 1:
		route.Path = randomPath(rng, false)
	case 2:
		route.Prefix = randomPath(rng, false)
	case 3:
		route.Segments = randomPath(rng, true)
	case 4:
		route.Regexp = []string{"/a/.*", "/rooms/[a-z]+", ".*x1", "/(a|b)(/.*)?", "/a|/b/a"}[rng.IntN(5)]
	}
	if rng.IntN(3) == 0 {
		route.Methods = []string{"GET", "POST"}[rng.IntN(2):][:1]
	}
	if rng.IntN(3) == 0 {
		route.Headers = randomConditions(rng, "X-A", "X-B")
	}
	if rng.IntN(4) == 0 {
		route.Query = randomConditions(rng, "q", "p")
	}
	if rng.IntN(4) == 0 {
		route.Fraction = []float64{0.1, 0.5, 0.9}[rng.IntN(3)]
		route.HashBy = HashInput(rng.IntN(3))
		route.HashSalt = fmt.Sprint(rng.IntN(2))
	}
	return route
}

func randomConditions(rng *rand.Rand, names ...string) []Condition {
	condition := Condition{Name: names[rng.IntN(len(names))]}
	switch rng.IntN(3) {
	case 0:
		condition.Present = true
	case 1:
		condition.Missing = true
	default:
		condition.Value = []string{"1", "", "a b"}[rng.IntN(3)]
	}
	return []Condition{condition}
}

func randomRequest(rng *rand.Rand) *Request {
	req := &Request{
		Host:   requestHosts[rng.IntN(len(requestHosts))],
		Method: []string{"GET", "POST", "PUT"}[rng.IntN(3)],
		Path:   randomPath(rng, false),
		Query:  []string{"", "q=1", "q=a+b&p", "q=%31", "p=1&p=1", "q=a%20b", "q"}[rng.IntN(7)],
		Tenant: fmt.Sprint(rng.IntN(9)),
		ID:     fmt.Sprint(rng.IntN(99)),
	}
	if rng.IntN(2) == 0 {
		req.Key = fmt.Sprint(rng.IntN(9))
	}
	if rng.IntN(2) == 0 {
		req.Header = map[string][]string{"X-A": {[]string{"1", "", "a b"}[rng.IntN(3)]}}
		if rng.IntN(3) == 0 {
			req.Header["X-B"] = []string{"1", "1"}
		}
	}
	return req
}

// TestMatch_EqualsLinearSearch checks that a compiled table finds the same routes as a linear search. The environment
// variable REQUESTS sets the number of requests.
func TestMatch_EqualsLinearSearch(t *testing.T) {
	want := 20_000
	if n, err := strconv.Atoi(os.Getenv("REQUESTS")); err == nil {
		want = n
	}
	matched := 0
	for seed, n := uint64(0), 0; n < want; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		var all []Route
		for line := range 1 + rng.IntN(25) { // shadowed routes are left out
			if next := append(all, randomRoute(rng, line)); reachable(t, next) {
				all = next
			}
		}
		if len(all) == 0 {
			continue
		}
		table, err := New(all)
		if err != nil {
			t.Fatal(err)
		}
		for range 200 {
			n++
			req := randomRequest(rng)
			got, want := table.Match(req), linearMatch(all, req)
			if got != want {
				t.Fatalf("seed %d: request %+v matched route %d, want %d of %+v", seed, req, got, want, all)
			}
			if got >= 0 {
				matched++
			}
		}
	}
	if matched < want/10 {
		t.Errorf("only %d of %d requests were matched", matched, want)
	}
}

// reachable reports whether no route is shadowed by an earlier route. All routes must be valid.
func reachable(t *testing.T, all []Route) bool {
	t.Helper()
	_, err := New(all)
	var invalid *Error
	if errors.As(err, &invalid) && invalid.OtherIndex < 0 {
		t.Fatal(err)
	}
	return err == nil
}

// TestNew_UnreachableRoutes checks that no request matches a route that New rejects as unreachable.
func TestNew_UnreachableRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		all := []Route{randomRoute(rng, 1), randomRoute(rng, 2)}
		_, err := New(all)
		if err == nil {
			return
		}
		for range 300 {
			if req := randomRequest(rng); linearMatch(all, req) == 1 {
				t.Fatalf("%v, but request %+v reaches it", err, req)
			}
		}
	})
}

func TestNew_InvalidRoutes(t *testing.T) {
	for name, test := range map[string]struct {
		routes []Route
		want   string
	}{
		"class":     {[]Route{{Line: 3}}, "line 3: class: missing"},
		"two paths": {[]Route{{Line: 3, Class: "c", Path: "/a", Prefix: "/b"}}, "want one of path"},
		"dots":      {[]Route{{Line: 3, Class: "c", Path: "/a/../b"}}, `two ways: ".."`},
		"regexp":    {[]Route{{Line: 3, Class: "c", Regexp: "("}}, "regexp: missing closing )"},
		"braces":    {[]Route{{Line: 3, Class: "c", Segments: "/a{b}"}}, "want a name in braces"},
		"names":     {[]Route{{Line: 3, Class: "c", Segments: "/{b}/{b}"}}, "names that are unique"},
		"host":      {[]Route{{Line: 3, Class: "c", Host: "A:80"}}, "in lower case without a port"},
		"share":     {[]Route{{Line: 3, Class: "c", Fraction: 2}}, "want 0 to 1"},
		"covered": {[]Route{
			{Line: 3, Class: "c", Prefix: "/a"},
			{Line: 9, Class: "d", Path: "/a/b", Methods: []string{"GET"}},
		}, "line 9: unreachable: all its requests match the route of line 3"},
		"ambiguous": {[]Route{
			{Line: 3, Class: "c", Segments: "/a/{x}"},
			{Line: 9, Class: "d", Segments: "/a/{y}"},
		}, "line 9: same conditions, but another result, as the route of line 3"},
	} {
		if _, err := New(test.routes); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: %v, want %q", name, err, test.want)
		}
	}
}

func TestCheckPath(t *testing.T) {
	for _, bad := range []string{
		"", "a", "//a", "/a//b", "/.", "/a/..", "/a/./b", "/%2e%2E/a", "/.%2e", "/a%2Fb", "/a%5cb", `/a\b`,
		"/a%00", "/%252e", "/%", "/%zz", "/a?b", "/a b", "/\x7f", "/é",
	} {
		if CheckPath(bad) == nil {
			t.Errorf("%q: no error", bad)
		}
	}
	for _, good := range []string{"/", "/a/", "/a/b.c", "/...", "/a%20b", "/.well-known/x", "/%7euser"} {
		if err := CheckPath(good); err != nil {
			t.Errorf("%q: %v", good, err)
		}
	}
}

// TestMatch_Fraction checks that a route matches its fraction of the tenants. When the fraction grows, the route must
// still match the same tenants.
func TestMatch_Fraction(t *testing.T) {
	matchedTenants := func(fraction float64) (tenants map[string]bool) {
		tenants = make(map[string]bool)
		table, err := New([]Route{{Class: "new", Fraction: fraction}})
		if err != nil {
			t.Fatal(err)
		}
		for i := range 20000 {
			if tenant := fmt.Sprint("t", i); table.Match(&Request{Tenant: tenant}) == 0 {
				tenants[tenant] = true
			}
		}
		return tenants
	}
	before := matchedTenants(0.05)
	for _, fraction := range []float64{0.1, 0.25, 0.5, 0.9} {
		now := matchedTenants(fraction)
		if got := float64(len(now)) / 20000; got < fraction-0.015 || got > fraction+0.015 {
			t.Errorf("a fraction of %v matches %v of the tenants", fraction, got)
		}
		for tenant := range before {
			if !now[tenant] {
				t.Fatalf("tenant %s is no longer matched with a fraction of %v", tenant, fraction)
			}
		}
		before = now
	}
}

// largeTable returns a table of n routes on several hosts, and a request for each route.
func largeTable(tb testing.TB, n int) (*Table, []*Request) {
	tb.Helper()
	var all []Route
	var requests []*Request
	for i := range n {
		route := Route{Line: i, Class: "c", Host: fmt.Sprintf("h%d.example", i%7)}
		switch i % 4 {
		case 0:
			route.Path = fmt.Sprintf("/s%d/list", i)
		case 1:
			route.Segments = fmt.Sprintf("/s%d/rooms/{id}/book", i)
		case 2:
			route.Prefix = fmt.Sprintf("/s%d/api", i)
		default:
			route.Regexp = fmt.Sprintf("/s%d/v[0-9]+/.*", i)
		}
		all = append(all, route)
		requests = append(requests, &Request{
			Host: route.Host, Method: "GET", Tenant: "t", ID: "i",
			Path: fmt.Sprintf("/s%d/%s", i, []string{"list", "rooms/77/book", "api/x/y", "v2/z"}[i%4]),
		})
	}
	table, err := New(all)
	if err != nil {
		tb.Fatal(err)
	}
	return table, requests
}

func TestMatch_AllocatesNothing(t *testing.T) {
	table, requests := largeTable(t, 1000)
	allocs := testing.AllocsPerRun(1000, func() {
		if table.Match(requests[500]) != 500 || table.Match(requests[501]) != 501 || table.Match(requests[503]) != 503 {
			t.Fatal("matched by another route")
		}
	})
	if allocs > 0 {
		t.Errorf("%v allocations per call of three matches", allocs)
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, requests := largeTable(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if k := i * 7919 % n; table.Match(requests[k]) != k {
					b.Fatal("matched by another route")
				}
			}
		})
	}
}

func BenchmarkCompile(b *testing.B) {
	for b.Loop() {
		largeTable(b, 10000)
	}
}
