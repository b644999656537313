// Package mux sends many concurrent calls over one connection to a server. For each call without a reply it reports
// whether the call may have run.
package mux

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/stream"
)

const (
	// maxAbandoned is how many abandoned calls may lack a reply before the connection accepts no new calls.
	maxAbandoned = 1024
	// writeTimeout limits a write to a server that does not read.
	writeTimeout = 5 * time.Second
)

// Conn is one connection. It is safe for concurrent use.
type Conn struct {
	nc          net.Conn
	onDrain     func()
	writeSignal stream.Signal
	done        chan struct{}
	goroutines  sync.WaitGroup

	mu            sync.Mutex
	lastID        uint32
	calls         map[uint32]*pendingCall // without a reply
	abandoned     map[uint32]struct{}     // ids that a late reply may still have, and that are not reused
	queue         []*pendingCall
	notifications []byte // not yet written
	retired       bool
	err           error // why the connection is closed
	idleSince     time.Time
}

type callState uint8

const (
	queued  callState = iota // or in a batch that is being assembled
	writing                  // the outcome is determined by the writer
	sent
)

// pendingCall is a call without an outcome.
type pendingCall struct {
	id       uint32
	frame    []byte
	guard    WriteGuard // nil: the call may always be written
	state    callState
	finished chan outcome // has capacity for one
}

type outcome struct {
	reply msgpackrpc.Reply
	err   error
}

// New takes ownership of a connection, and serves it until it fails or Close is called. onDrain, if not nil, is called
// when the server notifies that it accepts no new calls; it must not block.
func New(nc net.Conn, onDrain func()) *Conn {
	c := &Conn{
		nc:          nc,
		onDrain:     onDrain,
		writeSignal: stream.NewSignal(),
		done:        make(chan struct{}),
		calls:       make(map[uint32]*pendingCall),
		abandoned:   make(map[uint32]struct{}),
		idleSince:   time.Now(),
	}
	c.goroutines.Go(c.write)
	c.goroutines.Go(c.read)
	return c
}

// Call sends a request and waits for the reply until ctx ends, in which case the server is notified. It never retries.
// maySend, if not nil, is called just before the call is written, and prevents that by returning an error. The errors
// are of type *NotSentError, *NoReplyError and *MalformedReplyError.
func (c *Conn) Call(ctx context.Context, req *msgpackrpc.Call, maySend func() error) (msgpackrpc.Reply, error) {
	if maySend == nil {
		return c.CallGuarded(ctx, req, nil)
	}
	return c.CallGuarded(ctx, req, sendCheck(maySend))
}

// WriteGuard is told of the write of a call. Its methods are called from the goroutine that writes.
type WriteGuard interface {
	// BeginWrite returns an error if the call must not be written. If it returns none, EndWrite follows once the call is
	// written, or is not going to be.
	BeginWrite() error
	EndWrite()
}

// sendCheck is a WriteGuard that needs no EndWrite.
type sendCheck func() error

func (check sendCheck) BeginWrite() error { return check() }
func (check sendCheck) EndWrite()         {}

// CallGuarded is Call with a guard of the write; nil for none.
func (c *Conn) CallGuarded(ctx context.Context, req *msgpackrpc.Call, guard WriteGuard) (msgpackrpc.Reply, error) {
	call := &pendingCall{guard: guard, finished: make(chan outcome, 1)}
	if err := c.enqueue(call, req); err != nil {
		return msgpackrpc.Reply{}, &NotSentError{err}
	}
	select {
	case result := <-call.finished:
		return result.reply, result.err
	case <-ctx.Done():
	}
	return c.abandon(ctx, call)
}

func (c *Conn) enqueue(call *pendingCall, req *msgpackrpc.Call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.err != nil:
		return c.err
	case c.retired:
		return ErrRetired
	}
	call.id = c.nextID()
	call.frame = msgpackrpc.AppendCall(make([]byte, 0, len(req.Body)+256), call.id, req)
	c.calls[call.id] = call
	c.queue = append(c.queue, call)
	c.writeSignal.Notify()
	return nil
}

// nextID returns an id that no open or abandoned call has; ids wrap around after 2^32 calls. c.mu is held.
func (c *Conn) nextID() uint32 {
	for {
		c.lastID++
		_, open := c.calls[c.lastID]
		_, abandoned := c.abandoned[c.lastID]
		if !open && !abandoned {
			return c.lastID
		}
	}
}

// abandon gives up a call whose context has ended, unless its outcome is known by now.
func (c *Conn) abandon(ctx context.Context, call *pendingCall) (msgpackrpc.Reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case result := <-call.finished:
		return result.reply, result.err
	default:
	}
	delete(c.calls, call.id)
	c.checkIdle()
	if call.state == queued {
		c.queue = slices.DeleteFunc(c.queue, func(other *pendingCall) bool { return other == call })
		return msgpackrpc.Reply{}, &NotSentError{context.Cause(ctx)}
	}
	if c.abandoned[call.id] = struct{}{}; len(c.abandoned) >= maxAbandoned {
		c.retired = true
	}
	c.notifications = msgpackrpc.AppendCancel(c.notifications, call.id)
	c.writeSignal.Notify()
	return msgpackrpc.Reply{}, &NoReplyError{context.Cause(ctx)}
}

// checkIdle is called when a call has ended. A retired connection closes after its last call. c.mu is held.
func (c *Conn) checkIdle() {
	if len(c.calls) > 0 {
		return
	}
	c.idleSince = time.Now()
	if c.retired {
		c.fail(ErrRetired)
	}
}

// finish ends a call with its outcome, unless it was abandoned. c.mu is held.
func (c *Conn) finish(call *pendingCall, result outcome) {
	if c.calls[call.id] == call {
		delete(c.calls, call.id)
		call.finished <- result
		c.checkIdle()
	}
}

// fail closes the connection. Calls that were sent may have run, queued ones cannot have. The outcome of calls that are
// being written is left to the writer. c.mu is held.
func (c *Conn) fail(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	close(c.done)
	_ = c.nc.Close()
	for _, call := range c.calls {
		switch call.state {
		case queued:
			c.finish(call, outcome{err: &NotSentError{err}})
		case sent:
			c.finish(call, outcome{err: &NoReplyError{err}})
		}
	}
	c.queue = nil
}

// Retire stops the connection from accepting calls. It closes after its last open call.
func (c *Conn) Retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.checkIdle()
}

// IdleSince returns the time since which the connection has had no call; ok is false if it has one, or accepts none.
func (c *Conn) IdleSince() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, len(c.calls) == 0 && c.err == nil && !c.retired
}

// Usable reports whether the connection accepts calls.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && !c.retired
}

// Done returns a channel that is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close closes the connection, and waits for its goroutines.
func (c *Conn) Close() {
	c.mu.Lock()
	c.fail(net.ErrClosed)
	c.mu.Unlock()
	c.goroutines.Wait()
}
