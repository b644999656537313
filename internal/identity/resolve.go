package identity

import (
	"crypto/sha256"
	"net/netip"
	"strings"
)

// maxSecretSize is the size beyond which a secret is not hashed, in bytes.
const maxSecretSize = 16 << 10

// Resolver determines the tenants of requests. It is immutable, and safe for concurrent use.
type Resolver struct {
	layers    []layer
	tenants   map[string]bool
	trusted   []netip.Prefix
	forwarded string // header; empty: none
	bits4     int
	bits6     int
}

// Request holds what a Resolver reads of a request.
type Request struct {
	Peer   netip.Addr          // address of the connection
	Header map[string][]string // by canonical name
	Names  []string            // in the verified certificate of the client's connection
}

// Identity says to which tenant a request belongs.
type Identity struct {
	Tenant  string       // empty for an anonymous client
	Layer   int          // index of the layer that found Tenant; -1 for an anonymous client
	Kind    Kind         // of that layer
	Client  netip.Addr   // as seen by the last trusted hop
	Network netip.Prefix // of an anonymous client: the part of its address that identifies it
}

// Resolve returns the identity of a request.
func (r *Resolver) Resolve(req *Request) Identity {
	peer := req.Peer.Unmap().WithZone("")
	trusted := r.isTrusted(peer)
	found := Identity{Layer: -1, Client: peer}
	if trusted {
		found.Client = r.clientAddress(peer, req.Header)
	}
	for i := range r.layers {
		if tenant := r.tenantByLayer(&r.layers[i], req, trusted, found.Client); tenant != "" {
			found.Tenant, found.Layer, found.Kind = tenant, i, r.layers[i].Kind
			return found
		}
	}
	bits := r.bits4
	if found.Client.Is6() {
		bits = r.bits6
	}
	found.Network, _ = found.Client.Prefix(bits) // fails only for the zero address, with the zero prefix
	return found
}

// tenantByLayer returns the tenant that one layer finds; empty if it finds none.
func (r *Resolver) tenantByLayer(by *layer, req *Request, trusted bool, client netip.Addr) string {
	switch by.Kind {
	case Header:
		if tenant := singleValue(req.Header, by.Name); trusted && r.tenants[tenant] {
			return tenant
		}
	case Cookie:
		return by.tenantBySecret(singleCookie(req.Header, by.Name))
	case Bearer:
		return by.tenantBySecret(bearerToken(req.Header))
	case APIKey:
		return by.tenantBySecret(singleValue(req.Header, by.Name))
	case Certificate:
		return by.tenantByCertificate(req.Names)
	case Address:
		return by.tenantByAddress(client)
	}
	return ""
}

// tenantBySecret finds a secret by its hash, so that the time taken reveals nothing about the listed ones.
func (l *layer) tenantBySecret(secret string) string {
	if secret == "" || len(secret) > maxSecretSize {
		return ""
	}
	return l.secrets[sha256.Sum256([]byte(secret))]
}

// tenantByCertificate returns the tenant of a certificate's names. Names of different tenants are ambiguous, and find
// none.
func (l *layer) tenantByCertificate(names []string) string {
	found := ""
	for _, name := range names {
		tenant := l.Names[name]
		if tenant == "" {
			continue
		}
		if found != "" && tenant != found {
			return ""
		}
		found = tenant
	}
	return found
}

func (l *layer) tenantByAddress(client netip.Addr) string {
	for i := range l.networks {
		if l.networks[i].prefix.Contains(client) {
			return l.networks[i].tenant
		}
	}
	return ""
}

// singleValue returns the value of a header that occurs once. Of two, another server might use the other one.
func singleValue(header map[string][]string, name string) string {
	if values := header[name]; len(values) == 1 {
		return values[0]
	}
	return ""
}

func bearerToken(header map[string][]string) string {
	const scheme = "Bearer "
	value := singleValue(header, "Authorization")
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(value[len(scheme):])
}

// singleCookie returns the value of a cookie that occurs once in all Cookie headers together.
func singleCookie(header map[string][]string, name string) (value string) {
	count := 0
	for _, line := range header["Cookie"] {
		for line != "" {
			var pair string
			pair, line, _ = strings.Cut(line, ";")
			if key, v, ok := strings.Cut(strings.TrimSpace(pair), "="); ok && key == name {
				value = strings.Trim(v, `"`)
				count++
			}
		}
	}
	if count != 1 {
		return ""
	}
	return value
}

func (r *Resolver) isTrusted(addr netip.Addr) bool {
	for _, prefix := range r.trusted {
		if prefix.Contains(addr) {
			return true
		}
	}
	return false
}
