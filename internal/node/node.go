package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/net/netutil"
)

const (
	ownSockets   = 32                     // descriptors for the log, discovery, the runtime and the like
	acceptFor    = 500 * time.Millisecond // after the signal to stop, while clients still come
	longestDrain = 3 * time.Second        // no client waits longer once a node is told to stop
	lastAnswers  = 100 * time.Millisecond // for what is failed then to reach its clients
)

// Run serves clients on the listener until ctx ends. Then it goes on accepting for a moment, answers
// what it has taken, and returns. Discovery follows the addresses that come from moves.
func Run(ctx context.Context, c Config, listener net.Listener, moves <-chan string) error {
	ck := clock{start: time.Now()}
	// Each request in hand needs a descriptor on either side.
	side := (c.Sockets - ownSockets) / 2
	up := newUpstream(c, side)
	defer up.close()
	l, err := newLoop(c, ck, up)
	if err != nil {
		return err
	}
	s := newServer(c, l, side)
	s.http.ErrorLog = slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn)

	running, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	parts.Go(func() { l.run(running, c.Known.Members) })
	parts.Go(func() { l.disc.run(running) })
	parts.Go(func() {
		for {
			select {
			case addr := <-moves:
				l.disc.move(addr)
			case <-running.Done():
				return
			}
		}
	})

	failed := make(chan error, 1)
	// The server refuses requests on connections over its side; the listener makes sure that even
	// clients who connect and say nothing leave the servers' side its descriptors.
	listener = netutil.LimitListener(listener, side+ownSockets/2)
	parts.Go(func() { failed <- s.http.Serve(listener) })
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	return s.drain(c)
}

// drain ends the service. Connections go on coming for a while after the signal, and what sits in
// them unread counts as taken, so the listener stays open until then.
func (s *server) drain(c Config) error {
	slog.Info("stopping")
	s.draining.Store(true)
	time.Sleep(acceptFor)
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	longest = min(longest, longestDrain)
	late := time.AfterFunc(longest, func() { s.loop.send(finish{}) })
	defer late.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), longest+lastAnswers)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return s.http.Close()
}
