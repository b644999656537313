package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"cobaltward/router"

	msgpackfront "cobaltward/internal/frontend/msgpack"
)

// httpServer is the daemon's HTTP front. Its listener stays open while a drain on request goes on, so that who asks
// for readiness is told, and who comes all the same is refused and not turned back unheard.
type httpServer struct {
	server  *http.Server
	listener *clientListener
	sharedSocket  bool // others hold the socket as well, and take in whom this process does not

	closeOnce  sync.Once
	done chan struct{} // closed when the intake ends for good
}

var (
	_ router.DrainableListener = (*httpServer)(nil)
	_ router.DrainableListener = (*rpcServer)(nil)
)

func newHTTPServer(server *http.Server, listener net.Listener, maxConns int) *httpServer {
	return &httpServer{server: server, listener: newClientListener(listener, maxConns), done: make(chan struct{})}
}

// Serve takes clients in until Shutdown or Close.
func (in *httpServer) Serve() error {
	err := in.server.Serve(in.listener)
	if in.listener.isClosed() { // those that were let in are still served
		<-in.done
		return http.ErrServerClosed
	}
	return err
}

// StopAccepting ends the connections without a request. The others end with their answers.
func (in *httpServer) StopAccepting() { in.listener.closeIdle() }

// ResumeAccepting keeps connections again. Clients could come in all the time.
func (in *httpServer) ResumeAccepting() error {
	in.listener.keepIdle()
	return nil
}

// CloseListener lets nobody in any more; those that were let in are served on. A listening socket that others
// hold as well stays open in their hands: it is closed here, and never shut down.
func (in *httpServer) CloseListener() {
	if !in.sharedSocket {
		in.listener.drainAcceptQueue()
	}
	_ = in.listener.Close() // nobody is left to tell
}

// Connections is the connections, and those of them with a request.
func (in *httpServer) Connections() (open, busy int) { return in.listener.connCounts() }

// idleCloseCounts is the connections that were closed without a request, and the requests that crossed that.
func (in *httpServer) idleCloseCounts() (parted, crossed uint64) {
	in.listener.mu.Lock()
	defer in.listener.mu.Unlock()
	return in.listener.closedIdle, in.listener.requestsDuringClose
}

// Shutdown ends the intake for good: it lets nobody in, and parts from connections as they come to be without a
// request, until none is left or ctx ends.
func (in *httpServer) Shutdown(ctx context.Context) error {
	in.CloseListener()
	look := time.NewTicker(idleCloseInterval)
	defer look.Stop()
	for open := 1; open > 0; {
		in.listener.closeIdle()
		select {
		case <-look.C:
		case <-in.done:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		open, _ = in.listener.connCounts()
	}
	in.finish()
	return in.server.Shutdown(ctx)
}

// idleCloseInterval is how often connections that have come to be without a request are looked for.
const idleCloseInterval = 20 * time.Millisecond

// Close ends the intake and all connections at once.
func (in *httpServer) Close() error {
	in.finish()
	return in.server.Close()
}

// finish lets Serve return.
func (in *httpServer) finish() { in.closeOnce.Do(func() { close(in.done) }) }

// relistenTimeout bounds how long the address may be in use when clients are to be let in again.
const relistenTimeout = 4 * time.Second

// relisten opens a listener where one was.
func relisten(at net.Addr) (net.Listener, error) {
	for end := time.Now().Add(relistenTimeout); ; time.Sleep(10 * time.Millisecond) {
		ln, err := net.Listen(at.Network(), at.String())
		if err == nil {
			return ln, nil
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("clients can't be let in again: %w", err)
		}
	}
}

// rpcServer is the same for MessagePack-RPC. Its Front is made after its engine.
type rpcServer struct {
	*msgpackfront.Front
	wrapTLS func(net.Listener) net.Listener // puts TLS on a listener, or nothing

	mu      sync.Mutex
	listener      net.Listener // nil while nothing is let in
	address net.Addr
	closed   bool
	resumed chan struct{}
}

func newRPCServer(ln net.Listener, wrap func(net.Listener) net.Listener) *rpcServer {
	return &rpcServer{listener: wrap(ln), wrapTLS: wrap, address: ln.Addr(), resumed: make(chan struct{})}
}

// Serve takes clients in until Shutdown or Close.
func (in *rpcServer) Serve() error {
	for {
		in.mu.Lock()
		ln, resumed, ended := in.listener, in.resumed, in.closed
		in.mu.Unlock()
		switch {
		case ended:
			return msgpackfront.ErrClosed
		case ln == nil:
			<-resumed
			continue
		}
		err := in.Front.Serve(ln)
		in.mu.Lock()
		replaced := in.listener != ln
		in.mu.Unlock()
		if !replaced {
			return err
		}
	}
}

func (in *rpcServer) StopAccepting() {
	in.mu.Lock()
	in.listener = nil
	in.mu.Unlock()
	in.Front.StopAccepting()
}

func (in *rpcServer) ResumeAccepting() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.listener != nil || in.closed {
		return nil
	}
	ln, err := relisten(in.address)
	if err != nil {
		return err
	}
	in.listener = in.wrapTLS(ln)
	_ = in.Front.ResumeAccepting() // it has nothing to fail at
	close(in.resumed)
	in.resumed = make(chan struct{})
	return nil
}

// Shutdown ends the intake for good.
func (in *rpcServer) Shutdown(ctx context.Context) error {
	in.finish()
	return in.Front.Shutdown(ctx)
}

// Close ends all connections at once.
func (in *rpcServer) Close() {
	in.finish()
	in.Front.Close()
}

func (in *rpcServer) finish() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.closed {
		in.closed = true
		if in.listener == nil {
			close(in.resumed)
		}
	}
}
