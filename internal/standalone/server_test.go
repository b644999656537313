package standalone

import (
	"os"
	"path/filepath"
	"testing"

	"cobaltward/policy"
)

// TestReadServers_CellNotSet guards against duplicate effects: a cell that the file leaves out is unknown, and not the
// cell with the number 0.
func TestReadServers_CellNotSet(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers.toml")
	for line, want := range map[string]policy.Cell{"": {}, "cell = 0": policy.NewCell(0), "cell = 3": policy.NewCell(3)} {
		text := "[[server]]\naddress = \"127.0.0.1:9\"\n" + line + "\n"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		servers, err := ReadServers(path)
		if err != nil || len(servers) != 1 || servers[0].Cell != want {
			t.Errorf("%q: got %+v and error %v, want cell %v", line, servers, err, want)
		}
	}
}
