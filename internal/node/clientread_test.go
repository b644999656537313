package node

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
)

// TestRead_DeadlinePassesBeforeRead checks that bytes that arrived before the read deadline are read after it. The
// read begins late if the process is paused. The cases are an idle connection, an open request and TLS.
func TestRead_DeadlinePassesBeforeRead(t *testing.T) {
	const text = "GET / HTTP/1.1\r\n"
	for _, test := range []struct {
		name string
		open func(t *testing.T) (client, conn net.Conn, tcp *net.TCPConn)
	}{
		{"idle", func(t *testing.T) (client, conn net.Conn, tcp *net.TCPConn) {
			_, client, accepted := newClientPair(t)
			return client, accepted, accepted.TCPConn
		}},
		{"within a request", func(t *testing.T) (client, conn net.Conn, tcp *net.TCPConn) {
			_, client, accepted := newClientPair(t)
			_, _ = client.Write([]byte("GE"))
			if n, err := accepted.Read(make([]byte, 2)); n != 2 || err != nil {
				t.Fatal(n, err)
			}
			return client, accepted, accepted.TCPConn
		}},
		{"TLS", openTLSClient},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, conn, tcp := test.open(t)
			deadline := time.Now().Add(20 * time.Millisecond)
			_ = conn.SetReadDeadline(deadline)
			_, _ = client.Write([]byte(text))
			testkit.Await(t, "the bytes to arrive", func() bool { return sockets.Unread(tcp) >= len(text) })
			time.Sleep(time.Until(deadline) + time.Millisecond)
			buf := make([]byte, 100)
			if n, err := conn.Read(buf); string(buf[:n]) != text || err != nil {
				t.Errorf("read %q, %v", buf[:n], err)
			}
			if n, err := conn.Read(buf); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("then read %q, %v, want a timeout", buf[:n], err)
			}
		})
	}
}

// openTLSClient returns both ends of a TLS connection after the handshake, and the TCP connection beneath conn.
func openTLSClient(t *testing.T) (client, conn net.Conn, tcp *net.TCPConn) {
	t.Helper()
	plain, conn := connectClient(t, newTLSTestListener(t, 4))
	secured := tls.Client(plain, &tls.Config{InsecureSkipVerify: true})
	handshake := make(chan error, 1)
	go func() { handshake <- secured.Handshake() }()
	_ = conn.SetReadDeadline(time.Now().Add(testkit.MaxWait))
	go func() { _, _ = secured.Write([]byte("x")) }() // the write waits for the handshake
	if n, err := conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	if err := testkit.Receive(t, "the handshake", handshake); err != nil {
		t.Fatal(err)
	}
	return secured, conn, conn.(*tlsClientConn).conn.TCPConn
}

// TestUnanswered_CountsByCause checks that incomplete heads are counted by cause: a timeout, or a close by the
// client.
func TestUnanswered_CountsByCause(t *testing.T) {
	listener, client, conn := newClientPair(t)
	_, _ = client.Write([]byte("GET / HT"))
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	buf := make([]byte, 100)
	for err := error(nil); err == nil; {
		_, err = conn.Read(buf)
	}
	if got := listener.unansweredCounts(); got != (unansweredCounts{timeouts: 1}) {
		t.Errorf("after a timeout: %+v", got)
	}
	_ = conn.SetReadDeadline(time.Time{})
	_ = client.Close()
	if _, err := conn.Read(buf); err == nil {
		t.Error("the read succeeded after the client closed its connection")
	}
	if got := listener.unansweredCounts(); got != (unansweredCounts{timeouts: 1, clientCloses: 1}) {
		t.Errorf("after a close: %+v", got)
	}
}
