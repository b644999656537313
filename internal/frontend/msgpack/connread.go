package msgpack

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"cobaltward/internal/cpuyield"
	"cobaltward/internal/sockets"
	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/stream"
)

// clientCheckInterval is how often the server checks whether a client has disconnected while nothing is read from it.
const clientCheckInterval = 50 * time.Millisecond

const (
	// cancelGrace is the time after a cancel notification or a disconnect from which no attempt may begin.
	cancelGrace = 100 * time.Millisecond
	// maxReadPause is the maximum time for which the reader lets bytes wait for the sake of pacing.
	maxReadPause = cancelGrace / 2
	// maxReadLag is the time for which bytes may be unread before the reader counts as behind. No call is passed to the
	// engine while the reader is behind.
	maxReadLag = cancelGrace * 3 / 4
)

// maxUnwrittenLocal is the number of unwritten answers to calls that were not passed to the engine, from which nothing
// more is read.
const maxUnwrittenLocal = 128

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

// readLag returns an upper bound of the time for which bytes have been unread at now.
func (c *conn) readLag(now time.Time) time.Duration { return now.Sub(c.arrivalTimes.EmptiedAt()) }

// checkReadLag sets readBehind if bytes may have been unread for longer than maxReadLag. The current message may be
// one of several that arrived then.
func (c *conn) checkReadLag() {
	if c.readLag(time.Now()) <= maxReadLag || c.in.Buffered() == 0 && !c.hasUnread() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBehind = true
}

// endReadLag ends readBehind at now if no bytes have been unread for longer than maxReadLag any more. c.mu is held.
func (c *conn) endReadLag(now time.Time) {
	if c.readBehind && (c.readLag(now) <= maxReadLag || !c.hasUnread()) {
		c.readBehind = false
		c.startQueued()
	}
}

// endReading ends readBehind after a protocol violation. Nothing that is unread can cancel a call any more.
func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBehind = false
	c.startQueued()
}

// awaitPace waits if the client has sent very many messages that no server answers. Bytes that arrive meanwhile are
// not unread for longer than maxReadPause.
func (c *conn) awaitPace() {
	now := time.Now()
	if pause := maxReadPause - c.readLag(now); pause > 0 {
		time.Sleep(c.pace.Delay(now, pause))
	}
}

// awaitWriter blocks while the client does not read its answers. Nothing is read from the client meanwhile, so
// awaitWriter asks the kernel whether the client has disconnected.
func (c *conn) awaitWriter() error {
	if !c.hasAnswerBacklog() {
		return nil
	}
	c.mu.Lock()
	c.readBehind = true
	c.mu.Unlock()
	check := time.NewTicker(clientCheckInterval)
	defer check.Stop()
	for c.hasAnswerBacklog() {
		select {
		case <-c.writeDone:
		case <-c.writerDone: // no further answer can be written
			return io.ErrClosedPipe
		case <-check.C:
		}
		if c.clientDisconnected() {
			return io.EOF
		}
	}
	return nil
}

// hasAnswerBacklog reports whether too many answers are unwritten to read on.
func (c *conn) hasAnswerBacklog() bool { return c.unwrittenLocal.Load() >= maxUnwrittenLocal }

// clientDisconnected reports whether the client has closed its side of the connection, even if bytes are unread.
func (c *conn) clientDisconnected() bool {
	if tcp := tcpConn(c.nc); tcp != nil {
		return sockets.PeerClosed(tcp)
	}
	socket, ok := c.nc.(syscall.Conn) // a Unix socket
	return ok && sockets.PeerClosed(socket)
}

// mayHaveLeft reports whether the client may have closed the connection or cancelled its calls unnoticed, because the
// reader is behind.
func (c *conn) mayHaveLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readBehind && (c.hasUnread() || c.clientDisconnected())
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
	return n < size && !(ok && stream.MayHaveMore())
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
