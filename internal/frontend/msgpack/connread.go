package msgpack

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/stream"
)

// clientCheckInterval is how often a connection that has too many open calls is checked for a disconnect.
const clientCheckInterval = 50 * time.Millisecond

// read handles messages until the client disconnects or violates the protocol, or the connection has ended.
func (c *conn) read(ctx context.Context) error {
	in := msgpackrpc.NewReader(c)
	in.BeforeRead = c.setReadDeadline
	return stream.ReadMessages(in, func(message msgpackrpc.Message) error { return c.handle(ctx, message) })
}

// setReadDeadline is called before each read. partial reports whether a part of a message has been read.
func (c *conn) setReadDeadline(partial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !partial:
		c.messageStartedAt = time.Time{}
	case c.messageStartedAt.IsZero():
		c.messageStartedAt = time.Now()
	}
	if c.writeClosed {
		return
	}
	deadline := time.Time{}
	switch {
	case partial:
		deadline = c.messageStartedAt.Add(c.server.config.MessageTimeout)
	case c.idle():
		deadline = c.idleDeadline()
	}
	_ = c.reader.SetReadDeadline(deadline) // fails only after a close
}

// Read reads from the client. At a read deadline that does not end the connection it reads on.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.readOnce(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.passDeadline() {
			return n, err
		}
	}
}

// readOnce reads from the client, and records when what it returns can have arrived at the earliest.
func (c *conn) readOnce(p []byte) (int, error) {
	began := time.Now()
	n, err := c.reader.Read(p)
	now := time.Now()
	if tcp := tcpConn(c.nc); tcp != nil {
		c.arrival.RecordReadFrom(tcp, began, now, n < len(p))
	} else {
		c.arrival.RecordRead(began, now, n < len(p))
	}
	c.mu.Lock()
	c.lastReadAt = now // before these bytes can be taken for a stalled message
	c.mu.Unlock()
	return n, err
}

func (c *conn) handle(ctx context.Context, message msgpackrpc.Message) error {
	switch message.Kind {
	case msgpackrpc.Response:
		return &msgpackrpc.ProtocolError{Problem: "unexpected response"}
	case msgpackrpc.Notification: // unknown methods may be of a later version
		if id, ok := msgpackrpc.CancelledID(message); ok && message.Method == msgpackrpc.MethodCancel {
			c.cancel(id)
		}
	case msgpackrpc.Request:
		return c.startCall(ctx, message)
	}
	return nil
}

func (c *conn) cancel(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.open[id]; cancel != nil {
		cancel()
	}
}

// startCall passes a call to the engine, or answers it. If the client has too many open calls it waits, and nothing
// more is read meanwhile.
func (c *conn) startCall(ctx context.Context, message msgpackrpc.Message) error {
	receivedAt := c.arrival.Earliest()
	if err := c.acquireCallSlot(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	admission := c.register(message.ID, cancel)
	if admission == callDuplicate || admission == callLost {
		cancel()
		<-c.callSlots
		return c.refuse(admission)
	}
	c.server.count(&c.server.stats.Calls)
	req, reply := c.parseRequest(message, receivedAt)
	switch {
	case reply.Code != "":
	case admission == callEvicted:
		reply = c.server.overloadedReply(req.Class)
	case admission == callRejected: // the call crossed the notification, and is not forwarded
		reply = msgpackrpc.Reply{Code: msgpackrpc.Overloaded, Text: "the node is draining"}
	case c.server.rejectsOverflow(c):
		reply = c.server.overloadedReply(req.Class)
	default:
		c.calls.Go(func() {
			answer, err := c.server.engine.Do(ctx, req)
			if err != nil && ctx.Err() != nil {
				c.finishCancelled(message.ID)
				return
			}
			c.finishCall(message.ID, ReplyFromAnswer(answer, err))
		})
		return nil
	}
	c.finishCall(message.ID, reply)
	return nil
}

// callAdmission is what becomes of a call that has arrived.
type callAdmission uint8

const (
	callAdmitted  callAdmission = iota
	callRejected                // it came after a drain had begun, and is answered
	callEvicted                 // it crossed the eviction of its connection, and is answered
	callDuplicate               // its id is in use
	callLost                    // it came after the write side was closed: it cannot be answered, and is not run
)

// register adds an open call that is run or answered. The first call of a connection is taken even after a drain
// has begun.
func (c *conn) register(id uint32, cancel context.CancelFunc) callAdmission {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writeClosed:
		return callLost
	case c.open[id] != nil:
		return callDuplicate
	}
	c.open[id] = cancel
	first := !c.callSeen
	c.callSeen = true
	switch {
	case c.evicted:
		return callEvicted
	case c.draining && !first:
		return callRejected
	}
	return callAdmitted
}

// refuse handles a call that is neither admitted nor answered. It returns an error if the client has violated the
// protocol.
func (c *conn) refuse(admission callAdmission) error {
	if admission == callDuplicate {
		return &msgpackrpc.ProtocolError{Problem: "duplicate msgid"}
	}
	c.countLostCall()
	return nil
}

// finishCall queues the answer to an open call.
func (c *conn) finishCall(id uint32, reply msgpackrpc.Reply) {
	c.mu.Lock()
	cancel := c.remove(id)
	c.unwritten++
	c.queue = append(c.queue, answer{id, reply})
	c.mu.Unlock()
	cancel()
	c.writeSignal.Notify()
}

// finishCancelled ends an open call that the client no longer waits for.
func (c *conn) finishCancelled(id uint32) {
	c.mu.Lock()
	cancel := c.remove(id)
	c.mu.Unlock()
	cancel()
	c.writeSignal.Notify() // the writer may be waiting for the last call to end
	<-c.callSlots
	c.server.connIdle()
}

// remove removes an open call. c.mu is held.
func (c *conn) remove(id uint32) context.CancelFunc {
	cancel := c.open[id]
	delete(c.open, id)
	c.idleSince = time.Now()
	return cancel
}

// acquireCallSlot waits until the client may have another open call. Because nothing is read meanwhile, a disconnect is
// detected by asking the kernel: a call of a client that is gone must not be forwarded.
func (c *conn) acquireCallSlot() error {
	select {
	case c.callSlots <- struct{}{}:
		return nil
	default:
	}
	check := time.NewTicker(clientCheckInterval)
	defer check.Stop()
	for {
		select {
		case c.callSlots <- struct{}{}:
			return nil
		case <-c.writerDone: // no answer can be written any more
			return io.ErrClosedPipe
		case <-check.C:
			if tcp := tcpConn(c.nc); tcp != nil && sockets.PeerClosed(tcp) {
				return io.EOF
			}
		}
	}
}

// tcpConn returns the TCP connection under nc; nil if there is none.
func tcpConn(nc net.Conn) *net.TCPConn {
	switch nc := nc.(type) {
	case *net.TCPConn:
		return nc
	case interface{ TCP() *net.TCPConn }:
		return nc.TCP()
	}
	return nil
}
