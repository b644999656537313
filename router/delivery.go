package router

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// delivery is a long answer on its way to who asked. It counts as served once all of it was read, and as failed
// where it was closed before.
type delivery struct {
	Stream
	tally *tally
	class string
	whole atomic.Bool
	once  sync.Once
}

func (d *delivery) Read(p []byte) (int, error) {
	n, err := d.Stream.Read(p)
	if errors.Is(err, io.EOF) {
		d.whole.Store(true)
	}
	return n, err
}

func (d *delivery) Close() error {
	err := d.Stream.Close()
	d.once.Do(func() {
		o := Failed
		if d.whole.Load() {
			o = Served
		}
		d.tally.count(d.class, o)
		d.tally.inflight.Add(-1)
	})
	return err
}
