package msgpack

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
)

// TestRead_DeadlineAheadOfBytes has bytes of a message come in time and the read begin after the deadline, as where the
// process was paused: they are served, and later ones are not.
func TestRead_DeadlineAheadOfBytes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	client := dial(t, ln.Addr().String())
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	c := newConn(New(nil, Config{MessageTimeout: 20 * time.Millisecond}), accepted, time.Now())
	c.setReadDeadline(true)
	_, _ = client.Write([]byte("in time"))
	testkit.Await(t, "the bytes", func() bool { return sockets.Unread(accepted.(*net.TCPConn)) == 7 })
	time.Sleep(40 * time.Millisecond)
	buf := make([]byte, 100)
	if n, err := c.Read(buf); string(buf[:n]) != "in time" || err != nil {
		t.Errorf("read %q, %v", buf[:n], err)
	}
	_, _ = client.Write([]byte("late"))
	testkit.Await(t, "more bytes", func() bool { return sockets.Unread(accepted.(*net.TCPConn)) == 4 })
	c.setReadDeadline(true)
	if n, err := c.Read(buf); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("then read %q, %v, want a timeout", buf[:n], err)
	}
}
