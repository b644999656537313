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

// listenUnix listens on a Unix socket that only its owner may use. It replaces a socket without a listener, and fails
// if there is any other file at the path.
func listenUnix(path string) (net.Listener, error) {
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	// The socket gets its final name once its mode is set, so that no other user can connect before.
	temporary := filepath.Join(filepath.Dir(path), fmt.Sprintf(".%s.%d", filepath.Base(path), os.Getpid()))
	listener, err := net.Listen("unix", temporary)
	if err != nil {
		return nil, err
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false)
	file, err := publishSocket(temporary, path)
	if err != nil {
		_ = listener.Close() // the first error is returned
		_ = os.Remove(temporary)
		return nil, err
	}
	return &unlinkingListener{Listener: listener, path: path, file: file}, nil
}

// publishSocket sets the mode of a socket, gives it its final name, and returns its file.
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

// removeStaleSocket removes a socket on which no process listens. Any other file at the path is an error.
func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return nil // no such file; any other error recurs when listening
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

// unlinkingListener removes its socket's file when it is closed.
type unlinkingListener struct {
	net.Listener
	path   string
	file   os.FileInfo // of the socket
	unlink sync.Once
}

func (l *unlinkingListener) Close() error {
	l.unlink.Do(l.removeFile)
	return l.Listener.Close()
}

// removeFile removes the socket's file, unless it is another process's by now.
func (l *unlinkingListener) removeFile() {
	if file, err := os.Lstat(l.path); err == nil && os.SameFile(file, l.file) {
		_ = os.Remove(l.path)
	}
}
