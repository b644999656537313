package expect

import (
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"cobaltward/internal/identity"
	"cobaltward/internal/routes"
	"cobaltward/internal/standalone"
	"cobaltward/router"
)

const (
	defaultRequests = 100
	defaultInterval = 50 * time.Millisecond

	// settleTime is the virtual time that passes after the last request. Every request ends within this time.
	settleTime = time.Minute
)

// defaultPeer is the client address of a case without one. The address belongs to a network reserved for
// documentation.
var defaultPeer = netip.MustParseAddr("192.0.2.1")

// evaluation holds the request of one case and the failures found so far.
type evaluation struct {
	want *Want

	peer         netip.Addr
	method, path string // path is escaped
	url          *url.URL
	header       http.Header
	tenant       string

	description string // method and URL of the request; prefix of each failure message
	failures    []string
}

func (e *evaluation) fail(format string, args ...any) {
	e.failures = append(e.failures, e.description+": "+fmt.Sprintf(format, args...))
}

// evaluate checks one case, and returns a message for each part of the case that is not met. It returns an error if
// the case cannot be evaluated.
func evaluate(
	conf *standalone.File, table *routes.Table, resolver *identity.Resolver, tested *Case,
) (failures []string, err error) {
	eval, err := newEvaluation(tested)
	if err != nil {
		return nil, err
	}
	if !eval.checkPath() {
		return eval.failures, nil
	}
	eval.checkTenant(resolver)
	route := eval.checkRoute(table)
	if route == nil {
		return eval.failures, nil
	}
	sim, err := newSimulation(conf, tested)
	if err != nil {
		return nil, err
	}
	eval.sendRequests(sim, table, tested)
	for _, failure := range sim.check(&tested.Want) {
		eval.fail("%s (class %s, by %s)", failure, route.Class, describeRoute(route))
	}
	return eval.failures, nil
}

func newEvaluation(tested *Case) (*evaluation, error) {
	target, err := url.Parse(tested.URL)
	if err != nil {
		return nil, fmt.Errorf("url: %w", err)
	}
	peer := defaultPeer
	if tested.From != "" {
		if peer, err = netip.ParseAddr(tested.From); err != nil {
			return nil, fmt.Errorf("from: %w", err)
		}
	}
	eval := &evaluation{
		want: &tested.Want, peer: peer, method: tested.Method, path: target.EscapedPath(), url: target,
		header: make(http.Header),
	}
	if eval.method == "" {
		eval.method = http.MethodGet
	}
	if eval.path == "" {
		eval.path = "/"
	}
	for name, value := range tested.Headers {
		eval.header.Set(name, value)
	}
	eval.description = fmt.Sprintf("%s %s", eval.method, tested.URL)
	return eval, nil
}

// checkPath checks whether the path is accepted or rejected, as the case expects. It returns whether the path is
// accepted.
func (e *evaluation) checkPath() (accepted bool) {
	wantRejected := e.want.Route == wantPathRejected
	if err := routes.CheckPath(e.path); err != nil {
		if !wantRejected {
			e.fail("rejected with 400 (%v)", err)
		}
		return false
	}
	if wantRejected {
		e.fail("want it rejected because of its path; it is accepted")
	}
	return true
}

// checkTenant determines the request's tenant, and compares it with the expected tenant.
func (e *evaluation) checkTenant(resolver *identity.Resolver) {
	found := resolver.Resolve(&identity.Request{Peer: e.peer, Header: e.header})
	e.tenant = found.Tenant
	by := "no identity layer"
	if found.Layer >= 0 {
		by = fmt.Sprintf("identity layer %d (%v)", found.Layer+1, found.Kind)
	} else {
		e.tenant = identity.SharedTenant
	}
	if e.want.Tenant != "" && e.tenant != e.want.Tenant {
		e.fail("want tenant %s, got %s, by %s", e.want.Tenant, e.tenant, by)
	}
}

// checkRoute matches the first request against the routes, and compares the result with the expected route and class.
// It returns nil if no route matches.
func (e *evaluation) checkRoute(table *routes.Table) *routes.Route {
	wantNone := e.want.Route == wantNoRoute
	index := table.Match(e.routeRequest(requestID(0)))
	if index < 0 {
		if !wantNone {
			e.fail("no route matches")
		}
		return nil
	}
	route := table.Route(index)
	if wantNone {
		e.fail("want no route to match; that of line %d does", route.Line)
	}
	if e.want.Class != "" && route.Class != e.want.Class {
		e.fail("want class %s, got %s, by %s", e.want.Class, route.Class, describeRoute(route))
	}
	return route
}

func describeRoute(route *routes.Route) string {
	return fmt.Sprintf("the route of line %d", route.Line)
}

func requestID(n int) string { return fmt.Sprintf("expect-%d", n) }

func (e *evaluation) routeRequest(id string) *routes.Request {
	return &routes.Request{
		Host: strings.ToLower(e.url.Hostname()), Method: e.method, Path: e.path, Query: e.url.RawQuery,
		Header: e.header, Tenant: e.tenant, Key: e.header.Get("X-Key"), ID: id,
	}
}

// sendRequests sends the case's requests to a simulation. It matches each request against the routes, because a route
// may apply to a fraction of the request IDs.
func (e *evaluation) sendRequests(sim *simulation, table *routes.Table, tested *Case) {
	count, interval := tested.Requests, tested.Interval
	if count == 0 {
		count = defaultRequests
	}
	if interval == 0 {
		interval = defaultInterval
	}
	key := e.header.Get("Idempotency-Key")
	for i := range count {
		id := requestID(i)
		if index := table.Match(e.routeRequest(id)); index >= 0 {
			route := table.Route(index)
			sim.submit(router.Request{
				ID: id, Class: route.Class, Tenant: e.tenant, IdempotencyKey: uniqueKey(key, i), Timeout: route.Timeout,
			})
		}
		sim.advance(interval)
	}
	sim.advance(settleTime)
}

// uniqueKey returns an idempotency key for the n-th request. Requests with equal keys would be treated as duplicates.
// An empty key stays empty.
func uniqueKey(key string, n int) string {
	if key == "" {
		return ""
	}
	return fmt.Sprintf("%s-%d", key, n)
}
