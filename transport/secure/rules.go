// Package secure is TLS towards servers: who is spoken to by it, how each proves who it is, which sessions are kept,
// and what becomes of those that can't prove it. Transports hand it the connections that they make.
package secure

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"cobaltward/certificates"
	"cobaltward/handshakes"
	"cobaltward/router"
)

// Rule says how some servers are spoken to. The first that fits a server holds for it.
type Rule struct {
	// Who it is for; what is empty fits all.
	Servers, Zones, Pools, Kinds []string

	Plaintext     bool     // without TLS
	ServerName    string   // that the server's certificate is for; {id} and {zone} stand for the server's; empty: its host
	URIs          []string // in place of the name: one of these is in the certificate; a * at the end stands for any rest
	PublicKeyPins []string // SHA-256 of the public key in hexadecimal: the server has one of them
	AllowTLS12    bool     // 1.2 is taken, too
	ALPN          []string

	Trust             *certificates.Store // authorities; nil where pins alone hold
	ClientCertificate *certificates.Store // the certificate that this node shows; nil: none
}

// Validate tells what is wrong with a rule.
func (r *Rule) Validate() error {
	if r.Plaintext {
		if r.Trust != nil || r.ClientCertificate != nil || len(r.PublicKeyPins) > 0 || len(r.URIs) > 0 || r.ServerName != "" {
			return errors.New("plain: servers that are spoken to without TLS prove nothing")
		}
		return nil
	}
	if r.Trust == nil && len(r.PublicKeyPins) == 0 {
		return errors.New("trust: missing: by which authorities, or which pins, do servers prove who they are?")
	}
	if r.ServerName != "" && len(r.URIs) > 0 {
		return errors.New("uris: a server is known by its name or by its URI, not by both")
	}
	for _, u := range r.URIs {
		if scheme, rest, ok := strings.Cut(u, "://"); !ok || scheme == "" || strings.Trim(rest, "*/") == "" || strings.Contains(strings.TrimSuffix(u, "*"), "*") {
			return fmt.Errorf("uris: want a URI as in spiffe://domain/path, with a * at its end at most, got %q", u)
		}
	}
	for _, p := range r.PublicKeyPins {
		if raw, err := hex.DecodeString(p); err != nil || len(raw) != sha256.Size {
			return fmt.Errorf("pins: want SHA-256 in 64 hexadecimal digits, got %q", p)
		}
	}
	return nil
}

func (r *Rule) matches(m *router.Endpoint) bool {
	in := func(list []string, v string) bool { return len(list) == 0 || slices.Contains(list, v) }
	return in(r.Servers, m.ID) && in(r.Zones, m.Zone) && in(r.Kinds, m.Kind) &&
		(len(r.Pools) == 0 || slices.ContainsFunc(m.Pools, func(p string) bool { return slices.Contains(r.Pools, p) }))
}

// serverName is the one that m's certificate has to be for.
func (r *Rule) serverName(m *router.Endpoint) string {
	if r.ServerName == "" {
		host, _, err := net.SplitHostPort(m.Addr)
		if err != nil {
			return m.Addr
		}
		return host
	}
	return strings.NewReplacer("{id}", m.ID, "{zone}", m.Zone).Replace(r.ServerName)
}

// digests is what a session holds under: another trust, or another certificate of ours, and it is not taken up again.
func (r *Rule) digests() (trust, own string) {
	if r.Trust != nil {
		trust = r.Trust.Set().Digest
	}
	if r.ClientCertificate != nil {
		own = r.ClientCertificate.Set().Own
	}
	return trust, own
}

// The ways in which a server fails to prove who it is, as status counts them.
const (
	reasonExpired          = "expired"
	reasonNotYetValid      = "not yet valid"
	reasonUnknownAuthority = "unknown authority"
	reasonWrongName        = "another name"
	reasonWrongURI         = "another identity"
	reasonWrongKey         = "not the pinned key"
	reasonNoCertificate    = "no certificate"
	reasonInvalidChain     = "the chain does not hold"
	reasonNoTLS            = "answers without TLS"
	reasonTooMuchData      = "sends too much"
	reasonAlert            = "will not agree"
)

// UntrustedError says that a server could not prove who it is. Nothing was sent to it.
type UntrustedError struct {
	Reason string // one of few, for counting
	Detail string
}

// Error tells both.
func (e *UntrustedError) Error() string { return e.Reason + ": " + e.Detail }

// validity is a time in which something holds.
type validity struct{ notBefore, notAfter time.Time }

// contains goes by the wall clock, also where it was set.
func (s validity) contains(now time.Time) bool {
	return !now.Before(s.notBefore) && !now.After(s.notAfter)
}

// verify tells whether the chain that a server showed proves that it is m, and for which time that holds.
func (r *Rule) verify(m *router.Endpoint, chain []*x509.Certificate, now time.Time) (validity, error) {
	if len(chain) == 0 {
		return validity{}, &UntrustedError{reasonNoCertificate, "it shows none"}
	}
	leaf := chain[0]
	whole := validity{leaf.NotBefore, leaf.NotAfter}
	switch {
	case now.Before(leaf.NotBefore):
		return validity{}, &UntrustedError{reasonNotYetValid, "valid from " + leaf.NotBefore.UTC().Format(time.RFC3339)}
	case now.After(leaf.NotAfter):
		return validity{}, &UntrustedError{reasonExpired, "it ended at " + leaf.NotAfter.UTC().Format(time.RFC3339)}
	}
	if len(r.PublicKeyPins) > 0 {
		sum := sha256.Sum256(leaf.RawSubjectPublicKeyInfo)
		if pin := hex.EncodeToString(sum[:]); !slices.ContainsFunc(r.PublicKeyPins, func(p string) bool { return strings.EqualFold(p, pin) }) {
			return validity{}, &UntrustedError{reasonWrongKey, "its key is " + pin}
		}
	}
	if r.Trust != nil {
		pool := r.Trust.Set().Pool
		if pool == nil { // nothing was handed yet; crypto/x509 would go by the system's authorities
			return validity{}, &UntrustedError{reasonUnknownAuthority, "no authority is known yet"}
		}
		o := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
		for _, c := range chain[1:] {
			o.Intermediates.AddCert(c)
		}
		chains, err := leaf.Verify(o)
		if err != nil {
			return validity{}, chainError(err)
		}
		whole = longestValidity(chains)
	}
	if len(r.URIs) > 0 {
		for _, u := range leaf.URIs {
			if slices.ContainsFunc(r.URIs, func(want string) bool { return matchesURI(want, u.String()) }) {
				return whole, nil
			}
		}
		return validity{}, &UntrustedError{reasonWrongURI, fmt.Sprintf("it is %v", leaf.URIs)}
	}
	if len(r.PublicKeyPins) > 0 && r.ServerName == "" { // the key says who it is
		return whole, nil
	}
	if err := leaf.VerifyHostname(r.serverName(m)); err != nil {
		return validity{}, &UntrustedError{reasonWrongName, err.Error()}
	}
	return whole, nil
}

// longestValidity is the time in which one of the chains holds: that of the one that ends last.
func longestValidity(chains [][]*x509.Certificate) (best validity) {
	for _, chain := range chains {
		s := validity{chain[0].NotBefore, chain[0].NotAfter}
		for _, c := range chain[1:] {
			if c.NotBefore.After(s.notBefore) {
				s.notBefore = c.NotBefore
			}
			if c.NotAfter.Before(s.notAfter) {
				s.notAfter = c.NotAfter
			}
		}
		if s.notAfter.After(best.notAfter) {
			best = s
		}
	}
	return best
}

func matchesURI(want, got string) bool {
	if head, ok := strings.CutSuffix(want, "*"); ok {
		return strings.HasPrefix(got, head) && len(got) > len(head)
	}
	return want == got
}

// chainError names what x509 found.
func chainError(err error) *UntrustedError {
	var unknown x509.UnknownAuthorityError
	var invalid x509.CertificateInvalidError
	switch {
	case errors.As(err, &unknown):
		return &UntrustedError{reasonUnknownAuthority, err.Error()}
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired: // of the chain: the leaf was looked at
		return &UntrustedError{reasonExpired, "in its chain: " + err.Error()}
	}
	return &UntrustedError{reasonInvalidChain, err.Error()}
}

// classifyError tells a server that could not prove who it is from a connection that failed.
func classifyError(err error) error {
	var untrusted *UntrustedError
	var header tls.RecordHeaderError
	switch {
	case errors.As(err, &untrusted):
		return untrusted
	case errors.As(err, &header):
		return &UntrustedError{reasonNoTLS, header.Msg}
	case handshakes.RemoteAlert(err) != "" && handshakes.RemoteAlert(err) != alertInternal:
		return &UntrustedError{reasonAlert, handshakes.RemoteAlert(err)}
	}
	return err
}

// alertInternal is a server's own trouble, and nothing of who it is.
const alertInternal = "tls: internal error"
