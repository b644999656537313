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

// secured is the daemon with TLS on both sides: the suite itself speaks plain HTTP, through a tunnel before the node
// and one behind it.
func secured(ctx context.Context, c node.Config, ln net.Listener) error {
	dir, err := os.MkdirTemp("", "conformance")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ca := pki.NewAuthority("the suite's")
	pair := ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	var files [3]string
	for i, f := range []struct {
		name string
		text []byte
	}{{"cert.pem", pki.PEM(pair.Cert)}, {"key.pem", pair.KeyPEM()}, {"ca.pem", ca.PEM()}} {
		files[i] = filepath.Join(dir, f.name)
		if err := os.WriteFile(files[i], f.text, 0o600); err != nil {
			return err
		}
	}
	own, err := certificates.Open(certificates.Sources{Cert: files[0], Key: files[1]}, time.Now())
	if err != nil {
		return err
	}
	trust, err := certificates.Open(certificates.Sources{Trust: files[2]}, time.Now())
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	pool.AddCert(ca.Cert)
	showing := &tls.Config{Certificates: []tls.Certificate{pair.TLS()}}
	c.TLS = &node.TLS{Clients: &node.TLSListener{Certificates: own}, Stores: []*certificates.Store{own, trust}, CheckInterval: time.Second}
	rule := secure.Rule{Trust: trust}
	var tunnels sync.WaitGroup
	defer tunnels.Wait()
	for i := range c.InitialList.Endpoints {
		m := &c.InitialList.Endpoints[i]
		behind, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer behind.Close()
		addr := m.Addr
		tunnels.Go(func() {
			carry(behind, func(tcp *net.TCPConn) halves { return tls.Server(tcp, showing) }, func() (halves, error) {
				to, err := net.Dial("tcp", addr)
				if err != nil {
					return nil, err
				}
				return to.(*net.TCPConn), nil
			})
		})
		m.Addr = behind.Addr().String()
		rule.Servers = append(rule.Servers, m.ID)
	}
	if len(rule.Servers) > 0 {
		c.TLS.ServerRules = []secure.Rule{rule}
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	tunnels.Go(func() {
		carry(ln, func(tcp *net.TCPConn) halves { return tcp }, func() (halves, error) {
			to, err := tls.Dial("tcp", inner.Addr().String(), &tls.Config{RootCAs: pool})
			if errors.Is(err, syscall.ECONNREFUSED) { // the node accepts no more, and so does who stands before it
				ln.Close()
			}
			return to, err
		})
	})
	defer ln.Close()
	return node.Run(ctx, c, inner, nil, slog.New(slog.DiscardHandler))
}

// halves is a connection whose sides end apart.
type halves interface {
	net.Conn
	CloseWrite() error
}

// carry has what is accepted go on, both ways, until the listener closes.
func carry(ln net.Listener, from func(*net.TCPConn) halves, to func() (halves, error)) {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		all.Go(func() {
			tcp := nc.(*net.TCPConn)
			defer tcp.Close()
			a := from(tcp)
			if t, ok := a.(*tls.Conn); ok && t.Handshake() != nil {
				return
			}
			b, err := to()
			if err != nil {
				_ = tcp.SetLinger(0) // as a server that refuses the connection, or cuts it
				return
			}
			defer b.Close()
			var ways sync.WaitGroup
			for _, w := range [][2]halves{{a, b}, {b, a}} {
				ways.Go(func() {
					if _, err := io.Copy(w[1], w[0]); err != nil {
						a.Close()
						b.Close()
						return
					}
					_ = w[1].CloseWrite() // the other side may have gone
				})
			}
			ways.Wait()
		})
	}
}
