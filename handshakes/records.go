package handshakes

import "encoding/binary"

// Layout of the header of a TLS record.
const (
	recordHeaderSize   = 5
	recordLengthOffset = 3
)

// recordTracker tracks the boundaries of TLS records in a stream of bytes.
type recordTracker struct {
	header     [recordHeaderSize]byte
	headerSize int // number of received bytes of the current header
	remaining  int // number of missing bytes of the current record's content
}

// advance processes the next bytes of the stream. It returns the number of records that these bytes complete, and
// whether these bytes end within a record.
func (t *recordTracker) advance(data []byte) (completed int, within bool) {
	for len(data) > 0 {
		if t.remaining > 0 {
			n := min(t.remaining, len(data))
			t.remaining -= n
			data = data[n:]
			if t.remaining == 0 {
				completed++
			}
			continue
		}
		n := copy(t.header[t.headerSize:], data)
		t.headerSize += n
		data = data[n:]
		if t.headerSize == recordHeaderSize {
			t.headerSize = 0
			t.remaining = int(binary.BigEndian.Uint16(t.header[recordLengthOffset:]))
			if t.remaining == 0 {
				completed++
			}
		}
	}
	return completed, t.headerSize > 0 || t.remaining > 0
}
