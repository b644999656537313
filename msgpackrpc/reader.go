package msgpackrpc

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// readSize is the initial size of a Reader's buffer, in bytes, and the capacity beyond a message of the largest size.
const readSize = 4 << 10

// ProtocolError describes how a stream or a message violates the protocol. After one, nothing that follows on the
// stream can be trusted.
type ProtocolError struct{ Problem string }

// Error implements error.
func (e *ProtocolError) Error() string { return "msgpack-rpc: " + e.Problem }

func protocolErrorf(format string, args ...any) error {
	return &ProtocolError{fmt.Sprintf(format, args...)}
}

// Reader reads messages within the bounds from a stream. It is not safe for concurrent use.
type Reader struct {
	// BeforeRead, if not nil, is called before each read of the stream, to set deadlines. partial reports whether part of
	// a message has been read.
	BeforeRead func(partial bool)

	stream     io.Reader
	buf        []byte
	begin, end int // buf[begin:end] has been read, and not returned
	scanner    scanner
}

// NewReader returns a reader of a stream.
func NewReader(stream io.Reader) *Reader { return &Reader{stream: stream} }

// Next returns the next message, which is valid until the next call. It returns io.EOF if the stream ends between two
// messages, io.ErrUnexpectedEOF if it ends within one, *ProtocolError for what is not a message, and else the
// stream's own error.
func (r *Reader) Next() ([]byte, error) {
	scanned := r.begin
	for {
		n, done, err := r.scanner.scan(r.buf[scanned:r.end])
		if err != nil {
			return nil, protocolErrorf("a message: %v", err)
		}
		scanned += n
		if done {
			message := r.buf[r.begin:scanned]
			r.begin = scanned
			return message, nil
		}
		scanned -= r.discardReturned()
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// discardReturned moves the message that is being read to the start of the buffer, and returns by how many bytes. An
// empty large buffer is released.
func (r *Reader) discardReturned() (shift int) {
	shift = r.begin
	if shift == 0 {
		return 0
	}
	partial := r.buf[r.begin:r.end]
	if len(partial) == 0 && len(r.buf) > 4*readSize {
		r.buf = nil
	} else {
		copy(r.buf, partial)
	}
	r.begin, r.end = 0, len(partial)
	return shift
}

// fill reads more of the stream into the buffer, which it grows to hold one message of the largest size at most.
func (r *Reader) fill() error {
	if r.end == len(r.buf) {
		larger := make([]byte, min(max(readSize, 2*len(r.buf)), MaxMessageSize+readSize))
		copy(larger, r.buf[:r.end])
		r.buf = larger
	}
	if r.BeforeRead != nil {
		r.BeforeRead(r.end > 0)
	}
	n, err := r.stream.Read(r.buf[r.end:])
	r.end += n
	switch {
	case n > 0:
		return nil
	case err == nil:
		return io.ErrNoProgress
	case errors.Is(err, io.EOF) && r.end > 0:
		return io.ErrUnexpectedEOF
	}
	return err
}

// IsCompleteMessage reports whether the bytes are exactly one message.
func IsCompleteMessage(data []byte) bool {
	message, err := NewReader(bytes.NewReader(data)).Next()
	return err == nil && len(message) == len(data)
}
