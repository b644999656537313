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

func TestReadsAFile(t *testing.T) {
	f, err := Parse([]byte("[log]\nlevel = \"warn\"\nformat = \"json\"\n[drain]\nleave = \"500ms\"\ndeadline = \"2s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if f.Log.Level.Level != slog.LevelWarn || f.Log.Format != "json" || f.Drain.AnnounceFor.Duration != 500*time.Millisecond ||
		f.Drain.Deadline.Duration != 2*time.Second {
		t.Errorf("got %+v", f)
	}
}

// An empty file, and none, change nothing: what is not set can be told from what is.
func TestEmptyFileSetsNothing(t *testing.T) {
	for _, text := range []string{"", "# only words\n", "[log]\n[drain]\n"} {
		if f, err := Parse([]byte(text)); err != nil || !reflect.DeepEqual(f, File{}) {
			t.Errorf("%q: %+v, %v", text, f, err)
		}
	}
	if f, err := Load(""); err != nil || !reflect.DeepEqual(f, File{}) {
		t.Errorf("no file: %+v, %v", f, err)
	}
	if f, _ := Parse([]byte("[drain]\nleave = \"0s\"")); !f.Drain.AnnounceFor.Set {
		t.Error("a leave of 0 can't be told from none")
	}
}

// Whatever is wrong is one line that names file, line and key.
func TestErrorsNameLineAndKey(t *testing.T) {
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
			t.Errorf("%q: got %v, want one line with %q", text, err, want)
		}
	}
	path := filepath.Join(t.TempDir(), "own.toml")
	if err := os.WriteFile(path, []byte("[log]\nlevel = \"loud\""), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.HasPrefix(err.Error(), path+":2: ") {
		t.Errorf("got %v, want it to begin with the file and the line", err)
	}
	if _, err := Load(path + "x"); err == nil {
		t.Error("a file that is named and not there is no error")
	}
}

// The file that comes with the program is empty but for words.
func TestShippedFileSetsNothing(t *testing.T) {
	f, err := Load(filepath.Join("..", "..", "deploy", "wayhold.toml"))
	if err != nil || !reflect.DeepEqual(f, File{}) {
		t.Errorf("%+v, %v", f, err)
	}
}

func TestReadsXDS(t *testing.T) {
	f, err := Parse([]byte("[xds]\nbootstrap = \"b.json\"\nca_file = \"ca.pem\"\ndelta = true\ndir = \"/var/lib/wayhold\"\nalone = true\n[xds.pools]\nhladanie = \"rooms\"\n"))
	want := XDS{Bootstrap: "b.json", CAFile: "ca.pem", Delta: true, Dir: "/var/lib/wayhold", WithoutPlatform: true, Pools: map[string]string{"hladanie": "rooms"}}
	if err != nil || !reflect.DeepEqual(f.XDS, want) || !f.XDS.Enabled() {
		t.Errorf("%+v, %v", f.XDS, err)
	}
}
