package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// The MessagePack that the cases need, after the published format.

func packString(b []byte, s string) []byte {
	switch {
	case len(s) < 32:
		b = append(b, 0xa0|byte(len(s)))
	case len(s) < 256:
		b = append(b, 0xd9, byte(len(s)))
	default:
		b = binary.BigEndian.AppendUint16(append(b, 0xda), uint16(len(s)))
	}
	return append(b, s...)
}

func packBytes(b, data []byte) []byte {
	b = binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(len(data)))
	return append(b, data...)
}

func packUint(b []byte, n uint32) []byte { return binary.BigEndian.AppendUint32(append(b, 0xce), n) }

// packCall returns the request [0, msgid, "call", [map]] for r.
func packCall(msgid uint32, r request) []byte {
	b := packUint([]byte{0x94, 0x00}, msgid)
	b = packString(b, "call")
	fields := byte(5)
	if r.class != "hladanie" {
		fields++
	}
	b = append(b, 0x91, 0x80|fields)
	b = packString(packString(b, "id"), r.id)
	b = packString(packString(b, "class"), r.class)
	b = packString(packString(b, "tenant"), "dielna-bystrica")
	b = packString(packString(b, "target"), "/api?q="+r.id)
	b = packUint(packString(b, "wait_ms"), uint32(r.deadline.Milliseconds()))
	if r.class != "hladanie" {
		b = packBytes(packString(b, "body"), []byte(r.body))
	}
	return b
}

var errFormat = errors.New("not MessagePack that a node sends")

// unpack reads one value: nil, a bool, a number, a string, bytes, []any or map[string]any.
func unpack(in *bufio.Reader) (any, error) {
	first, err := in.ReadByte()
	if err != nil {
		return nil, err
	}
	length := func(size int) (int, error) {
		raw := make([]byte, 8)
		_, err := io.ReadFull(in, raw[8-size:])
		return int(binary.BigEndian.Uint64(raw)), err
	}
	data := func(n int, err error) ([]byte, error) {
		if err != nil || n < 0 || n > 1<<20 {
			return nil, errors.Join(err, errFormat)
		}
		raw := make([]byte, n)
		_, err = io.ReadFull(in, raw)
		return raw, err
	}
	text := func(n int, err error) (any, error) {
		raw, err := data(n, err)
		return string(raw), err
	}
	switch {
	case first <= 0x7f:
		return int(first), nil
	case first <= 0x8f:
		m := make(map[string]any)
		for range first & 0x0f {
			key, err := unpack(in)
			if err != nil {
				return nil, err
			}
			if m[fmt.Sprint(key)], err = unpack(in); err != nil {
				return nil, err
			}
		}
		return m, nil
	case first <= 0x9f:
		list := make([]any, first&0x0f)
		for i := range list {
			if list[i], err = unpack(in); err != nil {
				return nil, err
			}
		}
		return list, nil
	case first <= 0xbf:
		return text(int(first&0x1f), nil)
	case first >= 0xe0:
		return int(int8(first)), nil
	}
	switch first {
	case 0xc0:
		return nil, nil
	case 0xc2, 0xc3:
		return first == 0xc3, nil
	case 0xc4, 0xc5, 0xc6:
		return data(length(1 << (first - 0xc4)))
	case 0xd9, 0xda, 0xdb:
		return text(length(1 << (first - 0xd9)))
	case 0xcc, 0xcd, 0xce, 0xcf:
		return length(1 << (first - 0xcc))
	case 0xd0, 0xd1, 0xd2, 0xd3:
		return length(1 << (first - 0xd0))
	}
	return nil, errFormat
}
