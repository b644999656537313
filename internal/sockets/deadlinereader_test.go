package sockets

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (own, peer *net.TCPConn) {
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

// send writes to the peer's end, and waits until the bytes have arrived.
func send(t *testing.T, own, peer *net.TCPConn, text string) {
	t.Helper()
	before := Unread(own)
	if _, err := peer.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	for Unread(own) < before+len(text) {
		time.Sleep(time.Millisecond)
	}
}

// wantTimeout checks that a read returns no bytes and a timeout.
func wantTimeout(t *testing.T, reader *DeadlineReader) {
	t.Helper()
	if n, err := reader.Read(make([]byte, 10)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, %v, want a timeout", n, err)
	}
}

// Bytes that came by the read deadline are read after it, in pieces too, and bytes that came later are not: a peer that
// sends on does not extend the deadline.
func TestDeadlineReader_ServesWhatCameInTime(t *testing.T) {
	own, peer := tcpPair(t)
	reader := NewDeadlineReader(own)
	deadline := time.Now().Add(time.Millisecond)
	if err := reader.SetReadDeadline(deadline); err != nil {
		t.Fatal(err)
	}
	send(t, own, peer, "in time")
	time.Sleep(time.Until(deadline) + 5*time.Millisecond)
	buf := make([]byte, 3)
	for i, want := range []string{"in ", "tim", "e"} {
		if n, err := reader.Read(buf); err != nil || string(buf[:n]) != want {
			t.Errorf("read %d: %q, %v, want %q", i, buf[:n], err, want)
		}
		if i == 0 {
			send(t, own, peer, ", and later")
		}
		_ = reader.SetReadDeadline(deadline) // as timedBody sets it, once more
	}
	wantTimeout(t, reader)
	_ = reader.SetReadDeadline(time.Now().Add(time.Minute))
	if n, err := reader.Read(buf); err != nil || string(buf[:n]) != ", a" {
		t.Errorf("within the next deadline: %q, %v", buf[:n], err)
	}
}

// Without bytes the deadline is a timeout, and the end of the stream is its end.
func TestDeadlineReader_NothingCame(t *testing.T) {
	own, peer := tcpPair(t)
	reader := NewDeadlineReader(own)
	_ = reader.SetReadDeadline(time.Now().Add(time.Millisecond))
	wantTimeout(t, reader)
	wantTimeout(t, reader)
	send(t, own, peer, "late")
	wantTimeout(t, reader)
}

// A time long ago ends a read at once, as net/http ends its reads in the background: the bytes are left for the next.
func TestDeadlineReader_Interrupt(t *testing.T) {
	own, peer := tcpPair(t)
	reader := NewDeadlineReader(own)
	send(t, own, peer, "next")
	_ = reader.SetReadDeadline(time.Unix(1, 0))
	wantTimeout(t, reader)
	_ = reader.SetReadDeadline(time.Time{})
	buf := make([]byte, 10)
	if n, err := reader.Read(buf); err != nil || string(buf[:n]) != "next" {
		t.Errorf("%q, %v", buf[:n], err)
	}
}
