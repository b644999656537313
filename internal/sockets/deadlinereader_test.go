package sockets

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (local, peer *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// send writes text at the peer's end. It waits until the whole text has arrived at the local end.
func send(t *testing.T, local, peer *net.TCPConn, text string) {
	t.Helper()
	before := Unread(local)
	if _, err := peer.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	for Unread(local) < before+len(text) {
		time.Sleep(time.Millisecond)
	}
}

// wantTimeout checks that a read returns a timeout and no bytes.
func wantTimeout(t *testing.T, reader *DeadlineReader) {
	t.Helper()
	if n, err := reader.Read(make([]byte, 10)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, error %v, want a timeout", n, err)
	}
}

// TestDeadlineReader_ReadsBytesReceivedInTime checks that bytes that arrived by the read deadline can be read after
// the deadline, even in several reads. Bytes that arrived later are not returned, because a peer must not extend the
// deadline by sending more.
func TestDeadlineReader_ReadsBytesReceivedInTime(t *testing.T) {
	local, peer := tcpPair(t)
	reader := NewDeadlineReader(local)
	deadline := time.Now().Add(time.Millisecond)
	if err := reader.SetReadDeadline(deadline); err != nil {
		t.Fatal(err)
	}
	send(t, local, peer, "in time")
	time.Sleep(time.Until(deadline) + 5*time.Millisecond)
	buf := make([]byte, 3)
	for i, want := range []string{"in ", "tim", "e"} {
		if n, err := reader.Read(buf); err != nil || string(buf[:n]) != want {
			t.Errorf("read %d: %q, error %v, want %q", i, buf[:n], err, want)
		}
		if i == 0 {
			send(t, local, peer, ", and later")
		}
		_ = reader.SetReadDeadline(deadline) // setting the same deadline again must change nothing
	}
	wantTimeout(t, reader)
	_ = reader.SetReadDeadline(time.Now().Add(time.Minute))
	if n, err := reader.Read(buf); err != nil || string(buf[:n]) != ", a" {
		t.Errorf("before the next deadline: %q, error %v, want the bytes that came late", buf[:n], err)
	}
}

// TestDeadlineReader_NothingReceivedInTime checks that a read at the deadline times out if no bytes arrived before
// the deadline, even if bytes arrive later.
func TestDeadlineReader_NothingReceivedInTime(t *testing.T) {
	local, peer := tcpPair(t)
	reader := NewDeadlineReader(local)
	_ = reader.SetReadDeadline(time.Now().Add(time.Millisecond))
	wantTimeout(t, reader)
	wantTimeout(t, reader)
	send(t, local, peer, "late")
	wantTimeout(t, reader)
}

// TestDeadlineReader_PastDeadlineInterrupts checks that a deadline long ago ends a read immediately, and leaves the
// bytes for the next read. net/http interrupts its background reads with such a deadline.
func TestDeadlineReader_PastDeadlineInterrupts(t *testing.T) {
	local, peer := tcpPair(t)
	reader := NewDeadlineReader(local)
	send(t, local, peer, "next")
	_ = reader.SetReadDeadline(time.Unix(1, 0))
	wantTimeout(t, reader)
	_ = reader.SetReadDeadline(time.Time{})
	buf := make([]byte, 10)
	if n, err := reader.Read(buf); err != nil || string(buf[:n]) != "next" {
		t.Errorf("read after the interrupted one: %q, error %v", buf[:n], err)
	}
}
