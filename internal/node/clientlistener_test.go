package node

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cobaltward/certificates"
	"cobaltward/internal/frontend/secure"
	"cobaltward/internal/pki"
)

// newClientPair returns a listener with 4 slots and both ends of an accepted connection.
func newClientPair(t *testing.T) (*clientListener, net.Conn, *clientConn) {
	t.Helper()
	listener := newTestListener(t, 4)
	client, conn := connectClient(t, listener)
	return listener, client, conn.(*clientConn)
}

func newTestListener(t *testing.T, maxConns int) *clientListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := newClientListener(inner, maxConns)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// newTLSTestListener is like newTestListener, for clients that use TLS.
func newTLSTestListener(t *testing.T, maxConns int) *clientListener {
	t.Helper()
	listener := newTestListener(t, maxConns)
	var err error
	if listener.tlsLayer, err = secure.New(secure.Config{Certificates: openTestCertificate(t)}); err != nil {
		t.Fatal(err)
	}
	return listener
}

// acceptClientConn accepts a connection, with or without TLS.
func acceptClientConn(t *testing.T, listener *clientListener) *clientConn {
	t.Helper()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return clientConnOf(accepted)
}

// clientConnOf returns the clientConn of an accepted connection, with or without TLS.
func clientConnOf(accepted net.Conn) *clientConn {
	if secured, ok := accepted.(*tlsClientConn); ok {
		return secured.conn
	}
	return accepted.(*clientConn)
}

// connectClient connects a client and returns both ends of the connection.
func connectClient(t *testing.T, listener *clientListener) (client, conn net.Conn) {
	t.Helper()
	client = dialClient(t, listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return client, conn
}

// TestAccept_SparesSlowHandshakeWhileCoreIsBusy checks that a handshake that waits for its client is not closed while
// other handshakes keep the CPU core busy. The close would not let new clients connect any sooner.
func TestAccept_SparesSlowHandshakeWhileCoreIsBusy(t *testing.T) {
	listener := newTLSTestListener(t, 100)
	accept := func() *clientConn {
		_, conn := connectClient(t, listener)
		return conn.(*tlsClientConn).conn
	}
	slow := accept()
	slow.acceptedAt = slow.acceptedAt.Add(-time.Minute)
	for range 8 { // each new handshake counts as one that needs the core
		accept()
	}
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if slow.closed {
		t.Error("the slow client was evicted")
	}
	if listener.open != 9 {
		t.Errorf("%d open connections, want 9", listener.open)
	}
}

// openTestCertificate returns a store with a new server certificate for 127.0.0.1.
func openTestCertificate(t *testing.T) *certificates.Store {
	t.Helper()
	dir := t.TempDir()
	sources := certificates.Sources{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	leaf := pki.NewAuthority("front").Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	for name, text := range map[string][]byte{sources.Cert: pki.PEM(leaf.Cert), sources.Key: leaf.KeyPEM()} {
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	store, err := certificates.Open(sources, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return store
}
