package node

import (
	"errors"
	"log/slog"
	"math"
	"net"
	"sync/atomic"
	"time"

	"cobaltward/certificates"
	"cobaltward/handshakes"
	"cobaltward/router"
	"cobaltward/transport/secure"

	frontsecure "cobaltward/internal/frontend/secure"
)

// TLS configures TLS with servers, clients and operators. Changed certificate files take effect while the node runs.
type TLS struct {
	ServerRules            []secure.Rule // rules for TLS with servers; the first rule that matches a server applies
	HandshakeLimits        handshakes.Limits
	ServerHandshakeTimeout time.Duration // default: the transport's default
	CPUShare               float64       // CPU share of handshakes while requests are in flight; default: DefaultCPUShare
	Clients                *TLSListener  // nil: clients use plain HTTP
	AdminAPI               *TLSListener  // nil: the admin API uses plain HTTP

	// Stores contains all certificate stores that the rules and listeners use, without duplicates.
	Stores []*certificates.Store
	// Secrets contains the elements of Stores that a control plane fills, by the name of the secret. These stores are
	// not read from files.
	Secrets map[string]*certificates.Store

	CheckInterval  time.Duration   // interval between checks of the files for changes
	ExpiryWarnings []time.Duration // times before the expiry of a certificate at which a warning is logged
}

// TLSListener configures TLS for the connections of a listener.
type TLSListener struct {
	Certificates      *certificates.Store
	ClientCAs         *certificates.Store   // authorities of client certificates; nil: none are requested
	Tickets           *certificates.Tickets // nil: each process has its own session ticket keys
	RequireClientCert bool
	AllowTLS12        bool
	HandshakeTimeout  time.Duration // default: DefaultTimeout of package frontend/secure
}

// nodeTLS is the TLS state of a running node. A nil *nodeTLS stands for a node without TLS. run, status, close,
// wrapMsgpack, transportLayer and clientListenerLayer accept a nil receiver. Its methods are safe for concurrent use.
type nodeTLS struct {
	config             TLS
	log                *slog.Logger
	cpuBudget          *handshakes.CPUScheduler
	engine             atomic.Pointer[router.Router] // nil until the engine exists
	serverLayer        *secure.ClientTLS             // nil: no TLS with servers
	clientLayer        *frontsecure.Terminator       // nil: clients use plain HTTP
	msgpackLayer       *frontsecure.Terminator       // nil: MessagePack-RPC without TLS
	adminLayer         *frontsecure.Terminator       // nil: the admin API uses plain HTTP
	rejectedFileReason atomic.Pointer[string]        // reason for rejecting a file; nil: no file is rejected
}

// newNodeTLS returns the TLS state for config, or nil if config has no TLS. setUntrusted is called when a server
// fails to prove its identity, and again when the server succeeds.
func newNodeTLS(
	config Config, setUntrusted func(id string, untrusted bool), log *slog.Logger,
) (*nodeTLS, error) {
	if config.TLS == nil {
		return nil, nil
	}
	tls := &nodeTLS{config: *config.TLS, log: log}
	tls.cpuBudget = handshakes.NewCPUScheduler(tls.config.CPUShare, int(math.Ceil(config.Cores)), tls.hasRequests)
	var errs [3]error
	tls.clientLayer, errs[0] = tls.newListenerLayer(tls.config.Clients, "http/1.1")
	tls.msgpackLayer, errs[1] = tls.newListenerLayer(tls.config.Clients)
	tls.adminLayer, errs[2] = tls.newListenerLayer(tls.config.AdminAPI, "http/1.1")
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	if len(tls.config.ServerRules) == 0 {
		return tls, nil
	}
	var err error
	tls.serverLayer, err = secure.New(secure.Config{
		Rules:            tls.config.ServerRules,
		Limits:           tls.config.HandshakeLimits,
		SlowStart:        config.Settings.Rules.SlowStartWindow,
		HandshakeTimeout: tls.config.ServerHandshakeTimeout,
		ConnectTimeout:   config.ConnectTimeout,
		CPU:              tls.cpuBudget,
		OnTrustChange:    setUntrusted,
		Log:              log,
	})
	return tls, err
}

// newListenerLayer returns the TLS layer of a listener, or nil if listener is nil. The layer offers the protocols in
// alpn.
func (s *nodeTLS) newListenerLayer(listener *TLSListener, alpn ...string) (*frontsecure.Terminator, error) {
	if listener == nil {
		return nil, nil
	}
	return frontsecure.New(frontsecure.Config{
		Certificates: listener.Certificates,
		Trust:        listener.ClientCAs,
		Require:      listener.RequireClientCert,
		Tickets:      listener.Tickets,
		TLS12:        listener.AllowTLS12,
		ALPN:         alpn,
		Timeout:      listener.HandshakeTimeout,
		CPU:          s.cpuBudget,
		Log:          s.log,
	})
}

// hasRequests reports whether requests are in flight. Handshakes then use only a limited share of the CPU.
func (s *nodeTLS) hasRequests() bool {
	engine := s.engine.Load()
	return engine != nil && engine.InFlight() > 0
}

// transportLayer returns the TLS layer of the transports, or nil if the transports use no TLS.
func (s *nodeTLS) transportLayer() *secure.ClientTLS {
	if s == nil {
		return nil
	}
	return s.serverLayer
}

// clientListenerLayer returns the TLS layer of the listener for HTTP clients, or nil if clients use plain HTTP.
func (s *nodeTLS) clientListenerLayer() *frontsecure.Terminator {
	if s == nil {
		return nil
	}
	return s.clientLayer
}

// wrapMsgpack adds TLS to a listener for MessagePack-RPC if clients use TLS. If clients use no TLS, it returns the
// listener unchanged.
func (s *nodeTLS) wrapMsgpack(listener net.Listener) net.Listener {
	if s == nil || s.msgpackLayer == nil {
		return listener
	}
	return s.msgpackLayer.Listener(listener)
}

// listenerLayers returns the TLS layers of all listeners that use TLS.
func (s *nodeTLS) listenerLayers() []*frontsecure.Terminator {
	var layers []*frontsecure.Terminator
	for _, layer := range []*frontsecure.Terminator{s.clientLayer, s.msgpackLayer, s.adminLayer} {
		if layer != nil {
			layers = append(layers, layer)
		}
	}
	return layers
}

// close ends the goroutines of the TLS layer towards servers and waits for them. The transports must already be
// closed.
func (s *nodeTLS) close() {
	if s != nil && s.serverLayer != nil {
		s.serverLayer.Close()
	}
}
