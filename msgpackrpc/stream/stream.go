// Package stream has what both ends of a MessagePack-RPC connection share: the loop that reads messages, the signal
// that wakes the writer, and the bounds of what is written together.
package stream

import (
	"net"
	"time"

	"cobaltward/msgpackrpc"
)

// MaxBatch is the size, in bytes, from which no further message is added to a batch.
const MaxBatch = 64 << 10

// Signal wakes one goroutine. Signals that are sent before it is received are merged into one.
type Signal chan struct{}

// NewSignal returns a signal that has not been sent.
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
	_ = conn.SetWriteDeadline(time.Now().Add(timeout)) // fails only after a close, and then so does Write
	return conn.Write(batch)
}

// Recycle returns the buffer of a batch, emptied, for the next batch; nil if it has grown beyond twice MaxBatch.
func Recycle(buf []byte) []byte {
	if cap(buf) > 2*MaxBatch {
		return nil
	}
	return buf[:0]
}
