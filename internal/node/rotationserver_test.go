package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// rotationServer is a server whose certificate for new connections can be replaced at any time.
type rotationServer struct {
	harness       *rotationHarness
	id            string
	addr          string
	current       atomic.Pointer[servedCert]
	certByConn    sync.Map     // net.Conn to *servedCert
	lastRequestAt atomic.Int64 // Unix nanoseconds
	requests      atomic.Int64
}

// rotationConnKey is the key of a request's connection in its context.
type rotationConnKey struct{}

// startServer starts a server that presents a certificate of oldCA, until the end of the test.
func (h *rotationHarness) startServer(id string) *rotationServer {
	h.t.Helper()
	server := &rotationServer{harness: h, id: id}
	server.present(h.newLeaf(h.oldCA))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	server.addr = listener.Addr().String()
	config := &tls.Config{GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		cert := server.current.Load()
		server.certByConn.Store(hello.Conn, cert)
		return cert.config, nil
	}}
	httpServer := &http.Server{
		Handler: server, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, rotationConnKey{}, conn.(*tls.Conn).NetConn())
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				server.certByConn.Delete(conn.(*tls.Conn).NetConn())
			}
		},
	}
	go func() { _ = httpServer.Serve(tls.NewListener(listener, config)) }() // ends with Close
	h.t.Cleanup(func() { _ = httpServer.Close() })
	return server
}

// present makes the server present a certificate to new connections.
func (s *rotationServer) present(cert servedCert) { s.current.Store(&cert) }

// ServeHTTP counts an execution of the request. It records a violation if the request's connection is no longer
// trusted.
func (s *rotationServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.lastRequestAt.Store(now.UnixNano())
	if s.requests.Add(1)%10 == 0 { // makes the node open new connections
		w.Header().Set("Connection", "close")
	}
	value, _ := s.certByConn.Load(r.Context().Value(rotationConnKey{}))
	cert := value.(*servedCert)
	id := r.Header.Get("X-Request-Id")
	harness := s.harness
	harness.mu.Lock()
	defer harness.mu.Unlock()
	// A retry with an idempotency key is not executed again.
	if key := r.Header.Get("Idempotency-Key"); key == "" || harness.executions[id] == 0 {
		harness.executions[id]++
	}
	if late := now.Sub(cert.validUntil); !cert.validUntil.IsZero() && late > maxTransitTime {
		harness.violations = append(harness.violations,
			fmt.Sprintf("%s at %s, %v after its certificate expired", id, s.id, late))
		return
	}
	if !harness.wasTrusted(cert, now) {
		last := harness.trustChanges[len(harness.trustChanges)-1]
		harness.violations = append(harness.violations, fmt.Sprintf("%s at %s, %v after trust change %d",
			id, s.id, now.Sub(last.at).Round(time.Millisecond), len(harness.trustChanges)))
	}
}

// wasTrusted reports whether an authority of cert is trusted, or was trusted within the last trustChangeDelay. The
// caller holds mu.
func (h *rotationHarness) wasTrusted(cert *servedCert, now time.Time) bool {
	for _, change := range slices.Backward(h.trustChanges) {
		for _, authority := range change.authorities {
			if slices.Contains(cert.authorities, authority) {
				return true
			}
		}
		if now.Sub(change.at) > trustChangeDelay { // the trust before this change no longer counts
			break
		}
	}
	return false
}
