package msgpackrpc

import (
	"errors"
	"fmt"
)

// Limits of a message.
const (
	MaxMessageSize = 96 << 10 // bytes; enough for a body of 64 KiB and the other fields
	MaxDepth       = 8        // levels of nesting of arrays and maps
	MaxElements    = 256      // total elements of all arrays and maps; a map entry counts as two
)

var (
	errTooLarge        = fmt.Errorf("over %d bytes", MaxMessageSize)
	errTooDeep         = fmt.Errorf("nested over %d levels", MaxDepth)
	errTooManyElements = fmt.Errorf("over %d elements", MaxElements)
	errReservedByte    = errors.New("the byte 0xc1, which MessagePack never uses")
)

// scanner finds the end of a message that may arrive in pieces. It allocates nothing. It checks each declared length
// against the limits before the caller allocates memory for it. The zero value is ready to use.
type scanner struct {
	head             [9]byte       // type and length of the current value
	headLen          int           // bytes of head that have been read; 0 between values
	payloadRemaining int           // bytes of the current payload that have not been scanned
	valuesRemaining  [MaxDepth]int // values still to come, by open array or map
	depth            int           // number of open arrays and maps
	size             int           // bytes of the message so far, including declared payloads in full
	elements         int           // declared elements of all arrays and maps of the message
}

// scan consumes p, the next bytes of the stream. n is the number of bytes that belong to the message. done reports
// whether the message is complete.
func (s *scanner) scan(p []byte) (n int, done bool, err error) {
	for n < len(p) {
		if s.payloadRemaining > 0 {
			skipped := min(s.payloadRemaining, len(p)-n)
			n, s.payloadRemaining = n+skipped, s.payloadRemaining-skipped
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
			if err := s.handleValueHead(); err != nil {
				return n, false, err
			}
		}
		if s.payloadRemaining > 0 || s.headLen > 0 {
			continue
		}
		if s.depth == 0 {
			*s = scanner{}
			return n, true, nil
		}
	}
	return n, false, nil
}

// lengthBytes returns the number of length bytes that follow first, the first byte of a value. For arrays and maps,
// these bytes hold the number of elements.
func lengthBytes(first byte) int {
	switch first {
	case 0xc4, 0xc7, 0xd9: // bin 8, ext 8, str 8
		return 1
	case 0xc5, 0xc8, 0xda, 0xdc, 0xde: // bin 16, ext 16, str 16, array 16, map 16
		return 2
	case 0xc6, 0xc9, 0xdb, 0xdd, 0xdf: // bin 32, ext 32, str 32, array 32, map 32
		return 4
	}
	return 0
}

// handleValueHead checks the declared length of a value against the limits, once the head of the value is complete.
func (s *scanner) handleValueHead() error {
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
		return s.openContainer(2 * uint64(first&0x0f))
	case first <= 0x9f:
		return s.openContainer(uint64(first & 0x0f))
	case first <= 0xbf:
		s.payloadRemaining = int(first & 0x1f)
	case first == 0xc1:
		return errReservedByte
	case first <= 0xc6 || first >= 0xd9 && first <= 0xdb: // bin, str
		if length > MaxMessageSize {
			return errTooLarge
		}
		s.payloadRemaining = int(length)
	case first <= 0xc9: // ext: the payload begins with a type byte
		if length > MaxMessageSize {
			return errTooLarge
		}
		s.payloadRemaining = int(length) + 1
	case first <= 0xcb: // float
		s.payloadRemaining = 4 << (first - 0xca)
	case first <= 0xd3: // integers
		s.payloadRemaining = 1 << (first & 3)
	case first <= 0xd8: // fixext
		s.payloadRemaining = 1 + 1<<(first-0xd4)
	case first <= 0xdd:
		return s.openContainer(length)
	default:
		return s.openContainer(2 * length)
	}
	if err := s.addSize(s.payloadRemaining); err != nil {
		return err
	}
	s.closeValue()
	return nil
}

// addSize adds declared bytes to the size of the message, and returns errTooLarge beyond the limit.
func (s *scanner) addSize(bytes int) error {
	if s.size += bytes; s.size > MaxMessageSize {
		return errTooLarge
	}
	return nil
}

// openContainer starts an array or map that consists of the given number of values.
func (s *scanner) openContainer(values uint64) error {
	if values > MaxElements || s.elements+int(values) > MaxElements {
		return errTooManyElements
	}
	if values == 0 {
		s.closeValue()
		return nil
	}
	if s.depth == MaxDepth {
		return errTooDeep
	}
	s.elements += int(values)
	s.valuesRemaining[s.depth] = int(values)
	s.depth++
	return nil
}

// closeValue ends a value, and each array or map that ends with the value. The payload of the value may not have
// arrived yet.
func (s *scanner) closeValue() {
	for s.depth > 0 {
		if s.valuesRemaining[s.depth-1]--; s.valuesRemaining[s.depth-1] > 0 {
			return
		}
		s.depth--
	}
}
