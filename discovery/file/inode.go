package file

import (
	"os"
	"syscall"
)

// inodeOf returns the inode number of a file, or nil on systems without inodes.
func inodeOf(info os.FileInfo) any {
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		return stat.Ino
	}
	return nil
}
