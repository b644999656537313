package sockets

import (
	"net"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// pausedListener sleeps within Accept, as if the process were paused on a busy host.
type pausedListener struct {
	*net.TCPListener
}

func (l pausedListener) Accept() (net.Conn, error) {
	time.Sleep(5 * maxNonBlockingCall)
	return l.TCPListener.Accept()
}

// TestAcceptQueue_PauseNotTakenForEmptyQueue checks that a pause of the process within accept does not count as a
// wait on an empty queue. If it did, connections further back in the queue would count as new.
func TestAcceptQueue_PauseNotTakenForEmptyQueue(t *testing.T) {
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
			t.Errorf("EmptyAt is %v after the arrival of a connection that was still queued", late)
		}
	}
}

// sharedSocketListener simulates another process that shares the socket and takes the connection seen in the queue.
// Another client connects only after that connection is taken.
type sharedSocketListener struct {
	*net.TCPListener
	connectLater func()
}

func (l sharedSocketListener) Accept() (net.Conn, error) {
	takenByOther, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	_ = takenByOther.Close()
	l.connectLater()
	return l.TCPListener.Accept()
}

// TestAcceptQueue_SharedSocket checks that a connection does not get the age of an earlier connection that another
// process took from the shared queue. The later connection arrives long after the earlier connection.
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
	listener := sharedSocketListener{ln.(*net.TCPListener), func() {
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
		t.Errorf("EmptyAt is %v ago, although the only queued connection has just come", age)
	}
}
