package file

import (
	"os"
	"syscall"
)

// inodeOf is the file's inode number, or nil on systems without one.
func inodeOf(info os.FileInfo) any {
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		return stat.Ino
	}
	return nil
}
