package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/outcome"
	"cobaltward/transport/secure"
)

// Attempt sends r to the server once, and waits for the complete response until ctx ends. The end of ctx closes the
// connection, by which the server learns that the request was cancelled.
func (t *Transport) Attempt(ctx context.Context, server string, r *router.Request) router.Result {
	connection, err := t.acquire(ctx, server)
	switch {
	case errors.Is(err, errNoConnection) && ctx.Err() == nil:
		return router.Result{Code: policy.Superseded} // nothing was sent, and the server is not at fault
	case errors.As(err, new(*secure.UntrustedError)) && ctx.Err() == nil:
		return router.Result{Code: policy.Untrusted}
	case err != nil:
		return router.Result{Code: failureCode(ctx, err, false)}
	}
	stop := afterFunc(ctx, func() { _ = connection.Close() })
	result, reusable := t.roundTrip(ctx, connection, server, r)
	if stream := result.Answer.Stream; stream != nil {
		if stop() {
			return result
		}
		_ = stream.Close() // the attempt was cancelled as its response began
		return router.Result{Code: failureCode(ctx, net.ErrClosed, true)}
	}
	t.release(connection, server, stop() && reusable)
	return result
}

// afterFunc is context.AfterFunc, without its cost where the context has such a method itself, as the router's have.
func afterFunc(ctx context.Context, f func()) (stop func() bool) {
	if own, ok := ctx.(router.AfterFuncContext); ok {
		return own.AfterFunc(f)
	}
	return context.AfterFunc(ctx, f)
}

// roundTrip writes r and reads its response. reusable reports whether the connection can serve another request.
func (t *Transport) roundTrip(
	ctx context.Context, connection *conn, server string, r *router.Request,
) (result router.Result, reusable bool) {
	if failure, sent, reusable := t.send(ctx, connection, r); !sent {
		return failure, reusable
	}
	t.written.Add(1)
	in := t.readers.Get().(*bufio.Reader)
	resp, err := t.readResponse(in, connection, server, r)
	if resp.stream == nil {
		in.Reset(nil)
		t.readers.Put(in)
	}
	if err != nil {
		return router.Result{Code: failureCode(ctx, err, true)}, false
	}
	connection.lastUsed = time.Now()
	return t.resultOf(resp), !resp.head.closeAfter
}

// send writes r. Unless sent is set, its last byte was not written: the server cannot have run it, failure says how the
// attempt ended, and reusable whether the connection can serve another request.
func (t *Transport) send(
	ctx context.Context, connection *conn, r *router.Request,
) (failure router.Result, sent, reusable bool) {
	out := t.writers.Get().(*bytes.Buffer)
	defer t.writers.Put(out)
	out.Reset()
	if !writeRequest(ctx, out, connection.server.Addr, r) {
		return router.Result{Code: policy.Superseded}, false, true // no server would accept it
	}
	// This goroutine may not have run for some time since the attempt was decided on.
	if err := t.beginWrite(ctx, connection.server); err != nil {
		reusable = errors.Is(err, errServerDraining) || errors.Is(err, outcome.ErrAbandoned)
		return router.Result{Code: outcome.NotBegunCode(ctx, err)}, false, reusable
	}
	if !connection.isTrusted(time.Now()) {
		outcome.EndWrite(ctx)
		return router.Result{Code: policy.Untrusted}, false, false
	}
	if r.Upload != nil {
		outcome.EndWrite(ctx) // each part of a body has its own
		failure, sent = t.upload(ctx, connection, out, r)
		return failure, sent, false
	}
	_, err := connection.Write(out.Bytes())
	outcome.EndWrite(ctx)
	if err != nil {
		return router.Result{Code: failureCode(ctx, err, false)}, false, false
	}
	return router.Result{}, true, false
}

// beginWrite returns why nothing may be written to a server any more; if it may, outcome.EndWrite must follow.
func (t *Transport) beginWrite(ctx context.Context, s *server) error {
	if err := outcome.BeginWrite(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.WritesForbidden(t.drainWriteTime) {
		outcome.EndWrite(ctx)
		return errServerDraining
	}
	return nil
}

// resultOf returns what a response says of the attempt.
func (t *Transport) resultOf(resp response) router.Result {
	result := router.Result{Code: policy.ServerError}
	if resp.head.loadReport != "" {
		t.mu.Lock()
		fields := t.loadReportFields
		t.mu.Unlock()
		result.LoadReport = outcome.ParseLoadReport(resp.head.loadReport, fields)
	}
	switch resp.head.status {
	case http.StatusOK:
		result.Code = policy.OK
		result.Answer = router.Answer{Body: resp.body, ContentType: resp.head.contentType, Stream: resp.stream}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.head.notRun { // otherwise it may have run
			result.Code = policy.Overloaded
		}
	}
	return result
}
