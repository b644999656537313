package msgpackrpc

import (
	"time"

	"github.com/tinylib/msgp/msgp"
)

// Call holds the parameters of a call. Zero fields are not on the wire.
type Call struct {
	ID             string        // unique for each request
	Class          string        // towards a node
	Tenant         string        // towards a node
	Key            string        // towards a node: what the request is about
	IdempotencyKey string        // by which servers drop duplicates
	Timeout        time.Duration // for the reply; whole milliseconds
	CostHint       time.Duration // estimated work; whole microseconds
	IsRetry        bool          // the client has sent the request before
	Method         string        // of HTTP, where it matters: GET, POST
	Target         string        // path and query
	Authority      string
	ContentType    string
	Body           []byte
}

// fields returns the fields of a call in the order of the wire.
func (c *Call) fields() [13]field {
	return [...]field{
		{name: "id", text: &c.ID},
		{name: "class", text: &c.Class},
		{name: "tenant", text: &c.Tenant},
		{name: "key", text: &c.Key},
		{name: "idempotency_key", text: &c.IdempotencyKey},
		{name: "wait_ms", duration: &c.Timeout, unit: time.Millisecond},
		{name: "hint_us", duration: &c.CostHint, unit: time.Microsecond},
		{name: "retry", flag: &c.IsRetry},
		{name: "method", text: &c.Method},
		{name: "target", text: &c.Target},
		{name: "authority", text: &c.Authority},
		{name: "content_type", text: &c.ContentType},
		{name: "body", bytes: &c.Body},
	}
}

// AppendCall appends the request of a call.
func AppendCall(b []byte, msgid uint32, c *Call) []byte {
	b = msgp.AppendArrayHeader(b, elementCounts[Request])
	b = msgp.AppendUint8(b, uint8(Request))
	b = msgp.AppendUint32(b, msgid)
	b = msgp.AppendString(b, MethodCall)
	b = msgp.AppendArrayHeader(b, 1)
	fields := c.fields()
	return appendFields(b, fields[:])
}

// ParseCall decodes the parameters of a call. Its errors are of type *ProtocolError and name the field.
func ParseCall(params []byte) (c Call, err error) {
	count, rest, err := msgp.ReadArrayHeaderBytes(params)
	if err != nil || count != 1 {
		return c, protocolErrorf("params: want an array of one map")
	}
	fields := c.fields()
	rest, err = parseFields(rest, "params", fields[:])
	if err == nil && len(rest) > 0 {
		err = protocolErrorf("params: malformed")
	}
	return c, err
}
