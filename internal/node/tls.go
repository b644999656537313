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
	Rules   []secure.Rule // towards servers
	Limits  handshakes.Limits
	Timeout time.Duration // of a handshake towards a server; 0: the transport's default
	Share   float64       // of a core, for the arithmetic of handshakes while requests are in flight; 0: the default
	Clients *Listener     // nil: they come in plain
	Door    *Listener
	Stores  []*certificates.Store          // all of the above, each once
	Secrets map[string]*certificates.Store // of them, those that a control plane hands, by the name of the secret
	Every   time.Duration                  // between looks at the files
	Warn    []time.Duration
}

// Listener is how clients come in.
type Listener struct {
	Keys    *certificates.Store
	Trust   *certificates.Store   // whose clients may show a certificate; nil: none are asked for
	Tickets *certificates.Tickets // nil: each process has its own
	Require bool
	TLS12   bool
	Timeout time.Duration
}

// TLSStatus is what the door tells of TLS.
type TLSStatus struct {
	Keys    []certificates.Entry `json:"keys"` // in force, the first to end in front
	Refused string               `json:"refused_files,omitempty"`
	Pieces  uint64               `json:"pieces"`  // of arithmetic, of both sides
	Worked  time.Duration        `json:"work_ns"` // that they took
	Servers *secure.Stats        `json:"servers,omitempty"`
	Clients *frontsecure.Stats   `json:"clients,omitempty"`
	Msgpack *frontsecure.Stats   `json:"msgpack,omitempty"`
	Door    *frontsecure.Stats   `json:"door,omitempty"`
}

// secured is a node's TLS at work; nil is a node without.
type secured struct {
	c       TLS
	log     *slog.Logger
	core    *handshakes.CPUScheduler
	engine  atomic.Pointer[router.Router]
	servers *secure.Layer
	clients *frontsecure.Layer
	msgpack *frontsecure.Layer
	door    *frontsecure.Layer
	refused atomic.Pointer[string] // the files that were refused last, while they are
}

// secureNode puts in place what c asks for. refuse has a server get nothing, or again.
func secureNode(c Config, refuse func(id string, refused bool), log *slog.Logger) (*secured, error) {
	if c.TLS == nil {
		return nil, nil
	}
	s := &secured{c: *c.TLS, log: log}
	s.core = handshakes.NewCPUScheduler(s.c.Share, int(math.Ceil(c.Cores)), func() bool {
		e := s.engine.Load()
		return e != nil && e.InFlight() > 0
	})
	listener := func(l *Listener, alpn ...string) (*frontsecure.Layer, error) {
		if l == nil {
			return nil, nil
		}
		return frontsecure.New(frontsecure.Config{Keys: l.Keys, Trust: l.Trust, Require: l.Require, Tickets: l.Tickets, TLS12: l.TLS12, ALPN: alpn, Timeout: l.Timeout, Core: s.core, Log: log})
	}
	var errs [3]error
	s.clients, errs[0] = listener(s.c.Clients, "http/1.1")
	s.msgpack, errs[1] = listener(s.c.Clients)
	s.door, errs[2] = listener(s.c.Door, "http/1.1")
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	if len(s.c.Rules) > 0 {
		var err error
		s.servers, err = secure.New(secure.Config{
			Rules: s.c.Rules, Limits: s.c.Limits, ColdFor: c.Settings.Rules.SlowStartWindow, Timeout: s.c.Timeout, Connect: c.ConnectTimeout,
			Core: s.core, Tell: refuse, Log: log,
		})
		return s, err
	}
	return s, nil
}

// towards is the layer of the transports; nil: they speak to all servers without TLS.
func (s *secured) towards() *secure.Layer {
	if s == nil {
		return nil
	}
	return s.servers
}

// fromClients is the layer of the clients' listener; nil where they come in plain.
func (s *secured) fromClients() *frontsecure.Layer {
	if s == nil {
		return nil
	}
	return s.clients
}

// wrapMsgpack puts TLS on a listener for MessagePack-RPC.
func (s *secured) wrapMsgpack(ln net.Listener) net.Listener {
	if s == nil || s.msgpack == nil {
		return ln
	}
	return s.msgpack.Listener(ln)
}

// close ends what runs for it, once the transports have ended.
func (s *secured) close() {
	if s != nil && s.servers != nil {
		s.servers.Close()
	}
}

// run looks at the files until ctx ends.
func (s *secured) run(ctx context.Context) {
	if s == nil {
		return
	}
	var files []*certificates.Watched
	handed := make(map[*certificates.Store]*certificates.Set)
	for _, k := range s.c.Secrets {
		handed[k] = k.Set()
	}
	for _, k := range s.c.Stores {
		if _, ok := handed[k]; !ok {
			files = append(files, k.Watch())
		}
	}
	for _, l := range []*Listener{s.c.Clients, s.c.Door} {
		if l != nil && l.Tickets != nil {
			files = append(files, l.Tickets.Watch())
		}
	}
	warnings := certificates.NewWarnings(s.c.Warn)
	bad := make(map[string]string)
	tick := time.NewTicker(s.c.Every)
	defer tick.Stop()
	for {
		for _, w := range warnings.Due(time.Now(), s.entries()) {
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
		s.look(files, handed, bad)
	}
}

// look is one look at the files, and at what a control plane has handed; bad keeps the files that are refused.
func (s *secured) look(files []*certificates.Watched, handed map[*certificates.Store]*certificates.Set, bad map[string]string) {
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
	s.refused.Store(refused)
	if !changed {
		return
	}
	if s.servers != nil {
		s.servers.Reloaded()
	}
	for _, l := range []*frontsecure.Layer{s.clients, s.msgpack, s.door} {
		if l != nil {
			l.Retake()
		}
	}
}

func (s *secured) entries() (all []certificates.Entry) {
	for _, k := range s.c.Stores {
		all = append(all, k.Set().Entries()...)
	}
	return all
}

// status is what the door tells; nil for a node without TLS.
func (s *secured) status() *TLSStatus {
	if s == nil {
		return nil
	}
	st := &TLSStatus{Keys: s.entries()}
	if why := s.refused.Load(); why != nil {
		st.Refused = *why
	}
	st.Pieces, st.Worked = s.core.Totals()
	if s.servers != nil {
		v := s.servers.Stats()
		st.Servers = &v
	}
	for _, l := range []struct {
		layer *frontsecure.Layer
		to    **frontsecure.Stats
	}{{s.clients, &st.Clients}, {s.msgpack, &st.Msgpack}, {s.door, &st.Door}} {
		if l.layer != nil {
			v := l.layer.Stats()
			*l.to = &v
		}
	}
	return st
}
