package standalone

import (
	"crypto/rand"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cobaltward/internal/frontend/secure"
	"cobaltward/internal/identity"
	"cobaltward/internal/routes"
	"cobaltward/router"
)

// headers of the protocol that a request bears once it is routed. What a client sends under these names is not
// believed.
const (
	headerClass    = "X-Class"
	headerTenant   = "X-Tenant"
	headerDeadline = "X-Deadline-Ms"
	headerID       = "X-Request-Id"
	headerKey      = "X-Key"
)

// anonymousFor is how long the name of an anonymous client is kept for after its last request, at the least.
const anonymousFor = 10 * time.Minute

// Frontend turns requests from outside into the protocol's: class by the routes, tenant by the identities, and what
// a client need not say. Its methods may be called at once from many goroutines.
type Frontend struct {
	now       atomic.Pointer[tables]
	anonymous *identity.Anonymous
	began     time.Time
}

// tables are what a request is looked up in: one request goes by one of them from its beginning to its end.
type tables struct {
	routes    *routes.Table
	who       *identity.Finder
	deadlines map[string]time.Duration
}

// NewFrontend returns a front by a file that was checked.
func NewFrontend(f *File) (*Frontend, error) {
	x := &Frontend{anonymous: identity.NewAnonymous(f.AnonymousNames(), anonymousFor), began: time.Now()}
	return x, x.Reload(f)
}

// Reload puts another file in force for requests that come from now on.
func (x *Frontend) Reload(f *File) error {
	t := &tables{deadlines: make(map[string]time.Duration)}
	var err error
	if t.routes, err = f.RouteTable(); err != nil {
		return err
	}
	if t.who, err = f.IdentityFinder(); err != nil {
		return err
	}
	for _, c := range f.Classes {
		t.deadlines[c.Name] = c.Deadline
	}
	x.now.Store(t)
	return nil
}

// Handler hands requests on to next, in the protocol's form. ready is a path that goes on as it is.
func (x *Frontend) Handler(next http.Handler, ready string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == ready && r.Method == http.MethodGet {
			next.ServeHTTP(w, r)
			return
		}
		t := x.now.Load()
		path, query, _ := strings.Cut(r.RequestURI, "?")
		if err := routes.CheckPath(path); err != nil { // absolute-form targets and the like, too
			refuse(w, http.StatusBadRequest, err.Error())
			return
		}
		host := strings.ToLower(r.Host)
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
		peer, _ := netip.ParseAddrPort(r.RemoteAddr) // of a Unix socket there is none
		found := t.who.Find(&identity.Request{Peer: peer.Addr(), Header: r.Header, Names: secure.Names(r.Context())})
		tenant := found.Tenant
		if tenant == "" {
			tenant = x.anonymous.Name(found.Net, time.Since(x.began))
		}
		id := ""
		if v := r.Header[headerID]; len(v) == 1 && router.ValidID(v[0]) {
			id = v[0]
		} else {
			id = rand.Text()
		}
		key := ""
		if v := r.Header[headerKey]; len(v) == 1 {
			key = v[0]
		}
		n := t.routes.Match(&routes.Request{Host: host, Method: r.Method, Path: path, Query: query, Header: r.Header, Tenant: tenant, Key: key, ID: id})
		if n < 0 {
			refuse(w, http.StatusNotFound, "no route takes this request")
			return
		}
		route := t.routes.Route(n)
		wait := t.deadlines[route.Class]
		if route.Budget > 0 {
			wait = min(wait, route.Budget)
		}
		if v := r.Header[headerDeadline]; len(v) == 1 { // a client may wait for less
			if ms, err := strconv.ParseUint(v[0], 10, 32); err == nil && ms > 0 {
				wait = min(wait, time.Duration(ms)*time.Millisecond)
			}
		}
		r.Header[headerClass], r.Header[headerTenant] = []string{route.Class}, []string{tenant}
		r.Header[headerID], r.Header[headerDeadline] = []string{id}, []string{strconv.FormatInt(max(1, wait.Milliseconds()), 10)}
		next.ServeHTTP(w, r)
	})
}

// refuse answers what is not to be routed, and ends its connection: a body may follow that nobody reads.
func refuse(w http.ResponseWriter, status int, what string) {
	w.Header().Set("Connection", "close")
	http.Error(w, what, status)
}
