package middleware_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/middleware"
)

// TestBody_ReadByEarlierHandler checks that a body is rejected if an earlier handler has read any of it. If the body
// were accepted, the router would forward a shorter body. A handler that replaces r.Body after reading it is accepted.
func TestBody_ReadByEarlierHandler(t *testing.T) {
	var served atomic.Int32
	frontend := middleware.New(newRouter(t, newEchoServer(t, &served)))
	for _, part := range []int64{3, 100} {
		url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, part)
			frontend.ServeHTTP(w, r)
		}))
		if status, _ := send(t, request(t, url, "POST", "pay", "r1", "the sum")); status != 400 {
			t.Errorf("body of which an earlier handler read up to %d bytes: status %d, want 400", part, status)
		}
	}
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(content))
		frontend.ServeHTTP(w, r)
	}))
	if status, body := send(t, request(t, url, "POST", "pay", "r1", "the sum")); status != 200 || served.Load() != 1 {
		t.Errorf("body replaced after reading: status %d %q, %d served, want 200 and 1", status, body, served.Load())
	}
}

// TestHostReadTimeout_BindsBodyOnly checks that the ReadTimeout of the host's server does not disconnect a client
// that waits longer for its answer.
func TestHostReadTimeout_BindsBodyOnly(t *testing.T) {
	addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(600 * time.Millisecond)
	})
	frontend := middleware.New(newRouter(t, addr), middleware.WithBodyTimeout(0))
	url := serve(t, frontend, func(s *httptest.Server) { s.Config.ReadTimeout = 300 * time.Millisecond })
	if status, _ := send(t, request(t, url, "POST", "pay", "r1", "sum")); status != 200 {
		t.Errorf("status %d, want 200", status)
	}
}

// TestRejection_WhileSendingIsNotReset checks that a client that is rejected while sending its body reads the answer
// and then EOF, not a connection reset. The client sends Connection: close.
func TestRejection_WhileSendingIsNotReset(t *testing.T) {
	var served atomic.Int32
	url := serve(t, middleware.New(newRouter(t, newEchoServer(t, &served))))
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	const size = 64<<10 + 1
	const head = "POST /api HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Request-Id: r1\r\nX-Class: pay\r\n" +
		"X-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n"
	if _, err := fmt.Fprintf(conn, head, size); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("status %d, want 413", resp.StatusCode)
	}
	time.Sleep(50 * time.Millisecond) // a server that stops reading has closed the connection by now
	for sent := 0; sent < size; sent += 1 << 10 {
		if _, err := conn.Write(make([]byte, min(1<<10, size-sent))); err != nil {
			t.Fatalf("write failed after %d bytes: %v", sent, err)
		}
	}
	if _, err := io.Copy(io.Discard, in); err != nil {
		t.Errorf("reading to EOF after the answer: %v", err)
	}
	if served.Load() != 0 {
		t.Error("the rejected request reached the server")
	}
}
