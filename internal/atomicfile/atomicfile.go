// Package atomicfile replaces small files atomically. A reader, or a restart after a crash, finds either the old
// content or the new content, never a part.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// Write replaces the file at path, with mode 0600. It returns once the content and the file's name are on the disk.
// It first writes to path.new, and overwrites a path.new that a crash has left behind. Only one process at a time may
// write a path.
func Write(path string, content []byte) error {
	temporary, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if err := replace(path, temporary, content); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// WriteShared replaces the file at path, with mode 0600. It returns once the content is on the disk. Several
// processes may write the same path at the same time, because each call uses its own temporary file.
func WriteShared(path string, content []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"-*")
	if err != nil {
		return err
	}
	return replace(path, temporary, content)
}

// replace writes content to a temporary file, syncs and closes the file, and renames it to path. After an error it
// removes the temporary file.
func replace(path string, temporary *os.File, content []byte) error {
	_, err := temporary.Write(content)
	if err == nil {
		err = temporary.Sync()
	}
	if err = errors.Join(err, temporary.Close()); err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		_ = os.Remove(temporary.Name()) // the earlier error is returned
	}
	return err
}

// syncDir syncs the directory at path, which makes the names of its files durable.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
