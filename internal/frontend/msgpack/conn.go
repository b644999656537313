package msgpack

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/msgpackrpc"
)

// conn is one client's connection: one goroutine reads, one writes, and each call has one that waits.
type conn struct {
	f     *Server
	nc    net.Conn
	slots chan struct{} // of open calls, and of answers not yet written
	wake  chan struct{} // something is to be written
	wrote chan struct{} // closed when the writer has ended
	calls sync.WaitGroup

	arrival sockets.Arrival // of who reads

	overflow bool // under the front's mutex: its calls are rejected for want of room

	mu      sync.Mutex
	open    map[uint32]context.CancelFunc
	queue   []answer // bounded by the slots
	pending int      // answers not yet written
	quiet   time.Time
	partial bool // part of a message has come
	called  bool // a call has come
	readAt  time.Time
	notices []byte
	drains  bool
	drained time.Time // when the client was told
	ending  bool      // no message is taken any more; the writer ends it once nothing is open
	hung    bool      // the sending has ended
}

type answer struct {
	msgid uint32
	reply msgpackrpc.Reply
}

// quietSince tells since when the connection has had nothing to do. One that there was no room for may also make room in
// the midst of a message, but is left alone as long as its first call may be on its way.
func (c *conn) quietSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overflow && !c.called && time.Since(c.quiet) < youngFor {
		return time.Time{}, false
	}
	stalled := c.overflow && time.Since(c.readAt) >= youngFor
	return c.quiet, len(c.open)+c.pending == 0 && (!c.partial || stalled)
}

func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	go c.write()
	err := c.read(ctx)
	var wrong *msgpackrpc.ProtocolError
	if errors.As(err, &wrong) { // what is open is still answered
		c.f.mu.Lock()
		c.f.stats.ProtocolErrors++
		c.f.mu.Unlock()
		c.end(msgpackrpc.AppendError(nil, wrong.Problem))
		<-c.wrote
	} else {
		c.nc.Close() // the client has left, and so have its calls
		c.end(nil)
	}
	cancel()
	c.calls.Wait()
	<-c.wrote
	c.nc.Close()
	c.f.mu.Lock()
	delete(c.f.conns, c)
	c.f.room.Broadcast()
	c.f.mu.Unlock()
}

// end has the connection take nothing more, and end once what is open is answered.
func (c *conn) end(notice []byte) {
	c.mu.Lock()
	c.notices = append(c.notices, notice...)
	c.ending = true
	c.mu.Unlock()
	c.signal()
}

// drain tells the client that no new call is taken.
func (c *conn) drain() {
	c.mu.Lock()
	if !c.drains {
		c.notices = msgpackrpc.AppendDrain(c.notices)
		c.drains, c.drained = true, time.Now()
		time.AfterFunc(crossing, c.signal)
	}
	c.mu.Unlock()
	c.signal()
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// read takes messages until the client leaves, breaks the protocol, or the connection has ended.
func (c *conn) read(ctx context.Context) error {
	in := msgpackrpc.NewReader(c)
	var began time.Time
	in.BeforeRead = func(partial bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.hung {
			return
		}
		switch {
		case !partial:
			began = time.Time{}
		case began.IsZero():
			began = time.Now()
		}
		c.partial = partial
		deadline := time.Time{}
		switch {
		case partial:
			deadline = began.Add(c.f.c.MessageTimeout)
		case len(c.open)+c.pending == 0:
			deadline = time.Now().Add(c.f.c.IdleTimeout)
		}
		_ = c.nc.SetReadDeadline(deadline) // fails only once it is closed
	}
	for {
		raw, err := in.Next()
		if err != nil {
			return err
		}
		m, err := msgpackrpc.Parse(raw)
		if err != nil {
			return err
		}
		switch m.Kind {
		case msgpackrpc.Response:
			return &msgpackrpc.ProtocolError{Problem: "a response, where requests belong"}
		case msgpackrpc.Notification: // of an unknown method, it is of a later version
			if id, ok := msgpackrpc.CancelledID(m); ok && m.Method == msgpackrpc.MethodCancel {
				c.cancel(id)
			}
		case msgpackrpc.Request:
			if err := c.take(ctx, m); err != nil {
				return err
			}
		}
	}
}

func (c *conn) cancel(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.open[id]; cancel != nil {
		cancel()
	}
}

// Read reads from the client, and notes when what it brings came at the earliest.
func (c *conn) Read(p []byte) (int, error) {
	began := time.Now()
	n, err := c.nc.Read(p)
	now := time.Now()
	c.arrival.RecordRead(began, now, n < len(p))
	c.mu.Lock()
	c.readAt = now // before what was read may be taken for a message that has stopped
	c.mu.Unlock()
	return n, err
}

// take takes a call in. Where the client has too many it waits, and nothing more is read meanwhile.
func (c *conn) take(ctx context.Context, m msgpackrpc.Message) error {
	came := c.arrival.Earliest()
	if err := c.slot(); err != nil {
		return err
	}
	c.mu.Lock()
	if c.open[m.ID] != nil {
		c.mu.Unlock()
		<-c.slots
		return &msgpackrpc.ProtocolError{Problem: "a msgid that is in use"}
	}
	ctx, cancel := context.WithCancel(ctx)
	c.open[m.ID] = cancel
	c.called = true
	draining := c.drains
	c.mu.Unlock()
	c.f.mu.Lock()
	c.f.stats.Calls++
	c.f.mu.Unlock()
	answered := func(r msgpackrpc.Reply, answers bool) {
		c.mu.Lock()
		delete(c.open, m.ID)
		if answers {
			c.pending++
			c.queue = append(c.queue, answer{m.ID, r})
		}
		c.quiet = time.Now()
		c.mu.Unlock()
		cancel()
		c.signal() // without an answer too: the connection may be waiting for its last call
		if !answers {
			<-c.slots
			c.f.madeQuiet()
		}
	}
	req, reply := c.request(m, came)
	switch {
	case reply.Code != "":
	case draining: // it crossed the notice, and did not run
		reply = msgpackrpc.Reply{Code: msgpackrpc.Overloaded, Text: "the node drains"}
	case c.f.rejectsOverflow(c):
		reply = c.f.overloaded(req.Class)
	default:
		c.calls.Go(func() {
			a, err := c.f.engine.Do(ctx, req)
			answered(ReplyFromAnswer(a, err), ctx.Err() == nil || err == nil)
		})
		return nil
	}
	answered(reply, true)
	return nil
}

// slot waits until the client may have another call open. Nothing is read meanwhile, so whether it has left is asked
// of the system: what it waits for must not be sent on then.
func (c *conn) slot() error {
	select {
	case c.slots <- struct{}{}:
		return nil
	default:
	}
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case c.slots <- struct{}{}:
			return nil
		case <-c.wrote: // nothing is written any more
			return io.ErrClosedPipe
		case <-look.C:
			if tcp := wire(c.nc); tcp != nil && sockets.PeerClosed(tcp) {
				return io.EOF
			}
		}
	}
}

// wire is the TCP connection under c; nil where there is none.
func wire(c net.Conn) *net.TCPConn {
	switch c := c.(type) {
	case *net.TCPConn:
		return c
	case interface{ TCP() *net.TCPConn }:
		return c.TCP()
	}
	return nil
}

// write writes answers, as many as there are together, until the connection ends.
func (c *conn) write() {
	defer close(c.wrote)
	var buf []byte
	var batch []answer
	for {
		<-c.wake
		c.mu.Lock()
		batch, c.queue = c.queue, batch[:0]
		buf = append(buf[:0], c.notices...)
		c.notices = nil
		c.mu.Unlock()
		taken := 0
		for i := range batch {
			buf = msgpackrpc.AppendReply(buf, batch[i].msgid, &batch[i].reply)
			batch[i] = answer{}
			if taken++; len(buf) >= maxBatch || i == len(batch)-1 {
				if !c.flush(buf, taken) {
					return
				}
				buf, taken = buf[:0], 0
			}
		}
		if !c.flush(buf, taken) {
			return
		}
		if c.over() {
			c.hangUp()
			return
		}
		if cap(buf) > 2*maxBatch {
			buf = nil
		}
	}
}

// flush writes a batch of so many answers, which gives their slots back.
func (c *conn) flush(buf []byte, taken int) bool {
	if len(buf) == 0 {
		return true
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(c.f.c.WriteTimeout)) // fails only once it is closed
	_, err := c.nc.Write(buf)
	for range taken {
		<-c.slots
	}
	c.mu.Lock()
	c.pending -= taken
	quiet := len(c.open)+c.pending == 0
	if quiet && !c.partial && !c.hung { // the reader may be waiting without an end
		_ = c.nc.SetReadDeadline(time.Now().Add(c.f.c.IdleTimeout))
	}
	c.mu.Unlock()
	if quiet {
		c.f.madeQuiet()
	}
	if err != nil {
		c.nc.Close() // and the reader ends
	}
	return err == nil
}

// over tells whether the connection is to end now.
func (c *conn) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)+c.pending+len(c.notices) == 0 && (c.ending || c.drains && time.Since(c.drained) >= crossing)
}

// hangUp ends the sending, and leaves the client some time to do the same: a close with bytes unread would
// reset what it has not read yet.
func (c *conn) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hung = true
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(linger))
		return
	}
	c.nc.Close()
}
