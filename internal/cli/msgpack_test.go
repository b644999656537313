package cli

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"cobaltward/emulator/model"
	"cobaltward/emulator/servermodel"
	"cobaltward/emulator/serverprotocol"
	"cobaltward/internal/testkit"
)

// startMsgpackServer starts an emulated app server for MessagePack-RPC, and returns the server's address.
func startMsgpackServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := servermodel.Start(model.Config{Cores: 1, Slots: 4, Queue: 4}, nil)
	server := serverprotocol.ServeMsgpack(listener, app, func(string, string) float64 { return 0.001 })
	t.Cleanup(server.Close)
	t.Cleanup(app.Stop)
	return server.Addr
}

// leaveStaleSocket leaves a Unix socket file without a listener at path, as a killed process does.
func leaveStaleSocket(t *testing.T, path string) {
	t.Helper()
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	listener.SetUnlinkOnClose(false)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestServe_MessagePack checks that a node with the table [msgpack] replaces a stale Unix socket and serves calls on
// the new socket. The node forwards calls to app servers by MessagePack-RPC, and also serves HTTP. SIGTERM stops
// both.
func TestServe_MessagePack(t *testing.T) {
	server, dir := startMsgpackServer(t), t.TempDir()
	socket := filepath.Join(dir, "calls.sock")
	leaveStaleSocket(t, socket)
	t.Setenv("ROUTER_CONFIG", writeFile(t, dir, "config.json", fmt.Sprintf(
		`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},
		"known":{"revision":1,"complete":true,"members":[{"id":"s1","host_port":%q,"flavor":"mp","phase":"up"}]},
		"settings":{"position":0,"groupSize":1,"services":[{"name":"read","deadline":600,"repeat":"free"}]}}`, server)))
	own := writeFile(t, dir, "own.toml", fmt.Sprintf(
		"[msgpack]\nlisten = %q\ncalls = 8\nservers = [\"mp\"]\n[drain]\nleave = \"10ms\"\n", socket))
	ended, logs := startInProcess("serve", "--config", own)
	call := func(args ...string) (string, error) {
		return run(t, append([]string{"call", socket, "--id"}, args...)...)
	}
	testkit.Await(t, "a call to be served", func() bool {
		out, err := call("r1", "--class", "read")
		return err == nil && out == "done r1\n"
	})
	checkCalls(t, call)
	_, err := run(t, "serve", "--config", own)
	if err == nil || !strings.Contains(err.Error(), "another process listens there") {
		t.Errorf("a second daemon on the same socket: got error %v", err)
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+logs.address()+"/api", nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{
		"X-Request-Id": "h1", "X-Class": "read", "X-Tenant": "t", "X-Deadline-Ms": "500",
	} {
		request.Header.Set(name, value)
	}
	if status, _, err := do(request); err != nil || status != http.StatusOK {
		t.Errorf("a request over HTTP: status %v, error %v", status, err)
	}
	signalSelf(t, syscall.SIGTERM)
	if err := testkit.Receive(t, "the end of the program", ended); err != nil {
		t.Error(err)
	}
	var status exitStatusError
	if _, err := call("r4", "--class", "read"); !errors.As(err, &status) || status != errNotRun {
		t.Errorf("a call after the end of the program: got error %v", err)
	}
}

// checkCalls checks the results of a valid call, a call with a repeated ID, and a call with an unknown class.
func checkCalls(t *testing.T, call func(args ...string) (string, error)) {
	t.Helper()
	out, err := call("r2", "--class", "read", "--tenant", "t", "--target", "/x")
	if err != nil || out != "done r2\n" {
		t.Errorf("a valid call: output %q, error %v", out, err)
	}
	var status exitStatusError
	_, err = call("r2", "--class", "read")
	if !errors.As(err, &status) || status != errMayHaveRun || !strings.Contains(err.Error(), "conflict") {
		t.Errorf("a call with a repeated ID: got error %v", err)
	}
	_, err = call("r3", "--class", "none")
	if err == nil || errors.As(err, new(exitStatusError)) || !strings.Contains(err.Error(), "class: unknown") {
		t.Errorf("a call with an unknown class: got error %v", err)
	}
}
