package msgpack

import (
	"time"

	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/stream"
	"cobaltward/router"
)

// minLongAnswer is the minimum size of an answer whose ID stays in use until the kernel has sent the answer, in bytes.
// It limits the memory: the kernel's send buffer holds few such answers of a client that does not read.
const minLongAnswer = 4 << 10

// write writes notifications and answers in batches until the write side is closed or a write fails.
func (c *conn) write() {
	defer close(c.writerDone)
	var buf []byte
	var batch []answer
	for range c.writeSignal {
		buf, batch = c.takeQueued(buf, batch)
		var written bool
		if buf, written = c.writeBatch(buf, batch); !written {
			return
		}
		if c.endIfFinished() {
			return
		}
		buf = stream.Recycle(buf)
	}
}

// writeBatch writes buf, which contains notifications, and batch. It returns buf for reuse, and false if a write fails.
func (c *conn) writeBatch(buf []byte, batch []answer) ([]byte, bool) {
	defer c.releaseAnswers(batch) // after a failure, also the answers that were not written
	first := 0                    // index of the first answer in buf
	for i := range batch {
		before := len(buf)
		buf = msgpackrpc.AppendReply(buf, batch[i].msgid, &batch[i].reply)
		batch[i].size = len(buf) - before
		batch[i].reply = msgpackrpc.Reply{} // release the body for garbage collection
		if len(buf) >= stream.MaxBatch {
			if !c.flush(buf, batch[first:i+1]) {
				return nil, false
			}
			c.releaseWhenSent(batch[first : i+1])
			buf, first = buf[:0], i+1
		}
	}
	if !c.flush(buf, batch[first:]) {
		return nil, false
	}
	c.releaseWhenSent(batch[first:])
	return buf, true
}

// releaseWhenSent releases the IDs of the calls with the given answers, which have been written. The IDs of calls with
// long answers are released once the kernel has sent the answers.
func (c *conn) releaseWhenSent(answers []answer) {
	var unsent []*router.IDReservation
	for i := range answers {
		if answers[i].size >= minLongAnswer {
			unsent = append(unsent, answers[i].reservation)
			answers[i].reservation = nil
		}
	}
	c.releaseAnswers(answers)
	if len(unsent) > 0 {
		c.sendQueue.WhenSent(func() { releaseReservations(unsent) })
	}
}

func releaseReservations(reservations []*router.IDReservation) {
	for _, reservation := range reservations {
		reservation.Release()
	}
}

// releaseAnswers releases the IDs of the calls with the given answers, and lets the server admit other calls.
func (c *conn) releaseAnswers(answers []answer) {
	for i := range answers {
		answers[i].reservation.Release()
		answers[i].reservation = nil
		if answers[i].admitted {
			c.server.releaseCall(answers[i].bodySize)
			answers[i].admitted = false
		}
	}
}

// takeQueued removes and returns the queued notifications, encoded, and the queued answers. It reuses buf and batch.
func (c *conn) takeQueued(buf []byte, batch []answer) ([]byte, []answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	buf = append(buf[:0], c.notifications...)
	c.notifications = nil
	batch, c.queuedAnswers = c.queuedAnswers, batch[:0]
	return buf, batch
}

// flush writes buf, which contains answers, and frees their call slots. It returns false if the write fails.
func (c *conn) flush(buf []byte, answers []answer) bool {
	if len(buf) == 0 {
		return true
	}
	_, err := stream.WriteBatch(c.nc, buf, c.server.config.WriteTimeout)
	if err != nil {
		c.closeQueue()
	}
	c.mu.Lock()
	c.recordWrite(answers, err)
	c.startQueued()
	idle := c.isIdle()
	if idle && c.incoming.begunAt.IsZero() && !c.writeClosed { // the reader may wait without a deadline
		_ = c.reader.SetReadDeadline(c.idleDeadline())
	}
	c.mu.Unlock()
	c.writeDone.Notify()
	if idle {
		c.server.connIdle()
	}
	if err != nil {
		c.closeSocket() // makes the reader return
	}
	return err == nil
}

// recordWrite records the result of writing answers. c.mu is held.
func (c *conn) recordWrite(answers []answer, err error) {
	for i := range answers {
		if answers[i].admitted {
			c.callSlotsInUse--
		} else {
			c.unwrittenLocal.Add(-1)
		}
	}
	c.unwrittenAnswers -= len(answers)
	c.answerWritten = c.answerWritten || len(answers) > 0
	c.answerWriteFailed = c.answerWriteFailed || len(answers) > 0 && err != nil
}

// endIfFinished closes the write side if message handling has ended and nothing is left to write. If a drain is
// complete, it makes the reader close the write side, because the reader can exclude that a call has arrived. It
// returns whether the write side is closed.
func (c *conn) endIfFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writeClosed || !c.isIdle() || len(c.notifications) > 0:
	case c.closing, c.isDrained() && c.isHandshaking():
		c.closeWriteSide(endedByDrain)
	case c.draining:
		if c.isDrained() {
			_ = c.reader.SetReadDeadline(time.Now())
		}
		c.drainRecheck.Reset(drainRecheckInterval)
	}
	return c.writeClosed
}
