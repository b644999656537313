package node

import (
	"io"
	"net"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// deadlineSlack is the maximum time by which the deadline sent to a server may exceed the time that the client has
// left.
const deadlineSlack = 150 * time.Millisecond

// delayedListener returns each connection some time after the accept. Until then the request waits in the socket
// buffer.
type delayedListener struct {
	net.Listener
	delay time.Duration
}

func (l *delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		time.Sleep(l.delay)
	}
	return conn, err
}

func (l *delayedListener) SetDeadline(t time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(t)
}

// TestDeadline_CountsFromArrival checks that the deadline of a request counts from its arrival. Requests wait unread
// in the socket buffer, or behind another request on the same connection. A deadline that counts from the read would
// exceed the time that the client has left.
func TestDeadline_CountsFromArrival(t *testing.T) {
	const wait, clientDeadline = 500 * time.Millisecond, 1200 * time.Millisecond
	check := func(t *testing.T, server *holdingServer, id string, sent time.Time) {
		t.Helper()
		var got receivedRequest
		testkit.Await(t, "the request to reach the server", func() (ok bool) {
			got, ok = server.request(id)
			return ok
		})
		if left := clientDeadline - got.at.Sub(sent); got.deadline > left+deadlineSlack {
			t.Errorf("the server was given %v, but the client had only %v left", got.deadline, left)
		}
	}
	t.Run("accepted late", func(t *testing.T) {
		delayed := func(l net.Listener) net.Listener { return &delayedListener{l, wait} }
		server, addr := runWithHoldingServer(t, 512, delayed)
		conn, sent := dialClient(t, addr), time.Now()
		_, _ = io.WriteString(conn, nonIdempotentRequest("r", clientDeadline))
		check(t, server, "r", sent)
		close(server.release)
	})
	t.Run("behind another request", func(t *testing.T) {
		server, addr := runWithHoldingServer(t, 512, func(l net.Listener) net.Listener { return l })
		conn, sent := dialClient(t, addr), time.Now()
		first, second := nonIdempotentRequest("first", clientDeadline), nonIdempotentRequest("second", clientDeadline)
		_, _ = io.WriteString(conn, first+second)
		time.AfterFunc(wait, func() { close(server.release) })
		check(t, server, "second", sent)
	})
}
