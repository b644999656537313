// Package file is an endpoint source that reads its list from a file and reads it again whenever the file changes.
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

// ReadFunc reads the whole list of endpoints. An error keeps the list that is in force.
type ReadFunc func() ([]router.Endpoint, error)

// pollInterval is how often the file is checked. A drain written to the file takes effect that much later.
const pollInterval = 200 * time.Millisecond

// Source publishes the list of a file. Its methods are safe for concurrent use.
type Source struct {
	path   string // empty: no file is watched
	log    *slog.Logger
	reload chan struct{} // holds one pending Reload

	mu   sync.Mutex
	read ReadFunc
}

var _ router.EndpointSource = (*Source)(nil)

// New returns a source with an empty list. What read returns first takes effect once Run is called. path is the file
// to watch; where it is empty, the list is read again by Reload alone.
func New(path string, read ReadFunc, log *slog.Logger) *Source {
	return &Source{path: path, read: read, log: log, reload: make(chan struct{}, 1)}
}

// Reload reads the list again, whether or not the file has changed. A read that is not nil replaces the function
// that reads it. Reload does not wait for the list to be read.
func (s *Source) Reload(read ReadFunc) {
	s.mu.Lock()
	if read != nil {
		s.read = read
	}
	s.mu.Unlock()
	select {
	case s.reload <- struct{}{}:
	default: // one is pending already, and will use the new function
	}
}

// SetPolling does nothing: changes of a file are published without being asked for.
func (s *Source) SetPolling(bool) {}

// Run publishes the list, and each change of it, until ctx ends. A file that can't be read keeps the last list; the
// failure is reported once for each state of the file.
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

// publish reads the list and passes it on.
func (s *Source) publish(publish func(router.EndpointUpdate)) {
	s.mu.Lock()
	read := s.read
	s.mu.Unlock()
	endpoints, err := read()
	if err != nil {
		s.log.Error("servers: keeping the last list", "err", err)
		publish(router.EndpointUpdate{Kind: policy.ListUnavailable})
		return
	}
	if len(endpoints) == 0 {
		s.log.Warn("servers: the list is empty")
	}
	publish(router.EndpointUpdate{Kind: policy.ListReplace, Endpoints: endpoints})
}

// fileStamp distinguishes one state of the file from another.
type fileStamp struct {
	exists   bool
	size     int64 // bytes
	modified time.Time
	inode    any // a file that was renamed into place has another one
}

// currentStamp is the state of the watched file.
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
