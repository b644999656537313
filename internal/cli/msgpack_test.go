package cli

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"cobaltward/emulator/model"
	"cobaltward/emulator/servermodel"
	"cobaltward/emulator/serverprotocol"
	"cobaltward/internal/testkit"
)

// A daemon with the table [msgpack] serves callers on its Unix socket, over a socket file that a dead process
// left behind, from app servers that speak the protocol; HTTP goes on beside it, and SIGTERM ends both.
func TestServesMessagePack(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := servermodel.Start(model.Config{Cores: 1, Slots: 4, Queue: 4}, nil)
	f := serverprotocol.ServeMsgpack(ln, app, func(string, string) float64 { return 0.001 })
	defer f.Close()
	defer app.Stop()
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	socket := filepath.Join(dir, "calls.sock")
	stale, err := net.ListenUnix("unix", &net.UnixAddr{Name: socket, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	stale.SetUnlinkOnClose(false)
	stale.Close()
	t.Setenv("ROUTER_CONFIG", write("config.json", fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},
		"known":{"revision":1,"complete":true,"members":[{"id":"s1","host_port":%q,"flavor":"mp","phase":"up"}]},
		"settings":{"position":0,"groupSize":1,"services":[{"name":"read","deadline":600,"repeat":"free"}]}}`, f.Addr)))
	own := write("own.toml", fmt.Sprintf("[msgpack]\nlisten = %q\ncalls = 8\nservers = [\"mp\"]\n[drain]\nleave = \"10ms\"\n", socket))
	ended := make(chan error, 1)
	log := &logs{}
	go func() {
		c := rootCommand(Extensions{})
		c.SetArgs([]string{"serve", "--config", own})
		c.SetErr(log)
		ended <- c.Execute()
	}()
	call := func(args ...string) (string, error) {
		return run(t, append([]string{"call", socket, "--id"}, args...)...)
	}
	testkit.Await(t, "a call", func() bool { out, err := call("r1", "--class", "read"); return err == nil && out == "done r1\n" })
	if out, err := call("r2", "--class", "read", "--tenant", "t", "--target", "/x"); err != nil || out != "done r2\n" {
		t.Errorf("%q, %v", out, err)
	}
	var status exitStatusError
	if _, err := call("r2", "--class", "read"); !errors.As(err, &status) || status != errMayHaveRun || !strings.Contains(err.Error(), "conflict") {
		t.Errorf("an id that was used: %v", err)
	}
	if _, err := call("r3", "--class", "none"); err == nil || errors.As(err, new(exitStatusError)) || !strings.Contains(err.Error(), "class: unknown") {
		t.Errorf("an unknown class: %v", err)
	}
	if _, err := run(t, "serve", "--config", own); err == nil || !strings.Contains(err.Error(), "another process listens there") {
		t.Errorf("a second daemon on the socket: %v", err)
	}
	req, err := http.NewRequest("GET", "http://"+log.address()+"/api", nil)
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Request-Id": "h1", "X-Class": "read", "X-Tenant": "t", "X-Deadline-Ms": "500"} {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("over HTTP: %v, %v", resp, err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := testkit.Receive(t, "the end", ended); err != nil {
		t.Error(err)
	}
	if _, err := call("r4", "--class", "read"); !errors.As(err, &status) || status != errNotRun {
		t.Errorf("a call to nobody: %v", err)
	}
}
