package msgpackrpc

import (
	"time"

	"github.com/tinylib/msgp/msgp"
)

// Call holds the parameters of a call. Fields with a zero value are not encoded.
type Call struct {
	ID             string        // unique ID of the request
	Class          string        // class of the request; only in calls to a node
	Tenant         string        // tenant that sends the request; only in calls to a node
	Key            string        // object of the request; only in calls to a node
	IdempotencyKey string        // key by which servers detect duplicates
	Timeout        time.Duration // time until the reply is due; encoded in whole milliseconds
	CostHint       time.Duration // estimated work of the server; encoded in whole microseconds
	IsRetry        bool          // whether the client has sent this request before
	Method         string        // HTTP method, such as GET or POST; may be empty
	Target         string        // path and query of the URL
	Authority      string        // host and optional port of the URL
	ContentType    string
	Body           []byte
}

// fields returns the fields of a call in the order in which they are encoded.
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
		{name: "body", bytes: &c.Body, shared: true},
	}
}

// AppendCall encodes c as the request message msgid, and appends the encoding to b.
func AppendCall(b []byte, msgid uint32, c *Call) []byte {
	b = msgp.AppendArrayHeader(b, elementCounts[Request])
	b = msgp.AppendUint8(b, uint8(Request))
	b = msgp.AppendUint32(b, msgid)
	b = msgp.AppendString(b, MethodCall)
	b = msgp.AppendArrayHeader(b, 1)
	fields := c.fields()
	return appendFields(b, fields[:])
}

// ParseCall decodes params, the parameters of a call. The body shares memory with params. All errors are of type
// *ProtocolError and name the invalid part.
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
