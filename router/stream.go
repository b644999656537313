package router

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// countedStream counts a streamed answer when its caller closes it: as served if all of it was read, otherwise as
// failed.
type countedStream struct {
	Stream
	counters  *counters
	class     string
	complete  atomic.Bool
	closeOnce sync.Once
}

// Read records whether the end of the answer was reached.
func (s *countedStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if errors.Is(err, io.EOF) {
		s.complete.Store(true)
	}
	return n, err
}

// Close closes the stream, and counts the request on the first call.
func (s *countedStream) Close() error {
	err := s.Stream.Close()
	s.closeOnce.Do(func() {
		outcome := Failed
		if s.complete.Load() {
			outcome = Served
		}
		s.counters.count(s.class, outcome)
		s.counters.inFlight.Add(-1)
	})
	return err
}
