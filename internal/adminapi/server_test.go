package adminapi

import (
	"bufio"
	"fmt"
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

var quiet = slog.New(slog.DiscardHandler)

func open(t *testing.T, c Config) *Server {
	t.Helper()
	d, err := Listen(c, quiet)
	if err != nil {
		t.Fatal(err)
	}
	d.Handle(http.MethodPost, "/thing", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Name string }
		if ReadJSON(w, r, &body) {
			WriteJSON(w, http.StatusOK, body)
		}
	})
	d.Handle(http.MethodGet, "/thing", func(w http.ResponseWriter, r *http.Request) {
		d.StreamEvents(w, r, time.Millisecond, func() ([]Event, bool) { return []Event{{"x", strings.Repeat("y", 64<<10)}}, true })
	})
	d.Start()
	t.Cleanup(d.Close)
	return d
}

// What a door can't do is told in JSON, with a status that says whose fault it is.
func TestErrors(t *testing.T) {
	at := filepath.Join(t.TempDir(), "d.sock")
	open(t, Config{Socket: at, Listen: "127.0.0.1:0", Token: "correct horse battery"})
	c, base := NewClient(at, "", nil)
	defer c.CloseIdleConnections()
	if info, err := os.Stat(at); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v: want mode 0600", info.Mode(), err)
	}
	for name, q := range map[string]struct {
		method, path, body string
		status             int
		says               string
	}{
		"good":     {"POST", "/thing", `{"Name":"x"}`, 200, `"Name":"x"`},
		"no body":  {"POST", "/thing", "", 200, `"Name":""`},
		"method":   {"PUT", "/thing", "", 405, "there is POST, GET"},
		"path":     {"GET", "/other", "", 404, "paths begin with /v1/"},
		"not JSON": {"POST", "/thing", "{", 400, "the body"},
		"field":    {"POST", "/thing", `{"zzz":1}`, 400, "zzz"},
		"two":      {"POST", "/thing", `{}{}`, 400, "more than one"},
		"large":    {"POST", "/thing", `{"Name":"` + strings.Repeat("x", maxBody) + `"}`, 400, "too large"},
	} {
		req, _ := http.NewRequest(q.method, base+q.path, strings.NewReader(q.body))
		resp, err := c.Do(req)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		raw, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != q.status || !strings.Contains(string(raw), q.says) || resp.Header.Get("Content-Type") != "application/json" {
			t.Errorf("%s: %d %s", name, resp.StatusCode, raw)
		}
	}
}

// Over TCP a door wants its token, whole.
func TestToken(t *testing.T) {
	d := open(t, Config{Listen: "127.0.0.1:0", Token: "correct horse battery"})
	at := d.listeners[0].Addr().String()
	for token, want := range map[string]int{"correct horse battery": 200, "correct horse": 401, "": 401} {
		c, base := NewClient(at, token, nil)
		resp, err := c.Post(base+"/thing", "", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		c.CloseIdleConnections()
		if resp.StatusCode != want {
			t.Errorf("%q: %d, want %d", token, resp.StatusCode, want)
		}
	}
}

// What is in the way of a door is named, and what others use is left alone.
func TestInTheWay(t *testing.T) {
	dir := t.TempDir()
	file, stale, used := filepath.Join(dir, "file"), filepath.Join(dir, "stale"), filepath.Join(dir, "used")
	if err := os.WriteFile(file, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("unix", stale)
	if err != nil {
		t.Fatal(err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	l.Close()
	open(t, Config{Socket: used})
	for name, c := range map[string]struct {
		Config
		says string
	}{
		"a file":       {Config{Socket: file}, "is no socket"},
		"another":      {Config{Socket: used}, "another process listens there"},
		"no directory": {Config{Socket: filepath.Join(dir, "none", "s")}, "no such file"},
		"not loopback": {Config{Listen: "0.0.0.0:0", Token: "x"}, "on loopback"},
		"no token":     {Config{Listen: "127.0.0.1:0"}, "want a token"},
	} {
		d, err := Listen(c.Config, quiet)
		if err == nil {
			d.Close()
			t.Errorf("%s: opened", name)
		} else if !strings.Contains(err.Error(), c.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	open(t, Config{Socket: stale}) // nobody listened there any more
	if raw, err := os.ReadFile(file); err != nil || string(raw) != "x" {
		t.Error("the file that was in the way is gone")
	}
}

// A watcher that reads nothing holds nobody up, too many are told so, and a close ends all.
func TestWatchers(t *testing.T) {
	at := filepath.Join(t.TempDir(), "d.sock")
	d := open(t, Config{Socket: at})
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range mostWatchers {
		c, err := net.Dial("unix", at)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		fmt.Fprintf(c, "GET /v1/thing HTTP/1.1\r\nHost: d\r\n\r\n")
		if line, err := bufio.NewReaderSize(c, 16).ReadString('\n'); err != nil || !strings.Contains(line, "200") {
			t.Fatalf("%q, %v", line, err)
		}
	}
	c, base := NewClient(at, "", nil)
	defer c.CloseIdleConnections()
	resp, err := c.Get(base + "/thing")
	if err != nil {
		t.Fatal(err)
	}
	raw, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(raw), "watch already") {
		t.Errorf("%d %s", resp.StatusCode, raw)
	}
	if resp, err = c.Post(base+"/thing", "", nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("held up by watchers: %v", err)
	} else {
		resp.Body.Close()
	}
	if len(d.watchers) != mostWatchers {
		t.Errorf("%d watch", len(d.watchers))
	}
}
