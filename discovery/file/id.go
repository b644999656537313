package file

import (
	"os"
	"syscall"
)

// fileID is the file's own number, where the system has one.
func fileID(info os.FileInfo) any {
	if st, ok := info.Sys().(*syscall.Stat_t); ok {
		return st.Ino
	}
	return nil
}
