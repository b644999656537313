package msgpack

import (
	"errors"
	"time"

	"cobaltward/msgpackrpc"
	"cobaltward/router"
)

// request reads a call, or says what is wrong with it.
func (c *conn) request(m msgpackrpc.Message, came time.Time) (router.Request, msgpackrpc.Reply) {
	bad := func(text string) (router.Request, msgpackrpc.Reply) {
		return router.Request{}, msgpackrpc.Reply{Code: msgpackrpc.Malformed, Text: text}
	}
	if m.Method != msgpackrpc.MethodCall {
		return bad("no such method")
	}
	q, err := msgpackrpc.ParseCall(m.Params)
	if err != nil {
		return bad(err.Error())
	}
	class, ok := c.f.engine.Class(q.Class)
	switch {
	case !ok:
		return bad("class: unknown")
	case q.Timeout <= 0 || q.Timeout > maxWait:
		return bad("wait_ms: want 1 to 3600000")
	case len(q.Body) > maxBody:
		return bad("body: over 64 KiB")
	case q.Method != "" && q.Method != router.Method(class):
		return bad("method: this class takes " + router.Method(class))
	case len(q.Body) > 0 && router.Method(class) == "GET":
		return bad("body: a class that is safe to repeat has none")
	}
	return router.Request{
		ID: q.ID, Class: q.Class, Tenant: q.Tenant, Key: q.Key, IdempotencyKey: q.IdempotencyKey, Timeout: q.Timeout, ReceivedAt: came, ClassSnapshot: &class,
		CostHint: q.CostHint, IsRetry: q.IsRetry, Method: q.Method, Target: q.Target, Authority: q.Authority, ContentType: q.ContentType, Body: q.Body,
	}, msgpackrpc.Reply{}
}

// ReplyFromAnswer is how an engine's answer is told.
func ReplyFromAnswer(a router.Answer, err error) msgpackrpc.Reply {
	var invalid *router.InvalidError
	switch {
	case errors.As(err, &invalid):
		return msgpackrpc.Reply{Code: msgpackrpc.Malformed, Text: invalid.Field + ": " + invalid.Problem}
	case errors.Is(err, router.ErrClosed) || errors.Is(err, router.ErrDrained): // it was not taken
		return msgpackrpc.Reply{Code: msgpackrpc.Overloaded}
	case err != nil:
		return msgpackrpc.Reply{Code: msgpackrpc.Expired}
	case a.Outcome == router.Served:
		return msgpackrpc.Reply{Body: a.Body, ContentType: a.ContentType}
	}
	code := map[router.Outcome]msgpackrpc.Code{
		router.Rejected: msgpackrpc.Rejected, router.Overloaded: msgpackrpc.Overloaded,
		router.Failed: msgpackrpc.Failed, router.Expired: msgpackrpc.Expired, router.Conflict: msgpackrpc.Conflict,
	}[a.Outcome]
	return msgpackrpc.Reply{Code: code, RetryAfter: a.RetryAfter}
}
