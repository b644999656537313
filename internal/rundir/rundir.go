// Package rundir implements the directory through which the processes of one node exchange messages during a hot
// restart. Each process locks a file of its own; the system releases the lock when the process ends. A second file
// holds the latest report of the process. One file for the whole node holds the current standby order. Files are
// replaced atomically: a reader finds either the old content or the new content, never a part.
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
	filePrefix   = "wayhold-"
	lockSuffix   = ".alive"
	reportSuffix = ".report"
	orderFile    = filePrefix + "order"
	maxProcesses = 8 // maximum number of other processes that are read; a hot restart has one or two
)

// Process is this process's entry in the directory. It is not safe for concurrent use.
type Process struct {
	dir, name string
	lock      *os.File
}

// Register adds this process to the directory.
func Register(dir string) (*Process, error) {
	// Process IDs and wall-clock times may repeat, so the name has a random part instead of a time.
	name := fmt.Sprintf("%s%d-%s", filePrefix, os.Getpid(), rand.Text())
	lock, err := os.OpenFile(filepath.Join(dir, name+lockSuffix), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("rundir: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // the lock error is returned
		return nil, fmt.Errorf("rundir: %s: %w", lock.Name(), err)
	}
	return &Process{dir: dir, name: name, lock: lock}, nil
}

// Unregister removes this process's files and releases its lock.
func (p *Process) Unregister() {
	_ = os.Remove(p.reportPath()) // no file exists before the first WriteReport
	_ = os.Remove(p.lock.Name())
	_ = p.lock.Close()
}

func (p *Process) reportPath() string { return filepath.Join(p.dir, p.name+reportSuffix) }

// Others returns the latest reports of up to maxProcesses other running processes, by process name. It removes the
// files of processes that have ended. A process without a readable report has a zero report in the map. reportErr is
// the error of one unreadable report.
func (p *Process) Others() (reports map[string]hotrestart.Report, reportErr error) {
	locks, err := p.otherLockFiles()
	if err != nil {
		return nil, err
	}
	reports = make(map[string]hotrestart.Report)
	for _, lockPath := range locks {
		base := strings.TrimSuffix(lockPath, lockSuffix)
		name := filepath.Base(base)
		if len(reports) >= maxProcesses {
			break
		}
		if !isAlive(lockPath) {
			_ = os.Remove(base + reportSuffix) // the process may not have written a report
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

// isAlive reports whether a process still holds the lock on the file at lockPath.
func isAlive(lockPath string) bool {
	file, err := os.OpenFile(lockPath, os.O_RDWR, 0)
	if err != nil {
		return false
	}
	defer func() { _ = file.Close() }() // closing a file that was not written loses nothing
	return errors.Is(syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB), syscall.EWOULDBLOCK)
}

// WriteReport replaces this process's report.
func (p *Process) WriteReport(report hotrestart.Report) error {
	report.Version = hotrestart.Version
	return replaceFile(p.reportPath(), report)
}

// Order returns the current order, or the zero value if there is no order.
func (p *Process) Order() (hotrestart.Order, error) {
	order, err := readFile[hotrestart.Order](filepath.Join(p.dir, orderFile))
	if errors.Is(err, fs.ErrNotExist) {
		return order, nil
	}
	return order, err
}

// WriteOrder replaces the current order.
func (p *Process) WriteOrder(order hotrestart.Order) error {
	order.Version = hotrestart.Version
	return replaceFile(filepath.Join(p.dir, orderFile), order)
}

// readFile reads and decodes a message from the file at path. The errors name the file.
func readFile[T hotrestart.Report | hotrestart.Order](path string) (message T, err error) {
	file, err := os.Open(path)
	if err != nil {
		return message, err
	}
	defer func() { _ = file.Close() }() // closing a file that was not written loses nothing
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

// replaceFile replaces the file at path atomically with message. It does not sync the file, because the file need not
// survive a crash of the machine.
func replaceFile[T hotrestart.Report | hotrestart.Order](path string, message T) error {
	raw, err := json.Marshal(message)
	if err != nil {
		return err
	}
	// The name contains the process ID. A later process with the same ID overwrites the temporary file of a killed
	// process.
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.WriteFile(temporary, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
