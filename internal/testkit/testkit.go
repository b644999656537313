// Package testkit has what tests of several packages need: servers at the level of connections, a listener that
// fails, and waits with a limit. Only tests link it.
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

// MaxWait is longer than any step of a test takes. Only a failing test waits that long.
const MaxWait = 30 * time.Second

// RawServer calls serve for each connection, in a goroutine of its own, and returns the address. It closes the
// connections when the test ends, and waits for the calls.
func RawServer(t testing.TB, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var (
		mu     sync.Mutex
		conns  = make(map[net.Conn]bool)
		closed bool
		ended  sync.WaitGroup
	)
	t.Cleanup(func() {
		_ = ln.Close()
		mu.Lock()
		closed = true
		for conn := range conns {
			_ = conn.Close()
		}
		mu.Unlock()
		ended.Wait()
	})
	ended.Go(func() {
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
			ended.Go(func() {
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

// ReadFullRequest reads a request and its body to the end, and reports whether both were readable.
func ReadFullRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// HTTPServer serves by the handler until the test ends, and returns the address.
func HTTPServer(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// Await polls until ok returns true. The test fails after MaxWait; what names the awaited state.
func Await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(MaxWait); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// Receive waits for a value. The test fails after MaxWait; what names the value.
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
