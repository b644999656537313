package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	msgpackfront "cobaltward/front/msgpack"
	"cobaltward/router"
)

// intake is the daemon's HTTP front: a server whose listener can be closed and opened again, as a drain on
// request needs it.
type intake struct {
	server *http.Server
	most   int // connections

	mu      sync.Mutex
	address net.Addr
	now     *clients      // that clients come in by; nil while nothing is let in
	all     []*clients    // that still have connections
	closing bool          // for good
	resumed chan struct{} // closed when clients are let in again, or never will be
	crossed uint64        // of those that are gone
	parted  uint64
}

var _ router.Intake = (*intake)(nil)

func newIntake(server *http.Server, listener net.Listener, most int) *intake {
	in := &intake{server: server, most: most, address: listener.Addr(), resumed: make(chan struct{})}
	in.now = newClients(listener, most)
	in.all = []*clients{in.now}
	return in
}

// Serve takes clients in until Shutdown or Close.
func (in *intake) Serve() error {
	for {
		in.mu.Lock()
		l, resumed := in.now, in.resumed
		in.mu.Unlock()
		if l != nil {
			err := in.server.Serve(l)
			in.mu.Lock()
			ended := in.now != l && !in.closing
			in.mu.Unlock()
			if !ended {
				return err
			}
			continue
		}
		<-resumed
		in.mu.Lock()
		closing := in.closing
		in.mu.Unlock()
		if closing {
			return http.ErrServerClosed
		}
	}
}

// EndIntake closes the listener, and the connections without a request.
func (in *intake) EndIntake() {
	in.mu.Lock()
	l, all := in.now, in.all
	in.now = nil
	in.mu.Unlock()
	if l != nil {
		l.Close()
	}
	for _, l := range all {
		l.part()
	}
}

// againFor bounds how long the address may be in use when clients are to be let in again.
const againFor = time.Second

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

// ResumeIntake opens the listener again, at the same address.
func (in *intake) ResumeIntake() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.now != nil || in.closing {
		return nil
	}
	ln, err := listenAgain(in.address)
	if err != nil {
		return err
	}
	in.now = newClients(ln, in.most)
	kept := in.all[:0]
	for _, l := range in.all {
		if open, _ := l.count(); open > 0 {
			kept = append(kept, l)
			continue
		}
		l.mu.Lock()
		in.crossed, in.parted = in.crossed+l.crossed, in.parted+l.parted
		l.mu.Unlock()
	}
	in.all = append(kept, in.now)
	close(in.resumed)
	in.resumed = make(chan struct{})
	return nil
}

// Clients is the connections, and those of them with a request.
func (in *intake) Clients() (open, busy int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, l := range in.all {
		o, b := l.count()
		open, busy = open+o, busy+b
	}
	return open, busy
}

// partings is the connections that were closed without a request, and the requests that crossed that.
func (in *intake) partings() (parted, crossed uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	parted, crossed = in.parted, in.crossed
	for _, l := range in.all {
		l.mu.Lock()
		parted, crossed = parted+l.parted, crossed+l.crossed
		l.mu.Unlock()
	}
	return parted, crossed
}

// Shutdown ends the intake for good.
func (in *intake) Shutdown(ctx context.Context) error {
	in.end()
	return in.server.Shutdown(ctx)
}

// Close ends the intake and all connections at once.
func (in *intake) Close() error {
	in.end()
	return in.server.Close()
}

// end lets Serve return, wherever it is.
func (in *intake) end() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.closing {
		in.closing = true
		if in.now == nil {
			close(in.resumed)
		}
	}
}

// rpcIntake is the same for MessagePack-RPC. Its Front is made after its engine.
type rpcIntake struct {
	*msgpackfront.Front

	mu      sync.Mutex
	ln      net.Listener // nil while nothing is let in
	address net.Addr
	ended   bool
	resumed chan struct{}
}

func newRPCIntake(ln net.Listener) *rpcIntake {
	return &rpcIntake{ln: ln, address: ln.Addr(), resumed: make(chan struct{})}
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
		err := in.Front.Serve(ln)
		in.mu.Lock()
		replaced := in.ln != ln
		in.mu.Unlock()
		if !replaced {
			return err
		}
	}
}

func (in *rpcIntake) EndIntake() {
	in.mu.Lock()
	in.ln = nil
	in.mu.Unlock()
	in.Front.EndIntake()
}

func (in *rpcIntake) ResumeIntake() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ln != nil || in.ended {
		return nil
	}
	ln, err := listenAgain(in.address)
	if err != nil {
		return err
	}
	in.ln = ln
	_ = in.Front.ResumeIntake() // it has nothing to fail at
	close(in.resumed)
	in.resumed = make(chan struct{})
	return nil
}

// Shutdown ends the intake for good.
func (in *rpcIntake) Shutdown(ctx context.Context) error {
	in.end()
	return in.Front.Shutdown(ctx)
}

// Close ends all connections at once.
func (in *rpcIntake) Close() {
	in.end()
	in.Front.Close()
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
