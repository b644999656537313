// Package msgpack is a way in for requests over the protocol of docs/msgpack-rpc.md. It is a router.Listener.
package msgpack

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/policy"
	"cobaltward/router"
)

// Engine is what a front needs of a *router.Router.
type Engine interface {
	Do(ctx context.Context, req router.Request) (router.Answer, error)
	Class(name string) (policy.Class, bool)
}

// Config bounds what clients may hold. The zero value is the defaults.
type Config struct {
	MaxConns       int           // connections; 0: 256
	MaxCalls       int           // open calls on a connection; at so many nothing more is read from it; 0: 64
	IdleTimeout    time.Duration // without a call; 0: 15s
	MessageTimeout time.Duration // for a message to come whole; 0: 2.5s
	WriteTimeout   time.Duration // for answers to a client that reads nothing; 0: 5s
	Log            *slog.Logger  // nil: nothing is logged
}

// ErrClosed is what Serve returns once the front was shut down or closed.
var ErrClosed = errors.New("msgpack front: closed")

const (
	maxBody  = 64 << 10
	maxWait  = time.Hour
	maxBatch = 64 << 10
	// linger is how long a connection that was ended is still read, lest its last answers are lost to a
	// reset.
	linger = time.Second
	// lookEvery is how often a client that has too many calls open is looked for.
	lookEvery = 50 * time.Millisecond
	// spareConns are let in beyond MaxConns for their calls to be rejected at once.
	spareConns = 4
	// youngFor is for how long such a connection is kept without a whole call: the first one is on its way.
	youngFor = 100 * time.Millisecond
	// lookAgain is how often it is looked whether one may be let in.
	lookAgain = 5 * time.Millisecond
	// defaultQueuePatience is for how long clients wait for room where the engine does not say.
	defaultQueuePatience = 300 * time.Millisecond
	// crossing is for how long calls that cross the notice of a drain are still answered.
	crossing = 200 * time.Millisecond
)

// Server takes calls in. Its methods may be called at once from many goroutines.
type Server struct {
	engine Engine
	c      Config

	mu        sync.Mutex
	room      sync.Cond              // a connection has ended, or is quiet
	waiting   atomic.Int32           // for room
	listeners map[*net.Listener]bool // by pointer: a listener's type need not be comparable
	conns     map[*conn]bool
	draining  bool
	closed    bool
	serving   sync.WaitGroup
	stats     Stats
}

// Stats is what a front counts.
type Stats struct {
	Conns, Open    int    // now
	Calls          uint64 // taken
	ProtocolErrors uint64 // connections ended since the client broke the protocol
	Evicted        uint64 // quiet connections that made room for others
}

// New returns a front of the engine.
func New(e Engine, c Config) *Server {
	for _, d := range []struct{ field, value *int }{{&c.MaxConns, ptr(256)}, {&c.MaxCalls, ptr(64)}} {
		if *d.field <= 0 {
			*d.field = *d.value
		}
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{{&c.IdleTimeout, 15 * time.Second}, {&c.MessageTimeout, 2500 * time.Millisecond}, {&c.WriteTimeout, 5 * time.Second}} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	f := &Server{engine: e, c: c, listeners: make(map[*net.Listener]bool), conns: make(map[*conn]bool)}
	f.room.L = &f.mu
	return f
}

func ptr[T any](v T) *T { return &v }

// Serve takes clients in until Shutdown or Close, and returns ErrClosed then. It closes the listener.
func (f *Server) Serve(ln net.Listener) error {
	ln = sockets.NewPersistentListener(ln, f.c.Log)
	defer ln.Close()
	f.mu.Lock()
	if f.draining || f.closed {
		f.mu.Unlock()
		return ErrClosed
	}
	f.listeners[&ln] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.listeners, &ln)
		f.mu.Unlock()
	}()
	var queueEmptyAt time.Time // who is accepted later came no earlier
	for {
		began := time.Now()
		nc, err := ln.Accept()
		if err != nil {
			f.mu.Lock()
			ended := f.draining || f.closed
			f.mu.Unlock()
			if ended {
				return ErrClosed
			}
			return err
		}
		if now := time.Now(); queueEmptyAt.IsZero() || sockets.HadToWait(began, now) {
			queueEmptyAt = now
		}
		if !f.admit(nc, queueEmptyAt) {
			nc.Close()
			return ErrClosed
		}
	}
}

// Stats tells what the front has counted.
func (f *Server) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	s.Conns = len(f.conns)
	for c := range f.conns {
		c.mu.Lock()
		s.Open += len(c.open)
		c.mu.Unlock()
	}
	return s
}

// Shutdown ends the intake: clients are told, what still comes is refused, what is open is answered, and
// each connection ends with its last answer. It returns when all have, or with ctx's error.
func (f *Server) Shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.draining = true
	for ln := range f.listeners {
		(*ln).Close()
	}
	for c := range f.conns {
		c.drain()
	}
	f.room.Broadcast()
	f.mu.Unlock()
	ended := make(chan struct{})
	go func() { f.serving.Wait(); close(ended) }()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		f.Close() // what is left has had its time
		<-ended
		return ctx.Err()
	}
}

// StopAccepting ends the intake as Shutdown does, in a way that can be taken back, and waits for nothing.
func (f *Server) StopAccepting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for ln := range f.listeners {
		(*ln).Close()
	}
	for c := range f.conns {
		c.drain()
	}
	f.room.Broadcast()
}

// ResumeAccepting lets Serve be called again, with another listener. Clients that were told of the drain have
// gone, or go with their last call.
func (f *Server) ResumeAccepting() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = false
	return nil
}

// Connections is the number of connections, and of those of them with a call.
func (f *Server) Connections() (open, busy int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		open++
		c.mu.Lock()
		if len(c.open) > 0 {
			busy++
		}
		c.mu.Unlock()
	}
	return open, busy
}

// Close ends all connections at once; calls that are open have left.
func (f *Server) Close() {
	f.mu.Lock()
	f.closed = true
	for ln := range f.listeners {
		(*ln).Close()
	}
	for c := range f.conns {
		c.nc.Close()
	}
	f.room.Broadcast()
	f.mu.Unlock()
	f.serving.Wait()
}
