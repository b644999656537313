package adminapi

import (
	"net"
	"os"
	"path/filepath"
	"testing"
)

// TestUnixSocket_KeepsFileOfSuccessor checks that a closed listener removes its own socket's file, and no file of
// another listener. The test replaces the first listener's socket before it closes the first listener.
func TestUnixSocket_KeepsFileOfSuccessor(t *testing.T) {
	path := filepath.Join(t.TempDir(), "socket")
	first, err := listenUnix(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(path); err != nil { // as when an operator removes the socket and starts another process
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
		t.Errorf("the second listener did not remove its file: %v", err)
	}
}
