// Package pki issues certificates for tests and benchmarks. The daemon does not link it. The package panics if
// crypto/x509 rejects a certificate, because that is a fault of the test.
package pki

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"sync/atomic"
	"time"
)

// Kinds of keys.
const (
	P256    = "P-256"
	RSA2048 = "RSA-2048"
	Ed25519 = "Ed25519"
)

var serial atomic.Int64

// Authority is a certificate authority with its key.
type Authority struct {
	Cert *x509.Certificate
	Key  crypto.Signer
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// NewKey returns a new key of the kind. An unknown kind gives a P256 key.
func NewKey(kind string) crypto.Signer {
	switch kind {
	case RSA2048:
		return must(rsa.GenerateKey(rand.Reader, 2048))
	case Ed25519:
		_, key, err := ed25519.GenerateKey(rand.Reader)
		return must(key, err)
	}
	return must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
}

func sign(tmpl *x509.Certificate, public crypto.PublicKey, issuer *Authority) *x509.Certificate {
	tmpl.SerialNumber = big.NewInt(serial.Add(1))
	raw := must(x509.CreateCertificate(rand.Reader, tmpl, issuer.Cert, public, issuer.Key))
	return must(x509.ParseCertificate(raw))
}

func authorityTemplate(name string, from, to time.Time) *x509.Certificate {
	return &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, NotBefore: from, NotAfter: to,
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
}

// NewAuthorityBetween returns a self-signed authority that is valid between from and to.
func NewAuthorityBetween(name string, from, to time.Time) *Authority {
	a := &Authority{Key: NewKey(P256)}
	tmpl := authorityTemplate(name, from, to)
	a.Cert = sign(tmpl, a.Key.Public(), &Authority{tmpl, a.Key})
	return a
}

// NewAuthority returns a self-signed authority that is valid from a year ago until a year from now.
func NewAuthority(name string) *Authority {
	return NewAuthorityBetween(name, time.Now().AddDate(-1, 0, 0), time.Now().AddDate(1, 0, 0))
}

// NewIntermediate returns an intermediate authority. Its certificate is signed by a, and is valid for the same time
// as the certificate of a.
func (a *Authority) NewIntermediate(name string) *Authority {
	intermediate := &Authority{Key: NewKey(P256)}
	intermediate.Cert = sign(authorityTemplate(name, a.Cert.NotBefore, a.Cert.NotAfter), intermediate.Key.Public(), a)
	return intermediate
}

// CrossSign returns a certificate for the key of other, signed by a.
func (a *Authority) CrossSign(other *Authority) *x509.Certificate {
	return sign(authorityTemplate(other.Cert.Subject.CommonName, a.Cert.NotBefore, a.Cert.NotAfter), other.Key.Public(), a)
}

// Leaf describes an end-entity certificate that clients and servers can present.
type Leaf struct {
	From, To time.Time // validity; zero: from an hour ago until 30 days from now
	Names    []string  // subject alternative names: DNS names, IP addresses and URIs
	KeyKind  string    // empty: P256
	Subject  string    // common name
	Padding  int       // size in bytes of an extension that makes the certificate larger
}

// Pair is a certificate with its key.
type Pair struct {
	Cert *x509.Certificate
	Key  crypto.Signer
}

// paddingExtension is the object identifier of the padding, in the range for private enterprises. Verifiers ignore
// the extension.
var paddingExtension = []int{1, 3, 6, 1, 4, 1, 99999, 1}

// addName adds name as a subject alternative name. The type is URI, IP address or DNS name, depending on name.
func addName(tmpl *x509.Certificate, name string) {
	if u, err := url.Parse(name); err == nil && u.Scheme != "" && u.Host != "" {
		tmpl.URIs = append(tmpl.URIs, u)
	} else if ip := net.ParseIP(name); ip != nil {
		tmpl.IPAddresses = append(tmpl.IPAddresses, ip)
	} else {
		tmpl.DNSNames = append(tmpl.DNSNames, name)
	}
}

// Issue returns a certificate with a new key, signed by a.
func (a *Authority) Issue(leaf Leaf) Pair {
	if leaf.From.IsZero() {
		leaf.From = time.Now().Add(-time.Hour)
	}
	if leaf.To.IsZero() {
		leaf.To = time.Now().AddDate(0, 0, 30)
	}
	tmpl := &x509.Certificate{
		NotBefore: leaf.From, NotAfter: leaf.To, Subject: pkix.Name{CommonName: leaf.Subject},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, name := range leaf.Names {
		addName(tmpl, name)
	}
	if leaf.Padding > 0 {
		tmpl.ExtraExtensions = []pkix.Extension{{Id: paddingExtension, Value: make([]byte, leaf.Padding)}}
	}
	key := NewKey(leaf.KeyKind)
	return Pair{sign(tmpl, key.Public(), a), key}
}

// PEM returns certs in PEM, in the given order.
func PEM(certs ...*x509.Certificate) (text []byte) {
	for _, c := range certs {
		text = append(text, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})...)
	}
	return text
}

// PEM returns the authority's certificate in PEM.
func (a *Authority) PEM() []byte { return PEM(a.Cert) }

// KeyPEM returns the pair's key in PEM, as PKCS #8.
func (p Pair) KeyPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: must(x509.MarshalPKCS8PrivateKey(p.Key))})
}

// TLS returns the pair for crypto/tls, followed by the certificates of chain.
func (p Pair) TLS(chain ...*x509.Certificate) tls.Certificate {
	cert := tls.Certificate{PrivateKey: p.Key, Leaf: p.Cert, Certificate: [][]byte{p.Cert.Raw}}
	for _, issuer := range chain {
		cert.Certificate = append(cert.Certificate, issuer.Raw)
	}
	return cert
}
