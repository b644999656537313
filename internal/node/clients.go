package node

import (
	linked "container/list"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"cobaltward/internal/frontend/secure"
	"cobaltward/internal/sockets"
)

// clients is the listener for clients. It bounds their connections, and where they get too many it
// makes room by closing those that have been without a request for longest: clients who connect and
// say nothing, or keep what they don't use, must not keep others out.
type clients struct {
	net.Listener
	most  int // connections that are served
	spare int // further ones, whose requests are rejected at once
	// patience is how long clients may wait in the system's queue.
	patience   func() time.Duration
	retryAfter func() time.Duration // when those are to try again who are turned away; 0: not told
	layer      *secure.Terminator   // puts TLS on connections; nil: they come in plain

	mu    sync.Mutex
	room  sync.Cond
	open  int
	quiet linked.List // of the *clientConn without a request, the longest so in front
	// partial are those of whose request a part has come, and which was not handed on yet.
	partial map[*clientConn]bool
	closed  bool
	// queueEmptyAt is when the system's queue was last known to be empty: who is accepted later came no earlier.
	queueEmptyAt time.Time
	emptied      chan struct{} // closed when nobody is left in the system's queue, once it is the last call
	ending       bool          // the intake has ended: connections without a request are parted from as they come to be so
	later        bool          // some were too young for that, and are looked at again

	crossed uint64 // requests that met the close of their connection: their clients send them again
	parted  uint64 // connections that were closed without a request, for a drain
}

const (
	silentFor  = 250 * time.Millisecond // after which who has said nothing makes room for others
	stalledFor = time.Second            // and who has begun its handshake, and says no more
	lookAgain  = 5 * time.Millisecond   // whether another may be let in
)

const (
	// Beside sparePart connections one more may be let in for rejecting what there is no room for, in these bounds: they
	// come out of the node's own descriptors.
	sparePart  = 12
	leastSpare = 6
	mostSpare  = 6
	// rejectionWrite bounds the writing of a rejection to who makes room, which nothing should hold up.
	rejectionWrite = 100 * time.Millisecond
	// overflowStalledFor is how long a client on such a connection may stop in the midst of a request.
	overflowStalledFor = 2 * time.Millisecond
)

// lastCallFor is how long the system's queue is looked at for those who came before the listener closes.
const lastCallFor = 20 * time.Millisecond

// youngFor is how long a connection without a request yet is left alone by a drain, and by those who need room: its first
// request is on its way, and its client has no reason to expect a close.
const youngFor = 100 * time.Millisecond

// partFor is how long a client may take to close its side of a connection that was parted from.
const partFor = time.Second

func newClients(l net.Listener, most int) *clients {
	c := &clients{Listener: l, emptied: make(chan struct{}), queueEmptyAt: time.Now(), partial: make(map[*clientConn]bool)}
	c.patience = func() time.Duration { return 0 }
	c.retryAfter = func() time.Duration { return 0 }
	c.setMost(most)
	c.room.L = &c.mu
	return c
}

func (l *clients) Accept() (net.Conn, error) {
	began := time.Now()
	tcp, err := l.Listener.Accept()
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) && l.isClosed() { // after the last call
			close(l.emptied) // net/http asks for no other
			return nil, net.ErrClosed
		}
		return nil, err
	}
	c := &clientConn{TCPConn: tcp.(*net.TCPConn), owner: l, came: time.Now()}
	c.way = c.TCPConn
	conn := net.Conn(c)
	if l.layer != nil {
		c.secure = l.layer.Wrap(c.TCPConn, l.shaken)
		c.way, conn = c.secure, &secureClient{c, c.secure}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if sockets.HadToWait(began, c.came) {
		l.queueEmptyAt = c.came
	}
	c.arrival.Reset(l.queueEmptyAt)
	if l.open++; l.layer != nil {
		l.admit()
	}
	l.awaitRoom(c)
	c.quiet = l.quiet.PushBack(c)
	c.resting.Store(true)
	return conn, nil
}

// lastCall takes in whom the system has let in by now: a close would reset them, and what they have sent is taken. They
// come in beyond the bound, which holds for those who stay.
func (l *clients) lastCall() {
	in, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return
	}
	l.mu.Lock()
	first := !l.closed
	l.closed = true
	l.room.Broadcast()
	l.mu.Unlock()
	if !first {
		return
	}
	if in.SetDeadline(time.Now().Add(lastCallFor)) == nil {
		select {
		case <-l.emptied:
		case <-time.After(2 * lastCallFor): // nobody may be accepting
		}
	}
	_ = l.Listener.Close() // nobody is left to tell
}

func (l *clients) Close() error {
	l.mu.Lock()
	first := !l.closed
	l.closed = true
	l.room.Broadcast()
	l.mu.Unlock()
	if !first { // net/http closes it once more
		return nil
	}
	return l.Listener.Close()
}

// setMost changes the connections that may be open, beside the spare ones.
func (l *clients) setMost(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = max(1, n)
	l.spare = min(mostSpare, max(leastSpare, n/sparePart))
	l.room.Broadcast()
}

func (l *clients) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// part closes our side of the connections that have no request, with care: one to which a request has come
// already serves it, and what crosses the close is counted. The client's own close ends them.
func (l *clients) part() {
	l.mu.Lock()
	l.ending = true
	l.partAndUnlock()
}

// partAgain parts from those that were too young, unless the drain was taken back meanwhile.
func (l *clients) partAgain() {
	l.mu.Lock()
	l.later = false
	if !l.ending {
		l.mu.Unlock()
		return
	}
	l.partAndUnlock()
}

// partAndUnlock needs the mutex, and lets it go before it closes anything.
func (l *clients) partAndUnlock() {
	quiet := l.partLocked()
	l.mu.Unlock()
	for _, c := range quiet {
		c.leave()
	}
}

// stay has connections without a request kept again.
func (l *clients) stay() {
	l.mu.Lock()
	l.ending = false
	l.mu.Unlock()
}

// partLocked marks the connections that can be parted from.
func (l *clients) partLocked() (quiet []*clientConn) {
	for e := l.quiet.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		switch {
		case c.parting || !sockets.IsIdle(c.TCPConn):
		case c.isYoung():
			if !l.later {
				l.later = true
				time.AfterFunc(youngFor, l.partAgain)
			}
		default:
			quiet = append(quiet, c)
			c.parting = true
		}
	}
	l.parted += uint64(len(quiet))
	return quiet
}

// count is the connections, and those of them with a request.
func (l *clients) count() (open, busy int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.open - l.quiet.Len()
}
