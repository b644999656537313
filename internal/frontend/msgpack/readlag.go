package msgpack

import (
	"io"
	"syscall"
	"time"

	"cobaltward/internal/sockets"
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
// not unread for longer than maxReadPause, apart from the time in which other connections catch up.
func (c *conn) awaitPace() {
	now := time.Now()
	if pause := maxReadPause - c.readLag(now); pause > 0 {
		time.Sleep(c.pace.Delay(now, pause))
		return
	}
	time.Sleep(c.pace.CatchUpDelay(now))
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
