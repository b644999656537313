package certificates

import (
	"bytes"
	"crypto"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"slices"
	"time"
)

// decodeCertificates reads PEM data that consists of one or more certificates. Trailing data is an error, for example
// the incomplete block of a file that is being written.
func decodeCertificates(raw []byte) (chain []*x509.Certificate, err error) {
	for len(bytes.TrimSpace(raw)) > 0 {
		block, rest := pem.Decode(raw)
		switch {
		case block == nil:
			return nil, errors.New("incomplete PEM block, or data that is not PEM")
		case block.Type != "CERTIFICATE":
			return nil, fmt.Errorf("want certificates, got PEM block %q", block.Type)
		case len(chain) == maxBundleCertificates:
			return nil, fmt.Errorf("more than %d certificates", maxBundleCertificates)
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("certificate %d: %w", len(chain)+1, err)
		}
		chain, raw = append(chain, cert), rest
	}
	if len(chain) == 0 {
		return nil, errors.New("contains no certificate")
	}
	return chain, nil
}

// decodePrivateKey reads PEM data that consists of exactly one private key. The key must be able to sign.
func decodePrivateKey(raw []byte) (crypto.Signer, error) {
	block, rest := pem.Decode(raw)
	if block == nil || len(bytes.TrimSpace(rest)) > 0 {
		return nil, errors.New("want one complete private key")
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
		return nil, fmt.Errorf("want a private key, got PEM block %q", block.Type)
	}
	if err != nil {
		return nil, err
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("a key of type %T cannot sign", key)
	}
	return signer, nil
}

// decodeAuthorities reads PEM data that consists of CA certificates, and returns those that are valid at now. A
// certificate outside its validity period is left out without an error. During a rotation, the bundle contains both
// the old and the new authority.
func decodeAuthorities(raw []byte, now time.Time) ([]*x509.Certificate, error) {
	authorities, err := decodeCertificates(raw)
	if err != nil {
		return nil, err
	}
	for i, cert := range authorities {
		if !cert.IsCA {
			return nil, fmt.Errorf("certificate %d (%s) is not a CA certificate", i+1, cert.Subject)
		}
	}
	valid := slices.DeleteFunc(authorities, func(cert *x509.Certificate) bool {
		return now.Before(cert.NotBefore) || now.After(cert.NotAfter)
	})
	if len(valid) == 0 {
		return nil, errors.New("no CA certificate is currently valid")
	}
	return valid, nil
}

// checkChain verifies that each certificate of a chain is valid at now and is signed by the next certificate.
func checkChain(chain []*x509.Certificate, now time.Time) error {
	for i, cert := range chain {
		switch {
		case now.Before(cert.NotBefore):
			start := cert.NotBefore.Format(time.RFC3339)
			return fmt.Errorf("certificate %d (%s) is not valid before %s", i+1, cert.Subject, start)
		case now.After(cert.NotAfter):
			end := cert.NotAfter.Format(time.RFC3339)
			return fmt.Errorf("certificate %d (%s) has expired at %s", i+1, cert.Subject, end)
		}
		if i > 0 {
			if err := chain[i-1].CheckSignatureFrom(cert); err != nil {
				return fmt.Errorf("certificate %d is not signed by the next one: %w", i, err)
			}
		}
	}
	return nil
}
