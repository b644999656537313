package identity

import (
	"crypto/sha256"
	"net/netip"
	"strings"
)

// maxSecretSize is the maximum size of a secret in bytes. Larger secrets are not hashed and never match.
const maxSecretSize = 16 << 10

// Resolver determines the tenants of requests. It is immutable and safe for concurrent use.
type Resolver struct {
	layers    []layer
	tenants   map[string]bool
	trusted   []netip.Prefix
	forwarded string // name of the forwarding header; empty: no header is read
	ipv4Bits  int
	ipv6Bits  int
}

// Request contains the attributes of a request that a Resolver reads.
type Request struct {
	Peer   netip.Addr          // remote address of the connection
	Header map[string][]string // header values, by canonical name
	Names  []string            // names in the client's certificate, if the certificate was verified
}

// Identity is the result of Resolve: the tenant of a request, or the network of an anonymous client.
type Identity struct {
	Tenant  string       // empty for an anonymous client
	Layer   int          // index of the layer that found Tenant; -1 for an anonymous client
	Kind    Kind         // kind of the layer that found Tenant
	Client  netip.Addr   // address that the last trusted hop has seen
	Network netip.Prefix // prefix of Client that identifies an anonymous client
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
	bits := r.ipv4Bits
	if found.Client.Is6() {
		bits = r.ipv6Bits
	}
	found.Network, _ = found.Client.Prefix(bits) // fails only for the zero address, and then returns the zero prefix
	return found
}

// tenantByLayer returns the tenant that the layer finds, or an empty string.
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

// tenantBySecret returns the tenant of a secret, or an empty string. It looks the secret up by hash: the duration of
// the lookup then reveals nothing about the listed secrets.
func (l *layer) tenantBySecret(secret string) string {
	if secret == "" || len(secret) > maxSecretSize {
		return ""
	}
	return l.secrets[sha256.Sum256([]byte(secret))]
}

// tenantByCertificate returns the tenant of the names in a certificate. If the names belong to different tenants, it
// returns an empty string.
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

// singleValue returns the value of a header that occurs once. If the header occurs several times, the result is
// empty, because the server behind the router might use another value.
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

// singleCookie returns the value of a cookie that occurs exactly once in all Cookie headers together. Otherwise it
// returns an empty string.
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
