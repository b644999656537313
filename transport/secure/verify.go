package secure

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"cobaltward/router"
)

// maxVerified is the maximum number of cached verifications.
const maxVerified = 2048

// verificationKey is the key of a cached verification. It contains everything that the result depends on, except the
// time.
type verificationKey struct {
	chainHash   [sha256.Size]byte
	rule        *Rule
	trustDigest string
	serverName  string
}

// validity is the period in which a certificate chain is valid.
type validity struct{ notBefore, notAfter time.Time }

// contains reports whether now is within the period. It compares wall-clock times, so that a step of the clock takes
// effect.
func (v validity) contains(now time.Time) bool {
	return !now.Before(v.notBefore) && !now.After(v.notAfter)
}

// verify is Rule.verify with a cache. Most connections of a server present the same chain.
func (l *ClientTLS) verify(rule *Rule, endpoint *router.Endpoint, chain []*x509.Certificate) (validity, error) {
	now := time.Now()
	key := verificationKey{rule: rule, serverName: rule.serverName(endpoint)}
	key.trustDigest, _ = rule.digests()
	hash := sha256.New()
	for _, certificate := range chain {
		_, _ = hash.Write(certificate.Raw)
	}
	hash.Sum(key.chainHash[:0])

	l.mu.Lock()
	cached, ok := l.verified[key]
	l.mu.Unlock()
	if ok && cached.contains(now) {
		return cached, nil
	}
	verified, err := rule.verify(endpoint, chain, now)
	if err != nil {
		return validity{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.verified) >= maxVerified {
		clear(l.verified)
	}
	l.verified[key] = verified
	return verified, nil
}

// verify checks that chain proves the identity of endpoint. It returns the period in which chain is valid. All errors
// are of type *UntrustedError.
func (r *Rule) verify(endpoint *router.Endpoint, chain []*x509.Certificate, now time.Time) (validity, error) {
	if len(chain) == 0 {
		return validity{}, &UntrustedError{reasonNoCertificate, "the server presented none"}
	}
	leaf := chain[0]
	if err := checkExpiry(leaf, now); err != nil {
		return validity{}, err
	}
	if err := r.checkPin(leaf); err != nil {
		return validity{}, err
	}
	valid := validity{leaf.NotBefore, leaf.NotAfter}
	if r.Trust != nil {
		var err error
		if valid, err = r.verifyChain(chain, now); err != nil {
			return validity{}, err
		}
	}
	if err := r.checkIdentity(endpoint, leaf); err != nil {
		return validity{}, err
	}
	return valid, nil
}

func checkExpiry(leaf *x509.Certificate, now time.Time) error {
	switch {
	case now.Before(leaf.NotBefore):
		return &UntrustedError{reasonNotYetValid, "valid from " + leaf.NotBefore.UTC().Format(time.RFC3339)}
	case now.After(leaf.NotAfter):
		return &UntrustedError{reasonExpired, "valid until " + leaf.NotAfter.UTC().Format(time.RFC3339)}
	}
	return nil
}

// checkPin checks that the public key of leaf matches one of the pins, if the rule has pins.
func (r *Rule) checkPin(leaf *x509.Certificate) error {
	if len(r.PublicKeyPins) == 0 {
		return nil
	}
	sum := sha256.Sum256(leaf.RawSubjectPublicKeyInfo)
	pin := hex.EncodeToString(sum[:])
	if !slices.ContainsFunc(r.PublicKeyPins, func(p string) bool { return strings.EqualFold(p, pin) }) {
		return &UntrustedError{reasonWrongKey, "the pin of its public key is " + pin}
	}
	return nil
}

// verifyChain verifies chain against the authorities of the rule, and returns its validity.
func (r *Rule) verifyChain(chain []*x509.Certificate, now time.Time) (validity, error) {
	roots := r.Trust.Set().Pool
	if roots == nil { // with nil roots, crypto/x509 would trust the authorities of the operating system
		return validity{}, &UntrustedError{reasonUnknownAuthority, "no authorities are loaded yet"}
	}
	options := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: x509.NewCertPool(),
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, intermediate := range chain[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	chains, err := chain[0].Verify(options)
	if err != nil {
		return validity{}, chainError(err)
	}
	return longestValidity(chains), nil
}

// longestValidity returns the validity of the chain that expires last.
func longestValidity(chains [][]*x509.Certificate) (longest validity) {
	for _, chain := range chains {
		valid := validity{chain[0].NotBefore, chain[0].NotAfter}
		for _, certificate := range chain[1:] {
			if certificate.NotBefore.After(valid.notBefore) {
				valid.notBefore = certificate.NotBefore
			}
			if certificate.NotAfter.Before(valid.notAfter) {
				valid.notAfter = certificate.NotAfter
			}
		}
		if valid.notAfter.After(longest.notAfter) {
			longest = valid
		}
	}
	return longest
}

// checkIdentity checks the URIs or the name in leaf. The pin is enough if the rule has pins but neither URIs nor a
// ServerName.
func (r *Rule) checkIdentity(endpoint *router.Endpoint, leaf *x509.Certificate) error {
	if len(r.URIs) > 0 {
		if !slices.ContainsFunc(leaf.URIs, r.matchesAnyURI) {
			return &UntrustedError{reasonWrongURI, fmt.Sprintf("the URIs of its certificate are %v", leaf.URIs)}
		}
		return nil
	}
	if len(r.PublicKeyPins) > 0 && r.ServerName == "" {
		return nil
	}
	if err := leaf.VerifyHostname(r.serverName(endpoint)); err != nil {
		return &UntrustedError{reasonWrongName, err.Error()}
	}
	return nil
}

func (r *Rule) matchesAnyURI(uri *url.URL) bool {
	return slices.ContainsFunc(r.URIs, func(pattern string) bool { return matchesURI(pattern, uri.String()) })
}
