package msgpack

import (
	"errors"
	"time"

	"cobaltward/msgpackrpc"
	"cobaltward/router"
)

const (
	maxBodySize = 64 << 10 // maximum size of a call's body, in bytes
	maxTimeout  = time.Hour
)

// parseRequest converts message to a router request. If the call is invalid, it returns a reply that describes the
// problem.
func (c *conn) parseRequest(message msgpackrpc.Message, receivedAt time.Time) (router.Request, msgpackrpc.Reply) {
	malformed := func(text string) (router.Request, msgpackrpc.Reply) {
		return router.Request{}, msgpackrpc.Reply{Code: msgpackrpc.Malformed, Text: text}
	}
	if message.Method != msgpackrpc.MethodCall {
		return malformed("no such method")
	}
	call, err := msgpackrpc.ParseCall(message.Params)
	if err != nil {
		return malformed(err.Error())
	}
	class, ok := c.server.engine.Class(call.Class)
	switch {
	case !ok:
		return malformed("class: unknown")
	case call.Timeout <= 0 || call.Timeout > maxTimeout:
		return malformed("wait_ms: want 1 to 3600000")
	case len(call.Body) > maxBodySize:
		return malformed("body: over 64 KiB")
	case call.Method != "" && call.Method != router.Method(class):
		return malformed("method: this class takes " + router.Method(class))
	case len(call.Body) > 0 && router.Method(class) == "GET":
		return malformed("body: want none for an idempotent class")
	}
	return router.Request{
		ID: call.ID, Class: call.Class, ClassSnapshot: &class, Tenant: call.Tenant,
		Key: call.Key, IdempotencyKey: call.IdempotencyKey, IsRetry: call.IsRetry, CostHint: call.CostHint,
		ReceivedAt: receivedAt, Timeout: call.Timeout,
		Method: call.Method, Target: call.Target, Authority: call.Authority,
		ContentType: call.ContentType, Body: call.Body,
	}, msgpackrpc.Reply{}
}

// ReplyFromAnswer converts the results of Engine.Do to a reply.
func ReplyFromAnswer(answer router.Answer, err error) msgpackrpc.Reply {
	var invalid *router.InvalidError
	switch {
	case errors.As(err, &invalid):
		return msgpackrpc.Reply{Code: msgpackrpc.Malformed, Text: invalid.Field + ": " + invalid.Problem}
	case errors.Is(err, router.ErrClosed) || errors.Is(err, router.ErrDrained): // the call was not forwarded
		return msgpackrpc.Reply{Code: msgpackrpc.Overloaded}
	case err != nil:
		return msgpackrpc.Reply{Code: msgpackrpc.Expired}
	case answer.Outcome == router.Served:
		return msgpackrpc.Reply{Body: answer.Body, ContentType: answer.ContentType}
	}
	return msgpackrpc.Reply{Code: replyCode(answer.Outcome), RetryAfter: answer.RetryAfter}
}

func replyCode(outcome router.Outcome) msgpackrpc.Code {
	switch outcome {
	case router.Rejected:
		return msgpackrpc.Rejected
	case router.Overloaded:
		return msgpackrpc.Overloaded
	case router.Failed:
		return msgpackrpc.Failed
	case router.Expired:
		return msgpackrpc.Expired
	case router.Conflict:
		return msgpackrpc.Conflict
	}
	return ""
}
