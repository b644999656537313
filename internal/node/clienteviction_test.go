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

// rejectionStart begins each answer of an evicted connection.
const rejectionStart = "HTTP/1.1 503"

// TestEviction_SparesNewConnection has a client connect to a node that is full. Its connection sends a request a moment
// later, and is not evicted for the next one while an older connection becomes idle.
func TestEviction_SparesNewConnection(t *testing.T) {
	listener, _, older := newClientPair(t)
	listener.setMaxConns(2)
	listener.queueTimeout = func() time.Duration { return testkit.MaxWait }
	client, conn := connectClient(t, listener)
	noteRequest(older) // it is answered below
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

// TestEviction_SendsRejection has more clients pause within a head than the node has connections. Each client whose
// connection is evicted reads a rejection with Retry-After first: the rest of its request may meet the close.
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
			_ = conn.SetReadDeadline(time.Now().Add(time.Second)) // before the timeout of a head
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

// TestEviction_RequestArrivesMeanwhile has bytes of a request be read just as their connection is evicted, and the
// reader close it on that: the rejection is sent ahead of either close.
func TestEviction_RequestArrivesMeanwhile(t *testing.T) {
	listener, client, conn := newClientPair(t)
	for range 300 {
		readerEnded := make(chan struct{})
		go func() {
			defer close(readerEnded)
			_, _ = conn.Read(make([]byte, 64)) // as net/http does
			_ = conn.Close()
		}()
		listener.mu.Lock()
		_, _ = io.WriteString(client, "GET / HT")
		time.Sleep(200 * time.Microsecond) // lets the reader come to wait for the mutex, as it mostly does
		listener.rejectEvictedLocked(conn, true)
		listener.mu.Unlock()
		expectRejection(t, client)
		<-readerEnded
		_ = client.Close()
		next, accepted := connectClient(t, listener)
		client, conn = next, accepted.(*clientConn)
	}
}

// TestEviction_RequestIsNotHandedOn evicts a connection just before or just after its request is handed on: a client
// that was sent a rejection may send its request again, so that this one must not run.
func TestEviction_RequestIsNotHandedOn(t *testing.T) {
	for _, handedOnFirst := range []bool{false, true} {
		listener, _, conn := newClientPair(t)
		ctx := withClientConn(t.Context(), conn)
		noteRequest(conn)
		stallRequest(conn)
		if handedOnFirst && mustReject(ctx) {
			t.Error("a request that there is a slot for is rejected")
		}
		evicted := evictStalled(listener)
		if evicted == handedOnFirst {
			t.Errorf("handed on first: %v, and evicted: %v", handedOnFirst, evicted)
		}
		if evicted && !mustReject(ctx) {
			t.Error("a request is handed on whose client was sent a rejection")
		}
	}
}

// TestEviction_RequestIsBeingRejected evicts an overflow connection whose request is to be rejected, before that
// answer is written.
func TestEviction_RequestIsBeingRejected(t *testing.T) {
	listener, client, conn := newClientPair(t)
	noteRequest(conn)
	listener.mu.Lock()
	conn.overflow, listener.maxConns = true, 0
	listener.mu.Unlock()
	if !mustReject(withClientConn(t.Context(), conn)) {
		t.Fatal("a request that there is no slot for is handed on")
	}
	stallRequest(conn)
	if !evictStalled(listener) {
		t.Fatal("the connection is not evicted")
	}
	expectRejection(t, client)
}

// noteRequest notes that bytes of a request have come.
func noteRequest(conn *clientConn) {
	conn.listener.mu.Lock()
	defer conn.listener.mu.Unlock()
	conn.recordRequestBytesLocked()
}

// stallRequest has the last bytes of the connection's request have come long ago.
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

// expectRejection reads the start of an answer, and requires it to be complete.
func expectRejection(t *testing.T, client net.Conn) {
	t.Helper()
	_ = client.SetReadDeadline(time.Now().Add(testkit.MaxWait))
	answer := make([]byte, len(rejectionStart))
	if n, err := io.ReadFull(client, answer); err != nil || string(answer) != rejectionStart {
		t.Fatalf("got %q and %v, want a rejection", answer[:n], err)
	}
}
