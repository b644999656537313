// Package stream contains the parts that both ends of a MessagePack-RPC connection share: the loop that reads
// messages, the signal that wakes the writer, and the size limits of batched writes.
package stream

import (
	"net"
	"time"

	"cobaltward/msgpackrpc"
)

// MaxBatch is the size in bytes from which no further message is added to a batch.
const MaxBatch = 64 << 10

// Signal wakes one goroutine. Notifications are merged into one until the goroutine receives.
type Signal chan struct{}

// NewSignal returns a signal without a pending notification.
func NewSignal() Signal { return make(Signal, 1) }

// Notify wakes the receiving goroutine. It does not block.
func (s Signal) Notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// ReadMessages passes each message of in to handle. It returns the first error of reading, parsing or handle.
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

// WriteBatch writes batch to conn within timeout, and returns the number of bytes written.
func WriteBatch(conn net.Conn, batch []byte, timeout time.Duration) (int, error) {
	_ = conn.SetWriteDeadline(time.Now().Add(timeout)) // fails only after a close; Write then fails too
	return conn.Write(batch)
}

// Recycle returns buf, emptied for reuse, or nil if the capacity of buf exceeds twice MaxBatch.
func Recycle(buf []byte) []byte {
	if cap(buf) > 2*MaxBatch {
		return nil
	}
	return buf[:0]
}
