package adminapi

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const socketDialTimeout = time.Second

// listenUnix listens on a Unix socket that only the owner may use. It replaces a socket on which no process listens.
// It returns an error if another kind of file exists at path.
func listenUnix(path string) (net.Listener, error) {
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	// The socket gets its final name after its mode is set. Otherwise another user could connect before the mode is
	// set.
	temporary := filepath.Join(filepath.Dir(path), fmt.Sprintf(".%s.%d", filepath.Base(path), os.Getpid()))
	listener, err := net.Listen("unix", temporary)
	if err != nil {
		return nil, err
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false)
	file, err := publishSocket(temporary, path)
	if err != nil {
		_ = listener.Close() // the caller gets the error of publishSocket
		_ = os.Remove(temporary)
		return nil, err
	}
	return &unlinkingListener{Listener: listener, path: path, file: file}, nil
}

// publishSocket sets the mode of the socket at temporary, renames the socket to path, and returns the identity of its
// file.
func publishSocket(temporary, path string) (os.FileInfo, error) {
	if err := os.Chmod(temporary, 0o600); err != nil {
		return nil, err
	}
	file, err := os.Lstat(temporary)
	if err != nil {
		return nil, err
	}
	return file, os.Rename(temporary, path)
}

// removeStaleSocket removes a socket on which no process listens. It returns an error for any other file at path.
func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil // the file does not exist, or net.Listen returns the same error
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("%s exists and is not a socket", path)
	}
	conn, err := net.DialTimeout("unix", path, socketDialTimeout)
	if err == nil {
		_ = conn.Close()
		return fmt.Errorf("%s: another process listens there", path)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return os.Remove(path)
	}
	return nil
}

// unlinkingListener is a listener that removes its socket's file when it is closed.
type unlinkingListener struct {
	net.Listener
	path   string
	file   os.FileInfo // identity of the socket's file
	unlink sync.Once
}

func (l *unlinkingListener) Close() error {
	l.unlink.Do(l.removeFile)
	return l.Listener.Close()
}

// removeFile removes the socket's file, unless another process has replaced it.
func (l *unlinkingListener) removeFile() {
	if file, err := os.Lstat(l.path); err == nil && os.SameFile(file, l.file) {
		_ = os.Remove(l.path)
	}
}
