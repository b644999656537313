package adminapi

import (
	"net"
	"os"
	"path/filepath"
	"testing"
)

// TestUnixSocket_KeepsFileOfSuccessor replaces a socket by that of another listener before the first listener is
// closed. The first one must not remove the other's file, and the second one must remove its own.
func TestUnixSocket_KeepsFileOfSuccessor(t *testing.T) {
	path := filepath.Join(t.TempDir(), "socket")
	first, err := listenUnix(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(path); err != nil { // as if an operator removed the socket and started another process
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
