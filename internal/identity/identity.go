// Package identity finds out whose a request is: by layers in the operator's order (a header, a session cookie, a
// bearer token, an API key, the client's address). What is found is a tenant of the list, or an anonymous one. It
// does no I/O and reads no clock.
//
// Secrets are held as their SHA-256 alone. A header that only a proxy may set counts from trusted hops alone, and
// an address is what the last trusted hop has seen, read from the right.
package identity

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// Kind is what a layer looks at.
type Kind uint8

// The kinds of layer.
const (
	Header      Kind = iota // a header whose value is the tenant's name, from trusted hops alone
	Cookie                  // a session cookie, listed by its hash
	Bearer                  // Authorization: Bearer, listed by its hash
	APIKey                  // a header that holds a key, listed by its hash
	Address                 // the client's address, listed by prefix
	Certificate             // a name of the certificate that the client showed, listed as it is
)

var kindNames = [...]string{"header", "cookie", "bearer", "api key", "address", "certificate"}

// String names the kind.
func (k Kind) String() string { return kindNames[k] }

// Layer is one way to find a tenant.
type Layer struct {
	Kind     Kind
	Name     string            // of the header or the cookie
	Secrets  map[string]string // SHA-256 in hexadecimal to tenant, for Cookie, Bearer and APIKey
	Networks map[string]string // prefix to tenant, for Address
	Names    map[string]string // of a certificate to tenant, for Certificate
}

// Config is the whole order.
type Config struct {
	Layers  []Layer
	Tenants []string // that a header may name
	Trusted []string // prefixes of the proxies that may speak for others
	// Forwarded says which header tells of hops: "X-Forwarded-For", "Forwarded", or neither. Others are not
	// looked at: a proxy passes on what it does not set itself.
	Forwarded string
	Bits4     int // of an anonymous client's address that count; 0: 32
	Bits6     int // 0: 64, what one subscriber has
}

// Limits on what comes from outside.
const (
	maxToken = 16 << 10 // bytes of a secret that are looked at
	maxHops  = 32       // of a forwarding header
)

// Resolver is a compiled order. It is only read, and may be used by many goroutines.
type Resolver struct {
	layers    []layer
	tenants   map[string]bool
	trusted   []netip.Prefix
	forwarded string
	bits4     int
	bits6     int
}

type layer struct {
	Layer
	secrets map[[sha256.Size]byte]string
	nets    []netTenant // longest prefix first
}

type netTenant struct {
	prefix netip.Prefix
	tenant string
}

// Request is what is looked at of a request. It is only read.
type Request struct {
	Peer   netip.Addr // of the connection
	Header map[string][]string
	Names  []string // of the certificate that the client of the connection has proved to be its own
}

// Identity is whose a request is.
type Identity struct {
	Tenant  string       // of the list; empty for an anonymous one
	Layer   int          // that found it; -1 for an anonymous one
	Kind    Kind         // of that layer
	Client  netip.Addr   // the address that the last trusted hop has seen
	Network netip.Prefix // of an anonymous one: what counts of its address
}

// New compiles an order. Errors name the layer, by its place from 0 on, and the field.
func New(c Config) (*Resolver, error) {
	f := &Resolver{tenants: make(map[string]bool), forwarded: c.Forwarded, bits4: c.Bits4, bits6: c.Bits6}
	if f.bits4 == 0 {
		f.bits4 = 32
	}
	if f.bits6 == 0 {
		f.bits6 = 64
	}
	if f.bits4 < 8 || f.bits4 > 32 || f.bits6 < 16 || f.bits6 > 128 {
		return nil, fmt.Errorf("bits: want 8 to 32 and 16 to 128, got %d and %d", f.bits4, f.bits6)
	}
	switch c.Forwarded {
	case "", "X-Forwarded-For", "Forwarded":
	default:
		return nil, fmt.Errorf("forwarded: want X-Forwarded-For, Forwarded or none, got %q", c.Forwarded)
	}
	for _, t := range c.Tenants {
		f.tenants[t] = true
	}
	for _, p := range c.Trusted {
		prefix, err := parsePrefix(p)
		if err != nil {
			return nil, fmt.Errorf("trusted: %w", err)
		}
		f.trusted = append(f.trusted, prefix)
	}
	for i, l := range c.Layers {
		own := layer{Layer: l, secrets: make(map[[sha256.Size]byte]string)}
		fail := func(field string, err error) error { return fmt.Errorf("layer %d (%v): %s: %w", i, l.Kind, field, err) }
		if l.Name == "" && (l.Kind == Header || l.Kind == Cookie || l.Kind == APIKey) {
			return nil, fail("name", errors.New("missing"))
		}
		if l.Kind == Header && len(f.trusted) == 0 {
			return nil, fail("name", errors.New("nobody is trusted to set it: anybody could claim to be anybody"))
		}
		for text, tenant := range l.Secrets {
			raw, err := hex.DecodeString(text)
			if err != nil || len(raw) != sha256.Size {
				return nil, fail("secrets", errors.New("want SHA-256 in 64 hexadecimal digits"))
			}
			if !f.tenants[tenant] {
				return nil, fail("secrets", fmt.Errorf("there is no tenant %q", tenant))
			}
			own.secrets[[sha256.Size]byte(raw)] = tenant
		}
		if l.Kind == Certificate && len(l.Names) == 0 {
			return nil, fail("names", errors.New("missing"))
		}
		for name, tenant := range l.Names {
			if name == "" || !f.tenants[tenant] {
				return nil, fail("names", fmt.Errorf("%q: there is no tenant %q", name, tenant))
			}
		}
		for text, tenant := range l.Networks {
			prefix, err := parsePrefix(text)
			if err != nil {
				return nil, fail("nets", err)
			}
			if !f.tenants[tenant] {
				return nil, fail("nets", fmt.Errorf("there is no tenant %q", tenant))
			}
			at := 0
			for at < len(own.nets) && own.nets[at].prefix.Bits() > prefix.Bits() {
				at++
			}
			own.nets = append(own.nets[:at:at], append([]netTenant{{prefix, tenant}}, own.nets[at:]...)...)
		}
		f.layers = append(f.layers, own)
	}
	return f, nil
}

func parsePrefix(text string) (netip.Prefix, error) {
	if !strings.Contains(text, "/") {
		a, err := netip.ParseAddr(text)
		if err != nil {
			return netip.Prefix{}, fmt.Errorf("want an address or a prefix, got %q", text)
		}
		return netip.PrefixFrom(a, a.BitLen()), nil
	}
	p, err := netip.ParsePrefix(text)
	if err != nil || p != p.Masked() {
		return netip.Prefix{}, fmt.Errorf("want an address or a prefix without bits behind it, got %q", text)
	}
	return p, nil
}

// Resolve tells whose a request is.
func (f *Resolver) Resolve(r *Request) Identity {
	peer := r.Peer.Unmap().WithZone("")
	trusted := f.isTrusted(peer)
	found := Identity{Layer: -1, Client: peer}
	if trusted {
		found.Client = f.client(peer, r.Header)
	}
	for i := range f.layers {
		if t := f.layers[i].find(f, r, trusted, found.Client); t != "" {
			found.Tenant, found.Layer, found.Kind = t, i, f.layers[i].Kind
			return found
		}
	}
	bits := f.bits4
	if found.Client.Is6() {
		bits = f.bits6
	}
	found.Network, _ = found.Client.Prefix(bits) // fails only for the zero address, whose prefix is the zero one
	return found
}

func (l *layer) find(f *Resolver, r *Request, trusted bool, client netip.Addr) string {
	switch l.Kind {
	case Header:
		if v := one(r.Header, l.Name); trusted && f.tenants[v] {
			return v
		}
	case Cookie:
		return l.secret(cookie(r.Header, l.Name))
	case Bearer:
		v := one(r.Header, "Authorization")
		if len(v) > 7 && strings.EqualFold(v[:7], "Bearer ") {
			return l.secret(strings.TrimSpace(v[7:]))
		}
	case APIKey:
		return l.secret(one(r.Header, l.Name))
	case Certificate:
		// Of several tenants' names it would be anybody's guess whose the request is.
		found := ""
		for _, n := range r.Names {
			if t := l.Names[n]; t != "" && found != "" && t != found {
				return ""
			} else if t != "" {
				found = t
			}
		}
		return found
	case Address:
		for i := range l.nets {
			if l.nets[i].prefix.Contains(client) {
				return l.nets[i].tenant
			}
		}
	}
	return ""
}

// secret looks a secret up by its hash: the time that takes tells nothing of those that are listed.
func (l *layer) secret(v string) string {
	if v == "" || len(v) > maxToken {
		return ""
	}
	return l.secrets[sha256.Sum256([]byte(v))]
}

// one is a header that is there once; of two, another server may read the other.
func one(h map[string][]string, name string) string {
	if v := h[name]; len(v) == 1 {
		return v[0]
	}
	return ""
}

// cookie is the value of a cookie that is there once, in all headers together.
func cookie(h map[string][]string, name string) (value string) {
	n := 0
	for _, line := range h["Cookie"] {
		for line != "" {
			var pair string
			pair, line, _ = strings.Cut(line, ";")
			if k, v, ok := strings.Cut(strings.TrimSpace(pair), "="); ok && k == name {
				value = strings.Trim(v, `"`)
				n++
			}
		}
	}
	if n != 1 {
		return ""
	}
	return value
}

func (f *Resolver) isTrusted(a netip.Addr) bool {
	for _, p := range f.trusted {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

// client is the address that the last trusted hop has seen: hops are read from the right, each believed as long as
// the one that tells of it is trusted. What can't be read ends that, and the hop before it counts.
func (f *Resolver) client(peer netip.Addr, h map[string][]string) netip.Addr {
	if f.forwarded == "" {
		return peer
	}
	at, hops := peer, 0
	values := h[f.forwarded]
	for i := len(values) - 1; i >= 0; i-- {
		rest := values[i]
		for more := true; more; {
			var hop string
			if k := strings.LastIndexByte(rest, ','); k >= 0 {
				rest, hop = rest[:k], rest[k+1:]
			} else {
				hop, more = rest, false
			}
			a, ok := f.hop(hop)
			if hops++; !ok || hops > maxHops {
				return at
			}
			if at = a; !f.isTrusted(at) {
				return at
			}
		}
	}
	return at
}

// hop reads one hop of the forwarding header.
func (f *Resolver) hop(text string) (netip.Addr, bool) {
	text = strings.TrimSpace(text)
	if f.forwarded == "Forwarded" {
		node := ""
		for _, pair := range strings.Split(text, ";") {
			if k, v, ok := strings.Cut(strings.TrimSpace(pair), "="); ok && strings.EqualFold(k, "for") {
				if node != "" {
					return netip.Addr{}, false
				}
				node = strings.Trim(v, `"`)
			}
		}
		text = node
	}
	if rest, ok := strings.CutPrefix(text, "["); ok { // IPv6, perhaps with a port
		if text, _, ok = strings.Cut(rest, "]"); !ok {
			return netip.Addr{}, false
		}
	} else if strings.Count(text, ":") == 1 { // IPv4 with a port
		text, _, _ = strings.Cut(text, ":")
	}
	a, err := netip.ParseAddr(text)
	if err != nil || a.Zone() != "" {
		return netip.Addr{}, false
	}
	return a.Unmap(), true
}
