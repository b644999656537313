// Package expect holds a configuration against what its operator expects of it: which class, tenant and zone a
// request comes to, also while zones are gone or tenants send too much. It runs the real tables, engine and
// module in virtual time, without a socket.
package expect

import (
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"cobaltward/internal/identity"
	"cobaltward/internal/routes"
	"cobaltward/internal/standalone"
	"cobaltward/internal/stricttoml"
	"cobaltward/policy"
	"cobaltward/router"
)

// File is a file of expectations.
type File struct {
	Cases []Case `toml:"expect" need:"1"`

	lines stricttoml.Lines
	path  string
}

// Case is one expectation: a request, a state of the world, and what must hold.
type Case struct {
	Name    string            `toml:"name" need:"1"`
	Method  string            `toml:"method"` // none: GET
	URL     string            `toml:"url" need:"1"`
	Headers map[string]string `toml:"headers"`
	From    string            `toml:"from"` // address of the connection; none: 192.0.2.1
	State   State             `toml:"state"`
	Draws   int               `toml:"draws" min:"1" max:"100000"` // requests that are sent; 0: 100
	Every   time.Duration     `toml:"every" min:"0s" max:"1m"`    // between them; 0: 50ms
	Seed    uint64            `toml:"seed"`
	Want    Want              `toml:"want"`
}

// State is how the world stands, beside what the configuration says.
type State struct {
	ZonesGone   []string `toml:"zones_gone"`
	ServersGone []string `toml:"servers_gone"`
	Drained     []string `toml:"drained"`
	Answer      string   `toml:"answer" one:"served|failing|full"` // what servers answer; none: served
	NodeZone    string   `toml:"node_zone"`                        // the zone that the node is in; none: the configuration's
}

// Want is what must hold; what is left out need not.
type Want struct {
	Class      string             `toml:"class"`
	Tenant     string             `toml:"tenant"` // "anonymous" for one that nobody listed
	Route      string             `toml:"route"`  // "none" where no route may take it, "refused" for its path
	First      string             `toml:"first_zone"`
	Never      []string           `toml:"never_zones"`
	Server     string             `toml:"first_server"`
	Share      map[string]float64 `toml:"zone_share"` // part of the first attempts, within Within
	Within     float64            `toml:"within" min:"0" max:"1"`
	Outcome    string             `toml:"outcome" one:"served|refused|failed"` // of all draws
	Refused    *stricttoml.Range  `toml:"refused"`                             // part of the draws, at least and at most
	RetryAfter bool               `toml:"retry_after"`                         // refusals say when to come back
	Attempts   int                `toml:"at_most_attempts" min:"1"`
}

// Load reads a file of expectations.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &File{path: path}
	if f.lines, err = stricttoml.Decode(text, f); err != nil {
		return nil, fmt.Errorf("%s:%w", path, err)
	}
	return f, nil
}

// Result is what an expectation came to.
type Result struct {
	Name string
	Line int
	// Failures are in words: what was wanted, what came, and which line of the configuration decided.
	Failures []string
}

// Run holds a configuration against the file's expectations.
func (f *File) Run(conf *standalone.File) ([]Result, error) {
	table, err := conf.RouteTable()
	if err != nil {
		return nil, err
	}
	finder, err := conf.IdentityFinder()
	if err != nil {
		return nil, err
	}
	var all []Result
	for i := range f.Cases {
		at := fmt.Sprintf("expect[%d]", i)
		failures, err := run(conf, table, finder, &f.Cases[i])
		if err != nil {
			return nil, fmt.Errorf("%s:%w", f.path, f.lines.Errorf(at, "%s", err))
		}
		all = append(all, Result{f.Cases[i].Name, f.lines.At(at), failures})
	}
	return all, nil
}

// run is one expectation.
func run(conf *standalone.File, table *routes.Table, finder *identity.Resolver, c *Case) (failures []string, err error) {
	fail := func(format string, args ...any) { failures = append(failures, fmt.Sprintf(format, args...)) }
	u, err := url.Parse(c.URL)
	if err != nil {
		return nil, fmt.Errorf("url: %w", err)
	}
	from := netip.MustParseAddr("192.0.2.1")
	if c.From != "" {
		if from, err = netip.ParseAddr(c.From); err != nil {
			return nil, fmt.Errorf("from: %w", err)
		}
	}
	method, h := c.Method, make(http.Header)
	if method == "" {
		method = http.MethodGet
	}
	for k, v := range c.Headers {
		h.Set(k, v)
	}
	path := u.EscapedPath()
	if path == "" {
		path = "/"
	}
	what := fmt.Sprintf("%s %s", method, c.URL)
	if err := routes.CheckPath(path); err != nil {
		if c.Want.Route != "refused" {
			fail("%s: refused with 400 (%v)", what, err)
		}
		return failures, nil
	}
	if c.Want.Route == "refused" {
		fail("%s: want it refused for its path; it passes", what)
	}
	found := finder.Resolve(&identity.Request{Peer: from, Header: h})
	tenant := found.Tenant
	var by string
	if found.Layer >= 0 {
		by = fmt.Sprintf("identity layer %d (%v)", found.Layer+1, found.Kind)
	} else {
		tenant, by = identity.SharedTenant, "no identity layer"
	}
	if c.Want.Tenant != "" && tenant != c.Want.Tenant {
		fail("%s: want tenant %s, got %s, by %s", what, c.Want.Tenant, tenant, by)
	}
	request := func(id string) *routes.Request {
		return &routes.Request{Host: strings.ToLower(u.Hostname()), Method: method, Path: path, Query: u.RawQuery, Header: h, Tenant: tenant, Key: h.Get("X-Key"), ID: id}
	}
	n := table.Match(request("expect-0"))
	switch {
	case n < 0 && c.Want.Route == "none":
		return failures, nil
	case n < 0:
		fail("%s: no route takes it", what)
		return failures, nil
	case c.Want.Route == "none":
		fail("%s: want no route to take it; line %d does", what, table.Route(n).Line)
	}
	route := table.Route(n)
	rule := fmt.Sprintf("the route of line %d", route.Line)
	if c.Want.Class != "" && route.Class != c.Want.Class {
		fail("%s: want class %s, got %s, by %s", what, c.Want.Class, route.Class, rule)
	}
	w, err := newWorld(conf, c)
	if err != nil {
		return nil, err
	}
	draws, every := c.Draws, c.Every
	if draws == 0 {
		draws = 100
	}
	if every == 0 {
		every = 50 * time.Millisecond
	}
	key := h.Get("Idempotency-Key")
	for i := range draws {
		id := fmt.Sprintf("expect-%d", i)
		if m := table.Match(request(id)); m >= 0 { // shares by id may send it elsewhere
			w.offer(router.Request{ID: id, Class: table.Route(m).Class, Tenant: tenant, IdempotencyKey: unique(key, i), Timeout: table.Route(m).Timeout})
		}
		w.step(every)
	}
	w.step(time.Minute)
	for _, f := range w.check(c) {
		fail("%s: %s (class %s, by %s)", what, f, route.Class, rule)
	}
	return failures, nil
}

// unique gives each draw a key of its own: the same one would be a repeat.
func unique(key string, i int) string {
	if key == "" {
		return ""
	}
	return fmt.Sprintf("%s-%d", key, i)
}

// world is an engine among servers that answer as a case says.
type world struct {
	engine   *router.Stepped
	now      time.Duration
	answer   string
	due      []end
	zones    map[string]string // by server
	first    []string          // server of each request's first attempt
	sent     map[string]int    // attempts by zone
	attempts map[string]int    // by request
	outcomes map[string]int
	refusals []time.Duration
}

type end struct {
	at time.Duration
	t  router.Attempt
}

const answerAfter = 10 * time.Millisecond

func newWorld(conf *standalone.File, c *Case) (*world, error) {
	members, err := conf.Endpoints()
	if err != nil {
		return nil, err
	}
	w := &world{answer: c.State.Answer, zones: make(map[string]string), sent: make(map[string]int), attempts: make(map[string]int), outcomes: make(map[string]int)}
	known := func(names []string, there func(router.Endpoint) string, what string) error {
		for _, n := range names {
			if !slices.ContainsFunc(members, func(m router.Endpoint) bool { return there(m) == n }) {
				return fmt.Errorf("state: there is no %s %q", what, n)
			}
		}
		return nil
	}
	id, zone := func(m router.Endpoint) string { return m.ID }, func(m router.Endpoint) string { return m.Zone }
	for _, check := range []error{
		known(c.State.ZonesGone, zone, "zone"), known(c.State.ServersGone, id, "server"), known(c.State.Drained, id, "server"),
		known(c.Want.Never, zone, "zone"),
	} {
		if check != nil {
			return nil, check
		}
	}
	var list []router.Endpoint
	for _, m := range members {
		if slices.Contains(c.State.ZonesGone, m.Zone) || slices.Contains(c.State.ServersGone, m.ID) {
			continue
		}
		if slices.Contains(c.State.Drained, m.ID) {
			m.Availability = policy.Draining
		}
		w.zones[m.ID] = m.Zone
		list = append(list, m)
	}
	set := conf.Settings()
	if c.State.NodeZone != "" {
		set.Zone = c.State.NodeZone
	}
	w.engine, err = router.NewStepped(router.Config{Settings: set, Seed: c.Seed + 1, Endpoints: list}, w, time.Unix(0, 0))
	return w, err
}

// Launch notes an attempt, which ends as the case says.
func (w *world) Launch(t router.Attempt) {
	if t.Number == 0 {
		w.first = append(w.first, t.Server)
	}
	w.sent[w.zones[t.Server]]++
	w.attempts[t.Request.ID]++
	w.due = append(w.due, end{w.now + answerAfter, t})
}

// Cancel has nothing to end: what is out ends soon.
func (w *world) Cancel(router.Attempt) {}

// CloseIdle has nothing to close.
func (w *world) CloseIdle(string) {}

func (w *world) offer(q router.Request) {
	err := w.engine.Submit(w.now, q, func(a router.Answer) {
		switch a.Outcome {
		case router.Served:
			w.outcomes["served"]++
		case router.Rejected, router.Overloaded:
			w.outcomes["refused"]++
			w.refusals = append(w.refusals, a.RetryAfter)
		default:
			w.outcomes["failed"]++
		}
	})
	if err != nil {
		w.outcomes["invalid: "+err.Error()]++
	}
}

// step lets time pass, with what ends in it.
func (w *world) step(d time.Duration) {
	until := w.now + d
	for len(w.due) > 0 && w.due[0].at <= until {
		e := w.due[0]
		w.due = w.due[1:]
		w.now = max(w.now, e.at)
		code := map[string]policy.Code{"": policy.OK, "served": policy.OK, "failing": policy.ServerError, "full": policy.Overloaded}[w.answer]
		w.engine.FinishAttempt(w.now, e.t, router.Result{Code: code})
	}
	w.now = until
	w.engine.Advance(w.now)
}

// check says what does not hold, in words.
func (w *world) check(c *Case) (failures []string) {
	fail := func(format string, args ...any) { failures = append(failures, fmt.Sprintf(format, args...)) }
	total := 0
	for _, n := range w.outcomes {
		total += n
	}
	first := make(map[string]int)
	for _, s := range w.first {
		first[w.zones[s]]++
	}
	if z := c.Want.First; z != "" && (len(w.first) == 0 || w.zones[w.first[0]] != z) {
		got := "nowhere"
		if len(w.first) > 0 {
			got = fmt.Sprintf("to %s in %s", w.first[0], w.zones[w.first[0]])
		}
		fail("want the first attempt to go to zone %s; it goes %s", z, got)
	}
	if s := c.Want.Server; s != "" && (len(w.first) == 0 || w.first[0] != s) {
		fail("want the first attempt to go to server %s; first attempts go to %v", s, w.first[:min(1, len(w.first))])
	}
	for _, z := range c.Want.Never {
		if w.sent[z] > 0 {
			fail("want nothing sent to zone %s; %d attempts were", z, w.sent[z])
		}
	}
	for z, share := range c.Want.Share {
		within := c.Want.Within
		if within == 0 {
			within = 0.05
		}
		if got := float64(first[z]) / max(1, float64(len(w.first))); got < share-within || got > share+within {
			fail("want %.2f of the first attempts in zone %s, within %.2f; got %.2f of %d", share, z, within, got, len(w.first))
		}
	}
	if o := c.Want.Outcome; o != "" && w.outcomes[o] != total {
		fail("want all %d requests %s; got %v", total, o, w.outcomes)
	}
	if r := c.Want.Refused; r != nil {
		if got := float64(w.outcomes["refused"]) / max(1, float64(total)); got < r.Lo || got > r.Hi {
			fail("want %.2f to %.2f of %d requests refused; got %.2f", r.Lo, r.Hi, total, got)
		}
	}
	if c.Want.RetryAfter && slices.Contains(w.refusals, 0) {
		fail("want refusals to say when to come back; some do not")
	}
	if most := c.Want.Attempts; most > 0 {
		for id, n := range w.attempts {
			if n > most {
				fail("want at most %d attempts a request; %s had %d", most, id, n)
				break
			}
		}
	}
	return failures
}
