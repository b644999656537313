package certificates

import (
	"fmt"
	"io"
	"os"
	"syscall"
)

// readFile reads a file of at most maxFileSize bytes.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	raw, err := io.ReadAll(io.LimitReader(file, maxFileSize+1))
	if err == nil && len(raw) > maxFileSize {
		err = fmt.Errorf("%s: file exceeds %d KiB", path, maxFileSize>>10)
	}
	return raw, err
}

// checkOwnerOnly verifies that a file with secrets is accessible only to its owner.
func checkOwnerOnly(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return fmt.Errorf("%s: accessible to others: want mode 0600, got %04o", path, info.Mode().Perm())
	}
	return nil
}

// inode returns the inode number of a file, or 0 if that is unknown. It distinguishes files with the same path, size
// and modification time.
func inode(info os.FileInfo) uint64 {
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		return stat.Ino
	}
	return 0
}
