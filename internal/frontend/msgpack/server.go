// Package msgpack accepts requests over the protocol specified in docs/msgpack-rpc.md. Its Server is a
// router.Listener.
package msgpack

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/policy"
	"cobaltward/router"
)

// Engine is the part of *router.Router that a server requires. If it also has the methods QueueTimeout and
// RejectOverloaded of *router.Router, the server uses them.
type Engine interface {
	Do(ctx context.Context, req router.Request) (router.Answer, error)
	Class(name string) (policy.Class, bool)
}

// Config limits the resources that clients may use. Fields that are zero have the stated defaults.
type Config struct {
	MaxConns       int           // maximum of connections; default 256
	MaxCalls       int           // open calls on a connection at which reading from it stops; default 64
	IdleTimeout    time.Duration // limit for a connection without an open call; default 15s
	MessageTimeout time.Duration // limit from the first byte of a message to its last; default 2.5s
	WriteTimeout   time.Duration // limit for a write to a client that does not read; default 5s
	Log            *slog.Logger  // nil: nothing is logged
}

const (
	defaultMaxConns       = 256
	defaultMaxCalls       = 64
	defaultIdleTimeout    = 15 * time.Second
	defaultMessageTimeout = 2500 * time.Millisecond
	defaultWriteTimeout   = 5 * time.Second
)

func (c Config) withDefaults() Config {
	c.MaxConns = orDefault(c.MaxConns, defaultMaxConns)
	c.MaxCalls = orDefault(c.MaxCalls, defaultMaxCalls)
	c.IdleTimeout = orDefault(c.IdleTimeout, defaultIdleTimeout)
	c.MessageTimeout = orDefault(c.MessageTimeout, defaultMessageTimeout)
	c.WriteTimeout = orDefault(c.WriteTimeout, defaultWriteTimeout)
	return c
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// ErrClosed is the error that Serve returns after Shutdown, StopAccepting or Close.
var ErrClosed = errors.New("msgpack server: closed")

// Server accepts connections and answers the calls that arrive on them. It is safe for concurrent use.
type Server struct {
	engine Engine
	config Config

	mu             sync.Mutex
	slotFreed      sync.Cond              // signaled when a connection ends or becomes idle, and when accepting stops
	waitingForSlot atomic.Int32           // number of accepted connections that wait for a slot
	listeners      map[*net.Listener]bool // keyed by pointer, because a listener's type need not be comparable
	conns          map[*conn]bool
	lingering      []*conn // evicted or ended by the server, not yet closed; they hold no slots; oldest first
	draining       bool
	closed         bool
	serving        sync.WaitGroup // counts the listeners and the connections that are served
	stats          Stats
}

// Stats holds the counters of a server.
type Stats struct {
	Conns, Open    int    // current connections, including those that linger, and current open calls
	Calls          uint64 // calls received
	ProtocolErrors uint64 // connections closed because the client violated the protocol
	Timeouts       uint64 // connections closed because a message was not complete in time
	Incomplete     uint64 // connections that the client closed in the middle of a message
	Evicted        uint64 // connections ended to free a slot: idle ones, and stalled overflow connections

	// The following fields count connections on which a call, or part of one, arrived after the server had ended them
	// and was not answered, by the cause of the end. These connections are not counted in Timeouts or Incomplete.
	IdleEnds     uint64 // ended after the idle timeout
	EvictionEnds uint64 // ended by an eviction, possibly in the middle of a message on which the client had stalled
	DrainEnds    uint64 // ended by a drain, after the time for late calls had passed
}

// New returns a server that passes calls to an engine.
func New(engine Engine, config Config) *Server {
	server := &Server{
		engine:    engine,
		config:    config.withDefaults(),
		listeners: make(map[*net.Listener]bool),
		conns:     make(map[*conn]bool),
	}
	server.slotFreed.L = &server.mu
	return server
}

// acceptQueueDrainTimeout is how long a listener waits for a further queued connection before it closes.
const acceptQueueDrainTimeout = 20 * time.Millisecond

// extendAcceptDeadline lets Accept wait for at most acceptQueueDrainTimeout from now.
func extendAcceptDeadline(ln net.Listener) error {
	listener, ok := ln.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return listener.SetDeadline(time.Now().Add(acceptQueueDrainTimeout))
}

// Serve accepts connections until Shutdown, StopAccepting or Close is called, and then returns ErrClosed. It closes
// the listener. After StopAccepting it first accepts the connections that are in the accept queue.
func (s *Server) Serve(ln net.Listener) error {
	ln = sockets.NewPersistentListener(ln, s.config.Log)
	defer func() { _ = ln.Close() }()
	if !s.addListener(&ln) {
		return ErrClosed
	}
	defer s.removeListener(&ln)
	queue := sockets.NewAcceptQueue()
	for {
		nc, err := queue.Accept(ln)
		if err != nil {
			queued, _ := sockets.HasQueuedConn(ln)
			if errors.Is(err, os.ErrDeadlineExceeded) && queued && extendAcceptDeadline(ln) == nil {
				continue // the kernel has accepted connections that closing the listener would reset
			}
			if s.isStopped() {
				return ErrClosed
			}
			return err
		}
		if !s.admit(nc, queue.EmptyAt()) {
			_ = nc.Close()
			return ErrClosed
		}
	}
}

// addListener registers a listener. It returns false if the server no longer accepts connections.
func (s *Server) addListener(ln *net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.closed {
		return false
	}
	s.listeners[ln] = true
	s.serving.Add(1)
	return true
}

// removeListener closes and removes a listener. During a drain, clients are notified once the last one is removed.
func (s *Server) removeListener(ln *net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = (*ln).Close()
	delete(s.listeners, ln)
	s.notifyDrainLocked()
	s.serving.Done()
}

// notifyDrainLocked notifies all clients of a drain if no listener is open. s.mu is held.
func (s *Server) notifyDrainLocked() {
	if !s.draining || len(s.listeners) > 0 {
		return
	}
	for conn := range s.conns {
		conn.drain()
	}
}

func (s *Server) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.closed
}

// Stats returns the counters of the server.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Conns = len(s.conns) + len(s.lingering)
	for conn := range s.conns {
		stats.Open += conn.openCalls()
	}
	return stats
}

// count increments a counter of s.stats.
func (s *Server) count(counter *uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
}

// Connections returns the number of connections, and how many of them have an open call or an unwritten answer.
func (s *Server) Connections() (open, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	open = len(s.lingering)
	for conn := range s.conns {
		open++
		if conn.isBusy() {
			busy++
		}
	}
	return open, busy
}

// PendingFirstRequests returns the number of connections on which no call has been answered and the first one is open
// or may be on its way. During a drain it also counts each listener whose accept queue may not be empty.
func (s *Server) PendingFirstRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := 0
	if s.draining {
		pending = len(s.listeners)
	}
	for conn := range s.conns {
		if conn.firstCallPending() {
			pending++
		}
	}
	return pending
}

// Shutdown stops accepting, as StopAccepting does, and returns when all connections have ended. If ctx ends first, it
// closes the remaining connections, and returns ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StopAccepting()
	err := s.AwaitEnd(ctx)
	if err != nil {
		s.Close()
	}
	return err
}

// AwaitEnd waits until all connections have ended or ctx ends. StopAccepting must have been called before.
func (s *Server) AwaitEnd(ctx context.Context) error {
	ended := make(chan struct{})
	go func() { // returns at the latest after Close
		s.serving.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StopAccepting starts a drain: the listeners close once their accept queues are empty, and then clients are
// notified. It does not wait. Open calls are answered, and each connection ends with its last answer. Calls that
// arrive later are rejected, except for the first call of a connection, because its client could not know of the
// drain.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for ln := range s.listeners {
		if extendAcceptDeadline(*ln) != nil {
			_ = (*ln).Close()
		}
	}
	s.notifyDrainLocked()
	s.slotFreed.Broadcast()
}

// ResumeAccepting ends a drain, so that Serve can be called again with another listener. Connections that were
// notified of the drain still end with their last answer.
func (s *Server) ResumeAccepting() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = false
	return nil
}

// Close closes all listeners and connections, which cancels open calls, and waits until they have ended.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.closeListeners()
	for conn := range s.conns {
		conn.closeSocket()
	}
	for _, conn := range s.lingering {
		conn.closeSocket()
	}
	s.slotFreed.Broadcast()
	s.mu.Unlock()
	s.serving.Wait()
}

func (s *Server) closeListeners() {
	for ln := range s.listeners {
		_ = (*ln).Close()
	}
}
