// Package testkit holds what tests of several packages need: servers at the level of connections, and
// waiting that ends. It is linked by tests only.
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

// Long is more than any step of a test takes; nothing waits for it unless the test fails.
const Long = 30 * time.Second

// RawServer runs a server of one's own at the level of the connection, and returns its address. What
// it serves ends with the test.
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
		ln.Close()
		mu.Lock()
		closed = true
		for c := range conns {
			c.Close()
		}
		mu.Unlock()
		ended.Wait()
	})
	ended.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns[c] = true
			if closed {
				c.Close()
			}
			mu.Unlock()
			ended.Go(func() {
				serve(c, bufio.NewReader(c))
				c.Close()
				mu.Lock()
				delete(conns, c)
				mu.Unlock()
			})
		}
	})
	return ln.Addr().String()
}

// Swallow reads a request to its last byte.
func Swallow(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// HTTPServer runs h, and returns its address.
func HTTPServer(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// Await waits until ok.
func Await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Long); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// Receive waits for a value.
func Receive[T any](t testing.TB, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(Long):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}
