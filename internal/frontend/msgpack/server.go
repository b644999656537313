// Package msgpack accepts requests over the protocol specified in docs/msgpack-rpc.md. Its Server is a
// router.Listener.
package msgpack

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/body"
	"cobaltward/internal/frontend/pacing"
	"cobaltward/internal/sockets"
	"cobaltward/policy"
	"cobaltward/router"
)

// Engine is the part of *router.Router that a server requires. If an engine also has the methods QueueTimeout and
// RejectOverloaded of *router.Router, the server calls them.
type Engine interface {
	Do(ctx context.Context, req router.Request) (router.Answer, error)
	Class(name string) (policy.Class, bool)
}

// Config limits the resources that clients may use. A limit that is not positive has the stated default.
type Config struct {
	MaxConns       int             // maximum number of connections; default 256
	MaxCalls       int             // maximum number of open calls per connection; default 64
	MaxTotalCalls  int             // maximum number of open calls and unwritten answers of all connections; default: none
	IdleTimeout    time.Duration   // maximum time that a connection is idle; default 15s
	MessageTimeout time.Duration   // maximum time from the first byte of a message to its last; default 2.5s
	WriteTimeout   time.Duration   // maximum time for a write to a client that does not read; default 5s
	Bodies         *body.Budget    // memory for the bodies of open calls; nil: not limited
	Pacing         *pacing.Limiter // rate of calls that no server answers; nil: not shared with another server
	Log            *slog.Logger    // nil: nothing is logged
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
	c.MaxTotalCalls = orDefault(c.MaxTotalCalls, math.MaxInt)
	if c.Pacing == nil {
		c.Pacing = new(pacing.Limiter)
	}
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

// Server accepts connections and answers the calls that clients send. It is safe for concurrent use.
type Server struct {
	engine Engine
	config Config

	mu             sync.Mutex
	slotFreed      sync.Cond              // signaled when a connection ends or becomes idle, or accepting stops
	waitingForSlot atomic.Int32           // number of accepted connections that wait for a slot
	totalCalls     atomic.Int64           // calls passed to the engine whose answers are not written yet
	queuedCalls    atomic.Int64           // calls that wait to be passed to the engine
	queueTimeouts  atomic.Uint64          // calls rejected at the end of their time in the queue
	calls          atomic.Uint64          // calls received
	listeners      map[*net.Listener]bool // keyed by pointer, because a listener's type need not be comparable
	conns          map[*conn]bool
	lingering      []*conn // connections that the server has ended but not closed, oldest first; they hold no slots
	active         int     // connections whose goroutines have not returned, including closed ones
	draining       bool
	closed         bool
	serving        sync.WaitGroup // counts the listeners and the served connections
	stats          Stats
}

// Stats holds the counters of a server.
type Stats struct {
	Conns, Open    int    // current connections, including lingering ones, and open calls that are not queued
	Queued         int    // calls that wait to be passed to the engine
	QueueTimeouts  uint64 // calls rejected at the end of their time in the queue
	Calls          uint64 // calls received
	ProtocolErrors uint64 // connections closed because the client violated the protocol
	Timeouts       uint64 // connections closed because a message took longer than MessageTimeout
	Incomplete     uint64 // connections that the client closed in the middle of a message
	Evicted        uint64 // idle connections and stalled overflow connections ended to free a slot

	// The following fields count connections by the reason for which the server ended them. A connection is counted if
	// a call, or part of one, arrived after the end and was not answered. Timeouts and Incomplete do not count these
	// connections.
	IdleEnds     uint64 // ended after the idle timeout
	EvictionEnds uint64 // ended by an eviction, possibly in the middle of a stalled message
	DrainEnds    uint64 // ended by a drain, after lateCallTimeout
}

// New returns a server that passes calls to engine.
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

// acceptQueueDrainTimeout is how long a closing listener waits for another queued connection.
const acceptQueueDrainTimeout = 20 * time.Millisecond

// extendAcceptDeadline sets the deadline of ln.Accept to acceptQueueDrainTimeout from now.
func extendAcceptDeadline(ln net.Listener) error {
	listener, ok := ln.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return listener.SetDeadline(time.Now().Add(acceptQueueDrainTimeout))
}

// Serve accepts connections until Shutdown, StopAccepting or Close is called, and then returns ErrClosed. It closes
// ln. After StopAccepting, Serve accepts the connections in the accept queue before it returns.
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
				continue // closing the listener would reset the connections in the accept queue
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

// addListener registers ln. It returns false if the server no longer accepts connections.
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

// removeListener closes and removes ln. During a drain, the removal of the last listener notifies the clients.
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
	stats.Calls = s.calls.Load()
	stats.Queued = int(s.queuedCalls.Load())
	stats.QueueTimeouts = s.queueTimeouts.Load()
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

// Connections returns the number of connections. busy is the number of connections with an open call or an unwritten
// answer.
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

// PendingFirstRequests returns the number of connections without a written answer whose first call is open or may be
// in transit. During a drain it also counts each open listener, whose accept queue may not be empty.
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

// Shutdown calls StopAccepting, and returns when all connections have ended. If ctx ends first, Shutdown closes the
// remaining connections and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StopAccepting()
	err := s.AwaitEnd(ctx)
	if err != nil {
		s.Close()
	}
	return err
}

// AwaitEnd blocks until all connections have ended or ctx ends. The caller must have called StopAccepting.
func (s *Server) AwaitEnd(ctx context.Context) error {
	ended := make(chan struct{})
	go func() { // returns when all connections have ended, which Close enforces
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

// StopAccepting starts a drain, and returns without waiting for its end. Each listener closes once its accept queue
// is empty. When all listeners are closed, clients are notified. Open calls are answered, and each connection ends
// after its last answer. Calls that arrive later are rejected. The first call of a connection is not rejected,
// because the client could not know of the drain.
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

// ResumeAccepting ends a drain. Serve can then be called again with another listener. Connections that were notified
// of the drain still end after their last answer.
func (s *Server) ResumeAccepting() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = false
	return nil
}

// Close closes all listeners and connections, and waits until they have ended. Open calls are cancelled.
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
