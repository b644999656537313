// Package keep writes small files that outlive a crash: the old content or the new, whole, never less.
package keep

import (
	"errors"
	"os"
	"path/filepath"
)

// File puts raw at path, mode 0600, by way of path.new, and returns once it is on the disk, with its name. One
// process writes a path at a time.
func File(path string, raw []byte) error {
	dir := filepath.Dir(path)
	// One name for all tries: what a crash leaves half-written is written over by the next.
	f, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name()) // the first error is the one to tell
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
