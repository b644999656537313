package xds

import (
	"io/fs"
	"syscall"
)

// inodeOf tells a file from another that was put in its place.
func inodeOf(info fs.FileInfo) uint64 {
	if s, ok := info.Sys().(*syscall.Stat_t); ok {
		return s.Ino
	}
	return 0
}
