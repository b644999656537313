// Package testkit provides helpers for the tests of several packages. It has servers on raw connections, a listener
// that fails on request, and waits with a time limit. Only tests link it.
package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// MaxWait is longer than the expected duration of any step of a test. Only a failing test waits that long.
const MaxWait = 30 * time.Second

// RawServer starts a TCP server and returns its address. The server calls serve for each connection in a separate
// goroutine. When the test ends, RawServer closes the connections and waits until the calls have returned.
func RawServer(t testing.TB, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var (
		mu         sync.Mutex
		conns      = make(map[net.Conn]bool)
		closed     bool
		goroutines sync.WaitGroup
	)
	t.Cleanup(func() {
		_ = ln.Close()
		mu.Lock()
		closed = true
		for conn := range conns {
			_ = conn.Close()
		}
		mu.Unlock()
		goroutines.Wait()
	})
	goroutines.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns[conn] = true
			if closed {
				_ = conn.Close()
			}
			mu.Unlock()
			goroutines.Go(func() {
				serve(conn, bufio.NewReader(conn))
				_ = conn.Close()
				mu.Lock()
				delete(conns, conn)
				mu.Unlock()
			})
		}
	})
	return ln.Addr().String()
}

// ReadFullRequest reads an HTTP request including its body, and reports whether it was complete and well-formed.
func ReadFullRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// HTTPServer starts an HTTP server with handler h, and returns the server's address. The server runs until the test
// ends.
func HTTPServer(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// Await calls ok until it returns true. After MaxWait the test fails with a message that contains what, the name of
// the awaited state.
func Await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(MaxWait); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// Receive waits for a value from the channel. After MaxWait the test fails with a message that contains what, the
// name of the value.
func Receive[T any](t testing.TB, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(MaxWait):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}
