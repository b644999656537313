package operations

import (
	linked "container/list"
	"net"
	"net/http"
	"sync"
)

// listener lets callers in, so many at once. It guards the console against callers who connect and finish no call:
// they hold a slot for headFor at most, and less where somebody else comes.
type listener struct {
	net.Listener
	most int

	mu      sync.Mutex
	room    sync.Cond
	open    map[net.Conn]*linked.Element // its place in waiting; nil where its call is whole
	waiting linked.List                  // of the net.Conn without a whole call, the longest so in front
	closed  bool
}

func newListener(ln net.Listener, most int) *listener {
	l := &listener{Listener: ln, most: most, open: make(map[net.Conn]*linked.Element)}
	l.room.L = &l.mu
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.open) >= l.most && !l.closed {
		if oldest := l.waiting.Front(); oldest != nil {
			out := oldest.Value.(net.Conn)
			l.forget(out)
			out.Close()
			continue
		}
		l.room.Wait() // each is being answered
	}
	l.open[c] = l.waiting.PushBack(c)
	return c, nil
}

func (l *listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.room.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// change follows a caller's connection.
func (l *listener) change(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		if e := l.open[c]; e != nil {
			l.waiting.Remove(e)
			l.open[c] = nil
		}
	case http.StateClosed, http.StateHijacked:
		l.forget(c)
	}
}

// forget gives a slot back.
func (l *listener) forget(c net.Conn) {
	e, ok := l.open[c]
	if !ok {
		return
	}
	if e != nil {
		l.waiting.Remove(e)
	}
	delete(l.open, c)
	l.room.Signal()
}
