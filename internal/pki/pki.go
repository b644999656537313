// Package pki is a stand-in for an authority: tests and measurements have their certificates from it. Nothing of a
// node links it. What can't fail but for want of memory panics.
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

// The kinds of key.
const (
	P256    = "P-256"
	RSA2048 = "RSA-2048"
	Ed25519 = "Ed25519"
)

var serial atomic.Int64

// Authority signs.
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

// NewKey makes a key of a kind.
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

func sign(tmpl *x509.Certificate, public crypto.PublicKey, by *Authority) *x509.Certificate {
	tmpl.SerialNumber = big.NewInt(serial.Add(1))
	raw := must(x509.CreateCertificate(rand.Reader, tmpl, by.Cert, public, by.Key))
	return must(x509.ParseCertificate(raw))
}

func authority(name string, from, to time.Time) *x509.Certificate {
	return &x509.Certificate{Subject: pkix.Name{CommonName: name}, NotBefore: from, NotAfter: to, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
}

// New makes an authority that nobody signs for but itself.
func New(name string, from, to time.Time) *Authority {
	a := &Authority{Key: NewKey(P256)}
	tmpl := authority(name, from, to)
	a.Cert = sign(tmpl, a.Key.Public(), &Authority{tmpl, a.Key})
	return a
}

// Year is an authority in force since a year ago, for a year.
func Year(name string) *Authority {
	return New(name, time.Now().AddDate(-1, 0, 0), time.Now().AddDate(1, 0, 0))
}

// Under makes an authority that a signs for.
func (a *Authority) Under(name string) *Authority {
	u := &Authority{Key: NewKey(P256)}
	u.Cert = sign(authority(name, a.Cert.NotBefore, a.Cert.NotAfter), u.Key.Public(), a)
	return u
}

// Cross is the certificate by which a signs for another authority's key.
func (a *Authority) Cross(other *Authority) *x509.Certificate {
	return sign(authority(other.Cert.Subject.CommonName, a.Cert.NotBefore, a.Cert.NotAfter), other.Key.Public(), a)
}

// Leaf is what a certificate is for.
type Leaf struct {
	From, To time.Time // zero: an hour ago, in 30 days
	Names    []string  // names, addresses and URIs
	Kind     string    // of key; empty: P-256
	Subject  string
	Padding  int // bytes that it is longer by
}

// Pair is a certificate with its key.
type Pair struct {
	Cert *x509.Certificate
	Key  crypto.Signer
}

// Issue makes a certificate.
func (a *Authority) Issue(l Leaf) Pair {
	if l.From.IsZero() {
		l.From = time.Now().Add(-time.Hour)
	}
	if l.To.IsZero() {
		l.To = time.Now().AddDate(0, 0, 30)
	}
	tmpl := &x509.Certificate{
		NotBefore: l.From, NotAfter: l.To, Subject: pkix.Name{CommonName: l.Subject},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, n := range l.Names {
		if u, err := url.Parse(n); err == nil && u.Scheme != "" && u.Host != "" {
			tmpl.URIs = append(tmpl.URIs, u)
		} else if ip := net.ParseIP(n); ip != nil {
			tmpl.IPAddresses = append(tmpl.IPAddresses, ip)
		} else {
			tmpl.DNSNames = append(tmpl.DNSNames, n)
		}
	}
	if l.Padding > 0 {
		tmpl.ExtraExtensions = []pkix.Extension{{Id: []int{1, 3, 6, 1, 4, 1, 99999, 1}, Value: make([]byte, l.Padding)}}
	}
	key := NewKey(l.Kind)
	return Pair{sign(tmpl, key.Public(), a), key}
}

// PEM is certificates as files hold them.
func PEM(certs ...*x509.Certificate) (text []byte) {
	for _, c := range certs {
		text = append(text, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})...)
	}
	return text
}

// PEM is an authority's certificate.
func (a *Authority) PEM() []byte { return PEM(a.Cert) }

// KeyPEM is the pair's key as files hold it.
func (p Pair) KeyPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: must(x509.MarshalPKCS8PrivateKey(p.Key))})
}

// TLS is the pair with the rest of its chain, as crypto/tls has it.
func (p Pair) TLS(chain ...*x509.Certificate) tls.Certificate {
	c := tls.Certificate{PrivateKey: p.Key, Leaf: p.Cert, Certificate: [][]byte{p.Cert.Raw}}
	for _, more := range chain {
		c.Certificate = append(c.Certificate, more.Raw)
	}
	return c
}
