// Package identity determines which tenant a request belongs to. It tries layers in the operator's order. A layer
// examines a header, a session cookie, a bearer token, an API key, the client's address, or a client certificate. The
// result is a configured tenant or an anonymous client. The package does no I/O and reads no clock.
//
// Secrets are stored only as SHA-256 hashes. A header that names the tenant is accepted only from trusted proxies.
// The client's address is the address that the last trusted hop has seen. The forwarding header is read from right to
// left.
package identity

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Kind is the attribute of a request that a layer examines.
type Kind uint8

// The kinds of layer.
const (
	Header      Kind = iota // header whose value is the tenant's name; accepted only from trusted proxies
	Cookie                  // session cookie, listed by its hash
	Bearer                  // bearer token in the Authorization header, listed by its hash
	APIKey                  // header whose value is a key, listed by its hash
	Address                 // client's address, listed by network prefix
	Certificate             // name in the client's certificate
)

var kindNames = [...]string{"header", "cookie", "bearer", "api key", "address", "certificate"}

// String returns the name of the kind for error messages.
func (k Kind) String() string { return kindNames[k] }

// Layer is one way to identify a tenant.
type Layer struct {
	Kind     Kind
	Name     string            // name of the header or cookie, for Header, Cookie and APIKey
	Secrets  map[string]string // tenant by hexadecimal SHA-256, for Cookie, Bearer and APIKey
	Networks map[string]string // tenant by prefix or address, for Address
	Names    map[string]string // tenant by name in the certificate, for Certificate
}

// Config configures a Resolver.
type Config struct {
	Layers  []Layer  // in order; the first layer that finds a tenant applies
	Tenants []string // names of all tenants
	Trusted []string // prefixes and addresses of proxies with trusted tenant and forwarding headers
	// Forwarded is the header that lists the hops: "X-Forwarded-For", "Forwarded", or empty for none. Only one header
	// is read. A proxy passes on headers that the proxy does not set, and a client may have forged these headers.
	Forwarded string
	IPv4Bits  int // bits of an IPv4 address that identify an anonymous client; 0: 32
	IPv6Bits  int // bits of an IPv6 address that identify an anonymous client; 0: 64, one subscriber's usual prefix
}

const (
	defaultIPv4Bits, defaultIPv6Bits = 32, 64
	minIPv4Bits, minIPv6Bits         = 8, 16
)

// layer is a Layer whose lists are compiled for lookups.
type layer struct {
	Layer
	secrets  map[[sha256.Size]byte]string // tenant by hash
	networks []networkTenant              // longest prefix first
}

type networkTenant struct {
	prefix netip.Prefix
	tenant string
}

// New compiles a configuration. Errors name the field and, for errors in a layer, the index of the layer.
func New(config Config) (*Resolver, error) {
	resolver := &Resolver{tenants: make(map[string]bool)}
	if err := resolver.setPrefixBits(config.IPv4Bits, config.IPv6Bits); err != nil {
		return nil, err
	}
	switch config.Forwarded {
	case "", "X-Forwarded-For", "Forwarded":
		resolver.forwarded = config.Forwarded
	default:
		return nil, fmt.Errorf("forwarded: want X-Forwarded-For, Forwarded or none, got %q", config.Forwarded)
	}
	for _, tenant := range config.Tenants {
		resolver.tenants[tenant] = true
	}
	for _, text := range config.Trusted {
		prefix, err := parsePrefix(text)
		if err != nil {
			return nil, fmt.Errorf("trusted: %w", err)
		}
		resolver.trusted = append(resolver.trusted, prefix)
	}
	for i, source := range config.Layers {
		compiled, err := resolver.compileLayer(source)
		if err != nil {
			return nil, fmt.Errorf("layer %d (%v): %w", i, source.Kind, err)
		}
		resolver.layers = append(resolver.layers, compiled)
	}
	return resolver, nil
}

func (r *Resolver) setPrefixBits(ipv4Bits, ipv6Bits int) error {
	if ipv4Bits == 0 {
		ipv4Bits = defaultIPv4Bits
	}
	if ipv6Bits == 0 {
		ipv6Bits = defaultIPv6Bits
	}
	if ipv4Bits < minIPv4Bits || ipv4Bits > 32 || ipv6Bits < minIPv6Bits || ipv6Bits > 128 {
		return fmt.Errorf("bits: want 8 to 32 for IPv4 and 16 to 128 for IPv6, got %d and %d", ipv4Bits, ipv6Bits)
	}
	r.ipv4Bits, r.ipv6Bits = ipv4Bits, ipv6Bits
	return nil
}

// compileLayer validates a layer and compiles its lists. Errors begin with the name of the invalid key.
func (r *Resolver) compileLayer(source Layer) (layer, error) {
	compiled := layer{Layer: source, secrets: make(map[[sha256.Size]byte]string)}
	needsName := source.Kind == Header || source.Kind == Cookie || source.Kind == APIKey
	if needsName && source.Name == "" {
		return layer{}, errors.New("name: missing")
	}
	if source.Kind == Header && len(r.trusted) == 0 {
		return layer{}, errors.New("name: no trusted proxies, so any client could claim to be any tenant")
	}
	for text, tenant := range source.Secrets {
		if err := r.addSecret(&compiled, text, tenant); err != nil {
			return layer{}, fmt.Errorf("secrets: %w", err)
		}
	}
	if source.Kind == Certificate && len(source.Names) == 0 {
		return layer{}, errors.New("names: missing")
	}
	for name, tenant := range source.Names {
		if name == "" || !r.tenants[tenant] {
			return layer{}, fmt.Errorf("names: %q: unknown tenant %q", name, tenant)
		}
	}
	for text, tenant := range source.Networks {
		if err := r.addNetwork(&compiled, text, tenant); err != nil {
			return layer{}, fmt.Errorf("nets: %w", err)
		}
	}
	return compiled, nil
}

func (r *Resolver) addSecret(compiled *layer, text, tenant string) error {
	hash, err := hex.DecodeString(text)
	if err != nil || len(hash) != sha256.Size {
		return errors.New("want SHA-256 in 64 hexadecimal digits")
	}
	if !r.tenants[tenant] {
		return fmt.Errorf("unknown tenant %q", tenant)
	}
	compiled.secrets[[sha256.Size]byte(hash)] = tenant
	return nil
}

func (r *Resolver) addNetwork(compiled *layer, text, tenant string) error {
	prefix, err := parsePrefix(text)
	if err != nil {
		return err
	}
	if !r.tenants[tenant] {
		return fmt.Errorf("unknown tenant %q", tenant)
	}
	at := slices.IndexFunc(compiled.networks, func(other networkTenant) bool {
		return other.prefix.Bits() <= prefix.Bits()
	})
	if at < 0 {
		at = len(compiled.networks)
	}
	compiled.networks = slices.Insert(compiled.networks, at, networkTenant{prefix, tenant})
	return nil
}

// parsePrefix parses a prefix without host bits. An address is parsed as a prefix of full length.
func parsePrefix(text string) (netip.Prefix, error) {
	if !strings.Contains(text, "/") {
		addr, err := netip.ParseAddr(text)
		if err != nil {
			return netip.Prefix{}, fmt.Errorf("want an address or a prefix, got %q", text)
		}
		return netip.PrefixFrom(addr, addr.BitLen()), nil
	}
	prefix, err := netip.ParsePrefix(text)
	if err != nil || prefix != prefix.Masked() {
		return netip.Prefix{}, fmt.Errorf("want an address, or a prefix without host bits, got %q", text)
	}
	return prefix, nil
}
