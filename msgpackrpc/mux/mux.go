// Package mux sends concurrent calls over one connection to a server. For each call without a valid reply the error
// says whether the call may have run.
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
	// maxAbandoned is the number of abandoned calls without a reply at which the connection stops accepting calls.
	maxAbandoned = 1024
	// writeTimeout limits each write, in case the server does not read.
	writeTimeout = 5 * time.Second
)

// Conn is a connection to a server that carries concurrent calls. It is safe for concurrent use.
type Conn struct {
	nc          net.Conn
	onDrain     func()
	writeSignal stream.Signal
	done        chan struct{}
	goroutines  sync.WaitGroup

	mu            sync.Mutex
	lastID        uint32
	calls         map[uint32]*pendingCall // open calls, by msgid
	abandoned     map[uint32]struct{}     // msgids that a late reply may still have; they are not reused
	queue         []*pendingCall          // calls to be written
	notifications []byte                  // encoded, not yet written
	retired       bool                    // no new calls are accepted
	err           error                   // why the connection is closed; nil: it is open
	idleSince     time.Time               // since when no call is open; only meaningful if calls is empty
}

type callState uint8

const (
	queued  callState = iota // in the queue, or in a batch that is being assembled
	writing                  // in a batch that is being written; only the writer may decide the outcome on failure
	sent                     // written completely; the call waits for its reply
)

// pendingCall is a call that has no outcome yet.
type pendingCall struct {
	id       uint32
	frame    []byte
	guard    WriteGuard // nil: the call may always be written
	state    callState
	finished chan outcome // receives the outcome; has a capacity of 1, so that sending never blocks
}

type outcome struct {
	reply msgpackrpc.Reply
	err   error
}

// New takes ownership of a connection, and reads and writes it until it fails or Close is called. onDrain, if not
// nil, is called when the server sends a drain notification; it must not block.
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

// Call sends a request, and waits for the reply or until ctx ends, in which case it notifies the server. It never
// retries. maySend, if not nil, is called just before the call is written; if it returns an error, the call is not
// written. The errors of Call are of type *NotSentError, *NoReplyError or *MalformedReplyError.
func (c *Conn) Call(ctx context.Context, req *msgpackrpc.Call, maySend func() error) (msgpackrpc.Reply, error) {
	if maySend == nil {
		return c.CallGuarded(ctx, req, nil)
	}
	return c.CallGuarded(ctx, req, sendCheck(maySend))
}

// WriteGuard is notified of the write of a call, and may prevent it. Its methods are called by the writing goroutine.
type WriteGuard interface {
	// BeginWrite returns an error if the call must not be written. Otherwise EndWrite is called after the call was
	// written or its write was given up.
	BeginWrite() error
	EndWrite()
}

// sendCheck is a WriteGuard that consists of BeginWrite only.
type sendCheck func() error

func (check sendCheck) BeginWrite() error { return check() }
func (check sendCheck) EndWrite()         {}

// CallGuarded is like Call, but takes a WriteGuard, which may be nil.
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

// nextID returns a msgid that no open or abandoned call has. IDs wrap around after 2^32 calls. c.mu is held.
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

// abandon gives up a call whose context has ended, unless it has an outcome by now.
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

// checkIdle is called after a call has ended. It closes a retired connection after its last call. c.mu is held.
func (c *Conn) checkIdle() {
	if len(c.calls) > 0 {
		return
	}
	c.idleSince = time.Now()
	if c.retired {
		c.fail(ErrRetired)
	}
}

// finish ends a call with the given outcome, unless the call was abandoned. c.mu is held.
func (c *Conn) finish(call *pendingCall, result outcome) {
	if c.calls[call.id] == call {
		delete(c.calls, call.id)
		call.finished <- result
		c.checkIdle()
	}
}

// fail closes the connection because of err. Calls that were sent may have run; queued ones cannot have run. The
// writer decides the outcome of calls that are being written. c.mu is held.
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

// Retire makes the connection reject new calls. The connection closes after its last open call.
func (c *Conn) Retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.checkIdle()
}

// IdleSince returns since when no call is open. ok is false if a call is open or the connection accepts none.
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

// Done returns a channel that is closed when the connection closes.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close closes the connection, and waits until its goroutines have returned.
func (c *Conn) Close() {
	c.mu.Lock()
	c.fail(net.ErrClosed)
	c.mu.Unlock()
	c.goroutines.Wait()
}
