package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
)

// TestCloseIdle_RequestArrivesMeanwhile checks that a connection stays open if its request arrives while a drain
// closes idle connections. The listener reads bytes and records the request in one step under the mutex. The bytes
// are therefore still in the socket when the drain checks the socket.
func TestCloseIdle_RequestArrivesMeanwhile(t *testing.T) {
	listener, client, conn := newClientPair(t)
	sendRequestLine(t, client)
	testkit.Await(t, "the bytes to arrive", func() bool { return !sockets.IsIdle(conn.TCPConn) })
	listener.mu.Lock()
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 64))
		read <- err
	}()
	if n := len(listener.halfCloseIdleLocked()); n != 0 {
		t.Errorf("%d connections closed despite an unread request", n)
	}
	listener.mu.Unlock()
	if err := testkit.Receive(t, "the read", read); err != nil {
		t.Errorf("the request is not read: %v", err)
	}
}

// TestCloseIdle_RequestArrivesAfterwards checks that a request that arrives after a drain has closed its idle
// connection is counted and not served.
func TestCloseIdle_RequestArrivesAfterwards(t *testing.T) {
	listener, client, conn := newClientPair(t)
	listener.mu.Lock()
	conn.openedAt = conn.openedAt.Add(-drainFirstRequestGrace)
	if n := len(listener.halfCloseIdleLocked()); n != 1 {
		t.Errorf("%d connections closed, want 1", n)
	}
	listener.mu.Unlock()
	sendRequestLine(t, client)
	if _, err := conn.Read(make([]byte, 64)); !errors.Is(err, io.EOF) {
		t.Errorf("the request is read after the close: %v", err)
	}
	if listener.requestsDuringClose != 1 {
		t.Errorf("%d requests counted during the close, want 1", listener.requestsDuringClose)
	}
}

// TestCloseIdle_ClientKeepsItsSideOpen checks that a connection that becomes idle during a drain ends after
// closeHandshakeTimeout, even if the client does not close its side. The read deadline that net/http sets for the
// next request must not matter.
func TestCloseIdle_ClientKeepsItsSideOpen(t *testing.T) {
	listener, client, conn := newClientPair(t)
	conn.onStateChange(http.StateActive)
	listener.closeIdle() // the request is still unanswered
	conn.onStateChange(http.StateIdle)
	_ = conn.SetReadDeadline(time.Now().Add(time.Hour))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("the node's side is open: %v", err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}()
	netErr := net.Error(nil)
	if !errors.As(testkit.Receive(t, "the end of the wait", ended), &netErr) || !netErr.Timeout() {
		t.Error("the read did not end with a timeout")
	}
}

// TestCloseIdle_SparesNewConnection checks that a drain does not close a new connection whose first request arrives
// shortly after the connect. The drain begins just after a client has connected.
func TestCloseIdle_SparesNewConnection(t *testing.T) {
	t.Run("which sends its first request", func(t *testing.T) {
		listener, client, conn := newClientPair(t)
		listener.closeIdle()
		if conn.halfClosed {
			t.Error("closed before drainFirstRequestGrace was over")
		}
		sendRequestLine(t, client)
		if n, err := conn.Read(make([]byte, 64)); n == 0 || err != nil {
			t.Errorf("its request is not read: %d bytes, %v", n, err)
		}
	})
	t.Run("which sends nothing", func(t *testing.T) {
		listener, client, _ := newClientPair(t)
		listener.closeIdle()
		_ = client.SetReadDeadline(time.Now().Add(testkit.MaxWait))
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("not closed after drainFirstRequestGrace: %v", err)
		}
		if open, busy := listener.connCounts(); open != 1 || busy != 0 {
			t.Errorf("%d open connections, %d busy", open, busy)
		}
	})
	t.Run("until the drain is cancelled", func(t *testing.T) {
		listener, _, conn := newClientPair(t)
		listener.closeIdle()
		listener.cancelCloseIdle()
		listener.recheckIdle()
		listener.mu.Lock()
		defer listener.mu.Unlock()
		if conn.halfClosed {
			t.Error("closed, though the drain was cancelled")
		}
	})
}

// TestCloseIdle_PipelinedRequest checks that a drain does not close a connection with a pipelined request. Two
// requests are read at once, so the connection is not idle after the first response.
func TestCloseIdle_PipelinedRequest(t *testing.T) {
	listener, client, conn := newClientPair(t)
	const request = "GET / HTTP/1.1\r\n\r\n"
	if _, err := io.WriteString(client, request+request); err != nil {
		t.Fatal(err)
	}
	for conn.framing.Heads() < 2 {
		if _, err := conn.Read(make([]byte, 64)); err != nil {
			t.Fatal(err)
		}
	}
	listener.closeIdle()
	for i, wantBusy := range []int{1, 0} {
		conn.onStateChange(http.StateActive)
		conn.onStateChange(http.StateIdle)
		if _, busy := listener.connCounts(); busy != wantBusy || conn.halfClosed != (wantBusy == 0) {
			t.Errorf("after request %d: %d busy, half closed: %v", i, busy, conn.halfClosed)
		}
	}
}

// TestDrainAcceptQueue_AcceptsBeyondBound checks that a full listener that closes accepts a client in its accept
// queue beyond the limit. The request of that client must not be rejected for lack of a slot.
func TestDrainAcceptQueue_AcceptsBeyondBound(t *testing.T) {
	listener, _, busy := newClientPair(t)
	listener.setMaxConns(1)
	recordRequestStart(busy)
	dialClient(t, listener.Addr().String())
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		listener.drainAcceptQueue(t.Context())
	}()
	testkit.Await(t, "the listener to close", listener.isClosed)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if mustReject(withClientConn(t.Context(), conn)) {
		t.Error("its requests are rejected for lack of a slot")
	}
	if _, err := listener.Accept(); err == nil {
		t.Error("another connection is accepted")
	}
	<-drained
}

// TestDrainAcceptQueue_AcceptLoopIsLate checks that clients in the accept queue are not reset if Accept is called
// late. The listener closes long before the next call of Accept.
func TestDrainAcceptQueue_AcceptLoopIsLate(t *testing.T) {
	const queued = 3
	listener := newTestListener(t, 4)
	for range queued {
		dialClient(t, listener.Addr().String())
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		listener.drainAcceptQueue(t.Context())
	}()
	testkit.Await(t, "the listener to close", listener.isClosed)
	time.Sleep(10 * acceptQueueDrainTimeout) // the accept loop does not run
	for i := range queued {
		if _, err := listener.Accept(); err != nil {
			t.Fatalf("client %d is not accepted: %v", i, err)
		}
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accepting from the empty queue: got error %v", err)
	}
	<-drained
}

func sendRequestLine(t *testing.T, client net.Conn) {
	t.Helper()
	if _, err := io.WriteString(client, "GET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
}

// TestCloseIdle_PartOfNextHead checks that a drain does not close a connection on which the start of the next head
// has arrived with a request. After the first response the connection is not idle. The rest of the next head must
// arrive within the head timeout.
func TestCloseIdle_PartOfNextHead(t *testing.T) {
	listener, client, conn := newClientPair(t)
	listener.headTimeout = 50 * ms
	const request = "GET / HTTP/1.1\r\n\r\n"
	if _, err := io.WriteString(client, request+request[:len(request)/2]); err != nil {
		t.Fatal(err)
	}
	for !conn.framing.HasPartialHead() || conn.framing.Heads() < 1 {
		if _, err := conn.Read(make([]byte, 64)); err != nil {
			t.Fatal(err)
		}
	}
	listener.closeIdle()
	conn.onStateChange(http.StateActive)
	conn.onStateChange(http.StateIdle)
	if _, busy := listener.connCounts(); busy != 1 || conn.halfClosed {
		t.Errorf("%d busy, half closed: %v", busy, conn.halfClosed)
	}
	if _, err := conn.Read(make([]byte, 64)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the read of the rest of the head ended with %v", err)
	}
	if got := listener.unansweredCounts(); got != (unansweredCounts{timeouts: 1}) {
		t.Errorf("unanswered counts %+v", got)
	}
}
