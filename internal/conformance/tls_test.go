package conformance

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cobaltward/certificates"
	"cobaltward/internal/node"
	"cobaltward/internal/pki"
	"cobaltward/transport/secure"
)

// serveWithTLS runs the daemon with TLS to clients and servers. The suite's clients and servers use plain HTTP. A
// tunnel in front of the node adds TLS, and a tunnel in front of each server removes TLS.
func serveWithTLS(ctx context.Context, config node.Config, ln net.Listener) error {
	dir, err := os.MkdirTemp("", "conformance")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	credentials, err := newCredentials(dir)
	if err != nil {
		return err
	}
	var tunnels sync.WaitGroup
	defer tunnels.Wait()
	config.TLS = &node.TLS{
		Clients:       &node.TLSListener{Certificates: credentials.nodeCert},
		Stores:        []*certificates.Store{credentials.nodeCert, credentials.serverCA},
		CheckInterval: time.Second,
	}
	rule := secure.Rule{Trust: credentials.serverCA}
	for i := range config.InitialList.Endpoints {
		endpoint := &config.InitialList.Endpoints[i]
		tunnel, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = tunnel.Close() }()
		addr := endpoint.Addr
		tunnels.Go(func() { runServerTunnel(tunnel, credentials.server, addr) })
		endpoint.Addr = tunnel.Addr().String()
		rule.Servers = append(rule.Servers, endpoint.ID)
	}
	if len(rule.Servers) > 0 {
		config.TLS.ServerRules = []secure.Rule{rule}
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	tunnels.Go(func() { runClientTunnel(ln, credentials.client, inner.Addr().String()) })
	defer func() { _ = ln.Close() }()
	return node.Run(ctx, config, inner, nil, slog.New(slog.DiscardHandler))
}

// credentials are the certificates and TLS configurations of the node, its servers and its clients.
type credentials struct {
	nodeCert *certificates.Store // the node's certificate
	serverCA *certificates.Store // the authority that the node trusts for servers
	server   *tls.Config
	client   *tls.Config
}

// newCredentials creates credentials with certificate files in dir. The node checks the files for changes, so the
// files must exist until the node exits.
func newCredentials(dir string) (*credentials, error) {
	ca := pki.NewAuthority("the suite's")
	pair := ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	caFile := filepath.Join(dir, "ca.pem")
	for path, text := range map[string][]byte{cert: pki.PEM(pair.Cert), key: pair.KeyPEM(), caFile: ca.PEM()} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return nil, err
		}
	}
	own, err := certificates.Open(certificates.Sources{Cert: cert, Key: key}, time.Now())
	if err != nil {
		return nil, err
	}
	trust, err := certificates.Open(certificates.Sources{Trust: caFile}, time.Now())
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(ca.Cert)
	return &credentials{
		nodeCert: own, serverCA: trust,
		server: &tls.Config{Certificates: []tls.Certificate{pair.TLS()}},
		client: &tls.Config{RootCAs: pool},
	}, nil
}

// runServerTunnel terminates TLS on connections from the node, and forwards the plain text to server.
func runServerTunnel(ln net.Listener, config *tls.Config, server string) {
	accept := func(conn *net.TCPConn) halfCloser { return tls.Server(conn, config) }
	dial := func() (halfCloser, error) {
		conn, err := net.Dial("tcp", server)
		if err != nil {
			return nil, err
		}
		return conn.(*net.TCPConn), nil
	}
	runTunnel(ln, accept, dial)
}

// runClientTunnel forwards connections of clients to node over TLS. It closes ln once the node refuses a connection,
// so that clients are also refused.
func runClientTunnel(ln net.Listener, config *tls.Config, node string) {
	accept := func(conn *net.TCPConn) halfCloser { return conn }
	dial := func() (halfCloser, error) {
		conn, err := tls.Dial("tcp", node, config)
		if errors.Is(err, syscall.ECONNREFUSED) {
			_ = ln.Close()
		}
		return conn, err
	}
	runTunnel(ln, accept, dial)
}

// halfCloser is a connection whose write side can be closed separately.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// runTunnel accepts connections until ln is closed, and forwards their data in both directions. Then it waits until
// the open connections are closed. accept adds TLS to an accepted connection if needed, and dial opens the other
// connection.
func runTunnel(ln net.Listener, accept func(*net.TCPConn) halfCloser, dial func() (halfCloser, error)) {
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		conns.Go(func() {
			tcp := conn.(*net.TCPConn)
			defer func() { _ = tcp.Close() }()
			downstream := accept(tcp)
			if t, ok := downstream.(*tls.Conn); ok && t.Handshake() != nil {
				return
			}
			upstream, err := dial()
			if err != nil {
				_ = tcp.SetLinger(0) // resets the connection, like a peer that refuses or aborts it
				return
			}
			defer func() { _ = upstream.Close() }()
			forward(downstream, upstream)
		})
	}
}

// forward copies data in both directions until both sides have closed or a copy fails.
func forward(downstream, upstream halfCloser) {
	var directions sync.WaitGroup
	for _, d := range []struct{ from, to halfCloser }{{downstream, upstream}, {upstream, downstream}} {
		directions.Go(func() {
			if _, err := io.Copy(d.to, d.from); err != nil {
				_ = downstream.Close()
				_ = upstream.Close()
				return
			}
			_ = d.to.CloseWrite() // fails if the peer has already closed the connection
		})
	}
	directions.Wait()
}
