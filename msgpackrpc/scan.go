package msgpackrpc

import (
	"errors"
	"fmt"
	"io"
)

// Bounds of a message, whoever sends it.
const (
	MaxMessageSize = 96 << 10 // bytes: a body of 64 KiB and the names around it
	MaxDepth       = 8        // of arrays and maps within one another
	MaxElements    = 256      // of all arrays and maps together
)

var (
	errLarge    = fmt.Errorf("over %d bytes", MaxMessageSize)
	errDeep     = fmt.Errorf("nested over %d levels", MaxDepth)
	errElements = fmt.Errorf("over %d elements", MaxElements)
	errUnused   = errors.New("the byte 0xc1, which MessagePack never uses")
)

// scanner finds where a message ends in bytes that come in pieces. It allocates nothing, and refuses a
// length that is claimed before anybody makes room for it. The zero value is ready to use.
type scanner struct {
	head     [9]byte // of the value that is being read
	have     int
	skip     int // bytes of its payload that are still to come
	left     [MaxDepth]int
	depth    int
	size     int // bytes of the message so far, and those that are claimed
	elements int
}

// scan takes the message's next bytes, and reports how many of them are its own, and whether it ends.
func (s *scanner) scan(p []byte) (n int, done bool, err error) {
	for n < len(p) {
		if s.skip > 0 {
			m := min(s.skip, len(p)-n)
			n, s.skip = n+m, s.skip-m
		} else {
			if s.have == 0 {
				if s.size++; s.size > MaxMessageSize {
					return n, false, errLarge
				}
			}
			s.head[s.have] = p[n]
			s.have++
			n++
			if s.have < 1+lengthBytes(s.head[0]) {
				continue
			}
			if err := s.value(); err != nil {
				return n, false, err
			}
		}
		if s.skip > 0 || s.have > 0 {
			continue
		}
		if s.depth == 0 {
			*s = scanner{}
			return n, true, nil
		}
	}
	return n, false, nil
}

// lengthBytes is how many bytes behind a value's first say how long it is, or how many elements it has.
func lengthBytes(first byte) int {
	switch first {
	case 0xc4, 0xc7, 0xd9: // bin 8, ext 8, str 8
		return 1
	case 0xc5, 0xc8, 0xda, 0xdc, 0xde: // bin 16, ext 16, str 16, array 16, map 16
		return 2
	case 0xc6, 0xc9, 0xdb, 0xdd, 0xdf: // the same in 32
		return 4
	}
	return 0
}

// value takes the head of a value that is there whole.
func (s *scanner) value() error {
	first, length := s.head[0], uint64(0)
	for _, b := range s.head[1:s.have] {
		length = length<<8 | uint64(b)
	}
	if err := s.claim(s.have - 1); err != nil {
		return err
	}
	s.have = 0
	switch {
	case first <= 0x7f || first >= 0xe0 || first == 0xc0 || first == 0xc2 || first == 0xc3: // numbers, nil, booleans
	case first <= 0x8f:
		return s.open(2 * uint64(first&0x0f))
	case first <= 0x9f:
		return s.open(uint64(first & 0x0f))
	case first <= 0xbf:
		s.skip = int(first & 0x1f)
	case first == 0xc1:
		return errUnused
	case first <= 0xc6 || first >= 0xd9 && first <= 0xdb: // bin, str
		if length > MaxMessageSize {
			return errLarge
		}
		s.skip = int(length)
	case first <= 0xc9: // ext, with its type
		if length > MaxMessageSize {
			return errLarge
		}
		s.skip = int(length) + 1
	case first <= 0xcb: // float
		s.skip = 4 << (first - 0xca)
	case first <= 0xd3: // integers
		s.skip = 1 << (first & 3)
	case first <= 0xd8: // fixext
		s.skip = 1 + 1<<(first-0xd4)
	case first <= 0xdd:
		return s.open(length)
	default:
		return s.open(2 * length)
	}
	if err := s.claim(s.skip); err != nil {
		return err
	}
	s.close()
	return nil
}

func (s *scanner) claim(bytes int) error {
	if s.size += bytes; s.size > MaxMessageSize {
		return errLarge
	}
	return nil
}

// open begins an array or a map of so many values.
func (s *scanner) open(values uint64) error {
	if values > MaxElements || s.elements+int(values) > MaxElements {
		return errElements
	}
	if values == 0 {
		s.close()
		return nil
	}
	if s.depth == MaxDepth {
		return errDeep
	}
	s.elements += int(values)
	s.left[s.depth] = int(values)
	s.depth++
	return nil
}

// close ends a value, and the arrays and maps that end with it. The payload of one may still be to come.
func (s *scanner) close() {
	for s.depth > 0 {
		if s.left[s.depth-1]--; s.left[s.depth-1] > 0 {
			return
		}
		s.depth--
	}
}

// Reader reads messages from a stream, each whole and within the bounds. It isn't safe for concurrent use.
type Reader struct {
	// BeforeRead, where it is set, is called before each read of the stream: partial tells whether part of a
	// message has come. It is where deadlines are set.
	BeforeRead func(partial bool)

	from       io.Reader
	buf        []byte
	begin, end int // what has been read and not given out
	s          scanner
}

const readSize = 4 << 10

// NewReader returns a reader of a stream.
func NewReader(from io.Reader) *Reader { return &Reader{from: from} }

// A ProtocolError says how a stream or a message breaks the protocol. What follows on the stream can't be
// trusted.
type ProtocolError struct{ Problem string }

func (e *ProtocolError) Error() string { return "msgpack-rpc: " + e.Problem }

func broken(format string, args ...any) error { return &ProtocolError{fmt.Sprintf(format, args...)} }

// Next returns the next message, which holds until the next call. It returns io.EOF where the stream ends
// between two messages, io.ErrUnexpectedEOF within one, *ProtocolError for what is no message, and else
// the stream's own error.
func (r *Reader) Next() ([]byte, error) {
	scanned := r.begin
	for {
		n, done, err := r.s.scan(r.buf[scanned:r.end])
		if err != nil {
			return nil, broken("a message: %v", err)
		}
		scanned += n
		if done {
			m := r.buf[r.begin:scanned]
			r.begin = scanned
			return m, nil
		}
		if err := r.fill(&scanned); err != nil {
			return nil, err
		}
	}
}

// fill reads more. The buffer holds a message at most, and shrinks again behind a large one.
func (r *Reader) fill(scanned *int) error {
	if r.begin > 0 {
		held := r.buf[r.begin:r.end]
		if len(held) == 0 && len(r.buf) > 4*readSize {
			r.buf = nil
		} else {
			copy(r.buf, held)
		}
		*scanned, r.begin, r.end = *scanned-r.begin, 0, len(held)
	}
	if r.end == len(r.buf) {
		bigger := make([]byte, min(max(readSize, 2*len(r.buf)), MaxMessageSize+readSize))
		copy(bigger, r.buf[:r.end])
		r.buf = bigger
	}
	if r.BeforeRead != nil {
		r.BeforeRead(r.end > 0)
	}
	n, err := r.from.Read(r.buf[r.end:])
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
