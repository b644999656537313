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

// serveWithTLS runs the daemon with TLS on both sides. The suite itself uses plain HTTP, through a tunnel in front of
// the node and one in front of each server.
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
		Clients:       &node.TLSListener{Certificates: credentials.own},
		Stores:        []*certificates.Store{credentials.own, credentials.trust},
		CheckInterval: time.Second,
	}
	rule := secure.Rule{Trust: credentials.trust}
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

// credentials are what the node, its servers and its clients need for TLS with each other.
type credentials struct {
	own    *certificates.Store // the node's certificate
	trust  *certificates.Store // the authority of servers
	server *tls.Config
	client *tls.Config
}

// newCredentials writes certificates to a directory, where the node checks them for changes until it exits.
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
		own: own, trust: trust,
		server: &tls.Config{Certificates: []tls.Certificate{pair.TLS()}},
		client: &tls.Config{RootCAs: pool},
	}, nil
}

// runServerTunnel ends the node's TLS on accepted connections, and forwards them to a server.
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

// runClientTunnel forwards connections of clients to the node by TLS. The listener is closed at the first connection
// that the node refuses.
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

// halfCloser is a connection whose sides can be closed apart.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// runTunnel forwards accepted connections, both ways, until the listener closes, and waits for those that are open.
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
			near := accept(tcp)
			if t, ok := near.(*tls.Conn); ok && t.Handshake() != nil {
				return
			}
			far, err := dial()
			if err != nil {
				_ = tcp.SetLinger(0) // as a server that refuses the connection, or cuts it
				return
			}
			defer func() { _ = far.Close() }()
			forward(near, far)
		})
	}
}

// forward copies both ways until both sides have ended, or either fails.
func forward(near, far halfCloser) {
	var directions sync.WaitGroup
	for _, d := range []struct{ from, to halfCloser }{{near, far}, {far, near}} {
		directions.Go(func() {
			if _, err := io.Copy(d.to, d.from); err != nil {
				_ = near.Close()
				_ = far.Close()
				return
			}
			_ = d.to.CloseWrite() // the other side may have closed already
		})
	}
	directions.Wait()
}
