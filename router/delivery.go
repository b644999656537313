package router

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// countedStream is a long answer on its way to who asked. It counts as served once all of it was read, and as failed
// where it was closed before.
type countedStream struct {
	Stream
	tally     *counters
	class     string
	complete  atomic.Bool
	closeOnce sync.Once
}

func (d *countedStream) Read(p []byte) (int, error) {
	n, err := d.Stream.Read(p)
	if errors.Is(err, io.EOF) {
		d.complete.Store(true)
	}
	return n, err
}

func (d *countedStream) Close() error {
	err := d.Stream.Close()
	d.closeOnce.Do(func() {
		o := Failed
		if d.complete.Load() {
			o = Served
		}
		d.tally.count(d.class, o)
		d.tally.inFlight.Add(-1)
	})
	return err
}
