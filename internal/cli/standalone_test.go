package cli

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"cobaltward/internal/standalone"
	"cobaltward/internal/testkit"
)

// startNamedServer starts an app server whose responses contain the server's name and the request. It returns the
// server's address.
func startNamedServer(t *testing.T, name string) string {
	t.Helper()
	return testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		class, tenant := r.Header.Get("X-Class"), r.Header.Get("X-Tenant")
		_, _ = fmt.Fprintf(w, "%s %s %s class=%s tenant=%s", name, r.Method, r.RequestURI, class, tenant)
	})
}

// sendTarget sends a request whose target the client does not normalize. header holds pairs of names and values.
func sendTarget(t *testing.T, address, method, target string, header ...string) (status int, body string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.URL.Opaque = target
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	status, body, err = do(request)
	if err != nil {
		t.Fatal(err)
	}
	return status, body
}

// TestServe_Standalone checks that a node that an operator sets up with init and starts with serve answers requests,
// without another file. The node ignores routing headers from clients, such as X-Class. SIGHUP applies changed routes
// and a changed server list.
func TestServe_Standalone(t *testing.T) {
	t.Parallel()
	one, two := startNamedServer(t, "one"), startNamedServer(t, "two")
	path := filepath.Join(t.TempDir(), "wayhold.toml")
	if out, err := programCommand(nil, "init", path).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	text, err := os.ReadFile(path)
	if err != nil || string(text) != standalone.Example {
		t.Fatalf("init did not write the example configuration, error %v", err)
	}
	write := func(changes ...string) {
		t.Helper()
		text := strings.NewReplacer(changes...).Replace(standalone.Example)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("127.0.0.1:8080", "127.0.0.1:0", "127.0.0.1:9001", one, "127.0.0.1:9002", two)
	address, program := startProgram(t, "serve", "--config", path)
	checkAnswers(t, address)
	const secondServer = "[[server]]\naddress = \"127.0.0.1:9002\"\n"
	const postRoute = "[[route]]\nmethods = [\"POST\"]\nclass = \"write\"\n"
	write("127.0.0.1:8080", "127.0.0.1:0", "127.0.0.1:9001", two, secondServer, "", postRoute, "")
	if err := program.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	testkit.Await(t, "the new routes", func() bool {
		status, _ := sendTarget(t, address, "POST", "/book")
		return status == 404
	})
	testkit.Await(t, "the new server", func() bool {
		status, body := sendTarget(t, address, "GET", "/x")
		return status == 200 && strings.HasPrefix(body, "two ")
	})
}

// checkAnswers checks the responses of a node that has the routes of the example configuration.
func checkAnswers(t *testing.T, address string) {
	t.Helper()
	forged := []string{"X-Class", "write", "X-Tenant", "somebody", "X-Deadline-Ms", "0"}
	for _, test := range []struct {
		method, target string
		header         []string
		status         int
		want           string // text that the body must contain
	}{
		{"GET", "/rooms?q=1", nil, 200, "GET /rooms?q=1 class= tenant="},
		{"POST", "/book", nil, 200, "POST /book"},
		{"GET", "/a%20b/~x", nil, 200, "GET /a%20b/~x"},
		{"PUT", "/book", nil, 404, "no route"},
		{"GET", "/rooms", forged, 200, "GET /rooms"},
		{"GET", "/a/../b", nil, 400, "two ways"},
		{"GET", "/a//b", nil, 400, "two ways"},
		{"GET", "/a%2fb", nil, 400, "two ways"},
	} {
		status, body := sendTarget(t, address, test.method, test.target, test.header...)
		if status != test.status || !strings.Contains(body, test.want) {
			t.Errorf("%s %s: status %d, body %q, want %d, %q", test.method, test.target, status, body, test.status, test.want)
		}
	}
}

// TestLoad_StandaloneErrors checks that an error is one line with the file, the line and the key. Each case changes
// one place of the example configuration.
func TestLoad_StandaloneErrors(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ old, replacement, want string }{
		"unknown key": {
			`late_worth = 0.2`, `late_wroth = 0.2`,
			"class[0].late_wroth: unknown key; allowed are name, aim",
		},
		"no class": {
			`class = "write"`, `class = "wirte"`,
			`route[1].class: unknown class "wirte"; known are read, write`,
		},
		"method": {`methods = ["POST"]`, `methods = ["GET"]`, "class write allows POST only"},
		"unreachable": {
			`methods = ["POST"]`,
			"prefix = \"/x\"\nmethods = [\"GET\"]\nclass = \"read\"\n[[route]]\nmethods = [\"POST\"]",
			"route[1]: unreachable: all its requests match the route of line 28",
		},
		"no servers":   {`address = "127.0.0.1:9001"`, ``, "server[0]: address: missing"},
		"server twice": {`127.0.0.1:9002`, `127.0.0.1:9001`, `server[1]: duplicate server "127.0.0.1:9001"`},
		"no listener": {
			"[[listen]]\naddress = \"127.0.0.1:8080\"", "",
			"is for a node that stands alone: name a listener",
		},
		"window": {`repeat = "free"`, `repeat = "guarded"`, "class[0]: window: missing"},
		"aim":    {`aim = "300ms"`, `aim = "3s"`, "class[0].aim: want at most the deadline, 2s, got 3s"},
		"open to anyone": {
			"# Who may", "[identity]\n[[identity.layer]]\nby = \"header\"\nname = \"X-T\"\n# Who may",
			"no trusted proxies, so any client could claim",
		},
	} {
		text := strings.Replace(standalone.Example, test.old, test.replacement, 1)
		if text == standalone.Example {
			t.Errorf("%s: the example does not have the text to replace", name)
			continue
		}
		path := writeFile(t, t.TempDir(), "x.toml", text)
		_, err := standalone.Load(path)
		if err == nil || !strings.HasPrefix(err.Error(), path+":") || strings.Contains(err.Error(), "\n") ||
			!strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got error %v, want %q", name, err, test.want)
		}
	}
}

// TestLevels checks that levels of reduced service can be set in the operator's configuration file. check prints the
// levels, and ctl sets them. A level whose exit threshold is above its enter threshold is rejected with an error of
// one line.
func TestLevels(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	socket := filepath.Join(dir, "d.sock")
	text := strings.NewReplacer("127.0.0.1:8080", "127.0.0.1:0").Replace(standalone.Example) + `
[door]
socket = "` + socket + `"
[service]
guarded = ["write"]
[[level]]
name = "fewer reads"
enter = [{signal = "demand", bound = 1.1, for = "3s"}]
exit = [{signal = "demand", bound = 0.9, for = "10s"}]
measure = [{class = "read", shed = 1.0}]
`
	path := writeFile(t, dir, "w.toml", text)
	execute := func(args ...string) string {
		out, _ := programCommand([]string{"WAYHOLD_DOOR=" + socket}, args...).CombinedOutput() // some commands fail
		return string(out)
	}
	if out := execute("check", path); !strings.Contains(out, "fewer reads") || !strings.Contains(out, "read shed 1") {
		t.Error(out)
	}
	address, _ := startProgram(t, "serve", "--config", path)
	read := func() int {
		t.Helper()
		status, err := get("http://" + address + "/x")
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	if out := execute("ctl", "level"); !strings.Contains(out, "level 0, full") {
		t.Error(out)
	}
	out := execute("ctl", "level", "set", "1", "--reason", "a test")
	if !strings.Contains(out, "level 1, fewer reads: by hand") {
		t.Error(out)
	}
	if status := read(); status != http.StatusTooManyRequests {
		t.Errorf("a read at level 1: got status %d, want 429", status)
	}
	if out := execute("ctl", "level", "set", "7"); !strings.Contains(out, "want a level from 0 to 1") {
		t.Error(out)
	}
	out = execute("ctl", "level", "set", "0")
	if !strings.Contains(out, "level 0") || read() == http.StatusTooManyRequests {
		t.Error(out)
	}
	writeFile(t, dir, "w.toml", strings.Replace(text, "bound = 0.9", "bound = 1.2", 1))
	out = execute("check", path)
	const want = "level[0]: it is left below 1.2 of demand and entered above 1.1"
	if !strings.Contains(out, want) || strings.Count(out, "\n") != 1 {
		t.Error(out)
	}
}
