// Package file provides an endpoint source that reads its list from a file and reads the file again after each
// change.
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

// ReadFunc reads the complete list of endpoints. After an error, the source keeps its current list.
type ReadFunc func() ([]router.Endpoint, error)

// pollInterval is the interval between checks of the file for changes. It is the maximum delay before a drain in the
// file takes effect.
const pollInterval = 200 * time.Millisecond

// Source publishes the list of a file. Its methods are safe for concurrent use.
type Source struct {
	path   string // file to watch; empty: no file is watched
	log    *slog.Logger
	reload chan struct{} // buffers one pending reload

	mu   sync.Mutex
	read ReadFunc
}

var _ router.EndpointSource = (*Source)(nil)

// New returns a source with an empty list. Run reads the list for the first time. path is the file to watch. If path
// is empty, the list is read again only after Reload.
func New(path string, read ReadFunc, log *slog.Logger) *Source {
	return &Source{path: path, read: read, log: log, reload: make(chan struct{}, 1)}
}

// Reload makes the source read the list again, even if the file has not changed. If read is not nil, it replaces the
// function that reads the list. Reload does not wait for the list to be read.
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

// SetPolling does nothing. File changes are published without a request from the router.
func (s *Source) SetPolling(bool) {}

// Run publishes the list and each change to the list until ctx ends. If the list cannot be read, the last list stays
// in effect. The failure is reported once for each state of the file.
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

// publish reads the list and publishes it. If the list cannot be read, it publishes that the list is unavailable.
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

// fileStamp identifies a state of the file. A change of the file changes the stamp.
type fileStamp struct {
	exists   bool
	size     int64 // size of the file, in bytes
	modified time.Time
	inode    any // differs after another file is renamed into place
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
