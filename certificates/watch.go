package certificates

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// again is after which time files that were refused are tried once more: what is not valid yet will be.
const again = 10 * time.Second

// PollResult is what came of looking at files.
type PollResult struct {
	Source       string
	Changed      bool  // what they hold is in force now
	TrustChanged bool  // and what is trusted has changed with it
	Err          error // they were refused, and the former ones go on; told once for one state of the files
}

// FileWatcher are files that are read again when they have changed.
type FileWatcher struct {
	name   string
	files  func() []string
	reload func(now time.Time) (trust bool, err error)

	loaded, seen, tried string // states of the files
	last                time.Time
}

// Watch has the sources of the store watched.
func (s *Store) Watch() *FileWatcher {
	w := &FileWatcher{name: s.from.String(), files: s.from.files, reload: s.Reload}
	w.loaded = w.state()
	w.seen = w.loaded
	return w
}

// Watch has the file watched.
func (t *Tickets) Watch() *FileWatcher {
	w := &FileWatcher{name: t.file, files: func() []string { return []string{t.file} }, reload: func(time.Time) (bool, error) { return false, t.Reload() }}
	w.loaded = w.state()
	w.seen = w.loaded
	return w
}

// Poll reads the files again if they have changed, and changed no more since the look before this one: who replaces a
// certificate and its key does so one after the other.
func (w *FileWatcher) Poll(now time.Time) PollResult {
	l := PollResult{Source: w.name}
	state := w.state()
	still := state == w.seen
	w.seen = state
	retry := state == w.tried && now.Sub(w.last) >= again
	if !still || state == w.loaded || state == w.tried && !retry {
		return l
	}
	told := state == w.tried
	w.tried, w.last = state, now
	trust, err := w.reload(now)
	switch {
	case err == nil:
		w.loaded, w.tried = state, ""
		l.Changed, l.TrustChanged = true, trust
	case !told:
		l.Err = err
	}
	return l
}

// state is a digest of what the file system says of the files.
func (w *FileWatcher) state() string {
	h := sha256.New()
	for _, f := range w.files() {
		info, err := os.Stat(f)
		if err != nil {
			fmt.Fprintln(h, f, "none")
			continue
		}
		fmt.Fprintln(h, f, info.Size(), info.ModTime().UnixNano(), info.Mode(), inode(info))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// files are all that the sources stand for now.
func (s Sources) files() (all []string) {
	for _, f := range []string{s.Cert, s.Key, s.Trust} {
		if f != "" {
			all = append(all, f)
		}
	}
	if s.Dir != "" {
		entries, _ := os.ReadDir(s.Dir) // what can't be read now is told when it is loaded
		for _, e := range entries[:min(len(entries), 4*maxNames)] {
			all = append(all, filepath.Join(s.Dir, e.Name(), certFile), filepath.Join(s.Dir, e.Name(), keyFile))
		}
	}
	return all
}

// String names the sources.
func (s Sources) String() string {
	return cmp.Or(s.Dir, s.Cert, s.Trust)
}

// ExpiryWarning is that a certificate will end.
type ExpiryWarning struct {
	Summary
	Remaining time.Duration
}

// ExpiryWarnings tells of certificates that come to their end, once for each of the times before it.
type ExpiryWarnings struct {
	before []time.Duration // the longest in front
	told   map[string]int  // by certificate: how many of the times have passed
}

// NewExpiryWarnings returns one for these times before the end.
func NewExpiryWarnings(before []time.Duration) *ExpiryWarnings {
	before = slices.Clone(before)
	slices.SortFunc(before, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return &ExpiryWarnings{before: before, told: make(map[string]int)}
}

// Due is the warnings that are due, among all certificates in force.
func (w *ExpiryWarnings) Due(now time.Time, entries []Summary) (due []ExpiryWarning) {
	here := make(map[string]int, len(entries))
	for _, e := range entries {
		key := e.Source + " " + e.Serial + " " + e.ExpiresAt.String()
		left := e.ExpiresAt.Sub(now)
		passed := 0
		for _, b := range w.before {
			if left <= b {
				passed++
			}
		}
		if left <= 0 {
			passed = len(w.before) + 1
		}
		if passed > w.told[key] && here[key] == 0 {
			due = append(due, ExpiryWarning{e, left})
		}
		here[key] = max(passed, w.told[key])
	}
	w.told = here // of certificates that are gone nothing is kept
	return due
}
