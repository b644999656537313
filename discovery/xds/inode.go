package xds

import (
	"io/fs"
	"syscall"
)

// inodeOf returns the inode number of a file, or 0 if the system has no inodes. The number changes when another file
// is renamed into place.
func inodeOf(info fs.FileInfo) uint64 {
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		return stat.Ino
	}
	return 0
}
