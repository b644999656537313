package xds

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"cobaltward/router"
)

// pollInterval is the interval between checks of the files for changes. It is the maximum delay before a drain in a
// file takes effect.
const pollInterval = 100 * time.Millisecond

var errNoFiles = errors.New("xds: no file is configured")

// FileSource is an endpoint source that reads DiscoveryResponse files, for sites without a control plane. It polls
// the files and applies changes only if all files are valid.
type FileSource struct {
	paths []string
	log   *slog.Logger

	mu       sync.Mutex // guards the fields below; only the goroutine of Run writes them
	snapshot *snapshot
	readErr  error // why the current files are rejected; nil: the files are in effect
}

var _ router.EndpointSource = (*FileSource)(nil)

// NewFileSource returns a source that reads the files at paths. It returns an error if a file is missing or invalid.
// If a file becomes invalid later, the source keeps its last list. If log is nil, nothing is logged.
func NewFileSource(paths []string, log *slog.Logger) (*FileSource, error) {
	if len(paths) == 0 {
		return nil, errNoFiles
	}
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	if _, err := readFiles(paths); err != nil {
		return nil, fmt.Errorf("xds: %w", err)
	}
	return &FileSource{paths: paths, log: log, snapshot: newSnapshot()}, nil
}

// SetPolling does nothing. File changes are published without a request from the router.
func (s *FileSource) SetPolling(bool) {}

// Run publishes the list and each change to the list until ctx ends.
func (s *FileSource) Run(ctx context.Context, publish func(router.EndpointUpdate)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var seen []fileStamp
	for {
		if now := s.fileStamps(); !slices.Equal(now, seen) {
			seen = now
			if update := s.reload(); update != nil {
				publish(*update)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// fileStamp identifies a state of a file. A change of the file changes the stamp.
type fileStamp struct {
	exists   bool
	size     int64 // size of the file, in bytes
	modified int64 // nanoseconds since 1970
	inode    uint64
}

// fileStamps returns the current state of each file.
func (s *FileSource) fileStamps() []fileStamp {
	stamps := make([]fileStamp, len(s.paths))
	for i, path := range s.paths {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = fileStamp{true, info.Size(), info.ModTime().UnixNano(), inodeOf(info)}
		}
	}
	return stamps
}

// reload reads the files and returns the update to publish, or nil if there is none.
func (s *FileSource) reload() *router.EndpointUpdate {
	resources, err := readFiles(s.paths)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readErr = err
	if err != nil {
		s.log.Error("xds: the files are refused, keeping the last list", "err", err)
		return nil
	}
	hadEndpoints := len(s.snapshot.published) > 0
	update := s.snapshot.endpointUpdate(s.snapshot.apply(resources.appliedClusters()))
	if hadEndpoints && len(s.snapshot.published) == 0 {
		s.log.Error("xds: the files contain no servers anymore")
	}
	return update
}
