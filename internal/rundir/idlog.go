package rundir

import (
	"encoding/binary"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	idLogSuffix = ".ids"
	// keySize is the size of an entry of an ID log, in bytes.
	keySize = 8
	// maxLoggedKeys limits the size of an ID log. A full log starts again from the beginning.
	maxLoggedKeys = 1 << 16
	// keyRetention is the minimum time for which the keys of another process are remembered, unless there are more than
	// maxLoggedKeys. It covers a client that still reads an answer of a process that has ended.
	keyRetention = time.Minute
)

// idLogPath returns the path of the log of the process whose files begin with base.
func idLogPath(base string) string { return base + idLogSuffix }

// otherLog is the ID log of another process, and the keys that were read from it. The open file remains readable when
// the process has ended and its log is removed.
type otherLog struct {
	file              *os.File
	offset            int64
	current, previous map[uint64]struct{} // keys in two generations
	rotatedAt         time.Time
}

func openOtherLog(path string, now time.Time) (*otherLog, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	return &otherLog{file: file, current: make(map[uint64]struct{}), rotatedAt: now}, nil
}

// read reads the keys that were appended since the last call.
func (o *otherLog) read() {
	if info, err := o.file.Stat(); err == nil && info.Size() < o.offset { // the log has started again
		o.offset = 0
	}
	var buf [64 * keySize]byte
	for {
		n, err := o.file.ReadAt(buf[:], o.offset)
		n -= n % keySize
		for entry := buf[:n]; len(entry) > 0; entry = entry[keySize:] {
			o.current[binary.NativeEndian.Uint64(entry)] = struct{}{}
		}
		o.offset += int64(n)
		if err != nil || n < len(buf) {
			return
		}
	}
}

// expire drops the keys whose time has passed.
func (o *otherLog) expire(now time.Time) {
	if now.Sub(o.rotatedAt) >= keyRetention || len(o.current) >= maxLoggedKeys {
		o.previous, o.current, o.rotatedAt = o.current, make(map[uint64]struct{}), now
	}
}

func (o *otherLog) contains(key uint64) bool {
	if _, ok := o.current[key]; ok {
		return true
	}
	_, ok := o.previous[key]
	return ok
}

func (o *otherLog) isEmpty() bool { return len(o.current)+len(o.previous) == 0 }

// Record implements router.IDRecorder. It appends keys to the log of this process.
func (l *IDLocks) Record(keys ...uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := make([]byte, 0, keySize*len(keys))
	for _, key := range keys {
		entries = binary.NativeEndian.AppendUint64(entries, key)
	}
	if l.logged += len(keys); l.logged > maxLoggedKeys {
		_ = l.log.Truncate(0) // a failure only leaves the log longer
		l.logged = len(keys)
	}
	_, _ = l.log.Write(entries) // without the entry, the ID is known to the others only while it is locked
}

// Refresh looks for the logs of other processes, and forgets keys whose time has passed.
func (l *IDLocks) Refresh(now time.Time) {
	paths, _ := filepath.Glob(filepath.Join(l.dir, filePrefix+"*"+idLogSuffix)) // the pattern is valid
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, path := range paths {
		if l.others[path] == nil && path != l.log.Name() {
			if other, err := openOtherLog(path, now); err == nil {
				l.others[path] = other
			}
		}
	}
	for path, other := range l.others {
		other.read()
		other.expire(now)
		ended := !isAlive(strings.TrimSuffix(path, idLogSuffix) + lockSuffix)
		if ended {
			_ = os.Remove(path) // another process, or the ended one, may have removed it
		}
		if ended && other.isEmpty() {
			_ = other.file.Close() // nothing was written
			delete(l.others, path)
		}
	}
}

// RemembersOthers reports whether keys of other processes are remembered.
func (l *IDLocks) RemembersOthers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, other := range l.others {
		if !other.isEmpty() {
			return true
		}
	}
	return false
}

// isRecorded reports whether another process has recorded key. l.mu is held.
func (l *IDLocks) isRecorded(key uint64) bool {
	for _, other := range l.others {
		other.read()
		if other.contains(key) {
			return true
		}
	}
	return false
}

// closeLogs closes all logs, and removes the one of this process. Other processes have opened it.
func (l *IDLocks) closeLogs() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = os.Remove(l.log.Name())
	for _, file := range append(l.otherFiles(), l.log) {
		_ = file.Close() // the entries need not survive a crash of the machine
	}
}

func (l *IDLocks) otherFiles() (files []io.Closer) {
	for _, other := range l.others {
		files = append(files, other.file)
	}
	return files
}
