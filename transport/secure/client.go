// Package secure implements TLS on connections to servers. It decides which servers use TLS, and how each server is
// verified. It limits handshakes, resumes sessions, and rechecks servers that failed verification. Transports run
// their handshakes through it.
package secure

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"cobaltward/handshakes"
	"cobaltward/router"
)

// DefaultHandshakeTimeout is the default of Config.HandshakeTimeout.
const DefaultHandshakeTimeout = time.Second

// ErrTooManyHandshakes is the error of a handshake that is rejected because the queue is full. Nothing was sent, and
// the server is not at fault.
var ErrTooManyHandshakes = errors.New("handshake queue is full")

// Config configures a ClientTLS.
type Config struct {
	Rules            []Rule // the first rule that matches a server applies; servers without a rule use no TLS
	Limits           handshakes.Limits
	SlowStart        time.Duration // warm-up time of a server process after its start; 0: none
	HandshakeTimeout time.Duration // 0: DefaultHandshakeTimeout
	ConnectTimeout   time.Duration // timeout of the TCP connection of a recheck; 0: HandshakeTimeout
	CPU              *handshakes.CPUScheduler
	// OnTrustChange is called when a server becomes untrusted or trusted. It must not block, and must not call the
	// ClientTLS.
	OnTrustChange func(server string, untrusted bool)
	Log           *slog.Logger // nil: none
}

// ClientTLS is the client side of TLS on connections to servers. Its methods may be called concurrently.
type ClientTLS struct {
	config    Config
	startedAt time.Time
	stop      chan struct{}
	tasks     sync.WaitGroup

	notifyMu sync.Mutex // serializes calls of OnTrustChange, so that the last call reports the current state

	mu        sync.Mutex
	servers   map[string]*server // servers of the endpoint list that use TLS, by ID
	limiter   *handshakes.Limiter
	admitted  map[*handshakes.Reservation]chan struct{} // closed when the queued handshake may start
	untrusted *handshakes.UntrustedBackoff
	verified  map[verificationKey]validity
	counters  counters
	closed    bool
}

// server is the TLS state of one process of a listed server.
type server struct {
	endpoint           router.Endpoint
	rule               *Rule
	sessions           sessionStore
	certificateSerial  string // hexadecimal serial of the certificate in the last successful handshake
	certificateExpiry  time.Time
	listedAt           time.Time // time when the endpoint list first named the process
	ownDigest          string    // last known digest of the certificate of this node
	ownDigestChangedAt time.Time // time of the last change of ownDigest
}

// New returns a ClientTLS. The caller must close it. An error about a rule contains the index of the rule.
func New(config Config) (*ClientTLS, error) {
	for i := range config.Rules {
		if err := config.Rules[i].Validate(); err != nil {
			return nil, fmt.Errorf("rule %d: %w", i, err)
		}
	}
	if config.HandshakeTimeout <= 0 {
		config.HandshakeTimeout = DefaultHandshakeTimeout
	}
	if config.ConnectTimeout <= 0 {
		config.ConnectTimeout = config.HandshakeTimeout
	}
	if config.OnTrustChange == nil {
		config.OnTrustChange = func(string, bool) {}
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	client := &ClientTLS{
		config:    config,
		startedAt: time.Now(),
		stop:      make(chan struct{}),
		servers:   make(map[string]*server),
		limiter:   handshakes.NewLimiter(config.Limits),
		admitted:  make(map[*handshakes.Reservation]chan struct{}),
		untrusted: handshakes.NewUntrustedBackoff(),
		verified:  make(map[verificationKey]validity),
		counters:  newCounters(),
	}
	client.tasks.Go(client.recheckUntrusted)
	return client, nil
}

// Close stops the rechecks of untrusted servers. Open connections remain open.
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

// now returns the time since New by the monotonic clock.
func (l *ClientTLS) now() time.Duration { return time.Since(l.startedAt) }

// ruleFor returns the first rule that applies to endpoint; nil if the server uses no TLS.
func (l *ClientTLS) ruleFor(endpoint *router.Endpoint) *Rule {
	for i := range l.config.Rules {
		rule := &l.config.Rules[i]
		if !rule.matches(endpoint) {
			continue
		}
		if rule.Plaintext {
			return nil
		}
		return rule
	}
	return nil
}

// UsesTLS reports whether the server that endpoint describes uses TLS.
func (l *ClientTLS) UsesTLS(endpoint *router.Endpoint) bool { return l.ruleFor(endpoint) != nil }

// CheckTrusted returns an *UntrustedError if the server failed verification and has not passed it since.
func (l *ClientTLS) CheckTrusted(endpoint *router.Endpoint) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reason, untrusted := l.untrusted.Reason(endpoint.ID); untrusted {
		return &UntrustedError{reason, "the server has not passed verification since"}
	}
	return nil
}

// UpdateServer applies an entry of the endpoint list. The state of a server that uses TLS is kept until RemoveServer.
func (l *ClientTLS) UpdateServer(endpoint router.Endpoint) {
	rule := l.ruleFor(&endpoint)
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.servers[endpoint.ID]; known != nil && known.rule == rule {
		if !known.endpoint.Started.Equal(endpoint.Started) {
			known.listedAt = time.Now()
		}
		known.endpoint = endpoint
		return
	}
	if rule != nil {
		l.servers[endpoint.ID] = newServer(&endpoint, rule)
	}
}

func newServer(endpoint *router.Endpoint, rule *Rule) *server {
	_, ownDigest := rule.digests()
	return &server{endpoint: *endpoint, rule: rule, listedAt: time.Now(), ownDigest: ownDigest}
}

// RemoveServer drops the state of the server with the given ID. Transports call it when the server is removed from the
// endpoint list or replaced by another process.
func (l *ClientTLS) RemoveServer(id string) {
	l.mu.Lock()
	delete(l.servers, id)
	_, wasUntrusted := l.untrusted.Reason(id)
	l.untrusted.Forget(id)
	l.mu.Unlock()
	if wasUntrusted {
		l.notifyTrust(id)
	}
}

// isWarmingUp reports whether the process of endpoint may still be warming up. The warm-up time counts from the first
// endpoint list that names the process. The start time of the process would be wrong after a step of the wall clock.
func (l *ClientTLS) isWarmingUp(endpoint *router.Endpoint) bool {
	if l.config.SlowStart <= 0 || endpoint.Started.IsZero() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.servers[endpoint.ID]
	isListed := known != nil && known.endpoint.Started.Equal(endpoint.Started)
	return !isListed || time.Since(known.listedAt) < l.config.SlowStart
}

// serverFor returns the state of the process of endpoint. If the endpoint list now names another process or rule,
// serverFor returns a temporary state.
func (l *ClientTLS) serverFor(endpoint *router.Endpoint, rule *Rule) *server {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.servers[endpoint.ID]
	if known != nil && known.rule == rule && known.endpoint.Addr == endpoint.Addr &&
		known.endpoint.Started.Equal(endpoint.Started) {
		return known
	}
	return newServer(endpoint, rule)
}

// notifyTrust reports to OnTrustChange whether the server with the given ID is untrusted.
func (l *ClientTLS) notifyTrust(id string) {
	l.notifyMu.Lock()
	defer l.notifyMu.Unlock()
	l.mu.Lock()
	_, untrusted := l.untrusted.Reason(id)
	l.mu.Unlock()
	l.config.OnTrustChange(id, untrusted)
}

// InvalidateTrust drops the cached verifications and makes the rechecks of all untrusted servers due. The caller must
// call it after the certificates or authorities of a rule were reloaded.
func (l *ClientTLS) InvalidateTrust() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.verified)
	l.untrusted.RecheckAll(l.now())
}
