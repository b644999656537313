// Package rundir is the directory through which the processes of one node exchange messages during a hot restart. Each
// process holds a lock on a file of its own, which the system releases when the process ends; beside it is the
// process's last report. One more file has the present order on standby. Files are replaced as a whole: a reader finds
// the former content or the new one, never a part.
package rundir

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"cobaltward/internal/hotrestart"
)

const (
	prefix       = "wayhold-"
	lockSuffix   = ".alive"
	reportSuffix = ".report"
	orderFile    = prefix + "order"
	maxProcesses = 8 // others that are read; a hot restart needs one or two
)

// Process is this process's entry in the directory. It is not safe for concurrent use.
type Process struct {
	dir, name string
	lock      *os.File
}

// Register adds this process to the directory.
func Register(dir string) (*Process, error) {
	// Process IDs and times of the wall clock may repeat, so the name has a random part.
	name := fmt.Sprintf("%s%d-%s", prefix, os.Getpid(), rand.Text())
	lock, err := os.OpenFile(filepath.Join(dir, name+lockSuffix), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("rundir: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // the first error is the one to return
		return nil, fmt.Errorf("rundir: %s: %w", lock.Name(), err)
	}
	return &Process{dir: dir, name: name, lock: lock}, nil
}

// Unregister removes this process's files and releases its lock.
func (p *Process) Unregister() {
	_ = os.Remove(p.reportPath()) // it may not be there
	_ = os.Remove(p.lock.Name())
	_ = p.lock.Close()
}

func (p *Process) reportPath() string { return filepath.Join(p.dir, p.name+reportSuffix) }

// Others returns the last reports of the other running processes, by name, and removes the files of processes that
// have ended. If a report is unreadable, the process has a zero report in the map, and the error of one such report is
// returned with the map.
func (p *Process) Others() (reports map[string]hotrestart.Report, reportErr error) {
	locks, err := filepath.Glob(filepath.Join(p.dir, prefix+"*"+lockSuffix))
	if err != nil {
		return nil, err
	}
	reports = make(map[string]hotrestart.Report)
	for _, lockPath := range locks {
		base := strings.TrimSuffix(lockPath, lockSuffix)
		name := filepath.Base(base)
		if name == p.name || len(reports) >= maxProcesses {
			continue
		}
		if !isAlive(lockPath) {
			_ = os.Remove(base + reportSuffix) // it may not be there
			_ = os.Remove(lockPath)
			continue
		}
		report, err := readFile[hotrestart.Report](base + reportSuffix)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			reportErr = err
		}
		reports[name] = report
	}
	return reports, reportErr
}

// isAlive reports whether the process that has created a lock file still holds the lock.
func isAlive(lockPath string) bool {
	file, err := os.OpenFile(lockPath, os.O_RDWR, 0)
	if err != nil {
		return false
	}
	defer func() { _ = file.Close() }() // nothing was written
	return errors.Is(syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB), syscall.EWOULDBLOCK)
}

// WriteReport replaces this process's report.
func (p *Process) WriteReport(report hotrestart.Report) error {
	report.Version = hotrestart.Version
	return replaceFile(p.reportPath(), report)
}

// Order returns the present order; the zero value where there is none.
func (p *Process) Order() (hotrestart.Order, error) {
	order, err := readFile[hotrestart.Order](filepath.Join(p.dir, orderFile))
	if errors.Is(err, fs.ErrNotExist) {
		return order, nil
	}
	return order, err
}

// WriteOrder replaces the present order.
func (p *Process) WriteOrder(order hotrestart.Order) error {
	order.Version = hotrestart.Version
	return replaceFile(filepath.Join(p.dir, orderFile), order)
}

// readFile reads a message from a file. Errors name the file.
func readFile[T hotrestart.Report | hotrestart.Order](path string) (message T, err error) {
	file, err := os.Open(path)
	if err != nil {
		return message, err
	}
	defer func() { _ = file.Close() }() // it was only read
	raw, err := io.ReadAll(io.LimitReader(file, hotrestart.MaxSize+1))
	if err != nil {
		return message, err
	}
	message, err = hotrestart.Decode[T](raw)
	if err != nil {
		return message, fmt.Errorf("%s: %w", path, err)
	}
	return message, nil
}

// replaceFile replaces a file as a whole. It does not sync the file, which need not survive a crash of the machine.
func replaceFile[T hotrestart.Report | hotrestart.Order](path string, message T) error {
	raw, err := json.Marshal(message)
	if err != nil {
		return err
	}
	// The name has the process ID, so that a later process with the same ID overwrites what a killed one has left.
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.WriteFile(temporary, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
