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

// intake is the daemon's HTTP front. Its listener stays open while a drain on request goes on, so that who asks
// for readiness is told, and who comes all the same is refused and not turned back unheard.
type intake struct {
	server  *http.Server
	clients *clients
	shared  bool // others hold the socket as well, and take in whom this process does not

	ending  sync.Once
	closing chan struct{} // closed when the intake ends for good
}

var (
	_ router.DrainableListener = (*intake)(nil)
	_ router.DrainableListener = (*rpcIntake)(nil)
)

func newIntake(server *http.Server, listener net.Listener, most int) *intake {
	return &intake{server: server, clients: newClients(listener, most), closing: make(chan struct{})}
}

// Serve takes clients in until Shutdown or Close.
func (in *intake) Serve() error {
	err := in.server.Serve(in.clients)
	if in.clients.isClosed() { // those that were let in are still served
		<-in.closing
		return http.ErrServerClosed
	}
	return err
}

// StopAccepting ends the connections without a request. The others end with their answers.
func (in *intake) StopAccepting() { in.clients.part() }

// ResumeAccepting keeps connections again. Clients could come in all the time.
func (in *intake) ResumeAccepting() error {
	in.clients.stay()
	return nil
}

// CloseListener lets nobody in any more; those that were let in are served on. A listening socket that others
// hold as well stays open in their hands: it is closed here, and never shut down.
func (in *intake) CloseListener() {
	if !in.shared {
		in.clients.lastCall()
	}
	_ = in.clients.Close() // nobody is left to tell
}

// Connections is the connections, and those of them with a request.
func (in *intake) Connections() (open, busy int) { return in.clients.count() }

// partings is the connections that were closed without a request, and the requests that crossed that.
func (in *intake) partings() (parted, crossed uint64) {
	in.clients.mu.Lock()
	defer in.clients.mu.Unlock()
	return in.clients.parted, in.clients.crossed
}

// Shutdown ends the intake for good: it lets nobody in, and parts from connections as they come to be without a
// request, until none is left or ctx ends.
func (in *intake) Shutdown(ctx context.Context) error {
	in.CloseListener()
	look := time.NewTicker(partEvery)
	defer look.Stop()
	for open := 1; open > 0; {
		in.clients.part()
		select {
		case <-look.C:
		case <-in.closing:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		open, _ = in.clients.count()
	}
	in.end()
	return in.server.Shutdown(ctx)
}

// partEvery is how often connections that have come to be without a request are looked for.
const partEvery = 20 * time.Millisecond

// Close ends the intake and all connections at once.
func (in *intake) Close() error {
	in.end()
	return in.server.Close()
}

// end lets Serve return.
func (in *intake) end() { in.ending.Do(func() { close(in.closing) }) }

// againFor bounds how long the address may be in use when clients are to be let in again.
const againFor = 4 * time.Second

// listenAgain opens a listener where one was.
func listenAgain(at net.Addr) (net.Listener, error) {
	for end := time.Now().Add(againFor); ; time.Sleep(10 * time.Millisecond) {
		ln, err := net.Listen(at.Network(), at.String())
		if err == nil {
			return ln, nil
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("clients can't be let in again: %w", err)
		}
	}
}

// rpcIntake is the same for MessagePack-RPC. Its Front is made after its engine.
type rpcIntake struct {
	*msgpackfront.Server
	wrap func(net.Listener) net.Listener // puts TLS on a listener, or nothing

	mu      sync.Mutex
	ln      net.Listener // nil while nothing is let in
	address net.Addr
	ended   bool
	resumed chan struct{}
}

func newRPCIntake(ln net.Listener, wrap func(net.Listener) net.Listener) *rpcIntake {
	return &rpcIntake{ln: wrap(ln), wrap: wrap, address: ln.Addr(), resumed: make(chan struct{})}
}

// Serve takes clients in until Shutdown or Close.
func (in *rpcIntake) Serve() error {
	for {
		in.mu.Lock()
		ln, resumed, ended := in.ln, in.resumed, in.ended
		in.mu.Unlock()
		switch {
		case ended:
			return msgpackfront.ErrClosed
		case ln == nil:
			<-resumed
			continue
		}
		err := in.Server.Serve(ln)
		in.mu.Lock()
		replaced := in.ln != ln
		in.mu.Unlock()
		if !replaced {
			return err
		}
	}
}

func (in *rpcIntake) StopAccepting() {
	in.mu.Lock()
	in.ln = nil
	in.mu.Unlock()
	in.Server.StopAccepting()
}

func (in *rpcIntake) ResumeAccepting() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ln != nil || in.ended {
		return nil
	}
	ln, err := listenAgain(in.address)
	if err != nil {
		return err
	}
	in.ln = in.wrap(ln)
	_ = in.Server.ResumeAccepting() // it has nothing to fail at
	close(in.resumed)
	in.resumed = make(chan struct{})
	return nil
}

// Shutdown ends the intake for good.
func (in *rpcIntake) Shutdown(ctx context.Context) error {
	in.end()
	return in.Server.Shutdown(ctx)
}

// Close ends all connections at once.
func (in *rpcIntake) Close() {
	in.end()
	in.Server.Close()
}

func (in *rpcIntake) end() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.ended {
		in.ended = true
		if in.ln == nil {
			close(in.resumed)
		}
	}
}
