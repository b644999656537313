package rundir

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cobaltward/internal/hotrestart"
)

// TestReadFile_EarlierVersion checks that the files of two processes of an earlier version are decoded. Encoding the
// messages again must yield the same bytes.
func TestReadFile_EarlierVersion(t *testing.T) {
	dir := filepath.Join("testdata", "node")
	moment := time.Date(2026, 12, 1, 8, 30, 0, 0, time.UTC)
	for name, want := range map[string]hotrestart.Report{
		"wayhold-1001-1764570000000000001.report": {
			Version: 1, At: moment, Accepted: 1234567, ClientConns: 42, ServerConns: 17, Draining: true,
		},
		"wayhold-1002-1764570000000000002.report": {
			Version: 1, At: moment.Add(100 * time.Millisecond), Accepted: 89, ClientConns: 7, ServerConns: 3,
		},
	} {
		t.Run(name, func(t *testing.T) { readStored(t, filepath.Join(dir, name), want) })
	}
	t.Run(orderFile, func(t *testing.T) {
		want := hotrestart.Order{Version: 1, At: moment.Add(-time.Minute), Standby: true}
		readStored(t, filepath.Join(dir, orderFile), want)
	})
}

func readStored[T hotrestart.Report | hotrestart.Order](t *testing.T, path string, want T) {
	t.Helper()
	got, err := readFile[T](path)
	if err != nil {
		t.Fatal(err)
	}
	if got != want {
		t.Errorf("read %+v, want %+v", got, want)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, raw) {
		t.Errorf("encoded again: %s, want %s", again, raw)
	}
}

// TestOthers_EarlierVersion checks that the files of ended processes of an earlier version are removed. The order of
// the earlier version must be read.
func TestOthers_EarlierVersion(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "node"))); err != nil {
		t.Fatal(err)
	}
	process, err := Register(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer process.Unregister()
	others, err := process.Others()
	if err != nil || len(others) != 0 {
		t.Errorf("other processes %+v, error %v; want none, since no process holds their locks", others, err)
	}
	if order, err := process.Order(); err != nil || !order.Standby {
		t.Errorf("order %+v, error %v; want standby", order, err)
	}
	left, err := filepath.Glob(filepath.Join(dir, "*"+reportSuffix))
	if err != nil || len(left) != 0 {
		t.Errorf("reports left behind: %v, error %v", left, err)
	}
}
