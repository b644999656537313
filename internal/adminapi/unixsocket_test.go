package adminapi

import (
	"net"
	"os"
	"path/filepath"
	"testing"
)

// TestUnixSocket_SparesSuccessorsFile has another process replace the socket before the first one closes its own: the
// file of the other stays, and its own is removed.
func TestUnixSocket_SparesSuccessorsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "socket")
	first, err := listenUnix(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(path); err != nil { // an operator has removed it, and started another process
		t.Fatal(err)
	}
	second, err := listenUnix(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := first.Close(); err != nil {
		t.Error(err)
	}
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatalf("the successor's socket is gone: %v", err)
	}
	_ = conn.Close()
	if err := second.Close(); err != nil {
		t.Error(err)
	}
	if _, err := os.Lstat(path); !os.IsNotExist(err) {
		t.Errorf("its own file is left: %v", err)
	}
}
