package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"time"

	"cobaltward/internal/adminapi"
	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
	"cobaltward/internal/operations"
	"cobaltward/internal/sockets"
	"cobaltward/policy"
	"cobaltward/router"
)

// heapPart of the memory limit is the runtime's; stacks of the system and the sockets take the rest.
const heapPart = 0.6

// serve runs the node, with own as the operator's own file. What it sets in the process is the
// daemon's to set: a library leaves it to its host.
func serve(own string, logs io.Writer, e Extra) error {
	hup := make(chan os.Signal, 1) // one more that is waiting stands for all: the file is read after it
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	o, err := nodeconfig.Load(own)
	if err != nil {
		return err
	}
	alone, err := standAlone(own)
	if err != nil {
		return err
	}
	c, err := alone.config()
	if err != nil {
		return err
	}
	apply(o, &c)
	level := new(slog.LevelVar)
	log := logger(o.Log, level, logs)
	alone.serve(&c, log)
	if err := useXDS(o, &c, e, log); err != nil {
		return err
	}
	if c.Msgpack, err = msgpack(o.Msgpack); err != nil {
		return err
	}
	if c.AdminAPI, err = doorOf(o.AdminAPI); err != nil {
		return err
	}
	if c.TLS, err = alone.own.NodeTLS(time.Now()); err != nil {
		return fmt.Errorf("%s:%w", own, err)
	}
	if c.TLS != nil && len(c.TLS.Secrets) > 0 && o.XDS.Bootstrap == "" {
		return fmt.Errorf("%s: tls: a secret is named, but no control plane to hand it: xds.bootstrap", own)
	}
	c.DrainMark = o.Drain.StateFile
	debug.SetMemoryLimit(int64(heapPart * float64(c.MemoryMB) * (1 << 20)))
	c.SharedDir = os.Getenv("TMPDIR")
	c.SetMemoryShare = func(part float64) { debug.SetMemoryLimit(int64(part * heapPart * float64(c.MemoryMB) * (1 << 20))) }
	runtime.GOMAXPROCS(int(max(1, math.Ceil(c.Cores))))
	ctx, stop := interrupted()
	defer stop()
	listener, err := clientsListener(&c, os.Getenv)
	if err != nil {
		return err
	}
	if c.OperationsAddr != "" {
		if c.OperationsListener, err = operations.Listen(c.OperationsAddr); err != nil {
			return err
		}
	}
	log.Info("listening", "name", c.Name, "address", listener.Addr(), "servers", len(c.InitialList.Endpoints))
	reloads, done := make(chan node.Config, 1), make(chan struct{})
	defer close(done)
	r := reloader{own: own, running: o, level: level, log: log, alone: alone}
	go r.run(hup, reloads, done)
	return node.Run(ctx, c, listener, reloads, log)
}

// acceptFD names the descriptor of the clients' listening socket, where another process holds it.
const acceptFD = "ROUTER_ACCEPT_FD"

// clientsListener opens the address of the clients, or takes over the listening socket that the platform holds.
func clientsListener(c *node.Config, getenv func(string) string) (net.Listener, error) {
	v := getenv(acceptFD)
	if v == "" {
		ln, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return ln, nil
	}
	ln, err := sockets.InheritedListener(v)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", acceptFD, err)
	}
	c.SharedListener = true
	return ln, nil
}

// doorOf is the door that the table [door] asks for.
func doorOf(d nodeconfig.AdminAPI) (adminapi.Config, error) {
	c := adminapi.Config{Socket: d.Socket, Listen: d.Listen}
	if d.TokenFile == "" {
		return c, nil
	}
	var err error
	c.Token, err = nodeconfig.ReadToken(d.TokenFile)
	if err != nil {
		return c, fmt.Errorf("door.token_file: %w", err)
	}
	return c, nil
}

// apply puts what the operator's own file says into the node's configuration.
func apply(o nodeconfig.File, c *node.Config) {
	if o.Drain.AnnounceFor.Set {
		c.AnnounceFor = &o.Drain.AnnounceFor.Duration
	}
	if o.Drain.Timeout.Set {
		c.DrainTimeout = &o.Drain.Timeout.Duration
	}
}

// msgpack opens what the table [msgpack] asks for. A socket that nobody listens on any more is in the way,
// and goes.
func msgpack(m nodeconfig.Msgpack) (node.Msgpack, error) {
	c := node.Msgpack{MaxConns: m.MaxConns, MaxCallsPerConn: m.MaxCallsPerConn, ServerKinds: m.ServerKinds}
	if m.Listen == "" {
		return c, nil
	}
	network := "tcp"
	if strings.HasPrefix(m.Listen, "/") {
		network = "unix"
		if other, err := net.Dial(network, m.Listen); err == nil {
			other.Close()
			return c, fmt.Errorf("msgpack.listen: %s: another process listens there", m.Listen)
		} else if errors.Is(err, syscall.ECONNREFUSED) {
			_ = os.Remove(m.Listen) // Listen says what is wrong, if this did not help
		}
	}
	ln, err := net.Listen(network, m.Listen)
	if err != nil {
		return c, fmt.Errorf("msgpack.listen: %w", err)
	}
	c.Listener = ln
	return c, nil
}

// errNoXDS tells who asks for xDS of a program that does not link it.
var errNoXDS = errors.New("xds: this program has none; run wayhold-xds in its place")

// useXDS puts in place what the table [xds] asks for.
func useXDS(o nodeconfig.File, c *node.Config, e Extra, log *slog.Logger) error {
	if !o.XDS.Enabled() {
		return nil
	}
	if e.XDS == nil {
		return errNoXDS
	}
	if err := bindPools(o, c); err != nil {
		return err
	}
	c.NewEndpointSource = func(own router.EndpointSource) (router.EndpointSource, error) { return e.XDS(o, *c, own, log) }
	return nil
}

// bindPools binds classes to clusters as the table [xds.pools] says.
func bindPools(o nodeconfig.File, c *node.Config) error {
	for class, cluster := range o.XDS.ClusterByClass {
		i := slices.IndexFunc(c.Settings.Classes, func(k policy.Class) bool { return k.Name == class })
		if i < 0 {
			return fmt.Errorf("xds.pools.%s: the settings have no such class", class)
		}
		c.Settings.Classes[i].Pool = cluster
	}
	return nil
}

func logger(l nodeconfig.Log, level *slog.LevelVar, to io.Writer) *slog.Logger {
	level.Set(l.Level.Level)
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(to, options))
	}
	return slog.New(slog.NewTextHandler(to, options))
}

// reloader reads both files again, and puts them in force together or not at all.
type reloader struct {
	own     string          // the operator's own file
	running nodeconfig.File // as it was at the start
	level   *slog.LevelVar
	log     *slog.Logger
	alone   *alone
}

// run reads at each SIGHUP until done; the newest configuration stands in reloads.
func (r *reloader) run(hup <-chan os.Signal, reloads chan node.Config, done <-chan struct{}) {
	for {
		select {
		case <-hup:
		case <-done:
			return
		}
		c, err := r.read()
		if err != nil {
			r.log.Error("reload: keeping the old configuration", "err", err)
			continue
		}
		select {
		case <-reloads:
		default:
		}
		reloads <- c
	}
}

func (r *reloader) read() (node.Config, error) {
	o, err := nodeconfig.Load(r.own)
	if err != nil {
		return node.Config{}, err
	}
	c, adopt, err := r.alone.reload(r.own)
	if err != nil {
		return node.Config{}, err
	}
	apply(o, &c)
	if r.running.XDS.Enabled() { // else there is no source whose clusters classes could be bound to
		if err := bindPools(o, &c); err != nil {
			return node.Config{}, err
		}
	}
	if err := adopt(); err != nil {
		return node.Config{}, err
	}
	r.level.Set(o.Log.Level.Level)
	for _, key := range nodeconfig.RestartKeys(r.running, o) {
		r.log.Warn("reload: takes effect at the next start", "key", key)
	}
	return c, nil
}
