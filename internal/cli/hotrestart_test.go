package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// process is one of the node under test, which has the clients' socket as descriptor 3.
type process struct {
	cmd     *exec.Cmd
	console string
	logs    bytes.Buffer // read once it has ended
}

type upgrade struct {
	t      *testing.T
	dir    string // TMPDIR
	config string
	socket *os.File
}

// freeAddress is an address that was free just now.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (u *upgrade) start() *process {
	n := &process{cmd: exec.Command(os.Args[0]), console: freeAddress(u.t)}
	n.cmd.Env = append(os.Environ(), program+"=1", "ROUTER_CONFIG="+u.config, "ROUTER_CONSOLE="+n.console, "ROUTER_ACCEPT_FD=3", "TMPDIR="+u.dir)
	n.cmd.ExtraFiles = []*os.File{u.socket}
	n.cmd.Stderr = &n.logs
	if err := n.cmd.Start(); err != nil {
		u.t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); n.call(http.MethodGet, "/status") != http.StatusOK; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			n.kill()
			u.t.Errorf("the new process never said yes: %s", n.logs.String())
			break
		}
	}
	return n
}

// call makes one call to the console; 0 where nobody answers.
func (n *process) call(method, path string) int {
	r, _ := http.NewRequest(method, "http://"+n.console+path, nil)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (n *process) end(t *testing.T) {
	t.Helper()
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	stuck := time.AfterFunc(10*time.Second, func() { _ = n.cmd.Process.Signal(syscall.SIGQUIT) }) // it says where it is
	defer stuck.Stop()
	if err := n.cmd.Wait(); err != nil {
		t.Errorf("ended with %v: %s", err, n.logs.String())
	}
}

func (n *process) kill() {
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
}

func newUpgrade(t *testing.T, server string) (*upgrade, string) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // as the platform's: of the other kind, an accept that waits has no time-out
	ln, err := plain.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	u := &upgrade{t: t, dir: t.TempDir(), socket: socket}
	u.config = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(u.config, []byte(fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:9","seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},
		"known":{"revision":1,"complete":true,"members":[{"id":"s1","host_port":"%s","phase":"up"}]},
		"settings":{"position":0,"groupSize":1,"services":[{"name":"pay","deadline":400}]}}`, server)), 0o600); err != nil {
		t.Fatal(err)
	}
	return u, ln.Addr().String()
}

// ready asks as the front does.
func ready(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprint(c, "GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	line, _, _ := bufio.NewReader(c).ReadLine()
	return string(line) == "HTTP/1.1 200 OK"
}

// caller sends one unsafe request after the other, and keeps its connection. What meets the close of a connection that
// it had, before a byte of an answer, goes out once more, as the protocol has it.
type caller struct {
	addr string
	c    net.Conn
	in   *bufio.Reader

	served, refused, failed, crossed, nobody, lost *atomic.Int64
}

func (x *caller) send(id string) {
	for fresh := false; ; fresh = true {
		if x.c == nil {
			c, err := net.Dial("tcp", x.addr)
			if err != nil {
				x.nobody.Add(1)
				return
			}
			x.c, x.in, fresh = c, bufio.NewReader(c), true
		}
		_ = x.c.SetDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprintf(x.c, "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 400\r\nContent-Length: 1\r\n\r\nx", id)
		resp, err := http.ReadResponse(x.in, nil)
		if err != nil {
			x.c.Close()
			x.c = nil
			if fresh {
				x.lost.Add(1)
				return
			}
			x.crossed.Add(1)
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		switch {
		case err != nil:
			x.lost.Add(1)
		case resp.StatusCode == http.StatusOK:
			x.served.Add(1)
		case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
			x.refused.Add(1)
		default:
			x.failed.Add(1)
		}
		if resp.Close || err != nil {
			x.c.Close()
			x.c = nil
		}
		return
	}
}

// The process is replaced twenty times under load: every request gets its one answer, none runs twice, and none finds
// nobody; one that meets the close of an idle connection goes out once more.
func TestReplacedUnderLoad(t *testing.T) {
	var mu sync.Mutex
	ran := make(map[string]int)
	server := testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ran[r.Header.Get("X-Request-Id")]++
		mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	})
	u, addr := newUpgrade(t, server)
	now := u.start()
	var served, refused, failed, crossed, nobody, lost atomic.Int64
	var stop atomic.Bool
	var clients sync.WaitGroup
	for k := range 12 {
		clients.Go(func() {
			x := &caller{addr: addr, served: &served, refused: &refused, failed: &failed, crossed: &crossed, nobody: &nobody, lost: &lost}
			for i := 0; !stop.Load(); i++ {
				x.send(fmt.Sprintf("r%d-%d", k, i))
				if k%3 == 0 { // some leave their connections idle
					time.Sleep(time.Duration(100+37*k) * time.Millisecond)
				} else {
					time.Sleep(3 * time.Millisecond)
				}
			}
			if x.c != nil {
				x.c.Close()
			}
		})
	}
	for range 20 {
		if t.Failed() {
			break
		}
		next := u.start()
		now.end(t)
		now = next
		if !ready(addr) {
			t.Error("not ready behind a replacement")
		}
	}
	stop.Store(true)
	clients.Wait()
	now.end(t)
	twice := 0
	for _, n := range ran {
		if n > 1 {
			twice++
		}
	}
	t.Logf("%d served, %d refused, %d failed, %d met a close and went out again, %d found nobody, %d lost, %d ran twice",
		served.Load(), refused.Load(), failed.Load(), crossed.Load(), nobody.Load(), lost.Load(), twice)
	if lost.Load()+nobody.Load() > 0 || twice > 0 || served.Load() == 0 || int64(len(ran)) < served.Load() {
		t.Errorf("%d lost, %d found nobody, %d ran twice", lost.Load(), nobody.Load(), twice)
	}
	if left, _ := filepath.Glob(filepath.Join(u.dir, "*.alive")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// steady waits until readiness has been the same for longer than a process takes to hear of an order, whichever of them
// lets the asker in.
func steady(t *testing.T, addr string, want bool) {
	t.Helper()
	since := time.Now()
	testkit.Await(t, fmt.Sprint("readiness ", want), func() bool {
		if ready(addr) != want {
			since = time.Now()
		}
		return time.Since(since) > 500*time.Millisecond
	})
}

// An order of standby goes to both processes, whichever was told, and to the next one. A successor that dies before it
// serves, torn files and a predecessor that was killed do no harm.
func TestSuccessionGoneWrong(t *testing.T) {
	server := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	u, addr := newUpgrade(t, server)
	first := u.start()
	for _, name := range []string{"wayhold-order", "wayhold-knowledge", "wayhold-1-1.alive", "wayhold-1-1.report", "wayhold-2-2.report.77"} {
		if err := os.WriteFile(filepath.Join(u.dir, name), []byte(`{"version":1,"at":"2026`), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	second := u.start()
	if !ready(addr) {
		t.Error("torn files keep a node from serving")
	}
	if code := second.call(http.MethodPut, "/standby"); code != http.StatusOK {
		t.Fatalf("standby: %d", code)
	}
	// Both let clients in at the one socket: neither says yes.
	steady(t, addr, false)
	second.kill() // before the first was told to end
	third := u.start()
	for range 10 {
		if ready(addr) {
			t.Error("the successor of a node in standby says yes")
		}
	}
	if code := first.call(http.MethodPut, "/active"); code != http.StatusOK {
		t.Fatalf("active: %d", code)
	}
	steady(t, addr, true)
	first.kill()
	testkit.Await(t, "the one left to serve", func() bool { return ready(addr) }) // it may have looked for orders just before
	testkit.Await(t, "what the dead left to be removed", func() bool {
		left, _ := filepath.Glob(filepath.Join(u.dir, "*.alive"))
		return len(left) == 1
	})
	third.end(t)
	if n := strings.Count(second.logs.String(), "level=WARN"); n == 0 || n > 4 {
		t.Errorf("%d warnings of torn files: %s", n, second.logs.String())
	}
}

// What is wrong with the second address or the descriptor is said in one line that names it, before anybody is served.
func TestWrongAddresses(t *testing.T) {
	plain, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	u, _ := newUpgrade(t, "127.0.0.1:9")
	raw, err := os.ReadFile(u.config)
	if err != nil {
		t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(raw, &c); err != nil {
		t.Fatal(err)
	}
	c["listen"], c["console"] = "127.0.0.1:18", "127.0.0.1:18"
	same := filepath.Join(t.TempDir(), "same.json")
	if raw, err = json.Marshal(c); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(same, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		env  []string
		want string
	}{
		"console":             {[]string{"ROUTER_CONSOLE=here"}, `console: want host:port, got "here"`},
		"taken":               {[]string{"ROUTER_CONSOLE=" + taken.Addr().String(), "ROUTER_ACCEPT_FD=3"}, "console: listen tcp " + taken.Addr().String()},
		"the clients'":        {[]string{"ROUTER_CONFIG=" + same}, "console: 127.0.0.1:18 is the address of the clients, too"},
		"no number":           {[]string{"ROUTER_ACCEPT_FD=x"}, `ROUTER_ACCEPT_FD: want the number of a descriptor, got "x"`},
		"not open":            {[]string{"ROUTER_ACCEPT_FD=99"}, "ROUTER_ACCEPT_FD: descriptor 99 is not open"},
		"no socket":           {[]string{"ROUTER_ACCEPT_FD=4"}, "ROUTER_ACCEPT_FD: descriptor 4 is no listening socket"},
		"not a descriptor":    {[]string{"ROUTER_ACCEPT_FD=-1"}, "ROUTER_ACCEPT_FD: want the number"},
		"configuration's own": {[]string{"ROUTER_CONFIG=" + same, "ROUTER_ACCEPT_FD=3"}, "console: 127.0.0.1:18"},
	} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(append(os.Environ(), program+"=1", "ROUTER_CONFIG="+u.config, "TMPDIR="+u.dir), x.env...)
		cmd.ExtraFiles = []*os.File{u.socket, plain}
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), x.want) || strings.Count(strings.TrimSpace(string(out)), "\n") > 0 {
			t.Errorf("%s: %v: %s", name, err, out)
		}
	}
}
