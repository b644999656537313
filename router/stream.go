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
	counters    *counters
	class       string
	reservation *IDReservation // released by Close; nil: the caller of Do releases it
	complete    atomic.Bool
	closeOnce   sync.Once
}

// Read reads from the stream, and records its end.
func (s *countedStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if errors.Is(err, io.EOF) {
		s.complete.Store(true)
	}
	return n, err
}

// Close closes the stream. The first call counts the answer and ends the use of the ID.
func (s *countedStream) Close() error {
	err := s.Stream.Close()
	s.closeOnce.Do(func() {
		outcome := Failed
		if s.complete.Load() {
			outcome = Served
		}
		s.counters.count(s.class, outcome)
		s.reservation.Release()
	})
	return err
}
