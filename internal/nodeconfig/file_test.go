package nodeconfig

import (
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestParse_LogAndDrain checks that Parse reads the values of the tables [log] and [drain].
func TestParse_LogAndDrain(t *testing.T) {
	const text = "[log]\nlevel = \"warn\"\nformat = \"json\"\n[drain]\nleave = \"500ms\"\ndeadline = \"2s\"\n"
	file, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if file.Log.Level.Level != slog.LevelWarn || file.Log.Format != "json" ||
		file.Drain.AnnounceFor.Duration != 500*time.Millisecond || file.Drain.Timeout.Duration != 2*time.Second {
		t.Errorf("got %+v", file)
	}
}

// TestParse_EmptyFile checks that an empty or missing file sets nothing. A duration of 0 must differ from a duration
// that is not set.
func TestParse_EmptyFile(t *testing.T) {
	for _, text := range []string{"", "# only words\n", "[log]\n[drain]\n"} {
		if file, err := Parse([]byte(text)); err != nil || !reflect.DeepEqual(file, File{}) {
			t.Errorf("%q: %+v, %v", text, file, err)
		}
	}
	if file, err := Load(""); err != nil || !reflect.DeepEqual(file, File{}) {
		t.Errorf("no file: %+v, %v", file, err)
	}
	if file, err := Parse([]byte("[drain]\nleave = \"0s\"")); err != nil || !file.Drain.AnnounceFor.Set {
		t.Errorf("leave = 0s: %+v, %v; want it marked as set", file.Drain.AnnounceFor, err)
	}
}

// TestParse_ErrorsNameLineAndKey checks that each error is one line of text. The error must name the line and the key
// in the file. Errors of Load must also name the file.
func TestParse_ErrorsNameLineAndKey(t *testing.T) {
	for text, want := range map[string]string{
		"[log]\nlevel = \"loud\"":                           "2: log.level: ",
		"[log]\n\nlevl = \"info\"":                          "3: log.levl: unknown key",
		"[logs]\nlevel = \"info\"":                          "unknown key",
		"[log]\nlevel = 3":                                  "2: log.level: ",
		"[xds]\nfiles = []":                                 "2: xds.files: ",
		"[xds]\nfiles = [3]":                                "2: xds.files: ",
		"[xds]\nbootstrap = \"a\"\nfiles = [\"b\"]":         "3: xds.files: want either",
		"[xds]\nbootstrap = \"\"":                           "2: xds.bootstrap: ",
		"[xds]\nbootstrap = \"a\"\ndelta = \"yes\"":         "3: xds.delta: ",
		"\n[xds]\ndir = \"/x\"":                             "2: xds: neither",
		"[xds]\nfiles = [\"a\"]\n[xds.pools]\nhladanie = 3": "4: xds.pools.hladanie: ",
		"[xds]\nfiles = [\"a\"]\ndelta = true":              "2: xds.files: ca_file",
		"[msgpack]\nlisten = \"host:1\"":                    "2: msgpack.listen: want IP:port",
		"[msgpack]\ncalls = 4":                              "1: msgpack.listen: missing",
		"[msgpack]\nlisten = \"/a\"\ncalls = 0":             "3: msgpack.calls: want 1 to",
		"[msgpack]\nservers = \"k\"":                        "2: msgpack.servers: want a list",
		"[drain]\nleave = 5":                                "2: drain.leave: ",
		"[drain]\nleave = \"5\"":                            "2: drain.leave: ",
		"[drain]\nleave = \"-1s\"":                          "2: drain.leave: ",
		"[drain]\ndeadline = \"25h\"":                       "2: drain.deadline: ",
		"[drain]\ndeadline = \"1s\"\nleave = \"2s\"":        "3: drain.leave: ",
		"[log]\nformat = \"xml\"":                           "2: log.format: ",
		"[log\nlevel = 1":                                   "1: ",
		"[log]\nlevel = \"info\"\nlevel = \"warn\"":         "level",
	} {
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got error %v, want one line that contains %q", text, err, want)
		}
	}
	path := filepath.Join(t.TempDir(), "own.toml")
	if err := os.WriteFile(path, []byte("[log]\nlevel = \"loud\""), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.HasPrefix(err.Error(), path+":2: ") {
		t.Errorf("got error %v, want it to begin with the path and the line number", err)
	}
	if _, err := Load(path + "x"); err == nil {
		t.Error("no error for a file that does not exist")
	}
}

// TestLoad_ShippedFileSetsNothing checks that deploy/wayhold.toml contains only comments.
func TestLoad_ShippedFileSetsNothing(t *testing.T) {
	file, err := Load(filepath.Join("..", "..", "deploy", "wayhold.toml"))
	if err != nil || !reflect.DeepEqual(file, File{}) {
		t.Errorf("%+v, %v", file, err)
	}
}

func TestParse_XDS(t *testing.T) {
	file, err := Parse([]byte(`[xds]
bootstrap = "b.json"
ca_file = "ca.pem"
delta = true
dir = "/var/lib/wayhold"
alone = true
[xds.pools]
hladanie = "rooms"
`))
	want := XDS{
		Bootstrap: "b.json", CAFile: "ca.pem", Delta: true, CacheDir: "/var/lib/wayhold", WithoutPlatform: true,
		ClusterByClass: map[string]string{"hladanie": "rooms"},
	}
	if err != nil || !reflect.DeepEqual(file.XDS, want) || !file.XDS.Enabled() {
		t.Errorf("%+v, %v", file.XDS, err)
	}
}
