package main

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"cobaltward/internal/node"
	"cobaltward/internal/operator"
)

// heapPart of the memory limit is the runtime's; stacks of the system and the sockets take the rest.
const heapPart = 0.6

// serve runs the node, with own as the operator's own file. What it sets in the process is the
// daemon's to set: a library leaves it to its host.
func serve(own string, logs io.Writer) error {
	hup := make(chan os.Signal, 1) // one more that is waiting stands for all: the file is read after it
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	o, err := operator.Load(own)
	if err != nil {
		return err
	}
	c, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	apply(o, &c)
	log := logger(o.Log, logs)
	debug.SetMemoryLimit(int64(heapPart * float64(c.MemoryMB) * (1 << 20)))
	runtime.GOMAXPROCS(int(max(1, math.Ceil(c.Cores))))
	ctx, stop := interrupted()
	defer stop()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	log.Info("listening", "name", c.Name, "address", listener.Addr(), "servers", len(c.Known.Members))
	reloads, done := make(chan node.Config, 1), make(chan struct{})
	defer close(done)
	go reload(hup, reloads, done, o, log)
	return node.Run(ctx, c, listener, reloads, log)
}

// apply puts what the operator's own file says into the node's configuration.
func apply(o operator.File, c *node.Config) {
	if o.Drain.Leave.Set {
		c.Leave = &o.Drain.Leave.Duration
	}
	if o.Drain.Deadline.Set {
		c.DrainFor = &o.Drain.Deadline.Duration
	}
}

func logger(l operator.Log, to io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: l.Level.Level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(to, options))
	}
	return slog.New(slog.NewTextHandler(to, options))
}

// reload reads the configuration again at each SIGHUP until done; the newest stands in reloads.
func reload(hup <-chan os.Signal, reloads chan node.Config, done <-chan struct{}, o operator.File, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-done:
			return
		}
		c, err := node.ReloadConfig(os.Getenv)
		if err != nil {
			log.Error("reload: keeping the old configuration", "err", err)
			continue
		}
		apply(o, &c)
		select {
		case <-reloads:
		default:
		}
		reloads <- c
	}
}
