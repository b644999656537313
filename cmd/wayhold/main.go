// Command wayhold is one request-routing node on real sockets. ROUTER_CONFIG names its configuration.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"cobaltward/internal/node"
)

// heapPart of the memory limit is the runtime's; stacks of the system and the sockets take the rest.
const heapPart = 0.75

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	c, err := node.LoadConfig(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "wayhold:", err)
		os.Exit(1)
	}
	debug.SetMemoryLimit(int64(heapPart * float64(c.MemoryMB) * (1 << 20)))
	runtime.GOMAXPROCS(int(max(1, math.Ceil(c.Cores))))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	slog.Info("starting", "name", c.Name, "listen", c.Listen, "servers", len(c.Known.Members))
	if err := node.Run(ctx, c); err != nil {
		fmt.Fprintln(os.Stderr, "wayhold:", err)
		os.Exit(1)
	}
}
