package msgpackrpc

import (
	"time"

	"github.com/tinylib/msgp/msgp"
)

// Code says why a call was not served.
type Code string

// The codes. docs/msgpack-rpc.md says what each one proves.
const (
	Rejected    Code = "refused"    // not forwarded; safe to retry
	Overloaded  Code = "overloaded" // not forwarded; safe to retry
	NotRun      Code = "not_run"    // of a server: it has not run the call, and will not
	Malformed   Code = "malformed"  // not accepted
	Conflict    Code = "conflict"   // the ID is in use, or was lately
	Failed      Code = "failed"     // the call may have run
	Expired     Code = "expired"    // the call may have run, and its deadline has passed
	ServerError Code = "error"      // of a server: the call may have run
)

// Reply is the answer to a call.
type Reply struct {
	Code        Code          // empty if the call was served
	Text        string        // for people: why the call was not served
	RetryAfter  time.Duration // when to retry, in whole milliseconds; 0: unknown
	Body        []byte        // of a call that was served
	ContentType string
	Load        string // a server's load report, in the format of X-Load
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

// AppendReply appends the response to a call.
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

// ParseReply decodes a response to a call. A response must have either an error or a result. Errors are of type
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
