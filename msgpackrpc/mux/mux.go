// Package mux sends concurrent calls over one connection to a server. The error of a call without a valid reply says
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
	// maxAbandoned is the number of abandoned calls without a reply from which the connection accepts no new calls.
	maxAbandoned = 1024
	// writeTimeout is the timeout for each write. It ends a write to a server that does not read.
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
	abandoned     map[uint32]struct{}     // msgids that must not be reused: a late reply may still arrive
	queue         []*pendingCall          // calls that wait to be written
	notifications []byte                  // encoded notifications that wait to be written
	retired       bool                    // whether new calls are rejected
	err           error                   // reason why the connection is closed; nil: open
	idleSince     time.Time               // end of the last call; only meaningful if calls is empty
}

type callState uint8

const (
	queued  callState = iota // in the queue or in a batch that is being assembled
	writing                  // in a batch that is being written; on failure, only the writer decides the outcome
	sent                     // written completely, without a reply yet
)

// pendingCall is a call that has no outcome yet.
type pendingCall struct {
	id       uint32
	frame    []byte
	guard    WriteGuard // nil: the call may always be written
	state    callState
	finished chan outcome // receives the outcome; capacity 1, so that sending never blocks
}

type outcome struct {
	reply msgpackrpc.Reply
	err   error
}

// New returns a Conn that owns nc. It reads and writes nc until nc fails or Close is called. onDrain, if not nil, is
// called when the server sends a drain notification. onDrain must not block.
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

// Call sends req, and waits for the reply until ctx ends. If ctx ends after the write has begun, the server receives a
// cancel. Call never retries. maySend, if not nil, is called just before the write; its error prevents the write.
//
// The errors of Call are of type *NotSentError, *NoReplyError or *MalformedReplyError.
func (c *Conn) Call(ctx context.Context, req *msgpackrpc.Call, maySend func() error) (msgpackrpc.Reply, error) {
	if maySend == nil {
		return c.CallGuarded(ctx, req, nil)
	}
	return c.CallGuarded(ctx, req, sendCheck(maySend))
}

// WriteGuard is notified of the write of a call, and may prevent it. The writing goroutine calls the methods.
type WriteGuard interface {
	// BeginWrite returns an error if the call must not be written. If it returns nil, EndWrite is called once the
	// write has ended or was given up.
	BeginWrite() error
	EndWrite()
}

// sendCheck is a WriteGuard with a BeginWrite and an empty EndWrite.
type sendCheck func() error

func (check sendCheck) BeginWrite() error { return check() }
func (check sendCheck) EndWrite()         {}

// CallGuarded is Call with a WriteGuard in place of maySend. guard may be nil.
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

// nextID returns a msgid that no open or abandoned call has. IDs wrap around after 2^32 calls. The caller holds c.mu.
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

// abandon gives up call after ctx has ended. If call already has an outcome, abandon returns the outcome.
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

// checkIdle records the start of an idle period once no call is open. It then closes the connection if the connection
// is retired. The caller holds c.mu.
func (c *Conn) checkIdle() {
	if len(c.calls) > 0 {
		return
	}
	c.idleSince = time.Now()
	if c.retired {
		c.fail(ErrRetired)
	}
}

// finish ends call with the outcome result, unless call was abandoned. The caller holds c.mu.
func (c *Conn) finish(call *pendingCall, result outcome) {
	if c.calls[call.id] == call {
		delete(c.calls, call.id)
		call.finished <- result
		c.checkIdle()
	}
}

// fail closes the connection because of err. Calls that were sent may have run; queued calls cannot have run. The
// writer decides the outcome of calls that are being written. The caller holds c.mu.
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

// IdleSince returns the time since which no call is open. ok is false if a call is open or the connection accepts no
// calls.
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
