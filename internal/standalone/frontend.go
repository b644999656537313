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

// Headers of the router's protocol. Frontend overwrites the class and the tenant that a client sends.
const (
	headerClass    = "X-Class"
	headerTenant   = "X-Tenant"
	headerDeadline = "X-Deadline-Ms"
	headerID       = "X-Request-Id"
	headerKey      = "X-Key"
)

// anonymousNameTTL is the minimum time for which an anonymous client keeps its tenant name after its last request.
const anonymousNameTTL = 10 * time.Minute

// Frontend converts clients' requests to the router's protocol. The routes determine the class, and the identity
// layers determine the tenant. Frontend also sets the deadline and the request ID. Its methods are safe for
// concurrent use.
type Frontend struct {
	tables    atomic.Pointer[tables]
	anonymous *identity.AnonymousTenants
	startedAt time.Time
}

// tables contains the compiled settings that apply to a request. Reload replaces all settings at once.
type tables struct {
	routes     *routes.Table
	identities *identity.Resolver
	deadlines  map[string]time.Duration // deadline of each class, by name
}

// NewFrontend returns a frontend for a file that Load has returned.
func NewFrontend(file *File) (*Frontend, error) {
	frontend := &Frontend{
		anonymous: identity.NewAnonymousTenants(file.AnonymousNames(), anonymousNameTTL),
		startedAt: time.Now(),
	}
	return frontend, frontend.Reload(file)
}

// Reload applies another file to all requests that arrive afterwards. After an error, the previous file still
// applies.
func (f *Frontend) Reload(file *File) error {
	loaded := &tables{deadlines: make(map[string]time.Duration)}
	var err error
	if loaded.routes, err = file.RouteTable(); err != nil {
		return err
	}
	if loaded.identities, err = file.IdentityResolver(); err != nil {
		return err
	}
	for _, class := range file.Classes {
		loaded.deadlines[class.Name] = class.Deadline
	}
	f.tables.Store(loaded)
	return nil
}

// Handler returns a handler that converts requests to the router's protocol and passes them to next. It passes a GET
// of readyPath unchanged.
func (f *Frontend) Handler(next http.Handler, readyPath string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == readyPath && r.Method == http.MethodGet {
			next.ServeHTTP(w, r)
			return
		}
		path, query, _ := strings.Cut(r.RequestURI, "?")
		if err := routes.CheckPath(path); err != nil { // also rejects request targets in absolute form
			reject(w, http.StatusBadRequest, err.Error())
			return
		}
		current := f.tables.Load()
		tenant, id := f.tenant(current, r), requestID(r)
		index := current.routes.Match(&routes.Request{
			Host:   hostname(r),
			Method: r.Method,
			Path:   path,
			Query:  query,
			Header: r.Header,
			Tenant: tenant,
			Key:    singleHeader(r, headerKey),
			ID:     id,
		})
		if index < 0 {
			reject(w, http.StatusNotFound, "no route takes this request")
			return
		}
		route := current.routes.Route(index)
		timeout := requestTimeout(r, route, current.deadlines[route.Class])
		r.Header[headerClass] = []string{route.Class}
		r.Header[headerTenant] = []string{tenant}
		r.Header[headerID] = []string{id}
		r.Header[headerDeadline] = []string{strconv.FormatInt(max(1, timeout.Milliseconds()), 10)}
		next.ServeHTTP(w, r)
	})
}

// tenant returns the tenant of a request. For an anonymous client, it returns the client's assigned tenant name.
func (f *Frontend) tenant(current *tables, r *http.Request) string {
	peer, _ := netip.ParseAddrPort(r.RemoteAddr) // the zero value for a client on a Unix socket
	names := secure.PeerNames(r.Context())
	found := current.identities.Resolve(&identity.Request{Peer: peer.Addr(), Header: r.Header, Names: names})
	if found.Tenant != "" {
		return found.Tenant
	}
	return f.anonymous.Tenant(found.Network, time.Since(f.startedAt))
}

// requestID returns the ID that the client has set. If this ID is missing or invalid, it returns a new ID.
func requestID(r *http.Request) string {
	if id := singleHeader(r, headerID); router.ValidID(id) {
		return id
	}
	return rand.Text()
}

// requestTimeout returns the shortest of three times: timeout, the timeout of the route, and the deadline in the
// client's header. timeout is the deadline of the request's class.
func requestTimeout(r *http.Request, route *routes.Route, timeout time.Duration) time.Duration {
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	ms, err := strconv.ParseUint(singleHeader(r, headerDeadline), 10, 32)
	if err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	return timeout
}

// hostname returns the host of a request in lower case and without a port.
func hostname(r *http.Request) string {
	host := strings.ToLower(r.Host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// singleHeader returns the value of a header that occurs exactly once. Otherwise it returns an empty string.
func singleHeader(r *http.Request, name string) string {
	if values := r.Header[name]; len(values) == 1 {
		return values[0]
	}
	return ""
}

// reject responds to a request that is not routed. It closes the connection, because the request's body is not read.
func reject(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Connection", "close")
	http.Error(w, message, status)
}
