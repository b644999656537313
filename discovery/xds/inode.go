package xds

import (
	"io/fs"
	"syscall"
)

// inode tells a file from another that was put in its place.
func inode(info fs.FileInfo) uint64 {
	if s, ok := info.Sys().(*syscall.Stat_t); ok {
		return s.Ino
	}
	return 0
}
