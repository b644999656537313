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

// plain matches as the page says, one route after the other.
func plain(all []Route, q *Request) int {
	return slices.IndexFunc(all, func(r Route) bool {
		switch below, wild := strings.CutPrefix(r.Host, "*"); {
		case wild && (!strings.HasSuffix(q.Host, below) || len(q.Host) <= len(below)), !wild && r.Host != "" && r.Host != q.Host:
			return false
		}
		if r.Listener != "" && r.Listener != q.Listener || len(r.Methods) > 0 && !slices.Contains(r.Methods, q.Method) {
			return false
		}
		var pattern string
		switch {
		case r.Path != "":
			pattern = regexp.QuoteMeta(r.Path)
		case r.Prefix != "":
			pattern = regexp.QuoteMeta(strings.TrimSuffix(r.Prefix, "/")) + "(/.*)?"
		case r.Segments != "":
			pattern = regexp.MustCompile(`\\\{[^/]*\\\}`).ReplaceAllString(regexp.QuoteMeta(r.Segments), "[^/]+")
		default:
			if pattern = r.Regexp; pattern == "" {
				pattern = ".*"
			}
		}
		if !regexp.MustCompile(`(?s)\A(?:` + pattern + `)\z`).MatchString(q.Path) {
			return false
		}
		for _, f := range r.Headers {
			v, there := q.Header[f.Name]
			if f.Missing == there || !f.Missing && !f.Present && (len(v) != 1 || v[0] != f.Value) {
				return false
			}
		}
		values, _ := url.ParseQuery(q.Query)
		for _, f := range r.Query {
			v, there := values[f.Name]
			if f.Missing == there || !f.Missing && !f.Present && (len(v) != 1 || v[0] != f.Value) {
				return false
			}
		}
		by := q.Tenant
		if r.HashBy == HashByKey && q.Key != "" {
			by = q.Key
		}
		if r.HashBy == HashByID || by == "" {
			by = q.ID
		}
		return r.Fraction == 0 || r.Fraction == 1 || part(r.HashSalt, by) < r.Fraction
	})
}

var (
	segs    = []string{"a", "b", "rooms", "x1"}
	hosts   = []string{"", "h.example", "*.example", "*.b.example", "b.example"}
	askedOf = []string{"h.example", "b.example", "c.b.example", "example", "other"}
)

func drawPath(rng *rand.Rand, params bool) string {
	var path strings.Builder
	for n := range 1 + rng.IntN(3) {
		if params && rng.IntN(3) == 0 {
			fmt.Fprintf(&path, "/{p%d}", n)
		} else {
			path.WriteString("/" + segs[rng.IntN(len(segs))])
		}
	}
	return path.String()
}

func drawRoute(rng *rand.Rand, line int) Route {
	r := Route{Line: line, Class: fmt.Sprint("c", line), Host: hosts[rng.IntN(len(hosts))]}
	switch rng.IntN(6) {
	case 0, 1:
		r.Path = drawPath(rng, false)
	case 2:
		r.Prefix = drawPath(rng, false)
	case 3:
		r.Segments = drawPath(rng, true)
	case 4:
		r.Regexp = []string{"/a/.*", "/rooms/[a-z]+", ".*x1", "/(a|b)(/.*)?", "/a|/b/a"}[rng.IntN(5)]
	}
	if rng.IntN(3) == 0 {
		r.Methods = []string{"GET", "POST"}[rng.IntN(2):][:1]
	}
	field := func(names ...string) []Condition {
		f := Condition{Name: names[rng.IntN(len(names))]}
		switch rng.IntN(3) {
		case 0:
			f.Present = true
		case 1:
			f.Missing = true
		default:
			f.Value = []string{"1", "", "a b"}[rng.IntN(3)]
		}
		return []Condition{f}
	}
	if rng.IntN(3) == 0 {
		r.Headers = field("X-A", "X-B")
	}
	if rng.IntN(4) == 0 {
		r.Query = field("q", "p")
	}
	if rng.IntN(4) == 0 {
		r.Fraction, r.HashBy, r.HashSalt = []float64{0.1, 0.5, 0.9}[rng.IntN(3)], HashInput(rng.IntN(3)), fmt.Sprint(rng.IntN(2))
	}
	return r
}

func drawRequest(rng *rand.Rand) *Request {
	q := &Request{
		Host: askedOf[rng.IntN(len(askedOf))], Method: []string{"GET", "POST", "PUT"}[rng.IntN(3)], Path: drawPath(rng, false),
		Query: []string{"", "q=1", "q=a+b&p", "q=%31", "p=1&p=1", "q=a%20b", "q"}[rng.IntN(7)], Tenant: fmt.Sprint(rng.IntN(9)), ID: fmt.Sprint(rng.IntN(99)),
	}
	if rng.IntN(2) == 0 {
		q.Key = fmt.Sprint(rng.IntN(9))
	}
	if rng.IntN(2) == 0 {
		q.Header = map[string][]string{"X-A": {[]string{"1", "", "a b"}[rng.IntN(3)]}}
		if rng.IntN(3) == 0 {
			q.Header["X-B"] = []string{"1", "1"}
		}
	}
	return q
}

// A compiled table chooses what going through the routes one by one does. REQUESTS=1000000 for the long form.
func TestMatchesLikeThePlainOne(t *testing.T) {
	want := 20_000
	if n, err := strconv.Atoi(os.Getenv("REQUESTS")); err == nil {
		want = n
	}
	taken := 0
	for seed, n := uint64(0), 0; n < want; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		var all []Route
		for line := range 1 + rng.IntN(25) { // what can't be reached is left out
			if next := append(all, drawRoute(rng, line)); reachable(t, next) {
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
			q := drawRequest(rng)
			got, want := table.Match(q), plain(all, q)
			if got != want {
				t.Fatalf("seed %d: %+v is taken by %d, want %d of %+v", seed, q, got, want, all)
			}
			if got >= 0 {
				taken++
			}
		}
	}
	if taken < want/10 {
		t.Errorf("only %d of %d requests were taken by a route", taken, want)
	}
}

func reachable(t *testing.T, all []Route) bool {
	_, err := New(all)
	if e := (*Error)(nil); errors.As(err, &e) && e.OtherIndex < 0 {
		t.Fatal(err)
	}
	return err == nil
}

// What New calls unreachable no request reaches.
func TestUnreachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		all := []Route{drawRoute(rng, 1), drawRoute(rng, 2)}
		_, err := New(all)
		if err == nil {
			return
		}
		for range 300 {
			if q := drawRequest(rng); plain(all, q) == 1 {
				t.Fatalf("%v, but %+v reaches it", err, q)
			}
		}
	})
}

func TestErrors(t *testing.T) {
	for name, c := range map[string]struct {
		routes []Route
		says   string
	}{
		"class":     {[]Route{{Line: 3}}, "line 3: class: missing"},
		"two paths": {[]Route{{Line: 3, Class: "c", Path: "/a", Prefix: "/b"}}, "want one of path"},
		"dots":      {[]Route{{Line: 3, Class: "c", Path: "/a/../b"}}, `two ways: ".."`},
		"regexp":    {[]Route{{Line: 3, Class: "c", Regexp: "("}}, "regexp: missing closing )"},
		"braces":    {[]Route{{Line: 3, Class: "c", Segments: "/a{b}"}}, "want a name in braces"},
		"names":     {[]Route{{Line: 3, Class: "c", Segments: "/{b}/{b}"}}, "there once"},
		"host":      {[]Route{{Line: 3, Class: "c", Host: "A:80"}}, "in lower case without a port"},
		"share":     {[]Route{{Line: 3, Class: "c", Fraction: 2}}, "want 0 to 1"},
		"covered":   {[]Route{{Line: 3, Class: "c", Prefix: "/a"}, {Line: 9, Class: "d", Path: "/a/b", Methods: []string{"GET"}}}, "line 9: no request reaches it: all that it would take is taken by line 3"},
		"ambiguous": {[]Route{{Line: 3, Class: "c", Segments: "/a/{x}"}, {Line: 9, Class: "d", Segments: "/a/{y}"}}, "line 9: it has the conditions of another route, and another end: line 3"},
	} {
		if _, err := New(c.routes); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v, want %q", name, err, c.says)
		}
	}
}

// What passes has no second reading; what has one is refused.
func TestCheckPath(t *testing.T) {
	for _, bad := range []string{"", "a", "//a", "/a//b", "/.", "/a/..", "/a/./b", "/%2e%2E/a", "/.%2e", "/a%2Fb", "/a%5cb", `/a\b`, "/a%00", "/%252e", "/%", "/%zz", "/a?b", "/a b", "/\x7f", "/é"} {
		if CheckPath(bad) == nil {
			t.Errorf("%q passes", bad)
		}
	}
	for _, good := range []string{"/", "/a/", "/a/b.c", "/...", "/a%20b", "/.well-known/x", "/%7euser"} {
		if err := CheckPath(good); err != nil {
			t.Errorf("%q: %v", good, err)
		}
	}
}

// A share is kept to, and moves nobody to and fro as it grows.
func TestShare(t *testing.T) {
	in := func(share float64) (n map[string]bool) {
		n = make(map[string]bool)
		table, err := New([]Route{{Class: "new", Fraction: share}})
		if err != nil {
			t.Fatal(err)
		}
		for i := range 20000 {
			if tenant := fmt.Sprint("t", i); table.Match(&Request{Tenant: tenant}) == 0 {
				n[tenant] = true
			}
		}
		return n
	}
	before := in(0.05)
	for _, share := range []float64{0.1, 0.25, 0.5, 0.9} {
		now := in(share)
		if got := float64(len(now)) / 20000; got < share-0.015 || got > share+0.015 {
			t.Errorf("a share of %v takes %v", share, got)
		}
		for tenant := range before {
			if !now[tenant] {
				t.Fatalf("%s has gone back as the share grew to %v", tenant, share)
			}
		}
		before = now
	}
}

// many is a table as sites have them: n routes over hosts, services and their paths.
func many(tb testing.TB, n int) (*Table, []*Request) {
	tb.Helper()
	var all []Route
	var asked []*Request
	for i := range n {
		r := Route{Line: i, Class: "c", Host: fmt.Sprintf("h%d.example", i%7)}
		switch i % 4 {
		case 0:
			r.Path = fmt.Sprintf("/s%d/list", i)
		case 1:
			r.Segments = fmt.Sprintf("/s%d/rooms/{id}/book", i)
		case 2:
			r.Prefix = fmt.Sprintf("/s%d/api", i)
		default:
			r.Regexp = fmt.Sprintf("/s%d/v[0-9]+/.*", i)
		}
		all = append(all, r)
		asked = append(asked, &Request{
			Host: r.Host, Method: "GET", Tenant: "t", ID: "i",
			Path: fmt.Sprintf("/s%d/%s", i, []string{"list", "rooms/77/book", "api/x/y", "v2/z"}[i%4]),
		})
	}
	table, err := New(all)
	if err != nil {
		tb.Fatal(err)
	}
	return table, asked
}

func TestMatchAllocatesNothing(t *testing.T) {
	table, asked := many(t, 1000)
	if n := testing.AllocsPerRun(1000, func() {
		if table.Match(asked[500]) != 500 || table.Match(asked[501]) != 501 || table.Match(asked[503]) != 503 {
			t.Fatal("taken by another")
		}
	}); n > 0 {
		t.Errorf("%v allocations a request", n)
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, asked := many(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if k := i * 7919 % n; table.Match(asked[k]) != k {
					b.Fatal("taken by another")
				}
			}
		})
	}
}

func BenchmarkCompile(b *testing.B) {
	for b.Loop() {
		many(b, 10000)
	}
}
