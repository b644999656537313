// Package certificates loads and reloads TLS certificates with their private keys, trusted authorities, and session
// ticket keys. Input is validated before use. A Set is replaced as a whole: an error in one file leaves the previous
// Set in use.
package certificates

import (
	"crypto"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	maxFileSize           = 1 << 20 // bytes
	maxBundleCertificates = 500     // maximum number of certificates in one file
	maxDirPairs           = 256     // maximum number of certificates with keys in a directory

	certFile, keyFile = "cert.pem", "key.pem"
)

// Pair is a certificate with its chain and its private key.
type Pair struct {
	Source string // path of the certificate's file, or the name of another source
	Cert   tls.Certificate
	Leaf   *x509.Certificate
}

// ExpiresAt returns the earliest expiry of all certificates of the chain.
func (p *Pair) ExpiresAt() time.Time {
	earliest := p.Leaf.NotAfter
	for _, raw := range p.Cert.Certificate[1:] {
		if cert, err := x509.ParseCertificate(raw); err == nil && cert.NotAfter.Before(earliest) {
			earliest = cert.NotAfter
		}
	}
	return earliest
}

// LoadPair reads a certificate chain and its private key from files. The chain must be valid at now, and the key must
// match the chain. The key's file must be accessible to its owner only. Errors name the file.
func LoadPair(certPath, keyPath string, now time.Time) (*Pair, error) {
	rawChain, err := readFile(certPath)
	if err != nil {
		return nil, err
	}
	if err := checkOwnerOnly(keyPath); err != nil {
		return nil, err
	}
	rawKey, err := readFile(keyPath)
	if err != nil {
		return nil, err
	}
	return newPair(certPath, keyPath, rawChain, rawKey, now)
}

// ParsePair returns a pair from PEM data that does not come from files, by the rules of LoadPair. Errors contain
// source.
func ParsePair(source string, cert, key []byte, now time.Time) (*Pair, error) {
	return newPair(source, source, cert, key, now)
}

// newPair decodes a chain and its key. The chain must be valid at now, and the key must match the chain. certSource
// and keySource name the origins in errors.
func newPair(certSource, keySource string, rawChain, rawKey []byte, now time.Time) (*Pair, error) {
	chain, err := decodeCertificates(rawChain)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", certSource, err)
	}
	signer, err := decodePrivateKey(rawKey)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", keySource, err)
	}
	leaf := chain[0]
	public, ok := signer.Public().(interface{ Equal(crypto.PublicKey) bool })
	if !ok || !public.Equal(leaf.PublicKey) {
		return nil, fmt.Errorf("%s: key does not match certificate %s", keySource, certSource)
	}
	if err := checkChain(chain, now); err != nil {
		return nil, fmt.Errorf("%s: %w", certSource, err)
	}
	pair := &Pair{Source: certSource, Leaf: leaf, Cert: tls.Certificate{PrivateKey: signer, Leaf: leaf}}
	for _, cert := range chain {
		pair.Cert.Certificate = append(pair.Cert.Certificate, cert.Raw)
	}
	return pair, nil
}

// dnsNames returns the DNS names of the certificate in lower case, sorted and without duplicates.
func (p *Pair) dnsNames() []string {
	names := make([]string, 0, len(p.Leaf.DNSNames))
	for _, name := range p.Leaf.DNSNames {
		names = append(names, strings.ToLower(name))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// displayNames returns the DNS names, IP addresses and URIs of the certificate.
func (p *Pair) displayNames() []string {
	names := p.dnsNames()
	for _, ip := range p.Leaf.IPAddresses {
		names = append(names, ip.String())
	}
	for _, uri := range p.Leaf.URIs {
		names = append(names, uri.String())
	}
	return names
}

// LoadTrust reads a bundle of CA certificates and returns those that are valid at now. It returns an error if none is
// valid. Errors name the file.
func LoadTrust(path string, now time.Time) ([]*x509.Certificate, error) {
	raw, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseTrust(path, raw, now)
}

// ParseTrust returns the valid CA certificates in PEM data, by the rules of LoadTrust. Errors contain source.
func ParseTrust(source string, raw []byte, now time.Time) ([]*x509.Certificate, error) {
	authorities, err := decodeAuthorities(raw, now)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", source, err)
	}
	return authorities, nil
}

// LoadDir reads a directory of certificates. Each certificate has a subdirectory, or a symbolic link to one, with the
// files cert.pem and key.pem. Names that begin with a dot are skipped.
func LoadDir(dir string, now time.Time) ([]*Pair, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var pairs []*Pair
	for _, entry := range entries {
		subdir := filepath.Join(dir, entry.Name())
		if info, err := os.Stat(subdir); err != nil || !info.IsDir() || strings.HasPrefix(entry.Name(), ".") {
			continue
		}
		if len(pairs) == maxDirPairs {
			return nil, fmt.Errorf("%s: more than %d certificates", dir, maxDirPairs)
		}
		pair, err := LoadPair(filepath.Join(subdir, certFile), filepath.Join(subdir, keyFile), now)
		if err != nil {
			return nil, err
		}
		pairs = append(pairs, pair)
	}
	if len(pairs) == 0 {
		return nil, fmt.Errorf("%s: no subdirectory with %s and %s", dir, certFile, keyFile)
	}
	return pairs, nil
}
