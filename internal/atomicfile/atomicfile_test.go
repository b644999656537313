package atomicfile

import (
	"os"
	"path/filepath"
	"testing"
)

// TestWrite_ReplacesWholeFile checks that Write and WriteShared replace the whole file. The file must have mode 0600,
// and no temporary file may remain. A write to a missing directory must fail.
func TestWrite_ReplacesWholeFile(t *testing.T) {
	for name, write := range map[string]func(string, []byte) error{"Write": Write, "WriteShared": WriteShared} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "state")
			for _, content := range []string{"first, which is longer", "second"} {
				if err := write(path, []byte(content)); err != nil {
					t.Fatal(err)
				}
				raw, err := os.ReadFile(path)
				if err != nil || string(raw) != content {
					t.Fatalf("read %q, error %v; want %q", raw, err, content)
				}
			}
			info, err := os.Stat(path)
			if err != nil || info.Mode().Perm() != 0o600 {
				t.Errorf("mode %v, error %v; want 0600", info.Mode(), err)
			}
			entries, err := os.ReadDir(dir)
			if err != nil || len(entries) != 1 {
				t.Errorf("directory entries %v, error %v; want only the file", entries, err)
			}
			if err := write(filepath.Join(dir, "missing", "state"), nil); err == nil {
				t.Error("want an error for a directory that does not exist")
			}
		})
	}
}

// TestWrite_AfterCrash checks that Write overwrites the temporary file of a crashed write, which is longer than the
// new content.
func TestWrite_AfterCrash(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(path+".new", []byte("half of a much longer content"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Write(path, []byte("whole")); err != nil {
		t.Fatal(err)
	}
	if raw, err := os.ReadFile(path); err != nil || string(raw) != "whole" {
		t.Errorf("read %q, error %v; want only the new content", raw, err)
	}
}
