// Package msgpack accepts requests over the protocol of docs/msgpack-rpc.md. Its Server is a router.Listener.
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

// Engine is what a server needs of a *router.Router. If it also has QueueTimeout or RejectOverloaded, as
// *router.Router has, they are used.
type Engine interface {
	Do(ctx context.Context, req router.Request) (router.Answer, error)
	Class(name string) (policy.Class, bool)
}

// Config limits what clients may use. Zero fields have the defaults.
type Config struct {
	MaxConns       int           // connections; default 256
	MaxCalls       int           // open calls on a connection, beyond which it is not read; default 64
	IdleTimeout    time.Duration // of a connection without an open call; default 15s
	MessageTimeout time.Duration // from the first byte of a message to its last; default 2.5s
	WriteTimeout   time.Duration // of a write to a client that does not read; default 5s
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

// ErrClosed is what Serve returns after Shutdown, StopAccepting or Close.
var ErrClosed = errors.New("msgpack server: closed")

// Server accepts calls. It is safe for concurrent use.
type Server struct {
	engine Engine
	config Config

	mu             sync.Mutex
	slotFreed      sync.Cond              // a connection has ended or become idle, or accepting has stopped
	waitingForSlot atomic.Int32           // connections
	listeners      map[*net.Listener]bool // by pointer, because a listener's type need not be comparable
	conns          map[*conn]bool
	lingering      []*conn // evicted, or ended by the server and read for lingerTimeout; without a slot, oldest first
	draining       bool
	closed         bool
	serving        sync.WaitGroup // of the listeners and the connections
	stats          Stats
}

// Stats is what a server counts.
type Stats struct {
	Conns, Open    int    // connections, also those that the server has ended, and open calls at present
	Calls          uint64 // received
	ProtocolErrors uint64 // connections closed because the client violated the protocol
	Timeouts       uint64 // connections closed because the rest of a message did not come in time
	Incomplete     uint64 // connections that their clients closed within a message
	Evicted        uint64 // connections ended in favour of others: idle ones, and stalled ones beyond the limit

	// Connections on which a call, or a part of one, arrived without an answer after they had been ended, by cause. A
	// connection that is counted here is not counted in Timeouts or Incomplete.
	IdleEnds     uint64 // after the idle timeout
	EvictionEnds uint64 // after the eviction, or as it began where the client had paused within a message
	DrainEnds    uint64 // after the notification of a drain, and the time for calls that cross it
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

// acceptQueueDrainTimeout is how long a listener that closes waits for another connection.
const acceptQueueDrainTimeout = 20 * time.Millisecond

// extendAcceptDeadline has Accept wait for acceptQueueDrainTimeout from now.
func extendAcceptDeadline(ln net.Listener) error {
	listener, ok := ln.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return listener.SetDeadline(time.Now().Add(acceptQueueDrainTimeout))
}

// Serve accepts connections until Shutdown, StopAccepting or Close, and then returns ErrClosed. It closes the listener.
// After StopAccepting it still serves the connections in the accept queue.
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
				continue // the system has accepted connections that a close would reset
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

// addListener reports whether the listener may accept.
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

// removeListener closes a listener. With the last one of a drain the clients are notified.
func (s *Server) removeListener(ln *net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = (*ln).Close()
	delete(s.listeners, ln)
	s.notifyDrainLocked()
	s.serving.Done()
}

// notifyDrainLocked notifies clients of a drain once no listener is open.
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

// Stats returns what the server has counted.
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

// Connections returns the number of connections, and of those that have an open call or an unwritten answer.
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

// PendingFirstRequests returns the number of connections that have no answer yet, and whose first call is open or may
// be on its way. During a drain a listener counts as one while its accept queue may not be empty.
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

// Shutdown stops accepting, as StopAccepting does, and returns when all connections have ended. When ctx ends first, it
// closes the others, and returns ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StopAccepting()
	err := s.AwaitEnd(ctx)
	if err != nil {
		s.Close()
	}
	return err
}

// AwaitEnd returns when all connections have ended, or with ctx's error. The server must have stopped accepting.
func (s *Server) AwaitEnd(ctx context.Context) error {
	ended := make(chan struct{})
	go func() { // ends at the latest with Close
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

// StopAccepting has the listeners close, once their accept queues are empty, and then clients be notified of the drain.
// It does not wait. Calls that are open are answered, and each connection ends with its last answer. Calls that arrive
// later are rejected, except for the first of a connection that had none: its client could not know of the drain.
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

// ResumeAccepting allows Serve to be called again, with another listener. Connections that were notified of the drain
// still end with their last answer.
func (s *Server) ResumeAccepting() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = false
	return nil
}

// Close closes all listeners and connections, which cancels open calls, and waits for their end.
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
