// Package certificates holds what TLS goes by: certificates with their keys, and the authorities that are trusted. It reads
// files whole, refuses what would not hold, and swaps all of it at once: a set that is wrong in one place changes nothing.
package certificates

import (
	"bytes"
	"crypto"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	maxFile  = 1 << 20 // bytes of a file
	maxCerts = 500     // in a bundle
	maxNames = 256     // certificates in a directory

	certFile, keyFile = "cert.pem", "key.pem"
)

// Pair is a certificate with its chain and its key.
type Pair struct {
	Source string // the file of the certificate
	Cert   tls.Certificate
	Leaf   *x509.Certificate
}

// ExpiresAt is when the first certificate of the chain ends.
func (p *Pair) ExpiresAt() time.Time {
	end := p.Leaf.NotAfter
	for _, raw := range p.Cert.Certificate[1:] {
		if c, err := x509.ParseCertificate(raw); err == nil && c.NotAfter.Before(end) {
			end = c.NotAfter
		}
	}
	return end
}

// LoadPair reads a certificate with its chain, and its key, as they have to hold at a moment. Errors name the file.
func LoadPair(cert, key string, now time.Time) (*Pair, error) {
	chain, err := read(cert)
	if err != nil {
		return nil, err
	}
	if err := closed(key); err != nil {
		return nil, err
	}
	raw, err := read(key)
	if err != nil {
		return nil, err
	}
	return pairOf(cert, key, chain, raw, now)
}

// ParsePair is LoadPair for what comes from elsewhere than files. Errors name the source.
func ParsePair(source string, cert, key []byte, now time.Time) (*Pair, error) {
	return pairOf(source, source, cert, key, now)
}

func pairOf(cert, key string, rawCert, rawKey []byte, now time.Time) (*Pair, error) {
	chain, err := certificates(cert, rawCert)
	if err != nil {
		return nil, err
	}
	signer, err := privateKey(rawKey)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	leaf := chain[0]
	if public, ok := signer.Public().(interface{ Equal(crypto.PublicKey) bool }); !ok || !public.Equal(leaf.PublicKey) {
		return nil, fmt.Errorf("%s: it is not the key of %s", key, cert)
	}
	if err := holds(chain, now); err != nil {
		return nil, fmt.Errorf("%s: %w", cert, err)
	}
	p := &Pair{Source: cert, Leaf: leaf, Cert: tls.Certificate{PrivateKey: signer, Leaf: leaf}}
	for _, c := range chain {
		p.Cert.Certificate = append(p.Cert.Certificate, c.Raw)
	}
	return p, nil
}

// closed tells whether a file of secrets is its owner's alone.
func closed(file string) error {
	info, err := os.Stat(file)
	if err != nil {
		return err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return fmt.Errorf("%s: others may read it: want mode 0600, got %04o", file, info.Mode().Perm())
	}
	return nil
}

// holds tells what is wrong with a chain at a moment: each certificate has to be in force, and signed by the next.
func holds(chain []*x509.Certificate, now time.Time) error {
	for i, c := range chain {
		switch {
		case now.Before(c.NotBefore):
			return fmt.Errorf("certificate %d (%s) is not valid before %s", i+1, c.Subject, c.NotBefore.Format(time.RFC3339))
		case now.After(c.NotAfter):
			return fmt.Errorf("certificate %d (%s) has expired at %s", i+1, c.Subject, c.NotAfter.Format(time.RFC3339))
		}
		if i > 0 {
			if err := chain[i-1].CheckSignatureFrom(c); err != nil {
				return fmt.Errorf("certificate %d is not signed by the one behind it: %w", i, err)
			}
		}
	}
	return nil
}

// LoadTrust reads the authorities that are trusted: certificates of authorities only, at least one of them in force.
// One that is not in force any more is left out, since old and new are trusted together in a rotation.
func LoadTrust(file string, now time.Time) ([]*x509.Certificate, error) {
	raw, err := read(file)
	if err != nil {
		return nil, err
	}
	return ParseTrust(file, raw, now)
}

// ParseTrust is LoadTrust for what comes from elsewhere than a file.
func ParseTrust(file string, raw []byte, now time.Time) ([]*x509.Certificate, error) {
	all, err := certificates(file, raw)
	if err != nil {
		return nil, err
	}
	var in []*x509.Certificate
	for i, c := range all {
		if !c.IsCA {
			return nil, fmt.Errorf("%s: certificate %d (%s) is no authority's", file, i+1, c.Subject)
		}
		if !now.Before(c.NotBefore) && !now.After(c.NotAfter) {
			in = append(in, c)
		}
	}
	if len(in) == 0 {
		return nil, fmt.Errorf("%s: no authority of it is in force", file)
	}
	return in, nil
}

// LoadDir reads a directory with a directory for each name, which holds cert.pem and key.pem.
func LoadDir(dir string, now time.Time) ([]*Pair, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var all []*Pair
	for _, e := range entries {
		at := filepath.Join(dir, e.Name())
		if info, err := os.Stat(at); err != nil || !info.IsDir() || strings.HasPrefix(e.Name(), ".") { // links to directories count
			continue
		}
		if len(all) == maxNames {
			return nil, fmt.Errorf("%s: more than %d certificates", dir, maxNames)
		}
		p, err := LoadPair(filepath.Join(at, certFile), filepath.Join(at, keyFile), now)
		if err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: no directory with %s and %s", dir, certFile, keyFile)
	}
	return all, nil
}

func read(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err == nil && len(raw) > maxFile {
		err = fmt.Errorf("%s: it holds more than %d KiB", file, maxFile>>10)
	}
	return raw, err
}

// certificates reads a file of nothing but certificates. What comes behind the last one, as half of another that is
// just being written, is refused with all the rest.
func certificates(file string, raw []byte) ([]*x509.Certificate, error) {
	all, err := parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return all, nil
}

func parse(raw []byte) (all []*x509.Certificate, err error) {
	for len(bytes.TrimSpace(raw)) > 0 {
		block, rest := pem.Decode(raw)
		switch {
		case block == nil:
			return nil, errors.New("it ends in the midst of a block, or holds something else")
		case block.Type != "CERTIFICATE":
			return nil, fmt.Errorf("want certificates, got a block %q", block.Type)
		case len(all) == maxCerts:
			return nil, fmt.Errorf("more than %d certificates", maxCerts)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("certificate %d: %w", len(all)+1, err)
		}
		all, raw = append(all, c), rest
	}
	if len(all) == 0 {
		return nil, errors.New("no certificate in it")
	}
	return all, nil
}

func privateKey(raw []byte) (crypto.Signer, error) {
	block, rest := pem.Decode(raw)
	if block == nil || len(bytes.TrimSpace(rest)) > 0 {
		return nil, errors.New("want one key, whole")
	}
	var key any
	var err error
	switch block.Type {
	case "PRIVATE KEY":
		key, err = x509.ParsePKCS8PrivateKey(block.Bytes)
	case "EC PRIVATE KEY":
		key, err = x509.ParseECPrivateKey(block.Bytes)
	case "RSA PRIVATE KEY":
		key, err = x509.ParsePKCS1PrivateKey(block.Bytes)
	default:
		return nil, fmt.Errorf("want a key, got a block %q", block.Type)
	}
	if err != nil {
		return nil, err
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, errors.New("it is no key that signs")
	}
	return signer, nil
}

// names are those that a certificate is for, in lower case.
func (p *Pair) names() []string {
	all := make([]string, 0, len(p.Leaf.DNSNames))
	for _, n := range p.Leaf.DNSNames {
		all = append(all, strings.ToLower(n))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// shown are all names of a certificate, for people.
func (p *Pair) shown() []string {
	all := p.names()
	for _, ip := range p.Leaf.IPAddresses {
		all = append(all, ip.String())
	}
	for _, u := range p.Leaf.URIs {
		all = append(all, u.String())
	}
	return all
}
