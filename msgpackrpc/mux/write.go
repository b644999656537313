package mux

import (
	"slices"

	"cobaltward/msgpackrpc/stream"
)

// batch holds calls and notifications that are written together.
type batch struct {
	buf         []byte // encoded notifications, followed by calls
	calls       []*pendingCall
	ends        []int        // index in buf of the end of each call
	begunWrites []WriteGuard // guards that still need a call of EndWrite
}

// endWrites calls EndWrite of each guard that allowed its write.
func (b *batch) endWrites() {
	for i, guard := range b.begunWrites {
		guard.EndWrite()
		b.begunWrites[i] = nil
	}
	b.begunWrites = b.begunWrites[:0]
}

// write writes queued calls and notifications in batches until the connection is closed.
func (c *Conn) write() {
	var next batch
	for {
		select {
		case <-c.writeSignal:
		case <-c.done:
			return
		}
		for {
			c.assemble(&next)
			if len(next.buf) == 0 {
				next.endWrites()
				if c.hasQueued() { // the guards prevented all calls of this batch
					continue
				}
				break
			}
			n, err := stream.WriteBatch(c.nc, next.buf, writeTimeout)
			next.endWrites()
			c.finishWrite(&next, n, err)
			if err != nil {
				return
			}
		}
		next.buf = stream.Recycle(next.buf)
	}
}

func (c *Conn) hasQueued() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

// assemble fills next with queued notifications and calls. It finishes the calls that their guards forbid.
func (c *Conn) assemble(next *batch) {
	taken := c.dequeue(next.calls[:0])
	forbidden := next.beginWrites(taken)
	next.buf, next.calls, next.ends = next.buf[:0], taken[:0], next.ends[:0]
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	next.buf = append(next.buf, c.notifications...)
	c.notifications = c.notifications[:0]
	for _, call := range taken {
		switch err := forbidden[call]; {
		case c.calls[call.id] != call: // the call was abandoned during beginWrites
		case err != nil:
			c.finish(call, outcome{err: &NotSentError{err}})
		default:
			call.state = writing
			next.buf = append(next.buf, call.frame...)
			next.calls = append(next.calls, call)
			next.ends = append(next.ends, len(next.buf))
		}
	}
}

// dequeue moves queued calls to taken until their frames reach stream.MaxBatch.
func (c *Conn) dequeue(taken []*pendingCall) []*pendingCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	count, size := 0, 0
	for count < len(c.queue) && size < stream.MaxBatch {
		size += len(c.queue[count].frame)
		count++
	}
	taken = append(taken, c.queue[:count]...)
	c.queue = slices.Delete(c.queue, 0, count)
	return taken
}

// beginWrites calls BeginWrite of the guards of calls, and returns the errors by call. The caller must not hold
// Conn.mu, because guards are code of the user of the connection.
func (b *batch) beginWrites(calls []*pendingCall) (forbidden map[*pendingCall]error) {
	for _, call := range calls {
		if call.guard == nil {
			continue
		}
		err := call.guard.BeginWrite()
		if err == nil {
			b.begunWrites = append(b.begunWrites, call.guard)
			continue
		}
		if forbidden == nil {
			forbidden = make(map[*pendingCall]error)
		}
		forbidden[call] = err
	}
	return forbidden
}

// finishWrite ends the write of a batch, of which n bytes were written. Only calls whose last byte was written may
// have run.
func (c *Conn) finishWrite(written *batch, n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, call := range written.calls {
		call.frame = nil
		switch {
		case n < written.ends[i]:
			c.finish(call, outcome{err: &NotSentError{err}})
		case c.err != nil: // the connection was closed during the write
			c.finish(call, outcome{err: &NoReplyError{c.err}})
		case err != nil:
			c.finish(call, outcome{err: &NoReplyError{err}})
		default:
			call.state = sent
		}
	}
	if err != nil {
		c.fail(err)
	}
}
