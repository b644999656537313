// Command tlsbench measures the cost of TLS for a node:
//   - full and resumed handshakes with every kind of key, as client and as server
//   - the memory of connections and sessions
//   - the full handshakes that resumption saves while servers close connections
//   - the latency of other requests during a storm of simultaneous handshakes
//
// CI does not run it.
//
//	go build -o bin/ ./cmd/... && go run ./tools/tlsbench -daemon bin/wayhold
//
// To compare the CPU time per request under TLS with that of httputil.ReverseProxy, run tools/bench -tls.
package main

import (
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cobaltward/certificates"
	"cobaltward/internal/pki"
	"cobaltward/tools/internal/benchkit"
)

func main() {
	if len(os.Args) == 5 && os.Args[1] == stormRole {
		if err := runStormClients(os.Args[2], os.Args[3], os.Args[4]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	daemon := flag.String("daemon", "bin/wayhold", "the node")
	what := flag.String("what", "handshakes,memory,reuse,storm", "what to measure, with commas between")
	n := flag.Int("n", 500, "handshakes of each kind, and connections for memory")
	clients := flag.Int("clients", 2000, "number of clients in the storm")
	each := flag.Duration("for", 10*time.Second, "how long the node is loaded")
	share := flag.Float64("share", 0, "share of a core for handshakes; 0: the node's default")
	flag.Parse()
	run := &bench{daemon: *daemon, count: *n, stormClients: *clients, loadDuration: *each, cpuShare: *share}
	benchkit.ExitOnError("tlsbench", run.run(strings.Split(*what, ",")))
}

// bench has the options and files of one run of the command.
type bench struct {
	daemon       string
	count        int // number of handshakes of each kind, and of connections in the memory measurement
	stormClients int
	loadDuration time.Duration
	cpuShare     float64 // share of a core that handshakes may use; 0: the node's default

	dir       string // directory of the certificates, the configuration and the admin socket
	authority *pki.Authority
	roots     *x509.CertPool
}

func (b *bench) run(measurements []string) (err error) {
	if b.dir, err = os.MkdirTemp("", "tlsbench"); err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(b.dir) }()
	b.authority = pki.NewAuthority("bench")
	b.roots = x509.NewCertPool()
	b.roots.AddCert(b.authority.Cert)
	measureFuncs := map[string]func() error{
		"handshakes": b.measureHandshakes, "memory": b.measureMemory, "reuse": b.measureReuse, "storm": b.measureStorm,
	}
	for _, name := range measurements {
		measure, ok := measureFuncs[name]
		if !ok {
			return fmt.Errorf("-what: unknown measurement %q", name)
		}
		if err := measure(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// Names of files in bench.dir.
const (
	certFile  = "cert.pem"
	keyFile   = "key.pem"
	rootsFile = "ca.pem"
)

func (b *bench) path(name string) string { return filepath.Join(b.dir, name) }

// writeCertificates issues a certificate with the given kind of key. It writes the certificate, its key and the
// authority's certificate to files, and opens the files.
func (b *bench) writeCertificates(kind string) (own, trust *certificates.Store, err error) {
	pair := b.authority.Issue(pki.Leaf{Names: []string{"127.0.0.1"}, KeyKind: kind})
	err = errors.Join(
		os.WriteFile(b.path(certFile), pki.PEM(pair.Cert), 0o600),
		os.WriteFile(b.path(keyFile), pair.KeyPEM(), 0o600),
		os.WriteFile(b.path(rootsFile), b.authority.PEM(), 0o600),
	)
	if err != nil {
		return nil, nil, err
	}
	sources := certificates.Sources{Cert: b.path(certFile), Key: b.path(keyFile)}
	if own, err = certificates.Open(sources, time.Now()); err != nil {
		return nil, nil, err
	}
	trust, err = certificates.Open(certificates.Sources{Trust: b.path(rootsFile)}, time.Now())
	return own, trust, err
}
