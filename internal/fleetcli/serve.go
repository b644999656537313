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
	"cobaltward/fleet/council"
	"cobaltward/fleet/follow"
	"cobaltward/fleet/owner"
	"cobaltward/internal/door"
	"cobaltward/internal/operator"
	"cobaltward/internal/site"
	"cobaltward/keys"
)

// Rehearsal is what a rehearsal changes of a process: its clock, its disk, its guards, and where it stumbles. The zero
// value is the program as it is.
type Rehearsal struct {
	Clock  council.Clock
	Disk   func(council.Disk) council.Disk
	Guards owner.Guards
	Halt   func(at string)
	Asking func(e fleet.Entry, holder string) func(r fleet.Result, known bool)
}

const (
	headTimeout = 5 * time.Second
	idleTimeout = time.Minute
	mostHeaders = 16 << 10
)

// settings are a process's own file.
type settings struct {
	*site.Fleet
	token string
	links *links // nil: plain
	door  operator.Door
	log   *slog.Logger
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
	s := &settings{Fleet: f.Fleet, door: o.Door}
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
		s.links = &links{store: store, name: s.TLSName, log: s.log}
	}
	return s, nil
}

// outward is how this process calls others.
func (s *settings) outward() *tls.Config {
	if s.links == nil {
		return nil
	}
	return s.links.client()
}

// serveHTTP answers on an address until ctx ends.
func serveHTTP(ctx context.Context, s *settings, h http.Handler) (stop func(), err error) {
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if s.links != nil {
		ln = tls.NewListener(ln, s.links.server())
		go s.links.watch(ctx)
	}
	srv := &http.Server{Handler: door.Guarded(h, s.token), ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: mostHeaders,
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

func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

func clock(r Rehearsal) council.Clock {
	if r.Clock.Mono == nil {
		return council.RealClock()
	}
	return r.Clock
}

// member runs a member of the council until SIGTERM.
func member(s *settings, r Rehearsal) error {
	ctx, stop := interrupted()
	defer stop()
	d, err := council.OpenDisk(filepath.Join(s.Dir, "council"))
	if err != nil {
		return err
	}
	if r.Disk != nil {
		d = r.Disk(d)
	}
	m, err := council.Start(council.Config{Name: s.Name, Address: s.Address, Via: s.Via, Token: s.token, TLS: s.outward(), Tick: s.Tick, Clock: clock(r), Guards: r.Guards, Log: s.log}, d)
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
	case <-m.Ended():
	}
	return m.Close()
}

// runName is a name that no other run of a process has.
func runName() (string, error) {
	var b [8]byte
	_, err := rand.Read(b[:])
	return hex.EncodeToString(b[:]), err
}

// agent runs a follower beside a node, which owns work where its file says so, until SIGTERM.
func agent(s *settings, r Rehearsal) error {
	if len(s.Council) == 0 {
		return errors.New("fleet.council: missing: a follower asks its members")
	}
	ctx, stop := interrupted()
	defer stop()
	run, err := runName()
	if err != nil {
		return err
	}
	at, token := s.door.Socket, ""
	if at == "" && s.door.Listen != "" {
		at = s.door.Listen
		if token, err = operator.Token(s.door.TokenFile); err != nil {
			return fmt.Errorf("door.token_file: %w", err)
		}
	}
	if at == "" {
		return errors.New("door: missing: a follower drives its node by its door")
	}
	self := fleet.Node{Name: s.Name, Zone: s.Zone, Address: s.Address, Capacity: s.Capacity, LeaseCandidate: len(s.Owns) > 0, Incarnation: run}
	client := follow.NewClient(s.Council, s.Via, s.token, s.outward())
	defer client.HTTP.CloseIdleConnections()
	a, err := follow.NewAgent(follow.AgentConfig{Self: self, Dir: s.Dir, Timeout: s.Timeout, Clock: clock(r), Guards: r.Guards, Log: s.log, Halt: r.Halt,
		Commands: follow.Commands{Patch: s.Patch, Look: s.Look, Revert: s.Revert}}, follow.NewDoor(at, token), client)
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
	var stewards []*follow.Steward
	var asking func(fleet.Entry) func(fleet.Result, bool)
	if r.Asking != nil {
		asking = func(e fleet.Entry) func(fleet.Result, bool) { return r.Asking(e, s.Name+"/"+run) }
	}
	for _, work := range s.Owns {
		stewards = append(stewards, follow.NewSteward(follow.StewardConfig{Work: work, Name: s.Name + "/" + run, Node: s.Name, Lease: s.Lease, Clock: clock(r),
			Guards: r.Guards, Log: s.log, Halt: r.Halt, Asking: asking}, client, a.Follower()))
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
