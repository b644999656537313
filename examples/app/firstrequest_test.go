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

// clientRest is less than idleTimeout, and more than servers usually give a head.
const clientRest = 3500 * time.Millisecond

// A client connects, and rests before its first request as it may before the next one: the request is served.
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
	time.Sleep(clientRest)
	_ = conn.SetDeadline(time.Now().Add(testkit.MaxWait))
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	_ = conn.Close() // the drain does not wait for it
	stop()
	if err := testkit.Receive(t, "the end", ended); err != nil {
		t.Error(err)
	}
}
