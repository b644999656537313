package main

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"sync"

	"cobaltward/internal/pki"
)

// certificatesEnv is the environment variable with the directory of the certificates that all processes use. If the
// variable is not set, no process uses TLS.
const certificatesEnv = "BENCH_CERTIFICATES"

// Names of files in the directory of the certificates.
const (
	certFile      = "cert.pem"
	keyFile       = "key.pem"
	rootsFile     = "ca.pem"
	ownConfigFile = "own.toml" // the daemon's configuration
)

const ownConfig = `[tls]
[[tls.servers]]
trust = "ca.pem"
[tls.clients]
cert = "cert.pem"
key = "key.pem"
`

// writeCertificates writes the certificate of a new authority to dir, and a certificate and key that the authority
// issued. It also writes the daemon's configuration.
func writeCertificates(dir string) error {
	authority := pki.NewAuthority("bench")
	pair := authority.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	for name, text := range map[string][]byte{
		certFile: pki.PEM(pair.Cert), keyFile: pair.KeyPEM(), rootsFile: authority.PEM(),
		ownConfigFile: []byte(ownConfig),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// certificates returns the certificate and the roots from the directory in certificatesEnv, or nil for both without
// TLS. It panics if the files can't be read, because this program wrote them.
var certificates = sync.OnceValues(func() (*tls.Certificate, *x509.CertPool) {
	dir := os.Getenv(certificatesEnv)
	if dir == "" {
		return nil, nil
	}
	own, err := tls.LoadX509KeyPair(filepath.Join(dir, certFile), filepath.Join(dir, keyFile))
	if err != nil {
		panic(err)
	}
	raw, err := os.ReadFile(filepath.Join(dir, rootsFile))
	if err != nil {
		panic(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(raw)
	return &own, roots
})
