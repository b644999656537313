package certificates

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// retryInterval is the time after which rejected files are read again even if they have not changed. A certificate
// may become valid while its file does not change.
const retryInterval = 10 * time.Second

// PollResult describes what FileWatcher.Poll has found in the files of one source.
type PollResult struct {
	Source       string
	Changed      bool  // whether new content has been loaded and is in use
	TrustChanged bool  // whether the trusted authorities have changed; only together with Changed
	Err          error // why the new content was rejected; reported once per state of the files
}

// FileWatcher polls files and reloads changed content. It is not safe for concurrent use.
type FileWatcher struct {
	source string
	files  func() []string
	reload func(now time.Time) (trustChanged bool, err error)

	loadedFingerprint   string // fingerprint of the files whose content is in use
	lastFingerprint     string // fingerprint at the last Poll
	rejectedFingerprint string // fingerprint of the last rejected files; empty: none since the last success
	rejectedAt          time.Time
}

func newFileWatcher(source string, files func() []string, reload func(time.Time) (bool, error)) *FileWatcher {
	watcher := &FileWatcher{source: source, files: files, reload: reload}
	watcher.loadedFingerprint = watcher.fingerprint()
	watcher.lastFingerprint = watcher.loadedFingerprint
	return watcher
}

// Watch returns a watcher that reloads the store when its sources change.
func (s *Store) Watch() *FileWatcher {
	return newFileWatcher(s.sources.String(), s.sources.files, s.Reload)
}

// Poll reloads changed files once two successive polls have found them in the same state. The delay is needed because
// a certificate and its key are not replaced at the same instant.
func (w *FileWatcher) Poll(now time.Time) PollResult {
	result := PollResult{Source: w.source}
	state := w.fingerprint()
	settled := state == w.lastFingerprint
	w.lastFingerprint = state
	rejectedBefore := state == w.rejectedFingerprint
	tooSoon := rejectedBefore && now.Sub(w.rejectedAt) < retryInterval
	if !settled || state == w.loadedFingerprint || tooSoon {
		return result
	}
	w.rejectedFingerprint, w.rejectedAt = state, now
	trustChanged, err := w.reload(now)
	switch {
	case err == nil:
		w.loadedFingerprint, w.rejectedFingerprint = state, ""
		result.Changed, result.TrustChanged = true, trustChanged
	case !rejectedBefore:
		result.Err = err
	}
	return result
}

// fingerprint returns a digest of the files' metadata.
func (w *FileWatcher) fingerprint() string {
	digest := sha256.New()
	for _, path := range w.files() {
		info, err := os.Stat(path)
		if err != nil {
			digest.Write(fmt.Appendln(nil, path, "none"))
			continue
		}
		digest.Write(fmt.Appendln(nil, path, info.Size(), info.ModTime().UnixNano(), info.Mode(), inode(info)))
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// files returns the paths of the files that Load would read now.
func (s Sources) files() (paths []string) {
	for _, path := range []string{s.Cert, s.Key, s.Trust} {
		if path != "" {
			paths = append(paths, path)
		}
	}
	if s.Dir != "" {
		entries, _ := os.ReadDir(s.Dir) // Load reports the error
		for _, entry := range entries[:min(len(entries), 4*maxDirPairs)] {
			subdir := filepath.Join(s.Dir, entry.Name())
			paths = append(paths, filepath.Join(subdir, certFile), filepath.Join(subdir, keyFile))
		}
	}
	return paths
}

// String returns the name of the sources for logs.
func (s Sources) String() string {
	return cmp.Or(s.Dir, s.Cert, s.Trust)
}
