package msgpackrpc

import (
	"errors"
	"fmt"
)

// Limits of a message.
const (
	MaxMessageSize = 96 << 10 // bytes: a body of 64 KiB and the other fields
	MaxDepth       = 8        // levels of nested arrays and maps
	MaxElements    = 256      // in all arrays and maps together; a map entry counts as two
)

var (
	errTooLarge        = fmt.Errorf("over %d bytes", MaxMessageSize)
	errTooDeep         = fmt.Errorf("nested over %d levels", MaxDepth)
	errTooManyElements = fmt.Errorf("over %d elements", MaxElements)
	errReservedByte    = errors.New("the byte 0xc1, which MessagePack never uses")
)

// scanner finds the end of a message that arrives in pieces. It allocates nothing, and rejects a declared length beyond
// the limits before memory is allocated for it. The zero value is ready to use.
type scanner struct {
	head      [9]byte // of the value that is being read: its type, and its length
	headLen   int
	skip      int           // bytes of the payload that have not arrived
	remaining [MaxDepth]int // values missing, of each open array or map
	depth     int
	size      int // bytes of the message so far, including payload that is declared
	elements  int
}

// scan consumes the next bytes of a message. It returns how many of them belong to the message, and whether it ends.
func (s *scanner) scan(p []byte) (n int, done bool, err error) {
	for n < len(p) {
		if s.skip > 0 {
			skipped := min(s.skip, len(p)-n)
			n, s.skip = n+skipped, s.skip-skipped
		} else {
			if s.headLen == 0 {
				if s.size++; s.size > MaxMessageSize {
					return n, false, errTooLarge
				}
			}
			s.head[s.headLen] = p[n]
			s.headLen++
			n++
			if s.headLen < 1+lengthBytes(s.head[0]) {
				continue
			}
			if err := s.value(); err != nil {
				return n, false, err
			}
		}
		if s.skip > 0 || s.headLen > 0 {
			continue
		}
		if s.depth == 0 {
			*s = scanner{}
			return n, true, nil
		}
	}
	return n, false, nil
}

// lengthBytes returns the size of the length, or of the number of elements, that follows the first byte of a value.
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

// value handles the complete head of a value.
func (s *scanner) value() error {
	first, length := s.head[0], uint64(0)
	for _, b := range s.head[1:s.headLen] {
		length = length<<8 | uint64(b)
	}
	if err := s.addSize(s.headLen - 1); err != nil {
		return err
	}
	s.headLen = 0
	switch {
	case first <= 0x7f || first >= 0xe0 || first == 0xc0 || first == 0xc2 || first == 0xc3: // numbers, nil, booleans
	case first <= 0x8f:
		return s.open(2 * uint64(first&0x0f))
	case first <= 0x9f:
		return s.open(uint64(first & 0x0f))
	case first <= 0xbf:
		s.skip = int(first & 0x1f)
	case first == 0xc1:
		return errReservedByte
	case first <= 0xc6 || first >= 0xd9 && first <= 0xdb: // bin, str
		if length > MaxMessageSize {
			return errTooLarge
		}
		s.skip = int(length)
	case first <= 0xc9: // ext, with its type
		if length > MaxMessageSize {
			return errTooLarge
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
	if err := s.addSize(s.skip); err != nil {
		return err
	}
	s.close()
	return nil
}

// addSize adds declared bytes to the size of the message.
func (s *scanner) addSize(bytes int) error {
	if s.size += bytes; s.size > MaxMessageSize {
		return errTooLarge
	}
	return nil
}

// open begins an array or map of a number of values.
func (s *scanner) open(values uint64) error {
	if values > MaxElements || s.elements+int(values) > MaxElements {
		return errTooManyElements
	}
	if values == 0 {
		s.close()
		return nil
	}
	if s.depth == MaxDepth {
		return errTooDeep
	}
	s.elements += int(values)
	s.remaining[s.depth] = int(values)
	s.depth++
	return nil
}

// close ends a value, and the arrays and maps whose last value it is. Its payload may not have arrived.
func (s *scanner) close() {
	for s.depth > 0 {
		if s.remaining[s.depth-1]--; s.remaining[s.depth-1] > 0 {
			return
		}
		s.depth--
	}
}
