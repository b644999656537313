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

// TestBody_ReadByEarlierHandler: a body that an earlier handler has read, in part or to its end, is not taken for a
// shorter one. A handler that puts it back may read it.
func TestBody_ReadByEarlierHandler(t *testing.T) {
	var served atomic.Int32
	frontend := middleware.New(newRouter(t, newEchoServer(t, &served)))
	for _, part := range []int64{3, 100} {
		url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, part)
			frontend.ServeHTTP(w, r)
		}))
		if status, _ := send(t, request(t, url, "POST", "pay", "r1", "the sum")); status != 400 {
			t.Errorf("after %d bytes: %d", part, status)
		}
	}
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(content))
		frontend.ServeHTTP(w, r)
	}))
	if status, body := send(t, request(t, url, "POST", "pay", "r1", "the sum")); status != 200 || served.Load() != 1 {
		t.Errorf("put back: %d %q, %d served", status, body, served.Load())
	}
}

// TestHostReadTimeout_BindsBodyOnly: the read timeout of the host's server does not cut off a client that waits for its
// answer.
func TestHostReadTimeout_BindsBodyOnly(t *testing.T) {
	addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(600 * time.Millisecond)
	})
	frontend := middleware.New(newRouter(t, addr), middleware.WithBodyTimeout(0))
	url := serve(t, frontend, func(s *httptest.Server) { s.Config.ReadTimeout = 300 * time.Millisecond })
	if status, _ := send(t, request(t, url, "POST", "pay", "r1", "sum")); status != 200 {
		t.Errorf("%d", status)
	}
}

// TestRejection_WhileSendingIsNotReset: a client that asks for the close itself, and is still sending when it is
// rejected, reads the answer and an orderly end, not a reset.
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
		t.Fatalf("status %d", resp.StatusCode)
	}
	time.Sleep(50 * time.Millisecond) // a server that closes without reading has done so by now
	for sent := 0; sent < size; sent += 1 << 10 {
		if _, err := conn.Write(make([]byte, min(1<<10, size-sent))); err != nil {
			t.Fatalf("after %d bytes: %v", sent, err)
		}
	}
	if _, err := io.Copy(io.Discard, in); err != nil {
		t.Errorf("the end: %v", err)
	}
	if served.Load() != 0 {
		t.Error("it reached the server")
	}
}
