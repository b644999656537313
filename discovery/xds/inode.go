package xds

import (
	"io/fs"
	"syscall"
)

// inodeOf is the file's inode number, by which a file that was renamed into place is noticed; 0 where there is none.
func inodeOf(info fs.FileInfo) uint64 {
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		return stat.Ino
	}
	return 0
}
