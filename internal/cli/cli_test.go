package cli

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"

	"cobaltward/internal/nodeconfig"
	"cobaltward/internal/testkit"
)

// agent is a discovery that has no servers to tell of, and passes on each query.
func agent(t *testing.T) (addr string, queries chan string) {
	queries = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		if r.URL.Query().Has("index") {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, `{"revision":3,"complete":true,"members":[]}`)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), queries
}

// logs keeps what a program logs, and tells the address that it listens on.
type logs struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logs) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := regexp.MustCompile(`msg=listening.* address=(\S+)`).FindStringSubmatch(l.text.String()); m != nil {
		return m[1]
	}
	return ""
}

// SIGHUP moves discovery to what the file names then, also where ROUTER_DISCOVERY said otherwise at
// the start; a file that can't be read changes nothing; SIGTERM still ends the program in order.
func TestReload(t *testing.T) {
	first, atFirst := agent(t)
	second, atSecond := agent(t)
	third, atThird := agent(t)
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
			"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[]},
			"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}]}}`, discovery)
	}
	write(config(first))
	t.Setenv("ROUTER_CONFIG", path)
	t.Setenv("ROUTER_DISCOVERY", first)
	signal := func(s syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	ended := make(chan error, 1)
	log := &logs{}
	go func() {
		c := rootCommand(Extensions{})
		c.SetArgs(nil) // as the platform starts it
		c.SetErr(log)
		ended <- c.Execute()
	}()
	if q := testkit.Receive(t, "the first call", atFirst); q != "index=1&wait=5000" {
		t.Errorf("first call: %q", q)
	}
	write(config(second))
	signal(syscall.SIGHUP)
	if q := testkit.Receive(t, "the call at the second address", atSecond); q != "" {
		t.Errorf("asks for %q, not for the whole list", q)
	}
	write(`{"discovery":`)
	signal(syscall.SIGHUP)
	write(config(third))
	signal(syscall.SIGHUP)
	signal(syscall.SIGHUP)
	testkit.Receive(t, "the call at the third address", atThird)
	resp, err := http.Get("http://" + log.address() + "/health/ready")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("after the reloads: %v, %v", resp, err)
	}
	signal(syscall.SIGTERM)
	signal(syscall.SIGHUP) // harmless during a drain
	if err := testkit.Receive(t, "the end", ended); err != nil {
		t.Error(err)
	}
	select {
	case q := <-atFirst:
		t.Errorf("the first address was called again: %q", q)
	default:
	}
}

// run runs the command line, and returns what it prints.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out strings.Builder
	c := rootCommand(Extensions{})
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.Execute()
	return out.String(), err
}

// check reads both files, and names the one that is wrong in one line.
func TestCheck(t *testing.T) {
	t.Setenv("ROUTER_CONFIG", "")
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	own := write("own.toml", "[log]\nlevel = \"warn\"\n")
	platform := `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[]},
		"settings":{"position":0,"groupSize":1,"services":[{"name":"pay","deadline":600}]}}`
	out, err := run(t, "check", own, "--platform", write("good.json", platform))
	if err != nil || !strings.Contains(out, "own.toml: good") || !strings.Contains(out, "only if it never ran") {
		t.Errorf("good files: %v\n%s", err, out)
	}
	for want, args := range map[string][]string{
		"own2.toml:1: log.level":           {"check", write("own2.toml", "log.level = 3")},
		"settings.services[0].deadline":    {"check", "--platform", write("bad.json", strings.Replace(platform, "600", `"x"`, 1))},
		"nothing to check":                 {"check"},
		"no such file":                     {"check", own + "x"},
		"run wayhold-xds":                  {"check", write("xds.toml", "[xds]\nfiles = [\"a.yaml\"]\n")},
		"unknown command":                  {"frobnicate"},
		"unknown flag":                     {"--frobnicate"},
		"accepts at most 1 arg":            {"check", own, own},
		"own3.toml:2: log.colour: unknown": {"--config", write("own3.toml", "[log]\ncolour = \"red\""), "serve"},
	} {
		if _, err := run(t, args...); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: got %v, want one line with %q", args, err, want)
		}
	}
}

func TestHelpAndVersion(t *testing.T) {
	if out, err := run(t, "--help"); err != nil || !strings.Contains(out, "demo") || !strings.Contains(out, "check") || !strings.Contains(out, "--config") {
		t.Errorf("%v\n%s", err, out)
	}
	if out, err := run(t, "version"); err != nil || !strings.HasPrefix(out, "wayhold ") {
		t.Errorf("%v\n%s", err, out)
	}
}

// SIGHUP reads the operator's own file again: what can change at once does, what can't is named, and a
// file that is wrong changes nothing, in the platform's either.
func TestReloadReadsTheOperatorsFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	t.Setenv("ROUTER_CONFIG", path)
	if err := os.WriteFile(path, []byte(`{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[]},
		"settings":{"position":0,"groupSize":1,"services":[{"name":"pay","deadline":600}]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var logs strings.Builder
	level := new(slog.LevelVar)
	running := nodeconfig.File{XDS: nodeconfig.XDS{Files: []string{"a.yaml"}}}
	r := reloader{path: filepath.Join(dir, "own.toml"), running: running, level: level, log: newLogger(nodeconfig.Log{}, level, &logs)}
	const ladder = "\n[[level]]\nname = \"less\"\nenter = [{signal = \"demand\", bound = 1.1}]\nexit = [{signal = \"demand\", bound = 0.9}]\nmeasure = [{class = \"pay\", shed = 0.5}]\n"
	for _, c := range []struct{ own, err, next, pool string }{
		{"[log]\nlevel = \"warn\"\n[xds]\nfiles = [\"a.yaml\"]" + ladder, "", "", ""},
		{"[log]\nlevel = \"warn\"" + strings.Replace(ladder, "pay", "none", 1), "own.toml:3: level[0]", "", ""},
		{"[log]\nlevel = \"error\"\n[drain]\ndeadline = \"2s\"\n[xds]\nfiles = [\"a.yaml\"]\n[xds.pools]\npay = \"rooms\"", "", "", "rooms"},
		{"[log]\nlevel = \"info\"\nformat = \"json\"\n[xds]\nfiles = [\"b.yaml\"]", "", "log.format xds.files", ""},
		{"[log]\nlevel = \"debug\"\n[xds]\nfiles = [\"a.yaml\"]\n[xds.pools]\nsearch = \"rooms\"", "xds.pools.search: the settings have no such class", "", ""},
		{"[log]\nlevel = 3", "own.toml:2: log.level", "", ""},
	} {
		if err := os.WriteFile(r.path, []byte(c.own), 0o600); err != nil {
			t.Fatal(err)
		}
		logs.Reset()
		was := level.Level()
		conf, err := r.read()
		if c.err != "" {
			if err == nil || !strings.Contains(err.Error(), c.err) || level.Level() != was {
				t.Errorf("%s: got %v, level %v", c.own, err, level.Level())
			}
			continue
		}
		if (conf.Levels != nil) != strings.Contains(c.own, "[[level]]") {
			t.Errorf("%s: levels %v", c.own, conf.Levels)
		}
		if err != nil || conf.Settings.Classes[0].Pool != c.pool || (conf.DrainTimeout != nil) != strings.Contains(c.own, "deadline") || level.Level() == was {
			t.Errorf("%s: %+v, %v, level %v", c.own, conf, err, level.Level())
		}
		for _, key := range strings.Fields(c.next) {
			if !strings.Contains(logs.String(), "key="+key) {
				t.Errorf("%s is not named in %s", key, logs.String())
			}
		}
	}
}
