package sockets

import (
	"net"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// pausedListener pauses within Accept, as a busy host does.
type pausedListener struct {
	*net.TCPListener
}

func (l pausedListener) Accept() (net.Conn, error) {
	time.Sleep(5 * maxImmediate)
	return l.TCPListener.Accept()
}

// A pause of the process within accept is not taken for an empty queue: connections behind it would count as new.
func TestAcceptQueue_PauseIsNoEmptyQueue(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	paused := pausedListener{ln.(*net.TCPListener)}
	queue := NewAcceptQueue()
	for range 3 {
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = client.Close() }()
		arrivedAt := time.Now()
		testkit.Await(t, "the connection in the queue", func() bool {
			queued, _ := HasQueuedConn(paused)
			return queued
		})
		conn, err := queue.Accept(paused)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
		if late := queue.EmptyAt().Sub(arrivedAt); late > 0 {
			t.Errorf("the queue is said to have been empty %v after a connection arrived", late)
		}
	}
}

// stealingListener has another process take the connection that was seen in the queue, and a client connect later.
type stealingListener struct {
	*net.TCPListener
	later func()
}

func (l stealingListener) Accept() (net.Conn, error) {
	stolen, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	_ = stolen.Close()
	l.later()
	return l.TCPListener.Accept()
}

// A connection that was seen in the queue went to another process that shares the socket: the one that came long after
// does not count as old.
func TestAcceptQueue_SharedSocket(t *testing.T) {
	const wait = 200 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	connect := func() {
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { _ = client.Close() })
	}
	connect()
	queue := NewAcceptQueue()
	listener := stealingListener{ln.(*net.TCPListener), func() {
		time.Sleep(wait)
		connect()
	}}
	testkit.Await(t, "the connection in the queue", func() bool {
		queued, _ := HasQueuedConn(listener)
		return queued
	})
	conn, err := queue.Accept(listener)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	if age := time.Since(queue.EmptyAt()); age > wait/2 {
		t.Errorf("the queue counts as %v old, though its only connection has just come", age)
	}
}
