package msgpack

import (
	"context"
	"errors"
	"io"
	"time"

	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/mux"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/outcome"
	"cobaltward/transport/secure"
)

// maxBodyBytes is the maximum size of a request body. The whole body is part of one message.
const maxBodyBytes = 64 << 10

var errUntrusted = errors.New("server certificate is no longer trusted")

// Attempt sends r once to the server with the given ID, and waits for the reply until ctx ends.
func (t *Transport) Attempt(ctx context.Context, id string, r *router.Request) router.Result {
	call := msgpackrpc.Call{
		ID:             r.ID,
		IdempotencyKey: r.IdempotencyKey,
		Method:         r.Method,
		Target:         r.Target,
		Authority:      r.Authority,
		ContentType:    r.ContentType,
		Body:           r.Body,
	}
	if r.Upload != nil {
		var ok bool
		if call.Body, ok = readUpload(r.Upload); !ok {
			return router.Result{Code: policy.Superseded} // the body is too long or unreadable: the server is not at fault
		}
	}
	for {
		srv, conn, err := t.acquire(ctx, id)
		if err != nil {
			return router.Result{Code: acquireFailure(ctx, err)}
		}
		if deadline, ok := ctx.Deadline(); ok {
			call.Timeout = max(time.Millisecond, time.Until(deadline))
		}
		reply, err := conn.CallGuarded(ctx, &call, attemptGuard{t, ctx, srv, conn})
		t.release(conn)
		if err == nil {
			t.written.Add(1)
			return t.resultOf(&reply)
		}
		var notSent *mux.NotSentError
		isSent := !errors.As(err, &notSent)
		if isSent {
			t.written.Add(1)
		}
		if errors.Is(err, mux.ErrRetired) && !isSent && ctx.Err() == nil {
			continue // retired after acquire: another connection may have a free slot
		}
		return router.Result{Code: callFailure(ctx, err, isSent)}
	}
}

// acquireFailure returns the outcome of an attempt that got no connection because of err.
func acquireFailure(ctx context.Context, err error) policy.Code {
	switch {
	case errors.Is(err, errServerDraining):
		return policy.Overloaded // as if the draining server had rejected the attempt
	case errors.As(err, new(*secure.UntrustedError)) && ctx.Err() == nil:
		return policy.Untrusted
	case errors.Is(err, errNoConnection) || errors.Is(err, secure.ErrTooManyHandshakes):
		return policy.Superseded // the server is not at fault
	}
	return outcome.FailureCode(ctx, false)
}

// callFailure returns the outcome of a call that got no valid reply because of err. isSent is true if the server may
// have received the whole call.
func callFailure(ctx context.Context, err error, isSent bool) policy.Code {
	var malformed *mux.MalformedReplyError
	switch {
	case errors.Is(err, errUntrusted):
		return policy.Untrusted
	case errors.Is(err, errServerDraining):
		return policy.Overloaded
	case errors.As(err, &malformed):
		return policy.ServerError
	}
	return outcome.FailureCode(ctx, isSent)
}

// attemptGuard is the mux.WriteGuard of an attempt. It prevents the write if the attempt is abandoned, or if the
// server is draining or untrusted.
type attemptGuard struct {
	transport *Transport
	ctx       context.Context // context of the attempt
	server    *server
	conn      *pooledConn
}

// BeginWrite implements mux.WriteGuard.
func (g attemptGuard) BeginWrite() error {
	if err := outcome.BeginWrite(g.ctx); err != nil {
		return err
	}
	if err := g.transport.checkServer(g.server, g.conn); err != nil {
		outcome.EndWrite(g.ctx)
		return err
	}
	return nil
}

// EndWrite implements mux.WriteGuard.
func (g attemptGuard) EndWrite() { outcome.EndWrite(g.ctx) }

// checkServer returns an error if nothing more may be written to srv on conn.
func (t *Transport) checkServer(srv *server, conn *pooledConn) error {
	if !conn.isTrusted() {
		return errUntrusted
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isDraining(srv) {
		return errServerDraining
	}
	return nil
}

// readUpload reads the body of upload. ok is false if the length is unknown or exceeds maxBodyBytes, or if the body
// cannot be read.
func readUpload(upload router.Upload) (body []byte, ok bool) {
	if upload.Length() < 0 || upload.Length() > maxBodyBytes {
		return nil, false
	}
	reader, err := upload.Open()
	if err != nil {
		return nil, false
	}
	body, err = io.ReadAll(reader)
	return body, err == nil
}

// resultOf returns the result of an attempt that got reply.
func (t *Transport) resultOf(reply *msgpackrpc.Reply) router.Result {
	switch reply.Code {
	case "":
		t.mu.Lock()
		fields := t.loadReportFields
		t.mu.Unlock()
		return router.Result{
			Code:       policy.OK,
			Answer:     router.Answer{Body: reply.Body, ContentType: reply.ContentType},
			LoadReport: outcome.ParseLoadReport(reply.Load, fields),
		}
	case msgpackrpc.NotRun, msgpackrpc.Rejected, msgpackrpc.Overloaded:
		return router.Result{Code: policy.Overloaded}
	}
	return router.Result{Code: policy.ServerError}
}
