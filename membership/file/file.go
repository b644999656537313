// Package file is a list of servers that is read from a file, and read again where it has changed. Source is a
// router.EndpointSource.
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

// Read reads the whole list.
type Read func() ([]router.Endpoint, error)

// lookEvery is how often the file is looked at: a drain in it is obeyed that much later.
const lookEvery = 200 * time.Millisecond

// Source is a list. Its methods may be called at once from many goroutines.
type Source struct {
	path string // empty: nothing is watched
	log  *slog.Logger
	wake chan struct{}

	mu   sync.Mutex
	read Read
}

// New returns a source that begins with nothing: what read returns first is in force from Run on. path is the file
// that is watched; empty: the list is read at Again alone.
func New(path string, read Read, log *slog.Logger) *Source {
	return &Source{path: path, read: read, log: log, wake: make(chan struct{}, 1)}
}

// Again has the list read anew, by another function if read is not nil.
func (s *Source) Again(read Read) {
	s.mu.Lock()
	if read != nil {
		s.read = read
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// SetPolling has nothing to ask: what the file says is told as it changes.
func (s *Source) SetPolling(bool) {}

// Run tells of the list until ctx ends. A file that can't be read changes nothing, and is told of once.
func (s *Source) Run(ctx context.Context, tell func(router.EndpointUpdate)) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	var seen stamp
	for first := true; ; first = false {
		now := s.stamp()
		if first || now != seen {
			seen = now
			s.tell(tell)
		}
		select {
		case <-tick.C:
		case <-s.wake:
			seen = stamp{} // read it, changed or not
		case <-ctx.Done():
			return
		}
	}
}

func (s *Source) tell(tell func(router.EndpointUpdate)) {
	s.mu.Lock()
	read := s.read
	s.mu.Unlock()
	members, err := read()
	if err != nil {
		s.log.Error("servers: keeping the last list", "err", err)
		tell(router.EndpointUpdate{Kind: policy.ListUnavailable})
		return
	}
	if len(members) == 0 {
		s.log.Warn("servers: the list is empty")
	}
	tell(router.EndpointUpdate{Kind: policy.ListReplace, Endpoints: members})
}

// stamp tells one state of the file from another.
type stamp struct {
	there bool
	size  int64
	mod   time.Time
	n     any // the file itself: one that is renamed into its place is another
}

func (s *Source) stamp() stamp {
	if s.path == "" {
		return stamp{there: true}
	}
	info, err := os.Stat(s.path)
	if err != nil {
		return stamp{size: -1}
	}
	return stamp{there: true, size: info.Size(), mod: info.ModTime(), n: fileID(info)}
}
