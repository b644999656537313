package msgpack

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"cobaltward/internal/cpuyield"
	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/stream"
)

// read handles messages until the client disconnects, violates the protocol or times out, or until the connection is
// closed.
func (c *conn) read(ctx context.Context) error {
	c.in = msgpackrpc.NewReader(c)
	c.in.BeforeRead = c.setReadDeadline
	return stream.ReadMessages(c.in, func(message msgpackrpc.Message) error {
		c.endMessage(c.in.Buffered() > 0)
		if err := c.awaitWriter(); err != nil {
			return err
		}
		c.checkReadLag()
		if err := c.handle(ctx, message); err != nil {
			return err
		}
		c.yielder.YieldIfDue()
		c.awaitPace()
		return nil
	})
}

// Read reads from the client. It retries after a read deadline that does not end the connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.readOnce(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.handleReadDeadline() {
			return n, err
		}
	}
}

// minReadWait is the duration from which a read counts as a wait, in which other goroutines could run.
const minReadWait = 50 * time.Microsecond

// readOnce reads from the client once, and records the earliest possible arrival time of the returned bytes.
func (c *conn) readOnce(p []byte) (int, error) {
	began := time.Now()
	n, err := c.reader.Read(p)
	now := time.Now()
	if now.Sub(began) >= minReadWait {
		c.yielder = cpuyield.Yielder{}
	}
	c.bytesRead += uint64(n)
	c.recordArrival(began, now, c.hasReadAll(n, len(p)))
	c.mu.Lock()
	c.lastReadAt = now // set before evictableSince can treat these bytes as a stalled message
	c.mu.Unlock()
	return n, err
}

// recordArrival records the arrival time of bytes that were read. all reports whether nothing more had arrived.
func (c *conn) recordArrival(began, now time.Time, all bool) {
	tcp := tcpConn(c.nc)
	if tcp != nil {
		c.arrivalTimes.RecordReadFrom(tcp, began, now, all)
	} else {
		c.arrivalTimes.RecordRead(began, now, all)
	}
	if all || c.hasBufferedRecord() {
		return
	}
	position := c.bytesRead
	if stream, ok := c.nc.(interface{ BytesRead() uint64 }); ok { // TLS
		position = stream.BytesRead()
	}
	c.arrivalTimes.RecordBacklog(now, position, c.unreadBytes)
}

// hasReadAll reports whether a read of n bytes into a buffer of size bytes returned all bytes that had arrived.
func (c *conn) hasReadAll(n, size int) bool {
	stream, ok := c.nc.(interface{ MayHaveMore() bool })
	return n < size && (!ok || !stream.MayHaveMore())
}

func (c *conn) handle(ctx context.Context, message msgpackrpc.Message) error {
	switch message.Kind {
	case msgpackrpc.Response:
		return &msgpackrpc.ProtocolError{Problem: "unexpected response"}
	case msgpackrpc.Notification: // unknown methods are ignored: later protocol versions may define them
		id, ok := msgpackrpc.CancelledID(message)
		if !ok || message.Method != msgpackrpc.MethodCancel || !c.cancel(id) {
			c.pace.CountLocalAnswer()
		}
	case msgpackrpc.Request:
		return c.startCall(ctx, message)
	}
	return nil
}

// tcpConn returns the TCP connection under nc, or nil if there is none.
func tcpConn(nc net.Conn) *net.TCPConn {
	switch nc := nc.(type) {
	case *net.TCPConn:
		return nc
	case interface{ TCP() *net.TCPConn }:
		return nc.TCP()
	}
	return nil
}
