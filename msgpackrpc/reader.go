package msgpackrpc

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// readSize is the initial size of the buffer of a Reader, in bytes. The buffer grows to MaxMessageSize+readSize at
// most.
const readSize = 4 << 10

// ProtocolError describes how a stream or a message violates the protocol. The rest of the stream is unusable,
// because message boundaries are unknown.
type ProtocolError struct{ Problem string }

// Error implements error.
func (e *ProtocolError) Error() string { return "msgpack-rpc: " + e.Problem }

func protocolErrorf(format string, args ...any) error {
	return &ProtocolError{fmt.Sprintf(format, args...)}
}

// Reader splits a stream into messages. It rejects messages beyond the limits. It is not safe for concurrent use.
type Reader struct {
	// BeforeRead, if not nil, is called before each read of the stream, for example to set a deadline. partial is
	// true if part of a message has been read.
	BeforeRead func(partial bool)

	stream     io.Reader
	buf        []byte
	begin, end int // buf[begin:end] holds bytes that Next has not returned yet
	scanner    scanner
}

// NewReader returns a Reader of the messages in stream.
func NewReader(stream io.Reader) *Reader { return &Reader{stream: stream} }

// Next returns the next message, encoded. The slice is valid until the next call.
//
// Next returns io.EOF if the stream ends between two messages, and io.ErrUnexpectedEOF if the stream ends within a
// message. It returns a *ProtocolError if the stream is not a valid message within the limits. Other errors come from
// the stream.
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

// Buffered returns the number of bytes that have been read from the stream and that Next has not returned.
func (r *Reader) Buffered() int { return r.end - r.begin }

// discardReturned moves the bytes that Next has not returned to the start of the buffer. shift is the distance of the
// move. A large buffer without such bytes is released.
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

// fill reads more bytes into the buffer. A full buffer is doubled first, to at most MaxMessageSize+readSize.
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

// IsCompleteMessage reports whether data is exactly one message.
func IsCompleteMessage(data []byte) bool {
	message, err := NewReader(bytes.NewReader(data)).Next()
	return err == nil && len(message) == len(data)
}
