// Package mux carries many calls at once over one connection to a server, and tells of each that brought
// no answer whether it may have run. It is what the transport and the client are built on.
package mux

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"cobaltward/msgpackrpc"
)

const (
	maxBatch = 64 << 10 // bytes that are written together
	maxLate  = 1024     // calls given up whose answers may still come; beyond, the connection takes no more
	// writeTimeout bounds a write to a server that reads nothing.
	writeTimeout = 5 * time.Second
)

// NotSentError says that a call never left whole: it can't have run.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }
func (e *NotSentError) Unwrap() error { return e.Err }

// NoReplyError says that a call left, and that its answer did not come: it may have run.
type NoReplyError struct{ Err error }

func (e *NoReplyError) Error() string { return "sent, without an answer: " + e.Err.Error() }
func (e *NoReplyError) Unwrap() error { return e.Err }

// MalformedReplyError says that the answer to a call can't be believed: it may have run.
type MalformedReplyError struct{ Err error }

func (e *MalformedReplyError) Error() string { return "the answer can't be read: " + e.Err.Error() }
func (e *MalformedReplyError) Unwrap() error { return e.Err }

// ErrRetired is why a connection takes no call any more, while it may still answer those that it has.
var ErrRetired = errors.New("the connection takes no new calls")

// Conn is one connection. Its methods may be called at once from many goroutines.
type Conn struct {
	nc      net.Conn
	onDrain func()
	wake    chan struct{}
	done    chan struct{}
	parts   sync.WaitGroup

	mu      sync.Mutex
	next    uint32
	calls   map[uint32]*call    // without an answer
	late    map[uint32]struct{} // given up: an answer may still come, and their ids are not used again
	queue   []*call
	control []byte // notifications to be written
	retired bool
	err     error     // why it is closed
	quiet   time.Time // since when it has no call
}

type state uint8

const (
	queued  state = iota // or being looked at, whether it may go out
	writing              // its fate is the writer's to say
	sent
)

type call struct {
	id     uint32
	frame  []byte
	may    func() error // why it must not be written any more
	state  state
	result chan outcome // holds one
}

type outcome struct {
	reply msgpackrpc.Reply
	err   error
}

// New takes over a connection, and runs it until it breaks or Close. onDrain, where it is not nil, is
// called when the server says that it takes no new calls; it must not wait.
func New(nc net.Conn, onDrain func()) *Conn {
	c := &Conn{
		nc: nc, onDrain: onDrain, wake: make(chan struct{}, 1), done: make(chan struct{}),
		calls: make(map[uint32]*call), late: make(map[uint32]struct{}), quiet: time.Now(),
	}
	c.parts.Go(c.write)
	c.parts.Go(c.read)
	return c
}

// Call sends q and waits for the answer until ctx ends: then the server is told that nobody waits any
// more. It never repeats. may, where it is not nil, is asked just before the call is written, and stops it
// by an error. Errors are *NotSentError, *LostError and *SpoiltError.
func (c *Conn) Call(ctx context.Context, q *msgpackrpc.Call, may func() error) (msgpackrpc.Reply, error) {
	k := &call{may: may, result: make(chan outcome, 1)}
	if err := c.enqueue(k, q); err != nil {
		return msgpackrpc.Reply{}, &NotSentError{err}
	}
	select {
	case o := <-k.result:
		return o.reply, o.err
	case <-ctx.Done():
	}
	return c.abandon(ctx, k)
}

func (c *Conn) enqueue(k *call, q *msgpackrpc.Call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.err != nil:
		return c.err
	case c.retired:
		return ErrRetired
	}
	for { // an id comes round after 2^32 calls, and may be waited for still
		c.next++
		_, open := c.calls[c.next]
		_, late := c.late[c.next]
		if !open && !late {
			break
		}
	}
	k.id = c.next
	k.frame = msgpackrpc.AppendCall(make([]byte, 0, len(q.Body)+256), k.id, q)
	c.calls[k.id] = k
	c.queue = append(c.queue, k)
	c.signal()
	return nil
}

func (c *Conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// abandon gives a call up.
func (c *Conn) abandon(ctx context.Context, k *call) (msgpackrpc.Reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case o := <-k.result: // it was there in time
		return o.reply, o.err
	default:
	}
	delete(c.calls, k.id)
	c.rest()
	if k.state == queued {
		c.queue = slices.DeleteFunc(c.queue, func(q *call) bool { return q == k })
		return msgpackrpc.Reply{}, &NotSentError{context.Cause(ctx)}
	}
	if c.late[k.id] = struct{}{}; len(c.late) >= maxLate {
		c.retired = true
	}
	c.control = msgpackrpc.AppendCancel(c.control, k.id)
	c.signal()
	return msgpackrpc.Reply{}, &NoReplyError{context.Cause(ctx)}
}

// rest notes that a call is over. A connection that takes no more ends with the last.
func (c *Conn) rest() {
	if len(c.calls) == 0 {
		if c.quiet = time.Now(); c.retired {
			c.fail(ErrRetired)
		}
	}
}

// finish ends a call, unless it was given up.
func (c *Conn) finish(k *call, o outcome) {
	if c.calls[k.id] == k {
		delete(c.calls, k.id)
		k.result <- o
		c.rest()
	}
}

// write writes what is queued, as much as there is together.
func (c *Conn) write() {
	var buf []byte
	var batch []*call
	var ends []int
	for {
		select {
		case <-c.wake:
		case <-c.done:
			return
		}
		for {
			buf, batch, ends = c.gather(buf[:0], batch[:0], ends[:0])
			if len(buf) == 0 {
				if c.waiting() { // all of the batch was refused
					continue
				}
				break
			}
			_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only once it is closed
			n, err := c.nc.Write(buf)
			c.written(batch, ends, n, err)
			if err != nil {
				return
			}
		}
		if cap(buf) > 2*maxBatch {
			buf = nil
		}
	}
}

func (c *Conn) waiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

// gather puts the next batch together. Calls that must not go out any more have not run.
func (c *Conn) gather(buf []byte, batch []*call, ends []int) ([]byte, []*call, []int) {
	c.mu.Lock()
	n, size := 0, 0
	for n < len(c.queue) && size < maxBatch {
		size += len(c.queue[n].frame)
		n++
	}
	taken := append(batch, c.queue[:n]...)
	c.queue = slices.Delete(c.queue, 0, n)
	c.mu.Unlock()
	var refused map[*call]error
	for _, k := range taken { // without the lock: may is another's code
		if k.may == nil {
			continue
		}
		if err := k.may(); err != nil {
			if refused == nil {
				refused = make(map[*call]error)
			}
			refused[k] = err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return buf, taken[:0], ends
	}
	buf = append(buf, c.control...)
	c.control = c.control[:0]
	batch = taken[:0]
	for _, k := range taken {
		switch err := refused[k]; {
		case c.calls[k.id] != k: // given up meanwhile
		case err != nil:
			c.finish(k, outcome{err: &NotSentError{err}})
		default:
			k.state = writing
			buf = append(buf, k.frame...)
			batch, ends = append(batch, k), append(ends, len(buf))
		}
	}
	return buf, batch, ends
}

// written says what became of a batch of which n bytes were written: a call whose last byte is among them
// may have run, and no other.
func (c *Conn) written(batch []*call, ends []int, n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, k := range batch {
		k.frame = nil
		switch {
		case n < ends[i]:
			c.finish(k, outcome{err: &NotSentError{err}})
		case c.err != nil || err != nil: // it broke meanwhile
			c.finish(k, outcome{err: &NoReplyError{c.reason(err)}})
		default:
			k.state = sent
		}
	}
	if err != nil {
		c.fail(err)
	}
}

func (c *Conn) reason(err error) error {
	if c.err != nil {
		return c.err
	}
	return err
}

func (c *Conn) read() {
	in := msgpackrpc.NewReader(c.nc)
	for {
		raw, err := in.Next()
		if err == nil {
			err = c.take(raw)
		}
		if err != nil {
			c.mu.Lock()
			c.fail(err)
			c.mu.Unlock()
			return
		}
	}
}

// take handles one message of the server's. An error is one after which nothing it says can be believed.
func (c *Conn) take(raw []byte) error {
	m, err := msgpackrpc.Parse(raw)
	if err != nil {
		return err
	}
	switch m.Kind {
	case msgpackrpc.Request:
		return &msgpackrpc.ProtocolError{Problem: "a request, where answers belong"}
	case msgpackrpc.Notification: // of an unknown method, it is of a later version
		if m.Method == msgpackrpc.MethodDrain {
			c.Retire()
			if c.onDrain != nil {
				c.onDrain()
			}
		}
		return nil
	}
	reply, err := msgpackrpc.ParseReply(m)
	if err != nil {
		err = &MalformedReplyError{err}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k, open := c.calls[m.ID]
	if _, late := c.late[m.ID]; late && !open {
		delete(c.late, m.ID)
		return nil
	}
	if !open || k.state == queued {
		return &msgpackrpc.ProtocolError{Problem: "an answer to no call that is open"}
	}
	c.finish(k, outcome{reply, err})
	return nil
}

// fail closes the connection for good. What had left may have run, what had not can't have; what is being
// written is the writer's to say.
func (c *Conn) fail(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	close(c.done)
	c.nc.Close()
	for _, k := range c.calls {
		switch k.state {
		case queued:
			c.finish(k, outcome{err: &NotSentError{err}})
		case sent:
			c.finish(k, outcome{err: &NoReplyError{err}})
		}
	}
	c.queue = nil
}

// Retire has the connection take no new calls; it ends with the last that it has.
func (c *Conn) Retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.rest()
}

// IdleSince tells since when the connection has had no call; ok is false while it has one, or takes none.
func (c *Conn) IdleSince() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quiet, len(c.calls) == 0 && c.err == nil && !c.retired
}

// Usable tells whether the connection takes calls.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && !c.retired
}

// Done is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close closes the connection, and waits until nothing of it runs.
func (c *Conn) Close() {
	c.mu.Lock()
	c.fail(net.ErrClosed)
	c.mu.Unlock()
	c.parts.Wait()
}
