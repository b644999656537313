// Package file provides an endpoint source that reads its list from a file, and again whenever the file changes.
package file

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// ReadFunc reads the complete list of endpoints. If it returns an error, the source keeps its current list.
type ReadFunc func() ([]router.Endpoint, error)

// pollInterval is how often the file is checked for changes. A drain written to the file takes effect up to this much
// later.
const pollInterval = 200 * time.Millisecond

// Source publishes the list of a file. Its methods are safe for concurrent use.
type Source struct {
	path   string // of the file to watch; empty: no file is watched
	log    *slog.Logger
	reload chan struct{} // buffers one request of Reload

	mu   sync.Mutex
	read ReadFunc
}

var _ router.EndpointSource = (*Source)(nil)

// New returns a source with an empty list; the list is first read when Run is called. path is the file to watch. If
// path is empty, the list is read again only on Reload.
func New(path string, read ReadFunc, log *slog.Logger) *Source {
	return &Source{path: path, read: read, log: log, reload: make(chan struct{}, 1)}
}

// Reload makes the source read the list again, even if the file has not changed. A non-nil read replaces the function
// that reads the list. Reload does not wait for the list to be read.
func (s *Source) Reload(read ReadFunc) {
	s.mu.Lock()
	if read != nil {
		s.read = read
	}
	s.mu.Unlock()
	select {
	case s.reload <- struct{}{}:
	default: // a reload is already pending and will use the new function
	}
}

// SetPolling does nothing: file changes are published without a request from the router.
func (s *Source) SetPolling(bool) {}

// Run publishes the list, and each change to it, until ctx ends. If the file can't be read, the last list stays in
// effect and the failure is reported once for each state of the file.
func (s *Source) Run(ctx context.Context, publish func(router.EndpointUpdate)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	seen := s.currentStamp()
	s.publish(publish)
	for {
		select {
		case <-ticker.C:
			if now := s.currentStamp(); now != seen {
				seen = now
				s.publish(publish)
			}
		case <-s.reload:
			seen = s.currentStamp()
			s.publish(publish)
		case <-ctx.Done():
			return
		}
	}
}

// publish reads the list and publishes it, or reports that it is unavailable.
func (s *Source) publish(publish func(router.EndpointUpdate)) {
	s.mu.Lock()
	read := s.read
	s.mu.Unlock()
	endpoints, err := read()
	if err != nil {
		s.log.Error("servers: reading the list failed, keeping the last one", "err", err)
		publish(router.EndpointUpdate{Kind: policy.ListUnavailable})
		return
	}
	if len(endpoints) == 0 {
		s.log.Warn("servers: the list is empty")
	}
	publish(router.EndpointUpdate{Kind: policy.ListReplace, Endpoints: endpoints})
}

// fileStamp identifies a state of the file: it differs after the file has changed.
type fileStamp struct {
	exists   bool
	size     int64 // bytes
	modified time.Time
	inode    any // differs after another file was renamed into place
}

// currentStamp returns the current state of the watched file.
func (s *Source) currentStamp() fileStamp {
	if s.path == "" {
		return fileStamp{exists: true}
	}
	info, err := os.Stat(s.path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{exists: true, size: info.Size(), modified: info.ModTime(), inode: inodeOf(info)}
}
