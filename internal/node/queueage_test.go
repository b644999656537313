package node

import (
	"io"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
)

// TestQueuedSince_CountsClientsOwnTime checks which clients count as old as an accept queue that is never empty. A
// client that has just connected, or whose complete request has just arrived, has not waited yet. A client that may
// be sending byte by byte counts as old as the queue, because it must not delay the clients behind it.
func TestQueuedSince_CountsClientsOwnTime(t *testing.T) {
	const (
		queueAge   = 300 * time.Millisecond
		resolution = 30 * time.Millisecond // resolution of the kernel's timestamps
		request    = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
	)
	clientHello := "\x16\x03\x01\x00\xc8" + strings.Repeat("h", 200)
	for _, test := range []struct {
		name, sent string
		connected  bool // whether the client connects just before the accept
		wantOld    bool
		tls        bool
	}{
		{name: "complete request", sent: request},
		{name: "just connected", connected: true},
		{name: "connected long ago", wantOld: true},
		{name: "part of a head", sent: request[:10], wantOld: true},
		{name: "part of a body", sent: request[:len(request)-1], wantOld: true},
		{name: "part of a next request", sent: request + "G", wantOld: true},
		{name: "TLS, ClientHello", tls: true, sent: clientHello},
		{name: "TLS, part of a ClientHello", tls: true, sent: clientHello[:20], wantOld: true},
		{name: "TLS, more than a ClientHello", tls: true, sent: clientHello + "x", wantOld: true},
		{name: "TLS, connected long ago", tls: true, wantOld: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			newListener := newTestListener
			if test.tls {
				newListener = newTLSTestListener
			}
			listener := newListener(t, 4)
			dialClient(t, listener.Addr().String()) // the queue is not empty from here on
			client := dialClient(t, listener.Addr().String())
			if test.connected {
				if _, err := listener.Accept(); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(queueAge)
			if test.connected {
				client = dialClient(t, listener.Addr().String())
			}
			_, _ = io.WriteString(client, test.sent)
			if _, err := listener.Accept(); err != nil {
				t.Fatal(err)
			}
			conn := acceptClientConn(t, listener)
			if test.sent != "" {
				testkit.Await(t, "the bytes to arrive", func() bool { return !sockets.IsIdle(conn.TCPConn) })
			}
			listener.mu.Lock()
			age := time.Since(listener.queuedSinceLocked(conn))
			listener.mu.Unlock()
			if isOld := age > queueAge-resolution; isOld != test.wantOld {
				t.Errorf("queued for %v, want old: %v", age, test.wantOld)
			}
		})
	}
}
