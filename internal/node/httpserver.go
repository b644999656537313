package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/router"
)

// idleCloseInterval is the interval between checks for ended or idle connections during a shutdown.
const idleCloseInterval = 20 * time.Millisecond

// httpServer is the node's HTTP listener with its connections. The listener stays open during a drain by request:
// readiness checks get an answer and new requests a rejection. With a closed listener, clients could not connect.
type httpServer struct {
	server       *http.Server
	listener     *clientListener
	sharedSocket bool // whether another process also accepts from the listening socket

	stopping  atomic.Bool // whether the listener was closed on purpose
	closeOnce sync.Once
	done      chan struct{} // closed when Serve may return

	listenerCloseOnce sync.Once
	listenerClosed    chan struct{} // closed by the first CloseListener, once the accept queue is empty
}

var (
	_ router.DrainableListener    = (*httpServer)(nil)
	_ router.FirstRequestListener = (*httpServer)(nil)
)

func newHTTPServer(server *http.Server, listener net.Listener, maxConns int) *httpServer {
	return &httpServer{
		server:         server,
		listener:       newClientListener(listener, maxConns),
		done:           make(chan struct{}),
		listenerClosed: make(chan struct{}),
	}
}

// Serve serves clients until Shutdown or Close.
func (s *httpServer) Serve() error {
	err := s.server.Serve(s.listener)
	if s.stopping.Load() { // accepted connections are still served
		<-s.done
		return http.ErrServerClosed
	}
	return err
}

// StopAccepting closes idle connections, and other connections once their requests are answered. New connections are
// still accepted.
func (s *httpServer) StopAccepting() { s.listener.closeIdle() }

// ResumeAccepting cancels StopAccepting. Idle connections stay open again.
func (s *httpServer) ResumeAccepting() error {
	s.listener.cancelCloseIdle()
	return nil
}

// CloseListener closes the listener; accepted connections are still served. It first empties the accept queue, for as
// long as ctx allows. A shared listening socket is closed at once, because the other process still accepts from its
// queue.
func (s *httpServer) CloseListener(ctx context.Context) {
	s.stopping.Store(true)
	if !s.sharedSocket {
		s.listener.drainAcceptQueue(ctx)
	}
	_ = s.listener.Close()
	s.listenerCloseOnce.Do(func() { close(s.listenerClosed) })
}

// awaitListenerClose waits until CloseListener has closed the listener, or ctx ends.
func (s *httpServer) awaitListenerClose(ctx context.Context) {
	select {
	case <-s.listenerClosed:
	case <-ctx.Done():
	}
}

// Connections returns the number of open connections and how many of them have a request.
func (s *httpServer) Connections() (open, busy int) { return s.listener.connCounts() }

// PendingFirstRequests returns the number of open connections without a first response that were accepted before a
// drain.
func (s *httpServer) PendingFirstRequests() int { return s.listener.pendingFirstRequests() }

// idleCloseCounts returns the number of idle connections that drains have closed, and the number of requests that
// arrived on connections that a drain was closing.
func (s *httpServer) idleCloseCounts() (closedIdle, requestsDuringClose uint64) {
	return s.listener.idleCloseCounts()
}

// Shutdown stops accepting and closes connections as they become idle. It returns, and makes Serve return, once no
// connection is left. If ctx ends first, it returns the error of ctx.
func (s *httpServer) Shutdown(ctx context.Context) error {
	s.CloseListener(ctx)
	ticker := time.NewTicker(idleCloseInterval)
	defer ticker.Stop()
	for open := 1; open > 0; {
		s.listener.closeIdle()
		select {
		case <-ticker.C:
		case <-s.done:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		open, _ = s.listener.connCounts()
	}
	s.unblockServe()
	return s.server.Shutdown(ctx)
}

// Close closes the listener and all connections, and makes Serve return.
func (s *httpServer) Close() error {
	s.stopping.Store(true)
	s.unblockServe()
	err := s.server.Close()
	s.listener.closeLingering()
	return err
}

// unblockServe lets Serve return.
func (s *httpServer) unblockServe() { s.closeOnce.Do(func() { close(s.done) }) }
