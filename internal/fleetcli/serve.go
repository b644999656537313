// Package fleetcli is the program wayhold-fleet: members of the council, followers, and the operators' commands.
package fleetcli

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/agent"
	"cobaltward/fleet/consensus"
	"cobaltward/fleet/lease"
	"cobaltward/internal/door"
	"cobaltward/internal/operator"
	"cobaltward/internal/site"
	"cobaltward/keys"
)

// TestHooks is what a rehearsal changes of a process: its clock, its disk, its guards, and where it stumbles. The zero
// value is the program as it is.
type TestHooks struct {
	Clock           consensus.Clock
	Storage         func(consensus.Storage) consensus.Storage
	Unsafe          lease.UnsafeOptions
	FailPoint       func(at string)
	ObserveProposal func(e fleet.Entry, holder string) func(r fleet.Result, known bool)
}

const (
	headTimeout    = 5 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
)

// settings are a process's own file.
type settings struct {
	*site.Fleet
	token     string
	tls       *mutualTLS // nil: plain
	nodeAdmin operator.Door
	log       *slog.Logger
}

func load(path string, logs *os.File) (*settings, error) {
	if path == "" {
		return nil, errors.New("which process? Name its own file by --config")
	}
	f, err := site.Load(path)
	if err != nil {
		return nil, err
	}
	if f.Fleet == nil {
		return nil, fmt.Errorf("%s: there is no table [fleet]", path)
	}
	o, err := operator.Load(path)
	if err != nil {
		return nil, err
	}
	s := &settings{Fleet: f.Fleet, nodeAdmin: o.Door}
	if s.token, err = operator.Token(f.Fleet.TokenFile); err != nil {
		return nil, fmt.Errorf("%s: fleet.token_file: %w", path, err)
	}
	options := &slog.HandlerOptions{Level: o.Log.Level.Level}
	s.log = slog.New(slog.NewTextHandler(logs, options))
	if o.Log.Format == "json" {
		s.log = slog.New(slog.NewJSONHandler(logs, options))
	}
	if s.Cert != "" {
		store, err := keys.Open(keys.Sources{Cert: s.Cert, Key: s.Key, Trust: s.Trust}, time.Now())
		if err != nil {
			return nil, fmt.Errorf("%s: fleet: %w", path, err)
		}
		s.tls = &mutualTLS{store: store, serverName: s.TLSName, log: s.log}
	}
	return s, nil
}

// clientTLS is how this process calls others.
func (s *settings) clientTLS() *tls.Config {
	if s.tls == nil {
		return nil
	}
	return s.tls.client()
}

// serveHTTP answers on an address until ctx ends.
func serveHTTP(ctx context.Context, s *settings, h http.Handler) (stop func(), err error) {
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if s.tls != nil {
		ln = tls.NewListener(ln, s.tls.server())
		go s.tls.watch(ctx)
	}
	srv := &http.Server{Handler: door.Guarded(h, s.token), ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug), BaseContext: func(net.Listener) context.Context { return ctx }}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(ln) // ends with Close
	}()
	s.log.Info("listening", "name", s.Name, "address", ln.Addr())
	return func() {
		_ = srv.Close()
		<-done
	}, nil
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

func clock(r TestHooks) consensus.Clock {
	if r.Clock.Monotonic == nil {
		return consensus.SystemClock()
	}
	return r.Clock
}

// runReplica runs a member of the council until SIGTERM.
func runReplica(s *settings, r TestHooks) error {
	ctx, stop := signalContext()
	defer stop()
	d, err := consensus.OpenStorage(filepath.Join(s.Dir, "council"))
	if err != nil {
		return err
	}
	if r.Storage != nil {
		d = r.Storage(d)
	}
	m, err := consensus.Start(consensus.Config{Name: s.Name, Address: s.Address, AddressOverrides: s.Via, AuthToken: s.token, TLS: s.clientTLS(), Tick: s.Tick, Clock: clock(r), Unsafe: r.Unsafe, Log: s.log}, d)
	if err != nil {
		return errors.Join(err, d.Close())
	}
	s.log.Info("fleet: a member of the council", "name", s.Name, "id", fmt.Sprintf("%x", m.ID()), "position", m.View().State.Position)
	if len(m.View().State.Members) == 0 {
		s.log.Warn("fleet: this disk is empty: the member takes part once it is added: wayhold fleet member add", "name", s.Name, "address", s.Address)
	}
	end, err := serveHTTP(ctx, s, m.Handler())
	if err != nil {
		return errors.Join(err, m.Close())
	}
	defer end()
	select {
	case <-ctx.Done():
	case <-m.Done():
	}
	return m.Close()
}

// newIncarnation is a name that no other run of a process has.
func newIncarnation() (string, error) {
	var b [8]byte
	_, err := rand.Read(b[:])
	return hex.EncodeToString(b[:]), err
}

// runAgent runs a follower beside a node, which owns work where its file says so, until SIGTERM.
func runAgent(s *settings, r TestHooks) error {
	if len(s.Council) == 0 {
		return errors.New("fleet.council: missing: a follower asks its members")
	}
	ctx, stop := signalContext()
	defer stop()
	run, err := newIncarnation()
	if err != nil {
		return err
	}
	at, token := s.nodeAdmin.Socket, ""
	if at == "" && s.nodeAdmin.Listen != "" {
		at = s.nodeAdmin.Listen
		if token, err = operator.Token(s.nodeAdmin.TokenFile); err != nil {
			return fmt.Errorf("door.token_file: %w", err)
		}
	}
	if at == "" {
		return errors.New("door: missing: a follower drives its node by its door")
	}
	self := fleet.Node{Name: s.Name, Zone: s.Zone, Address: s.Address, Capacity: s.Capacity, LeaseCandidate: len(s.Owns) > 0, Incarnation: run}
	client := agent.NewClient(s.Council, s.Via, s.token, s.clientTLS())
	defer client.HTTP.CloseIdleConnections()
	a, err := agent.New(agent.Config{Self: self, Dir: s.Dir, Timeout: s.Timeout, Clock: clock(r), Unsafe: r.Unsafe, Log: s.log, FailPoint: r.FailPoint,
		Commands: agent.Commands{Patch: s.Patch, Verify: s.Look, Revert: s.Revert}}, agent.NewNodeClient(at, token), client)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	a.Mount(mux)
	end, err := serveHTTP(ctx, s, mux)
	if err != nil {
		return err
	}
	defer end()
	done := make(chan struct{})
	defer func() { <-done }()
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	var stewards []*agent.ControllerRunner
	var asking func(fleet.Entry) func(fleet.Result, bool)
	if r.ObserveProposal != nil {
		asking = func(e fleet.Entry) func(fleet.Result, bool) { return r.ObserveProposal(e, s.Name+"/"+run) }
	}
	for _, work := range s.Owns {
		stewards = append(stewards, agent.NewControllerRunner(agent.ControllerConfig{Kind: fleet.JobKind(work), Identity: s.Name + "/" + run, Node: s.Name, LeaseDuration: s.Lease, Clock: clock(r),
			Unsafe: r.Unsafe, Log: s.log, FailPoint: r.FailPoint, ObserveProposal: asking}, client, a.Watcher()))
	}
	ended := make(chan struct{})
	for _, st := range stewards {
		go func() {
			st.Run(ctx)
			ended <- struct{}{}
		}()
	}
	<-ctx.Done()
	for range stewards {
		<-ended
	}
	return nil
}
