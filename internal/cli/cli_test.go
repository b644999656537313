package cli

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"cobaltward/internal/nodeconfig"
	"cobaltward/internal/testkit"
)

// platformText is a format string for a platform configuration. The argument is the address of the registry.
const platformText = `{"name":"n","listen":"127.0.0.1:0","discovery":"%s","seed":"1",
	"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[]},
	"settings":{"position":0,"groupSize":1,"services":[{"name":"pay","deadline":600}]}}`

// noRegistry is an address that refuses connections, because nothing listens on it.
const noRegistry = "127.0.0.1:9"

// startRegistry starts a registry with an empty server list. The channel queries receives the query string of each
// request.
func startRegistry(t *testing.T) (address string, queries chan string) {
	t.Helper()
	queries = make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		if r.URL.Query().Has("index") {
			<-r.Context().Done()
			return
		}
		_, _ = fmt.Fprint(w, `{"revision":3,"complete":true,"members":[]}`) // fails if the node has disconnected
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), queries
}

// TestServe_Reload checks that SIGHUP switches the node to the registry in the changed file, although
// ROUTER_DISCOVERY named another registry at the start. An invalid file changes nothing. SIGTERM ends the program.
func TestServe_Reload(t *testing.T) {
	first, firstQueries := startRegistry(t)
	second, secondQueries := startRegistry(t)
	third, thirdQueries := startRegistry(t)
	dir := t.TempDir()
	config := func(registry string) string {
		return fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
			"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":1,"complete":true,"members":[]},
			"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}]}}`, registry)
	}
	write := func(text string) string { return writeFile(t, dir, "config.json", text) }
	t.Setenv("ROUTER_CONFIG", write(config(first)))
	t.Setenv("ROUTER_DISCOVERY", first)
	ended, logs := startInProcess() // without arguments, like a start by the platform
	if query := testkit.Receive(t, "the first request to the registry", firstQueries); query != "index=1&wait=5000" {
		t.Errorf("the query of the first request is %q", query)
	}
	write(config(second))
	signalSelf(t, syscall.SIGHUP)
	if query := testkit.Receive(t, "a request at the second address", secondQueries); query != "" {
		t.Errorf("the query at the new address is %q, want none, for the whole list", query)
	}
	write(`{"discovery":`)
	signalSelf(t, syscall.SIGHUP)
	write(config(third))
	signalSelf(t, syscall.SIGHUP)
	signalSelf(t, syscall.SIGHUP)
	testkit.Receive(t, "a request at the third address", thirdQueries)
	status, err := get("http://" + logs.address() + "/health/ready")
	if err != nil || status != http.StatusOK {
		t.Errorf("readiness after the reloads: status %v, error %v", status, err)
	}
	signalSelf(t, syscall.SIGTERM)
	signalSelf(t, syscall.SIGHUP) // must not disturb a drain
	if err := testkit.Receive(t, "the end of the program", ended); err != nil {
		t.Error(err)
	}
	select {
	case query := <-firstQueries:
		t.Errorf("the first registry got another request after the reload: %q", query)
	default:
	}
}

// TestCheck checks that the check command describes valid files. An error must be a single line that names the file.
func TestCheck(t *testing.T) {
	t.Setenv("ROUTER_CONFIG", "")
	dir := t.TempDir()
	write := func(name, text string) string { return writeFile(t, dir, name, text) }
	own := write("own.toml", "[log]\nlevel = \"warn\"\n")
	platform := fmt.Sprintf(platformText, noRegistry)
	out, err := run(t, "check", own, "--platform", write("good.json", platform))
	if err != nil || !strings.Contains(out, "own.toml: good") || !strings.Contains(out, "only if it never ran") {
		t.Errorf("valid files: error %v, output\n%s", err, out)
	}
	badPlatform := write("bad.json", strings.Replace(platform, "600", `"x"`, 1))
	for want, args := range map[string][]string{
		"own2.toml:1: log.level":           {"check", write("own2.toml", "log.level = 3")},
		"settings.services[0].deadline":    {"check", "--platform", badPlatform},
		"nothing to check":                 {"check"},
		"no such file":                     {"check", own + "x"},
		"run wayhold-xds":                  {"check", write("xds.toml", "[xds]\nfiles = [\"a.yaml\"]\n")},
		"unknown command":                  {"frobnicate"},
		"unknown flag":                     {"--frobnicate"},
		"accepts at most 1 arg":            {"check", own, own},
		"own3.toml:2: log.colour: unknown": {"--config", write("own3.toml", "[log]\ncolour = \"red\""), "serve"},
	} {
		_, err := run(t, args...)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: got error %v, want one line with %q", args, err, want)
		}
	}
}

func TestHelpAndVersion(t *testing.T) {
	out, err := run(t, "--help")
	if err != nil {
		t.Error(err)
	}
	for _, want := range []string{"demo", "check", "--config"} {
		if !strings.Contains(out, want) {
			t.Errorf("the help has no %s:\n%s", want, out)
		}
	}
	if out, err := run(t, "version"); err != nil || !strings.HasPrefix(out, "wayhold ") {
		t.Errorf("version: error %v, output\n%s", err, out)
	}
}

// levelsTable is TOML text that defines one level of reduced service for the class in platformText.
const levelsTable = `
[[level]]
name = "less"
enter = [{signal = "demand", bound = 1.1}]
exit = [{signal = "demand", bound = 0.9}]
measure = [{class = "pay", shed = 0.5}]
`

// TestReloader_ReadsOwnFile checks that a reload applies the keys of the operator's configuration file that can
// change in a running node. A reload logs the keys that need a restart. An invalid file changes nothing.
func TestReloader_ReadsOwnFile(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("ROUTER_CONFIG", writeFile(t, dir, "config.json", fmt.Sprintf(platformText, noRegistry)))
	var logs strings.Builder
	level := new(slog.LevelVar)
	reload := reloader{
		path:    filepath.Join(dir, "own.toml"),
		running: nodeconfig.File{XDS: nodeconfig.XDS{Files: []string{"a.yaml"}}},
		level:   level,
		log:     newLogger(nodeconfig.Log{}, level, &logs),
	}
	const xds, pools = "\n[xds]\nfiles = [\"a.yaml\"]", "\n[xds.pools]\n"
	for _, test := range []struct{ own, err, restartKeys, pool string }{
		{"[log]\nlevel = \"warn\"" + xds + levelsTable, "", "", ""},
		{"[log]\nlevel = \"warn\"" + strings.Replace(levelsTable, "pay", "none", 1), "own.toml:3: level[0]", "", ""},
		{
			"[log]\nlevel = \"error\"\n[drain]\ndeadline = \"2s\"" + xds + pools + "pay = \"rooms\"",
			"", "", "rooms",
		},
		{
			"[log]\nlevel = \"info\"\nformat = \"json\"\n[xds]\nfiles = [\"b.yaml\"]",
			"", "log.format xds.files", "",
		},
		{
			"[log]\nlevel = \"debug\"" + xds + pools + "search = \"rooms\"",
			"xds.pools.search: the settings have no such class", "", "",
		},
		{"[log]\nlevel = 3", "own.toml:2: log.level", "", ""},
	} {
		if err := os.WriteFile(reload.path, []byte(test.own), 0o600); err != nil {
			t.Fatal(err)
		}
		logs.Reset()
		previousLevel := level.Level()
		config, err := reload.read()
		if test.err != "" {
			if err == nil || !strings.Contains(err.Error(), test.err) || level.Level() != previousLevel {
				t.Errorf("%s: got error %v, log level %v", test.own, err, level.Level())
			}
			continue
		}
		if (config.Levels != nil) != strings.Contains(test.own, "[[level]]") {
			t.Errorf("%s: got levels of service %v", test.own, config.Levels)
		}
		hasTimeout := config.DrainTimeout != nil
		if err != nil || config.Settings.Classes[0].Pool != test.pool ||
			hasTimeout != strings.Contains(test.own, "deadline") || level.Level() == previousLevel {
			t.Errorf("%s: got %+v, error %v, log level %v", test.own, config, err, level.Level())
		}
		for _, key := range strings.Fields(test.restartKeys) {
			if !strings.Contains(logs.String(), "key="+key) {
				t.Errorf("the log does not name the key %s, which needs a restart: %s", key, logs.String())
			}
		}
	}
}
