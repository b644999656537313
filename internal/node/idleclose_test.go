package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cobaltward/certificates"
	"cobaltward/internal/frontend/secure"
	"cobaltward/internal/pki"
	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
)

const halfRequest = "GET / HTTP/1.1\r\n"

// acceptOneClient returns a listener with one connection, and the connection's two ends.
func acceptOneClient(t *testing.T) (*clientListener, net.Conn, *clientConn) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := newClientListener(tcp, 4)
	t.Cleanup(func() { _ = listener.Close() })
	client, conn := connectClient(t, listener)
	return listener, client, conn.(*clientConn)
}

// connectClient has a client connect, and returns the connection's two ends.
func connectClient(t *testing.T, listener *clientListener) (client, conn net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	if conn, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return client, conn
}

func writeString(t *testing.T, to io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		t.Fatal(err)
	}
}

// readSome reads once, and returns the error.
func readSome(from io.Reader) error {
	_, err := from.Read(make([]byte, 64))
	return err
}

// TestCloseIdle_RequestArrivesMeanwhile closes idle connections just before and after the first bytes of a request: a
// connection with unread bytes stays open, and bytes that arrive after the close are not read.
func TestCloseIdle_RequestArrivesMeanwhile(t *testing.T) {
	t.Run("before", func(t *testing.T) {
		listener, client, conn := acceptOneClient(t)
		writeString(t, client, halfRequest)
		testkit.Await(t, "the bytes", func() bool { return !sockets.Quiet(conn.TCPConn) })
		listener.mu.Lock()
		read := make(chan error, 1)
		go func() { read <- readSome(conn) }()
		if n := len(listener.halfCloseIdleLocked()); n != 0 {
			t.Errorf("%d connections closed, want none with a request", n)
		}
		listener.mu.Unlock()
		if err := testkit.Receive(t, "the read", read); err != nil {
			t.Errorf("the request is not read: %v", err)
		}
	})
	t.Run("after", func(t *testing.T) {
		listener, client, conn := acceptOneClient(t)
		listener.mu.Lock()
		conn.acceptedAt = conn.acceptedAt.Add(-firstRequestGrace)
		if n := len(listener.halfCloseIdleLocked()); n != 1 {
			t.Errorf("%d connections closed, want 1", n)
		}
		listener.mu.Unlock()
		writeString(t, client, halfRequest)
		if err := readSome(conn); !errors.Is(err, io.EOF) {
			t.Errorf("the request is read after the close: %v", err)
		}
		if listener.requestsDuringClose != 1 {
			t.Errorf("%d requests crossed the close, want 1", listener.requestsDuringClose)
		}
	})
}

// TestCloseIdle_ClientKeepsItsSideOpen has a connection become idle during the close, and a client that does not close
// its side: reading ends after the time for that, whatever deadline net/http sets.
func TestCloseIdle_ClientKeepsItsSideOpen(t *testing.T) {
	listener, client, conn := acceptOneClient(t)
	conn.onStateChange(http.StateActive)
	listener.closeIdle() // the request is still being answered
	conn.onStateChange(http.StateIdle)
	if err := conn.SetReadDeadline(time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	if err := readSome(client); !errors.Is(err, io.EOF) {
		t.Fatalf("the node's side is open: %v", err)
	}
	ended := make(chan error, 1)
	go func() { ended <- readSome(conn) }()
	var timeout net.Error
	if err := testkit.Receive(t, "the end of the read", ended); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("reading ends with %v, want a timeout", err)
	}
}

// TestEviction_SparesSilentHandshakeWhileOthersProceed fills a listener with handshakes in progress. Closing one that
// waits for its client would not make them faster, so none is closed.
func TestEviction_SparesSilentHandshakeWhileOthersProceed(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := newClientListener(tcp, 100)
	defer func() { _ = listener.Close() }()
	if listener.tlsLayer, err = secure.New(secure.Config{Keys: newListenerStore(t)}); err != nil {
		t.Fatal(err)
	}
	accept := func() *clientConn {
		_, conn := connectClient(t, listener)
		return conn.(*tlsClientConn).conn
	}
	silent := accept()
	silent.acceptedAt = silent.acceptedAt.Add(-time.Minute)
	for range 8 { // new ones count as in progress at first
		accept()
	}
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if silent.closed {
		t.Error("the silent client's connection was closed")
	}
	if listener.open != 9 {
		t.Errorf("%d connections, want 9", listener.open)
	}
}

// newListenerStore returns the store of a certificate for a listener.
func newListenerStore(t *testing.T) *certificates.Store {
	t.Helper()
	dir := t.TempDir()
	sources := certificates.Sources{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	pair := pki.Year("front").Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	for name, text := range map[string][]byte{sources.Cert: pki.PEM(pair.Cert), sources.Key: pair.KeyPEM()} {
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	store, err := certificates.Open(sources, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// TestDrain_SparesNewConnection closes idle connections while a client has just connected: its connection stays open
// for a moment, and its first request is read. A connection without a request is closed after that moment.
func TestDrain_SparesNewConnection(t *testing.T) {
	t.Run("with a request", func(t *testing.T) {
		listener, client, conn := acceptOneClient(t)
		listener.closeIdle()
		if conn.halfClosed {
			t.Error("closed at once")
		}
		writeString(t, client, halfRequest)
		if n, err := conn.Read(make([]byte, 64)); n == 0 || err != nil {
			t.Errorf("its request is not read: %d bytes, %v", n, err)
		}
	})
	t.Run("without a request", func(t *testing.T) {
		listener, client, _ := acceptOneClient(t)
		listener.closeIdle()
		if err := client.SetReadDeadline(time.Now().Add(testkit.Long)); err != nil {
			t.Fatal(err)
		}
		if err := readSome(client); !errors.Is(err, io.EOF) {
			t.Errorf("it is not closed: %v", err)
		}
		if open, busy := listener.connCounts(); open != 1 || busy != 0 {
			t.Errorf("%d connections, %d busy, want 1 and 0", open, busy)
		}
	})
	t.Run("drain cancelled", func(t *testing.T) {
		listener, _, conn := acceptOneClient(t)
		listener.closeIdle()
		listener.keepIdle()
		listener.recheckIdle()
		listener.mu.Lock()
		defer listener.mu.Unlock()
		if conn.halfClosed {
			t.Error("closed although the drain was cancelled")
		}
	})
}

// TestDrain_SparesPipelinedRequest closes idle connections while a second request was read behind the first: the
// connection is not idle until both are answered.
func TestDrain_SparesPipelinedRequest(t *testing.T) {
	listener, client, conn := acceptOneClient(t)
	writeString(t, client, "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n")
	for conn.framing.Heads() < 2 {
		if err := readSome(conn); err != nil {
			t.Fatal(err)
		}
	}
	listener.closeIdle()
	for i, wantBusy := range []int{1, 0} {
		conn.onStateChange(http.StateActive)
		conn.onStateChange(http.StateIdle)
		if _, busy := listener.connCounts(); busy != wantBusy || conn.halfClosed != (wantBusy == 0) {
			t.Errorf("after request %d: %d busy, closed: %v", i, busy, conn.halfClosed)
		}
	}
}
