package node

import (
	"context"
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

// TLS is who is spoken to by TLS, and by which keys. What its files hold is swapped while all runs.
type TLS struct {
	ServerRules            []secure.Rule // towards servers
	HandshakeLimits        handshakes.Limits
	ServerHandshakeTimeout time.Duration // of a handshake towards a server; 0: the transport's default
	CPUShare               float64       // of a core, for the arithmetic of handshakes while requests are in flight; 0: the default
	Clients                *TLSListener  // nil: they come in plain
	AdminAPI               *TLSListener
	Stores                 []*certificates.Store          // all of the above, each once
	Secrets                map[string]*certificates.Store // of them, those that a control plane hands, by the name of the secret
	CheckInterval          time.Duration                  // between looks at the files
	ExpiryWarnings         []time.Duration
}

// TLSListener is how clients come in.
type TLSListener struct {
	Certificates      *certificates.Store
	ClientCAs         *certificates.Store   // whose clients may show a certificate; nil: none are asked for
	Tickets           *certificates.Tickets // nil: each process has its own
	RequireClientCert bool
	AllowTLS12        bool
	HandshakeTimeout  time.Duration
}

// TLSStatus is what the door tells of TLS.
type TLSStatus struct {
	Certificates   []certificates.Entry `json:"keys"` // in force, the first to end in front
	RejectedFile   string               `json:"refused_files,omitempty"`
	HandshakeSteps uint64               `json:"pieces"`  // of arithmetic, of both sides
	HandshakeTime  time.Duration        `json:"work_ns"` // that they took
	Servers        *secure.Stats        `json:"servers,omitempty"`
	Clients        *frontsecure.Stats   `json:"clients,omitempty"`
	Msgpack        *frontsecure.Stats   `json:"msgpack,omitempty"`
	AdminAPI       *frontsecure.Stats   `json:"door,omitempty"`
}

// nodeTLS is a node's TLS at work; nil is a node without.
type nodeTLS struct {
	config       TLS
	log          *slog.Logger
	cpuBudget    *handshakes.CPUScheduler
	engine       atomic.Pointer[router.Router]
	serverLayer  *secure.ClientTLS
	clientLayer  *frontsecure.Layer
	msgpackLayer *frontsecure.Layer
	adminLayer   *frontsecure.Layer
	rejectedFile atomic.Pointer[string] // the files that were refused last, while they are
}

// newNodeTLS puts in place what c asks for. refuse has a server get nothing, or again.
func newNodeTLS(c Config, refuse func(id string, refused bool), log *slog.Logger) (*nodeTLS, error) {
	if c.TLS == nil {
		return nil, nil
	}
	s := &nodeTLS{config: *c.TLS, log: log}
	s.cpuBudget = handshakes.NewCPUScheduler(s.config.CPUShare, int(math.Ceil(c.Cores)), func() bool {
		e := s.engine.Load()
		return e != nil && e.InFlight() > 0
	})
	listener := func(l *TLSListener, alpn ...string) (*frontsecure.Layer, error) {
		if l == nil {
			return nil, nil
		}
		return frontsecure.New(frontsecure.Config{Keys: l.Certificates, Trust: l.ClientCAs, Require: l.RequireClientCert, Tickets: l.Tickets, TLS12: l.AllowTLS12, ALPN: alpn, Timeout: l.HandshakeTimeout, Core: s.cpuBudget, Log: log})
	}
	var errs [3]error
	s.clientLayer, errs[0] = listener(s.config.Clients, "http/1.1")
	s.msgpackLayer, errs[1] = listener(s.config.Clients)
	s.adminLayer, errs[2] = listener(s.config.AdminAPI, "http/1.1")
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	if len(s.config.ServerRules) > 0 {
		var err error
		s.serverLayer, err = secure.New(secure.Config{
			Rules: s.config.ServerRules, Limits: s.config.HandshakeLimits, SlowStart: c.Settings.Rules.SlowStartWindow, HandshakeTimeout: s.config.ServerHandshakeTimeout, ConnectTimeout: c.ConnectTimeout,
			CPU: s.cpuBudget, OnTrustChange: refuse, Log: log,
		})
		return s, err
	}
	return s, nil
}

// transportLayer is the layer of the transports; nil: they speak to all servers without TLS.
func (s *nodeTLS) transportLayer() *secure.ClientTLS {
	if s == nil {
		return nil
	}
	return s.serverLayer
}

// clientListenerLayer is the layer of the clients' listener; nil where they come in plain.
func (s *nodeTLS) clientListenerLayer() *frontsecure.Layer {
	if s == nil {
		return nil
	}
	return s.clientLayer
}

// wrapMsgpack puts TLS on a listener for MessagePack-RPC.
func (s *nodeTLS) wrapMsgpack(ln net.Listener) net.Listener {
	if s == nil || s.msgpackLayer == nil {
		return ln
	}
	return s.msgpackLayer.Listener(ln)
}

// close ends what runs for it, once the transports have ended.
func (s *nodeTLS) close() {
	if s != nil && s.serverLayer != nil {
		s.serverLayer.Close()
	}
}

// run looks at the files until ctx ends.
func (s *nodeTLS) run(ctx context.Context) {
	if s == nil {
		return
	}
	var files []*certificates.Watched
	handed := make(map[*certificates.Store]*certificates.Set)
	for _, k := range s.config.Secrets {
		handed[k] = k.Set()
	}
	for _, k := range s.config.Stores {
		if _, ok := handed[k]; !ok {
			files = append(files, k.Watch())
		}
	}
	for _, l := range []*TLSListener{s.config.Clients, s.config.AdminAPI} {
		if l != nil && l.Tickets != nil {
			files = append(files, l.Tickets.Watch())
		}
	}
	warnings := certificates.NewWarnings(s.config.ExpiryWarnings)
	bad := make(map[string]string)
	tick := time.NewTicker(s.config.CheckInterval)
	defer tick.Stop()
	for {
		for _, w := range warnings.Due(time.Now(), s.certificates()) {
			if w.Left <= 0 {
				s.log.Error("tls: a certificate has ended", "source", w.Source, "serial", w.Serial, "ended", w.Ends)
			} else {
				s.log.Warn("tls: a certificate will end", "source", w.Source, "serial", w.Serial, "ends", w.Ends, "left", w.Left.Round(time.Minute))
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s.checkFiles(files, handed, bad)
	}
}

// checkFiles is one look at the files, and at what a control plane has handed; bad keeps the files that are refused.
func (s *nodeTLS) checkFiles(files []*certificates.Watched, handed map[*certificates.Store]*certificates.Set, bad map[string]string) {
	changed := false
	for k, was := range handed {
		if now := k.Set(); now != was {
			handed[k], changed = now, true
		}
	}
	for _, f := range files {
		switch l := f.Look(time.Now()); {
		case l.Err != nil:
			bad[l.Source] = l.Err.Error()
			s.log.Error("tls: keeping the former keys", "err", l.Err)
		case l.Changed:
			changed = true
			delete(bad, l.Source)
			s.log.Info("tls: new keys in force", "source", l.Source, "trust_changed", l.Trust)
		}
	}
	var refused *string
	for _, why := range bad { // any of them: the log has all
		refused = &why
	}
	s.rejectedFile.Store(refused)
	if !changed {
		return
	}
	if s.serverLayer != nil {
		s.serverLayer.InvalidateTrust()
	}
	for _, l := range []*frontsecure.Layer{s.clientLayer, s.msgpackLayer, s.adminLayer} {
		if l != nil {
			l.Retake()
		}
	}
}

func (s *nodeTLS) certificates() (all []certificates.Entry) {
	for _, k := range s.config.Stores {
		all = append(all, k.Set().Entries()...)
	}
	return all
}

// status is what the door tells; nil for a node without TLS.
func (s *nodeTLS) status() *TLSStatus {
	if s == nil {
		return nil
	}
	st := &TLSStatus{Certificates: s.certificates()}
	if why := s.rejectedFile.Load(); why != nil {
		st.RejectedFile = *why
	}
	st.HandshakeSteps, st.HandshakeTime = s.cpuBudget.Totals()
	if s.serverLayer != nil {
		v := s.serverLayer.Stats()
		st.Servers = &v
	}
	for _, l := range []struct {
		layer *frontsecure.Layer
		to    **frontsecure.Stats
	}{{s.clientLayer, &st.Clients}, {s.msgpackLayer, &st.Msgpack}, {s.adminLayer, &st.AdminAPI}} {
		if l.layer != nil {
			v := l.layer.Stats()
			*l.to = &v
		}
	}
	return st
}
