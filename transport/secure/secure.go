package secure

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"cobaltward/handshakes"
	"cobaltward/router"
)

const (
	// DefaultHandshakeTimeout bounds a handshake.
	DefaultHandshakeTimeout = time.Second
	recheckInterval         = 50 * time.Millisecond // for servers that are due to be looked at again
	maxVerified             = 2048                  // chains whose proof is remembered
)

// ErrTooManyHandshakes says that too many handshakes wait already. Nothing was sent, and no server is to blame.
var ErrTooManyHandshakes = errors.New("too many handshakes wait")

// Config is what a Layer is told at its start.
type Config struct {
	Rules            []Rule
	Limits           handshakes.Limits
	SlowStart        time.Duration // after its start a server's process is new for so long
	HandshakeTimeout time.Duration // of a handshake; 0: DefaultTimeout
	ConnectTimeout   time.Duration // of a connection that is made to look at a server again; 0: Timeout
	CPU              *handshakes.CPUScheduler
	// OnTrustChange hears when a server gets nothing any more, or again. It must not wait, nor call the layer; nil: nobody does.
	OnTrustChange func(server string, refused bool)
	Log           *slog.Logger // nil: none
}

// ClientTLS puts TLS on connections to servers. Its methods may be called at once from many goroutines.
type ClientTLS struct {
	config    Config
	startedAt time.Time
	stop      chan struct{}
	tasks     sync.WaitGroup

	notifyMu sync.Mutex // over Tell, so that its last word is how things stand

	mu        sync.Mutex
	servers   map[string]*server // the processes that were spoken to, or are refused
	limiter   *handshakes.Limiter
	admitted  map[*handshakes.Reservation]chan struct{} // of those that wait
	untrusted *handshakes.UntrustedBackoff
	verified  map[verificationKey]validity
	counters  counters
	closed    bool
}

// server is one process of a server.
type server struct {
	endpoint                router.Endpoint
	rule                    *Rule
	tickets                 sessionTickets
	certificateSerial       string // the certificate that it showed last
	certificateExpiry       time.Time
	listedAt                time.Time // when the list named it first
	ownCertificateChangedAt time.Time // when our own certificate was seen to have changed
	ownCertificate          string
}

// verificationKey is a chain of certificates under a rule's trust, for one name.
type verificationKey struct {
	chainHash   [sha256.Size]byte
	rule        *Rule
	trustDigest string
	serverName  string
}

// New returns a layer. Close ends it. Errors name the rule by its place, from 0 on.
func New(c Config) (*ClientTLS, error) {
	for i := range c.Rules {
		if err := c.Rules[i].Validate(); err != nil {
			return nil, fmt.Errorf("rule %d: %w", i, err)
		}
	}
	if c.HandshakeTimeout <= 0 {
		c.HandshakeTimeout = DefaultHandshakeTimeout
	}
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = c.HandshakeTimeout
	}
	if c.OnTrustChange == nil {
		c.OnTrustChange = func(string, bool) {}
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	l := &ClientTLS{
		config: c, startedAt: time.Now(), stop: make(chan struct{}), servers: make(map[string]*server), limiter: handshakes.NewLimiter(c.Limits),
		admitted: make(map[*handshakes.Reservation]chan struct{}), untrusted: handshakes.NewUntrustedBackoff(), verified: make(map[verificationKey]validity), counters: newCounters(),
	}
	l.tasks.Go(l.recheckUntrusted)
	return l, nil
}

// Close ends the layer. Connections go on.
func (l *ClientTLS) Close() {
	l.mu.Lock()
	first := !l.closed
	l.closed = true
	l.mu.Unlock()
	if first {
		close(l.stop)
	}
	l.tasks.Wait()
}

func (l *ClientTLS) now() time.Duration { return time.Since(l.startedAt) }

// ruleFor is the one that holds for a server; nil: it is spoken to without TLS.
func (l *ClientTLS) ruleFor(m *router.Endpoint) *Rule {
	for i := range l.config.Rules {
		if r := &l.config.Rules[i]; r.matches(m) {
			if r.Plaintext {
				return nil
			}
			return r
		}
	}
	return nil
}

// UsesTLS tells whether a server is spoken to by TLS.
func (l *ClientTLS) UsesTLS(m *router.Endpoint) bool { return l.ruleFor(m) != nil }

// CheckTrusted tells why a server gets nothing; nil where it does.
func (l *ClientTLS) CheckTrusted(m *router.Endpoint) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if why, ok := l.untrusted.Reason(m.ID); ok {
		return &UntrustedError{why, "it is refused until it proves who it is"}
	}
	return nil
}

// UpdateServer tells of a server of the list. What is kept for it is bounded by that: whoever calls Know calls Forget.
func (l *ClientTLS) UpdateServer(m router.Endpoint) {
	rule := l.ruleFor(&m)
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.servers[m.ID]; p != nil && p.rule == rule {
		if !p.endpoint.Started.Equal(m.Started) {
			p.listedAt = time.Now()
		}
		p.endpoint = m
		return
	}
	if rule != nil {
		l.servers[m.ID] = newServer(&m, rule)
	}
}

func newServer(m *router.Endpoint, rule *Rule) *server {
	p := &server{endpoint: *m, rule: rule, listedAt: time.Now()}
	_, p.ownCertificate = rule.digests()
	return p
}

// isWarmingUp reports whether the process of m may still be warming up, counted from when the list named it: its start by
// the wall clock says nothing where that was stepped.
func (l *ClientTLS) isWarmingUp(m *router.Endpoint) bool {
	if l.config.SlowStart <= 0 || m.Started.IsZero() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.servers[m.ID]
	return p == nil || !p.endpoint.Started.Equal(m.Started) || time.Since(p.listedAt) < l.config.SlowStart
}

// serverFor is the process of m; one of its own where the list has left it behind meanwhile.
func (l *ClientTLS) serverFor(m *router.Endpoint, rule *Rule) *server {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.servers[m.ID]; p != nil && p.endpoint.Addr == m.Addr && p.endpoint.Started.Equal(m.Started) && p.rule == rule {
		return p
	}
	return newServer(m, rule)
}

// RemoveServer drops a server that is gone, or whose process is another one now.
func (l *ClientTLS) RemoveServer(id string) {
	l.mu.Lock()
	delete(l.servers, id)
	_, was := l.untrusted.Reason(id)
	l.untrusted.Forget(id)
	l.mu.Unlock()
	if was {
		l.notifyTrust(id)
	}
}

// notifyTrust passes on whether a server is refused now: two changes of it must not overtake one another on their way.
func (l *ClientTLS) notifyTrust(id string) {
	l.notifyMu.Lock()
	defer l.notifyMu.Unlock()
	l.mu.Lock()
	_, refused := l.untrusted.Reason(id)
	l.mu.Unlock()
	l.config.OnTrustChange(id, refused)
}

// InvalidateTrust has what is kept judged anew: what is trusted, or shown, may have changed.
func (l *ClientTLS) InvalidateTrust() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.verified)
	l.untrusted.RecheckAll(l.now())
}

// Handshake makes the TLS connection of a server over a new one, which it closes on an error. It waits for its turn until
// wait ends, and is broken off by the end of ctx. urgent says that a request waits for it. An *Untrusted error says that the server could not prove who it is.
func (l *ClientTLS) Handshake(wait, ctx context.Context, m *router.Endpoint, urgent bool, dial func() (*net.TCPConn, error)) (*Conn, error) {
	rule := l.ruleFor(m)
	turn := &handshakes.Reservation{Server: m.ID, WarmingUp: l.isWarmingUp(m), Speculative: !urgent}
	if err := l.acquireSlot(wait, turn); err != nil {
		return nil, err
	}
	defer l.releaseSlot(turn)
	tcp, err := dial()
	if err != nil {
		return nil, err
	}
	p := l.serverFor(m, rule)
	c, err := l.handshake(ctx, m, rule, p, urgent, tcp)
	if err != nil {
		tcp.Close()
		return nil, l.recordFailure(m, p, err)
	}
	l.mu.Lock()
	back := l.servers[m.ID] == p && l.untrusted.RecordSuccess(m.ID) // a former process proves nothing for this one
	p.certificateSerial, p.certificateExpiry = c.state.PeerCertificates[0].SerialNumber.Text(16), c.validity.notAfter
	l.mu.Unlock()
	if back {
		l.config.Log.Info("tls: a server proves who it is again", "server", m.ID)
		l.notifyTrust(m.ID)
	}
	return c, nil
}

// acquireSlot waits for the turn of a handshake.
func (l *ClientTLS) acquireSlot(ctx context.Context, t *handshakes.Reservation) error {
	l.mu.Lock()
	switch l.limiter.Acquire(t) {
	case handshakes.Proceed:
		l.mu.Unlock()
		return nil
	case handshakes.Reject:
		l.counters.rejected++
		l.mu.Unlock()
		return ErrTooManyHandshakes
	}
	mine := make(chan struct{})
	l.admitted[t] = mine
	l.counters.queued++
	l.mu.Unlock()
	select {
	case <-mine:
		return nil
	case <-ctx.Done():
		l.releaseSlot(t)
		return ctx.Err()
	}
}

// releaseSlot gives a turn back, and lets those in whose turn it is now.
func (l *ClientTLS) releaseSlot(t *handshakes.Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.admitted, t)
	for _, next := range l.limiter.Release(t) {
		close(l.admitted[next])
		delete(l.admitted, next)
	}
}

// handshake is one handshake.
func (l *ClientTLS) handshake(ctx context.Context, m *router.Endpoint, rule *Rule, p *server, urgent bool, tcp *net.TCPConn) (*Conn, error) {
	began := time.Now()
	by := began.Add(l.config.HandshakeTimeout)
	if end, ok := ctx.Deadline(); ok && end.Before(by) {
		by = end
	}
	_ = tcp.SetDeadline(by)
	wire := handshakes.NewConn(tcp, l.config.CPU, urgent, by, ctx.Done())
	c := &Conn{raw: wire, client: l, endpoint: *m, rule: rule, server: p}
	c.trustDigest, c.ownCertificate = rule.digests()
	conf := &tls.Config{
		ServerName: rule.serverName(m), NextProtos: rule.ALPN, MinVersion: tls.VersionTLS13,
		// crypto/tls would go by names and authorities alone, and not look again at a session that is taken up: verify does.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) (err error) {
			c.validity, err = l.verify(rule, m, s.PeerCertificates)
			return err
		},
		ClientSessionCache: &sessionCache{tickets: &p.tickets, trustDigest: c.trustDigest, ownCertificate: c.ownCertificate},
	}
	if rule.AllowTLS12 {
		conf.MinVersion = tls.VersionTLS12
	}
	if rule.ClientCertificate != nil {
		own := new(tls.Certificate) // none, where nothing was handed yet
		if pair := rule.ClientCertificate.Set().For(""); pair != nil {
			own = &pair.Cert
		}
		conf.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return own, nil }
	}
	if err := wire.BeginCompute(); err != nil {
		return nil, err
	}
	c.tls = tls.Client(wire, conf)
	err := c.tls.HandshakeContext(ctx)
	worked := wire.EndHandshake()
	if err != nil {
		return nil, err
	}
	_ = tcp.SetDeadline(time.Time{})
	c.state = c.tls.ConnectionState()
	l.mu.Lock()
	l.counters.countHandshake(c.state.DidResume, time.Since(began), worked)
	l.mu.Unlock()
	return c, nil
}

// verify is a rule's verify, whose answers are remembered: a chain is seen again with each connection.
func (l *ClientTLS) verify(rule *Rule, m *router.Endpoint, chain []*x509.Certificate) (validity, error) {
	now := time.Now()
	sum := sha256.New()
	for _, c := range chain {
		sum.Write(c.Raw)
	}
	key := verificationKey{rule: rule, serverName: rule.serverName(m)}
	key.trustDigest, _ = rule.digests()
	sum.Sum(key.chainHash[:0])
	l.mu.Lock()
	s, known := l.verified[key]
	l.mu.Unlock()
	if known && s.contains(now) {
		return s, nil
	}
	s, err := rule.verify(m, chain, now)
	if err != nil {
		return validity{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.verified) >= maxVerified {
		clear(l.verified)
	}
	l.verified[key] = s
	return s, nil
}

// recordFailure notes why a handshake failed. A server that could not prove who it is gets nothing from now on.
func (l *ClientTLS) recordFailure(m *router.Endpoint, p *server, err error) error {
	err = classifyError(err)
	if errors.Is(err, handshakes.ErrHandshakeTooLarge) {
		err = &UntrustedError{reasonTooMuchData, err.Error()}
	}
	var untrusted *UntrustedError
	l.mu.Lock()
	first := false
	if errors.As(err, &untrusted) {
		l.counters.countFailure(untrusted.Reason)
		if l.servers[m.ID] == p { // else it is gone, or another process
			first = l.untrusted.RecordFailure(l.now(), m.ID, untrusted.Reason)
		}
	} else {
		l.counters.countFailure(connectionFailure(err))
	}
	l.mu.Unlock()
	if first {
		l.config.Log.Warn("tls: a server can't prove who it is, and gets nothing", "server", m.ID, "why", untrusted)
		l.notifyTrust(m.ID)
	}
	return err
}

// connectionFailure names how a handshake failed that says nothing of who the server is.
func connectionFailure(err error) string {
	var ne net.Error
	switch {
	case errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed):
		return "called off"
	case errors.As(err, &ne) && ne.Timeout() || errors.Is(err, context.DeadlineExceeded):
		return "no answer in time"
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	}
	return "broken off"
}

// recheckUntrusted looks at refused servers again when they are due.
func (l *ClientTLS) recheckUntrusted() {
	tick := time.NewTicker(recheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-l.stop:
			return
		}
		l.mu.Lock()
		for _, id := range l.untrusted.StartDue(l.now()) {
			if p := l.servers[id]; p != nil {
				m := p.endpoint
				l.tasks.Go(func() { l.recheck(m) })
			} else {
				l.untrusted.Forget(id)
			}
		}
		l.mu.Unlock()
	}
}

// recheck has a refused server prove who it is, without a request.
func (l *ClientTLS) recheck(m router.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), l.config.ConnectTimeout+l.config.HandshakeTimeout)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	l.tasks.Go(func() { // Close need not wait for the time-out
		select {
		case <-l.stop:
			cancel()
		case <-ended:
		}
	})
	c, err := l.Handshake(ctx, ctx, &m, false, func() (*net.TCPConn, error) {
		d := net.Dialer{Timeout: l.config.ConnectTimeout, KeepAlive: -1}
		nc, err := d.DialContext(ctx, "tcp", m.Addr)
		if err != nil {
			return nil, err
		}
		return nc.(*net.TCPConn), nil
	})
	if err == nil {
		c.Close()
	}
	l.mu.Lock()
	l.untrusted.RecordInconclusive(l.now(), m.ID) // does nothing where the look has ended
	l.mu.Unlock()
}
