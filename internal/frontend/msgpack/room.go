package msgpack

import (
	"context"
	"net"
	"time"

	"cobaltward/msgpackrpc"
	"cobaltward/router"
)

// admit takes a connection in, of which nothing came before earliest. Where there are too many, the one that has been
// quiet for longest makes room; where none is quiet, the next waits.
func (f *Server) admit(nc net.Conn, earliest time.Time) bool {
	c := &conn{
		f: f, nc: nc, slots: make(chan struct{}, f.c.MaxCalls),
		open: make(map[uint32]context.CancelFunc), quiet: time.Now(), wrote: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	c.arrival.Reset(earliest)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting.Add(1) // ahead of the look at who is quiet, so that none comes to be so unseen
	f.awaitRoom(c, earliest)
	f.waiting.Add(-1)
	if f.draining || f.closed {
		return false
	}
	f.conns[c] = true
	f.serving.Go(c.serve)
	return true
}

// awaitRoom waits until there is room for a connection. Where each has a call open, one will end, but who waits in the
// system's queue meanwhile has less time than that may take: beyond the patience of the engine a few connections come in
// whose calls are rejected at once.
func (f *Server) awaitRoom(c *conn, earliest time.Time) {
	for len(f.conns) >= f.c.MaxConns && !f.draining && !f.closed {
		if f.evict() {
			continue
		}
		patience := f.queuePatience() - time.Since(earliest)
		if patience <= 0 && len(f.conns) < f.c.MaxConns+spareConns {
			c.overflow = true
			return
		}
		wake := time.AfterFunc(max(patience, lookAgain), f.wakeWaiting)
		f.room.Wait()
		wake.Stop()
	}
}

func (f *Server) queuePatience() time.Duration {
	if engine, ok := f.engine.(interface{ QueuePatience() time.Duration }); ok {
		return engine.QueuePatience()
	}
	return defaultQueuePatience
}

// rejectsOverflow reports whether c was let in only for its calls to be rejected, and there still is no room for it.
func (f *Server) rejectsOverflow(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.overflow = c.overflow && len(f.conns) > f.c.MaxConns
	return c.overflow
}

// overloaded is the answer to a call that there is no room for.
func (f *Server) overloaded(class string) msgpackrpc.Reply {
	answer := router.Answer{Outcome: router.Overloaded}
	if engine, ok := f.engine.(interface {
		RejectOverloaded(class string) router.Answer
	}); ok {
		answer = engine.RejectOverloaded(class)
	}
	return ReplyFromAnswer(answer, nil)
}

// wakeWaiting has who waits for room look again.
func (f *Server) wakeWaiting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.room.Broadcast()
}

// madeQuiet has who waits for room look again.
func (f *Server) madeQuiet() {
	if f.waiting.Load() > 0 {
		f.wakeWaiting()
	}
}

// evict ends the connection that has been quiet for longest, if there is one.
func (f *Server) evict() bool {
	var oldest *conn
	var since time.Time
	for c := range f.conns {
		if at, ok := c.quietSince(); ok && (oldest == nil || at.Before(since)) {
			oldest, since = c, at
		}
	}
	if oldest == nil {
		return false
	}
	f.stats.Evicted++
	delete(f.conns, oldest)
	oldest.nc.Close()
	return true
}
