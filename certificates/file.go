package certificates

import (
	"fmt"
	"io"
	"os"
	"syscall"
)

// readFile returns the content of a file. It returns an error if the file is larger than maxFileSize.
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

// checkOwnerOnly returns an error if users other than the owner of a file have access to the file.
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

// inode returns the inode number of a file, or 0 if the number is unknown. The number distinguishes two files that
// have the same path, size and modification time.
func inode(info os.FileInfo) uint64 {
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		return stat.Ino
	}
	return 0
}
