package main

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"cobaltward/internal/testkit"
)

// TestRun_ServesPagesAndBookings checks that the example serves its own pages and booking requests. The example shuts
// down without an error.
func TestRun_ServesPagesAndBookings(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, ln, slog.New(slog.DiscardHandler)) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	get := func(path string, headers ...string) (int, string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ln.Addr().String()+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		for i := 0; i < len(headers); i += 2 {
			req.Header.Set(headers[i], headers[i+1])
		}
		resp, err := client.Do(req)
		if err != nil {
			return 0, err.Error()
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return 0, err.Error()
		}
		return resp.StatusCode, string(body)
	}
	testkit.Await(t, "readiness", func() bool { status, _ := get("/health/ready"); return status == 200 })
	if status, body := get("/"); status != 200 || body != "Welcome. Today: two rooms are free\n" {
		t.Errorf("page of the application: status %d %q", status, body)
	}
	status, body := get("/api/rooms", "X-Request-Id", "1", "X-Class", "hladanie", "X-Deadline-Ms", "2000")
	if status != 200 || body != "two rooms are free\n" {
		t.Errorf("booking request: status %d %q", status, body)
	}
	stop()
	if err := testkit.Receive(t, "run to return", ended); err != nil {
		t.Error(err)
	}
}
