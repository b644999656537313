package rundir

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cobaltward/router"

	"golang.org/x/sys/unix"
)

// idsFile is the file on which the processes of a node lock the request IDs in use. It stays empty.
const idsFile = filePrefix + "ids"

// idsLockedOffset is the offset of the byte of its own lock file that a process locks while it locks its IDs in use.
const idsLockedOffset = 0

// IDLocks lets the processes of a node agree on the request IDs in use. A process holds a record lock of the kernel on
// one byte of an empty file for each ID that it uses. The kernel releases the locks of a process that ends. Nothing is
// written to the file. The IDs of requests that may have run are appended to a log of the process, so that the others
// know them when the request or the process has ended. IDLocks implements router.IDLocker and router.IDRecorder. It is
// safe for concurrent use.
type IDLocks struct {
	dir  string
	file *os.File

	mu     sync.Mutex
	log    *os.File             // log of this process
	logged int                  // entries in log
	others map[string]*otherLog // by path
}

var (
	_ router.IDLocker   = (*IDLocks)(nil)
	_ router.IDRecorder = (*IDLocks)(nil)
)

// OpenIDLocks opens the locks of the node. The caller must close them.
func (p *Process) OpenIDLocks() (*IDLocks, error) {
	file, err := os.OpenFile(filepath.Join(p.dir, idsFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("rundir: %w", err)
	}
	log, err := os.OpenFile(idLogPath(filepath.Join(p.dir, p.name)), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("rundir: %w", err)
	}
	locks := &IDLocks{dir: p.dir, file: file, log: log, others: make(map[string]*otherLog)}
	locks.Refresh(time.Now())
	return locks, nil
}

// TryLock locks id. It returns false if another process has locked or recorded id. It returns true if the system cannot
// lock, because a process that can't coordinate acts as a single process.
func (l *IDLocks) TryLock(id string) bool {
	err := setRecordLock(l.file, unix.F_WRLCK, idOffset(id))
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
		return false
	}
	l.mu.Lock() // after the lock: the other process records an ID before it unlocks the ID
	recorded := l.isRecorded(router.IDKey(id))
	l.mu.Unlock()
	if recorded {
		l.Unlock(id)
	}
	return !recorded
}

// Unlock unlocks id.
func (l *IDLocks) Unlock(id string) {
	_ = setRecordLock(l.file, unix.F_UNLCK, idOffset(id)) // fails only if the file is closed, which unlocks everything
}

// Close unlocks all IDs of this process.
func (l *IDLocks) Close() {
	_ = l.file.Close() // nothing was written
	l.closeLogs()
}

// idOffset returns the offset of the byte that stands for id. Two IDs have the same offset with a probability of 2^-62.
func idOffset(id string) int64 { return int64(router.IDKey(id) >> 2) }

// SetIDsLocked tells the other processes whether this process locks all its IDs in use.
func (p *Process) SetIDsLocked(locked bool) error {
	kind := int16(unix.F_UNLCK)
	if locked {
		kind = unix.F_WRLCK
	}
	if err := setRecordLock(p.lock, kind, idsLockedOffset); err != nil {
		return fmt.Errorf("rundir: %s: %w", p.lock.Name(), err)
	}
	return nil
}

// OthersLockIDs reports whether all other running processes lock their IDs in use.
func (p *Process) OthersLockIDs() bool {
	locks, err := p.otherLockFiles()
	if err != nil {
		return false
	}
	for _, path := range locks {
		if isAlive(path) && !hasIDsLocked(path) {
			return false
		}
	}
	return true
}

// otherLockFiles returns the paths of the lock files of other processes, which may have ended.
func (p *Process) otherLockFiles() (paths []string, err error) {
	locks, err := filepath.Glob(filepath.Join(p.dir, filePrefix+"*"+lockSuffix))
	for _, path := range locks {
		if strings.TrimSuffix(filepath.Base(path), lockSuffix) != p.name {
			paths = append(paths, path)
		}
	}
	return paths, err
}

// hasIDsLocked reports whether the process with the given lock file locks its IDs in use.
func hasIDsLocked(lockPath string) bool {
	file, err := os.OpenFile(lockPath, os.O_RDWR, 0)
	if err != nil {
		return false
	}
	defer func() { _ = file.Close() }() // closing a file that was not written loses nothing
	lock := unix.Flock_t{Type: unix.F_WRLCK, Whence: io.SeekStart, Start: idsLockedOffset, Len: 1}
	err = unix.FcntlFlock(file.Fd(), unix.F_OFD_GETLK, &lock)
	return err == nil && lock.Type != unix.F_UNLCK
}

// setRecordLock sets or removes a record lock on one byte of file. It does not wait for other locks.
func setRecordLock(file *os.File, kind int16, offset int64) error {
	raw, err := file.SyscallConn()
	if err != nil {
		return err
	}
	lock := unix.Flock_t{Type: kind, Whence: io.SeekStart, Start: offset, Len: 1}
	var lockErr error
	err = raw.Control(func(fd uintptr) { lockErr = unix.FcntlFlock(fd, unix.F_OFD_SETLK, &lock) })
	if err != nil {
		return err
	}
	return lockErr
}
