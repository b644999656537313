// Package secure terminates the TLS connections of clients. It selects the certificate by server name and resumes
// sessions. It verifies client certificates, whose names identify the client. The first Read or Write of a connection
// performs the handshake. Package handshakes limits the CPU time of handshakes.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltward/certificates"
	"cobaltward/handshakes"
)

// DefaultTimeout is the default time limit for a handshake, including the wait for the CPU.
const DefaultTimeout = 2500 * time.Millisecond

// Config configures a Terminator.
type Config struct {
	Certificates *certificates.Store      // certificates of the listener; required
	Trust        *certificates.Store      // authorities of client certificates; nil: no client certificate is requested
	Require      bool                     // reject clients without a certificate; needs Trust
	Tickets      *certificates.Tickets    // keys of session tickets; nil: keys known only to this process
	TLS12        bool                     // accept TLS 1.2 as well as 1.3
	ALPN         []string                 // application protocols, in order of preference
	Timeout      time.Duration            // time limit for a handshake; 0: DefaultTimeout
	CPU          *handshakes.CPUScheduler // scheduler of the CPU time of handshakes
	Log          *slog.Logger             // nil: nothing is logged
}

// Terminator terminates the TLS connections of clients. It is safe for concurrent use.
type Terminator struct {
	config    Config
	tlsConfig *tls.Config

	mu         sync.Mutex
	full       handshakes.Histogram
	resumed    handshakes.Histogram
	failures   map[string]uint64 // failed handshakes, by reason
	inProgress atomic.Int64      // number of handshakes in progress
}

// New returns a terminator, or an error if the configuration is incomplete.
func New(config Config) (*Terminator, error) {
	if config.Certificates == nil {
		return nil, errors.New("no certificate to present")
	}
	if config.Require && config.Trust == nil {
		return nil, errors.New("require: needs trusted authorities for client certificates")
	}
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	term := &Terminator{config: config, failures: make(map[string]uint64)}
	term.tlsConfig = &tls.Config{
		MinVersion:       tls.VersionTLS13,
		NextProtos:       config.ALPN,
		GetCertificate:   config.Certificates.GetCertificate,
		VerifyConnection: term.verifyClient,
	}
	if config.TLS12 {
		term.tlsConfig.MinVersion = tls.VersionTLS12
	}
	switch { // verifyClient verifies the certificate, also in resumed sessions, by the current authorities
	case config.Require:
		term.tlsConfig.ClientAuth = tls.RequireAnyClientCert
	case config.Trust != nil:
		term.tlsConfig.ClientAuth = tls.RequestClientCert
	}
	term.ReloadTicketKeys()
	return term, nil
}

// ReloadTicketKeys switches to the current keys of Config.Tickets.
func (t *Terminator) ReloadTicketKeys() {
	if t.config.Tickets != nil {
		t.tlsConfig.SetSessionTicketKeys(t.config.Tickets.Keys())
	}
}

// errUntrustedClient is the error for a client certificate that cannot be verified.
var errUntrustedClient = errors.New("client certificate is not trusted")

func (t *Terminator) verifyClient(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return nil // allowed: crypto/tls has already rejected the client if a certificate is required
	}
	pool := t.config.Trust.Set().Pool // Trust is not nil, because a certificate was requested
	if pool == nil {                  // no authority is known yet; Verify would replace nil by the system's pool
		return errUntrustedClient
	}
	options := x509.VerifyOptions{
		Roots:         pool,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return errors.Join(errUntrustedClient, err)
	}
	return nil
}

// Wrap returns a connection that uses TLS over tcp. It reads nothing before the first Read or Write. If
// onHandshakeDone is not nil, it is called once, after the handshake has succeeded or failed.
func (t *Terminator) Wrap(tcp *net.TCPConn, onHandshakeDone func()) *Conn {
	return &Conn{terminator: t, tcp: tcp, onHandshakeDone: onHandshakeDone}
}

// Listener returns a listener that wraps each TCP connection that ln accepts. It does not wrap connections of Unix
// sockets.
func (t *Terminator) Listener(ln net.Listener) net.Listener { return &listener{ln, t} }

type listener struct {
	net.Listener
	terminator *Terminator
}

func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return l.terminator.Wrap(tcp, nil), nil
	}
	return conn, nil
}

// SetDeadline sets the deadline of Accept. It returns errors.ErrUnsupported if the inner listener has no deadline.
func (l *listener) SetDeadline(t time.Time) error {
	inner, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return inner.SetDeadline(t)
}

// SyscallConn implements syscall.Conn. It returns errors.ErrUnsupported if the inner listener does not implement
// syscall.Conn.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	inner, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

// Stats counts the handshakes of a Terminator by outcome.
type Stats struct {
	Full       handshakes.Histogram `json:"full"`
	Resumed    handshakes.Histogram `json:"resumed"`
	Failures   map[string]uint64    `json:"failures,omitempty"` // failed handshakes, by reason
	InProgress int64                `json:"going"`
}

// Stats returns the current counts.
func (t *Terminator) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{t.full.Clone(), t.resumed.Clone(), maps.Clone(t.failures), t.inProgress.Load()}
}

func (t *Terminator) countSuccess(resumed bool, elapsed, computeTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if resumed {
		t.resumed.Observe(elapsed, computeTime)
		return
	}
	t.full.Observe(elapsed, computeTime)
}

func (t *Terminator) countFailure(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures[reason]++
}
