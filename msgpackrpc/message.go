// Package msgpackrpc encodes and decodes the messages specified in docs/msgpack-rpc.md: MessagePack-RPC with one
// method. It limits the size of messages, and does not handle connections.
package msgpackrpc

import (
	"github.com/tinylib/msgp/msgp"
)

// Kind is the type of a message. Its values are those of the MessagePack-RPC specification.
type Kind uint8

// The kinds of message.
const (
	Request      Kind = iota // [0, msgid, method, params]
	Response                 // [1, msgid, error, result]
	Notification             // [2, method, params]
)

// elementCounts is the number of elements in the array that encodes a message, by kind.
var elementCounts = [...]uint32{Request: 4, Response: 4, Notification: 3}

// The methods of the protocol.
const (
	MethodCall   = "call"   // request [params]
	MethodCancel = "cancel" // notification [msgid]: the client no longer waits for the reply
	MethodDrain  = "drain"  // notification []: no new calls are accepted on this connection
	MethodError  = "error"  // notification [text]: reason why the connection is about to be closed
)

// Message is one decoded message. The slices share memory with the argument of Parse.
type Message struct {
	Kind   Kind
	ID     uint32 // msgid of a Request or Response
	Method string // method of a Request or Notification
	Params []byte // encoded array of a Request or Notification
	Error  []byte // encoded error of a Response; nil: no error
	Result []byte // encoded result of a Response; nil: no result
}

// Parse decodes raw, one complete message. All errors are of type *ProtocolError.
func Parse(raw []byte) (m Message, err error) {
	count, rest, err := msgp.ReadArrayHeaderBytes(raw)
	if err != nil {
		return m, protocolErrorf("message: want an array")
	}
	kind, rest, err := msgp.ReadUint8Bytes(rest)
	if err != nil || kind > uint8(Notification) {
		return m, protocolErrorf("message: unknown type")
	}
	m.Kind = Kind(kind)
	if want := elementCounts[m.Kind]; count != want {
		return m, protocolErrorf("message of type %d: got %d elements, want %d", kind, count, want)
	}
	if m.Kind != Notification {
		if m.ID, rest, err = msgp.ReadUint32Bytes(rest); err != nil {
			return m, protocolErrorf("msgid: want a number of 32 bits")
		}
	}
	if m.Kind == Response {
		err = m.parseResponse(rest)
	} else {
		err = m.parseMethod(rest)
	}
	return m, err
}

// parseResponse decodes the error and the result of a response.
func (m *Message) parseResponse(raw []byte) (err error) {
	if m.Error, raw, err = readValue(raw); err == nil {
		m.Result, raw, err = readValue(raw)
	}
	if err != nil || len(raw) > 0 {
		return protocolErrorf("malformed response")
	}
	return nil
}

// parseMethod decodes the method and the params of a request or notification.
func (m *Message) parseMethod(raw []byte) error {
	method, raw, err := msgp.ReadStringZC(raw)
	if err != nil {
		return protocolErrorf("method: want a text")
	}
	m.Method = string(method)
	if msgp.NextType(raw) != msgp.ArrayType {
		return protocolErrorf("params: want an array")
	}
	if m.Params, raw, err = readValue(raw); err != nil || len(raw) > 0 {
		return protocolErrorf("params: malformed")
	}
	return nil
}

// readValue splits raw into the encoding of its first value and the bytes after it. value is nil for the value nil of
// MessagePack.
func readValue(raw []byte) (value, rest []byte, err error) {
	rest, err = msgp.Skip(raw)
	if err != nil {
		return nil, nil, err
	}
	if msgp.IsNil(raw) {
		return nil, rest, nil
	}
	return raw[:len(raw)-len(rest)], rest, nil
}

// AppendCancel appends to b a MethodCancel notification for the call with the given msgid.
func AppendCancel(b []byte, msgid uint32) []byte {
	return msgp.AppendUint32(appendNotification(b, MethodCancel, 1), msgid)
}

// AppendDrain appends to b a MethodDrain notification.
func AppendDrain(b []byte) []byte { return appendNotification(b, MethodDrain, 0) }

// AppendError appends to b a MethodError notification with the reason text.
func AppendError(b []byte, text string) []byte {
	return msgp.AppendString(appendNotification(b, MethodError, 1), text)
}

// appendNotification appends to b the beginning of a notification. The caller must append params values.
func appendNotification(b []byte, method string, params uint32) []byte {
	b = msgp.AppendArrayHeader(b, elementCounts[Notification])
	b = msgp.AppendUint8(b, uint8(Notification))
	b = msgp.AppendString(b, method)
	return msgp.AppendArrayHeader(b, params)
}

// CancelledID returns the msgid of the call that m, a MethodCancel notification, cancels. ok is false if m is
// malformed.
func CancelledID(m Message) (msgid uint32, ok bool) {
	count, rest, err := msgp.ReadArrayHeaderBytes(m.Params)
	if err != nil || count != 1 {
		return 0, false
	}
	msgid, _, err = msgp.ReadUint32Bytes(rest)
	return msgid, err == nil
}
