// Package stream contains what both ends of a MessagePack-RPC connection share: the loop that reads messages, the
// signal that wakes the writer, and the size limits of batched writes.
package stream

import (
	"net"
	"time"

	"cobaltward/msgpackrpc"
)

// MaxBatch is the size, in bytes, at which no further message is added to a batch.
const MaxBatch = 64 << 10

// Signal wakes one goroutine. Several notifications before the goroutine receives are merged into one.
type Signal chan struct{}

// NewSignal returns a signal without a pending notification.
func NewSignal() Signal { return make(Signal, 1) }

// Notify sends the signal without blocking.
func (s Signal) Notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// ReadMessages passes each message to handle until reading, parsing or handle fails, and returns that error.
func ReadMessages(in *msgpackrpc.Reader, handle func(msgpackrpc.Message) error) error {
	for {
		raw, err := in.Next()
		if err != nil {
			return err
		}
		message, err := msgpackrpc.Parse(raw)
		if err != nil {
			return err
		}
		if err := handle(message); err != nil {
			return err
		}
	}
}

// WriteBatch writes a batch within timeout, and returns how many bytes were written.
func WriteBatch(conn net.Conn, batch []byte, timeout time.Duration) (int, error) {
	_ = conn.SetWriteDeadline(time.Now().Add(timeout)) // fails only after a close, and then Write fails too
	return conn.Write(batch)
}

// Recycle returns the emptied buffer of a batch for reuse, or nil if its capacity is more than twice MaxBatch.
func Recycle(buf []byte) []byte {
	if cap(buf) > 2*MaxBatch {
		return nil
	}
	return buf[:0]
}
