package fleetcli

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"cobaltward/internal/standalone"
	"cobaltward/internal/testkit"
)

// TestServeOn_SurvivesAcceptErrors checks that a server of the fleet keeps accepting connections after every error
// that Linux documents for accept.
func TestServeOn_SurvivesAcceptErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &testkit.FailingListener{Listener: inner}
	cfg := &settings{Fleet: &standalone.Fleet{Name: "a"}, token: "t", log: slog.New(slog.DiscardHandler)}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	stop := serveOn(t.Context(), listener, cfg, handler)
	t.Cleanup(stop)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for _, errno := range testkit.AcceptErrors {
		listener.FailNext(errno, 5)
		request, err := http.NewRequest(http.MethodGet, "http://"+inner.Addr().String(), nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer t")
		response, err := client.Do(request)
		if err != nil {
			t.Fatalf("after accept failed with %v: request error %v", errno, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusNoContent || listener.Pending() != 0 {
			t.Fatalf("%v: got status %s, and %d of the accept errors did not occur", errno, response.Status, listener.Pending())
		}
	}
}
