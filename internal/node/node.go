package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	ownSockets   = 24                     // descriptors for the log, discovery, the runtime and the like
	clientsPart  = 0.4                    // of the others for clients: the third that their requests take, and some room
	longestDrain = 3 * time.Second        // no client waits longer once a node is told to stop
	leavingPart  = 0.6                    // of that, in which the node still takes in what comes
	lastAnswers  = 100 * time.Millisecond // for what is failed then to reach its clients
)

// Run serves clients on the listener until ctx ends. Then it goes on accepting for a moment, answers
// what it has taken, and returns. Discovery follows the addresses that come from moves.
func Run(ctx context.Context, c Config, listener net.Listener, moves <-chan string) error {
	ck := clock{start: time.Now()}
	most := int(clientsPart * float64(c.Sockets-ownSockets))
	up := newUpstream(c, c.Sockets-ownSockets-most)
	defer up.close()
	l, err := newLoop(c, ck, up)
	if err != nil {
		return err
	}
	s := newServer(c, l)
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
	parts.Go(func() { failed <- s.http.Serve(newClients(listener, most)) })
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	return s.drain(c)
}

// drain ends the service. Clients go on coming for a while, and go on using the connections that they
// have: there may be no other node for them yet. So the node serves as before at first, and says only
// that it isn't ready; then it ends each connection with its answer, early enough for what it took last.
func (s *server) drain(c Config) error {
	slog.Info("stopping")
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	longest = min(longest, longestDrain)
	leave := time.Duration(leavingPart * float64(longest))
	s.phase.Store(leaving)
	time.Sleep(leave)
	s.phase.Store(closing)
	late := time.AfterFunc(longest-leave, func() { s.loop.send(finish{}) })
	defer late.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), longest-leave+lastAnswers)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return s.http.Close()
}
