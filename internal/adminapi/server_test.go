package adminapi

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

// startServer starts a server with one path. The path echoes the body of a POST, and streams large events in response
// to a GET.
func startServer(t *testing.T, config Config) *Server {
	t.Helper()
	server, err := Listen(config, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	server.Handle(http.MethodPost, "/thing", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Name string }
		if ReadJSON(w, r, &body) {
			WriteJSON(w, http.StatusOK, body)
		}
	})
	server.Handle(http.MethodGet, "/thing", func(w http.ResponseWriter, r *http.Request) {
		server.StreamEvents(w, r, time.Millisecond, func() ([]Event, bool) {
			return []Event{{"x", strings.Repeat("y", 64<<10)}}, true
		})
	})
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// readAll reads and closes the body of a response.
func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		t.Error(err)
	}
	if err := response.Body.Close(); err != nil {
		t.Error(err)
	}
	return string(raw)
}

// TestServer_AnswersErrorsAsJSON checks that each response over a Unix socket has the right status and a JSON body.
// The requests are valid or invalid.
func TestServer_AnswersErrorsAsJSON(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "d.sock")
	startServer(t, Config{Socket: socket, Listen: "127.0.0.1:0", Token: "correct horse battery"})
	client, baseURL := NewClient(socket, "", nil)
	defer client.CloseIdleConnections()
	if info, err := os.Stat(socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v: want mode 0600", info.Mode(), err)
	}
	for name, test := range map[string]struct {
		method, path, body string
		status             int
		want               string // substring of the response's body
	}{
		"good":     {"POST", "/thing", `{"Name":"x"}`, 200, `"Name":"x"`},
		"no body":  {"POST", "/thing", "", 200, `"Name":""`},
		"method":   {"PUT", "/thing", "", 405, "allowed: POST, GET"},
		"path":     {"GET", "/other", "", 404, "paths begin with /v1/"},
		"not JSON": {"POST", "/thing", "{", 400, "request body"},
		"field":    {"POST", "/thing", `{"zzz":1}`, 400, "zzz"},
		"two":      {"POST", "/thing", `{}{}`, 400, "more than one"},
		"large":    {"POST", "/thing", `{"Name":"` + strings.Repeat("x", maxRequestBody) + `"}`, 400, "too large"},
	} {
		request, err := http.NewRequest(test.method, baseURL+test.path, strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		body := readAll(t, response)
		if response.StatusCode != test.status || !strings.Contains(body, test.want) ||
			response.Header.Get("Content-Type") != "application/json" {
			t.Errorf("%s: got status %d, body %s", name, response.StatusCode, body)
		}
	}
}

// TestServer_RequiresTokenOverTCP checks that the loopback listener accepts only the complete token.
func TestServer_RequiresTokenOverTCP(t *testing.T) {
	server := startServer(t, Config{Listen: "127.0.0.1:0", Token: "correct horse battery"})
	address := server.listeners[0].Addr().String()
	for token, want := range map[string]int{"correct horse battery": 200, "correct horse": 401, "": 401} {
		client, baseURL := NewClient(address, token, nil)
		response, err := client.Post(baseURL+"/thing", "", nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		client.CloseIdleConnections()
		if response.StatusCode != want {
			t.Errorf("token %q: status %d, want %d", token, response.StatusCode, want)
		}
	}
}

// TestListen_Errors checks that Listen returns an error for unusable addresses. Listen must not remove a file that is
// not a socket, or a socket on which another process listens. Listen replaces a socket without a listener.
func TestListen_Errors(t *testing.T) {
	dir := t.TempDir()
	file, stale, used := filepath.Join(dir, "file"), filepath.Join(dir, "stale"), filepath.Join(dir, "used")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("unix", stale)
	if err != nil {
		t.Fatal(err)
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	startServer(t, Config{Socket: used})
	for name, test := range map[string]struct {
		Config
		want string
	}{
		"a file":       {Config{Socket: file}, "is not a socket"},
		"another":      {Config{Socket: used}, "another process listens there"},
		"no directory": {Config{Socket: filepath.Join(dir, "none", "s")}, "no such file"},
		"not loopback": {Config{Listen: "0.0.0.0:0", Token: "x"}, "on loopback"},
		"no token":     {Config{Listen: "127.0.0.1:0"}, "want a token"},
	} {
		server, err := Listen(test.Config, discardLog())
		if err == nil {
			server.Close()
			t.Errorf("%s: Listen returned no error", name)
		} else if !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line that contains the expected text", name, err)
		}
	}
	startServer(t, Config{Socket: stale})
	if raw, err := os.ReadFile(file); err != nil || string(raw) != "x" {
		t.Error("Listen removed or changed the file at the socket's path")
	}
}

// TestStreamEvents_SlowReaders checks that clients that do not read their event streams block no other requests. The
// number of streams is limited. TestMain checks that no goroutine outlives the server.
func TestStreamEvents_SlowReaders(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "d.sock")
	server := startServer(t, Config{Socket: socket})
	for range maxEventStreams {
		conn, err := net.Dial("unix", socket)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, "GET /v1/thing HTTP/1.1\r\nHost: d\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		line, err := bufio.NewReaderSize(conn, 16).ReadString('\n')
		if err != nil || !strings.Contains(line, "200") {
			t.Fatalf("opening an event stream: status line %q, %v", line, err)
		}
	}
	client, baseURL := NewClient(socket, "", nil)
	defer client.CloseIdleConnections()
	response, err := client.Get(baseURL + "/thing")
	if err != nil {
		t.Fatal(err)
	}
	body := readAll(t, response)
	if response.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, "are open already") {
		t.Errorf("one stream too many: status %d, body %s", response.StatusCode, body)
	}
	response, err = client.Post(baseURL+"/thing", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("POST while event streams are open: status %d", response.StatusCode)
	}
	if len(server.streams) != maxEventStreams {
		t.Errorf("%d event streams are open, want the maximum", len(server.streams))
	}
}
