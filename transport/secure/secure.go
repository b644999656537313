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
	// DefaultTimeout bounds a handshake.
	DefaultTimeout = time.Second
	lookEvery      = 50 * time.Millisecond // for servers that are due to be looked at again
	mostMemo       = 2048                  // chains whose proof is remembered
)

// ErrBusy says that too many handshakes wait already. Nothing was sent, and no server is to blame.
var ErrBusy = errors.New("too many handshakes wait")

// Config is what a Layer is told at its start.
type Config struct {
	Rules   []Rule
	Limits  handshakes.Limits
	ColdFor time.Duration // after its start a server's process is new for so long
	Timeout time.Duration // of a handshake; 0: DefaultTimeout
	Connect time.Duration // of a connection that is made to look at a server again; 0: Timeout
	Core    *handshakes.CPUScheduler
	// Tell hears when a server gets nothing any more, or again. It must not wait, nor call the layer; nil: nobody does.
	Tell func(server string, refused bool)
	Log  *slog.Logger // nil: none
}

// Layer puts TLS on connections to servers. Its methods may be called at once from many goroutines.
type Layer struct {
	c    Config
	from time.Time
	stop chan struct{}
	done sync.WaitGroup

	telling sync.Mutex // over Tell, so that its last word is how things stand

	mu      sync.Mutex
	peers   map[string]*peer // the processes that were spoken to, or are refused
	gate    *handshakes.Limiter
	turns   map[*handshakes.Reservation]chan struct{} // of those that wait
	refused *handshakes.UntrustedBackoff
	memo    map[proof]span
	stats   counts
	closed  bool
}

// peer is one process of a server.
type peer struct {
	member router.Endpoint
	rule   *Rule
	kept   tickets
	shown  string // the certificate that it showed last
	ends   time.Time
	listed time.Time // when the list named it first
	anew   time.Time // when our own certificate was seen to have changed
	own    string
}

// proof is a chain of certificates under a rule's trust, for one name.
type proof struct {
	chain [sha256.Size]byte
	rule  *Rule
	trust string
	name  string
}

// New returns a layer. Close ends it. Errors name the rule by its place, from 0 on.
func New(c Config) (*Layer, error) {
	for i := range c.Rules {
		if err := c.Rules[i].Check(); err != nil {
			return nil, fmt.Errorf("rule %d: %w", i, err)
		}
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Connect <= 0 {
		c.Connect = c.Timeout
	}
	if c.Tell == nil {
		c.Tell = func(string, bool) {}
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	l := &Layer{
		c: c, from: time.Now(), stop: make(chan struct{}), peers: make(map[string]*peer), gate: handshakes.NewLimiter(c.Limits),
		turns: make(map[*handshakes.Reservation]chan struct{}), refused: handshakes.NewUntrustedBackoff(), memo: make(map[proof]span), stats: newCounts(),
	}
	l.done.Go(l.run)
	return l, nil
}

// Close ends the layer. Connections go on.
func (l *Layer) Close() {
	l.mu.Lock()
	first := !l.closed
	l.closed = true
	l.mu.Unlock()
	if first {
		close(l.stop)
	}
	l.done.Wait()
}

func (l *Layer) now() time.Duration { return time.Since(l.from) }

// rule is the one that holds for a server; nil: it is spoken to without TLS.
func (l *Layer) rule(m *router.Endpoint) *Rule {
	for i := range l.c.Rules {
		if r := &l.c.Rules[i]; r.fits(m) {
			if r.Plain {
				return nil
			}
			return r
		}
	}
	return nil
}

// For tells whether a server is spoken to by TLS.
func (l *Layer) For(m *router.Endpoint) bool { return l.rule(m) != nil }

// Refused tells why a server gets nothing; nil where it does.
func (l *Layer) Refused(m *router.Endpoint) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if why, ok := l.refused.Reason(m.ID); ok {
		return &UntrustedError{why, "it is refused until it proves who it is"}
	}
	return nil
}

// Know tells of a server of the list. What is kept for it is bounded by that: whoever calls Know calls Forget.
func (l *Layer) Know(m router.Endpoint) {
	rule := l.rule(&m)
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[m.ID]; p != nil && p.rule == rule {
		if !p.member.Started.Equal(m.Started) {
			p.listed = time.Now()
		}
		p.member = m
		return
	}
	if rule != nil {
		l.peers[m.ID] = newPeer(&m, rule)
	}
}

func newPeer(m *router.Endpoint, rule *Rule) *peer {
	p := &peer{member: *m, rule: rule, listed: time.Now()}
	_, p.own = rule.stamp()
	return p
}

// isCold reports whether the process of m may still be warming up, counted from when the list named it: its start by
// the wall clock says nothing where that was stepped.
func (l *Layer) isCold(m *router.Endpoint) bool {
	if l.c.ColdFor <= 0 || m.Started.IsZero() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[m.ID]
	return p == nil || !p.member.Started.Equal(m.Started) || time.Since(p.listed) < l.c.ColdFor
}

// peerOf is the process of m; one of its own where the list has left it behind meanwhile.
func (l *Layer) peerOf(m *router.Endpoint, rule *Rule) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[m.ID]; p != nil && p.member.Addr == m.Addr && p.member.Started.Equal(m.Started) && p.rule == rule {
		return p
	}
	return newPeer(m, rule)
}

// Forget drops a server that is gone, or whose process is another one now.
func (l *Layer) Forget(id string) {
	l.mu.Lock()
	delete(l.peers, id)
	_, was := l.refused.Reason(id)
	l.refused.Forget(id)
	l.mu.Unlock()
	if was {
		l.tell(id)
	}
}

// tell passes on whether a server is refused now: two changes of it must not overtake one another on their way.
func (l *Layer) tell(id string) {
	l.telling.Lock()
	defer l.telling.Unlock()
	l.mu.Lock()
	_, refused := l.refused.Reason(id)
	l.mu.Unlock()
	l.c.Tell(id, refused)
}

// Reloaded has what is kept judged anew: what is trusted, or shown, may have changed.
func (l *Layer) Reloaded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.memo)
	l.refused.RecheckAll(l.now())
}

// Shake makes the TLS connection of a server over a new one, which it closes on an error. It waits for its turn until
// wait ends, and is broken off by the end of ctx. urgent says that a request waits for it. An *Untrusted error says that the server could not prove who it is.
func (l *Layer) Shake(wait, ctx context.Context, m *router.Endpoint, urgent bool, dial func() (*net.TCPConn, error)) (*Conn, error) {
	rule := l.rule(m)
	turn := &handshakes.Reservation{Server: m.ID, WarmingUp: l.isCold(m), Speculative: !urgent}
	if err := l.admit(wait, turn); err != nil {
		return nil, err
	}
	defer l.leave(turn)
	tcp, err := dial()
	if err != nil {
		return nil, err
	}
	p := l.peerOf(m, rule)
	c, err := l.shake(ctx, m, rule, p, urgent, tcp)
	if err != nil {
		tcp.Close()
		return nil, l.failed(m, p, err)
	}
	l.mu.Lock()
	back := l.peers[m.ID] == p && l.refused.RecordSuccess(m.ID) // a former process proves nothing for this one
	p.shown, p.ends = c.state.PeerCertificates[0].SerialNumber.Text(16), c.valid.until
	l.mu.Unlock()
	if back {
		l.c.Log.Info("tls: a server proves who it is again", "server", m.ID)
		l.tell(m.ID)
	}
	return c, nil
}

// admit waits for the turn of a handshake.
func (l *Layer) admit(ctx context.Context, t *handshakes.Reservation) error {
	l.mu.Lock()
	switch l.gate.Acquire(t) {
	case handshakes.Proceed:
		l.mu.Unlock()
		return nil
	case handshakes.Reject:
		l.stats.busy++
		l.mu.Unlock()
		return ErrBusy
	}
	mine := make(chan struct{})
	l.turns[t] = mine
	l.stats.waited++
	l.mu.Unlock()
	select {
	case <-mine:
		return nil
	case <-ctx.Done():
		l.leave(t)
		return ctx.Err()
	}
}

// leave gives a turn back, and lets those in whose turn it is now.
func (l *Layer) leave(t *handshakes.Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.turns, t)
	for _, next := range l.gate.Release(t) {
		close(l.turns[next])
		delete(l.turns, next)
	}
}

// shake is one handshake.
func (l *Layer) shake(ctx context.Context, m *router.Endpoint, rule *Rule, p *peer, urgent bool, tcp *net.TCPConn) (*Conn, error) {
	began := time.Now()
	by := began.Add(l.c.Timeout)
	if end, ok := ctx.Deadline(); ok && end.Before(by) {
		by = end
	}
	_ = tcp.SetDeadline(by)
	wire := handshakes.NewConn(tcp, l.c.Core, urgent, by, ctx.Done())
	c := &Conn{wire: wire, layer: l, member: *m, rule: rule, peer: p}
	c.trust, c.own = rule.stamp()
	conf := &tls.Config{
		ServerName: rule.name(m), NextProtos: rule.ALPN, MinVersion: tls.VersionTLS13,
		// crypto/tls would go by names and authorities alone, and not look again at a session that is taken up: verify does.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) (err error) {
			c.valid, err = l.verify(rule, m, s.PeerCertificates)
			return err
		},
		ClientSessionCache: &view{t: &p.kept, trust: c.trust, own: c.own},
	}
	if rule.TLS12 {
		conf.MinVersion = tls.VersionTLS12
	}
	if rule.Own != nil {
		own := new(tls.Certificate) // none, where nothing was handed yet
		if pair := rule.Own.Set().For(""); pair != nil {
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
	l.stats.shaken(c.state.DidResume, time.Since(began), worked)
	l.mu.Unlock()
	return c, nil
}

// verify is a rule's verify, whose answers are remembered: a chain is seen again with each connection.
func (l *Layer) verify(rule *Rule, m *router.Endpoint, chain []*x509.Certificate) (span, error) {
	now := time.Now()
	sum := sha256.New()
	for _, c := range chain {
		sum.Write(c.Raw)
	}
	key := proof{rule: rule, name: rule.name(m)}
	key.trust, _ = rule.stamp()
	sum.Sum(key.chain[:0])
	l.mu.Lock()
	s, known := l.memo[key]
	l.mu.Unlock()
	if known && s.holds(now) {
		return s, nil
	}
	s, err := rule.verify(m, chain, now)
	if err != nil {
		return span{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.memo) >= mostMemo {
		clear(l.memo)
	}
	l.memo[key] = s
	return s, nil
}

// failed notes why a handshake failed. A server that could not prove who it is gets nothing from now on.
func (l *Layer) failed(m *router.Endpoint, p *peer, err error) error {
	err = failure(err)
	if errors.Is(err, handshakes.ErrHandshakeTooLarge) {
		err = &UntrustedError{whyTooLong, err.Error()}
	}
	var untrusted *UntrustedError
	l.mu.Lock()
	first := false
	if errors.As(err, &untrusted) {
		l.stats.failed(untrusted.Why)
		if l.peers[m.ID] == p { // else it is gone, or another process
			first = l.refused.RecordFailure(l.now(), m.ID, untrusted.Why)
		}
	} else {
		l.stats.failed(broken(err))
	}
	l.mu.Unlock()
	if first {
		l.c.Log.Warn("tls: a server can't prove who it is, and gets nothing", "server", m.ID, "why", untrusted)
		l.tell(m.ID)
	}
	return err
}

// broken names how a handshake failed that says nothing of who the server is.
func broken(err error) string {
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

// run looks at refused servers again when they are due.
func (l *Layer) run() {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-l.stop:
			return
		}
		l.mu.Lock()
		for _, id := range l.refused.StartDue(l.now()) {
			if p := l.peers[id]; p != nil {
				m := p.member
				l.done.Go(func() { l.look(m) })
			} else {
				l.refused.Forget(id)
			}
		}
		l.mu.Unlock()
	}
}

// look has a refused server prove who it is, without a request.
func (l *Layer) look(m router.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), l.c.Connect+l.c.Timeout)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	l.done.Go(func() { // Close need not wait for the time-out
		select {
		case <-l.stop:
			cancel()
		case <-ended:
		}
	})
	c, err := l.Shake(ctx, ctx, &m, false, func() (*net.TCPConn, error) {
		d := net.Dialer{Timeout: l.c.Connect, KeepAlive: -1}
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
	l.refused.RecordInconclusive(l.now(), m.ID) // does nothing where the look has ended
	l.mu.Unlock()
}
