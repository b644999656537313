// Command wayhold is one request-routing node on real sockets. ROUTER_CONFIG names its configuration.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"cobaltward/internal/node"
)

// heapPart of the memory limit is the runtime's; stacks of the system and the sockets take the rest.
const heapPart = 0.6

func main() {
	slog.SetLogLoggerLevel(slog.LevelDebug) // net/http would log a line for each server's stray byte
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "wayhold:", err)
		os.Exit(1)
	}
}

func run() error {
	hup := make(chan os.Signal, 1) // one more that is waiting stands for all: the file is read after it
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	c, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(heapPart * float64(c.MemoryMB) * (1 << 20)))
	runtime.GOMAXPROCS(int(max(1, math.Ceil(c.Cores))))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	slog.Info("listening", "name", c.Name, "address", listener.Addr(), "servers", len(c.Known.Members))
	reloads, done := make(chan node.Config, 1), make(chan struct{})
	defer close(done)
	go reload(hup, reloads, done)
	return node.Run(ctx, c, listener, reloads, slog.Default())
}

// reload reads the configuration again at each SIGHUP until done; the newest stands in reloads.
func reload(hup <-chan os.Signal, reloads chan node.Config, done <-chan struct{}) {
	for {
		select {
		case <-hup:
		case <-done:
			return
		}
		c, err := node.ReloadConfig(os.Getenv)
		if err != nil {
			slog.Error("reload: keeping the old configuration", "err", err)
			continue
		}
		select {
		case <-reloads:
		default:
		}
		reloads <- c
	}
}
