package secure

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"

	"cobaltward/certificates"
	"cobaltward/router"
)

// Rule says which servers use TLS, and how they are verified.
type Rule struct {
	// IDs, zones, pools and kinds of the servers to which the rule applies. An empty list matches all.
	Servers, Zones, Pools, Kinds []string

	Plaintext bool // true: the servers use no TLS
	// ServerName is the expected name in the certificate of the server. {id} and {zone} are replaced by the ID and
	// the zone of the server. An empty ServerName means the host of the server's address.
	ServerName string
	// URIs replaces ServerName: the certificate of the server must have one of these URIs. A * at the end matches any
	// suffix.
	URIs          []string
	PublicKeyPins []string // hexadecimal SHA-256 hashes; one must match the server's public key; empty: not checked
	AllowTLS12    bool
	ALPN          []string

	Trust             *certificates.Store // authorities that verify the server; may be nil if there are pins
	ClientCertificate *certificates.Store // certificate of this node; nil: none
}

// Validate returns an error if the fields of the rule contradict each other or are malformed.
func (r *Rule) Validate() error {
	if r.Plaintext {
		if r.Trust != nil || r.ClientCertificate != nil || len(r.PublicKeyPins) > 0 || len(r.URIs) > 0 ||
			r.ServerName != "" {
			return errors.New("plain: servers without TLS cannot be verified")
		}
		return nil
	}
	if r.Trust == nil && len(r.PublicKeyPins) == 0 {
		return errors.New("trust: missing: want authorities or pins by which servers are verified")
	}
	if r.ServerName != "" && len(r.URIs) > 0 {
		return errors.New("uris: servers are verified by name or by URI, not by both")
	}
	for _, uri := range r.URIs {
		if !isURIPattern(uri) {
			return fmt.Errorf("uris: want a URI such as spiffe://domain/path, with * only at its end, got %q", uri)
		}
	}
	for _, pin := range r.PublicKeyPins {
		if raw, err := hex.DecodeString(pin); err != nil || len(raw) != sha256.Size {
			return fmt.Errorf("pins: want SHA-256 in 64 hexadecimal digits, got %q", pin)
		}
	}
	return nil
}

// isURIPattern reports whether uri has a scheme and a part after it that is not only slashes and wildcards. A * is
// allowed only at the end.
func isURIPattern(uri string) bool {
	scheme, path, ok := strings.Cut(uri, "://")
	hasInnerWildcard := strings.Contains(strings.TrimSuffix(uri, "*"), "*")
	return ok && scheme != "" && strings.Trim(path, "*/") != "" && !hasInnerWildcard
}

// matchesURI reports whether uri matches pattern, an element of Rule.URIs.
func matchesURI(pattern, uri string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(uri, prefix) && len(uri) > len(prefix)
	}
	return pattern == uri
}

// matches reports whether the rule applies to endpoint.
func (r *Rule) matches(endpoint *router.Endpoint) bool {
	contains := func(list []string, value string) bool { return len(list) == 0 || slices.Contains(list, value) }
	inPools := func(pool string) bool { return slices.Contains(r.Pools, pool) }
	return contains(r.Servers, endpoint.ID) &&
		contains(r.Zones, endpoint.Zone) &&
		contains(r.Kinds, endpoint.Kind) &&
		(len(r.Pools) == 0 || slices.ContainsFunc(endpoint.Pools, inPools))
}

// serverName returns the name that the certificate of endpoint must have.
func (r *Rule) serverName(endpoint *router.Endpoint) string {
	if r.ServerName != "" {
		return strings.NewReplacer("{id}", endpoint.ID, "{zone}", endpoint.Zone).Replace(r.ServerName)
	}
	host, _, err := net.SplitHostPort(endpoint.Addr)
	if err != nil {
		return endpoint.Addr
	}
	return host
}

// digests returns a digest of the trusted authorities and a digest of this node's own certificate. A session is
// resumed only while both digests are the same as when the session was established.
func (r *Rule) digests() (trustDigest, ownDigest string) {
	if r.Trust != nil {
		trustDigest = r.Trust.Set().TrustDigest
	}
	if r.ClientCertificate != nil {
		ownDigest = r.ClientCertificate.Set().OwnDigest
	}
	return trustDigest, ownDigest
}
