package secure

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cobaltward/certificates"
	"cobaltward/internal/pki"
	"cobaltward/internal/testkit"
	"cobaltward/router"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// tlsServer starts a server that runs a TLS handshake with config on each connection, and then calls serve.
func tlsServer(t testing.TB, config func() *tls.Config, serve func(*tls.Conn)) (addr string) {
	t.Helper()
	return testkit.RawServer(t, func(netConn net.Conn, _ *bufio.Reader) {
		conn := tls.Server(netConn, config())
		if conn.Handshake() == nil {
			serve(conn)
		}
	})
}

func echo(conn *tls.Conn) { _, _ = io.Copy(conn, conn) }

// serverConfig returns the TLS configuration of a server that presents a certificate.
func serverConfig(certificate tls.Certificate) *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{certificate}}
}

func writeTrust(t testing.TB, file string, authorities ...*pki.Authority) {
	t.Helper()
	var certs []*x509.Certificate
	for _, authority := range authorities {
		certs = append(certs, authority.Cert)
	}
	if err := os.WriteFile(file, pki.PEM(certs...), 0o600); err != nil {
		t.Fatal(err)
	}
}

func openTrust(t testing.TB, authorities ...*pki.Authority) (store *certificates.Store, file string) {
	t.Helper()
	file = filepath.Join(t.TempDir(), "ca.pem")
	writeTrust(t, file, authorities...)
	store, err := certificates.Open(certificates.Sources{Trust: file}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return store, file
}

func newClient(t testing.TB, config Config) *ClientTLS {
	t.Helper()
	client, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func dialer(addr string) func() (*net.TCPConn, error) {
	return func() (*net.TCPConn, error) {
		return DialTCP(context.Background(), &net.Dialer{}, addr)
	}
}

// connect opens a connection to endpoint and exchanges one byte. The session tickets of the server have arrived
// before that byte.
func connect(t testing.TB, client *ClientTLS, endpoint router.Endpoint) (*Conn, error) {
	t.Helper()
	client.UpdateServer(endpoint)
	ctx, cancel := context.WithTimeout(context.Background(), testkit.MaxWait)
	defer cancel()
	conn, err := client.Handshake(ctx, ctx, &endpoint, true, dialer(endpoint.Addr))
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(testkit.MaxWait))
	if _, err := conn.Write([]byte("x")); err != nil {
		return conn, err
	}
	_, err = io.ReadFull(conn, make([]byte, 1))
	return conn, err
}
