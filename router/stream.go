package router

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// countedStream counts a streamed answer when its caller closes it. The answer counts as served if the caller has
// read all of it, and as failed otherwise.
type countedStream struct {
	Stream
	counters  *counters
	class     string
	complete  atomic.Bool
	closeOnce sync.Once
}

// Read reads from the stream, and records its end.
func (s *countedStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if errors.Is(err, io.EOF) {
		s.complete.Store(true)
	}
	return n, err
}

// Close closes the stream. The first call counts the answer.
func (s *countedStream) Close() error {
	err := s.Stream.Close()
	s.closeOnce.Do(func() {
		outcome := Failed
		if s.complete.Load() {
			outcome = Served
		}
		s.counters.count(s.class, outcome)
	})
	return err
}

// reservedStream releases the ID of a request when the caller closes the streamed answer.
type reservedStream struct {
	Stream
	reservation *IDReservation
}

// Close closes the stream and releases the ID.
func (s *reservedStream) Close() error {
	err := s.Stream.Close()
	s.reservation.Release()
	return err
}
