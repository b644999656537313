// Package secure is TLS towards clients: certificates by the name that they ask for, sessions that are taken up again,
// and client certificates as who somebody is. A connection's handshake is made by whoever reads it first, so it has an
// owner and a time; what it costs is decided in package handshakes.
package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/certificates"
	"cobaltward/handshakes"
)

// DefaultTimeout bounds a handshake, its waiting for the core among it.
const DefaultTimeout = 2500 * time.Millisecond

// Config is what a Layer is told at its start.
type Config struct {
	Keys    *certificates.Store // certificates
	Trust   *certificates.Store // authorities, whose clients may show a certificate; nil: none are asked for
	Require bool                // clients have to
	Tickets *certificates.Tickets
	TLS12   bool // 1.2 is taken, too
	ALPN    []string
	Timeout time.Duration // 0: DefaultTimeout
	Core    *handshakes.CPUScheduler
	Log     *slog.Logger // nil: none
}

// Layer puts TLS on connections of clients. Its methods may be called at once from many goroutines.
type Layer struct {
	c    Config
	conf *tls.Config

	mu       sync.Mutex
	full     handshakes.Histogram
	resumed  handshakes.Histogram
	failures map[string]uint64
	going    atomic.Int64
}

// New returns a layer.
func New(c Config) (*Layer, error) {
	if c.Keys == nil {
		return nil, errors.New("no certificate to show")
	}
	if c.Require && c.Trust == nil {
		return nil, errors.New("require: by which authorities do clients prove who they are?")
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	l := &Layer{c: c, failures: make(map[string]uint64)}
	l.conf = &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: c.ALPN, GetCertificate: c.Keys.GetCertificate, VerifyConnection: l.verify}
	if c.TLS12 {
		l.conf.MinVersion = tls.VersionTLS12
	}
	switch { // who they are is for verify to say, by what is trusted then; sessions that are taken up again come by it, too
	case c.Require:
		l.conf.ClientAuth = tls.RequireAnyClientCert
	case c.Trust != nil:
		l.conf.ClientAuth = tls.RequestClientCert
	}
	l.Retake()
	return l, nil
}

// Retake takes the keys of tickets over that are in force now, where they come from a file.
func (l *Layer) Retake() {
	if l.c.Tickets != nil {
		l.conf.SetSessionTicketKeys(l.c.Tickets.Keys())
	}
}

// errStranger says that a client's certificate does not hold.
var errStranger = errors.New("the client's certificate does not hold")

func (l *Layer) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return nil // where one is required, crypto/tls has said so
	}
	pool := l.c.Trust.Set().Pool // clients are asked only where there is one
	if pool == nil {             // nothing was handed yet; crypto/x509 would go by the system's authorities
		return errStranger
	}
	o := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(o); err != nil {
		return errors.Join(errStranger, err)
	}
	return nil
}

// Wrap puts TLS on a connection. Nothing is read before its first Read. ended, where it is not nil, hears once of the end
// of the handshake, however it came.
func (l *Layer) Wrap(tcp *net.TCPConn, ended func()) *Conn {
	return &Conn{layer: l, tcp: tcp, ended: ended}
}

// Listener lets clients in by TLS.
func (l *Layer) Listener(ln net.Listener) net.Listener { return &listener{ln, l} }

type listener struct {
	net.Listener
	layer *Layer
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return l.layer.Wrap(tcp, nil), nil
	}
	return c, nil // of a Unix socket: nobody is between
}

// Conn is a connection of a client. Reads are one goroutine's, and writes another's; the rest is anybody's.
type Conn struct {
	layer *Layer
	tcp   *net.TCPConn
	ended func()                          // hears of the end of its handshake
	heard atomic.Pointer[handshakes.Conn] // of the handshake, once it has begun

	shaking sync.Mutex
	tls     *tls.Conn // nil before the handshake
	wire    *handshakes.Conn
	err     error
	names   []string
	done    atomic.Bool // it is over, well or not

	mu   sync.Mutex
	read time.Time // the deadline that was asked for
}

var _ net.Conn = (*Conn)(nil)

// Shaking tells whether the connection has no whole handshake yet.
func (c *Conn) Shaking() bool { return !c.done.Load() }

// Working tells whether arithmetic of its handshake waits for the core, has it or had it just now; else it waits for the
// client.
func (c *Conn) Working() bool {
	w := c.heard.Load()
	return !c.done.Load() && w != nil && w.IsComputing()
}

// Silent tells whether nothing has come of its handshake.
func (c *Conn) Silent() bool {
	w := c.heard.Load()
	return !c.done.Load() && (w == nil || !w.HasReceived())
}

// Names are those of the certificate that the client showed, URIs first; none where it showed none, or before its
// handshake.
func (c *Conn) Names() []string {
	if !c.done.Load() {
		return nil
	}
	return c.names
}

// shake has the handshake be made, once.
func (c *Conn) shake() error {
	if c.done.Load() {
		return c.err
	}
	c.shaking.Lock()
	defer c.shaking.Unlock()
	if c.done.Load() {
		return c.err
	}
	c.layer.going.Add(1)
	err := c.handshake()
	c.layer.going.Add(-1)
	if c.ended != nil {
		defer c.ended()
	}
	if err != nil {
		c.err = err
		c.done.Store(true)
	}
	return err
}

func (c *Conn) handshake() error {
	l := c.layer
	began := time.Now()
	by := began.Add(l.c.Timeout)
	_ = c.tcp.SetDeadline(by) // fails only once it is closed
	c.wire = handshakes.NewConn(c.tcp, l.c.Core, false, by, nil)
	c.wire.AbortIfPeerCloses = true
	c.heard.Store(c.wire)
	conn := tls.Server(c.wire, l.conf)
	err := conn.HandshakeContext(context.Background())
	worked, took := c.wire.EndHandshake(), time.Since(began)
	if err != nil {
		why := l.why(c, err)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.failures[why]++
		return io.EOF // there is nobody to answer
	}
	s := conn.ConnectionState()
	l.mu.Lock()
	if s.DidResume {
		l.resumed.Observe(took, worked)
	} else {
		l.full.Observe(took, worked)
	}
	l.mu.Unlock()
	c.names = names(s.PeerCertificates)
	c.tls = conn
	_ = c.tcp.SetWriteDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.read.IsZero() { // the time of a head does not begin before its connection is there
		c.read = c.read.Add(took)
	}
	_ = c.tcp.SetReadDeadline(c.read)
	c.done.Store(true)
	return nil
}

// why names what a handshake failed by. Who speaks HTTP to a port for TLS is told so in words.
func (l *Layer) why(c *Conn, err error) string {
	var header tls.RecordHeaderError
	var ne net.Error
	switch {
	case errors.As(err, &header) && header.Conn != nil && http(header.RecordHeader):
		c.wire.DropBlockingWrites()
		const body = "this port takes TLS alone\n"
		_, _ = c.wire.Write([]byte("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: 26\r\n\r\n" + body))
		return "plain HTTP"
	case errors.As(err, &header):
		return "no TLS"
	case errors.Is(err, errStranger):
		l.c.Log.Info("tls: a client's certificate does not hold", "client", c.tcp.RemoteAddr(), "err", err)
		return "client's certificate"
	case errors.Is(err, handshakes.ErrHandshakeTooLarge):
		return "sent too much"
	case errors.As(err, &ne) && ne.Timeout():
		return "not in time"
	case errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrUnexpectedEOF):
		return "left"
	case handshakes.RemoteAlert(err) != "":
		return "the client refused"
	}
	return "no agreement"
}

// http tells whether the first bytes of a connection begin a request.
func http(head [5]byte) bool {
	switch string(head[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO", "DELET", "PATCH":
		return true
	}
	return false
}

// names are all that a certificate says its owner is.
func names(chain []*x509.Certificate) (all []string) {
	if len(chain) == 0 {
		return nil
	}
	for _, u := range chain[0].URIs {
		all = append(all, u.String())
	}
	all = append(all, chain[0].DNSNames...)
	if cn := chain[0].Subject.CommonName; cn != "" {
		all = append(all, cn)
	}
	return all
}

func (c *Conn) Read(p []byte) (int, error) {
	if err := c.shake(); err != nil {
		return 0, err
	}
	return c.tls.Read(p)
}

func (c *Conn) Write(p []byte) (int, error) {
	if err := c.shake(); err != nil {
		return 0, net.ErrClosed
	}
	return c.tls.Write(p)
}

// Close closes the connection; its farewell is written where there is room for it.
func (c *Conn) Close() error {
	if c.done.Load() && c.err == nil {
		c.wire.DropBlockingWrites()
		return c.tls.Close()
	}
	return c.tcp.Close()
}

// CloseWrite ends what the client is sent. It waits for nobody.
func (c *Conn) CloseWrite() error {
	if c.done.Load() && c.err == nil {
		c.wire.DropBlockingWrites()
		if err := c.tls.CloseWrite(); err != nil {
			return err
		}
	}
	return c.tcp.CloseWrite()
}

// TCP is the connection under TLS: to look at, not to read from or write to.
func (c *Conn) TCP() *net.TCPConn { return c.tcp }

func (c *Conn) LocalAddr() net.Addr  { return c.tcp.LocalAddr() }
func (c *Conn) RemoteAddr() net.Addr { return c.tcp.RemoteAddr() }

func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline bounds reads; while the handshake goes on, its own bound holds.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = t
	if !c.done.Load() {
		return nil
	}
	return c.tcp.SetReadDeadline(t)
}

// SetWriteDeadline bounds writes; while the handshake goes on, its own bound holds.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if !c.done.Load() {
		return nil
	}
	return c.tcp.SetWriteDeadline(t)
}

// Stats is how the layer stands.
type Stats struct {
	Full     handshakes.Histogram `json:"full"`
	Resumed  handshakes.Histogram `json:"resumed"`
	Failures map[string]uint64    `json:"failures,omitempty"` // by reason
	Going    int64                `json:"going"`              // handshakes
}

// Stats tells how the layer stands.
func (l *Layer) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{l.full.Clone(), l.resumed.Clone(), maps.Clone(l.failures), l.going.Load()}
}

type connKey struct{}

// WithConn has requests of a connection know of it: it is for http.Server.ConnContext.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Names are those of the certificate that the client of a request showed.
func Names(ctx context.Context) []string {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return c.Names()
	}
	return nil
}
