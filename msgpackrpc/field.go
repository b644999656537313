package msgpackrpc

import (
	"bytes"
	"errors"
	"math"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// field is one entry of an encoded map. Exactly one of text, duration, flag and bytes is set; it points to the value.
type field struct {
	name     string
	text     *string
	duration *time.Duration
	unit     time.Duration // unit in which duration is encoded
	flag     *bool
	bytes    *[]byte
	shared   bool // whether parsed bytes share memory with the message
}

// appendFields appends to b a map of the fields that are not zero. fields has fewer than 16 entries.
func appendFields(b []byte, fields []field) []byte {
	b = msgp.AppendMapHeader(b, 0)
	header := len(b) - 1
	for i := range fields {
		if fields[i].isZero() {
			continue
		}
		b[header]++ // the low four bits of a fixmap's header are the number of entries
		b = msgp.AppendString(b, fields[i].name)
		b = fields[i].appendValue(b)
	}
	return b
}

// isZero reports whether the value is zero and therefore not encoded. A duration below unit counts as zero.
func (f *field) isZero() bool {
	switch {
	case f.text != nil:
		return *f.text == ""
	case f.duration != nil:
		return *f.duration < f.unit
	case f.flag != nil:
		return !*f.flag
	}
	return len(*f.bytes) == 0
}

func (f *field) appendValue(b []byte) []byte {
	switch {
	case f.text != nil:
		return msgp.AppendString(b, *f.text)
	case f.duration != nil:
		return msgp.AppendUint64(b, uint64(*f.duration/f.unit))
	case f.flag != nil:
		return msgp.AppendBool(b, *f.flag)
	}
	return msgp.AppendBytes(b, *f.bytes)
}

// parseFields decodes the map at the start of raw into fields, and returns the bytes after the map. what names the
// map in error messages. Unknown names are skipped, because a later version may add some. A duplicate name is an
// error, because two readers could use different values.
func parseFields(raw []byte, what string, fields []field) ([]byte, error) {
	count, raw, err := msgp.ReadMapHeaderBytes(raw)
	if err != nil {
		return nil, protocolErrorf("%s: want a map", what)
	}
	seen := uint32(0) // bit i is set if fields[i] has been read
	for range count {
		var name []byte
		if name, raw, err = msgp.ReadStringZC(raw); err != nil {
			return nil, protocolErrorf("%s: want a text as name", what)
		}
		at := indexOf(fields, name)
		if at < 0 {
			if raw, err = msgp.Skip(raw); err != nil {
				return nil, protocolErrorf("%s: malformed", what)
			}
			continue
		}
		if seen&(1<<at) != 0 {
			return nil, protocolErrorf("%s.%s: given twice", what, name)
		}
		seen |= 1 << at
		if raw, err = fields[at].parse(raw); err != nil {
			return nil, protocolErrorf("%s.%s: %v", what, name, err)
		}
	}
	return raw, nil
}

// indexOf returns the index of the field called name, or -1.
func indexOf(fields []field, name []byte) int {
	for i := range fields {
		if fields[i].name == string(name) {
			return i
		}
	}
	return -1
}

func (f *field) parse(raw []byte) (rest []byte, err error) {
	switch {
	case f.text != nil:
		if *f.text, rest, err = msgp.ReadStringBytes(raw); err != nil {
			return nil, errors.New("want a text")
		}
	case f.duration != nil:
		var n uint64
		if n, rest, err = msgp.ReadUint64Bytes(raw); err != nil || n > uint64(math.MaxInt64/f.unit) {
			return nil, errors.New("want a whole number of 0 or more")
		}
		*f.duration = time.Duration(n) * f.unit
	case f.flag != nil:
		if *f.flag, rest, err = msgp.ReadBoolBytes(raw); err != nil {
			return nil, errors.New("want true or false")
		}
	default:
		if *f.bytes, rest, err = msgp.ReadBytesZC(raw); err != nil {
			return nil, errors.New("want bytes")
		}
		if !f.shared {
			*f.bytes = bytes.Clone(*f.bytes)
		}
	}
	return rest, nil
}
