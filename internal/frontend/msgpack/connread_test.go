package msgpack

import (
	"errors"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
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

// TestWaitingSince_CountsClientsOwnTime: a client whose call has just come complete has lost no time, though the accept
// queue is old; one that may send byte by byte, or call after call, counts as old as the queue.
func TestWaitingSince_CountsClientsOwnTime(t *testing.T) {
	const queueAge = 300 * time.Millisecond
	call := msgpackrpc.AppendCall(nil, 1, &msgpackrpc.Call{ID: "r1", Class: "read", Timeout: time.Minute})
	for _, test := range []struct {
		name    string
		sent    []byte
		wantOld bool
	}{
		{"just connected", nil, false},
		{"a call", call, false},
		{"part of a call", call[:len(call)-1], true},
		{"two calls", append(slices.Clone(call), call...), true},
	} {
		t.Run(test.name, func(t *testing.T) {
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
			_, _ = client.Write(test.sent)
			tcp := accepted.(*net.TCPConn)
			testkit.Await(t, "the bytes", func() bool { return sockets.Unread(tcp) == len(test.sent) })
			earliest := time.Now().Add(-queueAge)
			age := time.Since(newConn(New(nil, Config{}), accepted, earliest).waitingSince(earliest))
			if isOld := age >= queueAge; isOld != test.wantOld {
				t.Errorf("waits since %v ago, want old: %v", age, test.wantOld)
			}
		})
	}
}
