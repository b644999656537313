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

// TestRead_BytesReceivedBeforeDeadline checks that a read after its deadline returns the bytes that arrived before
// the deadline, and no later bytes. A read starts after its deadline if the process was paused.
func TestRead_BytesReceivedBeforeDeadline(t *testing.T) {
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
		t.Errorf("first read: got %q, %v, want the bytes received in time", buf[:n], err)
	}
	_, _ = client.Write([]byte("late"))
	testkit.Await(t, "more bytes", func() bool { return sockets.Unread(accepted.(*net.TCPConn)) == 4 })
	c.setReadDeadline(true)
	if n, err := c.Read(buf); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("second read: got %q, %v, want a timeout", buf[:n], err)
	}
}

// TestWaitingSince_ExcludesTimeUntilCallArrived checks when the age of the accept queue counts as waiting time of a
// client. The age does not count if nothing or exactly one complete call has arrived, because the client may have
// just connected. The age counts if part of a call or several calls have arrived.
func TestWaitingSince_ExcludesTimeUntilCallArrived(t *testing.T) {
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
				t.Errorf("the client has been waiting for %v, want the age of the accept queue: %v", age, test.wantOld)
			}
		})
	}
}
