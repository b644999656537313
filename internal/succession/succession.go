// Package succession is how the processes of one node know of each other through a directory that they share, while
// one takes the place of another: who is alive, by a lock that ends with its process, what each reports, and the
// order that stands. Every file is written whole or not at all.
package succession

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"cobaltward/handover"
)

const (
	prefix    = "wayhold-"
	alive     = ".alive"  // locked by its process for as long as it lives
	report    = ".report" // beside it
	orderFile = prefix + "order"
	most      = 8 // processes that are looked at: more is no replacement any more
)

// Place is one process's place in the directory. It isn't safe for concurrent use.
type Place struct {
	dir, name string
	lock      *os.File
}

// Take makes this process known.
func Take(dir string) (*Place, error) {
	name := fmt.Sprintf("%s%d-%d", prefix, os.Getpid(), time.Now().UnixNano())
	lock, err := os.OpenFile(filepath.Join(dir, name+alive), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("succession: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("succession: %s: %w", lock.Name(), err)
	}
	return &Place{dir: dir, name: name, lock: lock}, nil
}

// Leave takes this process out.
func (p *Place) Leave() {
	_ = os.Remove(filepath.Join(p.dir, p.name+report)) // it may not be there
	_ = os.Remove(p.lock.Name())
	p.lock.Close()
}

// Others are the newest reports of the other processes that are alive. What the dead have left is removed. A process
// without a report that can be read is there all the same, and has an empty one; problem says why.
func (p *Place) Others() (all map[string]handover.Report, problem error) {
	names, err := filepath.Glob(filepath.Join(p.dir, prefix+"*"+alive))
	if err != nil {
		return nil, err
	}
	all = make(map[string]handover.Report)
	for _, path := range names {
		name := strings.TrimSuffix(filepath.Base(path), alive)
		if name == p.name || len(all) >= most {
			continue
		}
		if !living(path) {
			_ = os.Remove(strings.TrimSuffix(path, alive) + report) // it may not be there
			_ = os.Remove(path)
			continue
		}
		r, err := read[handover.Report](strings.TrimSuffix(path, alive) + report)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			problem = err
		}
		all[name] = r
	}
	return all, problem
}

// living tells whether the process whose lock this is still runs: the system gives the lock back with it.
func living(path string) bool {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return false
	}
	defer f.Close()
	return errors.Is(syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB), syscall.EWOULDBLOCK)
}

// Report tells the others of this process.
func (p *Place) Report(r handover.Report) error {
	r.Version = handover.Version
	return write(filepath.Join(p.dir, p.name+report), r)
}

// Order is the order that stands; the zero value where there is none.
func (p *Place) Order() (handover.Order, error) {
	o, err := read[handover.Order](filepath.Join(p.dir, orderFile))
	if errors.Is(err, fs.ErrNotExist) {
		return o, nil
	}
	return o, err
}

// Give has an order stand.
func (p *Place) Give(o handover.Order) error {
	o.Version = handover.Version
	return write(filepath.Join(p.dir, orderFile), o)
}

func read[T handover.Report | handover.Order](path string) (v T, err error) {
	f, err := os.Open(path)
	if err != nil {
		return v, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, handover.MaxSize+1))
	if err != nil {
		return v, err
	}
	if v, err = handover.Decode[T](raw); err != nil {
		return v, fmt.Errorf("%s: %w", path, err)
	}
	return v, nil
}

// write replaces a file: whoever reads has the old one or the new one. It need not outlive the machine, so nothing
// waits for a disk.
func write(path string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	temp := fmt.Sprintf("%s.%d", path, os.Getpid()) // what a killed process leaves there its like overwrites
	if err := os.WriteFile(temp, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(temp, path)
}
