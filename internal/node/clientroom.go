package node

import (
	"context"
	"io"
	"time"

	"cobaltward/handshakes"
	"cobaltward/internal/sockets"
	"cobaltward/middleware"
)

// awaitRoom waits until there is room for a connection that was accepted. Where each has a request in it, one will end,
// but those that wait in the system's queue meanwhile have less time than it may take: beyond patience, connections
// come in whose requests are rejected at once.
func (l *clients) awaitRoom(c *clientConn) {
	for l.open > l.most && !l.closed {
		patience := l.patience() - time.Since(l.queueEmptyAt)
		if l.evict(patience <= 0) {
			break
		}
		switch {
		case patience > 0 && l.quiet.Len() > 0:
			patience = lookAgain // they are young, and not for long
		case patience > 0:
		case l.evictStalled():
			continue
		case l.open <= l.most+l.spare:
			c.overflow = true
			return
		}
		wake := time.AfterFunc(max(patience, overflowStalledFor), l.room.Broadcast)
		l.room.Wait()
		wake.Stop()
	}
	c.overflow = !l.closed && l.open > l.most // one that was evicted was beyond the bound, too
}

// evictStalled closes a connection whose client has stopped in the midst of a request: of those that there was no room
// for, one that has for a moment, else one that has for long. It reports whether there was one; the mutex is let go
// meanwhile.
func (l *clients) evictStalled() bool {
	now := time.Now()
	var longest *clientConn
	for c := range l.partial {
		patience := stalledFor
		if c.overflow {
			patience = overflowStalledFor
		}
		if now.Sub(c.partAt) > patience && (longest == nil || c.partAt.Before(longest.partAt)) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	l.turnAway(longest, true)
	return true
}

// rejection is the answer to a client whose request is on its way to a connection that ends for want of room.
func (l *clients) rejection() string {
	head := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n"
	if wait := l.retryAfter(); wait > 0 {
		head += "Retry-After: " + middleware.FormatRetryAfter(wait) + "\r\n"
	}
	return head + "\r\n"
}

// turnAway closes a connection; the mutex is let go meanwhile. Where answer says so a rejection goes ahead of the close:
// the last byte of a request may cross it. It is written before anybody can find the connection gone, since whoever
// reads closes it for that. Behind an answer that closes the connection anyway it is never read.
func (l *clients) turnAway(c *clientConn, answer bool) {
	if answer && c.secure == nil {
		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(rejectionWrite)) // nothing was written that could be in the way
		_, _ = io.WriteString(c.TCPConn, l.rejection())
	}
	c.forget()
	l.mu.Unlock() // a close waits for who reads, and who reads takes the mutex
	_ = c.TCPConn.Close()
	l.mu.Lock()
}

// overflows is asked as a request is about to be handed on. It tells whether that came on a connection that there was
// no room for, and there still is none, or on one that was closed for others just now: its client has been told that it
// was rejected. A connection whose request is handed on makes no room for others.
func overflows(ctx context.Context) bool {
	c, ok := ctx.Value(clientKey{}).(*clientConn)
	if !ok {
		return false
	}
	l := c.owner
	l.mu.Lock()
	defer l.mu.Unlock()
	c.overflow = c.overflow && l.open > l.most
	rejected := c.overflow || c.gone
	if !rejected { // else the rest of its body is not waited for where others need the room
		delete(l.partial, c)
	}
	return rejected
}

// admit waits until another handshake may go on.
func (l *clients) admit() {
	for !l.closed {
		active, waiting := 0, 0
		for e := l.quiet.Front(); e != nil; e = e.Next() {
			switch c := e.Value.(*clientConn); {
			case !c.secure.Shaking():
			case c.secure.Working(), c.secure.Silent() && time.Since(c.came) <= handshakes.SilentAfter:
				active++
			default: // for its client, who may be far away or mean no good
				waiting++
			}
		}
		admit, crowded := handshakes.AdmitClient(active, waiting, l.most)
		if admit || crowded && l.hush() { // where others are worked on, a close makes no room
			return
		}
		wake := time.AfterFunc(lookAgain, l.room.Broadcast)
		l.room.Wait()
		wake.Stop()
	}
}

// hush closes the handshake that has waited for its client for longest, if that is for long.
func (l *clients) hush() bool {
	for e := l.quiet.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		age := time.Since(c.came)
		if c.secure.Shaking() && !c.secure.Working() && (age > stalledFor || c.secure.Silent() && age > silentFor) {
			c.forget()
			c.TCPConn.Close()
			return true
		}
	}
	return false
}

// shaken notes the end of a handshake.
func (l *clients) shaken() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.room.Broadcast()
}

// evict closes the connection that has been quiet for longest, if there is one; the mutex is let go meanwhile. A
// handshake that goes on is not quiet. A new connection whose first request is on its way makes room only if young says
// so: its client is not owed an answer again on another one.
func (l *clients) evict(young bool) bool {
	for e := l.quiet.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		shaking := c.secure != nil && c.secure.Shaking() && !c.secure.Silent()
		if shaking || !young && c.isYoung() || !sockets.Quiet(c.TCPConn) { // a request that meets a close has failed
			continue
		}
		l.turnAway(c, !c.had)
		return true
	}
	return false
}
