package node

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"cobaltward/router"

	msgpackfront "cobaltward/internal/frontend/msgpack"
)

const (
	// relistenTimeout is the maximum time for which relisten waits for an address in use.
	relistenTimeout = 4 * time.Second
	// relistenInterval is the interval between attempts of relisten.
	relistenInterval = 10 * time.Millisecond
)

// rpcServer is the node's MessagePack-RPC listener with its connections. Its Server is set after the engine is
// created and before the first call of Serve.
type rpcServer struct {
	*msgpackfront.Server
	wrapTLS func(net.Listener) net.Listener // adds TLS to a listener, or returns it unchanged

	mu       sync.Mutex
	listener net.Listener // nil while no connections are accepted
	address  net.Addr
	closed   bool
	resumed  chan struct{} // closed and replaced when the listener is opened again
}

var (
	_ router.DrainableListener    = (*rpcServer)(nil)
	_ router.FirstRequestListener = (*rpcServer)(nil)
)

func newRPCServer(listener net.Listener, wrapTLS func(net.Listener) net.Listener) *rpcServer {
	return &rpcServer{
		listener: wrapTLS(listener), wrapTLS: wrapTLS, address: listener.Addr(), resumed: make(chan struct{}),
	}
}

// Serve serves clients until Shutdown or Close.
func (s *rpcServer) Serve() error {
	for {
		s.mu.Lock()
		listener, resumed, closed := s.listener, s.resumed, s.closed
		s.mu.Unlock()
		switch {
		case closed:
			return msgpackfront.ErrClosed
		case listener == nil:
			<-resumed
			continue
		}
		err := s.Server.Serve(listener)
		s.mu.Lock()
		replaced := s.listener != listener
		s.mu.Unlock()
		if !replaced {
			return err
		}
	}
}

// StopAccepting closes the listener and the idle connections.
func (s *rpcServer) StopAccepting() {
	s.mu.Lock()
	s.listener = nil
	s.mu.Unlock()
	s.Server.StopAccepting()
}

// ResumeAccepting opens the listener again, at the same address.
func (s *rpcServer) ResumeAccepting() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil || s.closed {
		return nil
	}
	listener, err := relisten(s.address)
	if err != nil {
		return err
	}
	s.listener = s.wrapTLS(listener)
	_ = s.Server.ResumeAccepting() // always returns nil
	close(s.resumed)
	s.resumed = make(chan struct{})
	return nil
}

// Shutdown stops accepting and waits until all connections have ended or ctx ends. Connections left when ctx ends
// stay open until Close, because their last answers may still have to be written.
func (s *rpcServer) Shutdown(ctx context.Context) error {
	s.markClosed()
	s.Server.StopAccepting()
	return s.AwaitEnd(ctx)
}

// awaitAnswers waits until all calls are answered and all answers are written, or ctx ends.
func (s *rpcServer) awaitAnswers(ctx context.Context) {
	ticker := time.NewTicker(idleCloseInterval)
	defer ticker.Stop()
	for {
		if _, busy := s.Connections(); busy == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close closes all connections.
func (s *rpcServer) Close() {
	s.markClosed()
	s.Server.Close()
}

// markClosed makes Serve return, even while Serve waits for a new listener.
func (s *rpcServer) markClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	if s.listener == nil {
		close(s.resumed)
	}
}

// relisten opens a listener at an address that the closed listener may still use.
func relisten(address net.Addr) (net.Listener, error) {
	for deadline := time.Now().Add(relistenTimeout); ; time.Sleep(relistenInterval) {
		listener, err := net.Listen(address.Network(), address.String())
		if err == nil {
			return listener, nil
		}
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("listening on %s again: %w", address, err)
		}
	}
}
