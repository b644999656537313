package main

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// clientIdleTime is shorter than idleTimeout, and longer than the usual time limit for a request head.
const clientIdleTime = 3500 * time.Millisecond

// TestRun_ServesLateFirstRequest checks that the first request on a connection is served if the client sends it late,
// but within the idle timeout.
func TestRun_ServesLateFirstRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, ln, slog.New(slog.DiscardHandler)) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(clientIdleTime)
	_ = conn.SetDeadline(time.Now().Add(testkit.MaxWait))
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer to the late first request: %v", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", resp.StatusCode)
	}
	_ = conn.Close() // otherwise the shutdown waits for this connection
	stop()
	if err := testkit.Receive(t, "run to return", ended); err != nil {
		t.Error(err)
	}
}
