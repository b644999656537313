package msgpackrpc

import (
	"time"

	"github.com/tinylib/msgp/msgp"
)

// Code is the reason why a call was not served. Its values appear on the wire.
type Code string

// The codes. docs/msgpack-rpc.md specifies what a client may conclude from each code.
const (
	Rejected    Code = "refused"    // safe to retry; an idempotent or fully deduplicated call may have run
	Overloaded  Code = "overloaded" // not forwarded; safe to retry
	NotRun      Code = "not_run"    // sent by servers: the call has not run and will not run
	Malformed   Code = "malformed"  // not forwarded: the call is invalid
	Conflict    Code = "conflict"   // the ID of the call is in use, or was used recently
	Failed      Code = "failed"     // the call may have run
	Expired     Code = "expired"    // the call may have run, and its deadline has passed
	ServerError Code = "error"      // sent by servers: the call may have run
)

// Reply is the answer to a call.
type Reply struct {
	Code        Code          // empty if the call was served
	Text        string        // human-readable reason why the call was not served
	RetryAfter  time.Duration // wait before a retry, encoded in whole milliseconds; 0: unknown
	Body        []byte        // result of a call that was served
	ContentType string        // media type of Body
	Load        string        // load report of a server, in the format of the X-Load header
}

func (r *Reply) errorFields() [3]field {
	return [...]field{
		{name: "code", text: (*string)(&r.Code)},
		{name: "text", text: &r.Text},
		{name: "retry_after_ms", duration: &r.RetryAfter, unit: time.Millisecond},
	}
}

func (r *Reply) resultFields() [3]field {
	return [...]field{
		{name: "body", bytes: &r.Body},
		{name: "content_type", text: &r.ContentType},
		{name: "load", text: &r.Load},
	}
}

// AppendReply encodes r as the response to the call with the given msgid, and appends the encoding to b.
func AppendReply(b []byte, msgid uint32, r *Reply) []byte {
	b = msgp.AppendArrayHeader(b, elementCounts[Response])
	b = msgp.AppendUint8(b, uint8(Response))
	b = msgp.AppendUint32(b, msgid)
	if r.Code == "" {
		fields := r.resultFields()
		return appendFields(msgp.AppendNil(b), fields[:])
	}
	fields := r.errorFields()
	return msgp.AppendNil(appendFields(b, fields[:]))
}

// ParseReply decodes m as a response. The response must have either an error or a result. All errors are of type
// *ProtocolError.
func ParseReply(m Message) (r Reply, err error) {
	switch {
	case (m.Error == nil) == (m.Result == nil):
		return r, protocolErrorf("a response needs either an error or a result")
	case m.Error == nil:
		fields := r.resultFields()
		_, err = parseFields(m.Result, "result", fields[:])
	default:
		fields := r.errorFields()
		if _, err = parseFields(m.Error, "error", fields[:]); err == nil && r.Code == "" {
			err = protocolErrorf("error.code: missing")
		}
	}
	if err != nil {
		return Reply{}, err
	}
	return r, nil
}
