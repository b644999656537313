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

	Plain bool     // without TLS
	Name  string   // that the server's certificate is for; {id} and {zone} stand for the server's; empty: its host
	URIs  []string // in place of the name: one of these is in the certificate; a * at the end stands for any rest
	Pins  []string // SHA-256 of the public key in hexadecimal: the server has one of them
	TLS12 bool     // 1.2 is taken, too
	ALPN  []string

	Trust *certificates.Store // authorities; nil where pins alone hold
	Own   *certificates.Store // the certificate that this node shows; nil: none
}

// Check tells what is wrong with a rule.
func (r *Rule) Check() error {
	if r.Plain {
		if r.Trust != nil || r.Own != nil || len(r.Pins) > 0 || len(r.URIs) > 0 || r.Name != "" {
			return errors.New("plain: servers that are spoken to without TLS prove nothing")
		}
		return nil
	}
	if r.Trust == nil && len(r.Pins) == 0 {
		return errors.New("trust: missing: by which authorities, or which pins, do servers prove who they are?")
	}
	if r.Name != "" && len(r.URIs) > 0 {
		return errors.New("uris: a server is known by its name or by its URI, not by both")
	}
	for _, u := range r.URIs {
		if scheme, rest, ok := strings.Cut(u, "://"); !ok || scheme == "" || strings.Trim(rest, "*/") == "" || strings.Contains(strings.TrimSuffix(u, "*"), "*") {
			return fmt.Errorf("uris: want a URI as in spiffe://domain/path, with a * at its end at most, got %q", u)
		}
	}
	for _, p := range r.Pins {
		if raw, err := hex.DecodeString(p); err != nil || len(raw) != sha256.Size {
			return fmt.Errorf("pins: want SHA-256 in 64 hexadecimal digits, got %q", p)
		}
	}
	return nil
}

func (r *Rule) fits(m *router.Endpoint) bool {
	in := func(list []string, v string) bool { return len(list) == 0 || slices.Contains(list, v) }
	return in(r.Servers, m.ID) && in(r.Zones, m.Zone) && in(r.Kinds, m.Kind) &&
		(len(r.Pools) == 0 || slices.ContainsFunc(m.Pools, func(p string) bool { return slices.Contains(r.Pools, p) }))
}

// name is the one that m's certificate has to be for.
func (r *Rule) name(m *router.Endpoint) string {
	if r.Name == "" {
		host, _, err := net.SplitHostPort(m.Addr)
		if err != nil {
			return m.Addr
		}
		return host
	}
	return strings.NewReplacer("{id}", m.ID, "{zone}", m.Zone).Replace(r.Name)
}

// stamp is what a session holds under: another trust, or another certificate of ours, and it is not taken up again.
func (r *Rule) stamp() (trust, own string) {
	if r.Trust != nil {
		trust = r.Trust.Set().Digest
	}
	if r.Own != nil {
		own = r.Own.Set().Own
	}
	return trust, own
}

// The ways in which a server fails to prove who it is, as status counts them.
const (
	whyExpired   = "expired"
	whyNotYet    = "not yet valid"
	whyAuthority = "unknown authority"
	whyName      = "another name"
	whyURI       = "another identity"
	whyPin       = "not the pinned key"
	whyNone      = "no certificate"
	whyChain     = "the chain does not hold"
	whyNoTLS     = "answers without TLS"
	whyTooLong   = "sends too much"
	whyAlert     = "will not agree"
)

// UntrustedError says that a server could not prove who it is. Nothing was sent to it.
type UntrustedError struct {
	Why    string // one of few, for counting
	Detail string
}

// Error tells both.
func (e *UntrustedError) Error() string { return e.Why + ": " + e.Detail }

// span is a time in which something holds.
type span struct{ from, until time.Time }

// holds goes by the wall clock, also where it was set.
func (s span) holds(now time.Time) bool { return !now.Before(s.from) && !now.After(s.until) }

// verify tells whether the chain that a server showed proves that it is m, and for which time that holds.
func (r *Rule) verify(m *router.Endpoint, chain []*x509.Certificate, now time.Time) (span, error) {
	if len(chain) == 0 {
		return span{}, &UntrustedError{whyNone, "it shows none"}
	}
	leaf := chain[0]
	whole := span{leaf.NotBefore, leaf.NotAfter}
	switch {
	case now.Before(leaf.NotBefore):
		return span{}, &UntrustedError{whyNotYet, "valid from " + leaf.NotBefore.UTC().Format(time.RFC3339)}
	case now.After(leaf.NotAfter):
		return span{}, &UntrustedError{whyExpired, "it ended at " + leaf.NotAfter.UTC().Format(time.RFC3339)}
	}
	if len(r.Pins) > 0 {
		sum := sha256.Sum256(leaf.RawSubjectPublicKeyInfo)
		if pin := hex.EncodeToString(sum[:]); !slices.ContainsFunc(r.Pins, func(p string) bool { return strings.EqualFold(p, pin) }) {
			return span{}, &UntrustedError{whyPin, "its key is " + pin}
		}
	}
	if r.Trust != nil {
		pool := r.Trust.Set().Pool
		if pool == nil { // nothing was handed yet; crypto/x509 would go by the system's authorities
			return span{}, &UntrustedError{whyAuthority, "no authority is known yet"}
		}
		o := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
		for _, c := range chain[1:] {
			o.Intermediates.AddCert(c)
		}
		chains, err := leaf.Verify(o)
		if err != nil {
			return span{}, refusal(err)
		}
		whole = longest(chains)
	}
	if len(r.URIs) > 0 {
		for _, u := range leaf.URIs {
			if slices.ContainsFunc(r.URIs, func(want string) bool { return fitsURI(want, u.String()) }) {
				return whole, nil
			}
		}
		return span{}, &UntrustedError{whyURI, fmt.Sprintf("it is %v", leaf.URIs)}
	}
	if len(r.Pins) > 0 && r.Name == "" { // the key says who it is
		return whole, nil
	}
	if err := leaf.VerifyHostname(r.name(m)); err != nil {
		return span{}, &UntrustedError{whyName, err.Error()}
	}
	return whole, nil
}

// longest is the time in which one of the chains holds: that of the one that ends last.
func longest(chains [][]*x509.Certificate) (best span) {
	for _, chain := range chains {
		s := span{chain[0].NotBefore, chain[0].NotAfter}
		for _, c := range chain[1:] {
			if c.NotBefore.After(s.from) {
				s.from = c.NotBefore
			}
			if c.NotAfter.Before(s.until) {
				s.until = c.NotAfter
			}
		}
		if s.until.After(best.until) {
			best = s
		}
	}
	return best
}

func fitsURI(want, got string) bool {
	if head, ok := strings.CutSuffix(want, "*"); ok {
		return strings.HasPrefix(got, head) && len(got) > len(head)
	}
	return want == got
}

// refusal names what x509 found.
func refusal(err error) *UntrustedError {
	var unknown x509.UnknownAuthorityError
	var invalid x509.CertificateInvalidError
	switch {
	case errors.As(err, &unknown):
		return &UntrustedError{whyAuthority, err.Error()}
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired: // of the chain: the leaf was looked at
		return &UntrustedError{whyExpired, "in its chain: " + err.Error()}
	}
	return &UntrustedError{whyChain, err.Error()}
}

// failure tells a server that could not prove who it is from a connection that failed.
func failure(err error) error {
	var untrusted *UntrustedError
	var header tls.RecordHeaderError
	switch {
	case errors.As(err, &untrusted):
		return untrusted
	case errors.As(err, &header):
		return &UntrustedError{whyNoTLS, header.Msg}
	case handshakes.RemoteAlert(err) != "" && handshakes.RemoteAlert(err) != alertInternal:
		return &UntrustedError{whyAlert, handshakes.RemoteAlert(err)}
	}
	return err
}

// alertInternal is a server's own trouble, and nothing of who it is.
const alertInternal = "tls: internal error"
