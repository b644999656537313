package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// rejectionStart is the start of the response to an evicted connection.
const rejectionStart = "HTTP/1.1 503"

// TestEviction_SparesNewConnection checks that a new connection is not evicted if its first request arrives within
// firstRequestGrace. A client connects to a full node and sends its request a moment later. A second client connects
// between the connect and the request. The second client must get the slot of an older connection, which becomes
// idle.
func TestEviction_SparesNewConnection(t *testing.T) {
	listener, _, older := newClientPair(t)
	listener.setMaxConns(2)
	listener.queueTimeout = func() time.Duration { return testkit.MaxWait }
	client, conn := connectClient(t, listener)
	recordRequestStart(older) // the request ends below
	dialClient(t, listener.Addr().String())
	time.AfterFunc(firstRequestGrace/4, func() { // well before conn may be evicted
		older.onStateChange(http.StateActive)
		older.onStateChange(http.StateIdle)
	})
	if _, err := listener.Accept(); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(client, "GET / HTTP/1.1\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(testkit.MaxWait))
	if n, err := conn.Read(make([]byte, 64)); n == 0 {
		t.Errorf("the new connection was closed: %v", err)
	}
}

// TestEviction_SendsRejection checks that a client with an evicted connection reads a rejection with Retry-After
// before the close. More clients than the node has connections send only a part of a request head. Such a client may
// still be sending the rest of its request.
func TestEviction_SendsRejection(t *testing.T) {
	const clients = 2 * minDescriptors
	_, addr := runWithHoldingServer(t, minDescriptors, func(l net.Listener) net.Listener { return l })
	var readers sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]int)
	for range clients {
		conn := dialClient(t, addr)
		_, _ = io.WriteString(conn, "GET /api HT")
		readers.Go(func() {
			_ = conn.SetReadDeadline(time.Now().Add(time.Second)) // shorter than the timeout for a head
			answer, err := io.ReadAll(conn)
			summary, _, _ := strings.Cut(string(answer), "\r\n")
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded) && len(answer) == 0:
				summary = "none yet"
			case !strings.Contains(string(answer), "\r\nRetry-After: 1\r\n"):
				summary += " without Retry-After"
			}
			mu.Lock()
			defer mu.Unlock()
			answers[summary]++
		})
	}
	readers.Wait()
	rejected := answers["HTTP/1.1 503 Service Unavailable"]
	if rejected == 0 || rejected+answers["none yet"] != clients {
		t.Errorf("answers %v, want some rejections and no connection closed without one", answers)
	}
}

// TestEviction_RequestArrivesMeanwhile checks that a rejection is written before the close if bytes of a request are
// read while their connection is being evicted. The reader closes the connection as soon as it detects the eviction.
func TestEviction_RequestArrivesMeanwhile(t *testing.T) {
	listener, client, conn := newClientPair(t)
	for range 300 {
		readerEnded := make(chan struct{})
		go func() {
			defer close(readerEnded)
			// Like net/http, read and then close the connection.
			_, _ = conn.Read(make([]byte, 64))
			_ = conn.Close()
		}()
		listener.mu.Lock()
		_, _ = io.WriteString(client, "GET / HT")
		time.Sleep(200 * time.Microsecond) // usually enough for the reader to block on the mutex
		listener.rejectEvictedLocked(conn, true)
		listener.mu.Unlock()
		expectRejection(t, client)
		<-readerEnded
		_ = client.Close()
		next, accepted := connectClient(t, listener)
		client, conn = next, accepted.(*clientConn)
	}
}

// TestEviction_RequestIsNotHandedOn checks that a request is passed to the router or its connection is evicted, but
// never both. The test tries to evict the connection before and after mustReject decides. A client that got a
// rejection may retry its request, so the first request must not run.
func TestEviction_RequestIsNotHandedOn(t *testing.T) {
	for _, handedOnFirst := range []bool{false, true} {
		listener, _, conn := newClientPair(t)
		ctx := withClientConn(t.Context(), conn)
		recordRequestStart(conn)
		stallRequest(conn)
		if handedOnFirst && mustReject(ctx) {
			t.Error("a request on a connection with a slot is rejected")
		}
		evicted := evictStalled(listener)
		if evicted == handedOnFirst {
			t.Errorf("handed on first: %v, evicted: %v", handedOnFirst, evicted)
		}
		if evicted && !mustReject(ctx) {
			t.Error("a request is handed on although its client was sent a rejection")
		}
	}
}

// TestEviction_RequestIsBeingRejected checks that a client reads a rejection even if its overflow connection is
// evicted late. The eviction comes after the decision to reject the request, and before the response is written.
func TestEviction_RequestIsBeingRejected(t *testing.T) {
	listener, client, conn := newClientPair(t)
	recordRequestStart(conn)
	listener.mu.Lock()
	conn.overflow, listener.maxConns = true, 0
	listener.mu.Unlock()
	if !mustReject(withClientConn(t.Context(), conn)) {
		t.Fatal("a request on a connection without a slot is handed on")
	}
	stallRequest(conn)
	if !evictStalled(listener) {
		t.Fatal("the connection is not evicted")
	}
	expectRejection(t, client)
}

// TestEviction_EndsUnreadUpload guards against evicted connections that pile up: net/http keeps a connection with a
// long unread body for half a second after the handler, and evicted connections do not count as open. The client reads
// the rejection before the close.
func TestEviction_EndsUnreadUpload(t *testing.T) {
	const uploads, netHTTPDelay = 5, 500 * time.Millisecond
	listener := newTestListener(t, 4)
	reading, closed := make(chan *clientConn, uploads), make(chan time.Time, uploads)
	server := &http.Server{
		ConnContext: withClientConn,
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				closed <- time.Now()
			}
		},
		Handler: abortEvicted(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			reading <- r.Context().Value(clientConnKey{}).(*clientConn)
			_, _ = io.Copy(io.Discard, r.Body)
		})),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	fastest := testkit.MaxWait
	for range uploads {
		client := dialClient(t, listener.Addr().String())
		_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\nx")
		conn := testkit.Receive(t, "the request", reading)
		stallRequest(conn)
		if !evictStalled(listener) {
			t.Fatal("the connection is not evicted")
		}
		evictedAt := time.Now()
		fastest = min(fastest, testkit.Receive(t, "the end of the connection", closed).Sub(evictedAt))
		expectRejection(t, client)
	}
	if fastest >= netHTTPDelay {
		t.Errorf("the fastest of %d evicted connections was closed %v after the eviction", uploads, fastest)
	}
}

// recordRequestStart records that bytes of a request have arrived on the connection.
func recordRequestStart(conn *clientConn) {
	conn.listener.mu.Lock()
	defer conn.listener.mu.Unlock()
	conn.recordRequestBytesLocked()
}

// stallRequest backdates the last bytes of a request so that the connection counts as stalled.
func stallRequest(conn *clientConn) {
	conn.listener.mu.Lock()
	defer conn.listener.mu.Unlock()
	conn.lastPartialAt = time.Now().Add(-2 * stalledRequestAge)
}

func evictStalled(listener *clientListener) bool {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	return listener.evictStalledLocked()
}

// expectRejection reads the start of a response. It fails the test unless the response is a rejection.
func expectRejection(t *testing.T, client net.Conn) {
	t.Helper()
	_ = client.SetReadDeadline(time.Now().Add(testkit.MaxWait))
	answer := make([]byte, len(rejectionStart))
	if n, err := io.ReadFull(client, answer); err != nil || string(answer) != rejectionStart {
		t.Fatalf("got %q and %v, want a rejection", answer[:n], err)
	}
}
