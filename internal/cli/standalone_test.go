package cli

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"cobaltward/internal/standalone"
	"cobaltward/internal/testkit"
)

// program has the test's own binary be the program.
const program = "WAYHOLD_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(program) != "" {
		os.Exit(Main(Extensions{}))
	}
	os.Exit(m.Run())
}

// buffer is what a process writes, to be read while it does.
type buffer struct {
	syncBuffer chan []byte
	all        bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.syncBuffer <- bytes.Clone(p)
	return len(p), nil
}

// runProgram starts the program until the test ends, and returns the address that it listens on.
func runProgram(t *testing.T, args ...string) (addr string, cmd *exec.Cmd) {
	t.Helper()
	cmd = exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), program+"=1", "ROUTER_CONFIG=")
	logs := &buffer{syncBuffer: make(chan []byte, 1000)}
	cmd.Stderr = logs
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("the node ended: %v", err)
		}
	})
	listening := regexp.MustCompile(`msg=listening .*address=(\S+)`)
	for addr == "" {
		logs.all.Write(testkit.Receive(t, "the node's log", logs.syncBuffer))
		if m := listening.FindSubmatch(logs.all.Bytes()); m != nil {
			addr = string(m[1])
		}
	}
	testkit.Await(t, "readiness", func() bool {
		resp, err := http.Get("http://" + addr + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return addr, cmd
}

// The newcomer's way: init, serve, one request through, with no other file. What a client says in the protocol's
// own headers is not believed; SIGHUP puts another table of routes and another list of servers in force.
func TestStandingAlone(t *testing.T) {
	t.Parallel()
	server := func(name string) string {
		return testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintf(w, "%s %s %s class=%s tenant=%s", name, r.Method, r.RequestURI, r.Header.Get("X-Class"), r.Header.Get("X-Tenant"))
		})
	}
	one, two := server("one"), server("two")
	path := filepath.Join(t.TempDir(), "wayhold.toml")
	init := exec.Command(os.Args[0], "init", path)
	init.Env = append(os.Environ(), program+"=1")
	if out, err := init.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	text, err := os.ReadFile(path)
	if err != nil || string(text) != standalone.Example {
		t.Fatalf("init wrote something else, %v", err)
	}
	put := func(changes ...string) {
		if err := os.WriteFile(path, []byte(strings.NewReplacer(changes...).Replace(standalone.Example)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	put("127.0.0.1:8080", "127.0.0.1:0", "127.0.0.1:9001", one, "127.0.0.1:9002", two)
	addr, cmd := runProgram(t, "serve", "--config", path)
	ask := func(method, target string, header ...string) (int, string) {
		t.Helper()
		req, err := http.NewRequest(method, "http://"+addr, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.URL.Opaque = target
		for i := 0; i+1 < len(header); i += 2 {
			req.Header.Set(header[i], header[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body)
	}
	for _, c := range []struct {
		method, target string
		header         []string
		status         int
		says           string
	}{
		{"GET", "/rooms?q=1", nil, 200, "GET /rooms?q=1 class= tenant="},
		{"POST", "/book", nil, 200, "POST /book"},
		{"GET", "/a%20b/~x", nil, 200, "GET /a%20b/~x"},
		{"PUT", "/book", nil, 404, "no route"},
		{"GET", "/rooms", []string{"X-Class", "write", "X-Tenant", "somebody", "X-Deadline-Ms", "0"}, 200, "GET /rooms"},
		{"GET", "/a/../b", nil, 400, "two ways"},
		{"GET", "/a//b", nil, 400, "two ways"},
		{"GET", "/a%2fb", nil, 400, "two ways"},
	} {
		if status, body := ask(c.method, c.target, c.header...); status != c.status || !strings.Contains(body, c.says) {
			t.Errorf("%s %s: %d %q, want %d %q", c.method, c.target, status, body, c.status, c.says)
		}
	}
	put("127.0.0.1:8080", "127.0.0.1:0", "127.0.0.1:9001", two, "[[server]]\naddress = \"127.0.0.1:9002\"\n", "", "[[route]]\nmethods = [\"POST\"]\nclass = \"write\"\n", "")
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	testkit.Await(t, "the new routes", func() bool {
		status, _ := ask("POST", "/book")
		return status == 404
	})
	testkit.Await(t, "the new server", func() bool {
		status, body := ask("GET", "/x")
		return status == 200 && strings.HasPrefix(body, "two ")
	})
}

// What is wrong with a configuration is told in one line with file, line and what is allowed.
func TestSiteErrors(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ old, new, says string }{
		"unknown key":    {`late_worth = 0.2`, `late_wroth = 0.2`, "class[0].late_wroth: unknown key; allowed are name, aim"},
		"no class":       {`class = "write"`, `class = "wirte"`, `route[1].class: unknown class "wirte"; known are read, write`},
		"method":         {`methods = ["POST"]`, `methods = ["GET"]`, "class write allows POST only"},
		"unreachable":    {`methods = ["POST"]`, `prefix = "/x"` + "\n" + `methods = ["GET"]` + "\nclass = \"read\"\n[[route]]\nmethods = [\"POST\"]", "route[1]: no request reaches it: all that it would take is taken by line 28"},
		"no servers":     {`address = "127.0.0.1:9001"`, ``, "server[0]: address: missing"},
		"server twice":   {`127.0.0.1:9002`, `127.0.0.1:9001`, `server[1]: duplicate server "127.0.0.1:9001"`},
		"no listener":    {"[[listen]]\naddress = \"127.0.0.1:8080\"", "", "is for a node that stands alone: name a listener"},
		"window":         {`repeat = "free"`, `repeat = "guarded"`, "class[0]: window: missing"},
		"aim":            {`aim = "300ms"`, `aim = "3s"`, "class[0].aim: want at most the deadline, 2s, got 3s"},
		"open to anyone": {"# Who may", "[identity]\n[[identity.layer]]\nby = \"header\"\nname = \"X-T\"\n# Who may", "nobody is trusted to set it"},
	} {
		text := strings.Replace(standalone.Example, c.old, c.new, 1)
		if text == standalone.Example {
			t.Errorf("%s: the change changes nothing", name)
			continue
		}
		path := filepath.Join(t.TempDir(), "x.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := standalone.Load(path)
		if err == nil || !strings.HasPrefix(err.Error(), path+":") || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v, want %q", name, err, c.says)
		}
	}
}

// Levels of service in the operator's own file: the ladder is printed as a table, set by hand over the door, and a
// ladder that makes no sense is refused with its line.
func TestLevels(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	path, sock := filepath.Join(dir, "w.toml"), filepath.Join(dir, "d.sock")
	text := strings.NewReplacer("127.0.0.1:8080", "127.0.0.1:0").Replace(standalone.Example) + `
[door]
socket = "` + sock + `"
[service]
guarded = ["write"]
[[level]]
name = "fewer reads"
enter = [{signal = "demand", bound = 1.1, for = "3s"}]
exit = [{signal = "demand", bound = 0.9, for = "10s"}]
measure = [{class = "read", shed = 1.0}]
`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	do := func(args ...string) string {
		cmd := exec.Command(os.Args[0], args...)
		cmd.Env = append(os.Environ(), program+"=1", "WAYHOLD_DOOR="+sock)
		out, _ := cmd.CombinedOutput()
		return string(out)
	}
	if out := do("check", path); !strings.Contains(out, "fewer reads") || !strings.Contains(out, "read shed 1") {
		t.Error(out)
	}
	addr, _ := runProgram(t, "serve", "--config", path)
	get := func() int {
		resp, err := http.Get("http://" + addr + "/x")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if out := do("ctl", "level"); !strings.Contains(out, "level 0, full") {
		t.Error(out)
	}
	if out := do("ctl", "level", "set", "1", "--reason", "a test"); !strings.Contains(out, "level 1, fewer reads: by hand") {
		t.Error(out)
	}
	if status := get(); status != http.StatusTooManyRequests {
		t.Errorf("a read at level 1: %d", status)
	}
	if out := do("ctl", "level", "set", "7"); !strings.Contains(out, "want a level from 0 to 1") {
		t.Error(out)
	}
	if out := do("ctl", "level", "set", "0"); !strings.Contains(out, "level 0") || get() == http.StatusTooManyRequests {
		t.Error(out)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(text, "bound = 0.9", "bound = 1.2", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if out := do("check", path); !strings.Contains(out, "level[0]: it is left below 1.2 of demand and entered above 1.1") || strings.Count(out, "\n") != 1 {
		t.Error(out)
	}
}
